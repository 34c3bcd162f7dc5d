/**
 * @file test_monitor.c
 * Failover and switchover by the monitor of a service, with three simulated
 * members. The commands that the monitor sends are compared as text.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "monitor_fixture.h"
#include "suite.h"

START_TEST(healthy_service_is_only_probed)
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

START_TEST(most_advanced_replica_is_promoted_after_a_crash)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	r.fakes[1].pos = 98;
	monitor_fixture_run(&r, HM_SEC);
	monitor_fixture_crash(&r, 0);
	monitor_fixture_run(&r, 500 * HM_MS);
	proxy_text_expect(r.text, "pause m2\npause m3\npromote m3 token=1\n");
	monitor_fixture_promote(&r, 2);
	monitor_fixture_run(&r, HM_SEC);
	ck_assert_uint_eq(monitor_promotions(r.monitor), 1);
	ck_assert_uint_eq(monitor_fixture_view(&r).primary, 3);
	monitor_fixture_close(&r);
}
END_TEST

START_TEST(silent_primary_is_replaced_after_a_second_connection)
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

/* An unreachable replica may have acknowledged commits that others lack. */
START_TEST(silent_replica_blocks_promotion)
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

START_TEST(member_without_entry_counts_while_it_replies)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	monitor_fixture_run(&r, HM_SEC);
	r.fakes[2].pos = 120; /* has commits that m2 lacks */
	r.count = 2;
	monitor_fixture_publish(&r);
	monitor_fixture_crash(&r, 0);
	monitor_fixture_run(&r, 500 * HM_MS);
	proxy_text_expect(r.text, "pause m2\npause m3\npromote m3 token=1\n");
	monitor_fixture_close(&r);
}
END_TEST

/*
 * Run twinkle-pool scale-2 lost acknowledged commits: a zone was cut off with
 * the primary and a replica that had been primary until shortly before. These
 * two continued to acknowledge commits. Once their entries were gone, a member
 * without these commits was promoted.
 */
START_TEST(replica_departed_with_the_primary_blocks_promotion)
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
	r.count = 1; /* only m3 is registered */
	monitor_fixture_publish(&r);
	monitor_fixture_run(&r, 5 * HM_SEC);
	proxy_text_expect(r.text, "");
	monitor_fixture_close(&r);
}
END_TEST

START_TEST(replica_departed_earlier_does_not_block_promotion)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	monitor_fixture_run(&r, HM_SEC);
	r.fakes[2].refuses = true;
	r.count = 2;
	monitor_fixture_publish(&r);
	monitor_fixture_run(&r, 5 * HM_SEC); /* m2 receives all that m1 has */
	r.fakes[0].refuses = true;
	monitor_fixture_run(&r, 2 * HM_SEC);
	ck_assert_ptr_nonnull(strstr(r.text->str, "promote m2 token=1\n"));
	monitor_fixture_close(&r);
}
END_TEST

/*
 * Guards against lost commits: a monitor that had not seen the primary took two
 * silent members for it, as both were registered as primary, and promoted the
 * third, which lacked their commits (review/1).
 */
START_TEST(two_silent_members_block_promotion)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	r.fakes[0].refuses = true;
	r.fakes[1].refuses = true;
	r.fakes[1].spec.registered_primary = true;
	r.fakes[2].pos = 60;
	monitor_fixture_publish(&r);
	monitor_fixture_run(&r, 5 * HM_SEC);
	proxy_text_expect(r.text, "");
	r.fakes[0].refuses = false;
	r.fakes[0].writable = false;
	monitor_fixture_run(&r, HM_SEC);
	ck_assert_ptr_nonnull(strstr(r.text->str, "promote m1 token=1\n"));
	monitor_fixture_close(&r);
}
END_TEST

/*
 * Guards against a service that stays without a primary: a crashed member comes
 * back under another name, with its log, at its address.
 */
START_TEST(log_of_a_silent_member_is_at_its_address)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	r.fakes[2].pos = 60;
	monitor_fixture_run(&r, HM_SEC);
	r.fakes[0].refuses = true;
	r.fakes[1].refuses = true;
	monitor_fixture_run(&r, 2 * HM_SEC);
	proxy_text_expect(r.text, "");
	monitor_fixture_rename(&r, 1, "m5");
	r.fakes[1].refuses = false;
	monitor_fixture_publish(&r);
	monitor_fixture_run(&r, HM_SEC);
	ck_assert_ptr_nonnull(strstr(r.text->str, "promote m5 token=1\n"));
	monitor_fixture_close(&r);
}
END_TEST

