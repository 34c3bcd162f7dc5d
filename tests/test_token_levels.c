/**
 * @file test_token_levels.c
 * Replays the load of an account above its rate, on several instances, and
 * tests that its tokens go to the urgent statements, without loss to others.
 */
#include <check.h>
#include <stdio.h>

#include "rate_fleet.h"
#include "suite.h"

/* Requests of one urgency level. */
struct kind {
	uint32_t per_second;
	hm_time patience;
};

struct served {
	uint64_t offered[PRIORITY_LEVELS];
	uint64_t admitted[PRIORITY_LEVELS];
	uint64_t total, over;
};

#define KINDS 3
#define LIMIT 608
#define RUN_TIME (30 * HM_SEC)
#define WARM_UP (4 * HM_SEC)

static void offer(struct rate_fleet *f, const struct kind *k, uint32_t level,
		  struct served *out)
{
	uint64_t before = f->offered;

	f->offer_level = level;
	f->patience = k->patience;
	rate_fleet_offer(f, k->per_second, 0);
	out->offered[level] += f->offered - before;
}

static struct served replay(const struct kind *kinds, uint32_t level_count,
			    uint32_t old_builds)
{
	struct rate_fleet *f = rate_fleet_new(11, LIMIT, LIMIT, 500 * HM_MS);
	struct served out = { 0 };
	uint32_t i;

	f->refuses_at_once = true;
	f->old_builds = old_builds;
	rate_fleet_levels(f, level_count);
	while (f->now < WARM_UP)
		rate_fleet_step(f);
	while (f->now < WARM_UP + RUN_TIME) {
		rate_fleet_step(f);
		for (i = 0; i < KINDS; i++)
			offer(f, &kinds[i], i, &out);
	}
	for (i = 0; i < KINDS; i++) {
		out.admitted[i] = f->admitted_at[i];
		printf("levels=%u old=%x level=%u offered=%d admitted=%d\n",
		       level_count, old_builds, i, (int)out.offered[i],
		       (int)out.admitted[i]);
	}
	out.total = f->admitted;
	out.over = f->over;
	ck_assert_uint_eq(out.over, 0);
	rate_fleet_free(f);
	return out;
}

/* 4.7 times the usual demand of an account whose limit is 1.5 times of it. */
static const struct kind overload[KINDS] = { { 257, 75 * HM_MS },
					     { 1202, 125 * HM_MS },
					     { 446, 500 * HM_MS } };

/*
 * Guards against tokens that go to whichever operation comes first: urgent ones
 * within the limit were refused like all others.
 */
START_TEST(urgent_operations_within_the_limit_are_served)
{
	struct served before = replay(overload, 1, 0);
	struct served s = replay(overload, KINDS, 0);

	ck_assert_uint_ge(s.admitted[0] * 100, s.offered[0] * 98);
	ck_assert_uint_ge(s.total * 100, before.total * 98);
}
END_TEST

/* Guards against a less urgent level that gets nothing at all. */
START_TEST(least_urgent_level_gets_its_floor)
{
	static const struct kind kinds[KINDS] = { { 2 * LIMIT, 75 * HM_MS },
						  { 0, 0 },
						  { LIMIT, 500 * HM_MS } };
	struct served before = replay(kinds, 1, 0);
	struct served s = replay(kinds, KINDS, 0);

	ck_assert_uint_ge(s.admitted[2] * 16, s.total);
	ck_assert_uint_ge(s.total * 100, before.total * 98);
}
END_TEST

/*
 * Guards against a rolling upgrade that makes an account worse: most instances,
 * or a few of them, request tokens without levels.
 */
START_TEST(old_builds_request_without_levels)
{
	struct served before = replay(overload, 1, 0);
	struct served s = replay(overload, KINDS, _i ? 0x55 : 0x7e);

	ck_assert_uint_ge(s.total * 100, before.total * 98);
	ck_assert_uint_ge(s.admitted[0] * before.offered[0],
			  before.admitted[0] * s.offered[0]);
}
END_TEST

/* An account within its limit must not lose anything to reserved tokens. */
START_TEST(nothing_is_refused_within_the_limit)
{
	static const struct kind kinds[KINDS] = { { 80, 75 * HM_MS },
						  { 250, 125 * HM_MS },
						  { 90, 500 * HM_MS } };
	struct served s = replay(kinds, KINDS, 0);
	uint64_t offered = s.offered[0] + s.offered[1] + s.offered[2];

	ck_assert_uint_le((offered - s.total) * 10000, offered);
}
END_TEST

