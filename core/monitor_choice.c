/** @file monitor_choice.c Whether, and whom, a keeper may promote. */
#include "monitor_state.h"

/* The primary as last known: the one that led, or says that it does. */
static bool is_believed_primary(const struct monitor *k,
				const struct monitored_member *m)
{
	uint32_t i;

	for (i = 0; i < k->member_count; i++)
		if (k->members[i].spec.endpoint == k->primary)
			return m->spec.endpoint == k->primary;
	return m->spec.says_primary;
}

/* Whether every commit that was acknowledged is held by a member that answers. */
bool choice_sees_all_commits(const struct monitor *k)
{
	uint32_t i;

	if (departed_block_promotion(k))
		return false;
	for (i = 0; i < k->member_count; i++) {
		const struct monitored_member *m = &k->members[i];

		if (m->up && (!m->has_status || m->status.primary))
			return false;
		if (!m->up && !is_believed_primary(k, m))
			return false;
	}
	return true;
}

uint32_t choice_reachable_count(const struct monitor *k)
{
	uint32_t i, n = 0;

	for (i = 0; i < k->member_count; i++)
		n += k->members[i].up && k->members[i].has_status;
	return n;
}

/*
 * Furthest replica; one that stays goes before one that leaves. A planned
 * change needs a target that stays and receives what is committed meanwhile.
 */
struct monitored_member *choice_most_advanced(struct monitor *k, bool planned)
{
	struct monitored_member *best = NULL;
	uint32_t i;

	for (i = 0; i < k->member_count; i++) {
		struct monitored_member *m = &k->members[i];
		int order;

		if (!m->up || !m->has_status || m->writable)
			continue;
		if (planned && (m->spec.leaving || m->spec.missing_since ||
				m->status.held))
			continue;
		order = best ? mark_compare(m->status.received,
					    best->status.received)
			     : 1;
		if (order > 0 ||
		    (!order && best->spec.leaving && !m->spec.leaving))
			best = m;
	}
	return best;
}

bool choice_must_hold(struct monitor *k, const struct monitored_member *m)
{
	if (!m->up)
		return false;
	if (!k->planned)
		return true;
	return m->spec.endpoint != k->target && m != monitor_primary(k);
}

/* A replica that cannot be asked may have let commits through until now. */
static bool has_silent_replica(struct monitor *k)
{
	const struct monitored_member *primary = monitor_primary(k);
	uint32_t i;

	for (i = 0; i < k->member_count; i++)
		if (!k->members[i].up && &k->members[i] != primary)
			return true;
	return departed_block_promotion(k);
}

/*
 * The primary goes on to commit: it must be the one that leads now, and the
 * target must receive, both told since the others are held. What a silent
 * replica let through is in the primary's log.
 */
bool choice_switchover_is_safe(struct monitor *k)
{
	const struct monitored_member *primary = monitor_primary(k);
	const struct monitored_member *target = monitor_find(k, k->target);

	if (!primary || !primary->fresh_primary || !target->fresh_status ||
	    target->status.held)
		return false;
	return !has_silent_replica(k) ||
	       mark_compare(target->status.received,
			    primary->first_primary_pos) >= 0;
}

/* Whether the target has received all that any held replica has. */
bool choice_target_has_all(struct monitor *k)
{
	const struct monitored_member *target = monitor_find(k, k->target);
	uint32_t i;

	for (i = 0; i < k->member_count; i++) {
		const struct monitored_member *m = &k->members[i];

		if (m == target || !choice_must_hold(k, m))
			continue;
		if (mark_compare(m->status.received, target->status.received) >
		    0)
			return false;
	}
	return true;
}