/*
 * Guards against lost commits: a replica had acknowledged commits that the
 * other lacked, and started again under its name with an empty log.
 */
START_TEST(lost_log_blocks_promotion_until_another_has_it)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	r.fakes[1].pos = 60; /* m3 has acknowledged up to 100 */
	monitor_fixture_run(&r, HM_SEC);
	r.fakes[2].spec.started++;
	r.fakes[2].pos = 0;
	r.fakes[0].refuses = true;
	monitor_fixture_publish(&r);
	monitor_fixture_run(&r, 5 * HM_SEC);
	proxy_text_expect(r.text, "");
	r.fakes[0].refuses = false;
	r.fakes[1].pos = 100;
	monitor_fixture_run(&r, 2 * HM_SEC);
	monitor_fixture_crash(&r, 0);
	monitor_fixture_run(&r, 500 * HM_MS);
	ck_assert_ptr_nonnull(strstr(r.text->str, "promote m2 token=1\n"));
	monitor_fixture_close(&r);
}
END_TEST

START_TEST(switchover_waits_for_its_target)
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
	proxy_text_expect(r.text, "pause m3\n");
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
 * Scenario "primary_cut from the core" at 6 s: a primary that only the store
 * could not reach lost its entry, and writes to its service failed for 1.2 s.
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
	proxy_text_expect(r.text, "pause m3\npromote m2 token=1\n");
	monitor_fixture_promote(&r, 1);
	monitor_fixture_run(&r, HM_SEC);
	proxy_text_expect(r.text, "resume m3\n");
	monitor_fixture_close(&r);
}
END_TEST

/* After an outage of the store all entries are missing for a while. */
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
 * Run twinkle-pool primaries-zone-cut with seed 31 lost an acknowledged commit
 * at 22.3 s: the monitor of a zone that was cut off had promoted m2 and left m3
 * paused. The next monitor started a switchover to m3, which received no log.
 * It also took the former primary for the primary, so it did not pause that
 * member, which acknowledged further commits.
 */
START_TEST(switchover_skips_a_paused_target)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	r.token = 8; /* newer than that of the pause below */
	monitor_fixture_run(&r, HM_SEC);
	monitor_fixture_promote(&r, 1);
	r.fakes[0].pos = 90;
	monitor_fixture_run(&r, 3500 * HM_MS);
	r.fakes[2].paused_term = 9;
	r.fakes[1].spec.leaving = true;
	monitor_fixture_publish(&r);
	/* m3 is more advanced, and its last status was not paused. */
	monitor_fixture_run(&r, HM_SEC);
	proxy_text_expect(r.text, "pause m1\n");
	/*
	 * The switchover is given up. A promote call with a newer token
	 * invalidates older calls before any replica is resumed.
	 */
	monitor_fixture_run(&r, 1200 * HM_MS);
	proxy_text_expect(r.text,
			  "promote m2 token=10\nresume m1\nresume m3\n");
	ck_assert_uint_eq(r.fakes[2].paused_term, 0);
	monitor_fixture_close(&r);
}
END_TEST

/*
 * Guards against lost commits: a replica that only the primary and its owner
 * reached was silent when a switchover began. It confirmed commits that the
 * target did not receive before the promote call took effect.
 */
START_TEST(switchover_waits_while_a_voter_is_silent)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	monitor_fixture_run(&r, HM_SEC);
	r.fakes[2].refuses = true;
	r.fakes[2].conn = 0;
	r.fakes[2].silent = true;
	monitor_fixture_run(&r, 2 * HM_SEC);
	r.fakes[1].pos = 95; /* m3 had received 100, like m1 */
	r.fakes[0].spec.leaving = true;
	monitor_fixture_publish(&r);
	monitor_fixture_run(&r, HM_SEC);
	proxy_text_expect(r.text, "");
	/* m2 has what m1 has now, not what m3 may confirm next. */
	r.fakes[1].pos = 100;
	monitor_fixture_run(&r, HM_SEC);
	proxy_text_expect(r.text, "");
	ck_assert_ptr_nonnull(strstr(r.log->str,
				     "event=switchover_waits service=db "
				     "members=m3 missing=1 allowed=0\n"));
	r.fakes[2].refuses = r.fakes[2].silent = false;
	monitor_fixture_run(&r, HM_SEC);
	proxy_text_expect(r.text, "pause m3\npromote m2 token=1\n");
	monitor_fixture_close(&r);
}
END_TEST

