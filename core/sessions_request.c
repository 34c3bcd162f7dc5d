/** @file sessions_request.c Client requests on sessions. */
#include "proxy_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sessions_token.h"

/*
 * Longest wait for a rate token, which may come from another instance: a
 * fraction of the target latency, or, if that is longer, the time in which
 * TOKEN_WAIT_TOKENS tokens are issued, up to TOKEN_WAIT_MAX.
 */
#define TOKEN_WAIT_DIVISOR 2
#define TOKEN_WAIT_TOKENS 3
#define TOKEN_WAIT_MAX (400 * HM_MS)
/* Mean latency of a statement, including the time in queues. */
#define STATEMENT_TIME (25 * HM_MS)

static void answer_ok(struct proxy *p, struct session *s, hm_time now,
		      struct proxy_output *out)
{
	session_answer(p, s, ERR_NONE, NULL, 0, now, out);
}

static void refuse(struct proxy *p, struct session *s, enum error error,
		   hm_time now, struct proxy_output *out)
{
	session_answer(p, s, error, NULL, 0, now, out);
}

static void handle_set(struct proxy *p, struct session *s, hm_time now,
		       struct proxy_output *out)
{
	struct session_value *v;
	uint32_t i;

	for (i = 0; i < s->value_count; i++)
		if (!strcmp(s->values[i].name, s->pending.name))
			break;
	if (i == SESSION_VALUES_MAX) {
		refuse(p, s, ERR_TOO_LARGE, now, out);
		return;
	}
	if (i == s->value_count) {
		v = realloc(s->values, (i + 1) * sizeof(*v));
		if (!v)
			abort();
		s->values = v;
		s->values[i] = (struct session_value){ 0 };
		s->value_count++;
	}
	v = &s->values[i];
	free(v->name);
	free(v->value);
	v->name = text_copy(s->pending.name);
	v->value = text_copy(s->pending.text);
	answer_ok(p, s, now, out);
}

static struct prepared *find_prepared(const struct session *s, const char *name)
{
	uint32_t i;

	for (i = 0; i < s->prepared_count; i++)
		if (!strcmp(s->prepared[i].name, name))
			return &s->prepared[i];
	return NULL;
}

static void handle_prepare(struct proxy *p, struct session *s, hm_time now,
			   struct proxy_output *out)
{
	struct prepared *f = find_prepared(s, s->pending.name);

	if (!f && s->prepared_count == SESSION_PREPARED_MAX) {
		refuse(p, s, ERR_TOO_LARGE, now, out);
		return;
	}
	if (!f) {
		s->prepared = realloc(s->prepared,
				      (s->prepared_count + 1) * sizeof(*f));
		if (!s->prepared)
			abort();
		f = &s->prepared[s->prepared_count++];
		*f = (struct prepared){ 0 };
		f->name = text_copy(s->pending.name);
	}
	free(f->shape);
	f->shape = text_copy(s->pending.text);
	f->writes = s->pending.writes;
	answer_ok(p, s, now, out);
}

static void handle_deallocate(struct proxy *p, struct session *s, hm_time now,
			      struct proxy_output *out)
{
	struct prepared *f = find_prepared(s, s->pending.name);

	if (!f) {
		refuse(p, s, ERR_NO_STATEMENT, now, out);
		return;
	}
	free(f->name);
	free(f->shape);
	*f = s->prepared[--s->prepared_count];
	answer_ok(p, s, now, out);
}

/* Starts an operation after a token of its account was taken. */
static void start_admitted(struct proxy *p, struct session *s, hm_time now,
			   struct proxy_output *out)
{
	const struct route_spec *route = session_route(p, s);
	enum statement_op op = s->pending.op;

	if (op != STMT_BEGIN && op != STMT_BEGIN_READ) {
		session_run(p, s, now, out);
		return;
	}
	if (!route) {
		session_end(p, s, ERR_NOT_FOUND, now, out);
		return;
	}
	s->tx = (struct session_tx){ .state = SESSION_OPEN,
				     .read_only = op == STMT_BEGIN_READ,
				     .service = route->service,
				     .route = *route };
	answer_ok(p, s, now, out);
}

static void refuse_over_rate(struct proxy *p, struct session *s, hm_time now,
			     struct proxy_output *out)
{
	session_answer(
		p, s, ERR_RATE_LIMITED, NULL,
		rate_retry_at(p->rate, s->account, session_level(p, s), 1, now),
		now, out);
}

