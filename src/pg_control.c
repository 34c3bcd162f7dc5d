/** @file pg_control.c Control commands to endpoints. */
#include "pg_control.h"

#include <string.h>

#include "pg_body.h"
#include "pg_link.h"

/*
 * How often a request is tried at most: a second time, since an idle connection
 * may be broken unnoticed.
 */
#define ATTEMPTS_MAX 2

struct control_request {
	struct control step;
	char sql[160];
	hm_time queued_at;
	hm_time deadline;
	bool sent;
	/* only for a cancel: called when it ended, in place of EV_STATE */
	pg_cancel_ended ended;
	void *arg;
	uint64_t conn;
	uint32_t attempts;
};

/* A connection for control commands, and its requests without a reply. */
struct control_conn {
	struct pg_control *control;
	hm_id endpoint;
	char address[ADDRESS_BYTES];
	char database[NAME_BYTES];
	struct pg_link *link;
	hm_time opened_at; /* when the link started to connect */
	struct timer *timer;
	GQueue requests; /* struct control_request, sent ones first */
	bool was_ready;
	bool one_shot;	/* close after the last reply */
	bool reporting; /* failures are reported now: do not free */
};

struct pg_control {
	const struct driver_host *host;
	char application[64];
	GPtrArray *conns;
};

static void conn_send(struct control_conn *conn);

struct pg_control *pg_control_new(const struct driver_host *host)
{
	struct pg_control *c = g_new0(struct pg_control, 1);

	c->host = host;
	c->conns = g_ptr_array_new();
	g_snprintf(c->application, sizeof(c->application),
		   "hyssopmount/%016" G_GINT64_MODIFIER "x/control",
		   host->incarnation);
	return c;
}

static void conn_free(struct control_conn *conn)
{
	pg_link_free(conn->link);
	timer_free(conn->timer);
	g_queue_clear_full(&conn->requests, g_free);
	g_free(conn);
}

void pg_control_free(struct pg_control *c)
{
	guint i;

	for (i = 0; i < c->conns->len; i++)
		conn_free(c->conns->pdata[i]);
	g_ptr_array_unref(c->conns);
	g_free(c);
}

static void report(struct control_conn *conn, struct control_request *r,
		   const struct endpoint_state *state)
{
	struct event e = { .kind = EV_STATE };

	if (r->ended) {
		r->ended(r->arg, r->conn, state->reachable);
		return;
	}
	e.state.nonce = r->step.nonce;
	e.state.state = *state;
	e.state.state.database = r->step.database;
	e.state.state.endpoint = r->step.endpoint;
	sink_event(&conn->control->host->sink, &e);
}

static void report_unreachable(struct control_conn *conn,
			       struct control_request *r)
{
	struct endpoint_state state = { 0 };

	report(conn, r, &state);
}

/*
 * Frees a connection that was opened for one command, once it has no requests
 * left; returns whether it did.
 */
static bool finish(struct control_conn *conn)
{
	if (!conn->one_shot || conn->requests.length || conn->reporting)
		return false;
	g_ptr_array_remove_fast(conn->control->conns, conn);
	conn_free(conn);
	return true;
}

static void arm(struct control_conn *conn)
{
	const struct control_request *r;
	hm_time at = HM_NEVER;
	GList *l;

	for (l = conn->requests.head; l; l = l->next) {
		r = l->data;
		at = MIN(at, r->deadline);
	}
	timer_set(conn->timer, at);
}

/* Removes and reports requests that timed out or used all attempts. */
static void fail_expired(struct control_conn *conn, hm_time now)
{
	GQueue ended = G_QUEUE_INIT;
	struct control_request *r;
	GList *l, *next;

	for (l = conn->requests.head; l; l = next) {
		next = l->next;
		r = l->data;
		if (r->deadline > now && r->attempts < ATTEMPTS_MAX)
			continue;
		g_queue_delete_link(&conn->requests, l);
		g_queue_push_tail(&ended, r);
	}
	conn->reporting = true;
	while ((r = g_queue_pop_head(&ended))) {
		report_unreachable(conn, r);
		g_free(r);
	}
	conn->reporting = false;
}