START_TEST(switchover_waits_while_all_targets_are_paused)
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

/*
 * A promote call without an answer may take effect seconds later. Until a newer
 * token has made that impossible, no replica may acknowledge a commit that the
 * target lacks.
 */
START_TEST(lost_call_keeps_replicas_paused)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	monitor_fixture_run(&r, HM_SEC);
	r.fakes[0].silent = true;
	r.promote_silent = true;
	monitor_fixture_run(&r, 2 * HM_SEC);
	ck_assert_ptr_nonnull(strstr(r.text->str, "promote m2 token=1\n"));
	g_string_truncate(r.text, 0);
	/* The primary is back while the call is pending. */
	r.fakes[0].silent = false;
	monitor_fixture_run(&r, 2 * HM_SEC);
	ck_assert_ptr_null(strstr(r.text->str, "resume"));
	monitor_fixture_close(&r);
}
END_TEST

START_TEST(orphaned_pause_is_cancelled_then_resumed)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	r.token = 8; /* taken by that monitor */
	monitor_fixture_run(&r, HM_SEC);
	r.fakes[2].paused_term = 9; /* set by a monitor that has stopped */
	monitor_fixture_run(&r, 8 * HM_SEC);
	/* Promotes the current primary: only older calls become invalid. */
	proxy_text_expect(r.text, "promote m1 token=9\nresume m3\n");
	ck_assert_uint_eq(r.fakes[2].paused_term, 0);
	monitor_fixture_close(&r);
}
END_TEST

/*
 * Guards against refused writes: a member exited while it was paused, and the
 * monitor ended the change that had paused it again and again.
 */
START_TEST(paused_member_that_has_exited_is_not_resumed)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	r.fakes[2].paused_term = 9;
	monitor_fixture_run(&r, HM_SEC);
	monitor_fixture_crash(&r, 2);
	monitor_fixture_run(&r, 8 * HM_SEC);
	proxy_text_expect(r.text, "");
	monitor_fixture_close(&r);
}
END_TEST

START_TEST(nothing_is_paused_without_a_token)
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
	monitor_fixture_crash(&r, 0);
	monitor_fixture_run(&r, 400 * HM_MS);
	proxy_text_expect(r.text, "pause m2\npause m3\npromote m2 token=1\n");
	monitor_fixture_run(&r, 400 * HM_MS);
	ck_assert_ptr_nonnull(strstr(r.text->str, "promote m2 token=2\n"));
	monitor_fixture_close(&r);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("monitor");

	tcase_add_test(tc, healthy_service_is_only_probed);
	tcase_add_test(tc, most_advanced_replica_is_promoted_after_a_crash);
	tcase_add_test(tc,
		       silent_primary_is_replaced_after_a_second_connection);
	tcase_add_test(tc, silent_replica_blocks_promotion);
	tcase_add_test(tc, member_without_entry_counts_while_it_replies);
	tcase_add_test(tc, replica_departed_with_the_primary_blocks_promotion);
	tcase_add_test(tc, replica_departed_earlier_does_not_block_promotion);
	tcase_add_test(tc, two_silent_members_block_promotion);
	tcase_add_test(tc, log_of_a_silent_member_is_at_its_address);
	tcase_add_test(tc, lost_log_blocks_promotion_until_another_has_it);
	tcase_add_test(tc, switchover_waits_for_its_target);
	tcase_add_test(tc,
		       primary_without_an_entry_is_replaced_while_it_serves);
	tcase_add_test(tc, member_without_an_entry_is_no_target);
	tcase_add_test(tc, switchover_skips_a_paused_target);
	tcase_add_test(tc, switchover_waits_while_a_voter_is_silent);
	tcase_add_test(tc, switchover_waits_while_all_targets_are_paused);
	tcase_add_test(tc, lost_call_keeps_replicas_paused);
	tcase_add_test(tc, orphaned_pause_is_cancelled_then_resumed);
	tcase_add_test(tc, paused_member_that_has_exited_is_not_resumed);
	tcase_add_test(tc, nothing_is_paused_without_a_token);
	tcase_add_test(tc, rejected_call_takes_a_new_token);
	return suite_run("monitor", tc);
}
