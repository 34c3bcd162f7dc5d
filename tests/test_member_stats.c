/**
 * @file test_member_stats.c
 * What is learned of members: execution times, failures and lag. Scripted, see
 * scripts/member_stats.txt.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "../core/member_stats.h"
#include "script.h"
#include "suite.h"

struct context {
	struct member_stats stats;
	hm_time now;
};

static enum member_outcome outcome_of(const char *line)
{
	if (g_str_has_prefix(line, "served"))
		return MEMBER_SERVED;
	if (g_str_has_prefix(line, "failed"))
		return MEMBER_FAILED;
	return g_str_has_prefix(line, "behind") ? MEMBER_BEHIND
						: MEMBER_SKIPPED;
}

static void print(struct context *c, GString *out)
{
	struct member_stats *s = &c->stats;

	g_string_append_printf(out,
			       "read=%lld write=%lld failures=%u ejected=%d\n",
			       (long long)member_stats_cost(s, false) / 1000,
			       (long long)member_stats_cost(s, true) / 1000,
			       member_stats_failures(s, c->now), s->ejected);
}

/* Prints for which ages of an own commit, in ms, the replica is behind. */
static void print_behind(const struct context *c, GString *out)
{
	static const int ages[] = { 0, 10, 30, 60, 100, 200 };
	size_t i;

	g_string_append(out, "behind:");
	for (i = 0; i < G_N_ELEMENTS(ages); i++)
		if (member_stats_is_behind(&c->stats, ages[i] * HM_MS, c->now))
			g_string_append_printf(out, " %d", ages[i]);
	g_string_append_c(out, '\n');
}

static void command(void *context, const char *line, GString *out)
{
	struct context *c = context;
	gint64 times = script_int(line, "times", 1);
	struct member_attempt a = {
		.outcome = outcome_of(line),
		.took = script_int(line, "took", 0) * HM_MS,
		.queue_wait = script_int(line, "wait", 0) * HM_MS,
		.writes = script_int(line, "writes", 0) != 0,
		.commit_age = script_int(line, "age", 0) * HM_MS,
	};

	if (g_str_has_prefix(line, "after")) {
		c->now += script_int(line, "ms", 0) * HM_MS;
	} else if (g_str_has_prefix(line, "show")) {
		print(c, out);
	} else if (g_str_has_prefix(line, "lag")) {
		print_behind(c, out);
	} else if (g_str_has_prefix(line, "judge")) {
		if (member_stats_fails(&c->stats,
				       (uint32_t)script_int(line, "others", 0),
				       c->now)) {
			member_stats_eject(&c->stats, c->now);
			g_string_append(out, "ejected\n");
		}
	} else if (g_str_has_prefix(line, "probe")) {
		if (member_stats_probe(&c->stats, c->now))
			g_string_append(out, "probe\n");
	} else {
		while (times-- > 0)
			member_stats_add(&c->stats, &a, c->now);
	}
}

START_TEST(learns_what_members_do)
{
	struct context c = { .now = 10 * HM_SEC };
	char *fault;

	fault = script_run("tests/scripts/member_stats.txt", command, &c);
	ck_assert_msg(!fault, "%s", fault);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("member_stats");

	tcase_add_test(tc, learns_what_members_do);
	return suite_run("member_stats", tc);
}
