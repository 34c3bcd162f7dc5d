/** @file monitor_record.c Keeps the record of a service's voters up to date. */
#include "monitor_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A call for the record without a result for this time has failed. */
#define RECORD_LIMIT (5 * HM_SEC)
/* Pause between two calls, and after a failed one. */
#define RECORD_PAUSE (1 * HM_SEC)
/* Members that register in one go are recorded by one call. */
#define RECORD_BATCH (500 * HM_MS)
/* After a failed call, so that an outage of the store causes few. */
#define RECORD_RETRY (3 * HM_SEC)

static bool may_be_added(const struct monitor *k,
			 const struct monitored_member *m)
{
	return m->up && m->has_status && !voter_has_lost_log(k, m) &&
	       !m->unregistered && !m->spec.missing_since &&
	       !site_member_retires(&m->spec) && !monitor_is_voter(k, m);
}

static bool add(struct voter_record *r, const struct monitored_member *m)
{
	return voter_record_add(r, m->spec.endpoint, m->spec.started,
				m->spec.name, m->spec.address);
}

/*
 * Whether the service has had a commit. The probe of the primary shows one long
 * before the statuses do.
 */
static bool has_commit(struct monitor *k)
{
	const struct monitored_member *primary = monitor_primary(k);

	return voters_committed(k) || (primary && primary->primary_pos.pos);
}

/* Fills in a record where none is stored: all members that are known. */
static bool first_record(struct monitor *k, struct voter_record *to)
{
	uint32_t i;

	*to = k->record;
	for (i = 0; i < k->member_count; i++)
		if (!monitor_is_voter(k, &k->members[i]))
			add(to, &k->members[i]);
	to->committed = has_commit(k);
	return to->voters.count > 0;
}

/* Whether the primary's status shows its term; its log may not yet. */
static bool shows_term(struct monitor *k)
{
	const struct monitored_member *primary = monitor_primary(k);

	return primary && primary->has_status && primary->status.primary;
}

/* Fills in the record as it should be; false if it is so already. */
static bool next_record(struct monitor *k, struct voter_record *to, hm_time now)
{
	bool current = now - *k->deps.members_current_at <= MEMBERS_CURRENT;
	bool ended = k->record.token == k->unused_token ||
		     (k->record.token == k->ended_token && shows_term(k));
	bool changed = k->record.changing && ended;
	uint32_t i;

	*to = k->record;
	if (k->record.changing && !ended)
		return false;
	for (i = k->record.voters.count; current && i-- > 0;)
		if (voter_is_replaced(k, i)) {
			voter_record_remove(to, i);
			changed = true;
			break; /* the others are counted without it */
		}
	for (i = 0; i < k->member_count; i++)
		if (may_be_added(k, &k->members[i]))
			changed |= add(to, &k->members[i]);
	to->committed = has_commit(k);
	changed |= to->committed != k->record.committed;
	to->changing = false;
	if (k->term > to->voters.term)
		to->voters.term = k->term;
	return changed;
}

/*
 * Whether a commit or a change of primary may need the new voters. No commit is
 * acknowledged before the record says that there are any.
 */
static bool is_urgent(struct monitor *k, const struct voter_record *next)
{
	return k->record_stored && (!monitor_primary(k) || voters_missing(k) ||
				    next->committed != k->record.committed);
}

static void call(struct monitor *k, const struct voter_record *record,
		 hm_time now, struct proxy_output *out)
{
	monitor_duty(k, PROXY_RECORD_VOTERS, record, out);
	k->record_until = now + RECORD_LIMIT;
	k->record_after = 0;
}

struct proxy_action *monitor_duty(const struct monitor *k,
				  enum proxy_action_kind kind,
				  const struct voter_record *record,
				  struct proxy_output *out)
{
	struct proxy_action *a = proxy_action(out, kind);

	a->duty.id = k->service;
	snprintf(a->duty.service, sizeof(a->duty.service), "%s",
		 k->service_name);
	if (!record)
		return a;
	a->duty.record = malloc(sizeof(*record));
	if (!a->duty.record)
		abort();
	*a->duty.record = *record;
	return a;
}

void record_request_token(struct monitor *k, struct proxy_output *out)
{
	struct voter_record first;

	first_record(k, &first);
	monitor_duty(k, PROXY_TAKE_TOKEN, &first, out);
}

void record_forget(struct monitor *k, hm_time now)
{
	memset(k->ends, 0, sizeof(k->ends));
	k->record_read = false;
	k->record_until = 0;
	k->record_after = now;
	k->ended_token = k->unused_token = 0;
}

