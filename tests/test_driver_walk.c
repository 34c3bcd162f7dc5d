/**
 * @file test_driver_walk.c
 * Random walk of statements under random faults of a member. At the end the
 * table must agree with the outcome that the driver reported for each write.
 * Each statement ends exactly once, and no event follows for a connection that
 * the test closed.
 */
#include <check.h>
#include <libpq-fe.h>
#include <stdlib.h>
#include <string.h>

#include "../core/rng.h"
#include "driver_fixture.h"
#include "suite.h"

#define CONNS 4
#define STEPS 500
#define WALKS 4
#define FAULT_MS 30

/* Expected state of a row, from the reported outcome of its write. */
enum row_state { ROW_PENDING, ROW_PRESENT, ROW_ABSENT, ROW_UNKNOWN };

struct conn {
	uint64_t number; /* connection number, 0: entry is unused */
	bool ready;
	bool busy;
	bool closed; /* EV_CLOSED came while a statement ran */
	bool in_transaction;
	uint64_t key; /* row written, 0 for none */
	enum op op;   /* running operation */
};

struct walk {
	struct rng rng;
	struct conn conns[CONNS];
	GArray *row_states; /* of enum row_state, indexed by key */
	uint64_t numbers;
	hm_time fault_until; /* end of the current fault, 0: none */
	uint32_t counts[DONE_LOST + 1];
};

static uint32_t random_below(struct walk *w, uint32_t below)
{
	return (uint32_t)rng_below(&w->rng, below);
}

static void set_row_state(struct walk *w, uint64_t key, enum row_state state)
{
	if (key)
		g_array_index(w->row_states, enum row_state, key) = state;
}

static struct conn *find_conn(struct walk *w, uint64_t number)
{
	uint32_t i;

	for (i = 0; i < CONNS; i++)
		if (w->conns[i].number == number)
			return &w->conns[i];
	ck_abort_msg("event for unknown connection %u", (uint32_t)number);
	return NULL;
}

/*
 * Sets the state of a row once its write is final: after a write outside of a
 * transaction or at the end of the transaction.
 */
static void update_row(struct walk *w, struct conn *c, enum completion done)
{
	if (c->op == OP_READ || c->op == OP_BEGIN)
		return;
	if (c->op == OP_WRITE && c->in_transaction)
		return;
	if (c->op == OP_ROLLBACK)
		set_row_state(w, c->key, ROW_ABSENT);
	else if (done == DONE_OK)
		set_row_state(w, c->key, ROW_PRESENT);
	else
		set_row_state(w, c->key,
			      done == DONE_LOST ? ROW_UNKNOWN : ROW_ABSENT);
	c->key = 0;
}

/*
 * Frees the entry of a closed connection. The row of an uncommitted
 * transaction must be absent; it is unknown if the commit was running.
 */
static void clear_conn(struct walk *w, struct conn *c)
{
	bool deciding =
		c->op == OP_COMMIT || (c->op == OP_WRITE && !c->in_transaction);

	set_row_state(w, c->key,
		      c->busy && deciding ? ROW_UNKNOWN : ROW_ABSENT);
	memset(c, 0, sizeof(*c));
}

static void on_done(struct walk *w, const struct event *e)
{
	struct conn *c = find_conn(w, e->done.conn);
	enum completion done = e->done.done;

	ck_assert(c->busy);
	c->busy = false;
	w->counts[done]++;
	update_row(w, c, done);
	if (c->closed) {
		ck_assert_int_eq(done, DONE_NOT_SENT);
		clear_conn(w, c);
	} else if (done != DONE_LOST && done != DONE_NOT_SENT) {
		c->in_transaction = e->done.open_tx;
	}
}

static void on_event(struct walk *w, const struct event *e)
{
	struct conn *c;

	if (e->kind == EV_DONE) {
		on_done(w, e);
		return;
	}
	c = find_conn(w, e->conn.conn);
	if (e->kind == EV_CONNECTED) {
		ck_assert(!c->ready);
		c->ready = true;
		return;
	}
	ck_assert_int_eq(e->kind, EV_CLOSED);
	ck_assert(!c->closed);
	ck_assert(e->conn.failed == !c->ready);
	c->ready = false;
	c->closed = c->busy;
	if (!c->busy)
		clear_conn(w, c);
}

static void take_events(struct walk *w, hm_time wait)
{
	const struct event *e;

	while ((e = fixture_next_event(wait)))
		on_event(w, e);
}

static void run(struct conn *c, enum op op, const char *json)
{
	c->op = op;
	c->busy = true;
	fixture_start_op(c->number, op, json);
}

static void step_write(struct walk *w, struct conn *c)
{
	enum row_state state = ROW_PENDING;
	char json[96];

	c->key = w->row_states->len;
	g_array_append_val(w->row_states, state);
	g_snprintf(json, sizeof(json),
		   "{\"sql\":\"INSERT INTO t VALUES (%u, 'a')\"}",
		   (uint32_t)c->key);
	run(c, OP_WRITE, json);
}

static void step_transaction(struct walk *w, struct conn *c)
{
	if (!c->key && random_below(w, 4))
		step_write(w, c);
	else
		run(c, random_below(w, 4) ? OP_COMMIT : OP_ROLLBACK, NULL);
}

static void step_statement(struct walk *w, struct conn *c)
{
	if (c->in_transaction)
		step_transaction(w, c);
	else if (!random_below(w, 4))
		run(c, OP_BEGIN, NULL);
	else if (!random_below(w, 3))
		run(c, OP_READ, "{\"sql\":\"SELECT count(*) FROM t\"}");
	else
		step_write(w, c);
}

