/**
 * @file driver_pg.c
 * Driver for PostgreSQL through libpq: the connections of an instance and
 * the events that they cause.
 */
#include <string.h>

#include "driver.h"
#include "pg_body.h"
#include "pg_control.h"
#include "pg_link.h"
#include "pg_statement.h"

#define BODY_LIFETIME (60 * HM_SEC)

struct pg_conn {
	struct driver_state *driver;
	uint64_t number;
	char database_name[NAME_BYTES];
	struct endpoint_spec endpoint;
	struct pg_link *link;
	bool was_ready;
	bool reset_wanted;
	bool answered;	 /* all results arrived, a cancel is pending */
	bool cancelling; /* a cancel is pending: start nothing new */
	/*
	 * a late cancel may hit this connection's next statement: never reuse
	 * the connection
	 */
	bool unusable;
	struct pg_statement running;
};

struct driver_state {
	struct driver_host host;
	struct pg_control *control;
	GHashTable *conns; /* by number */
	/* struct event: events to send later, from the loop */
	GQueue deferred;
	struct timer *timer;
	char application[64];
};

static void deliver_deferred(void *arg)
{
	struct driver_state *d = arg;
	struct event *e;

	while ((e = g_queue_pop_head(&d->deferred))) {
		sink_event(&d->host.sink, e);
		g_free(e);
	}
}

static void defer_event(struct driver_state *d, const struct event *e)
{
	g_queue_push_tail(&d->deferred, g_memdup2(e, sizeof(*e)));
	timer_set(d->timer, 0);
}

static void conn_free(void *conn)
{
	struct pg_conn *c = conn;

	pg_link_free(c->link);
	pg_statement_clear(&c->running);
	g_free(c);
}

static struct driver_state *pg_open(const struct driver_host *host)
{
	struct driver_state *d = g_new0(struct driver_state, 1);

	d->host = *host;
	d->control = pg_control_new(&d->host);
	d->conns = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 conn_free);
	d->timer = timer_new(host->loop, deliver_deferred, d);
	g_queue_init(&d->deferred);
	g_snprintf(d->application, sizeof(d->application),
		   "hyssopmount/%016" G_GINT64_MODIFIER "x", host->incarnation);
	return d;
}

static void pg_shutdown(struct driver_state *d)
{
	g_hash_table_destroy(d->conns);
	pg_control_free(d->control);
	timer_free(d->timer);
	g_queue_clear_full(&d->deferred, g_free);
	g_free(d);
}

static struct pg_conn *find(struct driver_state *d, uint64_t number)
{
	return g_hash_table_lookup(d->conns, &number);
}

static uint64_t put_body(struct driver_state *d, GBytes *bytes)
{
	uint64_t id =
		bodies_put(d->host.bodies, bytes, loop_now() + BODY_LIFETIME);

	g_bytes_unref(bytes);
	return id;
}

/*
 * Sends EV_DONE for the running statement. The connection may have been freed
 * when this returns.
 */
static void report_done(struct pg_conn *c, enum completion done)
{
	struct event e = { .kind = EV_DONE };

	e.done.conn = c->number;
	e.done.id = c->running.id;
	e.done.done = done;
	if (c->running.body && done != DONE_LOST)
		e.done.body = put_body(c->driver, g_bytes_ref(c->running.body));
	pg_statement_positions(&c->running, &e);
	e.done.open_tx = pg_link_in_transaction(c->link);
	pg_statement_clear(&c->running);
	c->answered = false;
	sink_event(&c->driver->host.sink, &e);
}

static void on_ready(void *arg)
{
	struct pg_conn *c = arg;
	struct event e = { .kind = EV_CONNECTED };

	c->was_ready = true;
	e.conn.conn = c->number;
	sink_event(&c->driver->host.sink, &e);
}

static void close_conn(struct pg_conn *c)
{
	struct driver_state *d = c->driver;
	struct event e = { .kind = EV_CLOSED };

	e.conn.conn = c->number;
	e.conn.failed = !c->was_ready;
	g_hash_table_remove(d->conns, &e.conn.conn);
	sink_event(&d->host.sink, &e);
}

static void on_result(void *arg, uint32_t query, const PGresult *r)
{
	struct pg_conn *c = arg;
	const struct driver_host *host = &c->driver->host;
	struct pg_rows_limit limit = { host->rows_limit, host->answer_bytes };

	pg_statement_result(&c->running, query, r, limit);
}

static void send_reset(struct pg_conn *c)
{
	const struct rid none = { 0 };

	pg_statement_begin(&c->running, none, OP_ROLLBACK);
	c->reset_wanted = false;
	if (!c->unusable && pg_link_usable(c->link))
		pg_statement_send_reset(&c->running, c->link);
}

static enum completion completion_without_result(const struct pg_conn *c)
{
	return c->running.sent ? DONE_LOST : DONE_NOT_SENT;
}

/* Closes the connection, after EV_DONE for a statement that still runs. */
static void end_conn(struct pg_conn *c)
{
	struct driver_state *d = c->driver;
	uint64_t number = c->number;

	if (c->running.busy)
		report_done(c, completion_without_result(c));
	if (find(d, number))
		close_conn(c);
}

/*
 * Sends EV_DONE for the statement that ended. Then closes the connection if
 * it can't be reused, or sends a reset that was requested while the statement
 * ran.
 */
static void finish(struct pg_conn *c)
{
	struct driver_state *d = c->driver;
	uint64_t number = c->number;

	c->unusable |= c->running.dirty;
	report_done(c, c->running.ended ? c->running.done : DONE_LOST);
	c = find(d, number);
	if (!c)
		return;
	if (c->unusable)
		end_conn(c);
	else if (c->reset_wanted && !c->running.busy)
		send_reset(c);
}

