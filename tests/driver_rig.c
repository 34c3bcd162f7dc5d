/** @file driver_rig.c The driver and its members on their threads. */
#include "driver_rig.h"

#include <check.h>
#include <string.h>

#include "../src/names.h"

#define COUNT 3
#define ROWS_LIMIT 5
#define ANSWER_BYTES 2000

struct rig rig;

static void on_event(void *owner, const struct event *e)
{
	struct seen *s = g_new0(struct seen, 1);
	GBytes *body = NULL;
	struct call *reply = rig.reply;

	(void)owner;
	s->event = *e;
	if (e->kind == EV_DONE)
		body = bodies_get(rig.bodies, e->done.body);
	if (body)
		s->body = g_strndup(g_bytes_get_data(body, NULL),
				    g_bytes_get_size(body));
	g_async_queue_push(rig.events, s);
	if (e->kind == EV_DONE && reply) {
		rig.reply = NULL;
		reply->run(reply);
	}
}

static void run_call(void *arg)
{
	struct call *c = arg;

	c->run(c);
	g_async_queue_push(rig.returns, c);
}

void rig_perform(struct call *c)
{
	loop_post(rig.loop, run_call, c);
	g_async_queue_pop(rig.returns);
}

static void *run_loop(void *unused)
{
	(void)unused;
	loop_run(rig.loop);
	return NULL;
}

void rig_run_open(struct call *c)
{
	(void)c;
	rig.state = driver_pg.open(&rig.host);
}

void rig_run_shut(struct call *c)
{
	(void)c;
	driver_pg.shut(rig.state);
}

static void fill_spec(void)
{
	struct endpoint_spec *e;
	uint32_t i;

	memset(&rig.spec, 0, sizeof(rig.spec));
	g_strlcpy(rig.spec.name, "rota", NAME_BYTES);
	rig.spec.database = name_id("rota");
	rig.spec.endpoint_count = COUNT;
	for (i = 0; i < COUNT; i++) {
		e = &rig.spec.endpoints[i];
		g_snprintf(e->name, NAME_BYTES, "rota-%u", i);
		g_strlcpy(e->address, "127.0.0.1:0", ADDRESS_BYTES);
		e->endpoint = name_id(e->name);
		e->slots = 2;
		e->connections = 4;
	}
}

void rig_setup_with(const struct member_options *options)
{
	struct call open = { .run = rig_run_open };

	fill_spec();
	rig.members = members_new(&rig.spec, 1, options);
	ck_assert_ptr_nonnull(rig.members);
	members_database(rig.members, 0, &rig.spec);
	members_start(rig.members);
	rig.events = g_async_queue_new();
	rig.returns = g_async_queue_new();
	rig.loop = loop_new();
	rig.bodies = bodies_new();
	rig.host = (struct driver_host){
		.loop = rig.loop,
		.bodies = rig.bodies,
		.sink = { on_event, NULL },
		.life = LIFE,
		.connect_limit = CONNECT_LIMIT,
		.control_limit = CONTROL_LIMIT,
		.rows_limit = ROWS_LIMIT,
		.answer_bytes = ANSWER_BYTES,
	};
	rig.thread = g_thread_new("driver", run_loop, NULL);
	rig_perform(&open);
	ck_assert(members_sql(rig.members, rig.spec.endpoints[0].endpoint,
			      "CREATE TABLE t (k INTEGER PRIMARY KEY, "
			      "v TEXT)"));
}

void rig_setup(void)
{
	const struct member_options options = { .lag = 2 * HM_MS,
						.keepalive = 50 * HM_MS };

	rig_setup_with(&options);
}

void rig_setup_slow(void)
{
	const struct member_options options = { .lag = 2 * HM_MS,
						.connect_cost = SLOW_CONNECT,
						.statement_cost = 30 * HM_MS };

	rig_setup_with(&options);
}

void rig_teardown(void)
{
	struct call shut = { .run = rig_run_shut };
	struct seen *s;

	rig_perform(&shut);
	loop_stop(rig.loop);
	g_thread_join(rig.thread);
	members_free(rig.members);
	bodies_free(rig.bodies);
	loop_free(rig.loop);
	while ((s = g_async_queue_try_pop(rig.events))) {
		g_free(s->body);
		g_free(s);
	}
	g_async_queue_unref(rig.events);
	g_async_queue_unref(rig.returns);
	g_free(rig.last.body);
	rig.last.body = NULL;
}

const struct event *rig_next_event(hm_time wait)
{
	struct seen *s = g_async_queue_timeout_pop(rig.events, (guint64)wait);

	if (!s)
		return NULL;
	g_free(rig.last.body);
	rig.last = *s;
	g_free(s);
	return &rig.last.event;
}

