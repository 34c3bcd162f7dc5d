/**
 * @file test_voters.c
 * The record of a service's voters, as a monitor keeps it and counts by it: who
 * becomes a voter, who stays one, and which promotions wait.
 */
#include <check.h>
#include <string.h>

#include "monitor_fixture.h"
#include "suite.h"

/* Only m3 is registered; m1 and m2 reply to nobody. */
static void leave_only_m3(struct monitor_fixture *r)
{
	r->fakes[0].silent = true;
	r->fakes[1].silent = true;
	r->fakes[2].pos = 60;
	r->fakes[0].spec = r->fakes[2].spec;
	r->fakes[0].pos = 60;
	r->fakes[0].silent = false;
	r->fakes[0].writable = false;
	r->count = 1;
}

/*
 * Guards against lost commits: a monitor that starts after the entries of two
 * lost members have gone knew of the third alone, and promoted it without the
 * commits of the others (review/1).
 */
START_TEST(new_monitor_waits_for_voters_without_an_entry)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	monitor_fixture_run(&r, HM_SEC);
	leave_only_m3(&r);
	monitor_fixture_restart(&r);
	monitor_fixture_run(&r, 10 * HM_SEC);
	proxy_text_expect(r.text, "");
	monitor_fixture_close(&r);
}
END_TEST

/*
 * Guards against lost commits: a zone that returns from a partition knew the
 * members from before it, all of them in reach and none of them primary, and
 * promoted one of them beside the running primary (review/3).
 */
START_TEST(old_list_of_members_does_not_promote)
{
	struct monitor_fixture r;
	uint32_t i;

	monitor_fixture_open(&r);
	monitor_fixture_run(&r, HM_SEC);
	/* Meanwhile m4 and m5 became voters, and m4 the primary of term 2. */
	voter_record_add(&r.record, 4, 1, "m4", "10.0.0.4:1");
	voter_record_add(&r.record, 5, 1, "m5", "10.0.0.5:1");
	r.record.voters.at.revision++;
	r.fakes[0].writable = false;
	for (i = 0; i < MONITOR_FIXTURE_MEMBERS; i++)
		r.fakes[i].pos = 90;
	monitor_fixture_run(&r, 10 * HM_SEC);
	ck_assert_ptr_null(strstr(r.text->str, "promote"));
	monitor_fixture_close(&r);
}
END_TEST

START_TEST(registered_member_becomes_a_voter)
{
	struct monitor_fixture r;
	uint32_t calls;

	monitor_fixture_open(&r);
	voter_record_remove(&r.record, 2);
	r.count = 2;
	monitor_fixture_publish(&r);
	monitor_fixture_run(&r, 2 * HM_SEC);
	ck_assert(!monitor_fixture_is_voter(&r, 2));
	calls = r.record_calls;
	r.count = 3;
	monitor_fixture_publish(&r);
	monitor_fixture_run(&r, 2 * HM_SEC);
	ck_assert(monitor_fixture_is_voter(&r, 2));
	ck_assert_uint_eq(monitor_fixture_view(&r).voters.count, 3);
	monitor_fixture_run(&r, 60 * HM_SEC);
	ck_assert_uint_eq(r.record_calls, calls + 1);
	monitor_fixture_close(&r);
}
END_TEST

START_TEST(leaving_member_becomes_no_voter)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	voter_record_remove(&r.record, 2);
	r.fakes[2].spec.leaving = true;
	monitor_fixture_publish(&r);
	monitor_fixture_run(&r, 3 * HM_SEC);
	ck_assert(!monitor_fixture_is_voter(&r, 2));
	monitor_fixture_close(&r);
}
END_TEST

/*
 * Guards against lost commits: a member that registers after a change of
 * primary has counted the voters is paused by nobody and may complete commits.
 */
