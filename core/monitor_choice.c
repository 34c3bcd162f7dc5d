/** @file monitor_choice.c Choice of the member to promote. */
#include "monitor_state.h"

#include <stdio.h>
#include <string.h>

/* Without sync_replicas a commit may be in the log of the primary alone. */
static uint32_t loose_max(const struct monitor *k)
{
	return k->sync_replicas ? k->sync_replicas : 1;
}

bool choice_sees_only_replicas(const struct monitor *k)
{
	uint32_t i;

	for (i = 0; i < k->member_count; i++) {
		const struct monitored_member *m = &k->members[i];

		if (m->up && (!m->has_status || m->status.primary))
			return false;
	}
	return true;
}

/*
 * An acknowledged commit is in the logs of sync_replicas + 1 voters. If no more
 * than sync_replicas are missing, a member that replies therefore has it,
 * whichever member was the primary.
 */
bool choice_sees_all_commits(const struct monitor *k)
{
	return voters_known(&k->record.voters) &&
	       voters_missing(k) <= loose_max(k) &&
	       choice_sees_only_replicas(k);
}

/*
 * A commit of a later term would be in the log of one of these voters, whose
 * status shows the term.
 */
bool choice_sees_newest_primary(struct monitor *k)
{
	uint32_t i;

	if (!monitor_primary(k) || voters_missing(k) > loose_max(k))
		return false;
	for (i = 0; i < k->member_count; i++)
		if (k->members[i].up && !k->members[i].has_status)
			return false;
	return true;
}

void monitor_list_name(char *list, size_t size, const char *name)
{
	size_t used = strlen(list);

	snprintf(list + used, size - used, "%s%s", used ? "," : "", name);
}

/*
 * How many voters may be missing when a change begins. The primary is loose in
 * a switchover, which leaves one less. Without sync_replicas commits are in its
 * log alone, and no replica confirms any.
 */
static uint32_t missing_allowed(struct monitor *k)
{
	const struct monitored_member *primary = monitor_primary(k);

	if (!k->sync_replicas && primary)
		return VOTERS_MAX;
	return loose_max(k) - (primary && monitor_is_voter(k, primary));
}

bool choice_may_switch(struct monitor *k)
{
	return monitor_primary(k) && choice_most_advanced(k, true) &&
	       voters_missing(k) <= missing_allowed(k);
}

bool choice_may_retire(struct monitor *k)
{
	const struct monitored_member *primary = monitor_primary(k);
	const struct monitored_member *target = choice_most_advanced(k, true);

	return target && voters_missing(k) <= loose_max(k) &&
	       log_pos_compare(target->status.received, primary->primary_pos) >=
		       0;
}

static void list_missing(const struct monitor *k, char *list, size_t size)
{
	uint32_t i;

	list[0] = '\0';
	for (i = 0; i < k->record.voters.count; i++)
		if (voter_is_missing(k, i))
			monitor_list_name(list, size,
					  k->record.contacts[i].name);
}

void choice_log_wait(struct monitor *k, struct proxy_output *out)
{
	char names[MISSING_NAMES_BYTES];
	uint32_t missing = voters_missing(k), allowed = missing_allowed(k);

	if (missing == k->missing_logged)
		return;
	k->missing_logged = missing;
	if (missing <= allowed)
		return;
	list_missing(k, names, sizeof(names));
	proxy_log(out,
		  "event=%s_waits service=%s members=%s missing=%u allowed=%u",
		  monitor_primary(k) ? "switchover" : "failover",
		  k->service_name, names, missing, allowed);
}

uint32_t choice_reachable_count(const struct monitor *k)
{
	uint32_t i, n = 0;

	for (i = 0; i < k->member_count; i++)
		n += k->members[i].up && k->members[i].has_status;
	return n;
}

/*
 * Among equals each monitor prefers the same one: another monitor's call for it
 * may still take effect, and would resume it.
 */
static bool is_preferred(const struct monitored_member *m,
			 const struct monitored_member *to)
{
	int order = log_pos_compare(m->status.received, to->status.received);
	bool retires = site_member_retires(&m->spec);

	if (order)
		return order > 0;
	if (retires != site_member_retires(&to->spec))
		return !retires;
	return m->spec.endpoint < to->spec.endpoint;
}

/*
 * The target of a switchover must not retire or be paused, and must be a voter:
 * it has to receive the commits that the primary acknowledges meanwhile.
 */
struct monitored_member *choice_most_advanced(struct monitor *k, bool planned)
{
	struct monitored_member *best = NULL;
	uint32_t i;

	for (i = 0; i < k->member_count; i++) {
		struct monitored_member *m = &k->members[i];

		if (!m->up || !m->has_status || m->writable)
			continue;
		if (planned &&
		    (site_member_retires(&m->spec) || m->spec.missing_since ||
		     m->status.paused_term || !monitor_is_voter(k, m)))
			continue;
		if (!best || is_preferred(m, best))
			best = m;
	}
	return best;
}

bool choice_must_pause(struct monitor *k, const struct monitored_member *m)
{
	if (!m->up)
		return false;
	if (!k->planned)
		return true;
	return m->spec.endpoint != k->target && m != monitor_primary(k);
}

/*
 * The primary continues to commit during a switchover. It must still be the
 * primary, and the target must not be paused; both must be known from replies
 * to probes sent after the other replicas were paused.
 */
static bool switchover_is_fresh(struct monitor *k)
{
	const struct monitored_member *primary = monitor_primary(k);
	const struct monitored_member *target = monitor_find(k, k->target);

	return primary && primary->fresh_primary && target->fresh_status &&
	       !target->status.paused_term;
}

static bool target_has_all(struct monitor *k)
{
	const struct monitored_member *target = monitor_find(k, k->target);
	uint32_t i;

	for (i = 0; i < k->member_count; i++) {
		const struct monitored_member *m = &k->members[i];

		if (m == target || !choice_must_pause(k, m))
			continue;
		if (log_pos_compare(m->status.received,
				    target->status.received) > 0)
			return false;
	}
	return true;
}

/*
 * Commits are confirmed by sync_replicas + 1 voters. No more than sync_replicas
 * are loose, so one of these is the target or was paused: the target has each
 * commit already, or receives it.
 */
bool choice_is_held(const struct monitor *k)
{
	return !k->sync_replicas || voters_loose(k) <= k->sync_replicas;
}

bool choice_is_safe(struct monitor *k)
{
	return choice_is_held(k) && target_has_all(k) &&
	       (!k->planned || switchover_is_fresh(k));
}
