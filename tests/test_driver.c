/**
 * @file test_driver.c
 * The PostgreSQL driver against stand-in members over real sockets. The
 * driver runs on a loop of its own thread, events come back by a queue.
 */
#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "../src/driver.h"
#include "../src/names.h"
#include "../standin/member.h"

#define COUNT 3
#define LIFE 0xaa
#define OTHER_LIFE 0xbb
#define CONTROL_LIMIT (200 * HM_MS)
#define CONNECT_LIMIT (200 * HM_MS)
#define PATIENCE (5 * HM_SEC)
#define SLOW_CONNECT (50 * HM_MS)
#define ROWS_LIMIT 5
#define ANSWER_BYTES 2000

/* An event with the text of its body. */
struct seen {
	struct event event;
	char *body;
};

static struct database_spec spec;
static struct members *members;
static struct loop *loop;
static struct bodies *bodies;
static struct driver_host host;
static struct driver_state *state;
static GThread *thread;
static GAsyncQueue *events;  /* of struct seen */
static GAsyncQueue *returns; /* of calls that were run on the loop */
static struct seen last;     /* what await_event() returned, freed later */

static void on_event(void *owner, const struct event *e)
{
	struct seen *s = g_new0(struct seen, 1);
	GBytes *body = NULL;

	(void)owner;
	s->event = *e;
	if (e->kind == EV_DONE)
		body = bodies_get(bodies, e->done.body);
	if (body)
		s->body = g_strndup(g_bytes_get_data(body, NULL),
				    g_bytes_get_size(body));
	g_async_queue_push(events, s);
}

/* A call on the loop's thread. */
struct call {
	void (*run)(struct call *c);
	uint64_t conn;
	uint32_t member;
	struct statement statement;
	const char *json;
	struct control step;
};

static void run_call(void *arg)
{
	struct call *c = arg;

	c->run(c);
	g_async_queue_push(returns, c);
}

static void perform(struct call *c)
{
	loop_post(loop, run_call, c);
	g_async_queue_pop(returns);
}

static void *run_loop(void *unused)
{
	(void)unused;
	loop_run(loop);
	return NULL;
}

static void run_open(struct call *c)
{
	(void)c;
	state = driver_pg.open(&host);
}

static void run_shut(struct call *c)
{
	(void)c;
	driver_pg.shut(state);
}

static void fill_spec(void)
{
	struct endpoint_spec *e;
	uint32_t i;

	memset(&spec, 0, sizeof(spec));
	g_strlcpy(spec.name, "rota", NAME_BYTES);
	spec.database = name_id("rota");
	spec.endpoint_count = COUNT;
	for (i = 0; i < COUNT; i++) {
		e = &spec.endpoints[i];
		g_snprintf(e->name, NAME_BYTES, "rota-%u", i);
		g_strlcpy(e->address, "127.0.0.1:0", ADDRESS_BYTES);
		e->endpoint = name_id(e->name);
		e->slots = 2;
		e->connections = 4;
	}
}

static void setup_with(const struct member_options *options)
{
	struct call open = { .run = run_open };

	fill_spec();
	members = members_new(&spec, 1, options);
	ck_assert_ptr_nonnull(members);
	members_database(members, 0, &spec);
	members_start(members);
	events = g_async_queue_new();
	returns = g_async_queue_new();
	loop = loop_new();
	bodies = bodies_new();
	host = (struct driver_host){
		.loop = loop,
		.bodies = bodies,
		.sink = { on_event, NULL },
		.life = LIFE,
		.connect_limit = CONNECT_LIMIT,
		.control_limit = CONTROL_LIMIT,
		.rows_limit = ROWS_LIMIT,
		.answer_bytes = ANSWER_BYTES,
	};
	thread = g_thread_new("driver", run_loop, NULL);
	perform(&open);
	ck_assert(members_sql(members, spec.endpoints[0].endpoint,
			      "CREATE TABLE t (k INTEGER PRIMARY KEY, "
			      "v TEXT)"));
}

static void setup(void)
{
	const struct member_options options = { .lag = 2 * HM_MS };

	setup_with(&options);
}

static void setup_slow(void)
{
	const struct member_options options = { .lag = 2 * HM_MS,
						.connect_cost = SLOW_CONNECT,
						.statement_cost = 30 * HM_MS };

	setup_with(&options);
}

