/** @file front_exchange.c One HTTP request, from its headers to its answer. */
#include "front_internal.h"

#include <stdio.h>

#include "log.h"
#include "reply.h"

#define JSON_TYPE "application/json"
#define NUMBER_BYTES 24

static void add_header(h2o_req_t *req, const char *name, const char *value)
{
	h2o_iovec_t copy = h2o_strdup(&req->pool, value, strlen(value));

	h2o_add_header_by_str(&req->pool, &req->res.headers, name, strlen(name),
			      1, NULL, copy.base, copy.len);
}

void exchange_send(struct exchange *x, int status, const char *type,
		   const char *text, size_t bytes)
{
	h2o_req_t *req = x->req;
	char id[RID_TEXT_BYTES];

	x->req = NULL;
	req->res.status = status;
	req->res.reason = "";
	req->res.content_length = bytes;
	add_header(req, "content-type", type);
	add_header(req, "cache-control", "no-store");
	add_header(req, "request-id", rid_text(x->id, id));
	/*
	 * During a shutdown an HTTP/1 connection is closed after the answer; on
	 * HTTP/2 connections h2o sends GOAWAY.
	 */
	if (x->front->stopping)
		req->http1_is_persistent = 0;
	h2o_send_inline(req, text, bytes);
}

static void add_retry_after(struct exchange *x, const struct result *result,
			    hm_time now)
{
	char text[NUMBER_BYTES];
	hm_time ms = reply_retry_ms(result->retry_at, now);

	snprintf(text, sizeof(text), "%lld", (long long)((ms + 999) / 1000));
	add_header(x->req, "retry-after", text);
}

static void add_token(struct exchange *x, const struct result *result)
{
	char text[TOKEN_TEXT_BYTES];

	if (!x->binding)
		return;
	if (!token_add_result(&x->token, result))
		log_event(G_LOG_LEVEL_CRITICAL, "token_full", NULL);
	if (!x->token.count)
		return;
	token_write(&x->token, x->front->settings->token_secret, text);
	add_header(x->req, "session-token", text);
}

static const char *name_of(const struct front *f, hm_id id)
{
	if (!id || !f->hooks.name)
		return NULL;
	return f->hooks.name(f->hooks.owner, id);
}

static void log_answer(const struct exchange *x, const struct result *result,
		       int status)
{
	char id[RID_TEXT_BYTES], code[NUMBER_BYTES], spent[NUMBER_BYTES];

	if (!log_enabled(G_LOG_LEVEL_INFO))
		return;
	snprintf(code, sizeof(code), "%d", status);
	snprintf(spent, sizeof(spent), "%lld",
		 (long long)(loop_now() - x->arrived_at));
	log_event(G_LOG_LEVEL_INFO, "answer", "request", rid_text(x->id, id),
		  "route", x->route ? x->route->path : NULL, "account",
		  name_of(x->front, x->binding), "database",
		  name_of(x->front, x->database), "endpoint",
		  name_of(x->front, result->endpoint), "status", code, "code",
		  error_answer(result->error)->code, "execution",
		  execution_name(result->execution), "micros", spent, NULL);
}

/* Removes the result's body from the body store; NULL if it has none. */
static GBytes *take_body(struct front *f, const struct result *result)
{
	GBytes *body;

	if (!result->body)
		return NULL;
	body = bodies_get(f->bodies, result->body);
	if (body)
		g_bytes_ref(body);
	bodies_drop(f->bodies, result->body);
	return body;
}

/*
 * Returns the result to answer with. A commit that finds its transaction gone
 * gets an unknown outcome: an earlier commit request, whose answer was lost,
 * may have committed the transaction.
 */
static struct result commit_result(const struct exchange *x,
				   const struct result *result)
{
	struct result r = *result;

	if (x->op == OP_COMMIT && r.error == ERR_TX_GONE) {
		r.execution = EXEC_UNKNOWN;
		r.database = x->database;
		r.unsure = true;
	}
	return r;
}

