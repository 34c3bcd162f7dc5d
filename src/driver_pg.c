/**
 * @file driver_pg.c
 * Driver for PostgreSQL through libpq: the connections of an instance, and
 * which events they lead to.
 */
#include <string.h>

#include "driver.h"
#include "pg_body.h"
#include "pg_control.h"
#include "pg_link.h"
#include "pg_statement.h"

#define BODY_KEEP (60 * HM_SEC)

struct pg_conn {
	struct driver_state *driver;
	uint64_t number;
	char database_name[NAME_BYTES];
	struct endpoint_spec endpoint;
	struct pg_link *link;
	bool was_ready;
	bool reset_wanted;
	bool answered;	 /* all answers came, a cancel is on its way */
	bool cancelling; /* nothing new may run until it arrived */
	bool unsure;	 /* a cancel may still come, so not to be used again */
	struct pg_statement running;
};

struct driver_state {
	struct driver_host host;
	struct pg_control *control;
	GHashTable *conns; /* by number */
	GQueue late;	   /* of struct event */
	struct timer *timer;
	char application[64];
};

static void deliver_late(void *arg)
{
	struct driver_state *d = arg;
	struct event *e;

	while ((e = g_queue_pop_head(&d->late))) {
		sink_event(&d->host.sink, e);
		g_free(e);
	}
}

static void later(struct driver_state *d, const struct event *e)
{
	g_queue_push_tail(&d->late, g_memdup2(e, sizeof(*e)));
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
	d->timer = timer_new(host->loop, deliver_late, d);
	g_queue_init(&d->late);
	g_snprintf(d->application, sizeof(d->application),
		   "hyssopmount/%016" G_GINT64_MODIFIER "x", host->incarnation);
	return d;
}

static void pg_shut(struct driver_state *d)
{
	g_hash_table_destroy(d->conns);
	pg_control_free(d->control);
	timer_free(d->timer);
	g_queue_clear_full(&d->late, g_free);
	g_free(d);
}

static struct pg_conn *find(struct driver_state *d, uint64_t number)
{
	return g_hash_table_lookup(d->conns, &number);
}

static uint64_t put_body(struct driver_state *d, GBytes *bytes)
{
	uint64_t id = bodies_put(d->host.bodies, bytes, loop_now() + BODY_KEEP);

	g_bytes_unref(bytes);
	return id;
}

/* Tells how the statement at hand ended; the connection may be gone then. */
static void end_running(struct pg_conn *c, enum completion done)
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
	if (!c->unsure && pg_link_usable(c->link))
		pg_statement_send_reset(&c->running, c->link);
}

static enum completion unanswered(const struct pg_conn *c)
{
	return c->running.sent ? DONE_LOST : DONE_NOT_SENT;
}

/* Ends the connection and what was started on it meanwhile. */
static void retire(struct pg_conn *c)
{
	struct driver_state *d = c->driver;
	uint64_t number = c->number;

	if (c->running.busy)
		end_running(c, unanswered(c));
	if (find(d, number))
		close_conn(c);
}

/* Delivers the outcome; what follows depends on who waited meanwhile. */
static void finish(struct pg_conn *c)
{
	struct driver_state *d = c->driver;
	uint64_t number = c->number;

	c->unsure |= c->running.dirty;
	end_running(c, c->running.ended ? c->running.done : DONE_LOST);
	c = find(d, number);
	if (!c)
		return;
	if (c->unsure)
		retire(c);
	else if (c->reset_wanted && !c->running.busy)
		send_reset(c);
}

static void on_broken(void *arg)
{
	struct pg_conn *c = arg;

	c->unsure = true;
	if (c->answered)
		finish(c);
	else
		retire(c);
}

/* All answers are there. */
static void on_idle(void *arg)
{
	struct pg_conn *c = arg;

	if (!c->running.busy)
		return;
	c->answered = c->running.ended;
	if (!c->cancelling)
		finish(c);
}

/* A cancel hits what runs when it arrives, so the next one had to wait. */
static void on_cancel_ended(void *arg, uint64_t conn, bool answered)
{
	struct driver_state *d = arg;
	struct pg_conn *c = find(d, conn);

	if (!c)
		return;
	c->cancelling = false;
	c->unsure |= !answered;
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

/* Ends a statement that is not sent, with an error body or without. */
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
	later(d, &e);
}

/* A broken link says so by its event. */
static void start(struct pg_conn *c, const struct statement *s,
		  const struct pg_query *q)
{
	pg_statement_begin(&c->running, s->id, s->op);
	if (!c->unsure && pg_link_usable(c->link))
		pg_statement_send(&c->running, c->link, q);
}

static bool parse_statement(struct driver_state *d, const struct statement *s,
			    struct pg_query *q, const char **fault)
{
	GBytes *body = bodies_get(d->host.bodies, s->body);

	if (!body || !pg_query_parse(body, q)) {
		*fault = "the body holds no statement";
		return false;
	}
	if (pg_query_allowed(q->sql))
		return true;
	*fault = "not run: this statement is not allowed here";
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

static void drop_late(struct driver_state *d, uint64_t conn)
{
	GList *l, *next;
	struct event *e;

	for (l = d->late.head; l; l = next) {
		next = l->next;
		e = l->data;
		if (e->done.conn != conn)
			continue;
		g_queue_delete_link(&d->late, l);
		g_free(e);
	}
}

static void pg_close(struct driver_state *d, uint64_t conn)
{
	drop_late(d, conn);
	g_hash_table_remove(d->conns, &conn);
}

static void pg_step(struct driver_state *d, const struct control *step,
		    const struct database_spec *database,
		    const struct endpoint_spec *endpoint)
{
	pg_control_send(d->control, step, database, endpoint);
}

static void pg_forget(struct driver_state *d, hm_id endpoint)
{
	pg_control_forget(d->control, endpoint);
}

const struct driver driver_pg = { "postgresql", pg_open,   pg_shut,  pg_connect,
				  pg_execute,	pg_cancel, pg_reset, pg_close,
				  pg_step,	pg_forget };