static void teardown(void)
{
	struct call shut = { .run = run_shut };
	struct seen *s;

	perform(&shut);
	loop_stop(loop);
	g_thread_join(thread);
	members_free(members);
	bodies_free(bodies);
	loop_free(loop);
	while ((s = g_async_queue_try_pop(events))) {
		g_free(s->body);
		g_free(s);
	}
	g_async_queue_unref(events);
	g_async_queue_unref(returns);
	g_free(last.body);
	last.body = NULL;
}

/* The next event, which must be of this kind. */
static const struct event *await_event(enum event_kind kind)
{
	struct seen *s = g_async_queue_timeout_pop(events, (guint64)PATIENCE);

	ck_assert_msg(s != NULL, "no event came, awaited %d", kind);
	g_free(last.body);
	last = *s;
	g_free(s);
	ck_assert_msg(last.event.kind == kind, "event %d, awaited %d",
		      last.event.kind, kind);
	return &last.event;
}

/* Two events in either order. */
static void await_both(enum event_kind one, enum event_kind other)
{
	struct seen *s = g_async_queue_timeout_pop(events, (guint64)PATIENCE);

	ck_assert_ptr_nonnull(s);
	await_event(s->event.kind == one ? other : one);
	ck_assert(s->event.kind == one || s->event.kind == other);
	g_free(s->body);
	g_free(s);
}

static void no_event(hm_time wait)
{
	struct seen *s = g_async_queue_timeout_pop(events, (guint64)wait);

	ck_assert_ptr_null(s);
}

static void run_connect(struct call *c)
{
	driver_pg.connect(state, c->conn, &spec, &spec.endpoints[c->member]);
}

static void start_connect(uint64_t conn, uint32_t member)
{
	struct call c = { .run = run_connect, .conn = conn, .member = member };

	perform(&c);
}

static void open_conn(uint64_t conn, uint32_t member)
{
	start_connect(conn, member);
	ck_assert_uint_eq(await_event(EV_CONNECTED)->conn.conn, conn);
}

static void run_execute(struct call *c)
{
	GBytes *body;

	if (c->json) {
		body = g_bytes_new(c->json, strlen(c->json));
		c->statement.body =
			bodies_put(bodies, body, loop_now() + PATIENCE);
		g_bytes_unref(body);
	}
	driver_pg.execute(state, c->conn, &c->statement);
}

static void start_op(uint64_t conn, enum op op, const char *json)
{
	static uint64_t seq;
	struct call c = { .run = run_execute, .conn = conn, .json = json };

	c.statement.id.life = LIFE;
	c.statement.id.seq = ++seq;
	c.statement.op = op;
	perform(&c);
}

/* Runs a statement to its end. */
static const struct event *run_op(uint64_t conn, enum op op, const char *json)
{
	const struct event *e;

	start_op(conn, op, json);
	e = await_event(EV_DONE);
	ck_assert_uint_eq(e->done.conn, conn);
	return e;
}

static void expect(uint64_t conn, enum op op, const char *json, enum done done)
{
	const struct event *e = run_op(conn, op, json);

	ck_assert_msg(e->done.done == done, "%s: done %d, body %s",
		      json ? json : "operation", e->done.done,
		      last.body ? last.body : "-");
}

static void expect_body(const char *part)
{
	ck_assert_msg(last.body && strstr(last.body, part), "body %s, not %s",
		      last.body ? last.body : "-", part);
}

static void run_conn(struct call *c, void (*f)(struct driver_state *, uint64_t))
{
	f(state, c->conn);
}

static void run_cancel(struct call *c)
{
	run_conn(c, driver_pg.cancel);
}

static void run_reset(struct call *c)
{
	run_conn(c, driver_pg.reset);
}

static void run_close(struct call *c)
{
	run_conn(c, driver_pg.close);
}

static void on_conn(uint64_t conn, void (*run)(struct call *c))
{
	struct call c = { .run = run, .conn = conn };

	perform(&c);
}

static void run_control(struct call *c)
{
	driver_pg.control(state, &c->step, &spec, &spec.endpoints[c->member]);
}

static void start_control(uint32_t member, struct control step)
{
	static uint64_t seq;
	struct call c = { .run = run_control, .member = member, .step = step };

	c.step.nonce.life = LIFE;
	c.step.nonce.seq = ++seq;
	c.step.database = spec.database;
	c.step.endpoint = spec.endpoints[member].endpoint;
	perform(&c);
}

