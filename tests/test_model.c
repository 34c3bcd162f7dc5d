/**
 * @file test_model.c
 * Simulates both reference deployments with the core under each single fault.
 * Checks that no guarantee is violated (bench_violations() counts 0) and that
 * the results reach the goals below.
 */
#include <check.h>
#include <glib.h>
#include <stdlib.h>

#include "../src/bench.h"
#include "suite.h"

#define SEED 1
#define DURATION (25 * HM_SEC)
/* Longest time without an acknowledged write during a single fault. */
#define GAP_GOAL (3 * HM_SEC)
/* Longest time that a withdrawn key may be served, unless a zone is cut off. */
#define WITHDRAW_GOAL (2 * HM_SEC)
/* Lower limit of worst_share (see bench.h) without a fault. */
#define SHARE_GOAL 0.95
/* Lower limits of replica_share without a fault; the second: with lag. */
#define REPLICA_GOAL 0.95
#define REPLICA_GOAL_LAG 0.80
/* Limits of wrong refusals per 10,000 requests inside the rate. */
#define WRONGFUL_STEADY_GOAL 1.0
#define WRONGFUL_FAULT_GOAL 10.0
/* Most statements that endpoints may get, in percent of the requests sent. */
#define LOAD_PERCENT_GOAL 115

static void print_row(const struct bench_result *r)
{
	const struct model_results *f = &r->sum;

	g_print("%s, %s: session %" G_GUINT64_FORMAT " age %" G_GUINT64_FORMAT
		" superseded %" G_GUINT64_FORMAT " not-run %" G_GUINT64_FORMAT
		" twice %" G_GUINT64_FORMAT " rate %" G_GUINT64_FORMAT
		" slots %" G_GUINT64_FORMAT " connections %" G_GUINT64_FORMAT
		"; replica %.3f gap %.2f s share %.3f wrongful %.2f\n",
		r->site, r->case_name, f->stale_session, f->stale_age,
		f->acked_superseded, f->wrong_not_run, f->run_twice,
		f->over_rate, f->over_slots, f->over_connections,
		r->replica_share, (double)r->gap_worst / HM_SEC, r->worst_share,
		r->wrongful_refusals);
}

static void check_goals(const struct bench_case *c,
			const struct bench_result *r)
{
	bool steady = c->fault == FAULT_NONE;

	ck_assert_uint_eq(r->violations, 0);
	ck_assert_uint_le(100 * r->sum.executions,
			  LOAD_PERCENT_GOAL * r->sum.sent);
	ck_assert_int_lt(r->gap_worst, GAP_GOAL);
	ck_assert(r->wrongful_refusals <
		  (steady ? WRONGFUL_STEADY_GOAL : WRONGFUL_FAULT_GOAL));
	if (steady)
		ck_assert(r->worst_share >= SHARE_GOAL);
	if (steady)
		ck_assert(r->replica_share >=
			  (c->lag ? REPLICA_GOAL_LAG : REPLICA_GOAL));
}

static void run_all(const struct model_site *site)
{
	struct bench_result row;
	size_t i;

	for (i = 0; i < bench_case_count; i++) {
		bench_run(&bench_cases[i], site, &model_core, SEED, 1, DURATION,
			  &row);
		print_row(&row);
		check_goals(&bench_cases[i], &row);
	}
}

START_TEST(library_meets_goals)
{
	struct model_site site;

	model_site_library(&site);
	run_all(&site);
}
END_TEST

START_TEST(tangle_meets_goals)
{
	struct model_site site;

	model_site_tangle(&site);
	run_all(&site);
}
END_TEST

/* Longest time that a withdrawn key may still be served in a case. */
static hm_time withdraw_limit(const struct bench_case *c)
{
	struct core_options o;

	core_options_default(&o);
	if (c->fault == FAULT_ZONE_CUT)
		return o.isolated_grace + HM_SEC;
	return WITHDRAW_GOAL;
}

START_TEST(withdrawn_key_stops)
{
	struct model_site site;
	size_t i;

	model_site_tangle(&site);
	for (i = 0; i < bench_case_count; i++) {
		const struct bench_case *c = &bench_cases[i];
		hm_time served = bench_withdraw_key(c, &site, SEED);

		g_print("%s: last served %.3f s after the withdrawal\n",
			c->name, (double)served / HM_SEC);
		ck_assert_int_lt(served, withdraw_limit(c));
	}
}
END_TEST

/*
 * An instance that restarts during an outage of the platform gets contracts
 * and groups from its peers.
 */
START_TEST(restart_without_platform_serves)
{
	struct model_plan plan = { 0 };
	struct model_results f;

	model_site_tangle(&plan.site);
	plan.server = &model_core;
	plan.seed = SEED;
	plan.duration = DURATION;
	plan.fault_count = 2;
	plan.faults[0] = (struct model_fault){ FAULT_PLATFORM_DOWN, 9 * HM_SEC,
					       DURATION };
	plan.faults[1] = (struct model_fault){ FAULT_INSTANCE_DEAD, 10 * HM_SEC,
					       12 * HM_SEC };
	model_run(&plan, &f);
	g_print("restart without platform: %" G_GUINT64_FORMAT
		" of %" G_GUINT64_FORMAT " refused wrongly\n",
		f.refused_wrongly, f.inside_rate);
	ck_assert_uint_eq(bench_violations(&f), 0);
	ck_assert(10000.0 * (double)f.refused_wrongly <
		  WRONGFUL_FAULT_GOAL * (double)f.inside_rate);
}
END_TEST

START_TEST(same_seed_same_results)
{
	struct model_site site;
	struct bench_result a, b;

	model_site_library(&site);
	bench_run(&bench_cases[4], &site, &model_core, 7, 1, 15 * HM_SEC, &a);
	bench_run(&bench_cases[4], &site, &model_core, 7, 1, 15 * HM_SEC, &b);
	ck_assert_mem_eq(&a.sum, &b.sum, sizeof(a.sum));
	ck_assert_int_eq(a.gap_worst, b.gap_worst);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("model");

	tcase_set_timeout(tc, 300);
	tcase_add_test(tc, library_meets_goals);
	tcase_add_test(tc, tangle_meets_goals);
	tcase_add_test(tc, withdrawn_key_stops);
	tcase_add_test(tc, restart_without_platform_serves);
	tcase_add_test(tc, same_seed_same_results);
	return suite_run("model", tc);
}
