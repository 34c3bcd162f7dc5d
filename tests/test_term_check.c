/**
 * @file test_term_check.c
 * How reports of the other members confirm a primary's term. A superseded
 * primary continues to reply, so its own replies confirm nothing.
 */
#include <check.h>

#include "../core/term_check.h"
#include "suite.h"

/*
 * Expected results for term 4. The initializers of a report are in the order of
 * struct term_report: probed, applied_term, status_probed, received_term,
 * restarted.
 */
static const struct {
	uint32_t count;
	bool sync;
	struct term_report others[3];
	uint64_t since;
} cases[] = {
	/* No report shows a later term: confirmed since the oldest probe. */
	{ 2, true, { { 7, 4, 0, 0, 0 }, { 9, 3, 0, 0, 0 } }, 7 },
	{ 3,
	  true,
	  { { 7, 4, 0, 0, 0 }, { 9, 4, 0, 0, 0 }, { 8, 4, 0, 0, 0 } },
	  7 },
	/* One report shows a later term: nothing is confirmed. */
	{ 2, true, { { 7, 5, 0, 0, 0 }, { 9, 4, 0, 0, 0 } }, 0 },
	{ 2, true, { { 7, 4, 7, 5, 0 }, { 9, 4, 9, 4, 0 } }, 0 },
	/*
	 * One member is silent: if it were a later primary, one more member
	 * would have received its commits.
	 */
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
	/*
	 * Commits wait for no replica: a silent member may be a later primary
	 * without any trace in the other reports.
	 */
	{ 2, false, { { 0, 0, 0, 0, 0 }, { 9, 4, 8, 4, 0 } }, 0 },
	{ 2, false, { { 6, 4, 0, 0, 0 }, { 9, 4, 8, 4, 0 } }, 6 },
	/* No other members: confirmed only if commits wait for no replica. */
	{ 0, true, { { 0 } }, 0 },
	{ 0, false, { { 0 } }, UINT64_MAX },
	{ 1, true, { { 0, 0, 3, 4, 0 } }, 3 },
	/*
	 * The second member restarted at 6: its status counts once all others
	 * have replied since then.
	 */
	{ 2, true, { { 5, 4, 0, 0, 0 }, { 9, 4, 9, 4, 6 } }, 5 },
	{ 2, true, { { 7, 4, 0, 0, 0 }, { 9, 4, 9, 4, 6 } }, 9 },
	{ 1, true, { { 0, 0, 0, 0, 0 } }, 0 },
};

START_TEST(reports_of_others_confirm_a_term)
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
	TCase *tc = tcase_create("term_check");

	tcase_add_test(tc, reports_of_others_confirm_a_term);
	tcase_add_test(tc, newest_term_is_the_latest_applied_or_received);
	return suite_run("term_check", tc);
}
