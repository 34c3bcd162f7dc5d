/** @file sessions_run.c A session's statement: to a member, and its result. */
#include "proxy_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A home answers at its deadline; this much later nothing will come. */
#define RESULT_GRACE (150 * HM_MS)
/* A commit stays in a session's floor a little longer than its age asks. */
#define FLOOR_MARGIN (200 * HM_MS)
/* A member that could not be reached is avoided for a moment. */
#define AVOID_FAILED (300 * HM_MS)
/* A replica that was behind gets the next read when it may have caught up. */
#define AVOID_BEHIND (250 * HM_MS)
/* A transaction without a limit of its own may idle for so long. */
#define IDLE_DEFAULT (3 * HM_SEC)
/* Weight of an account without a contract. */
#define WEIGHT_OPEN 1

void session_release(struct proxy *p, struct session *s,
		     struct proxy_output *out)
{
	bool waiting = s->pending.phase == PENDING_RESULT;
	struct message *m;
	uint64_t home = s->tx.started ? s->tx.home : s->pending.home;

	if (!s->tx.started && !(waiting && s->tx.state == SESSION_OPEN))
		return;
	m = proxy_send(p, home, MSG_RELEASE, out);
	m->release.tx = s->tx.started ? s->tx.id : s->pending.id;
	m->release.endpoint =
		s->tx.started ? s->tx.endpoint : s->pending.endpoint;
	s->tx.started = false;
}

static const struct route_spec *route_of(const struct proxy *p,
					 const struct session *s)
{
	if (s->tx.state != SESSION_IDLE)
		return &s->tx.route;
	return site_route(p->config, s->database);
}

static enum run_scope scope_of(const struct session *s)
{
	if (s->tx.state != SESSION_OPEN)
		return RUN_SINGLE;
	return s->tx.started ? RUN_INSIDE : RUN_FIRST;
}

/* Whether the statement may only run where all commits are. */
static bool needs_primary(const struct session *s,
			  const struct route_spec *route)
{
	if (route->consistency == CONSISTENT_PRIMARY || !route->max_age)
		return true;
	if (s->tx.state == SESSION_OPEN)
		return !s->tx.read_only;
	return s->pending.writes;
}

/* Own commits that are older than the age in force are in its samples. */
static struct log_pos own_floor(const struct session *s,
				const struct route_spec *route, hm_time now)
{
	struct log_pos none = { 0 };

	if (route->consistency != CONSISTENT_SESSION ||
	    s->floor_service != route->service ||
	    now - s->floor_at > route->max_age + FLOOR_MARGIN)
		return none;
	return s->floor;
}

static const struct prepared *prepared_of(const struct session *s)
{
	uint32_t i;

	for (i = 0; s->pending.op == STMT_EXECUTE && i < s->prepared_count; i++)
		if (!strcmp(s->prepared[i].name, s->pending.name))
			return &s->prepared[i];
	return NULL;
}

static struct run_order *new_order(struct proxy *p, const struct session *s,
				   const struct route_spec *route, hm_time now)
{
	const struct contract *c = contracts_find(p->contracts, s->account);
	const struct prepared *f = prepared_of(s);
	struct run_order *o = calloc(1, sizeof(*o));

	if (!o)
		abort();
	o->id = s->pending.id;
	o->tx = s->tx.started ? s->tx.id : s->pending.id;
	o->service = route->service;
	o->account = s->account;
	snprintf(o->who, sizeof(o->who), "%s", c ? c->name : "-");
	o->weight = c ? c->weight : WEIGHT_OPEN;
	o->op = s->pending.op;
	o->scope = scope_of(s);
	o->read_only = s->tx.read_only;
	o->writes = s->pending.writes;
	o->deadline = now + route->statement_limit;
	o->start_by = o->scope == RUN_INSIDE ? o->deadline
					     : s->pending.since + route->target;
	o->idle_limit = p->config->idle_transaction
				? p->config->idle_transaction
				: IDLE_DEFAULT;
	memcpy(o->request, s->pending.request, sizeof(o->request));
	o->text = text_copy(s->pending.text);
	o->shape = f ? text_copy(f->shape) : NULL;
	o->values = values_copy(s->values, s->value_count);
	o->value_count = s->value_count;
	return o;
}

