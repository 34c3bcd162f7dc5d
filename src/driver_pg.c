/**
 * @file driver_pg.c
 * Driver for PostgreSQL through libpq. A statement goes out in one pipeline:
 * the state, the statement, the state again, so that its marks enclose it.
 */
#include <string.h>

#include "driver.h"
#include "pg_body.h"
#include "pg_control.h"
#include "pg_link.h"

#define BODY_KEEP (60 * HM_SEC)
#define QUERIES_MAX 6
#define STATE_SQL "SELECT hm_state()"
#define CLEAR_SQL "DISCARD ALL"

/* What a query of the pipeline is for. */
enum part {
	PART_BEFORE,
	PART_BEGIN,
	PART_STATEMENT,
	PART_END,
	PART_AFTER,
	PART_CLEAR
};

/* A statement on its way; zeroed when the connection is free. */
struct running {
	bool busy;
	bool sent;
	struct rid id;
	enum op op;
	bool in_transaction;
	uint32_t count;
	enum part parts[QUERIES_MAX];
	bool ended; /* the outcome below is known */
	enum done done;
	uint64_t body;
	struct pg_rows rows;
	struct endpoint_state before;
	struct endpoint_state after;
};

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
	bool unsure;	 /* a cancel may still come, or state was left */
	struct running running;
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
	pg_rows_clear(&c->running.rows);
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
		   "hyssopmount/%016" G_GINT64_MODIFIER "x", host->life);
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

/* The mark before counts only if the log after still holds it. */
static bool still_holds(const struct endpoint_state *after, struct mark m)
{
	uint32_t i;

	if (mark_compare(after->at, m) < 0)
		return false;
	for (i = 0; i < after->lineage.count; i++)
		if (after->lineage.begin[i].term > m.term)
			return m.pos <= after->lineage.begin[i].pos;
	return true;
}

static void fill_marks(const struct running *r, struct event *e)
{
	e->done.lineage =
		r->after.reachable ? r->after.lineage : r->before.lineage;
	if (!r->after.reachable)
		return;
	e->done.after = r->after.at;
	if (r->before.reachable && still_holds(&r->after, r->before.at))
		e->done.before = r->before.at;
}

