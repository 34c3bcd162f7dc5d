/** @file sessions.c Sessions of callers: what they ask for, and the answers. */
#include "proxy_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A token may be fetched from another instance before a caller is refused. */
#define TOKEN_WAIT_PARTS 2  /* of the latency wanted */
#define TOKEN_WAIT_TOKENS 3 /* or the time in which so many are minted, */
#define TOKEN_WAIT_MOST (400 * HM_MS) /* but no longer than this */
/* After a stop began, callers go elsewhere from then on: idle sessions end. */
#define STOP_CLOSE_AFTER (2200 * HM_MS)
/* Prepared statements that one session may keep. */
#define PREPARED_MAX 256

struct session *session_find(const struct proxy *p, uint64_t number)
{
	uint32_t h = table_get(&p->by_client, number);

	return h == TABLE_NONE ? NULL : p->sessions[h];
}

static struct session *session_add(struct proxy *p, uint64_t number)
{
	struct session *s = calloc(1, sizeof(*s));

	if (p->session_count == p->session_room) {
		p->session_room = p->session_room ? p->session_room * 2 : 64;
		p->sessions =
			realloc(p->sessions, p->session_room * sizeof(void *));
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
	free(s);
}

/* The last session moves to the place of the removed one. */
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

	a->answer.client = s->number;
	a->answer.error = error;
	a->answer.state = s->tx.state;
	a->answer.took = now - s->pending.since;
	if (retry_at > now)
		a->answer.retry_in = retry_at - now;
	if (result) {
		a->answer.at = result->at;
		a->answer.receipt = text_copy(result->receipt);
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
	p->figures.answered++;
	p->figures.errors[error]++;
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

/* The account that the key of a session belongs to now. */
static enum error check_key(struct proxy *p, struct session *s,
			    const struct route_spec *route)
{
	const struct contract *c =
		s->has_key ? contracts_by_key(p->contracts, s->key) : NULL;

	s->account = c ? c->account : 0;
	if (c || (route && route->open))
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
		error = check_key(p, s, route);
	a = proxy_action(out, PROXY_ANSWER);
	a->answer.client = s->number;
	a->answer.opened = true;
	a->answer.error = error;
	p->figures.errors[error]++;
	if (!error)
		return;
	proxy_log(out,
		  "event=session_refused session=%llu error=%s config=%llu",
		  (unsigned long long)s->number, error_code(error),
		  (unsigned long long)(p->config ? p->config->version : 0));
	close_session(p, s, now, out);
}

void session_gone(struct proxy *p, uint64_t number, hm_time now,
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

static void ask_set(struct proxy *p, struct session *s, hm_time now,
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

static void ask_prepare(struct proxy *p, struct session *s, hm_time now,
			struct proxy_output *out)
{
	struct prepared *f = find_prepared(s, s->pending.name);

	if (!f && s->prepared_count == PREPARED_MAX) {
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

static void ask_deallocate(struct proxy *p, struct session *s, hm_time now,
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

/* The operation may begin: a token of its account was taken. */
static void admitted(struct proxy *p, struct session *s, hm_time now,
		     struct proxy_output *out)
{
	const struct route_spec *route = site_route(p->config, s->database);
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
	session_answer(p, s, ERR_RATE_LIMITED, NULL,
		       rate_retry_at(p->rate, s->account, 1, now), now, out);
}

static hm_time token_wait(const struct proxy *p, const struct session *s)
{
	const struct route_spec *route = site_route(p->config, s->database);
	const struct contract *c = contracts_find(p->contracts, s->account);
	hm_time wait = route ? route->target / TOKEN_WAIT_PARTS : 0;
	hm_time minted = c ? TOKEN_WAIT_TOKENS * HM_SEC / c->rate : 0;

	if (minted > TOKEN_WAIT_MOST)
		minted = TOKEN_WAIT_MOST;
	return wait > minted ? wait : minted;
}

static void admit_operation(struct proxy *p, struct session *s, hm_time now,
			    struct proxy_output *out)
{
	struct statement st = { .id = s->pending.id,
				.account = s->account,
				.deadline = now + token_wait(p, s) };
	hm_time retry_at = 0;

	if (!s->account) {
		admitted(p, s, now, out);
		return;
	}
	if (rate_dry(p->rate, s->account, now)) {
		refuse_over_rate(p, s, now, out);
		return;
	}
	s->pending.phase = PENDING_TOKEN;
	switch (admit_push(p->admit, &st, now, &retry_at, &out->peers)) {
	case ADMIT_PASS:
		admitted(p, s, now, out);
		break;
	case ADMIT_WAIT:
		break;
	case ADMIT_REFUSE:
		session_answer(p, s, ERR_RATE_LIMITED, NULL, retry_at, now,
			       out);
		break;
	}
}

/* Key and route hold for each new operation, the key for each statement. */
static enum error check_rights(struct proxy *p, struct session *s)
{
	const struct route_spec *route = site_route(p->config, s->database);
	bool in_tx = s->tx.state != SESSION_IDLE;

	if (!in_tx && !route)
		return ERR_NOT_FOUND;
	return check_key(p, s, in_tx ? &s->tx.route : route);
}

static void ask_end(struct proxy *p, struct session *s, hm_time now,
		    struct proxy_output *out)
{
	bool commit = s->pending.op == STMT_COMMIT;
	enum session_state was = s->tx.state;

	if (was == SESSION_IDLE) {
		refuse(p, s, ERR_BAD_REQUEST, now, out);
		return;
	}
	if (commit && was == SESSION_OPEN) {
		session_run(p, s, now, out);
		return;
	}
	session_release(p, s, out);
	s->tx = (struct session_tx){ 0 };
	/* A failed transaction is rolled back, whatever ends it. */
	if (commit)
		refuse(p, s, ERR_TX_GONE, now, out);
	else
		answer_ok(p, s, now, out);
}

static void ask_statement(struct proxy *p, struct session *s, hm_time now,
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
	if (s->tx.state == SESSION_IDLE)
		admit_operation(p, s, now, out);
	else
		session_run(p, s, now, out);
}

static void ask_begin(struct proxy *p, struct session *s, hm_time now,
		      struct proxy_output *out)
{
	if (s->tx.state == SESSION_IDLE)
		admit_operation(p, s, now, out);
	else
		refuse(p, s, ERR_BAD_REQUEST, now, out);
}

static void (*const askers[STMT_OP_COUNT])(struct proxy *p, struct session *s,
					   hm_time now,
					   struct proxy_output *out) = {
	[STMT_BEGIN] = ask_begin,	[STMT_BEGIN_READ] = ask_begin,
	[STMT_COMMIT] = ask_end,	[STMT_ROLLBACK] = ask_end,
	[STMT_READ] = ask_statement,	[STMT_WRITE] = ask_statement,
	[STMT_SET] = ask_set,		[STMT_PREPARE] = ask_prepare,
	[STMT_EXECUTE] = ask_statement, [STMT_DEALLOCATE] = ask_deallocate,
};

static void begin_pending(struct proxy *p, struct session *s,
			  const struct proxy_event *e, hm_time now)
{
	struct pending *q = &s->pending;

	q->op = e->asked.op;
	q->id.life = p->options.core.life;
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

void session_asked(struct proxy *p, const struct proxy_event *e, hm_time now,
		   struct proxy_output *out)
{
	struct session *s = session_find(p, e->asked.client);
	enum error error;

	if (!s || s->pending.request[0])
		return; /* closed meanwhile; a front sends one at a time */
	begin_pending(p, s, e, now);
	error = check_rights(p, s);
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
	askers[e->asked.op](p, s, now, out);
}

void sessions_check(struct proxy *p, hm_time now, struct proxy_output *out)
{
	uint32_t i = p->session_count;

	while (i-- > 0) {
		struct session *s = p->sessions[i];

		if (s->pending.request[0])
			continue; /* its next request finds out */
		if (check_key(p, s, site_route(p->config, s->database)))
			close_session(p, s, now, out);
	}
}

void sessions_admitted(struct proxy *p, hm_time now, struct proxy_output *out)
{
	struct admit_left left;
	struct session *s;
	uint32_t h;

	while (admit_next(p->admit, now, &left)) {
		h = table_get(&p->by_request, left.statement.id.seq);
		if (h == TABLE_NONE)
			continue;
		s = p->sessions[h];
		if (left.passed)
			admitted(p, s, now, out);
		else
			session_answer(p, s, ERR_RATE_LIMITED, NULL,
				       left.retry_at, now, out);
	}
}

void sessions_over_rate(struct proxy *p, hm_id account, hm_time now,
			struct proxy_output *out)
{
	uint32_t i;

	if (!rate_dry(p->rate, account, now))
		return;
	for (i = 0; i < p->session_count; i++) {
		struct session *s = p->sessions[i];

		if (s->pending.phase != PENDING_TOKEN || s->account != account)
			continue;
		admit_drop(p->admit, s->pending.id);
		refuse_over_rate(p, s, now, out);
	}
}

/* During a shutdown: sessions at rest end, open transactions have a while. */
static void check_stop(struct proxy *p, struct session *s, hm_time now,
		       struct proxy_output *out)
{
	hm_time since = now - p->stop_since;
	bool at_rest = s->tx.state == SESSION_IDLE && !s->pending.request[0];

	if (at_rest ? since > STOP_CLOSE_AFTER : since > p->options.stop_limit)
		session_end(p, s, ERR_STOPPING, now, out);
}

static void check_session(struct proxy *p, struct session *s, hm_time now,
			  struct proxy_output *out)
{
	const struct pending *q = &s->pending;

	if (q->phase == PENDING_RESULT && !peers_alive(p->peers, q->home))
		session_lost(p, s, true, now, out);
	else if (q->phase == PENDING_RESULT && now > q->deadline)
		session_lost(p, s, false, now, out);
	else if (proxy_stopping(p))
		check_stop(p, s, now, out);
}

void sessions_tick(struct proxy *p, hm_time now, struct proxy_output *out)
{
	uint32_t i = p->session_count;

	admit_tick(p->admit, now, &out->peers);
	sessions_admitted(p, now, out);
	if (i > p->session_count)
		i = p->session_count;
	while (i-- > 0)
		check_session(p, p->sessions[i], now, out);
}
