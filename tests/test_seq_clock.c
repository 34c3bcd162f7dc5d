/**
 * @file test_seq_clock.c
 * Tests that seq_clock recognizes by its sequence number a statement that was
 * in transit for too long.
 */
#include <check.h>

#include "../core/seq_clock.h"
#include "suite.h"

#define STEP (10 * HM_MS)
#define FIRST (100 * HM_SEC)

/* Calls seq_clock_step() until @a until; one message is sent per step. */
static hm_time run(struct seq_clock *sc, uint64_t *seq, hm_time now,
		   hm_time until)
{
	for (; now < until; now += STEP)
		seq_clock_step(sc, ++*seq, now);
	return now;
}

START_TEST(recent_statements_are_accepted)
{
	struct seq_clock sc = { 0 };
	uint64_t seq = 0;
	hm_time now = run(&sc, &seq, FIRST, FIRST + 60 * HM_SEC);

	ck_assert(!seq_clock_is_stale(&sc, seq, now));
	ck_assert(!seq_clock_is_stale(&sc, seq - 200, now)); /* 2 s old */
}
END_TEST

START_TEST(old_statements_are_stale)
{
	struct seq_clock sc = { 0 };
	uint64_t seq = 0;
	hm_time now = run(&sc, &seq, FIRST, FIRST + 60 * HM_SEC);

	ck_assert(seq_clock_is_stale(&sc, seq - 340, now)); /* 3.4 s old */
	ck_assert(seq_clock_is_stale(&sc, 1, now));
}
END_TEST

START_TEST(new_instance_accepts_all)
{
	struct seq_clock sc = { 0 };
	uint64_t seq = 0;
	hm_time now = run(&sc, &seq, FIRST, FIRST + 2 * HM_SEC);

	ck_assert(!seq_clock_is_stale(&sc, 0, now));
}
END_TEST

/* The age of statements that queued up during a pause cannot be known. */
START_TEST(statements_from_a_pause_are_stale)
{
	struct seq_clock sc = { 0 };
	uint64_t seq = 0, before;
	hm_time now = run(&sc, &seq, FIRST, FIRST + 10 * HM_SEC);

	before = seq;
	now += 8 * HM_SEC;
	seq_clock_step(&sc, ++seq, now);
	ck_assert(seq_clock_is_stale(&sc, before, now));
	ck_assert(!seq_clock_is_stale(&sc, seq, now));
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("seq_clock");

	tcase_add_test(tc, recent_statements_are_accepted);
	tcase_add_test(tc, old_statements_are_stale);
	tcase_add_test(tc, new_instance_accepts_all);
	tcase_add_test(tc, statements_from_a_pause_are_stale);
	return suite_run("seq_clock", tc);
}
