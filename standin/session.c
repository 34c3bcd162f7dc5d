/** @file session.c Bytes and protocol of a connection to a member. */
#include "session.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../src/loop.h"
#include "pgproto.h"

#define READ_BYTES 16384
#define CONTROL_CONNECTIONS 16
#define KEEPALIVE (5 * HM_SEC)
#define APPLICATION "hyssopmount/"

/* Bytes to be sent from a time on. */
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

static void clear_params(struct session *s)
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
	clear_params(s);
	g_free(s->sql);
	g_free(s);
}

void session_close(struct session *s)
{
	if (s->closed || s->forgotten)
		return;
	if (s->stage == STAGE_RUN || s->stage == STAGE_LOCK)
		s->node->running--;
	s->stage = STAGE_IDLE;
	/* The client of a silent connection is not to see its end. */
	s->forgotten = s->silent && s->fd >= 0;
	s->closed = !s->forgotten;
	if (s->closed)
		close_socket(s);
	statement_abandon(s, loop_now());
}

static void put_chunk(struct session *s, hm_time now)
{
	struct chunk *c, *last = g_queue_peek_tail(&s->out);
	hm_time at = now + s->node->faults.late;

	if (!s->build->len)
		return;
	c = g_new0(struct chunk, 1);
	c->bytes = s->build;
	c->at = last ? MAX(at, last->at) : at;
	s->build = g_byte_array_new();
	g_queue_push_tail(&s->out, c);
}

/* Sends one chunk; false when it has to wait. */
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
	put_chunk(s, 0);
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
	statement_abandon(s, now);
	pg_write_error(s->build, "ERROR", sqlstate, message);
	s->stage = STAGE_IDLE;
	if (s->simple)
		pg_write_ready(s->build, (char)s->tx);
	else
		s->skipping = true;
	put_chunk(s, now);
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
	put_chunk(s, now);
}

static void take_application(struct session *s, const char *name)
{
	char *end;

	if (!g_str_has_prefix(name, APPLICATION))
		return;
	s->life = g_ascii_strtoull(name + strlen(APPLICATION), &end, 16);
	s->control = !strcmp(end, "/control");
}

static void take_options(struct session *s, struct pg_reader *r)
{
	const char *name, *value;

	while (r->at < r->end && *r->at) {
		name = pg_read_text(r);
		value = pg_read_text(r);
		if (r->broken)
			return;
		if (!strcmp(name, "application_name"))
			take_application(s, value);
	}
}

static uint32_t control_connections(const struct node *n)
{
	const struct session *s;
	uint32_t i, count = 0;

	for (i = 0; i < n->sessions->len; i++) {
		s = n->sessions->pdata[i];
		count += !s->closed && s->control;
	}
	return count;
}

static void start(struct session *s, struct pg_reader *r, hm_time now)
{
	struct node *n = s->node;
	bool full;

	take_options(s, r);
	if (s->control)
		full = control_connections(n) > CONTROL_CONNECTIONS;
	else
		full = node_connections(n) >= n->spec.connections;
	if (full) {
		session_fatal(s, "53300", "too many connections");
		return;
	}
	if (s->life && !s->control && n->home && s->life != n->home) {
		session_fatal(s, "57P03", "not the home of the member");
		return;
	}
	s->stage = STAGE_ACCEPT;
	s->due = now + n->options.connect_cost;
	n->connections_most = MAX(n->connections_most, node_connections(n));
}

static void cancel(struct session *s, struct pg_reader *r, hm_time now)
{
	uint32_t pid = pg_read_u32(r);
	uint32_t secret = pg_read_u32(r);
	struct session *other = node_session(s->node, pid);

	if (other && other->secret == secret) {
		statement_cancel(other, now);
		session_work(other, now);
	}
	session_close(s);
}

static void drop_input(struct session *s, uint32_t bytes)
{
	if (!s->closed)
		g_byte_array_remove_range(s->in, 0, bytes);
}

static bool take_startup(struct session *s, hm_time now)
{
	struct pg_message m;
	struct pg_reader r;
	enum pg_next next = pg_next(s->in, true, &m);

	if (next == PG_BROKEN)
		session_close(s);
	if (next != PG_MESSAGE)
		return false;
	r = pg_reader(&m);
	switch (pg_read_u32(&r)) {
	case PG_SSL:
	case PG_GSSENC:
		g_byte_array_append(s->build, (const guint8 *)"N", 1);
		put_chunk(s, now);
		break;
	case PG_CANCEL:
		cancel(s, &r, now);
		break;
	case PG_PROTOCOL:
		start(s, &r, now);
		break;
	default:
		session_fatal(s, "0A000", "unknown protocol version");
	}
	drop_input(s, m.whole);
	return true;
}

static void welcome(struct session *s, hm_time now)
{
	s->stage = STAGE_IDLE;
	pg_write_auth_ok(s->build);
	pg_write_parameter(s->build, "server_version", "15.0");
	pg_write_parameter(s->build, "server_encoding", "UTF8");
	pg_write_parameter(s->build, "client_encoding", "UTF8");
	pg_write_parameter(s->build, "standard_conforming_strings", "on");
	pg_write_key(s->build, s->pid, s->secret);
	pg_write_ready(s->build, (char)s->tx);
	put_chunk(s, now);
}

static void set_sql(struct session *s, const char *sql)
{
	g_free(s->sql);
	s->sql = g_strdup(sql);
	s->described = false;
	clear_params(s);
}