static void drop_link(struct control_conn *conn)
{
	struct control_request *r;
	GList *l;

	pg_link_free(conn->link);
	conn->link = NULL;
	conn->was_ready = false;
	for (l = conn->requests.head; l; l = l->next) {
		r = l->data;
		/* A cancel sent twice could hit a later statement. */
		if (r->sent && r->ended)
			r->attempts = ATTEMPTS_MAX;
		r->sent = false;
	}
}

/*
 * Counts one attempt of each request after a connection failed. After a failed
 * connect, only the requests queued since are tried again.
 */
static void count_attempts(struct control_conn *conn)
{
	struct control_request *r;
	GList *l;

	for (l = conn->requests.head; l; l = l->next) {
		r = l->data;
		if (conn->was_ready)
			r->attempts++;
		else if (r->queued_at <= conn->opened_at)
			r->attempts = ATTEMPTS_MAX;
	}
}

static void on_broken(void *arg)
{
	struct control_conn *conn = arg;

	count_attempts(conn);
	drop_link(conn);
	fail_expired(conn, loop_now());
	if (finish(conn))
		return;
	if (conn->requests.length)
		conn_send(conn);
	arm(conn);
}

/*
 * A request timed out: the server does not answer on this connection. Drops the
 * connection, reports the expired requests and sends the others on a new one.
 */
static void on_timer(void *arg)
{
	struct control_conn *conn = arg;

	drop_link(conn);
	fail_expired(conn, loop_now());
	if (finish(conn))
		return;
	if (conn->requests.length)
		conn_send(conn);
	arm(conn);
}

static void on_result(void *arg, uint32_t query, const PGresult *result)
{
	struct control_conn *conn = arg;
	struct control_request *r = g_queue_peek_head(&conn->requests);
	struct endpoint_state state = { 0 };

	(void)query;
	if (!r || !r->sent)
		return;
	if (pg_ends_connection(result))
		return;
	if (!pg_state_parse(result, &state)) {
		state.reachable = true;
		state.refused = true;
	}
	g_queue_pop_head(&conn->requests);
	report(conn, r, &state);
	g_free(r);
}

static void on_idle(void *arg)
{
	struct control_conn *conn = arg;

	if (!finish(conn))
		arm(conn);
}

static void on_ready(void *arg)
{
	struct control_conn *conn = arg;

	conn->was_ready = true;
	conn_send(conn);
}

static const struct pg_link_events link_events = { on_ready, on_result, on_idle,
						   on_broken };

static void conn_open(struct control_conn *conn)
{
	const struct driver_host *host = conn->control->host;
	struct pg_target target = { conn->address, conn->database,
				    conn->control->application };

	conn->opened_at = loop_now();
	conn->link = pg_link_new(host->loop, &target,
				 conn->opened_at + host->control_limit,
				 &link_events, conn);
}

/* Sends all unsent requests; opens the connection if there is none. */
static void conn_send(struct control_conn *conn)
{
	struct control_request *r;
	GList *l;

	if (!conn->link)
		conn_open(conn);
	if (!pg_link_ready(conn->link))
		return;
	for (l = conn->requests.head; l; l = l->next) {
		r = l->data;
		if (r->sent)
			continue;
		if (!pg_link_query(conn->link, r->sql, 0, NULL, false) ||
		    !pg_link_sync(conn->link))
			return;
		r->sent = true;
	}
}

static struct control_conn *conn_new(struct pg_control *c, hm_id endpoint,
				     const char *address, const char *database)
{
	struct control_conn *conn = g_new0(struct control_conn, 1);

	conn->control = c;
	conn->endpoint = endpoint;
	g_strlcpy(conn->address, address, sizeof(conn->address));
	g_strlcpy(conn->database, database, sizeof(conn->database));
	conn->timer = timer_new(c->host->loop, on_timer, conn);
	g_queue_init(&conn->requests);
	g_ptr_array_add(c->conns, conn);
	return conn;
}