static struct endpoint_state control(uint32_t member, struct control step)
{
	const struct event *e;

	start_control(member, step);
	e = await_event(EV_STATE);
	ck_assert_uint_eq(e->state.nonce.life, LIFE);
	ck_assert_uint_eq(e->state.state.endpoint,
			  spec.endpoints[member].endpoint);
	return e->state.state;
}

static struct endpoint_state probe(uint32_t member)
{
	return control(member, (struct control){ .op = CONTROL_PROBE });
}

static void fault(uint32_t member, struct member_faults f)
{
	members_fault(members, spec.endpoints[member].endpoint, &f);
}

static void await_at(uint32_t member, uint64_t pos)
{
	hm_time end = loop_now() + PATIENCE;

	while (probe(member).at.pos != pos)
		ck_assert(loop_now() < end);
}

START_TEST(round_trip)
{
	const struct event *e;

	open_conn(1, 0);
	e = run_op(1, OP_WRITE,
		   "{\"sql\": \"INSERT INTO t VALUES ($1, $2)\", "
		   "\"params\": [7, \"a 'b' \\u00e4\"]}");
	ck_assert_int_eq(e->done.done, DONE_OK);
	ck_assert_uint_eq(e->done.before.pos, 1);
	ck_assert_uint_eq(e->done.after.pos, 2);
	ck_assert_uint_eq(e->done.after.term, 1);
	ck_assert_uint_eq(e->done.lineage.count, 1);
	ck_assert(!e->done.open_tx);
	expect_body("\"affected\":1");
	expect(1, OP_READ,
	       "{\"sql\": \"SELECT k, v, $1 AS n, 1.5 AS r FROM t\", "
	       "\"params\": [null]}",
	       DONE_OK);
	expect_body("\"columns\":[\"k\",\"v\",\"n\",\"r\"]");
	expect_body("\"rows\":[[7,\"a 'b' \xc3\xa4\",null,1.5]]");
}
END_TEST

START_TEST(errors_are_rejected)
{
	open_conn(1, 0);
	expect(1, OP_READ, "{\"sql\": \"SELECT x FROM t\"}", DONE_REJECTED);
	expect_body("\"sqlstate\":\"42703\"");
	ck_assert(!last.event.done.open_tx);
	expect(1, OP_WRITE, "{\"sql\": 7}", DONE_REJECTED);
	expect(1, OP_READ, "{\"sql\": \"DELETE FROM t\"}", DONE_REJECTED);
	expect_body("\"sqlstate\":\"25006\"");
	expect(1, OP_READ, "{\"sql\": \"SELECT 1 AS one\"}", DONE_OK);
	expect(9, OP_READ, "{\"sql\": \"SELECT 1\"}", DONE_NOT_SENT);
}
END_TEST

/* What would change the connection for its next user stays unsent. */
START_TEST(transaction_control_by_text_is_refused)
{
	static const char *const texts[] = {
		"{\"sql\": \"COMMIT\"}",
		"{\"sql\": \" -- x\\n /* a /* b */ */ rollback\"}",
		"{\"sql\": \"SET ROLE other\"}",
		"{\"sql\": \"SAVEPOINT s\"}",
		"{\"sql\": \";; Begin\"}",
		"{\"sql\": \"\"}",
	};
	size_t i;

	open_conn(1, 0);
	expect(1, OP_BEGIN, NULL, DONE_OK);
	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		expect(1, OP_WRITE, texts[i], DONE_REJECTED);
		expect_body("\"sqlstate\":\"0A000\"");
		ck_assert(last.event.done.open_tx);
	}
	expect(1, OP_ROLLBACK, NULL, DONE_OK);
	ck_assert(!last.event.done.open_tx);
}
END_TEST

START_TEST(transactions)
{
	open_conn(1, 0);
	expect(1, OP_BEGIN, NULL, DONE_OK);
	ck_assert(last.event.done.open_tx);
	expect(1, OP_WRITE, "{\"sql\": \"INSERT INTO t VALUES (1, 'a')\"}",
	       DONE_OK);
	expect(1, OP_READ, "{\"sql\": \"SELECT v FROM t\"}", DONE_OK);
	expect_body("[\"a\"]");
	ck_assert_uint_eq(last.event.done.after.pos, 1);
	expect(1, OP_COMMIT, NULL, DONE_OK);
	ck_assert_uint_eq(last.event.done.after.pos, 2);
	ck_assert(!last.event.done.open_tx);
}
END_TEST

