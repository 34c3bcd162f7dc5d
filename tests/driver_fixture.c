/** @file driver_fixture.c Runs the PostgreSQL driver with stand-in members. */
#include "driver_fixture.h"

#include <check.h>
#include <string.h>

#include "../src/names.h"

#define COUNT 3
#define ROWS_LIMIT 5
#define ANSWER_BYTES 2000

struct driver_fixture fixture;

static void on_event(void *owner, const struct event *e)
{
	struct received_event *s = g_new0(struct received_event, 1);
	GBytes *body = NULL;
	struct driver_call *reply = fixture.reply;

	(void)owner;
	s->event = *e;
	if (e->kind == EV_DONE)
		body = bodies_get(fixture.bodies, e->done.body);
	if (body)
		s->body = g_strndup(g_bytes_get_data(body, NULL),
				    g_bytes_get_size(body));
	g_async_queue_push(fixture.events, s);
	if (e->kind == EV_DONE && reply) {
		fixture.reply = NULL;
		reply->run(reply);
	}
}

static void run_call(void *arg)
{
	struct driver_call *c = arg;

	c->run(c);
	g_async_queue_push(fixture.returns, c);
}

void fixture_run_call(struct driver_call *c)
{
	loop_post(fixture.loop, run_call, c);
	g_async_queue_pop(fixture.returns);
}

static void *run_loop(void *unused)
{
	(void)unused;
	loop_run(fixture.loop);
	return NULL;
}

void fixture_run_open(struct driver_call *c)
{
	(void)c;
	fixture.state = driver_pg.open(&fixture.host);
}

void fixture_run_shutdown(struct driver_call *c)
{
	(void)c;
	driver_pg.shutdown(fixture.state);
}

static void fill_spec(void)
{
	struct endpoint_spec *e;
	uint32_t i;

	memset(&fixture.spec, 0, sizeof(fixture.spec));
	g_strlcpy(fixture.spec.name, "rota", NAME_BYTES);
	fixture.spec.database = name_id("rota");
	fixture.spec.endpoint_count = COUNT;
	for (i = 0; i < COUNT; i++) {
		e = &fixture.spec.endpoints[i];
		g_snprintf(e->name, NAME_BYTES, "rota-%u", i);
		g_strlcpy(e->address, "127.0.0.1:0", ADDRESS_BYTES);
		e->endpoint = name_id(e->name);
		e->slots = 2;
		e->connections = 4;
	}
}

void fixture_setup_with(const struct member_options *options)
{
	struct driver_call open = { .run = fixture_run_open };

	fill_spec();
	fixture.members = members_new(&fixture.spec, 1, options);
	ck_assert_ptr_nonnull(fixture.members);
	members_database(fixture.members, 0, &fixture.spec);
	members_start(fixture.members);
	fixture.events = g_async_queue_new();
	fixture.returns = g_async_queue_new();
	fixture.loop = loop_new();
	fixture.bodies = bodies_new();
	fixture.host = (struct driver_host){
		.loop = fixture.loop,
		.bodies = fixture.bodies,
		.sink = { on_event, NULL },
		.incarnation = INCARNATION,
		.connect_limit = CONNECT_LIMIT,
		.control_limit = CONTROL_LIMIT,
		.rows_limit = ROWS_LIMIT,
		.answer_bytes = ANSWER_BYTES,
	};
	fixture.thread = g_thread_new("driver", run_loop, NULL);
	fixture_run_call(&open);
	ck_assert(members_sql(fixture.members,
			      fixture.spec.endpoints[0].endpoint,
			      "CREATE TABLE t (k INTEGER PRIMARY KEY, "
			      "v TEXT)"));
}

void fixture_setup(void)
{
	const struct member_options options = { .lag = 2 * HM_MS,
						.keepalive = 50 * HM_MS };

	fixture_setup_with(&options);
}

void fixture_setup_slow(void)
{
	const struct member_options options = { .lag = 2 * HM_MS,
						.connect_cost = SLOW_CONNECT,
						.statement_cost = 30 * HM_MS };

	fixture_setup_with(&options);
}

void fixture_teardown(void)
{
	struct driver_call shut = { .run = fixture_run_shutdown };
	struct received_event *s;

	fixture_run_call(&shut);
	loop_stop(fixture.loop);
	g_thread_join(fixture.thread);
	members_free(fixture.members);
	bodies_free(fixture.bodies);
	loop_free(fixture.loop);
	while ((s = g_async_queue_try_pop(fixture.events))) {
		g_free(s->body);
		g_free(s);
	}
	g_async_queue_unref(fixture.events);
	g_async_queue_unref(fixture.returns);
	g_free(fixture.last.body);
	fixture.last.body = NULL;
}

const struct event *fixture_next_event(hm_time wait)
{
	struct received_event *s =
		g_async_queue_timeout_pop(fixture.events, (guint64)wait);

	if (!s)
		return NULL;
	g_free(fixture.last.body);
	fixture.last = *s;
	g_free(s);
	return &fixture.last.event;
}

