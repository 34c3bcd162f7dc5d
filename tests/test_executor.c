/**
 * @file test_executor.c
 * Random runs of an executor against a simulated endpoint that replies late,
 * with errors, to the wrong request or never. Each statement must end once,
 * and its result must say correctly whether the statement ran.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "../core/executor.h"
#include "../core/rng.h"
#include "suite.h"

#define ACCOUNTS 4
#define STATEMENTS 4000
#define CONNS_MOST 64
#define LIFE 9

/* One connection at the endpoint. */
struct remote {
	uint64_t conn; /* connection number, 0: entry is free */
	bool ready;
	hm_time at; /* time of the next event, HM_NEVER for none */
	bool running;
	bool resetting;
	bool cancelled;
	struct statement statement;
	hm_id tx_account; /* account of the open transaction */
};

struct record {
	bool submitted;
	bool ran;
	uint32_t ended;
	enum execution claimed;
	enum error error;
};

struct executor_fixture {
	uint32_t slots, connections;
	struct core_options options;
	struct contracts *contracts;
	struct executor *executor;
	struct actions actions;
	struct remote remotes[CONNS_MOST];
	struct record records[STATEMENTS + 1];
	struct tx_id open[ACCOUNTS + 1];
	struct rng rng;
	hm_time now;
	uint64_t next_conn;
	uint32_t next;
	uint32_t fault_percent;
	uint32_t served[ACCOUNTS + 1];
};

static struct key_id key_of(hm_id account)
{
	return (struct key_id){ account, 1 };
}

static void grant(struct executor_fixture *b, hm_id account, uint64_t version,
		  bool gone)
{
	struct contract c = { .account = account,
			      .version = version,
			      .withdrawn = gone,
			      .rate = 100,
			      .burst = 100,
			      .weight = 1,
			      .transactions = 3,
			      .database_count = 1,
			      .key_count = 1 };
	const char *fault;

	c.databases[0].database = 1;
	c.keys[0] = key_of(account);
	contracts_apply(b->contracts, &c, &fault);
}

static struct executor_fixture *
executor_fixture_new(uint64_t seed, uint32_t slots, uint32_t fault_percent)
{
	struct executor_fixture *b = calloc(1, sizeof(*b));
	struct database_spec d = { .database = 1 };
	struct endpoint_spec e = { .endpoint = 2, .slots = slots };
	hm_id account;

	b->options = (struct core_options){ .incarnation = LIFE,
					    .idle_transaction = 2 * HM_SEC,
					    .statement_limit = 10 * HM_SEC,
					    .queue_limit = 100 };
	b->slots = slots;
	b->connections = slots == 2 ? 16 : 40;
	e.connections = b->connections;
	b->rng.state = seed;
	b->fault_percent = fault_percent;
	b->contracts = contracts_new();
	for (account = 1; account <= ACCOUNTS; account++)
		grant(b, account, account, false);
	b->executor = executor_new(&b->options, b->contracts, &d, &e,
				   &b->next_conn, 0);
	return b;
}

static void executor_fixture_free(struct executor_fixture *b)
{
	executor_free(b->executor);
	contracts_free(b->contracts);
	actions_free(&b->actions);
	free(b);
}

static bool chance(struct executor_fixture *b, uint32_t percent)
{
	return rng_below(&b->rng, 100) < percent;
}

static struct remote *remote_of(struct executor_fixture *b, uint64_t conn)
{
	uint32_t i;

	for (i = 0; i < CONNS_MOST; i++)
		if (b->remotes[i].conn == conn)
			return &b->remotes[i];
	return NULL;
}

static void check_limits(const struct executor_fixture *b)
{
	uint32_t open = 0, running = 0;
	uint32_t i;

	for (i = 0; i < CONNS_MOST; i++) {
		open += b->remotes[i].conn != 0;
		running += b->remotes[i].running || b->remotes[i].resetting;
	}
	ck_assert_uint_le(open, b->connections - 3);
	ck_assert_uint_le(running, b->slots);
}

/* A lost statement may have run; a lost BEGIN has no lasting effect. */
static void maybe_ran(struct executor_fixture *b, const struct remote *r)
{
	if (r->statement.op != OP_BEGIN && chance(b, 50))
		b->records[r->statement.id.seq].ran = true;
}