/* A failed transaction must not look committed. */
START_TEST(commit_of_a_failed_transaction)
{
	open_conn(1, 0);
	expect(1, OP_BEGIN, NULL, DONE_OK);
	expect(1, OP_WRITE, "{\"sql\": \"INSERT INTO t VALUES (1, 'a')\"}",
	       DONE_OK);
	expect(1, OP_WRITE, "{\"sql\": \"INSERT INTO t VALUES (1, 'a')\"}",
	       DONE_REJECTED);
	ck_assert(last.event.done.open_tx);
	expect(1, OP_COMMIT, NULL, DONE_REJECTED);
	ck_assert(!last.event.done.open_tx);
	expect(1, OP_READ, "{\"sql\": \"SELECT count(*) FROM t\"}", DONE_OK);
	expect_body("[[0]]");
}
END_TEST

/* The error comes at the end of a group, after the rows. */
START_TEST(failed_commit_is_rejected)
{
	ck_assert(members_sql(members, spec.endpoints[0].endpoint,
			      "CREATE TABLE c (k INTEGER REFERENCES t (k) "
			      "DEFERRABLE INITIALLY DEFERRED)"));
	open_conn(1, 0);
	expect(1, OP_WRITE, "{\"sql\": \"INSERT INTO c VALUES (9)\"}",
	       DONE_REJECTED);
	expect_body("23503");
	expect(1, OP_BEGIN, NULL, DONE_OK);
	expect(1, OP_WRITE, "{\"sql\": \"INSERT INTO c VALUES (9)\"}", DONE_OK);
	expect(1, OP_COMMIT, NULL, DONE_REJECTED);
	expect_body("23503");
	ck_assert(!last.event.done.open_tx);
	expect(1, OP_READ, "{\"sql\": \"SELECT count(*) FROM c\"}", DONE_OK);
	expect_body("[[0]]");
}
END_TEST

START_TEST(fenced_commit_is_refused)
{
	open_conn(1, 0);
	expect(1, OP_BEGIN, NULL, DONE_OK);
	expect(1, OP_WRITE, "{\"sql\": \"INSERT INTO t VALUES (1, 'a')\"}",
	       DONE_OK);
	control(0, (struct control){
			   .op = CONTROL_FENCE, .term = 2, .orderer = LIFE });
	expect(1, OP_COMMIT, NULL, DONE_REFUSED);
	expect(1, OP_WRITE, "{\"sql\": \"INSERT INTO t VALUES (1, 'a')\"}",
	       DONE_REFUSED);
	expect_body("\"sqlstate\":\"25006\"");
}
END_TEST

START_TEST(reset_clears_the_connection)
{
	open_conn(1, 0);
	expect(1, OP_BEGIN, NULL, DONE_OK);
	expect(1, OP_WRITE, "{\"sql\": \"INSERT INTO t VALUES (1, 'a')\"}",
	       DONE_OK);
	on_conn(1, run_reset);
	await_event(EV_DONE);
	ck_assert_uint_eq(last.event.done.id.seq, 0);
	ck_assert_int_eq(last.event.done.done, DONE_OK);
	ck_assert(!last.event.done.open_tx);
	expect(1, OP_READ, "{\"sql\": \"SELECT count(*) FROM t\"}", DONE_OK);
	expect_body("[[0]]");
}
END_TEST

START_TEST(cancel_ends_a_wait)
{
	open_conn(1, 0);
	open_conn(2, 0);
	expect(1, OP_BEGIN, NULL, DONE_OK);
	expect(1, OP_WRITE, "{\"sql\": \"INSERT INTO t VALUES (1, 'a')\"}",
	       DONE_OK);
	start_op(2, OP_WRITE, "{\"sql\": \"INSERT INTO t VALUES (2, 'b')\"}");
	no_event(20 * HM_MS);
	on_conn(2, run_cancel);
	await_event(EV_DONE);
	ck_assert_uint_eq(last.event.done.conn, 2);
	ck_assert_int_eq(last.event.done.done, DONE_REJECTED);
	expect_body("57014");
	expect(1, OP_COMMIT, NULL, DONE_OK);
}
END_TEST

