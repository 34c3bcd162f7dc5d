/** @file suite.c Runs the test case of a test program. */
#include "suite.h"

#include <stdlib.h>

int suite_run(const char *name, TCase *tc)
{
	Suite *suite = suite_create(name);
	SRunner *runner;
	int failed;

	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
