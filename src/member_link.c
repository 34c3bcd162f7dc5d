/** @file member_link.c Connections to members over the line protocol. */
#include "member_link.h"

#include <h2o.h>
#include <string.h>

#include "address.h"
#include "line_conn.h"
#include "log.h"

struct member_link {
	struct member_links *links;
	uint64_t number;
	h2o_socket_t *connecting; /* NULL once connected */
	struct line_conn *conn;
	char service[NAME_BYTES];
	char who[NAME_BYTES];
	char endpoint[NAME_BYTES];
	bool open;
	bool dirty; /* has lines to send, listed in member_links.dirty */
	/* Unanswered commands, as enum member_command_kind. */
	GByteArray *pending;
	struct reply_builder builder;
};

struct member_links {
	struct loop *loop;
	const struct line_protocol *protocol;
	struct proxy_sink sink;
	GHashTable *by_number; /* of struct member_link, owned */
	GPtrArray *dirty;
};

static void link_free(gpointer data)
{
	struct member_link *m = data;

	if (m->connecting)
		h2o_socket_close(m->connecting);
	if (m->conn)
		line_conn_close(m->conn);
	if (m->dirty)
		g_ptr_array_remove_fast(m->links->dirty, m);
	g_byte_array_unref(m->pending);
	g_string_free(m->builder.rows, TRUE);
	g_string_free(m->builder.signature, TRUE);
	g_free(m);
}

struct member_links *member_links_new(struct loop *loop,
				      const struct line_protocol *protocol,
				      struct proxy_sink sink)
{
	struct member_links *l = g_new0(struct member_links, 1);

	l->loop = loop;
	l->protocol = protocol;
	l->sink = sink;
	l->by_number = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     link_free);
	l->dirty = g_ptr_array_new();
	return l;
}

void member_links_free(struct member_links *l)
{
	if (!l)
		return;
	g_hash_table_unref(l->by_number);
	g_ptr_array_unref(l->dirty);
	g_free(l);
}

static void mark_dirty(struct member_link *m)
{
	if (m->dirty)
		return;
	m->dirty = true;
	g_ptr_array_add(m->links->dirty, m);
}

/* Frees a link and reports it to the core as closed. */
static void fail_link(struct member_link *m, enum error error,
		      const char *reason)
{
	struct member_links *l = m->links;
	struct proxy_event e = { .kind = PROXY_MEMBER_CLOSED,
				 .member.conn = m->number,
				 .member.error = error };

	log_event(G_LOG_LEVEL_DEBUG, "member_link_closed", "member",
		  m->endpoint, "who", m->who, "error",
		  error_answer(error)->code, "reason", reason, NULL);
	g_hash_table_remove(l->by_number, &e.member.conn);
	proxy_sink_event(&l->sink, &e);
}

static void begin_reply(struct member_link *m)
{
	g_string_truncate(m->builder.rows, 0);
	g_string_truncate(m->builder.signature, 0);
	m->builder.ended = false;
	memset(&m->builder.reply, 0, sizeof(m->builder.reply));
}

/* Called when the member has accepted the login. */
static void on_open(struct member_link *m)
{
	struct proxy_event e = { .kind = PROXY_MEMBER_READY,
				 .member.conn = m->number };

	m->open = true;
	begin_reply(m);
	proxy_sink_event(&m->links->sink, &e);
}

static void on_reply(struct member_link *m)
{
	struct member_reply reply = m->builder.reply;
	struct proxy_event e = { .kind = PROXY_MEMBER_REPLIED,
				 .member.conn = m->number,
				 .member.reply = &reply };
	GString *rows = m->builder.rows, *signature = m->builder.signature;

	/*
	 * The event handler may free the link, and the reply points to these
	 * texts, so they are taken out of the link.
	 */
	m->builder.rows = g_string_new(NULL);
	m->builder.signature = g_string_new(NULL);
	g_byte_array_remove_index(m->pending, 0);
	begin_reply(m);
	proxy_sink_event(&m->links->sink, &e);
	g_string_free(rows, TRUE);
	g_string_free(signature, TRUE);
}

static void on_opening_line(struct member_link *m, char *line)
{
	enum error error = m->links->protocol->read_open(line);

	if (error)
		fail_link(m, error, "login refused");
	else
		on_open(m);
}