/* A cancel that comes after its statement must not hit the next one. */
START_TEST(late_cancel_hits_nothing)
{
	hm_time start;

	open_conn(1, 0);
	start = loop_now();
	start_op(1, OP_READ, "{\"sql\": \"SELECT 1\"}");
	on_conn(1, run_cancel);
	await_event(EV_DONE);
	ck_assert_int_eq(last.event.done.done, DONE_OK);
	ck_assert_int_ge(loop_now() - start, SLOW_CONNECT);
	expect(1, OP_READ, "{\"sql\": \"SELECT 2\"}", DONE_OK);
	expect_body("[[2]]");
}
END_TEST

/* Nobody knows when that cancel arrives: the connection is given up. */
START_TEST(unanswered_cancel_ends_the_connection)
{
	open_conn(1, 0);
	ck_assert(probe(0).reachable);
	fault(0, (struct member_faults){ .silent = true });
	open_conn(2, 0);
	start_op(2, OP_READ, "{\"sql\": \"SELECT 1\"}");
	on_conn(2, run_cancel);
	await_event(EV_DONE);
	ck_assert_int_eq(last.event.done.done, DONE_OK);
	ck_assert_uint_eq(await_event(EV_CLOSED)->conn.conn, 2);
}
END_TEST

START_TEST(closed_connections_say_nothing)
{
	open_conn(1, 0);
	fault(0, (struct member_faults){ .paused = true });
	start_op(1, OP_READ, "{\"sql\": \"SELECT 1\"}");
	on_conn(1, run_close);
	start_connect(2, 0);
	on_conn(2, run_close);
	fault(0, (struct member_faults){ 0 });
	no_event(60 * HM_MS);
}
END_TEST

START_TEST(answers_are_limited)
{
	open_conn(1, 0);
	expect(1, OP_WRITE,
	       "{\"sql\": \"INSERT INTO t WITH RECURSIVE n(i) AS (SELECT 1 "
	       "UNION ALL SELECT i + 1 FROM n WHERE i < 6) "
	       "SELECT i, 'x' FROM n\"}",
	       DONE_OK);
	expect(1, OP_READ, "{\"sql\": \"SELECT k FROM t\"}", DONE_REJECTED);
	expect_body("was run");
	expect(1, OP_READ, "{\"sql\": \"SELECT hex(zeroblob(2000))\"}",
	       DONE_REJECTED);
	expect(1, OP_READ, "{\"sql\": \"SELECT k FROM t LIMIT 5\"}", DONE_OK);
}
END_TEST

static void expect_values(const char *json, const char *rows)
{
	expect(1, OP_READ, json, DONE_OK);
	expect_body(rows);
}

START_TEST(values_keep_their_kind)
{
	open_conn(1, 0);
	expect_values("{\"sql\": \"SELECT '007', 1e300, -3, 0.25, '1e', ''\"}",
		      "[[\"007\",1.0e+300,-3,0.25,\"1e\",\"\"]]");
	expect_values("{\"sql\": \"SELECT 1 AS v UNION ALL SELECT '007'\"}",
		      "[[1],[\"007\"]]");
	expect_values("{\"sql\": \"SELECT $1 AS v\", "
		      "\"params\": [\"tab\\t \\\"quoted\\\" \\\\\"]}",
		      "[[\"tab\\u0009 \\\"quoted\\\" \\\\\"]]");
	expect_values("{\"sql\": \"SELECT $1, $2, $3, $4\", "
		      "\"params\": [true, 2.5, [1, 2], \"5\"]}",
		      "[[1,2.5,\"[1,2]\",5]]");
	expect_values("{\"sql\": \"SELECT k FROM t\"}",
		      "{\"columns\":[\"k\"],\"rows\":[],\"affected\":0}");
}
END_TEST

START_TEST(lost_answer_is_lost)
{
	open_conn(1, 0);
	fault(0, (struct member_faults){ .lose_answer = true });
	expect(1, OP_WRITE, "{\"sql\": \"INSERT INTO t VALUES (1, 'a')\"}",
	       DONE_LOST);
	ck_assert(!await_event(EV_CLOSED)->conn.failed);
	fault(0, (struct member_faults){ 0 });
	open_conn(2, 0);
	expect(2, OP_READ, "{\"sql\": \"SELECT v FROM t\"}", DONE_OK);
	expect_body("[\"a\"]");
}
END_TEST

