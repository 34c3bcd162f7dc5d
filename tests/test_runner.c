/**
 * @file test_runner.c
 * tests/run passes over listed failing tests alone: a run must not become green
 * by an unlisted failure, a crash, or an entry that names no test.
 */
#include <check.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

#include "suite.h"

#define LISTED "test: test_budget jitter_follows_the_seed\n"
#define COUNTS "echo '50%: Checks: 2, Failures: 1, Errors: 0'\n"
/* As check does, which names no failures when it is to print the least. */
#define FAILS(function)                                   \
	"[ \"$CK_VERBOSITY\" = minimal ] || "             \
	"echo 'tests/test_budget.c:57:F:budget:" function \
	":0: Failed'\n" COUNTS "exit 1\n"

/* Runs tests/run on a fake program; returns its output, status in *ok. */
static char *run_with(const char *list, const char *script, gboolean *ok)
{
	char *dir = g_dir_make_tmp("runner-XXXXXX", NULL);
	char *program = g_build_filename(dir, "test_budget", NULL);
	char *red = g_build_filename(dir, "list", NULL);
	char *text = g_strconcat("#!/bin/sh\n", script, NULL);
	char *argv[] = { "tests/run", program, NULL };
	char **env = g_environ_setenv(g_get_environ(), "KNOWN_RED", red, TRUE);
	char *output = NULL;
	int status;

	ck_assert(g_file_set_contents(program, text, -1, NULL));
	ck_assert(g_file_set_contents(red, list, -1, NULL));
	ck_assert(!g_chmod(program, 0700));
	ck_assert(g_spawn_sync(NULL, argv, env, G_SPAWN_DEFAULT, NULL, NULL,
			       &output, NULL, &status, NULL));
	*ok = g_spawn_check_wait_status(status, NULL);
	g_unlink(program);
	g_unlink(red);
	g_rmdir(dir);
	g_strfreev(env);
	g_free(text);
	g_free(red);
	g_free(program);
	g_free(dir);
	return output;
}

static const struct {
	const char *list;
	const char *script;
	gboolean ok;
	const char *line; /* part of the output */
} runs[] = {
	{ "", "exit 0\n", TRUE, "1 passed, 0 failed" },
	{ "", FAILS("jitter_follows_the_seed"), FALSE, "FAILED: " },
	{ LISTED, FAILS("jitter_follows_the_seed"), TRUE,
	  "KNOWN RED: test_budget jitter_follows_the_seed fails" },
	{ LISTED, "exit 0\n", TRUE,
	  "KNOWN RED: test_budget jitter_follows_the_seed passes now" },
	{ LISTED, FAILS("fault_never_multiplies_load"), FALSE, "FAILED: " },
	{ LISTED,
	  "echo 'tests/test_budget.c:57:F:budget:jitter_follows_the_seed:0: "
	  "Failed'\nexit 1\n",
	  FALSE, "FAILED: " },
	{ "test: test_budget no_such_test\n", "exit 0\n", FALSE,
	  "KNOWN-RED names no test: test_budget no_such_test" },
};

START_TEST(only_listed_failures_are_passed_over)
{
	gboolean ok;
	char *output = run_with(runs[_i].list, runs[_i].script, &ok);

	ck_assert_msg(ok == runs[_i].ok, "%s", output);
	ck_assert_ptr_nonnull(strstr(output, runs[_i].line));
	g_free(output);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("runner");

	tcase_add_loop_test(tc, only_listed_failures_are_passed_over, 0,
			    G_N_ELEMENTS(runs));
	return suite_run("runner", tc);
}
