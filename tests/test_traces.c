/** @file test_traces.c Traces of both deployments. */
#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "../src/replay.h"
#include "record.h"

#define SEED 21

static const struct {
	void (*fill)(struct model_site *site);
} sites[] = {
	{ model_site_library },
	{ model_site_tangle },
};

static char *record(int index)
{
	struct model_site site;

	sites[index].fill(&site);
	return record_site(&site, SEED);
}

/* What is recorded now replays to the same actions. */
START_TEST(recorded_now)
{
	GString *out = g_string_new(NULL);
	char *text = record(_i);

	ck_assert_msg(replay_text("now", text, NULL, out) == REPLAY_SAME, "%s",
		      out->str);
	ck_assert_ptr_nonnull(strstr(text, "\"do\":\"answer\""));
	ck_assert_ptr_nonnull(strstr(text, "\"do\":\"execute\""));
	g_string_free(out, TRUE);
	g_free(text);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("traces");
	TCase *tc = tcase_create("traces");
	SRunner *runner;
	int failed;

	tcase_add_loop_test(tc, recorded_now, 0, G_N_ELEMENTS(sites));
	tcase_set_timeout(tc, 60);
	suite_add_tcase(suite, tc);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