static struct control_conn *shared_conn(struct pg_control *c, hm_id endpoint)
{
	struct control_conn *conn;
	guint i;

	for (i = 0; i < c->conns->len; i++) {
		conn = c->conns->pdata[i];
		if (!conn->one_shot && conn->endpoint == endpoint)
			return conn;
	}
	return NULL;
}

/*
 * The persistent connection of an endpoint. It is replaced by a new one when
 * the address of the endpoint has changed.
 */
static struct control_conn *conn_for(struct pg_control *c, const char *database,
				     const struct endpoint_spec *endpoint)
{
	struct control_conn *conn = shared_conn(c, endpoint->endpoint);

	if (conn && !strcmp(conn->address, endpoint->address))
		return conn;
	if (conn)
		pg_control_close(c, endpoint->endpoint);
	return conn_new(c, endpoint->endpoint, endpoint->address, database);
}

static void write_sql(struct control_request *r)
{
	const struct control *s = &r->step;

	switch (s->op) {
	case CONTROL_PROBE:
	case CONTROL_PROBE_NEW_CONN:
		g_snprintf(r->sql, sizeof(r->sql), "SELECT hm_state()");
		break;
	case CONTROL_FENCE:
	case CONTROL_PROMOTE:
		g_snprintf(r->sql, sizeof(r->sql),
			   "SELECT %s(%" G_GUINT64_FORMAT
			   ", '%016" G_GINT64_MODIFIER "x')",
			   s->op == CONTROL_FENCE ? "hm_fence" : "hm_promote",
			   s->term, s->requester);
		break;
	case CONTROL_FOLLOW:
		g_snprintf(r->sql, sizeof(r->sql),
			   "SELECT hm_follow(%" G_GUINT64_FORMAT
			   ", '%016" G_GINT64_MODIFIER
			   "x', '%016" G_GINT64_MODIFIER "x')",
			   s->term, s->requester, s->target);
		break;
	case CONTROL_SET_OWNER:
		g_snprintf(r->sql, sizeof(r->sql),
			   "SELECT hm_home('%016" G_GINT64_MODIFIER
			   "x', '%016" G_GINT64_MODIFIER "x')",
			   s->requester, s->expected);
		break;
	}
}

static void enqueue(struct control_conn *conn, struct control_request *r)
{
	r->queued_at = loop_now();
	r->deadline = r->queued_at + conn->control->host->control_limit;
	g_queue_push_tail(&conn->requests, r);
	arm(conn);
	conn_send(conn);
}

void pg_control_send(struct pg_control *c, const struct control *step,
		     const struct database_spec *database,
		     const struct endpoint_spec *endpoint)
{
	struct control_request *r = g_new0(struct control_request, 1);
	struct control_conn *conn;

	r->step = *step;
	write_sql(r);
	if (step->op == CONTROL_PROBE_NEW_CONN) {
		conn = conn_new(c, endpoint->endpoint, endpoint->address,
				database->name);
		conn->one_shot = true;
	} else {
		conn = conn_for(c, database->name, endpoint);
	}
	enqueue(conn, r);
}

void pg_control_cancel(struct pg_control *c, const struct pg_cancel *cancel,
		       pg_cancel_ended ended, void *arg)
{
	struct control_request *r = g_new0(struct control_request, 1);

	r->ended = ended;
	r->arg = arg;
	r->conn = cancel->conn;
	g_snprintf(r->sql, sizeof(r->sql), "SELECT hm_cancel(%d)", cancel->pid);
	enqueue(conn_for(c, cancel->database, cancel->endpoint), r);
}

void pg_control_close(struct pg_control *c, hm_id endpoint)
{
	struct control_conn *conn = shared_conn(c, endpoint);

	if (!conn)
		return;
	conn->one_shot = true;
	finish(conn);
}