static void on_execute(struct executor_fixture *b, struct remote *r,
		       const struct statement *s)
{
	ck_assert(r->ready && !r->running && !r->resetting);
	/* No statement runs in another account's transaction. */
	ck_assert(!r->tx_account || r->tx_account == s->account);
	ck_assert(!s->tx.id.seq == !r->tx_account);
	r->running = true;
	r->cancelled = false;
	r->statement = *s;
	r->at = b->now + 1000 + (hm_time)rng_below(&b->rng, 40 * HM_MS);
	if (chance(b, b->fault_percent / 4))
		r->at = HM_NEVER;
}

static void perform(struct executor_fixture *b, const struct action *act)
{
	struct remote *r;

	r = remote_of(b, act->kind == ACT_CONNECT ? 0 : act->conn.conn);
	ck_assert_ptr_nonnull(r);
	switch (act->kind) {
	case ACT_CONNECT:
		*r = (struct remote){ .conn = act->conn.conn };
		r->at = b->now + 10 * HM_MS;
		break;
	case ACT_EXECUTE:
		on_execute(b, r, &act->conn.statement);
		break;
	case ACT_CANCEL:
		ck_assert(r->running);
		r->cancelled = true;
		if (r->at != HM_NEVER)
			r->at = b->now + 1000;
		break;
	case ACT_RESET:
		ck_assert(r->ready && !r->running);
		r->resetting = true;
		r->at = chance(b, b->fault_percent / 4) ? HM_NEVER
							: b->now + 1000;
		break;
	case ACT_CLOSE:
		/* A statement that runs there may still take effect. */
		if (r->running)
			maybe_ran(b, r);
		*r = (struct remote){ 0 };
		break;
	default:
		ck_abort();
	}
	check_limits(b);
}

static void drain(struct executor_fixture *b)
{
	struct executor_result e;
	size_t i;

	for (i = 0; i < b->actions.count; i++)
		perform(b, &b->actions.list[i]);
	actions_clear(&b->actions);
	while (executor_next_result(b->executor, &e)) {
		struct record *rec = &b->records[e.statement.id.seq];
		hm_id account = e.statement.account;

		rec->ended++;
		rec->claimed = e.execution;
		rec->error = e.error;
		if (e.statement.op == OP_BEGIN || e.statement.tx.id.seq)
			b->open[account] = e.tx;
		if (e.error == ERR_NONE)
			b->served[account]++;
	}
}

static void feed(struct executor_fixture *b, const struct event *e)
{
	executor_event(b->executor, e, b->now, &b->actions);
	drain(b);
}

static void closed(struct executor_fixture *b, struct remote *r)
{
	struct event e = { .kind = EV_CLOSED };

	e.conn.conn = r->conn;
	e.conn.failed = !r->ready;
	*r = (struct remote){ 0 };
	feed(b, &e);
}

static enum completion draw_done(struct executor_fixture *b,
				 const struct remote *r)
{
	if (r->cancelled && chance(b, 70))
		return DONE_REJECTED;
	if (!chance(b, b->fault_percent))
		return DONE_OK;
	return (enum completion)(DONE_REJECTED + rng_below(&b->rng, 4));
}

/* Applies the effects of a statement that ended with @a done. */
static void take_effect(struct executor_fixture *b, struct remote *r,
			enum completion done)
{
	enum op op = r->statement.op;

	if (done == DONE_OK)
		b->records[r->statement.id.seq].ran = true;
	if (done == DONE_LOST)
		maybe_ran(b, r);
	if (done == DONE_OK && op == OP_BEGIN)
		r->tx_account = r->statement.account;
	if (done == DONE_OK && (op == OP_COMMIT || op == OP_ROLLBACK))
		r->tx_account = 0;
}

static void statement_done(struct executor_fixture *b, struct remote *r)
{
	struct event e = { .kind = EV_DONE };

	e.done.conn = r->conn;
	e.done.id = r->statement.id;
	e.done.done = draw_done(b, r);
	take_effect(b, r, e.done.done);
	e.done.open_tx = r->tx_account != 0;
	r->running = false;
	r->at = HM_NEVER;
	/* A reply to another request must be ignored. */
	e.done.id.seq++;
	feed(b, &e);
	e.done.id.seq--;
	feed(b, &e);
	feed(b, &e);
}