static void step_conn(struct walk *w)
{
	struct conn *c = &w->conns[random_below(w, CONNS)];

	if (!c->number) {
		c->number = ++w->numbers;
		fixture_start_connect(c->number, 0);
	} else if (c->ready && !c->busy) {
		step_statement(w, c);
	} else if (c->busy && !random_below(w, 10)) {
		fixture_on_conn(c->number, fixture_run_cancel);
	} else if (!random_below(w, 40)) {
		fixture_on_conn(c->number, fixture_run_close);
		take_events(w, 0);
		if (c->number)
			clear_conn(w, c);
	}
}

static void step_fault(struct walk *w)
{
	struct member_faults f = { 0 };
	hm_time now = loop_now();

	if (w->fault_until && now < w->fault_until)
		return;
	if (!w->fault_until && !random_below(w, 20)) {
		f.paused = !random_below(w, 4);
		f.silent = !random_below(w, 4);
		f.lose_answer = !random_below(w, 3);
		f.cut_all = !random_below(w, 4);
		f.dead = !random_below(w, 5);
		f.answer_delay = random_below(w, 3) * 5 * HM_MS;
		w->fault_until = now + random_below(w, FAULT_MS) * HM_MS;
		fixture_fault(0, f);
	} else if (w->fault_until) {
		w->fault_until = 0;
		fixture_fault(0, f);
	}
}

/*
 * Waits for the running statements, then closes all connections. No event may
 * follow.
 */
static void drain(struct walk *w)
{
	hm_time end = loop_now() + EVENT_TIMEOUT;
	uint32_t i, busy;

	fixture_fault(0, (struct member_faults){ 0 });
	do {
		take_events(w, 5 * HM_MS);
		for (i = 0, busy = 0; i < CONNS; i++)
			busy += w->conns[i].busy;
	} while (busy && loop_now() < end - EVENT_TIMEOUT * 9 / 10);
	for (i = 0; i < CONNS; i++) {
		if (!w->conns[i].number)
			continue;
		fixture_on_conn(w->conns[i].number, fixture_run_close);
		take_events(w, 0);
		if (w->conns[i].number)
			clear_conn(w, &w->conns[i]);
	}
	ck_assert_ptr_null(fixture_next_event(20 * HM_MS));
}

/*
 * Runs one write with a result and one whose result is lost, so that both
 * outcomes occur in every walk.
 */
static void check_known_outcomes(struct walk *w)
{
	struct conn *c = &w->conns[0];

	c->number = ++w->numbers;
	fixture_open_conn(c->number, 0);
	c->ready = true;
	step_write(w, c);
	on_event(w, fixture_await_event(EV_DONE));
	ck_assert_uint_gt(w->counts[DONE_OK], 0);
	fixture_fault(0, (struct member_faults){ .lose_answer = true });
	step_write(w, c);
	on_event(w, fixture_await_event(EV_DONE));
	on_event(w, fixture_await_event(EV_CLOSED));
	ck_assert_uint_gt(w->counts[DONE_LOST], 0);
	fixture_fault(0, (struct member_faults){ 0 });
}

static PGconn *open_plain(void)
{
	const char *address = fixture.spec.endpoints[0].address;
	char info[160];
	PGconn *c;

	g_snprintf(info, sizeof(info),
		   "hostaddr=127.0.0.1 port=%s dbname=rota user=test "
		   "sslmode=disable gssencmode=disable",
		   strrchr(address, ':') + 1);
	c = PQconnectdb(info);
	ck_assert_msg(PQstatus(c) == CONNECTION_OK, "%s", PQerrorMessage(c));
	return c;
}

static void check_table(struct walk *w)
{
	bool *present = g_new0(bool, w->row_states->len);
	PGconn *c = open_plain();
	PGresult *r = PQexec(c, "SELECT k FROM t");
	enum row_state state;
	guint key;
	int i;

	ck_assert_int_eq(PQresultStatus(r), PGRES_TUPLES_OK);
	for (i = 0; i < PQntuples(r); i++)
		present[atoi(PQgetvalue(r, i, 0))] = true;
	for (key = 1; key < w->row_states->len; key++) {
		state = g_array_index(w->row_states, enum row_state, key);
		ck_assert_msg(state != ROW_PENDING,
			      "row %u: no outcome reported", key);
		ck_assert_msg(state != ROW_PRESENT || present[key],
			      "row %u: reported as committed, but absent", key);
		ck_assert_msg(state != ROW_ABSENT || !present[key],
			      "row %u: reported as not committed, but present",
			      key);
	}
	PQclear(r);
	PQfinish(c);
	g_free(present);
}

START_TEST(outcomes_are_true)
{
	struct walk w = { .rng = { (uint64_t)_i + 1 } };
	enum row_state none = ROW_ABSENT;
	uint32_t i;

	w.row_states = g_array_new(false, true, sizeof(enum row_state));
	g_array_append_val(w.row_states, none);
	for (i = 0; i < STEPS; i++) {
		step_fault(&w);
		step_conn(&w);
		take_events(&w, random_below(&w, 3) * HM_MS);
	}
	drain(&w);
	check_known_outcomes(&w);
	check_table(&w);
	g_array_unref(w.row_states);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("walk");

	tcase_add_checked_fixture(tc, fixture_setup, fixture_teardown);
	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, outcomes_are_true, 0, WALKS);
	return suite_run("driver walk", tc);
}
