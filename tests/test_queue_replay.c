/**
 * @file test_queue_replay.c
 * A replayed overload of one member, whose statements are served by urgency:
 * a pool whose connections open at once and whose statements take the work of
 * their kind.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "../core/rng.h"
#include "pool_fixture.h"
#include "suite.h"

#define KINDS 3
#define ACCOUNTS 75
#define STEP (HM_MS / 10)
#define RUN_TIME (30 * HM_SEC)
#define OFFERED_MAX 8000
#define CONNS_MAX 30000
#define WAIT_BOUND (40 * HM_MS)

/* A kind of work; the rates are those of one member of 24, times three. */
static const struct kind {
	double rate;
	hm_time work;
	hm_time target;
} kinds[KINDS] = {
	{ 145.0 / 8, 6 * HM_MS, 150 * HM_MS },
	{ 679.0 / 8, 18 * HM_MS, 250 * HM_MS },
	{ 252.0 * 2.5 / 8, 30 * HM_MS, 1000 * HM_MS },
};

struct replay {
	struct pool_fixture pool;
	hm_time offered_at[OFFERED_MAX];
	uint32_t kind[OFFERED_MAX];
	uint32_t count;
	hm_time ends_at[CONNS_MAX]; /* by connection, 0: nothing runs */
	uint64_t order;		    /* digest of the order of the starts */
	bool flat;		    /* all statements have one level */
	uint32_t offered[KINDS], served[KINDS];
	uint32_t late[KINDS]; /* served after WAIT_BOUND */
};

static void replay_action(struct replay *r, const struct proxy_action *a)
{
	uint32_t id;

	if (a->kind == PROXY_CONNECT)
		pool_ready(r->pool.pool, a->member.conn, r->pool.now,
			   &r->pool.out);
	if (a->kind != PROXY_COMMAND ||
	    a->member.command.kind != MEMBER_STATEMENT)
		return;
	ck_assert_uint_lt(a->member.conn, CONNS_MAX);
	id = (uint32_t)atoi(a->member.command.request + 1);
	r->ends_at[a->member.conn] = r->pool.now + kinds[r->kind[id]].work;
	r->order = (r->order ^ id) * 1099511628211U;
}

static void replay_drain(struct replay *r)
{
	struct run_result *result;
	uint64_t to;
	size_t i;

	for (i = 0; i < r->pool.out.count; i++) {
		struct proxy_action a = r->pool.out.list[i];

		replay_action(r, &a);
	}
	proxy_output_clear(&r->pool.out);
	while (pool_next_result(r->pool.pool, &to, &result)) {
		uint32_t id = (uint32_t)result->id.seq, k = r->kind[id];
		hm_time took = r->pool.now - r->offered_at[id];

		r->served[k] += !result->error;
		r->late[k] +=
			!result->error && took - kinds[k].work >= WAIT_BOUND;
		run_result_free(result);
	}
}

static void replay_offer(struct replay *r, uint32_t k, hm_id account)
{
	uint32_t id = ++r->count;
	struct run_request o = pool_fixture_request(id, STMT_WRITE, RUN_SINGLE);

	r->kind[id] = k;
	r->offered_at[id] = r->pool.now;
	r->offered[k]++;
	o.account = account;
	o.level = r->flat ? 1 : k;
	o.start_by = r->pool.now + kinds[k].target;
	o.deadline = r->pool.now + 1500 * HM_MS;
	pool_submit(r->pool.pool, &o, POOL_FIXTURE_INCARNATION, r->pool.now,
		    &r->pool.out);
	replay_drain(r);
}

static void replay_step(struct replay *r, struct rng *rng)
{
	struct member_reply done = { .at = { 1, 50 } };
	uint64_t c;
	uint32_t k;

	for (k = 0; k < KINDS; k++)
		if (rng_below(rng, 1000000) < kinds[k].rate * STEP)
			replay_offer(r, k, 1 + rng_below(rng, ACCOUNTS));
	for (c = 1; c <= r->pool.next_conn; c++) {
		if (!r->ends_at[c] || r->ends_at[c] > r->pool.now)
			continue;
		r->ends_at[c] = 0;
		pool_replied(r->pool.pool, c, &done, r->pool.now, &r->pool.out);
		replay_drain(r);
	}
	r->pool.now += STEP;
	if (r->pool.now % (20 * HM_MS) == 0)
		pool_tick(r->pool.pool, true, r->pool.now, &r->pool.out);
	replay_drain(r);
}

static double share(const struct replay *r, uint32_t k)
{
	return (double)r->served[k] / (double)r->offered[k];
}

static struct replay *replay(uint64_t seed, bool switched_on, uint32_t levels,
			     bool flat)
{
	struct replay *r = calloc(1, sizeof(*r));
	struct rng rng = { seed };
	uint32_t k;

	r->flat = flat;
	pool_fixture_open(&r->pool, 4, 400);
	r->pool.options.scheduling.priority_queue = switched_on;
	pool_set_levels(r->pool.pool, levels);
	while (r->pool.now < POOL_FIXTURE_NOW + RUN_TIME)
		replay_step(r, &rng);
	for (k = 0; k < KINDS; k++)
		printf("seed=%d on=%d levels=%u kind=%u of=%u served=%.3f "
		       "late=%.3f\n",
		       (int)seed, switched_on, levels, k, r->offered[k],
		       share(r, k), (double)r->late[k] / r->served[k]);
	return r;
}

static void replay_free(struct replay *r)
{
	pool_fixture_close(&r->pool);
	free(r);
}

/* Guards against the most urgent kind being the first that is refused. */
START_TEST(urgent_kind_is_not_served_worst)
{
	struct replay *off = replay((uint64_t)_i, false, KINDS, false);
	struct replay *on = replay((uint64_t)_i, true, KINDS, false);

	ck_assert(share(off, 0) < share(off, 1) &&
		  share(off, 0) < share(off, 2));
	ck_assert(share(on, 0) >= share(on, 1) || share(on, 0) >= share(on, 2));
	ck_assert_uint_lt(on->late[0], on->served[0] / 100);
	replay_free(off);
	replay_free(on);
}
END_TEST

/* Order of the starts before there were levels, for seed 1. */
#define ORDER_WITHOUT_LEVELS 4239056015377739287U

/* Guards against a change where no urgency is known or it is not to count. */
START_TEST(order_is_unchanged_without_levels)
{
	static const struct {
		bool switched_on;
		uint32_t levels;
		bool flat;
	} rows[] = { { false, KINDS, false },
		     { true, 1, false },
		     { true, KINDS, true } };
	struct replay *r =
		replay(1, rows[_i].switched_on, rows[_i].levels, rows[_i].flat);

	ck_assert_uint_eq(r->order, ORDER_WITHOUT_LEVELS);
	replay_free(r);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("queue_replay");

	tcase_set_timeout(tc, 120);
	tcase_add_loop_test(tc, urgent_kind_is_not_served_worst, 1, 4);
	tcase_add_loop_test(tc, order_is_unchanged_without_levels, 0, 3);
	return suite_run("queue_replay", tc);
}
