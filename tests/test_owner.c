/**
 * @file test_owner.c
 * Statements forwarded to the owner of an endpoint, through the interface of a
 * core: each runs once, however many copies of its message arrive and when.
 */
#include <check.h>
#include <string.h>

#include "../core/core.h"
#include "suite.h"

#define INCARNATION 100
#define PEER 200
#define ENDPOINT 7
#define DATABASE 3
#define ACCOUNT 5
#define TICK CORE_TICK

struct fixture {
	struct core *core;
	struct actions actions;
	hm_time now;
	uint64_t heard; /* sequence number of the core's last message */
	uint64_t conn;	/* last connection requested */
	int executed;
	struct statement running;
	uint64_t running_on;
	uint64_t peer_seq;
};

static struct endpoint_state owned_state(void)
{
	struct endpoint_state s = { .database = DATABASE,
				    .endpoint = ENDPOINT,
				    .reachable = true,
				    .role = ROLE_PRIMARY,
				    .promised = 1,
				    .owner = INCARNATION };

	s.at.term = 1;
	s.lineage.count = 1;
	s.lineage.begin[0].term = 1;
	return s;
}

static void step(struct fixture *r, const struct event *e);

/* Performs an action; control commands and connects succeed at once. */
static void act(struct fixture *r, const struct action *a)
{
	struct event e = { 0 };

	switch (a->kind) {
	case ACT_SEND:
		r->heard = a->send.message.seq;
		break;
	case ACT_CONTROL:
		e.kind = EV_STATE;
		e.state.nonce = a->control.nonce;
		e.state.state = owned_state();
		step(r, &e);
		break;
	case ACT_CONNECT:
		e.kind = EV_CONNECTED;
		e.conn.conn = a->conn.conn;
		step(r, &e);
		break;
	case ACT_EXECUTE:
		r->executed++;
		r->running = a->conn.statement;
		r->running_on = a->conn.conn;
		break;
	default:
		break;
	}
}

static void step(struct fixture *r, const struct event *e)
{
	struct actions own = { 0 };
	size_t i;

	core_step(r->core, e, r->now, &own);
	for (i = 0; i < own.count; i++)
		act(r, &own.list[i]);
	actions_free(&own);
}

static void from_peer(struct fixture *r, struct message *m)
{
	struct event e = { .kind = EV_MESSAGE, .message = m };

	m->from = PEER;
	m->seq = ++r->peer_seq;
	step(r, &e);
}

/* Lets @a span pass while the peer sends heartbeats. */
static void run(struct fixture *r, hm_time span)
{
	struct event tick = { .kind = EV_TICK };
	hm_time until = r->now + span;

	for (; r->now < until; r->now += TICK) {
		struct message m = { .kind = MSG_HEARTBEAT };

		m.heartbeat.instance = 2;
		m.heartbeat.zone =
			1; /* another zone: the core owns the endpoint */
		from_peer(r, &m);
		step(r, &tick);
	}
}

static void open_fixture(struct fixture *r)
{
	struct core_options o;
	struct contract c = { .account = ACCOUNT,
			      .name = "demo",
			      .version = 1,
			      .rate = 1000,
			      .burst = 1000,
			      .weight = 1,
			      .database_count = 1,
			      .key_count = 1 };
	struct database_spec d = { .database = DATABASE,
				   .name = "db1",
				   .version = 1,
				   .endpoint_count = 1 };
	struct event e = { .kind = EV_CONTRACT, .contract = &c };

	memset(r, 0, sizeof(*r));
	core_options_default(&o);
	o.incarnation = INCARNATION;
	o.instance = 1;
	o.zone_count = 2;
	r->now = 100 * HM_SEC;
	r->core = core_new(&o, r->now);
	c.databases[0].database = DATABASE;
	strcpy(c.databases[0].name, "db1");
	c.keys[0].hi = 1;
	step(r, &e);
	d.endpoints[0].endpoint = ENDPOINT;
	d.endpoints[0].slots = 2;
	d.endpoints[0].connections = 16;
	e.kind = EV_DATABASE;
	e.database = &d;
	step(r, &e);
	run(r, 5 * HM_SEC);
}

static void close_fixture(struct fixture *r)
{
	core_free(r->core);
}

static void send_statement(struct fixture *r, uint64_t to_incarnation,
			   uint64_t heard)
{
	struct message m = { .kind = MSG_STATEMENT };
	struct statement *s = &m.statement.statement;

	m.statement.endpoint = ENDPOINT;
	m.statement.term = 1;
	m.statement.to = to_incarnation;
	m.statement.receiver_seq = heard;
	s->id.incarnation = PEER;
	s->id.seq = 1;
	s->op = OP_WRITE;
	s->account = ACCOUNT;
	s->key.hi = 1;
	s->database = DATABASE;
	s->deadline = r->now + 2 * HM_SEC;
	from_peer(r, &m);
	run(r, 5 * TICK);
}

static void finish(struct fixture *r)
{
	struct event e = { .kind = EV_DONE };

	e.done.conn = r->running_on;
	e.done.id = r->running.id;
	e.done.done = DONE_OK;
	e.done.before.term = e.done.after.term = 1;
	e.done.after.pos = 1;
	e.done.lineage = owned_state().lineage;
	step(r, &e);
}

START_TEST(repeated_statement_runs_once)
{
	struct fixture r;

	open_fixture(&r);
	send_statement(&r, INCARNATION, r.heard);
	ck_assert_int_eq(r.executed, 1);
	send_statement(&r, INCARNATION, r.heard);
	finish(&r);
	send_statement(&r, INCARNATION, r.heard);
	ck_assert_int_eq(r.executed, 1);
	close_fixture(&r);
}
END_TEST

START_TEST(late_copy_of_forgotten_statement_is_ignored)
{
	struct fixture r;
	uint64_t heard;

	open_fixture(&r);
	heard = r.heard;
	send_statement(&r, INCARNATION, heard);
	finish(&r);
	run(&r, 60 * HM_SEC);
	send_statement(&r, INCARNATION, heard);
	ck_assert_int_eq(r.executed, 1);
	close_fixture(&r);
}
END_TEST

START_TEST(statement_for_earlier_incarnation_is_ignored)
{
	struct fixture r;

	open_fixture(&r);
	send_statement(&r, INCARNATION - 1, r.heard);
	ck_assert_int_eq(r.executed, 0);
	send_statement(&r, INCARNATION, r.heard);
	ck_assert_int_eq(r.executed, 1);
	close_fixture(&r);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("owner");

	tcase_add_test(tc, repeated_statement_runs_once);
	tcase_add_test(tc, late_copy_of_forgotten_statement_is_ignored);
	tcase_add_test(tc, statement_for_earlier_incarnation_is_ignored);
	return suite_run("owner", tc);
}