static void reset_done(struct executor_fixture *b, struct remote *r)
{
	struct event e = { .kind = EV_DONE };

	r->resetting = false;
	r->at = HM_NEVER;
	r->tx_account = 0;
	e.done.conn = r->conn;
	feed(b, &e);
}

static void remote_step(struct executor_fixture *b, struct remote *r)
{
	if (!r->conn || r->at > b->now)
		return;
	if (!r->ready && !chance(b, b->fault_percent)) {
		struct event e = { .kind = EV_CONNECTED };

		r->ready = true;
		r->at = HM_NEVER;
		e.conn.conn = r->conn;
		feed(b, &e);
	} else if (!r->ready || chance(b, b->fault_percent / 4)) {
		if (r->running)
			maybe_ran(b, r);
		closed(b, r);
	} else if (r->running) {
		statement_done(b, r);
	} else if (r->resetting) {
		reset_done(b, r);
	}
}

static enum op draw_op(struct executor_fixture *b, bool in_tx)
{
	static const enum op single[] = { OP_READ, OP_READ, OP_WRITE,
					  OP_BEGIN };
	static const enum op inside[] = { OP_READ, OP_WRITE, OP_COMMIT,
					  OP_ROLLBACK };

	return in_tx ? inside[rng_below(&b->rng, 4)]
		     : single[rng_below(&b->rng, 4)];
}

static void submit_one(struct executor_fixture *b)
{
	hm_id account = 1 + rng_below(&b->rng, ACCOUNTS);
	struct statement s = { .account = account, .database = 1 };

	s.id = (struct rid){ LIFE, ++b->next };
	s.key = key_of(account);
	/* Some statements name the transaction of another account. */
	if (chance(b, 40))
		s.tx = b->open[chance(b, 90) ? account
					     : 1 + account % ACCOUNTS];
	s.op = draw_op(b, s.tx.id.seq != 0);
	s.deadline = b->now + (hm_time)rng_below(&b->rng, HM_SEC);
	b->records[b->next].submitted = true;
	executor_submit(b->executor, &s, 5, b->now, &b->actions);
	drain(b);
	if (!b->records[b->next].ended)
		executor_submit(b->executor, &s, 5, b->now, &b->actions);
	if (chance(b, 5))
		executor_abandon(b->executor, s.id, b->now, &b->actions);
	drain(b);
}

static void executor_fixture_step(struct executor_fixture *b)
{
	uint32_t i;

	b->now += 1000;
	for (i = 0; i < CONNS_MOST; i++)
		remote_step(b, &b->remotes[i]);
	if (b->now % CORE_TICK == 0)
		executor_tick(b->executor, b->now, &b->actions);
	drain(b);
}

static void check_records(const struct executor_fixture *b, uint64_t seed)
{
	uint32_t i;

	for (i = 1; i <= b->next; i++) {
		const struct record *r = &b->records[i];

		ck_assert_msg(r->ended == 1, "seed %d: %d ended %d times",
			      (int)seed, i, r->ended);
		ck_assert_msg(r->claimed != EXEC_NOT_RUN || !r->ran,
			      "seed %d: %d ran, reported as not run", (int)seed,
			      i);
		ck_assert_msg(r->error != ERR_NONE || r->ran,
			      "seed %d: %d reported as done, did not run",
			      (int)seed, i);
	}
}

START_TEST(every_statement_ends_once_with_true_result)
{
	uint64_t seed;

	for (seed = 1; seed <= 12; seed++) {
		struct executor_fixture *b = executor_fixture_new(
			seed, 2 + seed % 2, (uint32_t)seed % 4 * 6);
		uint32_t account, version = 10;

		while (b->next < STATEMENTS) {
			executor_fixture_step(b);
			if (chance(b, 15))
				submit_one(b);
			if (rng_below(&b->rng, 3000))
				continue;
			account = (uint32_t)(1 + rng_below(&b->rng, ACCOUNTS));
			grant(b, account, ++version, chance(b, 50));
		}
		for (account = 0; account < 3000; account++)
			executor_fixture_step(b);
		executor_close(b->executor, b->now, &b->actions);
		drain(b);
		check_records(b, seed);
		ck_assert_uint_gt(b->served[1], 0);
		executor_fixture_free(b);
	}
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("executor");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, every_statement_ends_once_with_true_result);
	return suite_run("executor", tc);
}