const struct event *fixture_await_event(enum event_kind kind)
{
	const struct event *e = fixture_next_event(EVENT_TIMEOUT);

	ck_assert_msg(e != NULL, "no event arrived, expected kind %d", kind);
	ck_assert_msg(e->kind == kind, "event of kind %d, expected %d", e->kind,
		      kind);
	return e;
}

void fixture_await_both(enum event_kind one, enum event_kind other)
{
	const struct event *e = fixture_next_event(EVENT_TIMEOUT);

	ck_assert(e && (e->kind == one || e->kind == other));
	fixture_await_event(e->kind == one ? other : one);
}

void fixture_no_event(hm_time wait)
{
	struct received_event *s =
		g_async_queue_timeout_pop(fixture.events, (guint64)wait);

	ck_assert_ptr_null(s);
}

static void run_connect(struct driver_call *c)
{
	driver_pg.connect(fixture.state, c->conn, &fixture.spec,
			  &fixture.spec.endpoints[c->member]);
}

void fixture_start_connect(uint64_t conn, uint32_t member)
{
	struct driver_call c = { .run = run_connect,
				 .conn = conn,
				 .member = member };

	fixture_run_call(&c);
}

void fixture_open_conn(uint64_t conn, uint32_t member)
{
	fixture_start_connect(conn, member);
	ck_assert_uint_eq(fixture_await_event(EV_CONNECTED)->conn.conn, conn);
}

void fixture_run_execute(struct driver_call *c)
{
	GBytes *body;

	if (c->json) {
		body = g_bytes_new(c->json, strlen(c->json));
		c->statement.body = bodies_put(fixture.bodies, body,
					       loop_now() + EVENT_TIMEOUT);
		g_bytes_unref(body);
	}
	driver_pg.execute(fixture.state, c->conn, &c->statement);
}

void fixture_start_op(uint64_t conn, enum op op, const char *json)
{
	static uint64_t seq;
	struct driver_call c = { .run = fixture_run_execute,
				 .conn = conn,
				 .json = json };

	c.statement.id.incarnation = INCARNATION;
	c.statement.id.seq = ++seq;
	c.statement.op = op;
	fixture_run_call(&c);
}

const struct event *fixture_run_op(uint64_t conn, enum op op, const char *json)
{
	const struct event *e;

	fixture_start_op(conn, op, json);
	e = fixture_await_event(EV_DONE);
	ck_assert_uint_eq(e->done.conn, conn);
	return e;
}

void fixture_expect(uint64_t conn, enum op op, const char *json,
		    enum completion done)
{
	const struct event *e = fixture_run_op(conn, op, json);

	ck_assert_msg(e->done.done == done, "%s: done %d, body %s",
		      json ? json : "operation", e->done.done,
		      fixture.last.body ? fixture.last.body : "-");
}

void fixture_expect_body(const char *part)
{
	ck_assert_msg(fixture.last.body && strstr(fixture.last.body, part),
		      "body %s does not contain %s",
		      fixture.last.body ? fixture.last.body : "-", part);
}

static void run_conn(struct driver_call *c,
		     void (*f)(struct driver_state *, uint64_t))
{
	f(fixture.state, c->conn);
}

void fixture_run_cancel(struct driver_call *c)
{
	run_conn(c, driver_pg.cancel);
}

void fixture_run_reset(struct driver_call *c)
{
	run_conn(c, driver_pg.reset);
}

void fixture_run_close(struct driver_call *c)
{
	run_conn(c, driver_pg.close);
}

void fixture_on_conn(uint64_t conn, void (*run)(struct driver_call *c))
{
	struct driver_call c = { .run = run, .conn = conn };

	fixture_run_call(&c);
}

static void run_control(struct driver_call *c)
{
	driver_pg.control(fixture.state, &c->step, &fixture.spec,
			  &fixture.spec.endpoints[c->member]);
}

uint64_t fixture_start_control(uint32_t member, struct control step)
{
	static uint64_t seq;
	struct driver_call c = { .run = run_control,
				 .member = member,
				 .step = step };

	c.step.nonce.incarnation = INCARNATION;
	c.step.nonce.seq = ++seq;
	c.step.database = fixture.spec.database;
	c.step.endpoint = fixture.spec.endpoints[member].endpoint;
	fixture_run_call(&c);
	return c.step.nonce.seq;
}

struct endpoint_state fixture_control(uint32_t member, struct control step)
{
	const struct event *e;

	fixture_start_control(member, step);
	e = fixture_await_event(EV_STATE);
	ck_assert_uint_eq(e->state.nonce.incarnation, INCARNATION);
	ck_assert_uint_eq(e->state.state.endpoint,
			  fixture.spec.endpoints[member].endpoint);
	return e->state.state;
}

struct endpoint_state fixture_probe(uint32_t member)
{
	return fixture_control(member, (struct control){ .op = CONTROL_PROBE });
}

void fixture_fault(uint32_t member, struct member_faults f)
{
	members_set_faults(fixture.members,
			   fixture.spec.endpoints[member].endpoint, &f);
}

void fixture_await_pos(uint32_t member, uint64_t pos)
{
	hm_time end = loop_now() + EVENT_TIMEOUT;

	while (fixture_probe(member).at.pos != pos)
		ck_assert(loop_now() < end);
}