static void on_broken(void *arg)
{
	struct pg_conn *c = arg;

	c->unusable = true;
	if (c->answered)
		finish(c);
	else
		end_conn(c);
}

/* Called when all results of the statement have arrived. */
static void on_idle(void *arg)
{
	struct pg_conn *c = arg;

	if (!c->running.busy)
		return;
	c->answered = c->running.ended;
	if (!c->cancelling)
		finish(c);
}

/*
 * Called when a cancel request has ended; sends EV_DONE if the results have
 * arrived already. A cancel hits whatever the server process runs when the
 * cancel arrives. So EV_DONE, after which the next statement may start, waits
 * for the cancel.
 */
static void on_cancel_ended(void *arg, uint64_t conn, bool answered)
{
	struct driver_state *d = arg;
	struct pg_conn *c = find(d, conn);

	if (!c)
		return;
	c->cancelling = false;
	c->unusable |= !answered;
	if (c->running.busy && pg_link_idle(c->link))
		finish(c);
}

static const struct pg_link_events link_events = { on_ready, on_result, on_idle,
						   on_broken };

static void pg_connect(struct driver_state *d, uint64_t conn,
		       const struct database_spec *database,
		       const struct endpoint_spec *endpoint)
{
	struct pg_target target = { endpoint->address, database->name,
				    d->application };
	struct pg_conn *c = g_new0(struct pg_conn, 1);

	c->driver = d;
	c->number = conn;
	g_strlcpy(c->database_name, database->name, NAME_BYTES);
	c->endpoint = *endpoint;
	c->link = pg_link_new(d->host.loop, &target,
			      loop_now() + d->host.connect_limit, &link_events,
			      c);
	g_hash_table_insert(d->conns, &c->number, c);
}

/* Sends EV_DONE for a statement that is not sent; @a body may be NULL. */
static void end_unsent(struct driver_state *d, uint64_t conn,
		       const struct statement *s, enum completion done,
		       GBytes *body)
{
	const struct pg_conn *c = find(d, conn);
	struct event e = { .kind = EV_DONE };

	e.done.conn = conn;
	e.done.id = s->id;
	e.done.done = done;
	e.done.body = body ? put_body(d, body) : 0;
	e.done.open_tx =
		c && pg_link_ready(c->link) && pg_link_in_transaction(c->link);
	defer_event(d, &e);
}

/*
 * Sends a statement. If the link is broken, its broken() event ends the
 * statement.
 */
static void start(struct pg_conn *c, const struct statement *s,
		  const struct pg_query *q)
{
	pg_statement_begin(&c->running, s->id, s->op);
	if (!c->unusable && pg_link_usable(c->link))
		pg_statement_send(&c->running, c->link, q);
}

static bool parse_statement(struct driver_state *d, const struct statement *s,
			    struct pg_query *q, const char **fault)
{
	GBytes *body = bodies_get(d->host.bodies, s->body);

	if (!body || !pg_query_parse(body, q)) {
		*fault = "the request body contains no SQL statement";
		return false;
	}
	if (pg_query_allowed(q->sql))
		return true;
	*fault = "not run: this statement is not allowed";
	pg_query_clear(q);
	return false;
}

static void pg_execute(struct driver_state *d, uint64_t conn,
		       const struct statement *s)
{
	struct pg_conn *c = find(d, conn);
	struct pg_query q = { 0 };
	const char *fault = NULL;

	if (!c || c->running.busy) {
		end_unsent(d, conn, s, DONE_NOT_SENT, NULL);
		return;
	}
	if (pg_statement_sql(s->op)) {
		start(c, s, NULL);
		return;
	}
	if (!parse_statement(d, s, &q, &fault)) {
		end_unsent(d, conn, s, DONE_REJECTED,
			   pg_body_error("0A000", fault));
		return;
	}
	start(c, s, &q);
	pg_query_clear(&q);
}

static void pg_cancel(struct driver_state *d, uint64_t conn)
{
	struct pg_conn *c = find(d, conn);
	struct pg_cancel cancel = { .conn = conn };

	if (!c || !c->running.sent || c->cancelling || c->answered)
		return;
	c->cancelling = true;
	cancel.pid = pg_link_pid(c->link);
	cancel.database = c->database_name;
	cancel.endpoint = &c->endpoint;
	pg_control_cancel(d->control, &cancel, on_cancel_ended, d);
}

static void pg_reset(struct driver_state *d, uint64_t conn)
{
	struct pg_conn *c = find(d, conn);

	if (!c)
		return;
	if (c->running.busy)
		c->reset_wanted = true;
	else
		send_reset(c);
}

static void drop_deferred(struct driver_state *d, uint64_t conn)
{
	GList *l, *next;
	struct event *e;

	for (l = d->deferred.head; l; l = next) {
		next = l->next;
		e = l->data;
		if (e->done.conn != conn)
			continue;
		g_queue_delete_link(&d->deferred, l);
		g_free(e);
	}
}

static void pg_close(struct driver_state *d, uint64_t conn)
{
	drop_deferred(d, conn);
	g_hash_table_remove(d->conns, &conn);
}

static void pg_control_command(struct driver_state *d,
			       const struct control *step,
			       const struct database_spec *database,
			       const struct endpoint_spec *endpoint)
{
	pg_control_send(d->control, step, database, endpoint);
}

static void pg_close_control(struct driver_state *d, hm_id endpoint)
{
	pg_control_close(d->control, endpoint);
}

const struct driver driver_pg = { "postgresql",	      pg_open,
				  pg_shutdown,	      pg_connect,
				  pg_execute,	      pg_cancel,
				  pg_reset,	      pg_close,
				  pg_control_command, pg_close_control };