START_TEST(broken_connection_is_not_sent)
{
	hm_time end = loop_now() + PATIENCE;

	open_conn(1, 0);
	fault(0, (struct member_faults){ .cut_all = true });
	ck_assert(!await_event(EV_CLOSED)->conn.failed);
	expect(1, OP_READ, "{\"sql\": \"SELECT 1\"}", DONE_NOT_SENT);
	start_connect(2, 0);
	ck_assert(await_event(EV_CLOSED)->conn.failed);
	ck_assert(loop_now() < end);
}
END_TEST

START_TEST(refused_connections_fail)
{
	uint64_t i;

	for (i = 1; i <= 4; i++)
		open_conn(i, 0);
	start_connect(5, 0);
	ck_assert(await_event(EV_CLOSED)->conn.failed);
}
END_TEST

START_TEST(connect_has_a_deadline)
{
	hm_time start = loop_now();

	fault(0, (struct member_faults){ .paused = true });
	start_connect(1, 0);
	ck_assert(await_event(EV_CLOSED)->conn.failed);
	ck_assert_int_ge(loop_now() - start, CONNECT_LIMIT);
}
END_TEST

START_TEST(control_steps)
{
	struct endpoint_state s = probe(0);

	ck_assert(s.reachable && !s.refused);
	ck_assert_int_eq(s.role, ROLE_PRIMARY);
	ck_assert_uint_eq(s.at.pos, 1);
	await_at(1, 1);
	await_at(2, 1);
	s = control(1, (struct control){ .op = CONTROL_PROMOTE,
					 .term = 2,
					 .orderer = LIFE });
	ck_assert(s.reachable && s.refused);
	control(1, (struct control){
			   .op = CONTROL_FENCE, .term = 2, .orderer = LIFE });
	s = control(2, (struct control){ .op = CONTROL_FENCE,
					 .term = 2,
					 .orderer = LIFE });
	ck_assert(!s.refused);
	ck_assert_uint_eq(s.promised, 2);
	ck_assert_uint_eq(s.promised_by, LIFE);
	s = control(1, (struct control){ .op = CONTROL_PROMOTE,
					 .term = 2,
					 .orderer = LIFE });
	ck_assert(!s.refused);
	ck_assert_int_eq(s.role, ROLE_PRIMARY);
	ck_assert_uint_eq(s.at.term, 2);
	s = control(0,
		    (struct control){ .op = CONTROL_FOLLOW,
				      .term = 2,
				      .orderer = LIFE,
				      .target = spec.endpoints[1].endpoint });
	ck_assert(!s.refused);
	ck_assert_int_eq(s.role, ROLE_REPLICA);
	await_at(0, 2);
}
END_TEST

START_TEST(home_ends_other_connections)
{
	struct call open = { .run = run_open }, shut = { .run = run_shut };
	struct driver_state *first = state;

	control(0, (struct control){ .op = CONTROL_HOME, .orderer = LIFE });
	ck_assert_uint_eq(last.event.state.state.home, LIFE);
	open_conn(1, 0);
	host.life = OTHER_LIFE;
	perform(&open);
	control(0,
		(struct control){ .op = CONTROL_HOME, .orderer = OTHER_LIFE });
	ck_assert(last.event.state.state.refused);
	start_control(0, (struct control){ .op = CONTROL_HOME,
					   .orderer = OTHER_LIFE,
					   .expected = LIFE });
	await_both(EV_STATE, EV_CLOSED);
	perform(&shut);
	state = first;
	ck_assert_uint_eq(probe(0).home, OTHER_LIFE);
	start_connect(2, 0);
	ck_assert(await_event(EV_CLOSED)->conn.failed);
}
END_TEST

static struct control fresh(void)
{
	return (struct control){ .op = CONTROL_FRESH };
}

/* Silence is noticed in time, and a new connection is used next. */
START_TEST(silent_control_connection)
{
	hm_time start;

	ck_assert(probe(0).reachable);
	fault(0, (struct member_faults){ .silent = true });
	ck_assert(control(0, fresh()).reachable);
	start = loop_now();
	ck_assert(!probe(0).reachable);
	ck_assert_int_ge(loop_now() - start, CONTROL_LIMIT);
	ck_assert(probe(0).reachable);
}
END_TEST

