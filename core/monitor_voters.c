/** @file monitor_voters.c Which voters are missing, have ended or are replaced. */
#include "monitor_state.h"

#include <string.h>

static struct monitored_member *member_of(const struct monitor *k,
					  const struct voter *v)
{
	struct monitored_member *m = monitor_find(k, v->endpoint);

	return m && m->spec.started == v->started ? m : NULL;
}

/*
 * The registered member that started next at the voter's address. If that is
 * the member itself, the voter's log was lost, also to those after it.
 */
static struct monitored_member *successor_of(const struct monitor *k,
					     uint32_t index)
{
	const struct voters *v = &k->record.voters;
	const char *address = k->record.contacts[index].address;
	const struct monitored_member *next = NULL;
	uint32_t i;

	for (i = 0; i < k->member_count; i++) {
		const struct monitored_member *m = &k->members[i];

		if (m->spec.started > v->list[index].started &&
		    (!next || m->spec.started < next->spec.started) &&
		    !strcmp(m->spec.address, address))
			next = m;
	}
	for (i = 0; next && i < v->count; i++)
		if (v->list[i].started > v->list[index].started &&
		    v->list[i].started < next->spec.started &&
		    !strcmp(k->record.contacts[i].address, address))
			return NULL;
	return next && next->spec.endpoint != v->list[index].endpoint
		       ? (struct monitored_member *)next
		       : NULL;
}

/* Whether the service has had a commit. */
bool voters_committed(const struct monitor *k)
{
	uint32_t i;

	if (k->record.committed)
		return true;
	for (i = 0; i < k->member_count; i++)
		if (k->members[i].up && k->members[i].has_status &&
		    k->members[i].status.received.pos)
			return true;
	return false;
}

/*
 * Whether a member that replies has lost its log: it has started again under
 * its name, and its entry does not say so yet. A member that has received
 * nothing so far is no voter, so one that has nothing has lost it.
 */
bool voter_has_lost_log(const struct monitor *k,
			const struct monitored_member *m)
{
	struct log_pos received = m->status.received;

	if (!m->has_status)
		return false;
	return log_pos_compare(received, m->received_most) < 0 ||
	       (!received.pos && voters_committed(k));
}

/* A crashed or leaving member passes its log to the next one at its address. */
bool voter_is_missing(const struct monitor *k, uint32_t index)
{
	const struct monitored_member *m =
		member_of(k, &k->record.voters.list[index]);

	if (!m || !m->up)
		m = successor_of(k, index);
	return !m || !m->up || voter_has_lost_log(k, m);
}

uint32_t voters_missing(const struct monitor *k)
{
	uint32_t i, n = 0;

	for (i = 0; i < k->record.voters.count; i++)
		n += voter_is_missing(k, i);
	return n;
}

bool voter_is_loose(const struct monitor *k, uint32_t index)
{
	const struct monitored_member *m =
		member_of(k, &k->record.voters.list[index]);

	if (!m || (!m->up && !m->held))
		m = successor_of(k, index);
	return !m || voter_has_lost_log(k, m) ||
	       (!m->held && m->spec.endpoint != k->target);
}

uint32_t voters_loose(const struct monitor *k)
{
	uint32_t i, n = 0;

	for (i = 0; i < k->record.voters.count; i++)
		n += voter_is_loose(k, i);
	return n;
}

bool monitor_is_voter(const struct monitor *k, const struct monitored_member *m)
{
	return voters_have(&k->record.voters, m->spec.endpoint,
			   m->spec.started);
}

uint32_t voters_unmonitored(struct monitor *k)
{
	uint32_t i, n = 0;

	for (i = 0; i < k->record.voters.count; i++)
		n += !monitor_find(k, k->record.voters.list[i].endpoint) &&
		     !voter_is_replaced(k, i);
	return n;
}

/*
 * Whether nobody counts a voter any more: it has started again, another member
 * runs at its address, or it has been silent without an entry for so long that
 * the owner of the primary knows it. What is merely silent may run on the other
 * side of a partition.
 */
static bool has_ended(const struct monitor *k, uint32_t index, hm_time now)
{
	const struct voter *v = &k->record.voters.list[index];
	const struct monitored_member *m = monitor_find(k, v->endpoint);
	const struct voter_end *e = &k->ends[index];

	if ((m && m->spec.started > v->started) || successor_of(k, index))
		return true;
	return e->ends_at && now >= e->ends_at;
}

/*
 * Sets when a voter that does not reply has ended, if its entry is gone. One
 * that is no member was in the list for member_list_grace() without an entry.
 */
static void note_silence(const struct monitor *k, struct voter_end *e,
			 const struct monitored_member *m, hm_time now)
{
	if (!m && !e->ends_at)
		e->ends_at =
			now + VOTER_ENDS - member_list_grace(k->deps.options);
	else if (m && m->spec.missing_since)
		e->ends_at =
			m->spec.missing_since +
			(m->spec.leaving ? VOTER_LEAVING_ENDS : VOTER_ENDS);
}

void voters_note_ends(struct monitor *k, hm_time now)
{
	uint32_t i;

	for (i = 0; i < k->record.voters.count; i++) {
		struct voter_end *e = &k->ends[i];
		const struct monitored_member *m =
			member_of(k, &k->record.voters.list[i]);

		if (m && m->up)
			*e = (struct voter_end){ 0 };
		else
			note_silence(k, e, m, now);
		if (!e->order && has_ended(k, i, now))
			e->order = ++k->order;
	}
}

void voters_note_primary(struct monitor *k,
			 const struct monitored_member *primary)
{
	uint32_t i;

	for (i = 0; i < k->record.voters.count; i++) {
		struct voter_end *e = &k->ends[i];

		if (e->order && !e->needed.term &&
		    e->order < primary->primary_order)
			e->needed = primary->primary_pos;
	}
}

/*
 * What an ended voter and the primary had acknowledged must be in the logs of
 * as many other voters as a commit needs.
 */
bool voter_is_replaced(struct monitor *k, uint32_t index)
{
	const struct monitored_member *primary = monitor_primary(k);
	uint32_t i, have = 0;

	if (!k->ends[index].needed.term || !primary ||
	    !monitor_is_voter(k, primary))
		return false;
	for (i = 0; i < k->record.voters.count; i++) {
		const struct monitored_member *m =
			member_of(k, &k->record.voters.list[i]);

		have += i != index && m && m != primary && m->up &&
			m->has_status &&
			log_pos_compare(m->status.received,
					k->ends[index].needed) >= 0;
	}
	return have >= k->sync_replicas;
}