/*
 * Whether the record must be read: nobody has, or in an earlier era, or it
 * forbids a promotion and another monitor may have changed it.
 */
static bool must_read(struct monitor *k, hm_time now)
{
	if (!k->record_read || k->record.voters.at.era < *k->deps.store_era)
		return true;
	return !monitor_primary(k) && !choice_sees_all_commits(k) &&
	       now - k->record_read_at >= RECORD_RETRY;
}

void record_tick(struct monitor *k, hm_time now, struct proxy_output *out)
{
	struct voter_record next;
	bool due;

	if (k->record_until && now > k->record_until) {
		k->record_until = 0;
		k->record_after = now + RECORD_RETRY;
	}
	voters_note_ends(k, now);
	if (k->record_until || now < k->record_after || !k->member_count)
		return;
	if (must_read(k, now)) {
		call(k, NULL, now, out);
		return;
	}
	if (k->step != CHANGE_NONE || now < *k->deps.settled_at)
		return;
	due = k->record_stored ? next_record(k, &next, now)
			       : first_record(k, &next);
	if (!due) {
		k->record_due_at = 0;
		return;
	}
	if (is_urgent(k, &next))
		k->record_due_at = now;
	else if (!k->record_due_at)
		k->record_due_at = now + RECORD_BATCH;
	if (now >= k->record_due_at)
		call(k, &next, now, out);
}

static void log_record(const struct monitor *k, struct proxy_output *out)
{
	char names[MISSING_NAMES_BYTES] = "";
	uint32_t i;

	for (i = 0; i < k->record.voters.count; i++)
		monitor_list_name(names, sizeof(names),
				  k->record.contacts[i].name);
	proxy_log(out,
		  "event=voters service=%s voters=%s changing=%d committed=%d "
		  "term=%llu era=%llu revision=%llu",
		  k->service_name, names, k->record.changing,
		  k->record.committed,
		  (unsigned long long)k->record.voters.term,
		  (unsigned long long)k->record.voters.at.era,
		  (unsigned long long)k->record.voters.at.revision);
}

/* Statuses from before the first commit look like those of lost logs. */
static void request_statuses(struct monitor *k, hm_time now)
{
	uint32_t i;

	for (i = 0; i < k->member_count; i++)
		k->members[i].next_status_at = now;
}

/*
 * A position of the primary that was seen before another monitor changed the
 * record says nothing of what the voters have acknowledged since.
 */
void record_take(struct monitor *k, const struct voter_record *record,
		 hm_time now, struct proxy_output *out)
{
	struct voter_record before = k->record;

	k->record_read = true;
	k->record_read_at = now;
	k->record_stored = voters_known(&record->voters);
	if (k->record_stored &&
	    store_version_compare(record->voters.at, before.voters.at) == 0)
		return;
	k->record = *record;
	/* A new era has no record until one is written. */
	if (!k->record_stored) {
		k->record.committed = before.committed;
		k->record.voters = before.voters;
		k->record.voters.at = record->voters.at;
		memcpy(k->record.contacts, before.contacts,
		       sizeof(before.contacts));
	}
	monitor_raise_term(k, record->voters.term);
	k->changing_since = record->changing ? now : 0;
	memset(k->ends, 0, sizeof(k->ends));
	if (record->committed && !before.committed &&
	    voters_known(&before.voters))
		request_statuses(k, now);
	log_record(k, out);
	monitor_broadcast_view(k);
}

/* The first commit may come at any moment and is recorded without a pause. */
static hm_time pause_after(const struct voter_record *record)
{
	if (!record)
		return RECORD_RETRY;
	return record->committed ? RECORD_PAUSE : 0;
}

void monitor_voters_recorded(struct monitor *k,
			     const struct voter_record *record, hm_time now,
			     struct proxy_output *out)
{
	k->record_until = 0;
	k->record_after = now + pause_after(record);
	if (!k->active || !record)
		return;
	record_take(k, record, now, out);
	change_check(k, now, out);
}

void record_token_unused(struct monitor *k)
{
	if (!k->record.was_changing)
		k->unused_token = k->token;
}

void record_change_ended(struct monitor *k, hm_time now)
{
	k->ended_token = k->token;
	k->record_after = now;
}

bool record_change_is_orphaned(const struct monitor *k, hm_time limit,
			       hm_time now)
{
	return k->record.changing && k->record.token != k->ended_token &&
	       now - k->changing_since > limit;
}