START_TEST(no_voter_is_added_during_a_change)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	voter_record_remove(&r.record, 2);
	r.count = 2;
	monitor_fixture_publish(&r);
	monitor_fixture_run(&r, HM_SEC);
	r.promote_silent = true;
	monitor_fixture_crash(&r, 0);
	monitor_fixture_run(&r, 500 * HM_MS);
	ck_assert_ptr_nonnull(strstr(r.text->str, "promote m2"));
	r.count = 3;
	monitor_fixture_publish(&r);
	monitor_fixture_run(&r, 2 * HM_SEC);
	ck_assert(!monitor_fixture_is_voter(&r, 2));
	ck_assert(r.record.changing);
	monitor_fixture_promote(&r, 1);
	monitor_fixture_run(&r, 3 * HM_SEC);
	ck_assert(monitor_fixture_is_voter(&r, 2));
	ck_assert(!r.record.changing);
	ck_assert_uint_eq(r.record.voters.term, 2);
	monitor_fixture_close(&r);
}
END_TEST

/*
 * The promote call of a monitor that died may still be executed. Only a newer
 * token makes that impossible; until then no voter is added.
 */
START_TEST(change_of_a_lost_monitor_is_ended_by_a_newer_token)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	voter_record_remove(&r.record, 2);
	r.record.changing = true;
	r.record.token = r.token = 7;
	monitor_fixture_run(&r, 4 * HM_SEC);
	ck_assert(!monitor_fixture_is_voter(&r, 2));
	proxy_text_expect(r.text, "");
	monitor_fixture_run(&r, 5 * HM_SEC);
	proxy_text_expect(r.text, "promote m1 token=8\n");
	ck_assert(monitor_fixture_is_voter(&r, 2));
	ck_assert(!r.record.changing);
	monitor_fixture_close(&r);
}
END_TEST

/*
 * Guards against lost commits: a monitor ended a change for the primary that it
 * knew, although another one had been promoted, had committed and had crashed.
 */
START_TEST(change_is_not_ended_for_a_primary_that_may_be_superseded)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	monitor_fixture_run(&r, HM_SEC);
	r.record.changing = true;
	r.record.token = r.token = 7;
	r.record.voters.at.revision++;
	r.fakes[1].silent = true;
	r.fakes[2].silent = true;
	monitor_fixture_restart(&r);
	monitor_fixture_run(&r, 10 * HM_SEC);
	proxy_text_expect(r.text, "");
	r.fakes[1].silent = false;
	monitor_fixture_run(&r, 2 * HM_SEC);
	proxy_text_expect(r.text, "promote m1 token=8\n");
	monitor_fixture_close(&r);
}
END_TEST

/*
 * Guards against lost commits: an instance back from a partition promoted by its
 * list from before, in which an empty member had not started again yet.
 */
START_TEST(outdated_list_begins_no_failover)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	monitor_fixture_run(&r, HM_SEC);
	r.members_outdated = true;
	monitor_fixture_run(&r, 3 * HM_SEC);
	monitor_fixture_crash(&r, 0);
	monitor_fixture_run(&r, 3 * HM_SEC);
	proxy_text_expect(r.text, "");
	r.members_outdated = false;
	monitor_fixture_run(&r, HM_SEC);
	ck_assert_ptr_nonnull(strstr(r.text->str, "promote m2 token=1\n"));
	monitor_fixture_close(&r);
}
END_TEST

/* m3 leaves: its entry disappears, and it no longer listens. */
static void let_m3_leave(struct monitor_fixture *r)
{
	r->fakes[2].spec.leaving = true;
	monitor_fixture_publish(r);
	monitor_fixture_run(r, HM_SEC);
	r->fakes[2].refuses = true;
	r->fakes[2].spec.missing_since = r->now;
	monitor_conn_closed(r->monitor, r->fakes[2].conn, ERR_NO_ENDPOINT,
			    r->now, &r->out);
	monitor_fixture_publish(r);
}

