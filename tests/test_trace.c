/**
 * @file test_trace.c
 * Tests that replaying a trace gives the recorded actions, that differences and
 * damage are reported, and that a trace contains no keys.
 */
#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "../src/replay.h"
#include "single_core.h"
#include "suite.h"

START_TEST(replay_gives_the_same_actions)
{
	GString *out = g_string_new(NULL);
	struct single_core s;
	char *text = single_core_record(3, &s);

	ck_assert_uint_ge(s.answers, SINGLE_CORE_REQUESTS / 2);
	ck_assert_uint_ge(s.answered_ok, SINGLE_CORE_REQUESTS / 4);
	ck_assert_msg(replay_text("t", text, NULL, out) == REPLAY_SAME, "%s",
		      out->str);
	g_string_free(out, TRUE);
	g_free(text);
}
END_TEST

START_TEST(trace_contains_no_key)
{
	struct single_core s;
	char *text = single_core_record(4, &s);

	ck_assert_ptr_null(strstr(text, "1122334455667788"));
	ck_assert_ptr_null(strstr(text, "99aabbccddeeff00"));
	/* The high half of the key in decimal must not be in the trace. */
	ck_assert_ptr_null(strstr(text, "1234605616436508552"));
	ck_assert_ptr_nonnull(strstr(text, "\"key\":1"));
	g_free(text);
}
END_TEST

START_TEST(same_seed_gives_the_same_trace)
{
	struct single_core s;
	char *first = single_core_record(5, &s),
	     *second = single_core_record(5, &s);

	ck_assert_str_eq(first, second);
	g_free(first);
	g_free(second);
}
END_TEST

/* Replaces the first @a from by @a to, which has the same length. */
static void overwrite(char *text, const char *from, const char *to)
{
	char *at = strstr(text, from);

	ck_assert_ptr_nonnull(at);
	memcpy(at, to, strlen(to));
}

START_TEST(different_actions_are_reported_and_updated)
{
	GString *out = g_string_new(NULL), *updated = g_string_new(NULL);
	struct single_core s;
	char *text = single_core_record(6, &s), *good = g_strdup(text);

	overwrite(text, "\"do\":\"connect\"", "\"do\":\"execute\"");
	ck_assert_int_eq(replay_text("t", text, updated, out), REPLAY_DIFFERS);
	ck_assert_ptr_nonnull(strstr(out->str, ": expected {"));
	ck_assert_ptr_nonnull(strstr(out->str, ", 1 differ\n"));
	ck_assert_str_eq(updated->str, good);
	g_string_free(out, TRUE);
	g_string_free(updated, TRUE);
	g_free(text);
	g_free(good);
}
END_TEST

/* Checks that a replay of @a text fails with the report @a expected. */
static void check_damaged(const char *text, const char *expected)
{
	GString *out = g_string_new(NULL);

	ck_assert_int_eq(replay_text("t", text, NULL, out), REPLAY_DAMAGED);
	ck_assert_str_eq(out->str, expected);
	g_string_free(out, TRUE);
}

#define HEADER                                                      \
	"{\"trace\":1,\"start\":5,\"options\":{\"instance\":\"1\"," \
	"\"life\":\"3e9\",\"zone_count\":1}}\n"

START_TEST(damage_is_reported_with_its_line)
{
	check_damaged("", "t:1: no header\n");
	check_damaged("{\"trace\":2,\"options\":{}}\n",
		      "t:1: trace: not a format that is known\n");
	check_damaged("{\"trace\":1,\"start\":5,\"options\":{}}\n",
		      "t:1: options: zones are out of range\n");
	check_damaged(HEADER "{\"at\":6,\"eve", "t:2: not a JSON object\n");
	check_damaged(HEADER "{\"at\":6,\"event\":\"tock\"}\n",
		      "t:2: event: not one of the known words\n");
	check_damaged(HEADER "{\"at\":6,\"tick\":1}\n",
		      "t:2: found unknown or superfluous fields\n");
	check_damaged(HEADER "{\"actions\":[]}\n",
		      "t:2: actions without an event\n");
	check_damaged(HEADER "{\"at\":\"6\"}\n",
		      "t:2: at: not a whole number\n");
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("trace");

	tcase_add_test(tc, replay_gives_the_same_actions);
	tcase_add_test(tc, trace_contains_no_key);
	tcase_add_test(tc, same_seed_gives_the_same_trace);
	tcase_add_test(tc, different_actions_are_reported_and_updated);
	tcase_add_test(tc, damage_is_reported_with_its_line);
	tcase_set_timeout(tc, 60);
	return suite_run("trace", tc);
}
