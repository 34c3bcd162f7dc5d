/** @file sessions_run.c Sends statements of sessions to members. */
#include "sessions_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* An owner answers by the deadline; after this time no answer will come. */
#define RESULT_GRACE (150 * HM_MS)
/* A session requires its own commit for max_age plus this margin. */
#define OWN_COMMIT_MARGIN (200 * HM_MS)
/* Idle limit of a transaction if the configuration does not set one. */
#define DEFAULT_IDLE_LIMIT (3 * HM_SEC)
/* Weight of clients without an account. */
#define DEFAULT_WEIGHT 1

void session_release(struct proxy *p, struct session *s,
		     struct proxy_output *out)
{
	bool waiting = s->pending.phase == PENDING_RESULT;
	struct message *m;
	uint64_t owner = s->tx.started ? s->tx.owner : s->pending.owner;

	if (!s->tx.started && !(waiting && s->tx.state == SESSION_OPEN))
		return;
	m = proxy_send(p, owner, MSG_RELEASE, out);
	m->release.tx = s->tx.started ? s->tx.id : s->pending.id;
	m->release.endpoint =
		s->tx.started ? s->tx.endpoint : s->pending.endpoint;
	s->tx.started = false;
}

const struct route_spec *session_route(const struct proxy *p,
				       const struct session *s)
{
	if (s->pending.request[0])
		return s->pending.route.database ? &s->pending.route : NULL;
	if (s->tx.state != SESSION_IDLE)
		return &s->tx.route;
	return site_route(p->config, s->database);
}

enum run_scope session_scope(const struct session *s)
{
	if (s->tx.state != SESSION_OPEN)
		return RUN_SINGLE;
	return s->tx.started ? RUN_INSIDE : RUN_FIRST;
}

/*
 * When a commit was acknowledged that a read must see as a commit of its own
 * session, at the earliest. An older one is covered by the minimum position
 * that the view gives for max_age.
 */
static hm_time own_commits_since(const struct route_spec *route, hm_time now)
{
	return now - route->max_age - OWN_COMMIT_MARGIN;
}

/* The commit of its session that a read must see, NULL for none. */
static const struct own_commit *required_commit(const struct session *s,
						const struct route_spec *route,
						hm_time now)
{
	const struct own_commit *c =
		own_commits_find(&s->own_commits, route->service);

	if (!c || route->consistency != CONSISTENT_SESSION ||
	    c->acknowledged_at < own_commits_since(route, now))
		return NULL;
	return c;
}

/* Whether a read must see a commit whose position is not kept any more. */
static bool requires_dropped_commit(const struct session *s,
				    const struct route_spec *route, hm_time now)
{
	return route->consistency == CONSISTENT_SESSION &&
	       own_commits_dropped(&s->own_commits, route->service,
				   own_commits_since(route, now));
}

bool session_needs_primary(const struct session *s,
			   const struct route_spec *route, hm_time now)
{
	if (route->consistency == CONSISTENT_PRIMARY || !route->max_age)
		return true;
	if (s->tx.state == SESSION_OPEN && !s->tx.read_only)
		return true;
	if (s->tx.state != SESSION_OPEN && s->pending.writes)
		return true;
	return requires_dropped_commit(s, route, now);
}

hm_time session_commit_age(const struct session *s,
			   const struct route_spec *route, hm_time now)
{
	const struct own_commit *c = required_commit(s, route, now);

	return c ? now - c->acknowledged_at + 1 : 0;
}

/* What the pending statement requires of the member that runs it. */
static struct member_requirements
requirements_of(const struct proxy *p, const struct session *s,
		const struct route_spec *route, hm_time now)
{
	return (struct member_requirements){
		.service = route->service,
		.primary_only = session_needs_primary(s, route, now),
		.writes = s->pending.writes,
		.level = route->level,
		.commit_age = session_commit_age(s, route, now),
		.barred = route->barred |
			  site_account_barred(p->config, s->account),
		.tried = s->pending.tried,
		.tried_count = s->pending.tried_count
	};
}

static const struct prepared *prepared_of(const struct session *s)
{
	uint32_t i;

	for (i = 0; s->pending.op == STMT_EXECUTE && i < s->prepared_count; i++)
		if (!strcmp(s->prepared[i].name, s->pending.name))
			return &s->prepared[i];
	return NULL;
}

static struct run_request *new_run_request(struct proxy *p,
					   const struct session *s,
					   const struct route_spec *route,
					   hm_time now)
{
	const struct contract *c = contracts_find(p->contracts, s->account);
	const struct prepared *f = prepared_of(s);
	struct run_request *o = calloc(1, sizeof(*o));

	if (!o)
		abort();
	o->id = s->pending.id;
	o->tx = s->tx.started ? s->tx.id : s->pending.id;
	o->service = route->service;
	o->account = s->account;
	snprintf(o->account_name, sizeof(o->account_name), "%s",
		 c ? c->name : "-");
	o->weight = c ? c->weight : DEFAULT_WEIGHT;
	o->level = route->level;
	o->op = s->pending.op;
	o->scope = session_scope(s);
	o->read_only = s->tx.read_only;
	o->writes = s->pending.writes;
	o->deadline = now + route->statement_limit;
	o->start_by = o->scope == RUN_INSIDE ? o->deadline
					     : s->pending.since + route->target;
	o->idle_limit = p->config->idle_limit ? p->config->idle_limit
					      : DEFAULT_IDLE_LIMIT;
	memcpy(o->request, s->pending.request, sizeof(o->request));
	o->text = text_copy(s->pending.text);
	o->shape = f ? text_copy(f->shape) : NULL;
	o->values = values_copy(s->values, s->value_count);
	o->value_count = s->value_count;
	return o;
}