START_TEST(voter_that_left_is_dropped_once_another_has_its_log)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	r.fakes[1].pos = 95;
	let_m3_leave(&r);
	monitor_fixture_run(&r, 10 * HM_SEC);
	ck_assert(monitor_fixture_is_voter(&r, 2));
	r.fakes[1].pos = 100;
	monitor_fixture_run(&r, 4 * HM_SEC);
	ck_assert(!monitor_fixture_is_voter(&r, 2));
	monitor_fixture_close(&r);
}
END_TEST

/* It may run on, cut off from the store and the monitor, beside an owner. */
START_TEST(voter_without_an_entry_stays_one_for_a_while)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	let_m3_leave(&r);
	monitor_fixture_run(&r, 3 * HM_SEC);
	ck_assert(monitor_fixture_is_voter(&r, 2));
	monitor_fixture_run(&r, 3 * HM_SEC);
	ck_assert(!monitor_fixture_is_voter(&r, 2));
	monitor_fixture_close(&r);
}
END_TEST

/*
 * Guards against lost commits: a voter that has registered again, unknown to
 * the monitor, was removed while an owner counted it.
 */
START_TEST(outdated_list_removes_no_voter)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	let_m3_leave(&r);
	r.members_outdated = true;
	monitor_fixture_run(&r, 20 * HM_SEC);
	ck_assert(monitor_fixture_is_voter(&r, 2));
	r.members_outdated = false;
	monitor_fixture_run(&r, 3 * HM_SEC);
	ck_assert(!monitor_fixture_is_voter(&r, 2));
	monitor_fixture_close(&r);
}
END_TEST

START_TEST(silent_voter_with_an_entry_stays_one)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	monitor_fixture_run(&r, HM_SEC);
	r.fakes[2].silent = true;
	monitor_fixture_run(&r, 60 * HM_SEC);
	ck_assert(monitor_fixture_is_voter(&r, 2));
	monitor_fixture_close(&r);
}
END_TEST

/* A member that starts again under its name has an empty log. */
START_TEST(each_life_of_a_member_is_a_voter_of_its_own)
{
	struct monitor_fixture r;
	struct site_member before;

	monitor_fixture_open(&r);
	r.fakes[1].pos = 60;
	monitor_fixture_run(&r, HM_SEC);
	before = r.fakes[2].spec;
	r.fakes[2].spec.started++;
	r.fakes[2].pos = 0;
	monitor_fixture_publish(&r);
	monitor_fixture_run(&r, 5 * HM_SEC);
	ck_assert(!monitor_fixture_is_voter(&r, 2)); /* it has no log yet */
	ck_assert(
		voters_have(&r.record.voters, before.endpoint, before.started));
	r.fakes[2].pos = 50;
	monitor_fixture_run(&r, 5 * HM_SEC);
	ck_assert(monitor_fixture_is_voter(&r, 2));
	ck_assert(
		voters_have(&r.record.voters, before.endpoint, before.started));
	r.fakes[1].pos = 100;
	monitor_fixture_run(&r, 4 * HM_SEC);
	ck_assert(!voters_have(&r.record.voters, before.endpoint,
			       before.started));
	monitor_fixture_close(&r);
}
END_TEST

/*
 * Guards against lost commits: a voter that started again under its name, empty,
 * was taken for one in reach until its new entry arrived.
 */
START_TEST(voter_that_has_lost_its_log_is_missing)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	r.fakes[2].pos = 60;
	monitor_fixture_run(&r, HM_SEC);
	r.fakes[0].refuses = true;
	r.fakes[1].pos = 40; /* of a second life; it had 100 */
	monitor_conn_closed(r.monitor, r.fakes[0].conn, ERR_NO_ENDPOINT, r.now,
			    &r.out);
	monitor_fixture_run(&r, 5 * HM_SEC);
	ck_assert_ptr_null(strstr(r.text->str, "promote"));
	/* Another monitor cannot know what it had, but an empty log. */
	r.fakes[1].pos = 0;
	monitor_fixture_restart(&r);
	monitor_fixture_run(&r, 10 * HM_SEC);
	ck_assert_ptr_null(strstr(r.text->str, "promote"));
	monitor_fixture_close(&r);
}
END_TEST

