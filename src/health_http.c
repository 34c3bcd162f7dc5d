/** @file health_http.c HTTP server for health checks and metrics, on h2o. */
#include "health_http.h"

#include <h2o.h>
#include <string.h>

#include "http_context.h"
#include "listen.h"
#include "log.h"

#define CLOSE_LIMIT (500 * HM_MS)
#define RUN_WAIT_MS 10
#define HOST_PORT 65535
#define TEXT_TYPE "text/plain; charset=utf-8"

struct port {
	h2o_accept_ctx_t accept;
	h2o_hostconf_t *hosts[2]; /* NULL-terminated, as h2o requires */
	h2o_socket_t *socket;
	struct health_http *server;
};

struct health_http {
	struct health_options options;
	h2o_globalconf_t config;
	h2o_context_t context;
	struct port health;
	struct port metrics;
	struct loop *loop;
	GQueue connections; /* of struct connection, owned */
	bool ready;
};

/** An accepted connection. */
struct connection {
	struct health_http *server;
	int fd; /**< descriptor of the connection's h2o socket */
};

/** An h2o handler with a pointer to its server. */
struct handler {
	h2o_handler_t super;
	struct health_http *server;
};

static int send_text(h2o_req_t *req, int status, const char *reason,
		     const char *text, size_t bytes)
{
	req->res.status = status;
	req->res.reason = reason;
	h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE,
		       NULL, H2O_STRLIT(TEXT_TYPE));
	h2o_send_inline(req, text, bytes);
	return 0;
}

static int on_health(h2o_handler_t *super, h2o_req_t *req)
{
	const struct health_http *h = ((struct handler *)super)->server;

	if (h->ready)
		return send_text(req, 200, "OK", H2O_STRLIT("ready\n"));
	return send_text(req, 503, "Service Unavailable",
			 H2O_STRLIT("not ready\n"));
}

static int on_metrics(h2o_handler_t *super, h2o_req_t *req)
{
	const struct health_http *h = ((struct handler *)super)->server;
	GString *text = g_string_new(NULL);

	h->options.metrics(h->options.owner, text);
	send_text(req, 200, "OK", text->str, text->len);
	g_string_free(text, TRUE);
	return 0;
}

static void on_connection_closed(void *data)
{
	struct connection *c = data;

	g_queue_remove(&c->server->connections, c);
	g_free(c);
}

static void track(struct health_http *h, h2o_socket_t *socket)
{
	struct connection *c = g_new(struct connection, 1);

	c->server = h;
	c->fd = h2o_socket_get_fd(socket);
	socket->on_close.cb = on_connection_closed;
	socket->on_close.data = c;
	g_queue_push_tail(&h->connections, c);
}

static void on_accept(h2o_socket_t *listener, const char *err)
{
	struct port *p = listener->data;
	h2o_socket_t *socket;

	if (err)
		return;
	while ((socket = h2o_evloop_socket_accept(listener))) {
		track(p->server, socket);
		h2o_accept(&p->accept, socket);
	}
}

static void add_path(struct health_http *h, struct port *p, const char *name,
		     const char *path,
		     int (*on_request)(h2o_handler_t *, h2o_req_t *))
{
	h2o_iovec_t host = h2o_iovec_init(name, strlen(name));
	struct handler *handler;
	h2o_pathconf_t *conf;

	p->hosts[0] = h2o_config_register_host(&h->config, host, HOST_PORT);
	conf = h2o_config_register_path(p->hosts[0], path, 0);
	handler = (struct handler *)h2o_create_handler(conf, sizeof(*handler));
	handler->super.on_req = on_request;
	handler->server = h;
}

static bool open_port(struct health_http *h, struct port *p, struct loop *loop,
		      const char *address)
{
	int fd;

	if (!address[0])
		return true;
	fd = listen_on(address);
	if (fd < 0)
		return false;
	p->server = h;
	p->accept.ctx = &h->context;
	p->accept.hosts = p->hosts;
	p->socket = h2o_evloop_socket_create(loop_h2o(loop), fd,
					     H2O_SOCKET_FLAG_DONT_READ);
	p->socket->data = p;
	h2o_socket_read_start(p->socket, on_accept);
	return true;
}

struct health_http *health_http_new(struct loop *loop,
				    const struct health_options *options)
{
	struct health_http *h = g_new0(struct health_http, 1);

	h->options = *options;
	h->loop = loop;
	g_queue_init(&h->connections);
	h2o_config_init(&h->config);
	add_path(h, &h->health, "health", options->health_path, on_health);
	add_path(h, &h->metrics, "metrics", options->metrics_path, on_metrics);
	h2o_context_init(&h->context, loop_h2o(loop), &h->config);
	if (open_port(h, &h->health, loop, options->health_address) &&
	    open_port(h, &h->metrics, loop, options->metrics_address))
		return h;
	health_http_free(h);
	return NULL;
}

static void end_connections(struct health_http *h)
{
	hm_time until = loop_now() + CLOSE_LIMIT;
	GList *i;

	for (i = h->connections.head; i; i = i->next)
		shutdown(((struct connection *)i->data)->fd, SHUT_RDWR);
	while (h->connections.length && loop_now() < until)
		h2o_evloop_run(loop_h2o(h->loop), RUN_WAIT_MS);
}

void health_http_free(struct health_http *h)
{
	if (!h)
		return;
	if (h->health.socket)
		h2o_socket_close(h->health.socket);
	if (h->metrics.socket)
		h2o_socket_close(h->metrics.socket);
	end_connections(h);
	if (h->connections.length) {
		log_event(G_LOG_LEVEL_WARNING, "connections_left", NULL);
		return; /* h2o still refers to the server */
	}
	http_context_end(loop_h2o(h->loop), &h->context, &h->config);
	g_free(h);
}

void health_http_ready(struct health_http *h, bool ready)
{
	h->ready = ready;
}