static void send_order(struct proxy *p, struct session *s, struct run_order *o,
		       uint64_t home, const char *reason,
		       struct proxy_output *out)
{
	const struct site_member *m =
		site_members_find(p->members, o->endpoint);

	proxy_log(out,
		  "event=route request=%s session=%llu account=%s member=%s "
		  "home=%016llx reason=%s scope=%d lead=%d floor=%llu.%llu "
		  "age_us=%lld attempt=%u config=%llu",
		  o->request, (unsigned long long)s->number, o->who,
		  m ? m->name : "-", (unsigned long long)home, reason, o->scope,
		  o->lead, (unsigned long long)o->floor.term,
		  (unsigned long long)o->floor.pos, (long long)o->max_age,
		  s->pending.tried_count,
		  (unsigned long long)p->config->version);
	s->pending.phase = PENDING_RESULT;
	s->pending.home = home;
	s->pending.endpoint = o->endpoint;
	s->pending.deadline = o->deadline + RESULT_GRACE;
	place_load(p, o->endpoint)->outstanding++;
	proxy_send(p, home, MSG_RUN, out)->run = o;
}

static void run_inside(struct proxy *p, struct session *s, struct run_order *o,
		       struct proxy_output *out)
{
	o->endpoint = s->tx.endpoint;
	send_order(p, s, o, s->tx.home, "transaction", out);
}

/* Nothing can take the statement now; it has not run. */
static void refuse_unplaced(struct proxy *p, struct session *s, bool lead,
			    hm_time retry_at, hm_time now,
			    struct proxy_output *out)
{
	if (s->tx.state == SESSION_OPEN)
		s->tx.state = SESSION_FAILED;
	session_answer(p, s, lead ? ERR_NO_PRIMARY : ERR_NO_ENDPOINT, NULL,
		       retry_at, now, out);
}

void session_run(struct proxy *p, struct session *s, hm_time now,
		 struct proxy_output *out)
{
	const struct route_spec *route = route_of(p, s);
	struct placement place;
	struct run_order *o;
	struct need need;

	if (!route) {
		session_end(p, s, ERR_NOT_FOUND, now, out);
		return;
	}
	o = new_order(p, s, route, now);
	if (o->scope == RUN_INSIDE) {
		run_inside(p, s, o, out);
		return;
	}
	need = (struct need){ .service = route->service,
			      .lead = needs_primary(s, route),
			      .writes = s->pending.writes,
			      .floor = own_floor(s, route, now),
			      .tried = s->pending.tried,
			      .tried_count = s->pending.tried_count };
	place = place_choose(p, &need, now);
	if (!place.endpoint || !place.home) {
		run_order_free(o);
		refuse_unplaced(p, s, need.lead, place.retry_at, now, out);
		return;
	}
	o->endpoint = place.endpoint;
	o->lead = place.lead;
	o->floor = place.lead ? (struct log_pos){ 0 } : need.floor;
	o->max_age = place.lead ? 0 : route->max_age;
	if (place.lead)
		p->figures.reads_primary += !o->writes;
	else
		p->figures.reads_replica++;
	if (!s->pending.tried_count)
		budget_request(p->budget, s->account, o->endpoint, now);
	send_order(p, s, o, place.home, place.reason, out);
}

static bool only_reads(const struct session *s)
{
	return !s->pending.writes && s->pending.op != STMT_COMMIT;
}

/*
 * What has not run may go to another member. So may a read whose answer was
 * lost, since it changes nothing; a statement inside a transaction may not.
 */
