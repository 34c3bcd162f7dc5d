/**
 * @file test_fair_queue.c
 * Fairness of an executor compared with a plain FIFO queue, at two and three
 * slots. With a FIFO, the long statements of one account crowd out the others.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../core/executor.h"
#include "../core/fair_queue.h"
#include "../core/rng.h"
#include "suite.h"

#define LIFE 9
#define SLOTS_MOST 3

/* An executor and an endpoint without faults. */
struct executor_fixture {
	struct core_options options;
	struct contracts *contracts;
	struct executor *executor;
	struct actions actions;
	uint32_t slots;
	hm_time now;
	uint64_t next_conn;
};

static struct key_id key_of(hm_id account)
{
	return (struct key_id){ account, 1 };
}

static void grant(struct executor_fixture *b, hm_id account)
{
	struct contract c = { .account = account,
			      .version = account,
			      .rate = 100,
			      .burst = 100,
			      .weight = 1,
			      .database_count = 1,
			      .key_count = 1 };
	const char *fault;

	c.databases[0].database = 1;
	c.keys[0] = key_of(account);
	contracts_apply(b->contracts, &c, &fault);
}

static struct executor_fixture *executor_fixture_new(uint32_t slots)
{
	struct executor_fixture *b = calloc(1, sizeof(*b));
	struct database_spec d = { .database = 1 };
	struct endpoint_spec e = { .endpoint = 2, .slots = slots };

