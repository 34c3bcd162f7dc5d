/** @file test_failover.c Scripted runs of changes of primary. */
#include <check.h>
#include <stdlib.h>

#include "bed_script.h"

static const char *const scripts[] = {
	"primary_lost",	       "zone_cut",
	"silent_connection",   "orderer_lost",
	"two_orderers",	       "lost_answers",
	"during_failover",     "divergent_return",
	"minority_only",       "paused_and_cut",
	"leaving_primary",     "home_lost",
	"cut_and_lost_answer", "twice",
	"hung_primary",	       "fence_reached_one",
};

START_TEST(runs_as_expected)
{
	char *file =
		g_strdup_printf("tests/scripts/failover_%s.txt", scripts[_i]);
	char *fault = bed_script_run(file);

	ck_assert_msg(!fault, "%s", fault);
	g_free(file);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("failover");
	TCase *tc = tcase_create("failover");
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
