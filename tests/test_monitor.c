/**
 * @file test_monitor.c
 * When, whom and how the keeper of a service promotes, against members that
 * answer as told. Runs are compared as text.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "monitor_fixture.h"
#include "suite.h"

START_TEST(calm_service_is_only_watched)
{
	struct service_view v;
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	monitor_fixture_run(&r, 10 * HM_SEC);
	proxy_text_expect(r.text, "");
	v = monitor_fixture_view(&r);
	ck_assert_uint_eq(v.primary, 1);
	ck_assert_uint_eq(v.count, MONITOR_FIXTURE_MEMBERS);
	monitor_fixture_close(&r);
}
END_TEST

START_TEST(furthest_replica_follows_a_crash)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	monitor_fixture_run(&r, HM_SEC);
	r.fakes[1].pos = 98;
	r.fakes[0].refuses = true;
	monitor_conn_closed(r.monitor, r.fakes[0].conn, ERR_NO_ENDPOINT, r.now,
			    &r.out);
	monitor_fixture_run(&r, 500 * HM_MS);
	proxy_text_expect(r.text, "hold m2\nhold m3\npromote m3 token=1\n");
	monitor_fixture_promote(&r, 2);
	monitor_fixture_run(&r, HM_SEC);
	ck_assert_uint_eq(monitor_promotions(r.monitor), 1);
	ck_assert_uint_eq(monitor_fixture_view(&r).primary, 3);
	monitor_fixture_close(&r);
}
END_TEST

START_TEST(dark_primary_is_replaced_after_a_second_connection)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	monitor_fixture_run(&r, HM_SEC);
	r.fakes[0].silent = true;
	monitor_fixture_run(&r, 600 * HM_MS);
	proxy_text_expect(r.text, "");
	monitor_fixture_run(&r, 900 * HM_MS);
	ck_assert_ptr_nonnull(strstr(r.text->str, "promote m2 token=1\n"));
	monitor_fixture_close(&r);
}
END_TEST

/* A replica out of reach may hold acknowledged commits that others lack. */
START_TEST(nobody_is_promoted_past_a_silent_replica)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	monitor_fixture_run(&r, HM_SEC);
	r.fakes[0].refuses = true;
	r.fakes[2].silent = true;
	monitor_fixture_run(&r, 5 * HM_SEC);
	proxy_text_expect(r.text, "");
	r.fakes[2].silent = false;
	monitor_fixture_run(&r, 2 * HM_SEC);
	ck_assert_ptr_nonnull(strstr(r.text->str, "promote m2 token=1\n"));
	monitor_fixture_close(&r);
}
END_TEST

START_TEST(member_without_entry_counts_while_it_answers)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	monitor_fixture_run(&r, HM_SEC);
	r.fakes[2].pos = 120; /* has what m2 lacks */
	r.count = 2;
	monitor_fixture_publish(&r);
	r.fakes[0].refuses = true;
	monitor_conn_closed(r.monitor, r.fakes[0].conn, ERR_NO_ENDPOINT, r.now,
			    &r.out);
	monitor_fixture_run(&r, 500 * HM_MS);
	proxy_text_expect(r.text, "hold m2\nhold m3\npromote m3 token=1\n");
	monitor_fixture_close(&r);
}
END_TEST

/*
 * LOST, twinkle-pool scale-2: a zone was cut off with the primary and the
 * replica that had just been replaced as primary. The two went on to
 * acknowledge commits; once their entries were gone, another was promoted.
 */
START_TEST(nobody_is_promoted_when_a_replica_left_with_the_primary)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	monitor_fixture_run(&r, HM_SEC);
	r.fakes[0].silent = true;
	r.fakes[1].silent = true;
	monitor_fixture_run(&r, 3 * HM_SEC);
	r.fakes[0].spec = r.fakes[2].spec;
	r.fakes[0].silent = false;
	r.fakes[0].writable = false;
	r.count = 1; /* m3 alone is registered */
	monitor_fixture_publish(&r);
	monitor_fixture_run(&r, 5 * HM_SEC);
	proxy_text_expect(r.text, "");
	monitor_fixture_close(&r);
}
END_TEST

START_TEST(replica_that_left_before_counts_no_more)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	monitor_fixture_run(&r, HM_SEC);
	r.fakes[2].refuses = true;
	r.count = 2;
	monitor_fixture_publish(&r);
	monitor_fixture_run(&r,
			    5 * HM_SEC); /* m2 has received what m1 had since */
	r.fakes[0].refuses = true;
	monitor_fixture_run(&r, 2 * HM_SEC);
	ck_assert_ptr_nonnull(strstr(r.text->str, "promote m2 token=1\n"));
	monitor_fixture_close(&r);
}
END_TEST