static hm_time token_wait(const struct proxy *p, const struct session *s)
{
	const struct route_spec *route = session_route(p, s);
	const struct contract *c = contracts_find(p->contracts, s->account);
	hm_time wait = route ? route->target / TOKEN_WAIT_DIVISOR : 0;
	hm_time issue_time = c ? TOKEN_WAIT_TOKENS * HM_SEC / c->rate : 0;

	if (issue_time > TOKEN_WAIT_MAX)
		issue_time = TOKEN_WAIT_MAX;
	return wait > issue_time ? wait : issue_time;
}

/*
 * Whether a retry that will miss its target latency is refused, so that scarce
 * tokens go to operations that can still meet theirs.
 */
static bool yields_token(const struct proxy *p, const struct session *s,
			 hm_time now, struct proxy_output *out)
{
	const struct route_spec *route = session_route(p, s);
	hm_time since =
		refused_op_since(&s->last_refused, s->pending.text, now);

	if (!route || !route->target ||
	    now - since + STATEMENT_TIME <= route->target ||
	    !session_tokens_scarce(p, s, now))
		return false;
	proxy_log(out, "event=yield request=%s asked_us=%lld target_us=%lld",
		  s->pending.request, (long long)(now - since),
		  (long long)route->target);
	return true;
}

static void admit_operation(struct proxy *p, struct session *s, hm_time now,
			    struct proxy_output *out)
{
	struct statement st = { .id = s->pending.id,
				.account = s->account,
				.level = session_level(p, s),
				.deadline = now + token_wait(p, s) };
	hm_time retry_at = 0;

	if (session_refuse_unplaceable(p, s, now, out))
		return;
	if (!s->account) {
		start_admitted(p, s, now, out);
		return;
	}
	if (yields_token(p, s, now, out) ||
	    admit_exhausted(p->admit, &st, now)) {
		refuse_over_rate(p, s, now, out);
		return;
	}
	s->pending.phase = PENDING_TOKEN;
	switch (admit_push(p->admit, &st, now, &retry_at, &out->peers)) {
	case ADMIT_PASS:
		p->counters.tokens_taken[st.level]++;
		start_admitted(p, s, now, out);
		break;
	case ADMIT_WAIT:
		/* A less urgent operation may be due to get the next token. */
		if (rate_level_count(p->rate) > 1)
			sessions_run_admitted(p, now, out);
		break;
	case ADMIT_REFUSE:
		session_answer(p, s, ERR_RATE_LIMITED, NULL, retry_at, now,
			       out);
		break;
	}
}

/*
 * Returns why the session may not run its request, ERR_NONE if it may. The key
 * is checked for each statement, the route for each new operation.
 */
static enum error check_access(struct proxy *p, struct session *s)
{
	const struct route_spec *route = session_route(p, s);

	return route ? session_check_key(p, s, route) : ERR_NOT_FOUND;
}

/*
 * Runs a statement of an open transaction. While the replicas are paused, no
 * commit can be acknowledged. A transaction that writes is then rolled back,
 * the client can retry it, and the session enters state @a aborted.
 */
static void run_in_tx(struct proxy *p, struct session *s,
		      enum session_state aborted, hm_time now,
		      struct proxy_output *out)
{
	if (!s->pending.writes ||
	    !place_replicas_paused(p, s->tx.service, now)) {
		session_run(p, s, now, out);
		return;
	}
	session_release(p, s, out);
	s->tx = (struct session_tx){ .state = aborted, .route = s->tx.route };
	session_answer(p, s, ERR_TX_GONE, NULL, now + PRIMARY_RETRY, now, out);
}

static void handle_end(struct proxy *p, struct session *s, hm_time now,
		       struct proxy_output *out)
{
	bool commit = s->pending.op == STMT_COMMIT;
	enum session_state was = s->tx.state;

	if (was == SESSION_IDLE) {
		refuse(p, s, ERR_BAD_REQUEST, now, out);
		return;
	}
	if (commit && was == SESSION_OPEN) {
		s->pending.writes = s->tx.wrote;
		run_in_tx(p, s, SESSION_IDLE, now, out);
		return;
	}
	session_release(p, s, out);
	s->tx = (struct session_tx){ 0 };
	/* A failed transaction is rolled back, even by a COMMIT. */
	if (commit)
		refuse(p, s, ERR_TX_GONE, now, out);
	else
		answer_ok(p, s, now, out);
}