/* The members after it at its address have no log of its first life either. */
START_TEST(log_lost_in_a_restart_has_no_successor)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	r.fakes[2].pos = 60;
	monitor_fixture_run(&r, HM_SEC);
	voter_record_add(&r.record, r.fakes[1].spec.endpoint, 2, "m2",
			 r.fakes[1].spec.address);
	r.record.voters.at.revision++;
	r.fakes[1].spec.started = 2;
	monitor_fixture_rename(&r, 1, "m5");
	r.fakes[1].pos = 50;
	r.fakes[0].refuses = true;
	monitor_fixture_restart(&r);
	monitor_fixture_run(&r, 10 * HM_SEC);
	ck_assert_ptr_null(strstr(r.text->str, "promote"));
	monitor_fixture_close(&r);
}
END_TEST

/* A service that has no commit yet has a primary again all the same. */
START_TEST(voters_without_any_commit_are_not_missing)
{
	struct monitor_fixture r;
	uint32_t i;

	monitor_fixture_open(&r);
	r.record.committed = false;
	for (i = 0; i < MONITOR_FIXTURE_MEMBERS; i++)
		r.fakes[i].pos = 0;
	monitor_fixture_run(&r, HM_SEC);
	monitor_fixture_crash(&r, 0);
	monitor_fixture_run(&r, HM_SEC);
	ck_assert_ptr_nonnull(strstr(r.text->str, "promote m2 token=1\n"));
	monitor_fixture_close(&r);
}
END_TEST

START_TEST(first_record_has_all_members)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	memset(&r.record, 0, sizeof(r.record));
	monitor_fixture_run(&r, 3 * HM_SEC);
	ck_assert_uint_eq(r.record.voters.count, 3);
	ck_assert_uint_eq(r.record_calls, 2);
	monitor_fixture_close(&r);
}
END_TEST

/* A restored store has no record in its new era. */
START_TEST(record_is_written_again_in_a_new_era)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	monitor_fixture_run(&r, HM_SEC);
	memset(&r.record, 0, sizeof(r.record));
	r.record.voters.at.era = r.store_era = 1;
	r.fakes[2].silent = true; /* it stays a voter all the same */
	monitor_fixture_run(&r, 5 * HM_SEC);
	ck_assert_uint_eq(r.record.voters.count, 3);
	ck_assert_uint_eq(r.record.voters.at.era, 1);
	monitor_fixture_close(&r);
}
END_TEST

/*
 * Guards against a service without a primary: a monitor that started while the
 * store was silent waited for the next read of the record.
 */
START_TEST(token_brings_the_record_that_was_not_read)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	r.record_silent = true;
	r.fakes[0].refuses = true;
	monitor_fixture_run(&r, HM_SEC);
	ck_assert_ptr_nonnull(strstr(r.text->str, "promote m2 token=1\n"));
	monitor_fixture_close(&r);
}
END_TEST

/*
 * Guards against a record that states a change for ever: an instance took a
 * token, found by the record that came with it that too many voters are missing,
 * and made no call. No voter was added or removed any more.
 */
START_TEST(change_without_a_call_is_ended_at_once)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	monitor_fixture_run(&r, HM_SEC);
	voter_record_add(&r.record, 4, 1, "m4", "10.0.0.4:1");
	voter_record_add(&r.record, 5, 1, "m5", "10.0.0.5:1");
	r.record.voters.at.revision++;
	r.fakes[0].writable = false;
	monitor_fixture_run(&r, 6 * HM_SEC);
	ck_assert_uint_eq(r.token, 1);
	ck_assert(!r.record.changing);
	/* Not so if another change had not ended before. */
	r.record.changing = true;
	r.record.token = r.token = 7;
	r.record.voters.at.revision++;
	monitor_fixture_restart(&r);
	monitor_fixture_run(&r, 2 * HM_SEC);
	ck_assert(r.record.changing);
	monitor_fixture_close(&r);
}
END_TEST

