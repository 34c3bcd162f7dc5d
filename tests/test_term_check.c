/**
 * @file test_term_check.c
 * What the answers of the other members prove of a primary's term. One that
 * was superseded goes on to answer: its own answers prove nothing.
 */
#include <check.h>

#include "../core/term_check.h"
#include "suite.h"

/* Since when no later term than 4: asked, term, state asked, received, reborn. */
static const struct {
	uint32_t count;
	bool sync;
	struct term_report others[3];
	uint64_t since;
} cases[] = {
	/* All others follow: as old as the oldest answer. */
	{ 2, true, { { 7, 4, 0, 0, 0 }, { 9, 3, 0, 0, 0 } }, 7 },
	{ 3,
	  true,
	  { { 7, 4, 0, 0, 0 }, { 9, 4, 0, 0, 0 }, { 8, 4, 0, 0, 0 } },
	  7 },
	/* One shows a later term, whatever the others say. */
	{ 2, true, { { 7, 5, 0, 0, 0 }, { 9, 4, 0, 0, 0 } }, 0 },
	{ 2, true, { { 7, 4, 7, 5, 0 }, { 9, 4, 9, 4, 0 } }, 0 },
	/* One is silent: what it leads is received by one more member. */
	{ 2, true, { { 0, 0, 0, 0, 0 }, { 9, 4, 0, 0, 0 } }, 0 },
	{ 2, true, { { 0, 0, 0, 0, 0 }, { 9, 4, 8, 4, 0 } }, 8 },
	{ 3,
	  true,
	  { { 0, 0, 0, 0, 0 }, { 9, 4, 8, 4, 0 }, { 9, 4, 0, 0, 0 } },
	  0 },
	{ 3,
	  true,
	  { { 0, 0, 0, 0, 0 }, { 9, 4, 8, 4, 0 }, { 9, 4, 6, 4, 0 } },
	  6 },
	/* Without such a rule silence proves nothing. */
	{ 2, false, { { 0, 0, 0, 0, 0 }, { 9, 4, 8, 4, 0 } }, 0 },
	{ 2, false, { { 6, 4, 0, 0, 0 }, { 9, 4, 8, 4, 0 } }, 6 },
	/* Nobody else is known: somebody must have received, or nobody. */
	{ 0, true, { { 0 } }, 0 },
	{ 0, false, { { 0 } }, UINT64_MAX },
	{ 1, true, { { 0, 0, 3, 4, 0 } }, 3 },
	/* It started again at 6: it counts once all were asked since. */
	{ 2, true, { { 5, 4, 0, 0, 0 }, { 9, 4, 9, 4, 6 } }, 5 },
	{ 2, true, { { 7, 4, 0, 0, 0 }, { 9, 4, 9, 4, 6 } }, 9 },
	{ 1, true, { { 0, 0, 0, 0, 0 } }, 0 },
};

START_TEST(others_prove_that_a_term_stood)
{
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		ck_assert_msg(term_check_current_since(
				      cases[i].others, cases[i].count, 4,
				      cases[i].sync) == cases[i].since,
			      "case %zu", i);
}
END_TEST

START_TEST(newest_term_is_the_latest_applied_or_received)
{
	static const struct term_report others[] = {
		{ .probed = 7, .applied_term = 4, .received_term = 6 },
		{ .probed = 9, .applied_term = 5 },
	};

	ck_assert_uint_eq(term_check_newest(others, 0), 0);
	ck_assert_uint_eq(term_check_newest(others + 1, 1), 5);
	ck_assert_uint_eq(term_check_newest(others, 2), 6);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("standing");

	tcase_add_test(tc, others_prove_that_a_term_stood);
	tcase_add_test(tc, newest_term_is_the_latest_applied_or_received);
	return suite_run("standing", tc);
}
