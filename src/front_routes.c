/** @file front_routes.c Table of HTTP routes and their handlers. */
#include "front_internal.h"

#include <jansson.h>
#include <stdlib.h>

#include "log.h"
#include "names.h"
#include "reply.h"
#include "request.h"

#define JSON_TYPE "application/json"
#define METRICS_TYPE "text/plain; version=0.0.4"

static void fill_statement(const struct exchange *x, const struct request *r,
			   struct statement *s)
{
	const struct token_entry *e = token_find(&x->token, x->database);

	s->id = x->id;
	s->op = r->op;
	s->idempotent = r->idempotent;
	s->key = x->key;
	s->database = x->database;
	s->max_age = r->max_age;
	s->deadline = r->deadline;
	s->tx = r->tx;
	if (e) {
		s->floor = e->floor;
		s->unsure = e->unsure;
	}
}

/* Passes a statement to the instance; takes ownership of r->body. */
static void submit(struct exchange *x, struct request *r)
{
	struct front *f = x->front;
	struct statement s = { 0 };

	x->op = r->op;
	fill_statement(x, r, &s);
	if (r->body) {
		s.body_bytes = (uint32_t)g_bytes_get_size(r->body);
		s.body = bodies_put(f->bodies, r->body, r->deadline);
		g_bytes_unref(r->body);
	}
	x->body = s.body;
	g_hash_table_insert(f->exchanges, &x->id.seq, x);
	f->hooks.request(f->hooks.owner, &s);
}

static void check_and_submit(struct exchange *x, struct request *r)
{
	x->database = r->database[0] ? name_id(r->database) : r->tx_database;
	if (token_has_capacity(&x->token, x->database)) {
		submit(x, r);
		return;
	}
	exchange_refuse(x, ERR_BAD_TOKEN,
			"the session token cannot take another database, "
			"begin another session");
	if (r->body)
		g_bytes_unref(r->body);
}

/* Parses the request body; @a tx: transaction in the path, NULL if none. */
static void parse_and_submit(struct exchange *x, const struct tx_id *tx,
			     hm_id tx_database)
{
	struct front *f = x->front;
	h2o_iovec_t entity = x->req->entity;
	struct refusal why;
	struct request r;

	if (!request_parse(&r, x->route->op, entity.base, entity.len,
			   f->settings, x->arrived_at, &why)) {
		exchange_refuse(x, why.error, why.text);
		return;
	}
	if (tx) {
		r.tx = *tx;
		r.tx_database = tx_database;
	}
	check_and_submit(x, &r);
}

static void handle_statement(struct exchange *x, h2o_iovec_t part)
{
	(void)part;
	parse_and_submit(x, NULL, 0);
}

static void handle_tx_end(struct exchange *x, h2o_iovec_t part)
{
	struct tx_id tx;
	hm_id database;

	if (tx_parse(part.base, part.len, &tx, &database))
		parse_and_submit(x, &tx, database);
	else
		exchange_refuse(x, ERR_NOT_FOUND, "no such transaction");
}

static void handle_health(struct exchange *x, h2o_iovec_t part)
{
	static const char serving[] = "{\"status\":\"serving\"}\n";
	static const char stopping[] = "{\"status\":\"stopping\"}\n";

	(void)part;
	if (x->front->stopping)
		exchange_send(x, 503, JSON_TYPE, stopping,
			      sizeof(stopping) - 1);
	else
		exchange_send(x, 200, JSON_TYPE, serving, sizeof(serving) - 1);
}

static json_t *describe_routes(void)
{
	size_t routes, i;
	const struct route_entry *r = front_routes(&routes);
	json_t *list = json_array();

	for (i = 0; i < routes; i++, r++) {
		json_t *item = json_object();

		if (r->operators) {
			json_decref(item);
			continue;
		}
		json_object_set_new(item, "method", json_string(r->method));
		json_object_set_new(item, "path", json_string(r->path));
		json_object_set_new(item, "open", json_boolean(r->open));
		json_array_append_new(list, item);
	}
	return list;
}

static json_t *describe_errors(void)
{
	json_t *list = json_array();
	int i;

	for (i = ERR_NONE + 1; i < ERR_COUNT; i++) {
		const struct error_answer *a = error_answer((enum error)i);
		json_t *item = json_object();

		json_object_set_new(item, "code", json_string(a->code));
		json_object_set_new(item, "status", json_integer(a->status));
		json_object_set_new(item, "execution",
				    json_string(execution_name(a->execution)));
		json_object_set_new(item, "retry",
				    json_string(advice_name(a->retry)));
		json_object_set_new(item, "text", json_string(a->text));
		json_array_append_new(list, item);
	}
	return list;
}

static void handle_api(struct exchange *x, h2o_iovec_t part)
{
	json_t *root = json_object();
	char *text;

	(void)part;
	json_object_set_new(root, "version", json_integer(1));
	json_object_set_new(root, "routes", describe_routes());
	json_object_set_new(root, "errors", describe_errors());
	text = json_dumps(root, JSON_INDENT(1));
	exchange_send(x, 200, JSON_TYPE, text, strlen(text));
	free(text);
	json_decref(root);
}

static void handle_status(struct exchange *x, h2o_iovec_t part)
{
	struct front *f = x->front;
	char *text = f->hooks.status(f->hooks.owner);

	(void)part;
	exchange_send(x, 200, JSON_TYPE, text, strlen(text));
	g_free(text);
}

static void handle_metrics(struct exchange *x, h2o_iovec_t part)
{
	struct front *f = x->front;
	char *text = f->hooks.metrics(f->hooks.owner);
	GString *out = g_string_new(text);

	(void)part;
	front_metrics(f, out);
	exchange_send(x, 200, METRICS_TYPE, out->str, out->len);
	g_string_free(out, TRUE);
	g_free(text);
}

static const struct route_entry routes[] = {
	{ "POST", "/v1/statement", false, false, OP_READ, handle_statement },
	{ "POST", "/v1/transaction", false, false, OP_BEGIN, handle_statement },
	{ "POST", "/v1/transaction/*/commit", false, false, OP_COMMIT,
	  handle_tx_end },
	{ "POST", "/v1/transaction/*/rollback", false, false, OP_ROLLBACK,
	  handle_tx_end },
	{ "GET", "/health", true, false, OP_READ, handle_health },
	{ "GET", "/v1/api", true, false, OP_READ, handle_api },
	{ "GET", "/health", true, true, OP_READ, handle_health },
	{ "GET", "/status", true, true, OP_READ, handle_status },
	{ "GET", "/metrics", true, true, OP_READ, handle_metrics },
};

const struct route_entry *front_routes(size_t *count)
{
	*count = G_N_ELEMENTS(routes);
	return routes;
}
