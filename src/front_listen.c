/** @file front_listen.c Listening sockets, TLS and client connections. */
#include "front_internal.h"

#include <errno.h>
#include <openssl/err.h>
#include <stdio.h>

#include "listen.h"

#define FLUSH_LIMIT (2 * HM_SEC)
#define CLOSE_LIMIT (500 * HM_MS)
#define RUN_WAIT_MS 10

/** An accepted connection. */
struct connection {
	struct listener *listener;
	int fd; /**< descriptor of the connection's h2o socket */
};

static void on_accept(h2o_socket_t *socket, const char *err);

static void on_connection_closed(void *data)
{
	struct connection *c = data;
	struct listener *l = c->listener;

	g_queue_remove(&l->front->connections, c);
	g_free(c);
	l->count--;
	if (l->full && l->socket)
		h2o_socket_read_start(l->socket, on_accept);
	l->full = false;
}

static void add_connection(struct listener *l, h2o_socket_t *socket)
{
	struct connection *c = g_new(struct connection, 1);

	c->listener = l;
	c->fd = h2o_socket_get_fd(socket);
	socket->on_close.cb = on_connection_closed;
	socket->on_close.data = c;
	g_queue_push_tail(&l->front->connections, c);
	l->count++;
}

/*
 * Accepts the waiting connections up to the listener's limit of open ones; the
 * rest wait in the backlog.
 */
static void accept_all(struct listener *l)
{
	h2o_socket_t *socket;

	while (l->count < l->limit &&
	       (socket = h2o_evloop_socket_accept(l->socket))) {
		add_connection(l, socket);
		h2o_accept(&l->accept, socket);
	}
}

static void on_accept(h2o_socket_t *socket, const char *err)
{
	struct listener *l = socket->data;

	if (err)
		return;
	accept_all(l);
	if (l->count < l->limit)
		return;
	l->full = true;
	h2o_socket_read_stop(l->socket);
}

static void set_address(struct listener *l, int fd, const char *configured)
{
	struct sockaddr_storage ss;
	socklen_t bytes = sizeof(ss);
	const char *colon = strrchr(configured, ':');
	int32_t port = -1;

	if (!getsockname(fd, (struct sockaddr *)&ss, &bytes))
		port = h2o_socket_getport((struct sockaddr *)&ss);
	snprintf(l->address, sizeof(l->address), "%.*s:%d",
		 (int)(colon - configured), configured, (int)port);
}

bool listener_open(struct listener *l, struct front *f, const char *path,
		   const char *address, char fault[SETTINGS_FAULT_BYTES])
{
	int fd = listen_on(address);

	if (fd < 0) {
		snprintf(fault, SETTINGS_FAULT_BYTES,
			 "%s: %s: %s, allowed a free address of this machine",
			 path, address, strerror(errno));
		return false;
	}
	set_address(l, fd, address);
	l->front = f;
	l->accept.ctx = &f->context;
	l->accept.hosts = l->hosts;
	l->socket = h2o_evloop_socket_create(loop_h2o(f->loop), fd,
					     H2O_SOCKET_FLAG_DONT_READ);
	l->socket->data = l;
	h2o_socket_read_start(l->socket, on_accept);
	return true;
}

void listener_close(struct listener *l)
{
	if (!l->socket)
		return;
	accept_all(l);
	h2o_socket_read_stop(l->socket);
	h2o_socket_close(l->socket);
	l->socket = NULL;
}

static bool load_files(SSL_CTX *ssl, const struct settings *s)
{
	return SSL_CTX_use_certificate_chain_file(ssl, s->tls_certificate) ==
		       1 &&
	       SSL_CTX_use_PrivateKey_file(ssl, s->tls_key, SSL_FILETYPE_PEM) ==
		       1 &&
	       SSL_CTX_check_private_key(ssl) == 1;
}

SSL_CTX *listener_tls(const struct settings *s,
		      char fault[SETTINGS_FAULT_BYTES])
{
	SSL_CTX *ssl = SSL_CTX_new(TLS_server_method());
	char reason[128];

	if (ssl && load_files(ssl, s)) {
		SSL_CTX_set_min_proto_version(ssl, TLS1_2_VERSION);
		h2o_ssl_register_alpn_protocols(ssl, h2o_alpn_protocols);
		return ssl;
	}
	ERR_error_string_n(ERR_get_error(), reason, sizeof(reason));
	snprintf(fault, SETTINGS_FAULT_BYTES,
		 "tls: %s: %s, allowed a PEM certificate and its key",
		 s->tls_certificate, reason);
	SSL_CTX_free(ssl);
	return NULL;
}

static void shutdown_all(struct front *f, int how)
{
	GList *i;

	for (i = f->connections.head; i; i = i->next)
		shutdown(((struct connection *)i->data)->fd, how);
}

/* Runs the event loop until *left is 0 or @a deadline has passed. */
static void run_until_zero(struct front *f, const uint32_t *left,
			   hm_time deadline)
{
	while (*left && loop_now() < deadline)
		h2o_evloop_run(loop_h2o(f->loop), RUN_WAIT_MS);
}

bool connections_close(struct front *f)
{
	run_until_zero(f, &f->unfreed, loop_now() + FLUSH_LIMIT);
	shutdown_all(f, SHUT_RDWR);
	run_until_zero(f, &f->connections.length, loop_now() + CLOSE_LIMIT);
	return f->connections.length == 0;
}