const struct event *rig_await_event(enum event_kind kind)
{
	const struct event *e = rig_next_event(PATIENCE);

	ck_assert_msg(e != NULL, "no event came, awaited %d", kind);
	ck_assert_msg(e->kind == kind, "event %d, awaited %d", e->kind, kind);
	return e;
}

void rig_await_both(enum event_kind one, enum event_kind other)
{
	const struct event *e = rig_next_event(PATIENCE);

	ck_assert(e && (e->kind == one || e->kind == other));
	rig_await_event(e->kind == one ? other : one);
}

void rig_no_event(hm_time wait)
{
	struct seen *s = g_async_queue_timeout_pop(rig.events, (guint64)wait);

	ck_assert_ptr_null(s);
}

static void run_connect(struct call *c)
{
	driver_pg.connect(rig.state, c->conn, &rig.spec,
			  &rig.spec.endpoints[c->member]);
}

void rig_start_connect(uint64_t conn, uint32_t member)
{
	struct call c = { .run = run_connect, .conn = conn, .member = member };

	rig_perform(&c);
}

void rig_open_conn(uint64_t conn, uint32_t member)
{
	rig_start_connect(conn, member);
	ck_assert_uint_eq(rig_await_event(EV_CONNECTED)->conn.conn, conn);
}

void rig_run_execute(struct call *c)
{
	GBytes *body;

	if (c->json) {
		body = g_bytes_new(c->json, strlen(c->json));
		c->statement.body =
			bodies_put(rig.bodies, body, loop_now() + PATIENCE);
		g_bytes_unref(body);
	}
	driver_pg.execute(rig.state, c->conn, &c->statement);
}

void rig_start_op(uint64_t conn, enum op op, const char *json)
{
	static uint64_t seq;
	struct call c = { .run = rig_run_execute, .conn = conn, .json = json };

	c.statement.id.incarnation = LIFE;
	c.statement.id.seq = ++seq;
	c.statement.op = op;
	rig_perform(&c);
}

const struct event *rig_run_op(uint64_t conn, enum op op, const char *json)
{
	const struct event *e;

	rig_start_op(conn, op, json);
	e = rig_await_event(EV_DONE);
	ck_assert_uint_eq(e->done.conn, conn);
	return e;
}

void rig_expect(uint64_t conn, enum op op, const char *json,
		enum completion done)
{
	const struct event *e = rig_run_op(conn, op, json);

	ck_assert_msg(e->done.done == done, "%s: done %d, body %s",
		      json ? json : "operation", e->done.done,
		      rig.last.body ? rig.last.body : "-");
}

void rig_expect_body(const char *part)
{
	ck_assert_msg(rig.last.body && strstr(rig.last.body, part),
		      "body %s, not %s", rig.last.body ? rig.last.body : "-",
		      part);
}

static void run_conn(struct call *c, void (*f)(struct driver_state *, uint64_t))
{
	f(rig.state, c->conn);
}

void rig_run_cancel(struct call *c)
{
	run_conn(c, driver_pg.cancel);
}

void rig_run_reset(struct call *c)
{
	run_conn(c, driver_pg.reset);
}

void rig_run_close(struct call *c)
{
	run_conn(c, driver_pg.close);
}

void rig_on_conn(uint64_t conn, void (*run)(struct call *c))
{
	struct call c = { .run = run, .conn = conn };

	rig_perform(&c);
}

static void run_control(struct call *c)
{
	driver_pg.control(rig.state, &c->step, &rig.spec,
			  &rig.spec.endpoints[c->member]);
}

uint64_t rig_start_control(uint32_t member, struct control step)
{
	static uint64_t seq;
	struct call c = { .run = run_control, .member = member, .step = step };

	c.step.nonce.incarnation = LIFE;
	c.step.nonce.seq = ++seq;
	c.step.database = rig.spec.database;
	c.step.endpoint = rig.spec.endpoints[member].endpoint;
	rig_perform(&c);
	return c.step.nonce.seq;
}

struct endpoint_state rig_control(uint32_t member, struct control step)
{
	const struct event *e;

	rig_start_control(member, step);
	e = rig_await_event(EV_STATE);
	ck_assert_uint_eq(e->state.nonce.incarnation, LIFE);
	ck_assert_uint_eq(e->state.state.endpoint,
			  rig.spec.endpoints[member].endpoint);
	return e->state.state;
}

struct endpoint_state rig_probe(uint32_t member)
{
	return rig_control(member, (struct control){ .op = CONTROL_PROBE });
}

void rig_fault(uint32_t member, struct member_faults f)
{
	members_set_faults(rig.members, rig.spec.endpoints[member].endpoint,
			   &f);
}

void rig_await_at(uint32_t member, uint64_t pos)
{
	hm_time end = loop_now() + PATIENCE;

	while (rig_probe(member).at.pos != pos)
		ck_assert(loop_now() < end);
}