/* Tells how the statement at hand ended; the connection may be gone then. */
static void end_running(struct pg_conn *c, enum done done)
{
	struct event e = { .kind = EV_DONE };

	e.done.conn = c->number;
	e.done.id = c->running.id;
	e.done.done = done;
	e.done.body = c->running.body;
	fill_marks(&c->running, &e);
	e.done.open_tx = pg_link_in_transaction(c->link);
	pg_rows_clear(&c->running.rows);
	memset(&c->running, 0, sizeof(c->running));
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

static void on_broken(void *arg)
{
	struct pg_conn *c = arg;
	struct driver_state *d = c->driver;
	uint64_t number = c->number;

	if (c->running.busy && c->answered)
		end_running(c, c->running.done);
	else if (c->running.busy)
		end_running(c, c->running.sent ? DONE_LOST : DONE_NOT_SENT);
	if (find(d, number))
		close_conn(c);
}

/* Errors by which a server says that it did not run a statement. */
static bool says_not_run(const struct running *r, const char *sqlstate)
{
	/* A read that tries to write meets its own read-only transaction. */
	if (!g_strcmp0(sqlstate, "25006"))
		return r->op != OP_READ || r->in_transaction;
	return !g_strcmp0(sqlstate, "53300") || !g_strcmp0(sqlstate, "57P03");
}

static void set_outcome(struct pg_conn *c, enum done done, GBytes *body)
{
	c->running.ended = true;
	c->running.done = done;
	bodies_drop(c->driver->host.bodies, c->running.body);
	c->running.body = 0;
	if (body)
		c->running.body = put_body(c->driver, body);
}

static void take_failure(struct pg_conn *c, const PGresult *r)
{
	const char *sqlstate = PQresultErrorField(r, PG_DIAG_SQLSTATE);

	/* What became of the statement is open then. */
	if (pg_ends_connection(r))
		return;
	set_outcome(c,
		    says_not_run(&c->running, sqlstate) ? DONE_REFUSED
							: DONE_REJECTED,
		    pg_body_failure(r));
}

static struct pg_rows_limit limit_of(const struct pg_conn *c)
{
	const struct driver_host *host = &c->driver->host;
	struct pg_rows_limit limit = { host->rows_limit, host->answer_bytes };

	return limit;
}

static void take_last_rows(struct pg_conn *c, const PGresult *r)
{
	GBytes *body = pg_rows_end(&c->running.rows, r, limit_of(c));

	if (body)
		set_outcome(c, DONE_OK, body);
	else
		set_outcome(c, DONE_REJECTED,
			    pg_body_error("54000", "the statement was run; its "
						   "answer is over the limit"));
}

/* A server answers the COMMIT of a failed transaction with ROLLBACK. */
static bool rolled_back(const struct pg_conn *c, const PGresult *r)
{
	return c->running.op == OP_COMMIT &&
	       strcmp(PQcmdStatus((PGresult *)r), "COMMIT") != 0;
}

static void take_statement(struct pg_conn *c, const PGresult *r)
{
	switch (PQresultStatus(r)) {
	case PGRES_SINGLE_TUPLE:
		pg_rows_add(&c->running.rows, r, limit_of(c));
		return;
	case PGRES_TUPLES_OK:
	case PGRES_COMMAND_OK:
	case PGRES_EMPTY_QUERY:
		if (rolled_back(c, r))
			set_outcome(c, DONE_REJECTED,
				    pg_body_error("40000", "the transaction "
							   "was rolled back"));
		else
			take_last_rows(c, r);
		return;
	case PGRES_FATAL_ERROR:
		take_failure(c, r);
		return;
	default:
		return;
	}
}

static void on_result(void *arg, uint32_t query, const PGresult *r)
{
	struct pg_conn *c = arg;
	struct running *run = &c->running;

	if (!run->busy || query >= run->count)
		return;
	switch (run->parts[query]) {
	case PART_BEFORE:
		pg_state_parse(r, &run->before);
		break;
	case PART_AFTER:
		pg_state_parse(r, &run->after);
		break;
	case PART_STATEMENT:
		take_statement(c, r);
		break;
	case PART_BEGIN:
	case PART_END:
		if (PQresultStatus(r) == PGRES_FATAL_ERROR && !run->ended)
			take_failure(c, r);
		break;
	case PART_CLEAR:
		c->unsure |= PQresultStatus(r) != PGRES_COMMAND_OK;
		break;
	}
}

static bool add_query(struct pg_conn *c, enum part part, const char *sql,
		      const struct pg_query *q)
{
	struct running *r = &c->running;

	r->parts[r->count++] = part;
	if (q)
		return pg_link_query(c->link, q->sql, q->count,
				     (const char *const *)q->params, true);
	return pg_link_query(c->link, sql, 0, NULL, false);
}

static void send_reset(struct pg_conn *c)
{
	memset(&c->running, 0, sizeof(c->running));
	c->running.busy = true;
	c->running.op = OP_ROLLBACK;
	c->reset_wanted = false;
	if (!pg_link_usable(c->link))
		return;
	c->running.sent = true;
	if (add_query(c, PART_END, "ROLLBACK", NULL) && pg_link_sync(c->link) &&
	    add_query(c, PART_STATEMENT, CLEAR_SQL, NULL))
		pg_link_sync(c->link);
}

/* Delivers the outcome; what follows depends on who waited meanwhile. */
static void finish(struct pg_conn *c)
{
	struct driver_state *d = c->driver;
	uint64_t number = c->number;

	end_running(c, c->running.ended ? c->running.done : DONE_LOST);
	c = find(d, number);
	if (!c || c->running.busy)
		return;
	if (c->unsure)
		close_conn(c);
	else if (c->reset_wanted)
		send_reset(c);
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
		       const struct statement *s, enum done done, GBytes *body)
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

/* SQL of an operation that carries none of its own. */
static const char *operation_sql(enum op op)
{
	switch (op) {
	case OP_BEGIN:
		return "BEGIN";
	case OP_COMMIT:
		return "COMMIT";
	case OP_ROLLBACK:
		return "ROLLBACK";
	default:
		return NULL;
	}
}

/* The statement, inside a read-only transaction of its own for a read. */
static bool send_statement(struct pg_conn *c, const struct pg_query *q)
{
	bool alone = c->running.op == OP_READ && !c->running.in_transaction;

	if (alone && !add_query(c, PART_BEGIN, "BEGIN READ ONLY", NULL))
		return false;
	if (!add_query(c, PART_STATEMENT, operation_sql(c->running.op), q) ||
	    !pg_link_sync(c->link))
		return false;
	if (!alone)
		return true;
	return add_query(c, PART_END, "ROLLBACK", NULL) &&
	       pg_link_sync(c->link);
}

/* Nothing of a session may be left for its next user. */
static bool leaves_free(const struct running *r)
{
	if (r->op == OP_COMMIT || r->op == OP_ROLLBACK)
		return true;
	return r->op != OP_BEGIN && !r->in_transaction;
}

static void send_pipeline(struct pg_conn *c, const struct pg_query *q)
{
	if (!add_query(c, PART_BEFORE, STATE_SQL, NULL) ||
	    !pg_link_sync(c->link) || !send_statement(c, q) ||
	    !add_query(c, PART_AFTER, STATE_SQL, NULL) ||
	    !pg_link_sync(c->link) || !leaves_free(&c->running))
		return;
	if (add_query(c, PART_CLEAR, CLEAR_SQL, NULL))
		pg_link_sync(c->link);
}

static void start(struct pg_conn *c, const struct statement *s,
		  const struct pg_query *q)
{
	memset(&c->running, 0, sizeof(c->running));
	c->running.busy = true;
	c->running.id = s->id;
	c->running.op = s->op;
	/* A broken link says so by its event. */
	if (!pg_link_usable(c->link))
		return;
	c->running.in_transaction = pg_link_in_transaction(c->link);
	c->running.sent = true;
	send_pipeline(c, q);
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
	if (operation_sql(s->op)) {
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
	pg_control_step(d->control, step, database, endpoint);
}

static void pg_forget(struct driver_state *d, hm_id endpoint)
{
	pg_control_forget(d->control, endpoint);
}

const struct driver driver_pg = { "postgresql", pg_open,   pg_shut,  pg_connect,
				  pg_execute,	pg_cancel, pg_reset, pg_close,
				  pg_step,	pg_forget };
