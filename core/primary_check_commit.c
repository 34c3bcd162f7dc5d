/** @file primary_check_commit.c Confirms that replicas have a commit. */
#include "primary_check_state.h"

/* Delay of a member that did not show a commit; longer than any other. */
#define COMMIT_LATE (10 * HM_SEC)

/* It was rolled back by a promotion, or has started again with an empty log. */
static void log_shrank(struct checked_member *m, struct log_pos received,
		       hm_time now, struct proxy_output *out)
{
	if (now < m->log_shrank_after)
		return;
	m->log_shrank_after = now + CHECK_LOG_EVERY;
	proxy_log(out,
		  "event=replica_log_shrank member=%s received=%llu.%llu "
		  "before=%llu.%llu",
		  m->spec.name, (unsigned long long)received.term,
		  (unsigned long long)received.pos,
		  (unsigned long long)m->received.term,
		  (unsigned long long)m->received.pos);
}

void check_note_received(struct checked_member *m, const struct member_reply *r,
			 hm_time now, struct proxy_output *out)
{
	if (r->has_status) {
		if (log_pos_compare(r->status.received, m->received) < 0)
			log_shrank(m, r->status.received, now, out);
		m->received = r->status.received;
	} else if (log_pos_compare(r->at, m->received) > 0) {
		m->received = r->at;
	}
	if (m->life_known || log_pos_compare(m->received, m->proved) < 0)
		m->proved = m->received;
}

/*
 * A position in a later term proves nothing: that term may have begun without
 * the commit.
 */
static bool covers(struct log_pos received, struct log_pos commit)
{
	return received.term == commit.term && received.pos >= commit.pos;
}

void check_commit_replied(struct checked_member *m,
			  const struct member_reply *r, hm_time now,
			  struct proxy_output *out)
{
	check_note_received(m, r, now, out);
	m->commit_delay = covers(m->received, m->commit)
				  ? now - m->commit_requested_at
				  : COMMIT_LATE;
	m->commit_requested_at = 0;
}

static void request_commit(struct checked_member *m, struct log_pos commit,
			   hm_time now, struct proxy_output *out)
{
	if (m->commit_requested_at) {
		m->commit_delay = COMMIT_LATE;
		return;
	}
	if (!probe_conn_send(&m->probe, CHECK_COMMIT, MEMBER_STATUS, 0, now,
			     out))
		return;
	m->commit = commit;
	m->commit_requested_at = now;
}

/*
 * The connected member that showed the last commit the soonest, of those whose
 * life is known: no other one confirms a commit alone.
 */
static struct checked_member *soonest(struct primary_check *c)
{
	struct checked_member *best = NULL;
	uint32_t i;

	for (i = 0; i < c->count; i++) {
		struct checked_member *m = &c->others[i];

		if (m->probe.ready && m->life_known &&
		    (!best || m->commit_delay < best->commit_delay))
			best = m;
	}
	return best;
}

void primary_check_request_commit(struct primary_check *c,
				  struct log_pos commit, bool all, hm_time now,
				  struct proxy_output *out)
{
	struct checked_member *m = soonest(c);
	uint32_t i;

	c->ticket_at = now; /* keeps the connections open for IDLE_CLOSE */
	check_connect_members(c, now, out);
	if (!all && c->sync_replicas == 1 && m) {
		request_commit(m, commit, now, out);
		return;
	}
	for (i = 0; i < c->count; i++)
		request_commit(&c->others[i], commit, now, out);
}

bool primary_check_commit_requested(const struct primary_check *c)
{
	uint32_t i;

	for (i = 0; i < c->count; i++)
		if (c->others[i].commit_requested_at &&
		    c->others[i].commit_delay < COMMIT_LATE)
			return true;
	return false;
}

/* Whether the member's present life is a voter that nobody may have removed. */
static bool counts(const struct checked_member *m, const struct voters *voters,
		   hm_time now)
{
	hm_time missing_since = m->spec.missing_since;

	return voters_have(voters, m->spec.endpoint, m->spec.started) &&
	       (!missing_since || (!m->spec.leaving &&
				   now - missing_since <= VOTER_MISSING_GRACE));
}

void primary_check_members_read(struct primary_check *c, hm_time read_at,
				struct proxy_output *out)
{
	uint32_t i;

	for (i = 0; i < c->count; i++) {
		struct checked_member *m = &c->others[i];

		if (m->life_known || !m->probe.ready || m->spec.missing_since ||
		    read_at < m->life_shown_at)
			continue;
		m->life_known = true;
		m->proved = m->received;
		proxy_log(out,
			  "event=replica_counts_again member=%s "
			  "received=%llu.%llu",
			  m->spec.name, (unsigned long long)m->received.term,
			  (unsigned long long)m->received.pos);
	}
}

/* Whose logs count; NULL: all members', the monitor's build records no voters. */
static const struct voters *voters_of(const struct service_state *v)
{
	return voters_known(&v->voters) || !v->received_at ||
			       v->latest.states_voters
		       ? &v->voters
		       : NULL;
}

/* Whether a member that has @a received counts, and has the commit. */
static bool holds(const struct checked_member *m, struct log_pos received,
		  struct log_pos commit, const struct voters *voters,
		  hm_time now)
{
	return covers(received, commit) && (!voters || counts(m, voters, now));
}

/*
 * Number of members that have received @a commit, of the @a voters that may be
 * counted or, with NULL, of all.
 * @param proved count only what the lives that the voters name have shown
 */
static uint32_t count_holders(const struct primary_check *c,
			      struct log_pos commit,
			      const struct voters *voters, bool proved,
			      hm_time now)
{
	uint32_t i, count = 0;

	for (i = 0; i < c->count; i++) {
		const struct checked_member *m = &c->others[i];

		count += holds(m, proved ? m->proved : m->received, commit,
			       voters, now);
	}
	return count;
}

/*
 * The voters of an older view serve, too: what they lack are added ones. One of
 * them may have been removed only if the list of members is out of date. And
 * one of those behind a new connection may have started again. One more than
 * needed outlasts either.
 */
bool primary_check_confirms(const struct primary_check *c,
			    struct log_pos commit, uint64_t started,
			    const struct service_state *v, hm_time now)
{
	bool current = now - v->members_current_at <= MEMBERS_CURRENT;
	const struct voters *voters = voters_of(v);
	uint32_t primary, needed = c->sync_replicas;

	if (!voters)
		return primary_check_received(c, commit, NULL, now) >= needed;
	if (commit.term < voters->term)
		return false; /* the primary has been superseded */
	if (!v->committed)
		return false; /* empty logs still count as complete */
	primary = voters_have(voters, c->endpoint, started);
	if (primary + count_holders(c, commit, voters, false, now) > needed + 1)
		return true;
	return current &&
	       primary + count_holders(c, commit, voters, true, now) > needed;
}

uint32_t primary_check_received(const struct primary_check *c,
				struct log_pos commit,
				const struct voters *voters, hm_time now)
{
	return count_holders(c, commit, voters, false, now);
}

uint32_t primary_check_holders(const struct primary_check *c,
			       struct log_pos commit,
			       const struct service_state *v, hm_time now,
			       const struct site_member *list[ENDPOINTS_MAX])
{
	const struct voters *voters = voters_of(v);
	uint32_t i, count = 0;

	for (i = 0; i < c->count; i++) {
		const struct checked_member *m = &c->others[i];

		if (holds(m, m->received, commit, voters, now))
			list[count++] = &m->spec;
	}
	return count;
}