/* By what the statement sees the commits that it must see, for the log. */
static const char *requirement_name(const struct session *s,
				    const struct route_spec *route,
				    const struct run_request *o, hm_time now)
{
	if (o->scope == RUN_INSIDE)
		return "transaction";
	if (!o->writes && requires_dropped_commit(s, route, now))
		return "dropped_commit";
	if (o->primary_only || o->writes)
		return "primary";
	return required_commit(s, route, now) ? "own_commit" : "sample";
}

static void send_run_request(struct proxy *p, struct session *s,
			     struct run_request *o, uint64_t owner,
			     const char *reason, hm_time now,
			     struct proxy_output *out)
{
	struct member_load *l = place_load(p, o->endpoint);
	const struct site_member *m =
		site_members_find(p->members, o->endpoint);
	const struct own_commit *commit =
		own_commits_find(&s->own_commits, o->service);

	proxy_log(
		out,
		"event=route request=%s session=%llu account=%s member=%s "
		"home=%016llx reason=%s scope=%d lead=%d floor=%llu.%llu "
		"age_us=%lld attempt=%u config=%llu service=%s requires=%s "
		"commit=%s commit_age_us=%lld",
		o->request, (unsigned long long)s->number, o->account_name,
		m ? m->name : "-", (unsigned long long)owner, reason, o->scope,
		o->primary_only, (unsigned long long)o->min_position.term,
		(unsigned long long)o->min_position.pos, (long long)o->max_age,
		s->pending.tried_count, (unsigned long long)p->config->version,
		m ? m->service_name : "-",
		requirement_name(s, session_route(p, s), o, now),
		commit ? commit->request : "-",
		commit ? (long long)(now - commit->acknowledged_at) : 0LL);
	s->pending.phase = PENDING_RESULT;
	s->pending.sent_at = now;
	s->pending.owner = owner;
	s->pending.endpoint = o->endpoint;
	s->pending.deadline = o->deadline + RESULT_GRACE;
	s->pending.sent_at = now;
	s->pending.expected_wait = load_wait(&l->level, owner, o->level, now);
	l->outstanding++;
	proxy_send(p, owner, MSG_RUN, out)->run = o;
}

static void run_in_transaction(struct proxy *p, struct session *s,
			       struct run_request *o, hm_time now,
			       struct proxy_output *out)
{
	o->endpoint = s->tx.endpoint;
	send_run_request(p, s, o, s->tx.owner, "transaction", now, out);
}

/* Answers a statement that no member can take now; it has not run. */
static void refuse_unplaced(struct proxy *p, struct session *s,
			    bool primary_only, const struct placement *place,
			    hm_time now, struct proxy_output *out)
{
	proxy_log(out, "event=unplaced request=%s reason=%s primary=%d",
		  s->pending.request, place->reason, primary_only);
	if (s->tx.state == SESSION_OPEN)
		s->tx.state = SESSION_FAILED;
	session_answer(p, s, primary_only ? ERR_NO_PRIMARY : ERR_NO_ENDPOINT,
		       NULL, place->retry_at, now, out);
}

bool session_refuse_unplaceable(struct proxy *p, struct session *s, hm_time now,
				struct proxy_output *out)
{
	const struct route_spec *route = session_route(p, s);
	struct member_requirements need;
	struct placement place;

	if (!route)
		return false; /* refused later, as not found */
	need = requirements_of(p, s, route, now);
	/* What follows it may write. */
	need.primary_only |= s->pending.op == STMT_BEGIN;
	place = place_choose(p, &need, now);
	if (place.endpoint && place.owner)
		return session_refuse_by_load(p, s, &place, now, out);
	refuse_unplaced(p, s, need.primary_only, &place, now, out);
	return true;
}

void session_run(struct proxy *p, struct session *s, hm_time now,
		 struct proxy_output *out)
{
	const struct route_spec *route = session_route(p, s);
	const struct own_commit *commit;
	struct placement place;
	struct run_request *o;
	struct member_requirements need;

	if (!route) {
		session_end(p, s, ERR_NOT_FOUND, now, out);
		return;
	}
	o = new_run_request(p, s, route, now);
	if (o->scope == RUN_INSIDE) {
		run_in_transaction(p, s, o, now, out);
		return;
	}
	need = requirements_of(p, s, route, now);
	place = place_choose(p, &need, now);
	if (!place.endpoint || !place.owner) {
		run_request_free(o);
		refuse_unplaced(p, s, need.primary_only, &place, now, out);
		return;
	}
	o->endpoint = place.endpoint;
	o->primary_only = place.is_primary;
	commit = required_commit(s, route, now);
	if (!place.is_primary && commit)
		o->min_position = commit->at;
	o->max_age = place.is_primary ? 0 : route->max_age;
	if (place.is_primary)
		p->counters.reads_primary += !o->writes;
	else
		p->counters.reads_replica++;
	if (!s->pending.tried_count)
		budget_request(p->budget, s->account, o->endpoint, now);
	send_run_request(p, s, o, place.owner, place.reason, now, out);
}
