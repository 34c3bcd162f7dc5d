/**
 * @file test_cold_limit.c
 * Limit of cold members: in no second do two owners that do not know of each
 * other send more than the member may get, and one owner sends most of it.
 */
#include <check.h>

#include "../core/cold_limit.h"
#include "../core/rng.h"
#include "pool_fixture.h"
#include "suite.h"

#define SPAN (10 * HM_SEC)
#define SENT_MAX 4096
#define OVER 1.5 /* what a cold member may get beyond its limit ... */
#define SLACK 5	 /* ... and in statements */

struct sent {
	hm_time at[SENT_MAX];
	uint32_t count;
};

/* Asks for statements at random times, some inside of transactions. */
static void run(uint32_t owners, double per_s, uint64_t seed, struct sent *out)
{
	struct cold_limit limits[2] = { { .per_s = per_s, .until = HM_NEVER },
					{ .per_s = per_s, .until = HM_NEVER } };
	struct rng rng = { .state = seed };
	hm_time now = HM_SEC, end = HM_SEC + SPAN, retry_at;

	out->count = 0;
	while (now < end && out->count < SENT_MAX) {
		now += (hm_time)rng_below(&rng, 4000);
		if (cold_limit_take(&limits[rng_below(&rng, owners)],
				    rng_below(&rng, 4) == 0, now, &retry_at))
			out->at[out->count++] = now;
	}
}

static uint32_t most_in_a_second(const struct sent *s)
{
	uint32_t first = 0, i, most = 0;

	for (i = 0; i < s->count; i++) {
		while (s->at[i] - s->at[first] >= HM_SEC)
			first++;
		if (i - first + 1 > most)
			most = i - first + 1;
	}
	return most;
}

static const double limits[] = { 1, 2.5, 10, 40, 120 };

START_TEST(two_owners_stay_within_the_limit)
{
	double limit = limits[_i];
	struct sent sent;
	uint64_t seed;

	for (seed = 1; seed <= 20; seed++) {
		run(2, limit, seed, &sent);
		ck_assert_uint_le(most_in_a_second(&sent),
				  (uint32_t)(limit * OVER + SLACK));
	}
}
END_TEST

START_TEST(one_owner_sends_most_of_the_limit)
{
	double limit = limits[_i];
	struct sent sent;

	run(1, limit, 1, &sent);
	ck_assert_uint_ge(sent.count,
			  (uint32_t)(0.7 * limit * (SPAN / HM_SEC)) - 1);
	ck_assert_uint_le(most_in_a_second(&sent), (uint32_t)limit + 2);
}
END_TEST

START_TEST(warm_member_has_no_limit)
{
	struct cold_limit c = { .per_s = 1, .until = HM_SEC };
	hm_time retry_at = 0;
	int i;

	ck_assert(!cold_limit_take(&c, false, HM_SEC / 2, &retry_at));
	ck_assert_int_gt(retry_at, HM_SEC / 2);
	for (i = 0; i < 100; i++)
		ck_assert(cold_limit_take(&c, false, HM_SEC, &retry_at));
}
END_TEST

/* The owner refuses at once, as not run, and names a time to come back. */
START_TEST(cold_member_refuses_at_its_owner)
{
	struct run_request o = pool_fixture_request(1, STMT_WRITE, RUN_SINGLE);
	struct pool_fixture r;

	pool_fixture_open(&r, 2, 16);
	pool_fixture_add_idle_conn(&r);
	r.member.cold_until = r.now + HM_SEC;
	pool_set_cold(r.pool, 2, 5 * HM_SEC);
	pool_member(r.pool, &r.member, 16);
	pool_fixture_submit(&r, &o);
	pool_fixture_results(&r);
	proxy_text_expect(r.text, "r1: no_endpoint, not run, I\n");
	r.now += HM_SEC;
	pool_fixture_submit(&r, &o);
	pool_fixture_results(&r);
	ck_assert_ptr_nonnull(strstr(r.text->str, "statement"));
	pool_fixture_close(&r);
}
END_TEST

int main(void)
{
	int n = sizeof(limits) / sizeof(limits[0]);
	TCase *tc = tcase_create("cold_limit");

	tcase_add_loop_test(tc, two_owners_stay_within_the_limit, 0, n);
	tcase_add_loop_test(tc, one_owner_sends_most_of_the_limit, 0, n);
	tcase_add_test(tc, warm_member_has_no_limit);
	tcase_add_test(tc, cold_member_refuses_at_its_owner);
	return suite_run("cold_limit", tc);
}
