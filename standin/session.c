/** @file session.c Input and output of a connection to a stand-in member. */
#include "session.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../src/loop.h"
#include "pgproto.h"

#define READ_BYTES 16384
#define KEEPALIVE_DEFAULT (5 * HM_SEC)

/* Output that is not sent before the time @a at. */
struct chunk {
	GByteArray *bytes;
	guint sent;
	hm_time at;
};

struct session *session_new(struct node *n, int fd, uint32_t pid)
{
	struct session *s = g_new0(struct session, 1);

	s->node = n;
	s->fd = fd;
	s->pid = pid;
	s->secret = pid * 2654435761u + 1;
	s->in = g_byte_array_new();
	s->build = g_byte_array_new();
	g_queue_init(&s->out);
	s->tx = TX_IDLE;
	return s;
}

static void chunk_free(void *chunk)
{
	struct chunk *c = chunk;

	g_byte_array_unref(c->bytes);
	g_free(c);
}

static void close_socket(struct session *s)
{
	if (s->fd >= 0)
		close(s->fd);
	s->fd = -1;
}

void session_clear_params(struct session *s)
{
	uint32_t i;

	for (i = 0; i < s->param_count; i++)
		g_free(s->params[i]);
	g_free(s->params);
	s->params = NULL;
	s->param_count = 0;
}

void session_free(struct session *s)
{
	close_socket(s);
	g_byte_array_unref(s->in);
	g_byte_array_unref(s->build);
	g_queue_clear_full(&s->out, chunk_free);
	session_clear_params(s);
	g_free(s->sql);
	g_free(s);
}

void session_close(struct session *s)
{
	if (s->closed || s->abandoned)
		return;
	if (s->stage == STAGE_RUN || s->stage == STAGE_LOCK)
		s->node->running--;
	s->stage = STAGE_IDLE;
	/* The client of a silent connection must not see it close. */
	s->abandoned = s->silent && s->fd >= 0;
	s->closed = !s->abandoned;
	if (s->closed)
		close_socket(s);
	statement_rollback(s, loop_now());
}

void session_queue_output(struct session *s, hm_time now)
{
	struct chunk *c, *last = g_queue_peek_tail(&s->out);
	hm_time at = now + s->node->faults.answer_delay;

	if (!s->build->len)
		return;
	c = g_new0(struct chunk, 1);
	c->bytes = s->build;
	c->at = last ? MAX(at, last->at) : at;
	s->build = g_byte_array_new();
	g_queue_push_tail(&s->out, c);
}

/* Sends one chunk; false when the socket is full or broken. */
static bool send_chunk(struct session *s, struct chunk *c)
{
	ssize_t n;

	while (c->sent < c->bytes->len) {
		n = send(s->fd, c->bytes->data + c->sent,
			 c->bytes->len - c->sent, MSG_NOSIGNAL);
		if (n < 0 && errno != EAGAIN && errno != EINTR)
			session_close(s);
		if (n < 0)
			return false;
		c->sent += (guint)n;
	}
	return true;
}

static void flush(struct session *s, hm_time now)
{
	struct chunk *c;

	if (s->silent || s->fd < 0) {
		g_queue_clear_full(&s->out, chunk_free);
		return;
	}
	while ((c = g_queue_peek_head(&s->out)) != NULL) {
		if (c->at > now || !send_chunk(s, c))
			return;
		chunk_free(g_queue_pop_head(&s->out));
	}
}

void session_fatal(struct session *s, const char *sqlstate, const char *message)
{
	if (s->closed)
		return;
	g_byte_array_set_size(s->build, 0);
	pg_write_error(s->build, "FATAL", sqlstate, message);
	session_queue_output(s, 0);
	flush(s, HM_NEVER);
	session_close(s);
}

void session_error(struct session *s, const char *sqlstate, const char *message,
		   hm_time now)
{
	if (s->closed)
		return;
	if (s->tx == TX_OPEN)
		s->tx = TX_FAILED;
	s->implicit = false;
	statement_rollback(s, now);
	pg_write_error(s->build, "ERROR", sqlstate, message);
	s->stage = STAGE_IDLE;
	if (s->simple)
		pg_write_ready(s->build, (char)s->tx);
	else
		s->skipping = true;
	session_queue_output(s, now);
}

void session_answered(struct session *s, bool effect, hm_time now)
{
	if (s->closed)
		return;
	if (effect && s->node->faults.lose_answer) {
		session_close(s);
		return;
	}
	if (s->simple)
		pg_write_ready(s->build, (char)s->tx);
	session_queue_output(s, now);
}

/* Advances the session by one stage or message; false when it must wait. */
static bool advance(struct session *s, hm_time now)
{
	switch (s->stage) {
	case STAGE_STARTUP:
		return session_startup(s, now);
	case STAGE_ACCEPT:
		if (now < s->due)
			return false;
		session_finish_startup(s, now);
		return true;
	case STAGE_IDLE:
		return session_message(s, now);
	case STAGE_RUN:
		if (now < s->due)
			return false;
		statement_perform(s, now);
		return true;
	case STAGE_LOCK:
		return false;
	}
	return false;
}

static hm_time keepalive_at(const struct session *s)
{
	hm_time limit = s->node->options.keepalive;

	if (!s->silent || s->abandoned)
		return HM_NEVER;
	return s->silent_at + (limit ? limit : KEEPALIVE_DEFAULT);
}

void session_process(struct session *s, hm_time now)
{
	while (!s->closed && !s->abandoned && advance(s, now))
		;
	if (s->closed || s->abandoned)
		return;
	flush(s, now);
	if (now >= keepalive_at(s))
		session_close(s);
}

hm_time session_due(const struct session *s, hm_time now)
{
	const struct chunk *c = g_queue_peek_head((GQueue *)&s->out);
	hm_time due = keepalive_at(s);

	if (s->stage == STAGE_ACCEPT || s->stage == STAGE_RUN)
		due = MIN(due, s->due);
	if (c && c->at > now)
		due = MIN(due, c->at);
	return due;
}

bool session_wants_write(const struct session *s, hm_time now)
{
	const struct chunk *c = g_queue_peek_head((GQueue *)&s->out);

	return !s->silent && c && c->at <= now;
}

/*
 * Closes the socket of a silent session whose client has closed the connection.
 * The session itself stays open until its keepalive expires, as the server
 * cannot see the end.
 */
static void close_silent(struct session *s)
{
	close_socket(s);
	s->closed |= s->abandoned;
}

void session_readable(struct session *s, hm_time now)
{
	guint8 bytes[READ_BYTES];
	bool ended;
	ssize_t n;

	do {
		n = recv(s->fd, bytes, sizeof(bytes), MSG_DONTWAIT);
		if (n > 0 && !s->silent)
			g_byte_array_append(s->in, bytes, (guint)n);
	} while (n == sizeof(bytes));
	ended = n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
	if (ended && s->silent)
		close_silent(s);
	else if (ended)
		session_close(s);
	else
		session_process(s, now);
}
