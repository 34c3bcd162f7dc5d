/** @file pg_control.c Control steps at endpoints. */
#include "pg_control.h"

#include <string.h>

#include "pg_body.h"
#include "pg_link.h"

#define TRIES 2 /* a kept connection may have broken unnoticed */

struct ask {
	struct control step;
	char sql[160];
	hm_time asked_at;
	hm_time deadline;
	bool sent;
	pg_cancel_ended ended; /* of a cancel: in place of EV_STATE */
	void *arg;
	uint64_t conn;
	uint32_t tries;
};

/* One connection for control steps, and the steps that wait for it. */
struct lane {
	struct pg_control *control;
	hm_id endpoint;
	char address[ADDRESS_BYTES];
	char database[NAME_BYTES];
	struct pg_link *link;
	hm_time opened_at; /* when the link began to connect */
	struct timer *timer;
	GQueue asks; /* of struct ask, those sent come first */
	bool was_ready;
	bool single;  /* ends with its step */
	bool telling; /* not to be freed now */
};

struct pg_control {
	const struct driver_host *host;
	char application[64];
	GPtrArray *lanes;
};

static void lane_run(struct lane *lane);

struct pg_control *pg_control_new(const struct driver_host *host)
{
	struct pg_control *c = g_new0(struct pg_control, 1);

	c->host = host;
	c->lanes = g_ptr_array_new();
	g_snprintf(c->application, sizeof(c->application),
		   "hyssopmount/%016" G_GINT64_MODIFIER "x/control",
		   host->incarnation);
	return c;
}

static void lane_free(struct lane *lane)
{
	pg_link_free(lane->link);
	timer_free(lane->timer);
	g_queue_clear_full(&lane->asks, g_free);
	g_free(lane);
}

void pg_control_free(struct pg_control *c)
{
	guint i;

	for (i = 0; i < c->lanes->len; i++)
		lane_free(c->lanes->pdata[i]);
	g_ptr_array_unref(c->lanes);
	g_free(c);
}

static void tell(struct lane *lane, struct ask *a,
		 const struct endpoint_state *state)
{
	struct event e = { .kind = EV_STATE };

	if (a->ended) {
		a->ended(a->arg, a->conn, state->reachable);
		return;
	}
	e.state.nonce = a->step.nonce;
	e.state.state = *state;
	e.state.state.database = a->step.database;
	e.state.state.endpoint = a->step.endpoint;
	sink_event(&lane->control->host->sink, &e);
}

static void tell_unreachable(struct lane *lane, struct ask *a)
{
	struct endpoint_state state = { 0 };

	tell(lane, a, &state);
}

/* Ends a lane for a single step, once it has none. */
static bool finish(struct lane *lane)
{
	if (!lane->single || lane->asks.length || lane->telling)
		return false;
	g_ptr_array_remove_fast(lane->control->lanes, lane);
	lane_free(lane);
	return true;
}

static void arm(struct lane *lane)
{
	const struct ask *a;
	hm_time at = HM_NEVER;
	GList *l;

	for (l = lane->asks.head; l; l = l->next) {
		a = l->data;
		at = MIN(at, a->deadline);
	}
	timer_set(lane->timer, at);
}

/* Takes the steps out that will not be tried again, then tells of them. */
static void give_up(struct lane *lane, hm_time now)
{
	GQueue ended = G_QUEUE_INIT;
	struct ask *a;
	GList *l, *next;

	for (l = lane->asks.head; l; l = next) {
		next = l->next;
		a = l->data;
		if (a->deadline > now && a->tries < TRIES)
			continue;
		g_queue_delete_link(&lane->asks, l);
		g_queue_push_tail(&ended, a);
	}
	lane->telling = true;
	while ((a = g_queue_pop_head(&ended))) {
		tell_unreachable(lane, a);
		g_free(a);
	}
	lane->telling = false;
}

static void drop_link(struct lane *lane)
{
	struct ask *a;
	GList *l;

	pg_link_free(lane->link);
	lane->link = NULL;
	lane->was_ready = false;
	for (l = lane->asks.head; l; l = l->next) {
		a = l->data;
		/* It may still arrive, so a second one could hit too late. */
		if (a->sent && a->ended)
			a->tries = TRIES;
		a->sent = false;
	}
}

/* A step that came while a connection was failing gets one of its own. */
static void count_tries(struct lane *lane)
{
	struct ask *a;
	GList *l;

	for (l = lane->asks.head; l; l = l->next) {
		a = l->data;
		if (lane->was_ready)
			a->tries++;
		else if (a->asked_at <= lane->opened_at)
			a->tries = TRIES;
	}
}

static void on_broken(void *arg)
{
	struct lane *lane = arg;

	count_tries(lane);
	drop_link(lane);
	give_up(lane, loop_now());
	if (finish(lane))
		return;
	if (lane->asks.length)
		lane_run(lane);
	arm(lane);
}

/* A step ran out of time: what it waits for is a connection gone silent. */
static void on_timer(void *arg)
{
	struct lane *lane = arg;

	drop_link(lane);
	give_up(lane, loop_now());
	if (finish(lane))
		return;
	if (lane->asks.length)
		lane_run(lane);
	arm(lane);
}

static void on_result(void *arg, uint32_t query, const PGresult *r)
{
	struct lane *lane = arg;
	struct ask *a = g_queue_peek_head(&lane->asks);
	struct endpoint_state state = { 0 };

	(void)query;
	if (!a || !a->sent)
		return;
	if (pg_ends_connection(r))
		return;
	if (!pg_state_parse(r, &state)) {
		state.reachable = true;
		state.refused = true;
	}
	g_queue_pop_head(&lane->asks);
	tell(lane, a, &state);
	g_free(a);
}

