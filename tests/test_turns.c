/**
 * @file test_turns.c
 * Fairness of a home against a plain FIFO, at the slots of both users.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../core/home.h"
#include "../core/rng.h"
#include "../core/turns.h"
#include "suite.h"

#define LIFE 9
#define SLOTS_MOST 3

/* A home and its endpoint without faults. */
struct bench {
	struct core_options options;
	struct contracts *contracts;
	struct home *home;
	struct actions actions;
	uint32_t slots;
	hm_time now;
	uint64_t next_conn;
};

static struct key_id key_of(hm_id account)
{
	return (struct key_id){ account, 1 };
}

static void grant(struct bench *b, hm_id account)
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

static struct bench *bench_new(uint32_t slots)
{
	struct bench *b = calloc(1, sizeof(*b));
	struct database_spec d = { .database = 1 };
	struct endpoint_spec e = { .endpoint = 2, .slots = slots };

	e.connections = slots == 2 ? 16 : 40;
	b->slots = slots;
	b->options = (struct core_options){ .incarnation = LIFE,
					    .statement_limit = 10 * HM_SEC,
					    .queue_limit = 1000 };
	b->contracts = contracts_new();
	b->home = home_new(&b->options, b->contracts, &d, &e, &b->next_conn, 0);
	return b;
}

static void bench_free(struct bench *b)
{
	home_free(b->home);
	contracts_free(b->contracts);
	actions_free(&b->actions);
	free(b);
}

/* Fairness: seven small accounts and a large one, two slots. */
#define CALLERS 8
#define LARGE 0
#define SMALL_COST (10 * HM_MS)
#define LARGE_COST (200 * HM_MS)
#define SMALL_PACE 10 /* statements a second and slot */
#define LARGE_PACE 8
#define RUN_TIME (60 * HM_SEC)
#define WAITS_MAX 2000