static void handle_statement(struct proxy *p, struct session *s, hm_time now,
			     struct proxy_output *out)
{
	const struct prepared *f;

	if (s->pending.op == STMT_WRITE)
		s->pending.writes = true;
	if (s->pending.op == STMT_EXECUTE) {
		f = find_prepared(s, s->pending.name);
		if (!f) {
			refuse(p, s, ERR_NO_STATEMENT, now, out);
			return;
		}
		s->pending.writes = f->writes;
	}
	if (s->tx.state == SESSION_IDLE) {
		admit_operation(p, s, now, out);
		return;
	}
	s->tx.wrote |= s->pending.writes;
	run_in_tx(p, s, SESSION_FAILED, now, out);
}

static void handle_begin(struct proxy *p, struct session *s, hm_time now,
			 struct proxy_output *out)
{
	if (s->tx.state == SESSION_IDLE)
		admit_operation(p, s, now, out);
	else
		refuse(p, s, ERR_BAD_REQUEST, now, out);
}

static void (*const handlers[STMT_OP_COUNT])(struct proxy *p, struct session *s,
					     hm_time now,
					     struct proxy_output *out) = {
	[STMT_BEGIN] = handle_begin,
	[STMT_BEGIN_READ] = handle_begin,
	[STMT_COMMIT] = handle_end,
	[STMT_ROLLBACK] = handle_end,
	[STMT_READ] = handle_statement,
	[STMT_WRITE] = handle_statement,
	[STMT_SET] = handle_set,
	[STMT_PREPARE] = handle_prepare,
	[STMT_EXECUTE] = handle_statement,
	[STMT_DEALLOCATE] = handle_deallocate,
};

static void begin_pending(struct proxy *p, struct session *s,
			  const struct proxy_event *e, hm_time now)
{
	const struct route_spec *route = session_route(p, s);
	struct pending *q = &s->pending;

	if (route)
		q->route = *route;
	q->op = e->asked.op;
	q->id.incarnation = p->options.core.incarnation;
	q->id.seq = ++p->next_request;
	snprintf(q->request, sizeof(q->request), "%s", e->asked.request);
	q->name = text_copy(e->asked.name ? e->asked.name : "");
	q->text = text_copy(e->asked.text ? e->asked.text : "");
	q->writes = e->asked.writes;
	q->since = now;
	if (!table_put(&p->by_request, q->id.seq,
		       table_get(&p->by_client, s->number)))
		abort();
}

void session_request(struct proxy *p, const struct proxy_event *e, hm_time now,
		     struct proxy_output *out)
{
	struct session *s = session_find(p, e->asked.client);
	enum error error;

	if (!s || s->pending.request[0])
		return; /* closed, or the last request is unanswered */
	begin_pending(p, s, e, now);
	error = check_access(p, s);
	if (error) {
		session_end(p, s, error, now, out);
		return;
	}
	if (e->asked.malformed ||
	    (s->tx.state == SESSION_FAILED && e->asked.op != STMT_COMMIT &&
	     e->asked.op != STMT_ROLLBACK)) {
		refuse(p, s, ERR_BAD_REQUEST, now, out);
		return;
	}
	handlers[e->asked.op](p, s, now, out);
}

void sessions_run_admitted(struct proxy *p, hm_time now,
			   struct proxy_output *out)
{
	struct admit_result left;
	struct session *s;
	uint32_t h;

	while (admit_next(p->admit, now, &left)) {
		h = table_get(&p->by_request, left.statement.id.seq);
		if (h == TABLE_NONE)
			continue;
		s = p->sessions[h];
		if (left.admitted) {
			p->counters.tokens_taken[left.statement.level]++;
			start_admitted(p, s, now, out);
			continue;
		}
		if (left.overtaken)
			session_log_displaced(p, s, left.by_level, out);
		session_answer(p, s, ERR_RATE_LIMITED, NULL, left.retry_at, now,
			       out);
	}
}

void sessions_refuse_over_rate(struct proxy *p, hm_id account, hm_time now,
			       struct proxy_output *out)
{
	admit_refuse_exhausted(p->admit, account, now);
	sessions_run_admitted(p, now, out);
}