/* And what it brings may forbid the change. */
START_TEST(record_that_the_token_brings_is_counted)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	r.record_silent = true;
	voter_record_add(&r.record, 4, 1, "m4", "10.0.0.4:1");
	r.fakes[0].refuses = true;
	monitor_fixture_run(&r, 10 * HM_SEC);
	ck_assert_uint_eq(r.token, 1);
	proxy_text_expect(r.text, "");
	/* Another monitor has found that m4 is no longer counted. */
	r.record_silent = false;
	voter_record_remove(&r.record, 3);
	r.record.voters.at.revision++;
	monitor_fixture_run(&r, 10 * HM_SEC);
	ck_assert_ptr_nonnull(strstr(r.text->str, "promote m2 token=2\n"));
	monitor_fixture_close(&r);
}
END_TEST

START_TEST(silent_store_causes_few_calls)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	r.record_silent = true;
	monitor_fixture_run(&r, 60 * HM_SEC);
	ck_assert_uint_le(r.record_calls, 10);
	r.record_silent = false;
	monitor_fixture_run(&r, 10 * HM_SEC);
	ck_assert_uint_eq(monitor_fixture_view(&r).voters.count, 3);
	monitor_fixture_close(&r);
}
END_TEST

/*
 * Two voters that this monitor does not reach, and that have no entry, are
 * removed one after the other. An owner that reaches them and the primary, and
 * has old views and an old list, still counts them:
 * voters_that_may_both_be_removed_confirm_nothing of test_primary_check.
 */
START_TEST(failover_after_the_removal_of_two_voters)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	voter_record_add(&r.record, 4, 1, "m4", "10.0.0.4:1");
	voter_record_add(&r.record, 5, 1, "m5", "10.0.0.5:1");
	monitor_fixture_run(&r, 20 * HM_SEC);
	ck_assert_uint_eq(r.record.voters.count, 3);
	monitor_fixture_crash(&r, 0);
	monitor_fixture_run(&r, HM_SEC);
	proxy_text_expect(r.text, "pause m2\npause m3\npromote m2 token=1\n");
	monitor_fixture_close(&r);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("voters");

	tcase_add_test(tc, new_monitor_waits_for_voters_without_an_entry);
	tcase_add_test(tc, old_list_of_members_does_not_promote);
	tcase_add_test(tc, registered_member_becomes_a_voter);
	tcase_add_test(tc, leaving_member_becomes_no_voter);
	tcase_add_test(tc, no_voter_is_added_during_a_change);
	tcase_add_test(tc, change_of_a_lost_monitor_is_ended_by_a_newer_token);
	tcase_add_test(
		tc, change_is_not_ended_for_a_primary_that_may_be_superseded);
	tcase_add_test(tc, outdated_list_begins_no_failover);
	tcase_add_test(tc, voter_that_left_is_dropped_once_another_has_its_log);
	tcase_add_test(tc, voter_without_an_entry_stays_one_for_a_while);
	tcase_add_test(tc, outdated_list_removes_no_voter);
	tcase_add_test(tc, silent_voter_with_an_entry_stays_one);
	tcase_add_test(tc, each_life_of_a_member_is_a_voter_of_its_own);
	tcase_add_test(tc, voter_that_has_lost_its_log_is_missing);
	tcase_add_test(tc, log_lost_in_a_restart_has_no_successor);
	tcase_add_test(tc, voters_without_any_commit_are_not_missing);
	tcase_add_test(tc, first_record_has_all_members);
	tcase_add_test(tc, record_is_written_again_in_a_new_era);
	tcase_add_test(tc, token_brings_the_record_that_was_not_read);
	tcase_add_test(tc, change_without_a_call_is_ended_at_once);
	tcase_add_test(tc, record_that_the_token_brings_is_counted);
	tcase_add_test(tc, silent_store_causes_few_calls);
	tcase_add_test(tc, failover_after_the_removal_of_two_voters);
	return suite_run("voters", tc);
}
