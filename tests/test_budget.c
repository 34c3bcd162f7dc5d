/**
 * @file test_budget.c
 * Tests the retry budget: retries add at most a tenth to the load, not a
 * multiple.
 */
#include <check.h>
#include <stdlib.h>

#include "../core/budget.h"
#include "suite.h"

#define RATE 200 /* requests per second */
#define SECONDS 30
#define TRIES 3

START_TEST(fault_never_multiplies_load)
{
	struct budget *b = budget_new(1);
	uint32_t retries = 0;
	uint32_t i, k;

	for (i = 0; i < RATE * SECONDS; i++) {
		hm_time now = i * HM_SEC / RATE;

		budget_request(b, 1 + i % 3, 9, now);
		for (k = 0; k < TRIES; k++)
			retries += budget_retry(b, 1 + i % 3, 9, now);
	}
	ck_assert_uint_gt(retries, RATE * SECONDS / 20);
	ck_assert_uint_le(retries, RATE * SECONDS / 10 + SECONDS / 2 + 10);
	budget_free(b);
}
END_TEST

START_TEST(one_account_leaves_retries_to_others)
{
	struct budget *b = budget_new(1);
	uint32_t i;

	for (i = 0; i < 100; i++)
		budget_retry(b, 1, 8, 0);
	ck_assert(!budget_retry(b, 1, 9, 0));
	ck_assert(budget_retry(b, 2, 9, 0));
	/* The first loop used up the budget of endpoint 8, too. */
	ck_assert(!budget_retry(b, 2, 8, 0));
	ck_assert(budget_retry(b, 1, 8, 2 * HM_SEC));
	budget_free(b);
}
END_TEST

START_TEST(jitter_follows_the_seed)
{
	struct budget *a = budget_new(5);
	struct budget *b = budget_new(5);
	uint32_t i;

	for (i = 1; i < 40; i++) {
		hm_time at = budget_retry_at(a, i, 100);

		ck_assert_int_eq(at, budget_retry_at(b, i, 100));
		ck_assert_int_gt(at, 100);
		ck_assert_int_le(at, 100 + HM_SEC);
	}
	budget_free(a);
	budget_free(b);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("budget");

	tcase_add_test(tc, fault_never_multiplies_load);
	tcase_add_test(tc, one_account_leaves_retries_to_others);
	tcase_add_test(tc, jitter_follows_the_seed);
	return suite_run("budget", tc);
}
