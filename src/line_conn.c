/** @file line_conn.c Connections that exchange lines, over h2o sockets. */
#include "line_conn.h"

#include <h2o.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

#include "loop.h"

/* Time that line_conn_finish() waits until the output is written. */
#define FINISH_LIMIT (2 * HM_SEC)
/* Sent bytes that stay unacknowledged for this time end the connection. */
#define USER_TIMEOUT_MS 2000
/* TCP keepalive detects a peer that is gone without closing the connection. */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_EVERY_S 1
#define KEEPALIVE_PROBES 2

struct line_conn {
	h2o_socket_t *socket;
	size_t line_limit;
	const struct line_handler *handler;
	void *arg;
	GString *out;	  /* bytes to be sent */
	GString *sending; /* bytes that h2o is writing */
	size_t scanned;	  /* input bytes that are known to have no line end */
	bool writing;
	bool paused;
	bool reading;
	bool finishing;
	bool in_handler;    /* a handler function is running */
	bool close_pending; /* closed by the running handler function */
	struct timer *finish_timer;
};

static void set_option(int fd, int level, int name, int value)
{
	/*
	 * A failure is harmless: without the option, a vanished peer is merely
	 * detected later.
	 */
	(void)setsockopt(fd, level, name, &value, sizeof(value));
}

static void set_options(int fd)
{
	set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS);
	set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
	set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_EVERY_S);
	set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
}

static void destroy(struct line_conn *c)
{
	timer_free(c->finish_timer);
	g_string_free(c->out, TRUE);
	g_string_free(c->sending, TRUE);
	g_free(c);
}

static void on_socket_closed(void *data)
{
	destroy(data);
}

void line_conn_close(struct line_conn *c)
{
	if (c->in_handler) {
		c->close_pending = true;
		return;
	}
	c->handler = NULL;
	/* A running write uses the buffers until h2o has closed the socket. */
	c->socket->on_close.cb = on_socket_closed;
	c->socket->on_close.data = c;
	h2o_socket_read_stop(c->socket);
	h2o_socket_close(c->socket);
}

/* The connection failed: reports it to the handler, or closes it. */
static void connection_failed(struct line_conn *c, const char *reason)
{
	const struct line_handler *handler = c->handler;

	if (c->finishing || !handler) {
		line_conn_close(c);
		return;
	}
	handler->closed(c->arg, reason);
}

/* Bytes of the next line including CR LF; 0 if incomplete, -1 if malformed. */
static ssize_t next_line(struct line_conn *c)
{
	const h2o_buffer_t *in = c->socket->input;
	const char *end;
	size_t bytes;

	if (in->size == c->scanned)
		return 0;
	end = memchr(in->bytes + c->scanned, '\n', in->size - c->scanned);
	if (!end) {
		c->scanned = in->size;
		return in->size >= c->line_limit ? -1 : 0;
	}
	bytes = (size_t)(end - in->bytes) + 1;
	if (bytes > c->line_limit || bytes < 2 || end[-1] != '\r' ||
	    memchr(in->bytes, '\0', bytes))
		return -1;
	return (ssize_t)bytes;
}

static void deliver(struct line_conn *c, size_t bytes)
{
	char *line = g_strndup(c->socket->input->bytes, bytes - 2);

	h2o_buffer_consume(&c->socket->input, bytes);
	c->scanned = 0;
	c->in_handler = true;
	c->handler->line(c->arg, line);
	c->in_handler = false;
	g_free(line);
}

static void deliver_all(struct line_conn *c)
{
	ssize_t bytes;

	while (!c->paused && !c->finishing && !c->close_pending &&
	       (bytes = next_line(c)) != 0) {
		if (bytes < 0) {
			connection_failed(c, "malformed");
			return;
		}
		deliver(c, (size_t)bytes);
	}
	if (c->close_pending)
		line_conn_close(c);
}

static void on_read(h2o_socket_t *socket, const char *err)
{
	struct line_conn *c = socket->data;

	if (err) {
		connection_failed(c, err);
		return;
	}
	if (c->finishing) {
		h2o_buffer_consume(&socket->input, socket->input->size);
		return;
	}
	if (c->paused && socket->input->size > c->line_limit) {
		h2o_socket_read_stop(socket);
		c->reading = false;
		return;
	}
	deliver_all(c);
}

struct line_conn *line_conn_new(void *h2o_socket, size_t line_limit,
				const struct line_handler *handler, void *arg)
{
	struct line_conn *c = g_new0(struct line_conn, 1);

	c->socket = h2o_socket;
	c->socket->data = c;
	c->line_limit = line_limit;
	c->handler = handler;
	c->arg = arg;
	c->out = g_string_new(NULL);
	c->sending = g_string_new(NULL);
	set_options(h2o_socket_get_fd(c->socket));
	h2o_socket_read_start(c->socket, on_read);
	c->reading = true;
	return c;
}

GString *line_conn_out(struct line_conn *c)
{
	return c->out;
}

static void on_written(h2o_socket_t *socket, const char *err)
{
	struct line_conn *c = socket->data;

	c->writing = false;
	g_string_truncate(c->sending, 0);
	if (err) {
		connection_failed(c, err);
		return;
	}
	if (c->out->len)
		line_conn_flush(c);
	else if (c->finishing)
		line_conn_close(c);
}

void line_conn_flush(struct line_conn *c)
{
	GString *swap = c->sending;
	h2o_iovec_t bytes;

	if (c->writing || !c->out->len || c->close_pending)
		return;
	c->sending = c->out;
	c->out = swap;
	c->writing = true;
	bytes = h2o_iovec_init(c->sending->str, c->sending->len);
	h2o_socket_write(c->socket, &bytes, 1, on_written);
}

void line_conn_pause(struct line_conn *c, bool paused)
{
	c->paused = paused;
	if (paused || c->reading)
		return;
	h2o_socket_read_start(c->socket, on_read);
	c->reading = true;
}

void line_conn_deliver(struct line_conn *c)
{
	if (!c->in_handler && c->socket->input->size)
		deliver_all(c);
}

static void on_finish_limit(void *arg)
{
	line_conn_close(arg);
}

void line_conn_finish(struct line_conn *c, struct loop *loop)
{
	c->finishing = true;
	c->handler = NULL;
	line_conn_flush(c);
	if (!c->writing) {
		line_conn_close(c);
		return;
	}
	c->finish_timer = timer_new(loop, on_finish_limit, c);
	timer_set(c->finish_timer, loop_now() + FINISH_LIMIT);
}
