/** @file messages.c Messages that a client sends to a member. */
#include <stdlib.h>
#include <string.h>

#include "pgproto.h"
#include "session.h"

#define CONTROL_CONNECTIONS 16
#define APPLICATION "hyssopmount/"

static void parse_application_name(struct session *s, const char *name)
{
	char *end;

	if (!g_str_has_prefix(name, APPLICATION))
		return;
	s->incarnation = g_ascii_strtoull(name + strlen(APPLICATION), &end, 16);
	s->control = !strcmp(end, "/control");
}

static void parse_options(struct session *s, struct pg_reader *r)
{
	const char *name, *value;

	while (r->at < r->end && *r->at) {
		name = pg_read_text(r);
		value = pg_read_text(r);
		if (r->truncated)
			return;
		if (!strcmp(name, "application_name"))
			parse_application_name(s, value);
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

	parse_options(s, r);
	if (s->control)
		full = control_connections(n) > CONTROL_CONNECTIONS;
	else
		full = node_connections(n) >= n->spec.connections;
	if (full) {
		session_fatal(s, "53300", "too many connections");
		return;
	}
	if (s->incarnation && !s->control && n->owner &&
	    s->incarnation != n->owner) {
		session_fatal(s, "57P03", "the member has another owner");
		return;
	}
	s->stage = STAGE_ACCEPT;
	s->due = now + n->options.connect_cost;
	n->connections_max = MAX(n->connections_max, node_connections(n));
}

static void cancel(struct session *s, struct pg_reader *r, hm_time now)
{
	uint32_t pid = pg_read_u32(r);
	uint32_t secret = pg_read_u32(r);
	struct session *other = node_session(s->node, pid);

	if (other && other->secret == secret) {
		statement_cancel(other, now);
		session_process(other, now);
	}
	session_close(s);
}

static void drop_input(struct session *s, uint32_t bytes)
{
	if (!s->closed)
		g_byte_array_remove_range(s->in, 0, bytes);
}

bool session_startup(struct session *s, hm_time now)
{
	struct pg_message m;
	struct pg_reader r;
	enum pg_next next = pg_next(s->in, true, &m);

	if (next == PG_MALFORMED)
		session_close(s);
	if (next != PG_MESSAGE)
		return false;
	r = pg_reader(&m);
	switch (pg_read_u32(&r)) {
	case PG_SSL:
	case PG_GSSENC:
		g_byte_array_append(s->build, (const guint8 *)"N", 1);
		session_queue_output(s, now);
		break;
	case PG_CANCEL:
		cancel(s, &r, now);
		break;
	case PG_PROTOCOL:
		start(s, &r, now);
		break;
	default:
		session_fatal(s, "0A000", "unsupported protocol version");
	}
	drop_input(s, m.total_bytes);
	return true;
}

void session_finish_startup(struct session *s, hm_time now)
{
	s->stage = STAGE_IDLE;
	pg_write_auth_ok(s->build);
	pg_write_parameter(s->build, "server_version", "15.0");
	pg_write_parameter(s->build, "server_encoding", "UTF8");
	pg_write_parameter(s->build, "client_encoding", "UTF8");
	pg_write_parameter(s->build, "standard_conforming_strings", "on");
	pg_write_key(s->build, s->pid, s->secret);
	pg_write_ready(s->build, (char)s->tx);
	session_queue_output(s, now);
}

static void set_sql(struct session *s, const char *sql)
{
	g_free(s->sql);
	s->sql = g_strdup(sql);
	s->described = false;
	session_clear_params(s);
}

static void on_parse(struct session *s, struct pg_reader *r, hm_time now)
{
	const char *name = pg_read_text(r);
	const char *sql = pg_read_text(r);

	s->simple = false;
	if (*name) {
		session_error(s, "0A000", "named statements are not supported",
			      now);
		return;
	}
	set_sql(s, sql);
	pg_write_empty(s->build, '1');
}

static bool all_text_formats(struct pg_reader *r)
{
	uint16_t count = pg_read_u16(r);
	bool text = true;

	while (count-- && !r->truncated)
		text &= pg_read_u16(r) == 0;
	return text;
}

static void parse_params(struct session *s, struct pg_reader *r)
{
	uint32_t i, bytes;

	session_clear_params(s);
	s->param_count = pg_read_u16(r);
	s->params = g_new0(char *, s->param_count + 1);
	for (i = 0; i < s->param_count && !r->truncated; i++) {
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
	text = all_text_formats(r);
	parse_params(s, r);
	text &= all_text_formats(r);
	if (!text)
		session_error(s, "0A000", "binary format is not supported",
			      now);
	else
		pg_write_empty(s->build, '2');
}

/*
 * Only notes that a row description is wanted: it is sent with the rows, which
 * give the column types.
 */
static void on_describe(struct session *s, struct pg_reader *r, hm_time now)
{
	if (r->at < r->end && *r->at == 'P')
		s->described = true;
	else
		session_error(s, "0A000", "only portals can be described", now);
}

static void on_execute(struct session *s, struct pg_reader *r, hm_time now)
{
	(void)r;
	if (s->sql)
		statement_start(s, now);
	else
		session_error(s, "26000", "no statement was parsed", now);
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
	session_queue_output(s, now);
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
		session_fatal(s, "08P01", "unknown message type");
		return;
	}
	handlers[i].handle(s, &r, now);
	if (r.truncated)
		session_fatal(s, "08P01", "malformed message");
}

bool session_message(struct session *s, hm_time now)
{
	struct pg_message m;
	enum pg_next next = pg_next(s->in, false, &m);

	if (next == PG_MALFORMED)
		session_fatal(s, "08P01", "malformed message");
	if (next != PG_MESSAGE)
		return false;
	handle(s, &m, now);
	drop_input(s, m.total_bytes);
	return true;
}
