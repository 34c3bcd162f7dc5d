/**
 * @file line_front.c
 * Accepts client connections and reads their lines. The core gets one request
 * of a session at a time: while it is processed, the connection is paused and
 * further lines wait in its input buffer.
 */
#include "line_front.h"

#include <h2o.h>
#include <string.h>

#include "line_conn.h"
#include "listen.h"
#include "log.h"
#include "names.h"

struct line_client {
	struct line_front *front;
	uint64_t number;
	struct line_conn *conn;
	bool started;
	bool waiting; /* the client waits for an answer */
	/* the client has an unsent answer and is listed in line_front.dirty */
	bool dirty;
};

struct line_front {
	struct loop *loop;
	const struct line_protocol *protocol;
	struct proxy_sink sink;
	h2o_socket_t *listener;
	GHashTable *by_number; /* of struct line_client, owned */
	GArray *dirty;	       /* numbers of the clients with unsent answers */
	uint64_t next_number;
	uint32_t limit;
};

static void line_client_free(gpointer data)
{
	struct line_client *c = data;

	if (c->conn)
		line_conn_close(c->conn);
	g_free(c);
}

static void report_closed(struct line_client *c)
{
	struct line_front *f = c->front;
	struct proxy_event e = { .kind = PROXY_CLIENT_CLOSED,
				 .client = c->number };

	g_hash_table_remove(f->by_number, &e.client);
	proxy_sink_event(&f->sink, &e);
}

static void open_session(struct line_client *c, const struct client_request *r)
{
	struct proxy_event e = { .kind = PROXY_CLIENT_OPENED };

	c->started = true;
	e.opened.client = c->number;
	e.opened.database = name_id(r->database);
	e.opened.has_key = r->key != NULL;
	if (r->key)
		e.opened.key = key_hash(r->key, strlen(r->key));
	proxy_sink_event(&c->front->sink, &e);
}

static void send_request(struct line_client *c, const struct client_request *r)
{
	struct proxy_event e = { .kind = PROXY_CLIENT_REQUEST };

	e.asked.client = c->number;
	e.asked.op = r->op;
	e.asked.request = r->request;
	e.asked.name = r->name;
	e.asked.text = r->text;
	e.asked.writes = r->writes;
	e.asked.malformed = r->kind == CLIENT_BAD_STATEMENT;
	proxy_sink_event(&c->front->sink, &e);
}

static void on_line(void *arg, char *line)
{
	struct line_client *c = arg;
	struct client_request r;

	c->front->protocol->read_request(line, c->started, &r);
	if (r.kind == CLIENT_TERMINATE) {
		report_closed(c);
		return;
	}
	if (r.kind == CLIENT_BAD) {
		log_event(G_LOG_LEVEL_INFO, "caller_malformed", NULL);
		report_closed(c);
		return;
	}
	c->waiting = true;
	line_conn_pause(c->conn, true);
	if (r.kind == CLIENT_OPEN)
		open_session(c, &r);
	else
		send_request(c, &r);
}

static void on_closed(void *arg, const char *reason)
{
	(void)reason; /* a client that disconnects is not logged */
	report_closed(arg);
}

static const struct line_handler handler = { on_line, on_closed };

static void add_client(struct line_front *f, h2o_socket_t *socket)
{
	struct line_client *c = g_new0(struct line_client, 1);

	c->front = f;
	c->number = ++f->next_number;
	c->conn = line_conn_new(socket, f->protocol->line_limit, &handler, c);
	g_hash_table_insert(f->by_number, &c->number, c);
}

static void on_accept(h2o_socket_t *listener, const char *err)
{
	struct line_front *f = listener->data;
	h2o_socket_t *socket;

	if (err)
		return;
	while ((socket = h2o_evloop_socket_accept(listener))) {
		if (line_front_count(f) < f->limit) {
			add_client(f, socket);
			continue;
		}
		log_event(G_LOG_LEVEL_WARNING, "caller_limit", NULL);
		h2o_socket_close(socket);
	}
}

struct line_front *line_front_new(struct loop *loop, const char *address,
				  uint32_t connection_limit,
				  const struct line_protocol *protocol,
				  struct proxy_sink sink)
{
	int fd = listen_on(address);
	struct line_front *f;

	if (fd < 0)
		return NULL;
	f = g_new0(struct line_front, 1);
	f->loop = loop;
	f->protocol = protocol;
	f->sink = sink;
	f->limit = connection_limit;
	f->by_number = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     line_client_free);
	f->dirty = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	f->listener = h2o_evloop_socket_create(loop_h2o(loop), fd,
					       H2O_SOCKET_FLAG_DONT_READ);
	f->listener->data = f;
	h2o_socket_read_start(f->listener, on_accept);
	return f;
}

void line_front_free(struct line_front *f)
{
	if (!f)
		return;
	h2o_socket_close(f->listener);
	g_hash_table_unref(f->by_number);
	g_array_unref(f->dirty);
	g_free(f);
}

uint32_t line_front_count(const struct line_front *f)
{
	return g_hash_table_size(f->by_number);
}

static void answer_client(struct line_front *f, struct line_client *c,
			  const struct proxy_action *a)
{
	f->protocol->write_answer(line_conn_out(c->conn), a);
	c->waiting = false;
	if (c->dirty)
		return;
	c->dirty = true;
	g_array_append_val(f->dirty, c->number);
}

static void close_client(struct line_front *f, struct line_client *c)
{
	uint64_t number = c->number;

	/* Sends the answers not sent yet before it closes. */
	line_conn_finish(c->conn, f->loop);
	c->conn = NULL;
	g_hash_table_remove(f->by_number, &number);
}

void line_front_perform(struct line_front *f, const struct proxy_action *a)
{
	uint64_t number =
		a->kind == PROXY_ANSWER ? a->answer.client : a->client;
	struct line_client *c = g_hash_table_lookup(f->by_number, &number);

	if (!c)
		return; /* the client has disconnected */
	if (a->kind == PROXY_ANSWER)
		answer_client(f, c, a);
	else
		close_client(f, c);
}

void line_front_flush(struct line_front *f)
{
	GArray *numbers = f->dirty;
	struct line_client *c;
	guint i;

	if (!numbers->len)
		return;
	f->dirty = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	for (i = 0; i < numbers->len; i++) {
		c = g_hash_table_lookup(f->by_number,
					&g_array_index(numbers, uint64_t, i));
		if (!c)
			continue;
		c->dirty = false;
		line_conn_flush(c->conn);
		if (c->waiting)
			continue;
		line_conn_pause(c->conn, false);
		line_conn_deliver(c->conn);
	}
	g_array_unref(numbers);
}