static void send_result(struct exchange *x, const struct result *result,
			const char *text)
{
	struct front *f = x->front;
	int status = error_answer(result->error)->status;
	struct reply reply = {
		.result = result,
		.text = text,
		.endpoint = name_of(f, result->endpoint),
		.body = take_body(f, result),
		.tx_database = x->database,
		.now = loop_now(),
	};
	GString *json = reply_json(&reply);

	if (x->body)
		bodies_drop(f->bodies, x->body);
	add_token(x, result);
	if (result->retry_at)
		add_retry_after(x, result, reply.now);
	if (result->error == ERR_UNAUTHENTICATED)
		add_header(x->req, "www-authenticate", "Bearer");
	front_counts_add(f->counts, x, result->error);
	log_answer(x, result, status);
	exchange_send(x, status, JSON_TYPE, json->str, json->len);
	g_string_free(json, TRUE);
	if (reply.body)
		g_bytes_unref(reply.body);
}

void exchange_answer(struct exchange *x, const struct result *result,
		     const char *text)
{
	struct result r = commit_result(x, result);

	send_result(x, &r, text);
}

void exchange_refuse(struct exchange *x, enum error error, const char *text)
{
	struct result result = {
		.id = x->id,
		.error = error,
		.execution = error_answer(error)->execution,
	};

	exchange_answer(x, &result, text);
}

void exchange_answer_unknown(struct exchange *x)
{
	struct result result = {
		.id = x->id,
		.error = ERR_OUTCOME_UNKNOWN,
		.execution = EXEC_UNKNOWN,
		.database = x->database,
		.unsure = x->op != OP_READ,
	};

	exchange_answer(x, &result, NULL);
}

/* Runs when h2o frees the request: after its answer or a disconnect. */
static void on_request_freed(void *data)
{
	struct exchange *x = data;

	x->front->unfreed--;
	if (!g_hash_table_contains(x->front->exchanges, &x->id.seq))
		return;
	g_hash_table_remove(x->front->exchanges, &x->id.seq);
	x->req = NULL;
	exchange_client_gone(x);
}

static struct exchange *exchange_new(struct front *f, h2o_req_t *req)
{
	struct exchange *x =
		h2o_mem_alloc_shared(&req->pool, sizeof(*x), on_request_freed);

	memset(x, 0, sizeof(*x));
	x->front = f;
	f->unfreed++;
	x->req = req;
	x->id.incarnation = f->settings->core.incarnation;
	x->id.seq = ++f->seq;
	x->arrived_at = loop_now();
	return x;
}

static size_t header_bytes(const h2o_req_t *req)
{
	size_t bytes = req->input.path.len, i;

	for (i = 0; i < req->headers.size; i++)
		bytes += req->headers.entries[i].name->len +
			 req->headers.entries[i].value.len;
	return bytes;
}

/* Matches a path; '*' in @a pattern matches one segment, stored in *part. */
static bool path_matches(const char *pattern, h2o_iovec_t path,
			 h2o_iovec_t *part)
{
	const char *star = strchr(pattern, '*');
	size_t head, tail;

	if (!star)
		return h2o_memis(path.base, path.len, pattern, strlen(pattern));
	head = (size_t)(star - pattern);
	tail = strlen(star + 1);
	if (path.len <= head + tail || memcmp(path.base, pattern, head) != 0 ||
	    memcmp(path.base + path.len - tail, star + 1, tail) != 0)
		return false;
	*part = h2o_iovec_init(path.base + head, path.len - head - tail);
	return !memchr(part->base, '/', part->len);
}

static const struct route_entry *
find_route(bool operators, const h2o_req_t *req, h2o_iovec_t *part)
{
	size_t routes, i;
	const struct route_entry *r = front_routes(&routes);

	*part = h2o_iovec_init(NULL, 0);
	for (i = 0; i < routes; i++, r++)
		if (r->operators == operators &&
		    h2o_memis(req->method.base, req->method.len, r->method,
			      strlen(r->method)) &&
		    path_matches(r->path, req->path_normalized, part))
			return r;
	return NULL;
}

int front_request(struct front *f, bool operators, h2o_req_t *req)
{
	struct exchange *x = exchange_new(f, req);
	h2o_iovec_t part;

	x->route = find_route(operators, req, &part);
	if (header_bytes(req) > f->settings->header_limit)
		exchange_refuse(x, ERR_TOO_LARGE,
				"the headers exceed $.limits.header_bytes");
	else if (f->closed)
		exchange_refuse(x, ERR_STOPPING, NULL);
	else if (!x->route)
		exchange_refuse(x, ERR_NOT_FOUND, NULL);
	else if (x->route->open || exchange_credentials(x))
		x->route->handle(x, part);
	return 0;
}