	e.connections = slots == 2 ? 16 : 40;
	b->slots = slots;
	b->options = (struct core_options){ .incarnation = LIFE,
					    .statement_limit = 10 * HM_SEC,
					    .queue_limit = 1000 };
	b->contracts = contracts_new();
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

/* Seven accounts with short statements and one with long ones. */
#define ACCOUNTS 8
#define LARGE 0
#define SMALL_COST (10 * HM_MS)
#define LARGE_COST (200 * HM_MS)
#define SMALL_RATE 10 /* statements per second and slot */
#define LARGE_RATE 8
#define RUN_TIME (60 * HM_SEC)
#define WAITS_MAX 2000

struct job {
	uint32_t caller;
	hm_time offered_at;
	hm_time deadline;
	hm_time ends_at; /* end of the running statement, 0: not running */
	bool cancelled;
	uint64_t conn;
	struct rid id;
};

struct share {
	hm_time demand;
	hm_time served;
	hm_time waits[WAITS_MAX];
	uint32_t wait_count;
};

static hm_time cost_of(uint32_t caller)
{
	return caller == LARGE ? LARGE_COST : SMALL_COST;
}

static void add_served(struct share *s, const struct job *j, hm_time now)
{
	s->served += cost_of(j->caller);
	if (s->wait_count < WAITS_MAX)
		s->waits[s->wait_count++] =
			now - j->offered_at - cost_of(j->caller);
}

/* Decides at random whether a statement arrives in this millisecond. */
static bool draw_job(struct rng *rng, uint32_t caller, uint32_t slots,
		     hm_time now, struct job *out)
{
	uint32_t rate = caller == LARGE ? LARGE_RATE : SMALL_RATE;

	if (rng_below(rng, 1000) >= rate * slots)
		return false;
	*out = (struct job){ .caller = caller,
			     .offered_at = now,
			     .deadline = now + 2 * HM_SEC };
	return true;
}

static void run_fifo(uint64_t seed, uint32_t slots, struct share *shares)
{
	static struct job queue[100000];
	struct job running[SLOTS_MOST] = { 0 };
	uint32_t first = 0, last = 0, caller, slot;
	struct rng rng = { seed };
	hm_time now;

	for (now = 0; now < RUN_TIME; now += HM_MS) {
		for (caller = 0; caller < ACCOUNTS; caller++)
			if (draw_job(&rng, caller, slots, now, &queue[last])) {
				shares[caller].demand += cost_of(caller);
				last++;
			}
		for (slot = 0; slot < slots; slot++) {
			struct job *j = &running[slot];

			if (j->ends_at && j->ends_at <= now) {
				add_served(&shares[j->caller], j, now);
				j->ends_at = 0;
			}
			while (!j->ends_at && first < last) {
				*j = queue[first++];
				if (j->deadline > now)
					j->ends_at = now + cost_of(j->caller);
			}
		}
	}
}

/* A run of the same arrivals through an executor without endpoint faults. */
struct fair {
	struct executor_fixture *executor_fixture;
	struct job jobs[SLOTS_MOST];
	struct job offered[100000];
	uint32_t offered_count;
	struct share *shares;
};

static void fair_cancel(struct fair *f, uint64_t conn)
{
	uint32_t slot;

	for (slot = 0; slot < f->executor_fixture->slots; slot++)
		if (f->jobs[slot].conn == conn && f->jobs[slot].ends_at) {
			f->jobs[slot].ends_at =
				f->executor_fixture->now + HM_MS;
			f->jobs[slot].cancelled = true;
		}
}

static void fair_action(struct fair *f, const struct action *act)
{
	struct executor_fixture *b = f->executor_fixture;
	struct event e = { .kind = EV_CONNECTED };
	uint32_t slot = 0;

	if (act->kind == ACT_CONNECT) {
		e.conn.conn = act->conn.conn;
		executor_event(b->executor, &e, b->now, &b->actions);
		return;
	}
	if (act->kind == ACT_CANCEL)
		fair_cancel(f, act->conn.conn);
	if (act->kind != ACT_EXECUTE)
		return;
	while (slot < f->executor_fixture->slots && f->jobs[slot].ends_at)
		slot++;
	ck_assert_uint_lt(slot, b->slots);
	f->jobs[slot] = f->offered[act->conn.statement.id.seq];
	f->jobs[slot].ends_at = b->now + cost_of(f->jobs[slot].caller);
	f->jobs[slot].conn = act->conn.conn;
	f->jobs[slot].id = act->conn.statement.id;
}

static void fair_drain(struct fair *f)
{
	struct actions *actions = &f->executor_fixture->actions;
	struct executor_result e;
	size_t i;

	for (i = 0; i < actions->count; i++) {
		struct action act = actions->list[i];

		fair_action(f, &act);
	}
	actions_clear(actions);
	while (executor_next_result(f->executor_fixture->executor, &e))
		if (e.error == ERR_NONE)
			add_served(&f->shares[e.statement.account - 1],
				   &f->offered[e.statement.id.seq],
				   f->executor_fixture->now);
}

static void fair_offer(struct fair *f, uint32_t caller, struct rng *rng)
{
	struct executor_fixture *b = f->executor_fixture;
	struct job *j = &f->offered[f->offered_count + 1];
	struct statement s = { .op = OP_READ, .account = caller + 1 };

	if (!draw_job(rng, caller, b->slots, b->now, j))
		return;
	f->shares[caller].demand += cost_of(caller);
	s.id = (struct rid){ LIFE, ++f->offered_count };
	s.key = key_of(s.account);
	s.deadline = j->deadline;
	executor_submit(b->executor, &s, 5, b->now, &b->actions);
	fair_drain(f);
}

static void fair_step(struct fair *f, struct rng *rng)
{
	struct executor_fixture *b = f->executor_fixture;
	uint32_t i;

	for (i = 0; i < ACCOUNTS; i++)
		fair_offer(f, i, rng);
	for (i = 0; i < b->slots; i++) {
		struct job *j = &f->jobs[i];
		struct event e = { .kind = EV_DONE };

		if (!j->ends_at || j->ends_at > b->now)
			continue;
		j->ends_at = 0;
		e.done.conn = j->conn;
		e.done.id = j->id;
		e.done.done = j->cancelled ? DONE_REJECTED : DONE_OK;
		executor_event(b->executor, &e, b->now, &b->actions);
		fair_drain(f);
	}
	if (b->now % CORE_TICK == 0)
		executor_tick(b->executor, b->now, &b->actions);
	fair_drain(f);
	b->now += HM_MS;
}

static void run_fair(uint64_t seed, uint32_t slots, struct share *shares)
{
	struct fair *f = calloc(1, sizeof(*f));
	struct rng rng = { seed };
	hm_id account;

	f->executor_fixture = executor_fixture_new(slots);
	f->shares = shares;
	for (account = 1; account <= ACCOUNTS; account++)
		grant(f->executor_fixture, account);
	while (f->executor_fixture->now < RUN_TIME)
		fair_step(f, &rng);
	executor_fixture_free(f->executor_fixture);
	free(f);
}

static int compare_times(const void *a, const void *b)
{
	hm_time x = *(const hm_time *)a, y = *(const hm_time *)b;

	return x < y ? -1 : x > y;
}

/*
 * Returns the lowest share of its demand that a small account was served. Each
 * small account demands less than its fair share, an eighth of the slot time,
 * so all of its demand should be served.
 */
static double worst_share(const char *name, uint64_t seed, uint32_t slots,
			  struct share *shares)
{
	double worst = 1;
	hm_time slowest = 0;
	uint32_t i;

