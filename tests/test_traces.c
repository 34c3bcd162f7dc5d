/** @file test_traces.c Replays recorded traces of the two model deployments. */
#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "../src/replay.h"
#include "record.h"
#include "suite.h"

#define SEED 21

static const struct {
	const char *file;
	void (*fill)(struct model_site *site);
} sites[] = {
	{ "tests/traces/library-unit.jsonl", model_site_library },
	{ "tests/traces/tangle-and-twinkle.jsonl", model_site_tangle },
};

static char *record(int index)
{
	struct model_site site;

	sites[index].fill(&site);
	return record_site(&site, SEED);
}

/* A trace recorded by this build replays to the same actions. */
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

/*
 * Replays traces recorded by an earlier build. Different actions mean that the
 * core's behaviour changed: check that the change is intended, then record the
 * traces again with "make traces".
 */
START_TEST(recorded_before)
{
	const char *file = sites[_i].file;
	GString *out = g_string_new(NULL);
	char *text;

	if (g_getenv("RECORD_TRACES")) {
		text = record(_i);
		ck_assert(g_file_set_contents(file, text, -1, NULL));
		g_free(text);
	}
	ck_assert_msg(replay_file(file, false, out) == REPLAY_SAME,
		      "%s(\"make traces\" records them anew)", out->str);
	g_string_free(out, TRUE);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("traces");

	tcase_add_loop_test(tc, recorded_now, 0, G_N_ELEMENTS(sites));
	tcase_add_loop_test(tc, recorded_before, 0, G_N_ELEMENTS(sites));
	tcase_set_timeout(tc, 60);
	return suite_run("traces", tc);
}
