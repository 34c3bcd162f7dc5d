/** @file sessions.c Client sessions: start, answers, checks and end. */
#include "proxy_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sessions_token.h"

/*
 * An instance that is not ready ends its idle sessions after this time. By
 * then the load balancer sends their clients to other instances.
 */
#define STOP_CLOSE_AFTER (2200 * HM_MS)
/* Shorter than the second between the stop limit and the exit. */
#define STOP_RESULT_WAIT (800 * HM_MS)

struct session *session_find(const struct proxy *p, uint64_t number)
{
	uint32_t h = table_get(&p->by_client, number);

	return h == TABLE_NONE ? NULL : p->sessions[h];
}

static struct session *session_add(struct proxy *p, uint64_t number)
{
	struct session *s = calloc(1, sizeof(*s));

	if (p->session_count == p->session_capacity) {
		p->session_capacity =
			p->session_capacity ? p->session_capacity * 2 : 64;
		p->sessions = realloc(p->sessions,
				      p->session_capacity * sizeof(void *));
	}
	if (!s || !p->sessions ||
	    !table_put(&p->by_client, number, p->session_count))
		abort();
	s->number = number;
	p->sessions[p->session_count++] = s;
	return s;
}

static void clear_pending(struct proxy *p, struct session *s)
{
	if (s->pending.id.seq)
		table_remove(&p->by_request, s->pending.id.seq);
	free(s->pending.name);
	free(s->pending.text);
	s->pending = (struct pending){ 0 };
}

static void free_session(struct proxy *p, struct session *s)
{
	uint32_t i;

	clear_pending(p, s);
	for (i = 0; i < s->prepared_count; i++) {
		free(s->prepared[i].name);
		free(s->prepared[i].shape);
	}
	free(s->prepared);
	values_free(s->values, s->value_count);
	own_commits_clear(&s->own_commits);
	refused_op_clear(&s->last_refused);
	return_ticket_clear(&s->told);
	free(s);
}

/* Moves the last session to the index of the removed one. */
static void session_remove(struct proxy *p, struct session *s)
{
	uint32_t h = table_get(&p->by_client, s->number);
	struct session *last = p->sessions[--p->session_count];

	table_remove(&p->by_client, s->number);
	p->sessions[h] = last;
	if (last != s) {
		table_put(&p->by_client, last->number, h);
		if (last->pending.id.seq)
			table_put(&p->by_request, last->pending.id.seq, h);
	}
	free_session(p, s);
}

void sessions_free(struct proxy *p)
{
	while (p->session_count)
		session_remove(p, p->sessions[p->session_count - 1]);
	free(p->sessions);
	table_free(&p->by_client);
	table_free(&p->by_request);
}

static const char *error_code(enum error error)
{
	return error_answer(error)->code;
}

static const char *account_name(const struct proxy *p, const struct session *s)
{
	const struct contract *c = contracts_find(p->contracts, s->account);

	return c ? c->name : "-";
}

void session_answer(struct proxy *p, struct session *s, enum error error,
		    const struct run_result *result, hm_time retry_at,
		    hm_time now, struct proxy_output *out)
{
	struct proxy_action *a = proxy_action(out, PROXY_ANSWER);

	retry_at = session_order_return(p, s, error, result, retry_at, now);
	a->answer.client = s->number;
	a->answer.error = error;
	a->answer.state = s->tx.state;
	a->answer.took = now - s->pending.since;
	if (retry_at > now)
		a->answer.retry_in = retry_at - now;
	if (result) {
		a->answer.at = result->at;
		a->answer.signature = text_copy(result->signature);
		if (result->row_bytes) {
			a->answer.rows = malloc(result->row_bytes);
			if (!a->answer.rows)
				abort();
			memcpy(a->answer.rows, result->rows, result->row_bytes);
			a->answer.row_bytes = result->row_bytes;
		}
	}
	if (error)
		proxy_log(out,
			  "event=refused request=%s session=%llu account=%s "
			  "error=%s state=%d waited_us=%lld retry_us=%lld",
			  s->pending.request, (unsigned long long)s->number,
			  account_name(p, s), error_code(error), s->tx.state,
			  (long long)(now - s->pending.since),
			  (long long)(retry_at > now ? retry_at - now : 0));
	if (error == ERR_RATE_LIMITED) {
		refused_op_note(&s->last_refused, s->pending.text,
				s->pending.since, now);
		session_note_over_rate(p, s, now);
	}
	p->counters.answered++;
	p->counters.errors[error]++;
	clear_pending(p, s);
}

static void close_session(struct proxy *p, struct session *s, hm_time now,
			  struct proxy_output *out)
{
	if (s->pending.phase == PENDING_TOKEN)
		admit_drop(p->admit, s->pending.id);
	session_release(p, s, out);
	proxy_action(out, PROXY_CLOSE_CLIENT)->client = s->number;
	(void)now;
	session_remove(p, s);
}