static bool may_go_elsewhere(struct proxy *p, const struct session *s,
			     const struct run_result *r, hm_time now)
{
	const struct route_spec *route = route_of(p, s);
	bool lost_read = r->error == ERR_OUTCOME_UNKNOWN && only_reads(s) &&
			 scope_of(s) == RUN_SINGLE;

	if (!route || scope_of(s) == RUN_INSIDE ||
	    s->pending.tried_count == TRIED_MAX ||
	    now > s->pending.since + route->target)
		return false;
	if (p->options.guards_off & PROXY_GUARD_ONCE)
		return r->error != ERR_NONE;
	if (r->execution != EXEC_NOT_RUN && !lost_read)
		return false;
	if (r->error == ERR_READ_ONLY && s->tx.read_only && s->pending.writes)
		return false;
	if (r->error == ERR_OVERLOADED && needs_primary(s, route))
		return false;
	/* A replica that is behind did no work: that costs no budget. */
	if (r->error == ERR_NOT_CAUGHT_UP)
		return true;
	return budget_retry(p->budget, s->account, r->endpoint, now);
}

static void learn(struct proxy *p, const struct run_result *r, hm_time now)
{
	struct load *l = place_load(p, r->endpoint);

	l->wait = r->wait;
	l->told_at = now;
	if (r->error == ERR_NO_ENDPOINT || r->error == ERR_WRONG_ENDPOINT)
		l->failed_until = now + AVOID_FAILED;
	if (r->error == ERR_NOT_CAUGHT_UP)
		l->behind_until = now + AVOID_BEHIND;
}

static void note_commit(struct session *s, const struct route_spec *route,
			const struct run_result *r, hm_time now)
{
	bool commits = s->pending.op == STMT_COMMIT ||
		       (s->pending.writes && scope_of(s) == RUN_SINGLE);

	if (r->error || !commits || !route || !r->at.term)
		return;
	s->floor_service = route->service;
	s->floor = r->at;
	s->floor_at = now;
}

/* What the result makes of the session's transaction. */
static void note_transaction(struct session *s, const struct run_result *r)
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
	s->tx.home = s->pending.home;
}

static void finish(struct proxy *p, struct session *s,
		   const struct run_result *r, hm_time now,
		   struct proxy_output *out)
{
	note_commit(s, route_of(p, s), r, now);
	note_transaction(s, r);
	session_answer(p, s, r->error, r, r->retry_at, now, out);
}

void session_result(struct proxy *p, const struct run_result *r, hm_time now,
		    struct proxy_output *out)
{
	uint32_t h = r->id.incarnation == p->options.core.incarnation
			     ? table_get(&p->by_request, r->id.seq)
			     : TABLE_NONE;
	struct session *s = h == TABLE_NONE ? NULL : p->sessions[h];

	if (!s || s->pending.phase != PENDING_RESULT ||
	    s->pending.endpoint != r->endpoint)
		return; /* given up before */
	place_load(p, r->endpoint)->outstanding--;
	learn(p, r, now);
	if (r->error && may_go_elsewhere(p, s, r, now)) {
		proxy_log(out, "event=elsewhere request=%s error=%s tried=%u",
			  s->pending.request, error_answer(r->error)->code,
			  s->pending.tried_count + 1);
		p->figures.retries++;
		s->pending.tried[s->pending.tried_count++] = r->endpoint;
		session_run(p, s, now, out);
		return;
	}
	finish(p, s, r, now, out);
}

void session_lost(struct proxy *p, struct session *s, bool home_gone,
		  hm_time now, struct proxy_output *out)
{
	struct run_result r = { .id = s->pending.id,
				.endpoint = s->pending.endpoint,
				.error = ERR_OUTCOME_UNKNOWN,
				.execution = EXEC_UNKNOWN,
				.state = SESSION_FAILED };

	proxy_log(out, "event=result_lost request=%s home=%016llx gone=%d",
		  s->pending.request, (unsigned long long)s->pending.home,
		  home_gone);
	if (!home_gone) {
		r.error = ERR_TIME_LIMIT;
		session_release(p, s, out);
	}
	/* What was not committed goes with the connections of the home. */
	if (home_gone && s->tx.state == SESSION_OPEN &&
	    s->pending.op != STMT_COMMIT)
		r.error = ERR_TX_GONE;
	session_result(p, &r, now, out);
}