/* A connection that broke between two steps is opened again at once. */
START_TEST(broken_control_connection)
{
	ck_assert(probe(0).reachable);
	fault(0, (struct member_faults){ .cut_all = true });
	ck_assert(!probe(0).reachable);
	ck_assert(!control(0, fresh()).reachable);
	fault(0, (struct member_faults){ 0 });
	ck_assert(probe(0).reachable);
	ck_assert(control(0, fresh()).reachable);
}
END_TEST

START_TEST(paused_member_is_unreachable)
{
	hm_time start = loop_now();

	fault(0, (struct member_faults){ .paused = true });
	ck_assert(!control(0, fresh()).reachable);
	ck_assert(!probe(0).reachable);
	ck_assert_int_lt(loop_now() - start, 20 * CONTROL_LIMIT);
	fault(0, (struct member_faults){ 0 });
	ck_assert(probe(0).reachable);
}
END_TEST

START_TEST(late_answers_arrive)
{
	open_conn(1, 0);
	fault(0, (struct member_faults){ .late = 50 * HM_MS });
	expect(1, OP_READ, "{\"sql\": \"SELECT 1\"}", DONE_OK);
	ck_assert(probe(0).reachable);
}
END_TEST

START_TEST(slow_statements_run_side_by_side)
{
	open_conn(1, 0);
	open_conn(2, 0);
	start_op(1, OP_READ, "{\"sql\": \"SELECT 'one'\"}");
	start_op(2, OP_READ, "{\"sql\": \"SELECT 'two'\"}");
	await_event(EV_DONE);
	expect_body(last.event.done.conn == 1 ? "one" : "two");
	await_event(EV_DONE);
	expect_body(last.event.done.conn == 1 ? "one" : "two");
}
END_TEST

static TCase *tcase_driver(const char *name, SFun begin)
{
	TCase *tc = tcase_create(name);

	tcase_add_checked_fixture(tc, begin, teardown);
	tcase_set_timeout(tc, 30);
	return tc;
}

static void add_statements(Suite *suite)
{
	TCase *tc = tcase_driver("statements", setup);

	tcase_add_test(tc, round_trip);
	tcase_add_test(tc, errors_are_rejected);
	tcase_add_test(tc, transaction_control_by_text_is_refused);
	tcase_add_test(tc, transactions);
	tcase_add_test(tc, commit_of_a_failed_transaction);
	tcase_add_test(tc, failed_commit_is_rejected);
	tcase_add_test(tc, fenced_commit_is_refused);
	tcase_add_test(tc, reset_clears_the_connection);
	tcase_add_test(tc, cancel_ends_a_wait);
	tcase_add_test(tc, closed_connections_say_nothing);
	tcase_add_test(tc, answers_are_limited);
	tcase_add_test(tc, values_keep_their_kind);
	tcase_add_test(tc, lost_answer_is_lost);
	tcase_add_test(tc, late_answers_arrive);
	suite_add_tcase(suite, tc);
	tc = tcase_driver("slow", setup_slow);
	tcase_add_test(tc, slow_statements_run_side_by_side);
	tcase_add_test(tc, late_cancel_hits_nothing);
	tcase_add_test(tc, unanswered_cancel_ends_the_connection);
	suite_add_tcase(suite, tc);
}

static void add_connections(Suite *suite)
{
	TCase *tc = tcase_driver("connections", setup);

	tcase_add_test(tc, broken_connection_is_not_sent);
	tcase_add_test(tc, refused_connections_fail);
	tcase_add_test(tc, connect_has_a_deadline);
	suite_add_tcase(suite, tc);
}

static void add_control(Suite *suite)
{
	TCase *tc = tcase_driver("control", setup);

	tcase_add_test(tc, control_steps);
	tcase_add_test(tc, home_ends_other_connections);
	tcase_add_test(tc, silent_control_connection);
	tcase_add_test(tc, broken_control_connection);
	tcase_add_test(tc, paused_member_is_unreachable);
	suite_add_tcase(suite, tc);
}

int main(void)
{
	Suite *suite = suite_create("driver");
	SRunner *runner;
	int failed;

	add_statements(suite);
	add_connections(suite);
	add_control(suite);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