void session_end(struct proxy *p, struct session *s, enum error error,
		 hm_time now, struct proxy_output *out)
{
	if (s->pending.request[0])
		session_answer(p, s, error, NULL, 0, now, out);
	close_session(p, s, now, out);
}

/*
 * Sets the session's account from its key. Returns the error to report when the
 * key is no longer valid, for example because it was revoked.
 */
enum error session_check_key(struct proxy *p, struct session *s,
			     const struct route_spec *route)
{
	hm_id account = s->has_key ? site_account_by_key(p->config, s->key) : 0;

	s->account = contracts_find(p->contracts, account) ? account : 0;
	if (s->account || (route && route->open))
		return ERR_NONE;
	return ERR_UNAUTHENTICATED;
}

void session_opened(struct proxy *p, const struct proxy_event *e, hm_time now,
		    struct proxy_output *out)
{
	struct session *s = session_add(p, e->opened.client);
	const struct route_spec *route;
	enum error error = ERR_NONE;
	struct proxy_action *a;

	s->database = e->opened.database;
	s->has_key = e->opened.has_key;
	s->key = e->opened.key;
	route = site_route(p->config, s->database);
	if (!p->config)
		error = ERR_STOPPING;
	else if (!route)
		error = ERR_NOT_FOUND;
	else
		error = session_check_key(p, s, route);
	a = proxy_action(out, PROXY_ANSWER);
	a->answer.client = s->number;
	a->answer.opened = true;
	a->answer.error = error;
	p->counters.errors[error]++;
	if (!error)
		return;
	proxy_log(
		out,
		"event=session_refused session=%llu error=%s config=%llu "
		"in_force_us=%lld newest=%llu",
		(unsigned long long)s->number, error_code(error),
		(unsigned long long)(p->config ? p->config->version : 0),
		(long long)(p->config ? now - p->config_at : 0),
		(unsigned long long)p->newer[DOCUMENT_CONFIG].version.revision);
	close_session(p, s, now, out);
}

void session_closed(struct proxy *p, uint64_t number, hm_time now,
		    struct proxy_output *out)
{
	struct session *s = session_find(p, number);

	(void)now;
	if (!s)
		return;
	if (s->pending.phase == PENDING_TOKEN)
		admit_drop(p->admit, s->pending.id);
	if (s->pending.phase == PENDING_RESULT)
		place_load(p, s->pending.endpoint)->outstanding--;
	session_release(p, s, out);
	session_remove(p, s);
}

void sessions_check_access(struct proxy *p, hm_time now,
			   struct proxy_output *out)
{
	uint32_t i = p->session_count;

	while (i-- > 0) {
		struct session *s = p->sessions[i];

		if (s->pending.request[0])
			continue; /* its next request checks the key */
		if (session_check_key(p, s, site_route(p->config, s->database)))
			close_session(p, s, now, out);
	}
}

static bool is_idle(const struct session *s)
{
	return s->tx.state == SESSION_IDLE && !s->pending.request[0];
}

/*
 * During a shutdown, idle sessions end early, busy ones at the stop limit. A
 * statement that was sent to a member may have run by then: its result is
 * awaited a little longer, and without one its outcome is unknown.
 */
static void check_stop(struct proxy *p, struct session *s, hm_time now,
		       struct proxy_output *out)
{
	hm_time since = now - p->stop_since;
	hm_time limit = p->options.stop_limit;

	if (s->pending.phase == PENDING_RESULT) {
		if (since > limit + STOP_RESULT_WAIT)
			session_result_lost(p, s, false, now, out);
		return;
	}
	if (since > (is_idle(s) ? STOP_CLOSE_AFTER : limit))
		session_end(p, s, ERR_STOPPING, now, out);
}

static void check_session(struct proxy *p, struct session *s, hm_time now,
			  struct proxy_output *out)
{
	const struct pending *q = &s->pending;

	if (q->phase == PENDING_RESULT && !peers_alive(p->peers, q->owner))
		session_result_lost(p, s, true, now, out);
	else if (q->phase == PENDING_RESULT && now > q->deadline)
		session_result_lost(p, s, false, now, out);
	else if (proxy_stopping(p))
		check_stop(p, s, now, out);
	else if (p->partitioned_since && is_idle(s) &&
		 now - p->partitioned_since > STOP_CLOSE_AFTER)
		close_session(p, s, now, out);
}

void sessions_tick(struct proxy *p, hm_time now, struct proxy_output *out)
{
	uint32_t i = p->session_count;

	admit_tick(p->admit, now, &out->peers);
	sessions_run_admitted(p, now, out);
	if (i > p->session_count)
		i = p->session_count;
	while (i-- > 0)
		check_session(p, p->sessions[i], now, out);
}
