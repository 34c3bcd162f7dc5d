/**
 * @file test_driver_walk.c
 * Random statements under random faults of a member. What the driver said of
 * each write must be true of the table in the end, each statement ends once,
 * and nothing is heard of a closed connection.
 */
#include <check.h>
#include <libpq-fe.h>
#include <stdlib.h>
#include <string.h>

#include "../core/rng.h"
#include "driver_rig.h"
#include "suite.h"

#define CONNS 4
#define STEPS 500
#define WALKS 4
#define FAULT_MS 30

/* What is known of the row of a write. */
enum fate { FATE_OPEN, FATE_PRESENT, FATE_ABSENT, FATE_UNKNOWN };

struct conn {
	uint64_t number; /* 0: not open */
	bool ready;
	bool busy;
	bool closed; /* its last statement crossed the end */
	bool in_transaction;
	uint64_t key; /* row written, 0 for none */
	enum op op;   /* of what runs */
};

struct walk {
	struct rng rng;
	struct conn conns[CONNS];
	GArray *fates; /* enum fate of each key */
	uint64_t numbers;
	hm_time calm_at; /* end of the fault at hand */
	uint32_t counts[DONE_LOST + 1];
};

static uint32_t any(struct walk *w, uint32_t below)
{
	return (uint32_t)rng_below(&w->rng, below);
}

static void set_fate(struct walk *w, uint64_t key, enum fate fate)
{
	if (key)
		g_array_index(w->fates, enum fate, key) = fate;
}

static struct conn *find_conn(struct walk *w, uint64_t number)
{
	uint32_t i;

	for (i = 0; i < CONNS; i++)
		if (w->conns[i].number == number)
			return &w->conns[i];
	ck_abort_msg("event of connection %u", (uint32_t)number);
	return NULL;
}

/* A write alone, or the end of a transaction, decides about the row. */
static void judge(struct walk *w, struct conn *c, enum completion done)
{
	if (c->op == OP_READ || c->op == OP_BEGIN)
		return;
	if (c->op == OP_WRITE && c->in_transaction)
		return;
	if (c->op == OP_ROLLBACK)
		set_fate(w, c->key, FATE_ABSENT);
	else if (done == DONE_OK)
		set_fate(w, c->key, FATE_PRESENT);
	else
		set_fate(w, c->key,
			 done == DONE_LOST ? FATE_UNKNOWN : FATE_ABSENT);
	c->key = 0;
}

/* The row of a transaction that was not committed is not there. */
static void forget(struct walk *w, struct conn *c)
{
	bool deciding =
		c->op == OP_COMMIT || (c->op == OP_WRITE && !c->in_transaction);

	set_fate(w, c->key, c->busy && deciding ? FATE_UNKNOWN : FATE_ABSENT);
	memset(c, 0, sizeof(*c));
}

