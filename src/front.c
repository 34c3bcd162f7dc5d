/** @file front.c Start and stop of the HTTP front end; its open requests. */
#define _GNU_SOURCE /* POLLRDHUP; NOLINT(readability-identifier-naming) */
#include "front_internal.h"
#include "http_context.h"

#include <poll.h>
#include <signal.h>

#include "log.h"

#define DISCONNECT_CHECK_INTERVAL (100 * HM_MS)
#define HTTP_2 0x200
#define CLIENTS_HOST "callers"
#define OPERATORS_HOST "operators"
#define HOST_PORT 65535
#define OPERATOR_CONNECTIONS_MAX 64
/*
 * h2o refuses a request body larger than the body limit plus this margin
 * without reading it; up to there the front end itself answers too_large.
 */
#define ENTITY_MARGIN 65536

/** An h2o handler and the listener that it serves. */
struct handler {
	h2o_handler_t super;
	struct front *front;
	bool operators;
};

static int on_request(h2o_handler_t *super, h2o_req_t *req)
{
	struct handler *h = (struct handler *)super;

	return front_request(h->front, h->operators, req);
}

static void add_host(struct front *f, struct listener *l, const char *name,
		     bool operators)
{
	h2o_iovec_t host = h2o_iovec_init(name, strlen(name));
	h2o_pathconf_t *path;
	struct handler *h;

	l->hosts[0] = h2o_config_register_host(&f->config, host, HOST_PORT);
	path = h2o_config_register_path(l->hosts[0], "/", 0);
	h = (struct handler *)h2o_create_handler(path, sizeof(*h));
	h->super.on_req = on_request;
	h->front = f;
	h->operators = operators;
}

static void configure(struct front *f)
{
	h2o_config_init(&f->config);
	f->config.server_name = h2o_iovec_init(H2O_STRLIT("hyssopmount"));
	f->config.max_request_entity_size =
		(size_t)f->settings->body_limit + ENTITY_MARGIN;
	add_host(f, &f->client_listener, CLIENTS_HOST, false);
	add_host(f, &f->operator_listener, OPERATORS_HOST, true);
	h2o_context_init(&f->context, loop_h2o(f->loop), &f->config);
}

static bool open_listeners(struct front *f, char fault[SETTINGS_FAULT_BYTES])
{
	const struct settings *s = f->settings;

	if (s->tls_certificate[0]) {
		f->ssl = listener_tls(s, fault);
		if (!f->ssl)
			return false;
		f->client_listener.accept.ssl_ctx = f->ssl;
	}
	f->client_listener.limit = s->connection_limit;
	f->operator_listener.limit = OPERATOR_CONNECTIONS_MAX;
	return listener_open(&f->client_listener, f, "$.listen.callers",
			     s->listen_clients, fault) &&
	       listener_open(&f->operator_listener, f, "$.listen.operators",
			     s->listen_operators, fault);
}

/* Whether the client closed its side of an HTTP/1 connection. */
static bool disconnected(const struct exchange *x)
{
	struct pollfd p = { .events = POLLRDHUP };

	if (x->req->version >= HTTP_2)
		return false;
	p.fd = h2o_socket_get_fd(
		x->req->conn->callbacks->get_socket(x->req->conn));
	return poll(&p, 1, 0) == 1;
}

void exchange_client_gone(struct exchange *x)
{
	struct front *f = x->front;
	char text[RID_TEXT_BYTES];

	log_event(G_LOG_LEVEL_INFO, "caller_gone", "request",
		  rid_text(x->id, text), NULL);
	f->hooks.client_gone(f->hooks.owner, x->id);
}

/*
 * Timer that polls for HTTP/1 connections that the client closed: h2o does not
 * read from such a connection while one of its requests is open.
 */
static void check_disconnects(void *arg)
{
	struct front *f = arg;
	GHashTableIter iter;
	gpointer value;
	GSList *gone = NULL, *i;

	g_hash_table_iter_init(&iter, f->exchanges);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!disconnected(value))
			continue;
		g_hash_table_iter_remove(&iter);
		gone = g_slist_prepend(gone, value);
	}
	for (i = gone; i; i = i->next) {
		exchange_client_gone(i->data);
		exchange_answer_unknown(i->data);
	}
	g_slist_free(gone);
	timer_set(f->disconnect_timer, loop_now() + DISCONNECT_CHECK_INTERVAL);
}

struct front *front_new(struct loop *loop, const struct settings *settings,
			struct bodies *bodies, const struct front_hooks *hooks,
			char fault[SETTINGS_FAULT_BYTES])
{
	struct front *f = g_new0(struct front, 1);

	/* h2o may write to a connection that the client already closed. */
	signal(SIGPIPE, SIG_IGN);
	f->loop = loop;
	f->settings = settings;
	f->bodies = bodies;
	f->hooks = *hooks;
	g_queue_init(&f->connections);
	f->exchanges = g_hash_table_new(g_int64_hash, g_int64_equal);
	f->counts = front_counts_new();
	f->disconnect_timer = timer_new(loop, check_disconnects, f);
	timer_set(f->disconnect_timer, loop_now() + DISCONNECT_CHECK_INTERVAL);
	configure(f);
	if (open_listeners(f, fault))
		return f;
	front_free(f);
	return NULL;
}

/*
 * Answers all open requests with an unknown outcome: the instance is stopping
 * and will not answer them any more.
 */
static void answer_open_requests(struct front *f)
{
	GList *list = g_hash_table_get_values(f->exchanges);
	GList *i;

	g_hash_table_remove_all(f->exchanges);
	for (i = list; i; i = i->next)
		exchange_answer_unknown(i->data);
	g_list_free(list);
}

void front_free(struct front *f)
{
	if (!f)
		return;
	f->stopping = true;
	f->closed = true;
	timer_free(f->disconnect_timer);
	answer_open_requests(f);
	listener_close(&f->client_listener);
	listener_close(&f->operator_listener);
	if (!connections_close(f)) {
		log_event(G_LOG_LEVEL_WARNING, "connections_left", NULL);
		return; /* leaked: h2o still has pointers to the front end */
	}
	http_context_end(loop_h2o(f->loop), &f->context, &f->config);
	SSL_CTX_free(f->ssl);
	g_hash_table_destroy(f->exchanges);
	front_counts_free(f->counts);
	g_free(f);
}

void front_answer(struct front *f, const struct result *result)
{
	struct exchange *x = NULL;

	if (result->id.incarnation == f->settings->core.incarnation)
		x = g_hash_table_lookup(f->exchanges, &result->id.seq);
	if (!x) {
		if (result->body)
			bodies_drop(f->bodies, result->body);
		return;
	}
	g_hash_table_remove(f->exchanges, &result->id.seq);
	exchange_answer(x, result, NULL);
}

void front_stop(struct front *f)
{
	if (f->stopping)
		return;
	f->stopping = true;
	listener_close(&f->client_listener);
	h2o_context_request_shutdown(&f->context);
}

uint32_t front_open_requests(const struct front *f)
{
	return g_hash_table_size(f->exchanges);
}

void front_address(const struct front *f, bool operators,
		   char out[ADDRESS_BYTES])
{
	const struct listener *l =
		operators ? &f->operator_listener : &f->client_listener;

	memcpy(out, l->address, ADDRESS_BYTES);
}
