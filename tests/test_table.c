/**
 * @file test_table.c
 * Random operations on the hash table; a plain array gives the expected
 * results.
 */
#include <check.h>
#include <stdlib.h>

#include "../core/rng.h"
#include "../core/table.h"
#include "suite.h"

#define KEYS 500
#define STEPS 20000

START_TEST(agrees_with_array)
{
	uint32_t expected[KEYS];
	struct rng rng = { 7 };
	struct table t = { 0 };
	uint32_t i, key;

	for (i = 0; i < KEYS; i++)
		expected[i] = TABLE_NONE;
	for (i = 0; i < STEPS; i++) {
		key = (uint32_t)rng_below(&rng, KEYS);
		if (rng_below(&rng, 3)) {
			ck_assert(table_put(&t, key, i));
			expected[key] = i;
		} else {
			table_remove(&t, key);
			expected[key] = TABLE_NONE;
		}
		key = (uint32_t)rng_below(&rng, KEYS);
		ck_assert_uint_eq(table_get(&t, key), expected[key]);
	}
	table_free(&t);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("table");

	tcase_add_test(tc, agrees_with_array);
	return suite_run("table", tc);
}