struct job {
	uint32_t caller;
	hm_time offered_at;
	hm_time deadline;
	hm_time ends_at; /* while it runs */
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

static void note_served(struct share *s, const struct job *j, hm_time now)
{
	s->served += cost_of(j->caller);
	if (s->wait_count < WAITS_MAX)
		s->waits[s->wait_count++] =
			now - j->offered_at - cost_of(j->caller);
}

/* Next arrival, if one is due in this millisecond. */
static bool draw_job(struct rng *rng, uint32_t caller, uint32_t slots,
		     hm_time now, struct job *out)
{
	uint32_t pace = caller == LARGE ? LARGE_PACE : SMALL_PACE;

	if (rng_below(rng, 1000) >= pace * slots)
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
		for (caller = 0; caller < CALLERS; caller++)
			if (draw_job(&rng, caller, slots, now, &queue[last])) {
				shares[caller].demand += cost_of(caller);
				last++;
			}
		for (slot = 0; slot < slots; slot++) {
			struct job *j = &running[slot];

			if (j->ends_at && j->ends_at <= now) {
				note_served(&shares[j->caller], j, now);
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

/* The same arrivals through a home whose endpoint has no faults. */
struct fair {
	struct bench *bench;
	struct job jobs[SLOTS_MOST];
	struct job offered[100000];
	uint32_t offered_count;
	struct share *shares;
};

static void fair_cancel(struct fair *f, uint64_t conn)
{
	uint32_t slot;

	for (slot = 0; slot < f->bench->slots; slot++)
		if (f->jobs[slot].conn == conn && f->jobs[slot].ends_at) {
			f->jobs[slot].ends_at = f->bench->now + HM_MS;
			f->jobs[slot].cancelled = true;
		}
}

static void fair_action(struct fair *f, const struct action *act)
{
	struct bench *b = f->bench;
	struct event e = { .kind = EV_CONNECTED };
	uint32_t slot = 0;

	if (act->kind == ACT_CONNECT) {
		e.conn.conn = act->conn.conn;
		home_event(b->home, &e, b->now, &b->actions);
		return;
	}
	if (act->kind == ACT_CANCEL)
		fair_cancel(f, act->conn.conn);
	if (act->kind != ACT_EXECUTE)
		return;
	while (slot < f->bench->slots && f->jobs[slot].ends_at)
		slot++;
	ck_assert_uint_lt(slot, b->slots);
	f->jobs[slot] = f->offered[act->conn.statement.id.seq];
	f->jobs[slot].ends_at = b->now + cost_of(f->jobs[slot].caller);
	f->jobs[slot].conn = act->conn.conn;
	f->jobs[slot].id = act->conn.statement.id;
}

static void fair_drain(struct fair *f)
{
	struct actions *actions = &f->bench->actions;
	struct home_ended e;
	size_t i;

	for (i = 0; i < actions->count; i++) {
		struct action act = actions->list[i];

		fair_action(f, &act);
	}
	actions_clear(actions);
	while (home_next_ended(f->bench->home, &e))
		if (e.error == ERR_NONE)
			note_served(&f->shares[e.statement.account - 1],
				    &f->offered[e.statement.id.seq],
				    f->bench->now);
}

static void fair_offer(struct fair *f, uint32_t caller, struct rng *rng)
{
	struct bench *b = f->bench;
	struct job *j = &f->offered[f->offered_count + 1];
	struct statement s = { .op = OP_READ, .account = caller + 1 };

	if (!draw_job(rng, caller, b->slots, b->now, j))
		return;
	f->shares[caller].demand += cost_of(caller);
	s.id = (struct rid){ LIFE, ++f->offered_count };
	s.key = key_of(s.account);
	s.deadline = j->deadline;
	home_submit(b->home, &s, 5, b->now, &b->actions);
	fair_drain(f);
}

static void fair_step(struct fair *f, struct rng *rng)
{
	struct bench *b = f->bench;
	uint32_t i;

	for (i = 0; i < CALLERS; i++)
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
		home_event(b->home, &e, b->now, &b->actions);
		fair_drain(f);
	}
	if (b->now % CORE_TICK == 0)
		home_tick(b->home, b->now, &b->actions);
	fair_drain(f);
	b->now += HM_MS;
}

static void run_fair(uint64_t seed, uint32_t slots, struct share *shares)
{
	struct fair *f = calloc(1, sizeof(*f));
	struct rng rng = { seed };
	hm_id account;

	f->bench = bench_new(slots);
	f->shares = shares;
	for (account = 1; account <= CALLERS; account++)
		grant(f->bench, account);
	while (f->bench->now < RUN_TIME)
		fair_step(f, &rng);
	bench_free(f->bench);
	free(f);
}

static int compare_times(const void *a, const void *b)
{
	hm_time x = *(const hm_time *)a, y = *(const hm_time *)b;

	return x < y ? -1 : x > y;
}

/* Small accounts ask for less than an eighth, so all of it is their due. */
static double worst_share(const char *name, uint64_t seed, uint32_t slots,
			  struct share *shares)
{
	double worst = 1;
	hm_time slowest = 0;
	uint32_t i;

	for (i = 0; i < CALLERS; i++) {
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
		struct share *shares = calloc(CALLERS, sizeof(*shares));
		double fifo, fair;

		run_fifo(seed, slots, shares);
		fifo = worst_share("fifo", seed, slots, shares);
		memset(shares, 0, CALLERS * sizeof(*shares));
		run_fair(seed, slots, shares);
		fair = worst_share("fair", seed, slots, shares);
		ck_assert(fair >= 0.95);
		ck_assert(fair > fifo);
		free(shares);
	}
}
END_TEST

/* One slot that is never idle, for a minute; what each class got of it. */
struct taken {
	hm_time of_account[4];
	hm_time of_class[TURN_CLASSES];
};

static void push_turn(struct turns *t, hm_id account, enum turn_class class,
		      uint32_t weight)
{
	struct turn turn = { .class = class, .weight = weight };

	turn.statement.account = account;
	turns_push(t, &turn);
}

/* Serves one turn after another and puts each back into its queue. */
static void serve(struct turns *t, hm_time (*cost)(const struct turn *turn),
		  struct taken *out)
{
	struct turn turn;
	hm_time now = 0;

	while (now < 60 * HM_SEC && turns_pop(t, ~0U, true, now, &turn)) {
		hm_time used = cost(&turn);

		now += used;
		turns_ended(t, &turn, used, true, now);
		out->of_account[turn.statement.account] += used;
		out->of_class[turn.class] += used;
		push_turn(t, turn.statement.account, turn.class, turn.weight);
	}
}

/* Longer statements the larger the account number. */
static hm_time cost_by_account(const struct turn *turn)
{
	return (hm_time)turn->statement.account * 20 * HM_MS;
}

START_TEST(slot_time_follows_weights)
{
	struct turns *t = turns_new();
	struct taken taken = { 0 };

	push_turn(t, 1, TURN_READ, 1);
	push_turn(t, 2, TURN_READ, 2);
	push_turn(t, 3, TURN_READ, 1);
	serve(t, cost_by_account, &taken);
	ck_assert_int_gt(taken.of_account[1], 60 * HM_SEC / 4 * 95 / 100);
	ck_assert_int_gt(taken.of_account[2], 60 * HM_SEC / 2 * 95 / 100);
	ck_assert_int_gt(taken.of_account[3], 60 * HM_SEC / 4 * 95 / 100);
	turns_free(t);
}
END_TEST

static hm_time cost_by_class(const struct turn *turn)
{
	return turn->class == TURN_READ ? 5 * HM_MS : 100 * HM_MS;
}

START_TEST(writes_do_not_starve_reads)
{
	struct turns *t = turns_new();
	struct taken taken = { 0 };

	push_turn(t, 1, TURN_READ, 1);
	push_turn(t, 1, TURN_WRITE, 1);
	serve(t, cost_by_class, &taken);
	ck_assert_int_gt(taken.of_class[TURN_READ], 60 * HM_SEC / 2 * 95 / 100);
	ck_assert_int_gt(taken.of_class[TURN_WRITE],
			 60 * HM_SEC / 2 * 95 / 100);
	turns_free(t);
}
END_TEST

/* An account that was away gets its share from now on, not what it missed. */
START_TEST(absence_saves_nothing_up)
{
	struct turns *t = turns_new();
	struct turn turn;
	uint32_t first = 0;
	uint32_t i;

	push_turn(t, 1, TURN_READ, 1);
	for (i = 0; i < 1000; i++) {
		turns_pop(t, ~0U, false, i * HM_MS, &turn);
		turns_ended(t, &turn, HM_MS, true, i * HM_MS);
		push_turn(t, 1, TURN_READ, 1);
	}
	for (i = 0; i < 100; i++) {
		push_turn(t, 1, TURN_READ, 1);
		push_turn(t, 2, TURN_READ, 1);
	}
	for (i = 0; i < 100; i++) {
		turns_pop(t, ~0U, false, HM_SEC, &turn);
		turns_ended(t, &turn, HM_MS, true, HM_SEC);
		first += turn.statement.account == 1;
	}
	ck_assert_uint_ge(first, 45);
	turns_free(t);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("turns");

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, large_account_does_not_crowd_out_small_ones, 2,
			    SLOTS_MOST + 1);
	tcase_add_test(tc, slot_time_follows_weights);
	tcase_add_test(tc, writes_do_not_starve_reads);
	tcase_add_test(tc, absence_saves_nothing_up);
	return suite_run("turns", tc);
}