static void on_line(void *arg, char *line)
{
	struct member_link *m = arg;
	enum member_command_kind kind;

	if (!m->open) {
		on_opening_line(m, line);
		return;
	}
	if (!m->pending->len) {
		fail_link(m, ERR_INTERNAL, "unexpected line");
		return;
	}
	kind = (enum member_command_kind)m->pending->data[0];
	switch (m->links->protocol->read_reply(line, kind, &m->builder)) {
	case REPLY_MORE:
		break;
	case REPLY_COMPLETE:
		on_reply(m);
		break;
	case REPLY_BAD:
		fail_link(m, ERR_INTERNAL, "malformed reply");
		break;
	}
}

static void on_closed(void *arg, const char *reason)
{
	fail_link(arg, ERR_NO_ENDPOINT, reason);
}

static const struct line_handler handler = { on_line, on_closed };

static void on_connect(h2o_socket_t *socket, const char *err)
{
	struct member_link *m = socket->data;

	if (err) {
		fail_link(m, ERR_NO_ENDPOINT, err);
		return;
	}
	m->connecting = NULL;
	m->conn = line_conn_new(socket, m->links->protocol->line_limit,
				&handler, m);
	m->links->protocol->write_open(line_conn_out(m->conn), m->service,
				       m->who, m->endpoint);
	line_conn_flush(m->conn);
}

/*
 * A failed connect to be reported: no socket could be created for the link. The
 * event loop reports the failure after member_links_perform() has returned. By
 * then the core may have closed the link, so the link is looked up by its
 * number.
 */
struct connect_failure {
	struct member_links *links;
	uint64_t number;
};

static void report_connect_failure(void *arg)
{
	struct connect_failure *f = arg;
	struct member_link *m =
		g_hash_table_lookup(f->links->by_number, &f->number);

	if (m)
		fail_link(m, ERR_NO_ENDPOINT, "no socket");
	g_free(f);
}

static void post_connect_failure(struct member_link *m)
{
	struct connect_failure *f = g_new(struct connect_failure, 1);

	f->links = m->links;
	f->number = m->number;
	loop_post(m->links->loop, report_connect_failure, f);
}

static void connect_link(struct member_links *l, const struct proxy_action *a)
{
	struct member_link *m = g_new0(struct member_link, 1);
	struct sockaddr_storage ss;

	m->links = l;
	m->number = a->member.conn;
	m->pending = g_byte_array_new();
	m->builder.rows = g_string_new(NULL);
	m->builder.signature = g_string_new(NULL);
	g_strlcpy(m->service, a->member.service, sizeof(m->service));
	g_strlcpy(m->who, a->member.who, sizeof(m->who));
	g_strlcpy(m->endpoint, a->member.endpoint, sizeof(m->endpoint));
	g_hash_table_insert(l->by_number, &m->number, m);
	if (address_parse(a->member.address, &ss))
		m->connecting = h2o_socket_connect(
			loop_h2o(l->loop), (struct sockaddr *)&ss,
			address_bytes(&ss), on_connect);
	if (m->connecting)
		m->connecting->data = m;
	else
		post_connect_failure(m);
}

static void send_command(struct member_link *m, const struct proxy_action *a)
{
	guint8 kind = (guint8)a->member.command.kind;

	if (!m->conn)
		return;
	g_byte_array_append(m->pending, &kind, 1);
	m->links->protocol->write_command(line_conn_out(m->conn),
					  &a->member.command);
	mark_dirty(m);
}

void member_links_perform(struct member_links *l, const struct proxy_action *a)
{
	struct member_link *m =
		g_hash_table_lookup(l->by_number, &a->member.conn);

	if (a->kind == PROXY_CONNECT)
		connect_link(l, a);
	else if (m && a->kind == PROXY_COMMAND)
		send_command(m, a);
	else if (m && a->kind == PROXY_CLOSE_MEMBER)
		g_hash_table_remove(l->by_number, &a->member.conn);
}

void member_links_flush(struct member_links *l)
{
	guint i;

	for (i = 0; i < l->dirty->len; i++) {
		struct member_link *m = g_ptr_array_index(l->dirty, i);

		m->dirty = false;
		line_conn_flush(m->conn);
	}
	g_ptr_array_set_size(l->dirty, 0);
}