/*
 * Readers draw all tokens in the first 100 ms of each second; the urgent writer
 * at another instance comes at 150 ms. Returns how many of 20 were served.
 */
static uint64_t writers_served(uint32_t level_count)
{
	struct rate_fleet *f = rate_fleet_new(5, 60, 60, 0);
	hm_time writer_at = WARM_UP + 150 * HM_MS;
	uint64_t served;

	rate_fleet_levels(f, level_count);
	while (f->now < WARM_UP + 20 * HM_SEC) {
		rate_fleet_step(f);
		f->offer_level = 2;
		f->patience = 900 * HM_MS;
		if (f->now >= WARM_UP && f->now % HM_SEC < 100 * HM_MS)
			rate_fleet_offer(f, 3000, 80);
		if (f->now < writer_at)
			continue;
		writer_at += HM_SEC;
		f->offer_level = 0;
		f->patience = 75 * HM_MS;
		rate_fleet_request(f, 3);
	}
	served = f->admitted_at[0];
	printf("writers levels=%u served=%d readers=%d\n", level_count,
	       (int)served, (int)f->admitted_at[2]);
	ck_assert_uint_eq(f->over, 0);
	rate_fleet_free(f);
	return served;
}

START_TEST(writer_after_a_burst_of_readers_is_served)
{
	writers_served(1);
	ck_assert_uint_ge(writers_served(KINDS), 20);
}
END_TEST

/*
 * Owners crash, pause and are partitioned, messages are lost and repeated:
 * tokens by level must not exceed the contract either.
 */
START_TEST(never_over_contract_under_faults)
{
	static const uint32_t limits[][2] = { { 200, 200 },
					      { 1, 4 },
					      { 400, 40 } };
	uint64_t seed;

	for (seed = 1; seed <= 9; seed++) {
		const uint32_t *l = limits[seed % 3];
		struct rate_fleet *f = rate_fleet_new(seed, l[0], l[1], 0);

		f->loss_percent = 3;
		f->step = 2000;
		f->old_builds = (uint32_t)seed;
		rate_fleet_levels(f, KINDS);
		while (f->now < 40 * HM_SEC) {
			rate_fleet_step(f);
			if (!rng_below(&f->rng, 250))
				rate_fleet_fault(f);
			f->offer_level = (uint32_t)rng_below(&f->rng, KINDS);
			rate_fleet_offer(f, l[0] * 3 + 20, 50);
		}
		ck_assert_msg(!f->over, "seed %d: %d over contract", (int)seed,
			      (int)f->over);
		ck_assert_uint_gt(f->admitted, 0);
		rate_fleet_free(f);
	}
}
END_TEST

/* With one level in use, the levels of statements must have no effect. */
START_TEST(levels_have_no_effect_when_off)
{
	struct rate_fleet *f[2];
	uint32_t i;

	for (i = 0; i < 2; i++) {
		f[i] = rate_fleet_new(7, 200, 200, 0);
		f[i]->refuses_at_once = true;
		while (f[i]->now < 10 * HM_SEC) {
			rate_fleet_step(f[i]);
			f[i]->offer_level =
				i ? (uint32_t)(f[i]->offered % 4) : 0;
			rate_fleet_offer(f[i], 500, 30);
		}
	}
	ck_assert_uint_eq(f[0]->admitted, f[1]->admitted);
	ck_assert_uint_eq(f[0]->refused, f[1]->refused);
	ck_assert_uint_eq(f[0]->packet_count, f[1]->packet_count);
	rate_fleet_free(f[0]);
	rate_fleet_free(f[1]);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("token_levels");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, urgent_operations_within_the_limit_are_served);
	tcase_add_test(tc, least_urgent_level_gets_its_floor);
	tcase_add_loop_test(tc, old_builds_request_without_levels, 0, 2);
	tcase_add_test(tc, nothing_is_refused_within_the_limit);
	tcase_add_test(tc, writer_after_a_burst_of_readers_is_served);
	tcase_add_test(tc, never_over_contract_under_faults);
	tcase_add_test(tc, levels_have_no_effect_when_off);
	return suite_run("token_levels", tc);
}