START_TEST(planned_change_waits_for_its_target)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	r.fakes[1].pos = 90;
	r.fakes[2].pos = 95;
	monitor_fixture_run(&r, HM_SEC);
	r.fakes[2].spec.leaving = true;
	r.fakes[0].spec.leaving = true;
	monitor_fixture_publish(&r);
	monitor_fixture_run(&r, 500 * HM_MS);
	proxy_text_expect(r.text, "hold m3\n");
	r.fakes[1].pos = 96;
	monitor_fixture_run(&r, 500 * HM_MS);
	proxy_text_expect(r.text, "promote m2 token=1\n");
	monitor_fixture_promote(&r, 1);
	monitor_fixture_run(&r, HM_SEC);
	proxy_text_expect(r.text, "resume m3\n");
	monitor_fixture_close(&r);
}
END_TEST

/*
 * A call without an answer may be carried out seconds later. Until a newer
 * token has made that impossible, no replica may acknowledge a commit that
 * the target lacks.
 */
/*
 * primary_cut from the core, 6 s: a primary that the store alone does not
 * hear lost its entry, and its service 1.2 s of writes.
 */
START_TEST(primary_without_an_entry_is_replaced_while_it_serves)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	monitor_fixture_run(&r, HM_SEC);
	r.fakes[0].spec.missing_since = r.now;
	monitor_fixture_publish(&r);
	monitor_fixture_run(&r, 2 * HM_SEC);
	proxy_text_expect(r.text, "");
	monitor_fixture_run(&r, 500 * HM_MS);
	proxy_text_expect(r.text, "hold m3\npromote m2 token=1\n");
	monitor_fixture_promote(&r, 1);
	monitor_fixture_run(&r, HM_SEC);
	proxy_text_expect(r.text, "resume m3\n");
	monitor_fixture_close(&r);
}
END_TEST

/* After an outage of the store all entries are late. */
START_TEST(member_without_an_entry_is_no_target)
{
	struct monitor_fixture r;
	uint32_t i;

	monitor_fixture_open(&r);
	monitor_fixture_run(&r, HM_SEC);
	for (i = 0; i < MONITOR_FIXTURE_MEMBERS; i++)
		r.fakes[i].spec.missing_since = r.now;
	monitor_fixture_publish(&r);
	monitor_fixture_run(&r, 4 * HM_SEC);
	proxy_text_expect(r.text, "");
	monitor_fixture_close(&r);
}
END_TEST

/*
 * twinkle-pool, primaries-zone-cut seed 31, LOST at 22.3 s: the keeper of a
 * zone that was cut off had promoted m2 and left m3 held. The next keeper
 * planned a change to m3, which received nothing, and took the member that
 * had led before for the primary: it was not held and let commits through.
 */
START_TEST(planned_change_takes_no_held_target)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	monitor_fixture_run(&r, HM_SEC);
	monitor_fixture_promote(&r, 1);
	r.fakes[0].pos = 90;
	monitor_fixture_run(&r, 3500 * HM_MS);
	r.fakes[2].paused_term = 9;
	r.fakes[1].spec.leaving = true;
	monitor_fixture_publish(&r);
	/* m3 is further, and was not held when it was last asked. */
	monitor_fixture_run(&r, HM_SEC);
	proxy_text_expect(r.text, "hold m1\n");
	/* Given up: older calls are void before anything is resumed. */
	monitor_fixture_run(&r, 1200 * HM_MS);
	proxy_text_expect(r.text, "promote m2 token=2\nresume m1\nresume m3\n");
	ck_assert_uint_eq(r.fakes[2].paused_term, 0);
	monitor_fixture_close(&r);
}
END_TEST

/*
 * twinkle-pool, primaries-zone-cut --vary --seed 888509524187, LOST at 30.8 s:
 * a replica that left behind a cut had let commits through, and the primary
 * was replaced by one that had not caught up yet.
 */
START_TEST(planned_change_waits_for_what_a_silent_replica_had)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	monitor_fixture_run(&r, HM_SEC);
	r.fakes[2].refuses = true;
	r.fakes[2].conn = 0;
	r.fakes[2].silent = true;
	monitor_fixture_run(&r, 2 * HM_SEC);
	r.fakes[1].pos = 95; /* m3 had all 100 of m1 */
	r.fakes[0].spec.leaving = true;
	monitor_fixture_publish(&r);
	monitor_fixture_run(&r, HM_SEC);
	proxy_text_expect(r.text, "");
	r.fakes[1].pos = 100;
	monitor_fixture_run(&r, 500 * HM_MS);
	proxy_text_expect(r.text, "promote m2 token=1\n");
	monitor_fixture_close(&r);
}
END_TEST

