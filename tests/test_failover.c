/**
 * @file test_failover.c
 * Scripted failovers, and the longest time without an acknowledged write while
 * the primary changes.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "suite.h"
#include "testbed.h"
#include "testbed_script.h"

#define GAP_RUNS 200
/** Longest allowed gap in writes, the stated goal. */
#define GAP_WORST (3 * HM_SEC)
#define GAP_LIMIT (20 * HM_SEC)
/** Ticks after which a client without a response tries again. */
#define CLIENT_RETRY_TICKS 10

static const char *const scripts[] = {
	"primary_lost",
	"zone_cut",
	"silent_connection",
	"orderer_lost",
	"two_orderers",
	"lost_answers",
	"during_failover",
	"divergent_return",
	"minority_only",
	"paused_and_cut",
	"leaving_primary",
	"home_lost",
	"cut_and_lost_answer",
	"twice",
	"hung_primary",
	"fence_reached_one",
	"long_tail",
	"flap",
	"stalled",
	"stalled_early",
};

START_TEST(script_runs_as_expected)
{
	char *file =
		g_strdup_printf("tests/scripts/failover_%s.txt", scripts[_i]);
	char *fault = testbed_script_run(file);

	ck_assert_msg(!fault, "%s", fault);
	g_free(file);
}
END_TEST

/* Writes until one is acknowledged; returns the simulated time it took. */
static hm_time until_write(struct testbed *b)
{
	hm_time begun_at = b->now;
	uint64_t acks = b->acks;

	while (b->acks == acks && b->now - begun_at < GAP_LIMIT) {
		if ((b->now - begun_at) / CORE_TICK % CLIENT_RETRY_TICKS == 0)
			b->sessions[0].pending = 0;
		testbed_write(b, 0, 2);
		testbed_pass(b, CORE_TICK);
	}
	return b->now - begun_at;
}

static void cut_zone(struct testbed *b)
{
	uint32_t i;

	for (i = 0; i < TESTBED_NODES; i++) {
		if (i % TESTBED_PROXIES == 0)
			continue;
		testbed_cut(b, 0, i, true);
		testbed_cut(b, TESTBED_PROXIES, i, true);
	}
}

static void refuse(struct testbed *b)
{
	b->fakes.members[0].down = true;
}

static void hang(struct testbed *b)
{
	b->slow_failures = true;
	b->fakes.members[0].down = true;
}

static void cut(struct testbed *b)
{
	b->slow_failures = true;
	cut_zone(b);
}

static void lose_zone(struct testbed *b)
{
	hang(b);
	b->proxies[0].paused = true;
}

static const struct {
	const char *name;
	void (*inject)(struct testbed *b);
} faults[] = {
	{ "refuses", refuse },
	{ "hangs", hang },
	{ "zone_cut", cut },
	{ "zone_lost", lose_zone },
};

static int by_time(const void *a, const void *b)
{
	const hm_time *x = a;
	const hm_time *y = b;

	return (*x > *y) - (*x < *y);
}

static hm_time gap(uint64_t seed, void (*inject)(struct testbed *b))
{
	static struct testbed b;
	struct core_options limits;
	hm_time gap;

	core_options_default(&limits);
	testbed_init(&b, seed, 0, &limits);
	testbed_pass(&b, 2 * HM_SEC + (hm_time)(seed % 50) * CORE_TICK);
	inject(&b);
	gap = until_write(&b);
	ck_assert(!b.violation);
	testbed_free(&b);
	return gap;
}

START_TEST(write_gap_is_short)
{
	hm_time gaps[GAP_RUNS];
	uint32_t i;

	for (i = 0; i < GAP_RUNS; i++)
		gaps[i] = gap(i + 1, faults[_i].inject);
	qsort(gaps, GAP_RUNS, sizeof(gaps[0]), by_time);
	printf("gap primary=%s runs=%d median_ms=%d worst_ms=%d\n",
	       faults[_i].name, GAP_RUNS, (int)(gaps[GAP_RUNS / 2] / HM_MS),
	       (int)(gaps[GAP_RUNS - 1] / HM_MS));
	ck_assert_int_lt(gaps[GAP_RUNS - 1], GAP_WORST);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("failover");

	tcase_add_loop_test(tc, script_runs_as_expected, 0,
			    G_N_ELEMENTS(scripts));
	tcase_add_loop_test(tc, write_gap_is_short, 0, G_N_ELEMENTS(faults));
	return suite_run("failover", tc);
}