static void on_done(struct walk *w, const struct event *e)
{
	struct conn *c = find_conn(w, e->done.conn);
	enum completion done = e->done.done;

	ck_assert(c->busy);
	c->busy = false;
	w->counts[done]++;
	judge(w, c, done);
	if (c->closed) {
		ck_assert_int_eq(done, DONE_NOT_SENT);
		forget(w, c);
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
		forget(w, c);
}

static void take_events(struct walk *w, hm_time wait)
{
	const struct event *e;

	while ((e = rig_next_event(wait)))
		on_event(w, e);
}

static void run(struct conn *c, enum op op, const char *json)
{
	c->op = op;
	c->busy = true;
	rig_start_op(c->number, op, json);
}

static void step_write(struct walk *w, struct conn *c)
{
	enum fate fate = FATE_OPEN;
	char json[96];

	c->key = w->fates->len;
	g_array_append_val(w->fates, fate);
	g_snprintf(json, sizeof(json),
		   "{\"sql\":\"INSERT INTO t VALUES (%u, 'a')\"}",
		   (uint32_t)c->key);
	run(c, OP_WRITE, json);
}

static void step_transaction(struct walk *w, struct conn *c)
{
	if (!c->key && any(w, 4))
		step_write(w, c);
	else
		run(c, any(w, 4) ? OP_COMMIT : OP_ROLLBACK, NULL);
}

static void step_statement(struct walk *w, struct conn *c)
{
	if (c->in_transaction)
		step_transaction(w, c);
	else if (!any(w, 4))
		run(c, OP_BEGIN, NULL);
	else if (!any(w, 3))
		run(c, OP_READ, "{\"sql\":\"SELECT count(*) FROM t\"}");
	else
		step_write(w, c);
}

static void step_conn(struct walk *w)
{
	struct conn *c = &w->conns[any(w, CONNS)];

	if (!c->number) {
		c->number = ++w->numbers;
		rig_start_connect(c->number, 0);
	} else if (c->ready && !c->busy) {
		step_statement(w, c);
	} else if (c->busy && !any(w, 10)) {
		rig_on_conn(c->number, rig_run_cancel);
	} else if (!any(w, 40)) {
		rig_on_conn(c->number, rig_run_close);
		take_events(w, 0);
		if (c->number)
			forget(w, c);
	}
}

static void step_fault(struct walk *w)
{
	struct member_faults f = { 0 };
	hm_time now = loop_now();

	if (w->calm_at && now < w->calm_at)
		return;
	if (!w->calm_at && !any(w, 20)) {
		f.paused = !any(w, 4);
		f.silent = !any(w, 4);
		f.lose_answer = !any(w, 3);
		f.cut_all = !any(w, 4);
		f.dead = !any(w, 5);
		f.answer_delay = any(w, 3) * 5 * HM_MS;
		w->calm_at = now + any(w, FAULT_MS) * HM_MS;
		rig_fault(0, f);
	} else if (w->calm_at) {
		w->calm_at = 0;
		rig_fault(0, f);
	}
}

/* Whatever runs ends, or is closed and never heard of again. */
static void settle(struct walk *w)
{
	hm_time end = loop_now() + PATIENCE;
	uint32_t i, busy;

	rig_fault(0, (struct member_faults){ 0 });
	do {
		take_events(w, 5 * HM_MS);
		for (i = 0, busy = 0; i < CONNS; i++)
			busy += w->conns[i].busy;
	} while (busy && loop_now() < end - PATIENCE * 9 / 10);
	for (i = 0; i < CONNS; i++) {
		if (!w->conns[i].number)
			continue;
		rig_on_conn(w->conns[i].number, rig_run_close);
		take_events(w, 0);
		if (w->conns[i].number)
			forget(w, &w->conns[i]);
	}
	ck_assert_ptr_null(rig_next_event(20 * HM_MS));
}

/* However the walk went, one write is answered and one answer lost. */
static void end_certainly(struct walk *w)
{
	struct conn *c = &w->conns[0];

	c->number = ++w->numbers;
	rig_open_conn(c->number, 0);
	c->ready = true;
	step_write(w, c);
	on_event(w, rig_await_event(EV_DONE));
	ck_assert_uint_gt(w->counts[DONE_OK], 0);
	rig_fault(0, (struct member_faults){ .lose_answer = true });
	step_write(w, c);
	on_event(w, rig_await_event(EV_DONE));
	on_event(w, rig_await_event(EV_CLOSED));
	ck_assert_uint_gt(w->counts[DONE_LOST], 0);
	rig_fault(0, (struct member_faults){ 0 });
}

static PGconn *open_plain(void)
{
	const char *address = rig.spec.endpoints[0].address;
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
	bool *there = g_new0(bool, w->fates->len);
	PGconn *c = open_plain();
	PGresult *r = PQexec(c, "SELECT k FROM t");
	enum fate fate;
	guint key;
	int i;

	ck_assert_int_eq(PQresultStatus(r), PGRES_TUPLES_OK);
	for (i = 0; i < PQntuples(r); i++)
		there[atoi(PQgetvalue(r, i, 0))] = true;
	for (key = 1; key < w->fates->len; key++) {
		fate = g_array_index(w->fates, enum fate, key);
		ck_assert_msg(fate != FATE_OPEN, "row %u: no outcome", key);
		ck_assert_msg(fate != FATE_PRESENT || there[key],
			      "row %u: said to be there", key);
		ck_assert_msg(fate != FATE_ABSENT || !there[key],
			      "row %u: said not to be there", key);
	}
	PQclear(r);
	PQfinish(c);
	g_free(there);
}

START_TEST(outcomes_are_true)
{
	struct walk w = { .rng = { (uint64_t)_i + 1 } };
	enum fate none = FATE_ABSENT;
	uint32_t i;

	w.fates = g_array_new(false, true, sizeof(enum fate));
	g_array_append_val(w.fates, none);
	for (i = 0; i < STEPS; i++) {
		step_fault(&w);
		step_conn(&w);
		take_events(&w, any(&w, 3) * HM_MS);
	}
	settle(&w);
	end_certainly(&w);
	check_table(&w);
	g_array_unref(w.fates);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("walk");

	tcase_add_checked_fixture(tc, rig_setup, rig_teardown);
	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, outcomes_are_true, 0, WALKS);
	return suite_run("driver walk", tc);
}