START_TEST(planned_change_waits_while_its_target_is_held)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	monitor_fixture_run(&r, HM_SEC);
	r.fakes[1].paused_term = 9;
	r.fakes[2].paused_term = 9;
	monitor_fixture_run(&r, 3500 * HM_MS);
	r.fakes[0].spec.leaving = true;
	monitor_fixture_publish(&r);
	monitor_fixture_run(&r, HM_SEC);
	proxy_text_expect(r.text, "");
	monitor_fixture_close(&r);
}
END_TEST

START_TEST(lost_call_keeps_replicas_held)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	monitor_fixture_run(&r, HM_SEC);
	r.fakes[0].silent = true;
	r.promote_silent = true;
	monitor_fixture_run(&r, 2 * HM_SEC);
	ck_assert_ptr_nonnull(strstr(r.text->str, "promote m2 token=1\n"));
	g_string_truncate(r.text, 0);
	r.fakes[0].silent = false; /* the primary is back, the call is open */
	monitor_fixture_run(&r, 2 * HM_SEC);
	ck_assert_ptr_null(strstr(r.text->str, "resume"));
	monitor_fixture_close(&r);
}
END_TEST

START_TEST(hold_that_nobody_owns_is_voided_then_resumed)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	monitor_fixture_run(&r, HM_SEC);
	r.fakes[2].paused_term = 9; /* by a keeper that is gone */
	monitor_fixture_run(&r, 8 * HM_SEC);
	/* The present primary: nothing changes, older calls are void. */
	proxy_text_expect(r.text, "promote m1 token=1\nresume m3\n");
	ck_assert_uint_eq(r.fakes[2].paused_term, 0);
	monitor_fixture_close(&r);
}
END_TEST

START_TEST(nothing_is_held_without_a_token)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	monitor_fixture_run(&r, HM_SEC);
	r.token_silent = true;
	r.fakes[0].refuses = true;
	monitor_fixture_run(&r, 5 * HM_SEC);
	proxy_text_expect(r.text, "");
	monitor_fixture_close(&r);
}
END_TEST

START_TEST(rejected_call_takes_a_new_token)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	monitor_fixture_run(&r, HM_SEC);
	r.outcome = PROMOTE_REJECTED;
	r.fakes[0].refuses = true;
	monitor_conn_closed(r.monitor, r.fakes[0].conn, ERR_NO_ENDPOINT, r.now,
			    &r.out);
	monitor_fixture_run(&r, 400 * HM_MS);
	proxy_text_expect(r.text, "hold m2\nhold m3\npromote m2 token=1\n");
	monitor_fixture_run(&r, 400 * HM_MS);
	ck_assert_ptr_nonnull(strstr(r.text->str, "promote m2 token=2\n"));
	monitor_fixture_close(&r);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("keeper");

	tcase_add_test(tc, calm_service_is_only_watched);
	tcase_add_test(tc, furthest_replica_follows_a_crash);
	tcase_add_test(tc, dark_primary_is_replaced_after_a_second_connection);
	tcase_add_test(tc, nobody_is_promoted_past_a_silent_replica);
	tcase_add_test(tc, member_without_entry_counts_while_it_answers);
	tcase_add_test(tc,
		       nobody_is_promoted_when_a_replica_left_with_the_primary);
	tcase_add_test(tc, replica_that_left_before_counts_no_more);
	tcase_add_test(tc, planned_change_waits_for_its_target);
	tcase_add_test(tc,
		       primary_without_an_entry_is_replaced_while_it_serves);
	tcase_add_test(tc, member_without_an_entry_is_no_target);
	tcase_add_test(tc, planned_change_takes_no_held_target);
	tcase_add_test(tc, planned_change_waits_for_what_a_silent_replica_had);
	tcase_add_test(tc, planned_change_waits_while_its_target_is_held);
	tcase_add_test(tc, lost_call_keeps_replicas_held);
	tcase_add_test(tc, hold_that_nobody_owns_is_voided_then_resumed);
	tcase_add_test(tc, nothing_is_held_without_a_token);
	tcase_add_test(tc, rejected_call_takes_a_new_token);
	return suite_run("keeper", tc);
}