static void on_idle(void *arg)
{
	struct lane *lane = arg;

	if (!finish(lane))
		arm(lane);
}

static void on_ready(void *arg)
{
	struct lane *lane = arg;

	lane->was_ready = true;
	lane_run(lane);
}

static const struct pg_link_events link_events = { on_ready, on_result, on_idle,
						   on_broken };

static void lane_open(struct lane *lane)
{
	const struct driver_host *host = lane->control->host;
	struct pg_target target = { lane->address, lane->database,
				    lane->control->application };

	lane->opened_at = loop_now();
	lane->link = pg_link_new(host->loop, &target,
				 lane->opened_at + host->control_limit,
				 &link_events, lane);
}

/* Sends what waits, over a new connection if need be. */
static void lane_run(struct lane *lane)
{
	struct ask *a;
	GList *l;

	if (!lane->link)
		lane_open(lane);
	if (!pg_link_ready(lane->link))
		return;
	for (l = lane->asks.head; l; l = l->next) {
		a = l->data;
		if (a->sent)
			continue;
		if (!pg_link_query(lane->link, a->sql, 0, NULL, false) ||
		    !pg_link_sync(lane->link))
			return;
		a->sent = true;
	}
}

static struct lane *lane_new(struct pg_control *c, hm_id endpoint,
			     const char *address, const char *database)
{
	struct lane *lane = g_new0(struct lane, 1);

	lane->control = c;
	lane->endpoint = endpoint;
	g_strlcpy(lane->address, address, sizeof(lane->address));
	g_strlcpy(lane->database, database, sizeof(lane->database));
	lane->timer = timer_new(c->host->loop, on_timer, lane);
	g_queue_init(&lane->asks);
	g_ptr_array_add(c->lanes, lane);
	return lane;
}

static struct lane *kept_lane(struct pg_control *c, hm_id endpoint)
{
	struct lane *lane;
	guint i;

	for (i = 0; i < c->lanes->len; i++) {
		lane = c->lanes->pdata[i];
		if (!lane->single && lane->endpoint == endpoint)
			return lane;
	}
	return NULL;
}

/* The kept lane of an endpoint; a changed address makes a new one. */
static struct lane *lane_for(struct pg_control *c, const char *database,
			     const struct endpoint_spec *endpoint)
{
	struct lane *lane = kept_lane(c, endpoint->endpoint);

	if (lane && !strcmp(lane->address, endpoint->address))
		return lane;
	if (lane)
		pg_control_forget(c, endpoint->endpoint);
	return lane_new(c, endpoint->endpoint, endpoint->address, database);
}

static void write_sql(struct ask *a)
{
	const struct control *s = &a->step;

	switch (s->op) {
	case CONTROL_PROBE:
	case CONTROL_PROBE_NEW_CONN:
		g_snprintf(a->sql, sizeof(a->sql), "SELECT hm_state()");
		break;
	case CONTROL_FENCE:
	case CONTROL_PROMOTE:
		g_snprintf(a->sql, sizeof(a->sql),
			   "SELECT %s(%" G_GUINT64_FORMAT
			   ", '%016" G_GINT64_MODIFIER "x')",
			   s->op == CONTROL_FENCE ? "hm_fence" : "hm_promote",
			   s->term, s->requester);
		break;
	case CONTROL_FOLLOW:
		g_snprintf(a->sql, sizeof(a->sql),
			   "SELECT hm_follow(%" G_GUINT64_FORMAT
			   ", '%016" G_GINT64_MODIFIER
			   "x', '%016" G_GINT64_MODIFIER "x')",
			   s->term, s->requester, s->target);
		break;
	case CONTROL_SET_OWNER:
		g_snprintf(a->sql, sizeof(a->sql),
			   "SELECT hm_home('%016" G_GINT64_MODIFIER
			   "x', '%016" G_GINT64_MODIFIER "x')",
			   s->requester, s->expected);
		break;
	}
}

static void enqueue(struct lane *lane, struct ask *a)
{
	a->asked_at = loop_now();
	a->deadline = a->asked_at + lane->control->host->control_limit;
	g_queue_push_tail(&lane->asks, a);
	arm(lane);
	lane_run(lane);
}

void pg_control_send(struct pg_control *c, const struct control *step,
		     const struct database_spec *database,
		     const struct endpoint_spec *endpoint)
{
	struct ask *a = g_new0(struct ask, 1);
	struct lane *lane;

	a->step = *step;
	write_sql(a);
	if (step->op == CONTROL_PROBE_NEW_CONN) {
		lane = lane_new(c, endpoint->endpoint, endpoint->address,
				database->name);
		lane->single = true;
	} else {
		lane = lane_for(c, database->name, endpoint);
	}
	enqueue(lane, a);
}

void pg_control_cancel(struct pg_control *c, const struct pg_cancel *cancel,
		       pg_cancel_ended ended, void *arg)
{
	struct ask *a = g_new0(struct ask, 1);

	a->ended = ended;
	a->arg = arg;
	a->conn = cancel->conn;
	g_snprintf(a->sql, sizeof(a->sql), "SELECT hm_cancel(%d)", cancel->pid);
	enqueue(lane_for(c, cancel->database, cancel->endpoint), a);
}

void pg_control_forget(struct pg_control *c, hm_id endpoint)
{
	struct lane *lane = kept_lane(c, endpoint);

	if (!lane)
		return;
	lane->single = true;
	finish(lane);
}
