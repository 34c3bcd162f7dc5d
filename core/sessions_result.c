/** @file sessions_result.c Results of statements that were sent to members. */
#include "sessions_internal.h"

#include <string.h>

/* No statements are sent to an unreachable member for this time. */
#define AVOID_FAILED (300 * HM_MS)
/* A replica that lags is avoided until it may have caught up. */
#define AVOID_BEHIND (250 * HM_MS)

static bool only_reads(const struct session *s)
{
	return !s->pending.writes && s->pending.op != STMT_COMMIT;
}

/*
 * Whether a read of a replica failed there. Another member may serve it, since
 * a member can fail part of its statements though it is up.
 */
static bool is_failed_read(const struct proxy *p, const struct session *s,
			   const struct run_result *r)
{
	return p->options.scheduling.learned_placement &&
	       r->error == ERR_STATEMENT && only_reads(s) &&
	       session_scope(s) == RUN_SINGLE && !s->pending.tried_count;
}

/*
 * Whether to send the statement to another member. This is safe if it has not
 * run, and for a read whose answer was lost, since a read changes nothing.
 * A statement inside a transaction stays at its member.
 */
static bool may_retry_elsewhere(struct proxy *p, const struct session *s,
				const struct run_result *r, hm_time now)
{
	const struct route_spec *route = session_route(p, s);
	bool lost_read = r->error == ERR_OUTCOME_UNKNOWN && only_reads(s) &&
			 session_scope(s) == RUN_SINGLE;

	if (!route || session_scope(s) == RUN_INSIDE ||
	    s->pending.tried_count == TRIED_MAX ||
	    now > s->pending.since + route->target)
		return false;
	if (p->options.guards_off & PROXY_GUARD_ONCE)
		return r->error != ERR_NONE;
	if (r->execution != EXEC_NOT_RUN && !lost_read &&
	    !is_failed_read(p, s, r))
		return false;
	if (r->error == ERR_READ_ONLY && s->tx.read_only && s->pending.writes)
		return false;
	if (r->error == ERR_OVERLOADED && session_needs_primary(s, route, now))
		return false;
	/* A lagging replica did no work, so this retry uses no budget. */
	if (r->error == ERR_NOT_CAUGHT_UP)
		return true;
	return budget_retry(p->budget, s->account, r->endpoint, now);
}

static void update_load(struct proxy *p, const struct run_result *r,
			hm_time now)
{
	struct member_load *l = place_load(p, r->endpoint);

	l->owner_wait = r->wait;
	l->reported_at = now;
	if (r->error == ERR_NO_ENDPOINT || r->error == ERR_WRONG_ENDPOINT)
		l->failed_until = now + AVOID_FAILED;
	if (r->error == ERR_NOT_CAUGHT_UP)
		l->behind_until = now + AVOID_BEHIND;
}

/* What a result shows of its member; @a owner_gone: there is no result. */
static enum member_outcome outcome_of(const struct run_result *r,
				      bool owner_gone)
{
	switch (r->error) {
	case ERR_NONE:
		return MEMBER_SERVED;
	case ERR_NOT_CAUGHT_UP:
		return MEMBER_BEHIND;
	case ERR_STATEMENT:
	case ERR_OUTCOME_UNKNOWN:
	case ERR_TIME_LIMIT:
		return owner_gone ? MEMBER_SKIPPED : MEMBER_FAILED;
	default:
		return MEMBER_SKIPPED;
	}
}

static void record_attempt(struct proxy *p, const struct session *s,
			   const struct run_result *r, bool owner_gone,
			   hm_time now, struct proxy_output *out)
{
	const struct route_spec *route = session_route(p, s);
	struct member_attempt a = {
		.outcome = outcome_of(r, owner_gone),
		.writes = s->pending.writes,
		.took = now - s->pending.sent_at,
		.queue_wait = r->wait,
	};

	if (route)
		a.commit_age = session_commit_age(s, route, s->pending.sent_at);
	place_record(p, r->endpoint, &a, now, out);
}

static void record_own_commit(struct session *s, const struct route_spec *route,
			      const struct run_result *r, hm_time now)
{
	bool commits = s->pending.writes && (s->pending.op == STMT_COMMIT ||
					     session_scope(s) == RUN_SINGLE);
	struct own_commit c = { .at = r->at, .acknowledged_at = now };

	if (r->error || !commits || !route || !r->at.term)
		return;
	c.service = route->service;
	memcpy(c.request, s->pending.request, sizeof(c.request));
	own_commits_add(&s->own_commits, &c);
}

/* Updates the state of the session's transaction from a statement's result. */
static void update_transaction(struct session *s, const struct run_result *r)
{
	if (s->tx.state != SESSION_OPEN)
		return;
	if (s->pending.op == STMT_COMMIT) {
		s->tx = (struct session_tx){ 0 };
		return;
	}
	if (!s->tx.started)
		s->tx.id = s->pending.id;
	s->tx.state = r->state;
	s->tx.started = r->state == SESSION_OPEN;
	s->tx.endpoint = s->pending.endpoint;
	s->tx.owner = s->pending.owner;
}

static void finish(struct proxy *p, struct session *s,
		   const struct run_result *r, hm_time now,
		   struct proxy_output *out)
{
	record_own_commit(s, session_route(p, s), r, now);
	update_transaction(s, r);
	session_answer(p, s, r->error, r, r->retry_at, now, out);
}

static void handle_result(struct proxy *p, const struct run_result *r,
			  bool owner_gone, hm_time now,
			  struct proxy_output *out)
{
	uint32_t h = r->id.incarnation == p->options.core.incarnation
			     ? table_get(&p->by_request, r->id.seq)
			     : TABLE_NONE;
	struct session *s = h == TABLE_NONE ? NULL : p->sessions[h];

	if (!s || s->pending.phase != PENDING_RESULT ||
	    s->pending.endpoint != r->endpoint)
		return; /* the request was answered or sent elsewhere */
	place_load(p, r->endpoint)->outstanding--;
	update_load(p, r, now);
	record_attempt(p, s, r, owner_gone, now, out);
	session_take_load(p, s, r, now, out);
	if (r->error && may_retry_elsewhere(p, s, r, now)) {
		proxy_log(out, "event=elsewhere request=%s error=%s tried=%u",
			  s->pending.request, error_answer(r->error)->code,
			  s->pending.tried_count + 1);
		p->counters.retries++;
		s->pending.tried[s->pending.tried_count++] = r->endpoint;
		session_run(p, s, now, out);
		return;
	}
	finish(p, s, r, now, out);
}

void session_result(struct proxy *p, const struct run_result *r, hm_time now,
		    struct proxy_output *out)
{
	handle_result(p, r, false, now, out);
}

void session_result_lost(struct proxy *p, struct session *s, bool owner_gone,
			 hm_time now, struct proxy_output *out)
{
	struct run_result r = { .id = s->pending.id,
				.endpoint = s->pending.endpoint,
				.error = ERR_OUTCOME_UNKNOWN,
				.execution = EXEC_UNKNOWN,
				.state = SESSION_FAILED };

	proxy_log(out, "event=result_lost request=%s home=%016llx gone=%d",
		  s->pending.request, (unsigned long long)s->pending.owner,
		  owner_gone);
	if (!owner_gone) {
		r.error = ERR_TIME_LIMIT;
		session_release(p, s, out);
	}
	/* The owner's connections are gone, and so is the open transaction. */
	if (owner_gone && s->tx.state == SESSION_OPEN &&
	    s->pending.op != STMT_COMMIT)
		r.error = ERR_TX_GONE;
	handle_result(p, &r, owner_gone, now, out);
}