	for (i = 0; i < ACCOUNTS; i++) {
		struct share *s = &shares[i];
		double part = (double)s->served / (double)s->demand;

		if (i == LARGE || !s->wait_count)
			continue;
		qsort(s->waits, s->wait_count, sizeof(hm_time), compare_times);
		if (s->waits[s->wait_count * 99 / 100] > slowest)
			slowest = s->waits[s->wait_count * 99 / 100];
		worst = part < worst ? part : worst;
	}
	printf("%s slots=%u seed=%d worst_share=%.3f p99_wait_ms=%d "
	       "large_share=%.2f\n",
	       name, slots, (int)seed, worst, (int)(slowest / HM_MS),
	       (double)shares[LARGE].served / (double)RUN_TIME / slots);
	return worst;
}

START_TEST(large_account_does_not_crowd_out_small_ones)
{
	uint32_t slots = (uint32_t)_i;
	uint64_t seed;

	for (seed = 1; seed <= 2; seed++) {
		struct share *shares = calloc(ACCOUNTS, sizeof(*shares));
		double fifo, fair;

		run_fifo(seed, slots, shares);
		fifo = worst_share("fifo", seed, slots, shares);
		memset(shares, 0, ACCOUNTS * sizeof(*shares));
		run_fair(seed, slots, shares);
		fair = worst_share("fair", seed, slots, shares);
		ck_assert(fair >= 0.95);
		ck_assert(fair > fifo);
		free(shares);
	}
}
END_TEST

/*
 * Slot time used per account and queue class, with one slot that is always
 * busy.
 */
struct slot_use {
	hm_time of_account[4];
	hm_time of_class[QUEUE_CLASSES];
};

static void push_item(struct fair_queue *fq, hm_id account,
		      enum queue_class class, uint32_t weight)
{
	struct queue_item item = { .class = class, .weight = weight };

	item.statement.account = account;
	fair_queue_push(fq, &item);
}

/* Serves items for a minute and pushes each one back when it ends. */
static void serve(struct fair_queue *fq,
		  hm_time (*cost)(const struct queue_item *item),
		  struct slot_use *out)
{
	struct queue_item item;
	hm_time now = 0;

	while (now < 60 * HM_SEC && fair_queue_pop(fq, ~0U, true, now, &item)) {
		hm_time used = cost(&item);

		now += used;
		fair_queue_finish(fq, &item, used, true, now);
		out->of_account[item.statement.account] += used;
		out->of_class[item.class] += used;
		push_item(fq, item.statement.account, item.class, item.weight);
	}
}

/* Cost of a queue item: it grows with the number of the account. */
static hm_time cost_by_account(const struct queue_item *item)
{
	return (hm_time)item->statement.account * 20 * HM_MS;
}

START_TEST(slot_time_follows_weights)
{
	struct fair_queue *fq = fair_queue_new();
	struct slot_use use = { 0 };

	push_item(fq, 1, QUEUE_READ, 1);
	push_item(fq, 2, QUEUE_READ, 2);
	push_item(fq, 3, QUEUE_READ, 1);
	serve(fq, cost_by_account, &use);
	ck_assert_int_gt(use.of_account[1], 60 * HM_SEC / 4 * 95 / 100);
	ck_assert_int_gt(use.of_account[2], 60 * HM_SEC / 2 * 95 / 100);
	ck_assert_int_gt(use.of_account[3], 60 * HM_SEC / 4 * 95 / 100);
	fair_queue_free(fq);
}
END_TEST

static hm_time cost_by_class(const struct queue_item *item)
{
	return item->class == QUEUE_READ ? 5 * HM_MS : 100 * HM_MS;
}

START_TEST(writes_do_not_starve_reads)
{
	struct fair_queue *fq = fair_queue_new();
	struct slot_use use = { 0 };

	push_item(fq, 1, QUEUE_READ, 1);
	push_item(fq, 1, QUEUE_WRITE, 1);
	serve(fq, cost_by_class, &use);
	ck_assert_int_gt(use.of_class[QUEUE_READ], 60 * HM_SEC / 2 * 95 / 100);
	ck_assert_int_gt(use.of_class[QUEUE_WRITE], 60 * HM_SEC / 2 * 95 / 100);
	fair_queue_free(fq);
}
END_TEST

/* An idle account earns no credit: afterwards it gets just its share. */
START_TEST(idle_account_earns_no_credit)
{
	struct fair_queue *fq = fair_queue_new();
	struct queue_item item;
	uint32_t first = 0;
	uint32_t i;

	push_item(fq, 1, QUEUE_READ, 1);
	for (i = 0; i < 1000; i++) {
		fair_queue_pop(fq, ~0U, false, i * HM_MS, &item);
		fair_queue_finish(fq, &item, HM_MS, true, i * HM_MS);
		push_item(fq, 1, QUEUE_READ, 1);
	}
	for (i = 0; i < 100; i++) {
		push_item(fq, 1, QUEUE_READ, 1);
		push_item(fq, 2, QUEUE_READ, 1);
	}
	for (i = 0; i < 100; i++) {
		fair_queue_pop(fq, ~0U, false, HM_SEC, &item);
		fair_queue_finish(fq, &item, HM_MS, true, HM_SEC);
		first += item.statement.account == 1;
	}
	ck_assert_uint_ge(first, 45);
	fair_queue_free(fq);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("fair_queue");

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, large_account_does_not_crowd_out_small_ones, 2,
			    SLOTS_MOST + 1);
	tcase_add_test(tc, slot_time_follows_weights);
	tcase_add_test(tc, writes_do_not_starve_reads);
	tcase_add_test(tc, idle_account_earns_no_credit);
	return suite_run("fair_queue", tc);
}
