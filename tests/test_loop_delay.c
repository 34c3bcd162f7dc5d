/** @file test_loop_delay.c When an instance reports that it is busy. */
#include <check.h>

#include "../core/loop_delay.h"
#include "suite.h"

#define INTERVAL (20 * HM_MS)
#define START (100 * HM_SEC)

struct run {
	struct loop_delay delay;
	hm_time now;
	uint32_t changes;
};

/* Passes ticks that are each late by @a late for @a span. */
static void tick_for(struct run *r, hm_time late, hm_time span)
{
	hm_time until = r->now + span;

	while (r->now < until) {
		r->now += INTERVAL + late;
		r->changes += loop_delay_tick(&r->delay, INTERVAL, r->now);
	}
}

/* Guards against an instance that keeps its members with a late loop. */
START_TEST(late_for_a_second_is_busy)
{
	struct run r = { .now = START };

	tick_for(&r, 0, 2 * HM_SEC);
	ck_assert(!r.delay.busy);
	tick_for(&r, 80 * HM_MS, 1 * HM_SEC);
	ck_assert(!r.delay.busy);
	tick_for(&r, 80 * HM_MS, 3 * HM_SEC);
	ck_assert(r.delay.busy);
}
END_TEST

/* Guards against members that move for one pause or a short peak. */
START_TEST(pause_and_short_peak_are_not_busy)
{
	struct run r = { .now = START };

	tick_for(&r, 0, 1 * HM_SEC);
	tick_for(&r, 4 * HM_SEC, 1);
	tick_for(&r, 0, 3 * HM_SEC);
	tick_for(&r, 90 * HM_MS, 900 * HM_MS);
	tick_for(&r, 0, 3 * HM_SEC);
	ck_assert_uint_eq(r.changes, 0);
}
END_TEST

/* Between the two limits the state stays. */
START_TEST(hysteresis)
{
	struct run r = { .now = START };

	tick_for(&r, 40 * HM_MS, 20 * HM_SEC);
	ck_assert(!r.delay.busy);
	tick_for(&r, 80 * HM_MS, 10 * HM_SEC);
	ck_assert(r.delay.busy);
	tick_for(&r, 20 * HM_MS, 20 * HM_SEC);
	ck_assert(r.delay.busy);
	tick_for(&r, 10 * HM_MS, 5 * HM_SEC);
	ck_assert(!r.delay.busy);
	ck_assert_uint_eq(r.changes, 2);
}
END_TEST

/* Guards against members that move more than 12 times a minute. */
START_TEST(at_most_one_change_in_five_seconds)
{
	struct run r = { .now = START };
	uint32_t i;

	for (i = 0; i < 12; i++) {
		tick_for(&r, 90 * HM_MS, 2500 * HM_MS);
		tick_for(&r, 0, 2500 * HM_MS);
	}
	ck_assert_uint_gt(r.changes, 1);
	ck_assert_uint_le(r.changes, 12);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("loop_delay");

	tcase_add_test(tc, late_for_a_second_is_busy);
	tcase_add_test(tc, pause_and_short_peak_are_not_busy);
	tcase_add_test(tc, hysteresis);
	tcase_add_test(tc, at_most_one_change_in_five_seconds);
	return suite_run("loop_delay", tc);
}
