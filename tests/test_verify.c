/** @file test_verify.c Scripted runs of answers that wait for evidence. */
#include <check.h>
#include <stdlib.h>

#include "bed_script.h"

static const char *const scripts[] = {
	"commit",	"late_evidence", "reads",   "roaming",	     "idle_age",
	"future_token", "unsure",	 "stalled", "members_change"
};

START_TEST(runs_as_expected)
{
	char *file =
		g_strdup_printf("tests/scripts/verify_%s.txt", scripts[_i]);
	char *fault = bed_script_run(file);

	ck_assert_msg(!fault, "%s", fault);
	g_free(file);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("verify");
	TCase *tc = tcase_create("verify");
	SRunner *runner;
	int failed;

	tcase_add_loop_test(tc, runs_as_expected, 0, G_N_ELEMENTS(scripts));
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