static void on_parse(struct session *s, struct pg_reader *r, hm_time now)
{
	const char *name = pg_read_text(r);
	const char *sql = pg_read_text(r);

	s->simple = false;
	if (*name) {
		session_error(s, "0A000", "named statements are absent", now);
		return;
	}
	set_sql(s, sql);
	pg_write_empty(s->build, '1');
}

static bool text_formats(struct pg_reader *r)
{
	uint16_t count = pg_read_u16(r);
	bool text = true;

	while (count-- && !r->broken)
		text &= pg_read_u16(r) == 0;
	return text;
}

static void take_params(struct session *s, struct pg_reader *r)
{
	uint32_t i, bytes;

	clear_params(s);
	s->param_count = pg_read_u16(r);
	s->params = g_new0(char *, s->param_count + 1);
	for (i = 0; i < s->param_count && !r->broken; i++) {
		bytes = pg_read_u32(r);
		if (bytes != UINT32_MAX)
			s->params[i] = pg_read_bytes(r, bytes);
	}
}

static void on_bind(struct session *s, struct pg_reader *r, hm_time now)
{
	bool text;

	pg_read_text(r);
	pg_read_text(r);
	text = text_formats(r);
	take_params(s, r);
	text &= text_formats(r);
	if (!text)
		session_error(s, "0A000", "binary format is absent", now);
	else
		pg_write_empty(s->build, '2');
}

/* The description is sent with the rows: what they are is known then. */
static void on_describe(struct session *s, struct pg_reader *r, hm_time now)
{
	if (r->at < r->end && *r->at == 'P')
		s->described = true;
	else
		session_error(s, "0A000", "only portals are described", now);
}

static void on_execute(struct session *s, struct pg_reader *r, hm_time now)
{
	(void)r;
	if (s->sql)
		statement_start(s, now);
	else
		session_error(s, "26000", "nothing was parsed", now);
}

static void on_sync(struct session *s, struct pg_reader *r, hm_time now)
{
	bool wrote = s->implicit;

	(void)r;
	wrote = statement_sync(s, now) && wrote;
	s->skipping = false;
	s->simple = false;
	pg_write_ready(s->build, (char)s->tx);
	session_answered(s, wrote, now);
}

static void on_query(struct session *s, struct pg_reader *r, hm_time now)
{
	const char *sql = pg_read_text(r);

	s->simple = true;
	set_sql(s, sql);
	s->described = true;
	if (sql[strspn(sql, " \t\r\n;")]) {
		statement_start(s, now);
		return;
	}
	pg_write_empty(s->build, 'I');
	session_answered(s, false, now);
}

static void on_close(struct session *s, struct pg_reader *r, hm_time now)
{
	(void)r;
	(void)now;
	pg_write_empty(s->build, '3');
}

static void on_flush(struct session *s, struct pg_reader *r, hm_time now)
{
	(void)r;
	put_chunk(s, now);
}

static void on_terminate(struct session *s, struct pg_reader *r, hm_time now)
{
	(void)r;
	(void)now;
	session_close(s);
}

static const struct {
	uint8_t type;
	void (*handle)(struct session *s, struct pg_reader *r, hm_time now);
} handlers[] = {
	{ 'P', on_parse },   { 'B', on_bind },	{ 'D', on_describe },
	{ 'E', on_execute }, { 'S', on_sync },	{ 'Q', on_query },
	{ 'C', on_close },   { 'H', on_flush }, { 'X', on_terminate },
};

static void handle(struct session *s, const struct pg_message *m, hm_time now)
{
	struct pg_reader r = pg_reader(m);
	size_t i;

	if (s->skipping && m->type != 'S' && m->type != 'X')
		return;
	for (i = 0; i < G_N_ELEMENTS(handlers); i++)
		if (handlers[i].type == m->type)
			break;
	if (i == G_N_ELEMENTS(handlers)) {
		session_fatal(s, "08P01", "unknown message");
		return;
	}
	handlers[i].handle(s, &r, now);
	if (r.broken)
		session_fatal(s, "08P01", "broken message");
}

static bool take_message(struct session *s, hm_time now)
{
	struct pg_message m;
	enum pg_next next = pg_next(s->in, false, &m);

	if (next == PG_BROKEN)
		session_fatal(s, "08P01", "broken message");
	if (next != PG_MESSAGE)
		return false;
	handle(s, &m, now);
	drop_input(s, m.whole);
	return true;
}

/* One step; false when there is nothing to do now. */
static bool advance(struct session *s, hm_time now)
{
	switch (s->stage) {
	case STAGE_STARTUP:
		return take_startup(s, now);
	case STAGE_ACCEPT:
		if (now < s->due)
			return false;
		welcome(s, now);
		return true;
	case STAGE_IDLE:
		return take_message(s, now);
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

	if (!s->silent || s->forgotten)
		return HM_NEVER;
	return s->silent_at + (limit ? limit : KEEPALIVE);
}

void session_work(struct session *s, hm_time now)
{
	while (!s->closed && !s->forgotten && advance(s, now))
		;
	if (s->closed || s->forgotten)
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

/* The server goes on with the session until its keepalive fails. */
static void end_silent(struct session *s)
{
	close_socket(s);
	s->closed |= s->forgotten;
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
		end_silent(s);
	else if (ended)
		session_close(s);
	else
		session_work(s, now);
}
