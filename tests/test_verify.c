/**
 * @file test_verify.c
 * Scripted runs of the verify module, which holds back the result of a
 * statement until it is checked.
 */
#include <check.h>
#include <stdlib.h>

#include "suite.h"
#include "testbed_script.h"

static const char *const scripts[] = {
	"commit",	"late_evidence", "reads",   "roaming",	     "idle_age",
	"future_token", "unsure",	 "stalled", "members_change"
};

START_TEST(script_runs_as_expected)
{
	char *file =
		g_strdup_printf("tests/scripts/verify_%s.txt", scripts[_i]);
	char *fault = testbed_script_run(file);

	ck_assert_msg(!fault, "%s", fault);
	g_free(file);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("verify");

	tcase_add_loop_test(tc, script_runs_as_expected, 0,
			    G_N_ELEMENTS(scripts));
	return suite_run("verify", tc);
}
