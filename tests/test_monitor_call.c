/**
 * @file test_monitor_call.c
 * Promote calls of a monitor, from the conditions under which they are made to
 * the moment when they take effect, which may be seconds later.
 */
#include <check.h>
#include <string.h>

#include "monitor_fixture.h"
#include "suite.h"

START_TEST(call_lists_paused_and_loose_voters)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	monitor_fixture_run(&r, HM_SEC);
	r.promote_silent = true;
	monitor_fixture_crash(&r, 0);
	monitor_fixture_run(&r, 500 * HM_MS);
	ck_assert_ptr_nonnull(strstr(
		r.log->str, "event=promote service=db member=m2 token=1 term=1 "
			    "received=1.100 planned=0 paused=m3 loose=m1\n"));
	r.fakes[2].paused_term = 0;
	monitor_fixture_run(&r, 500 * HM_MS);
	ck_assert_ptr_nonnull(strstr(r.log->str,
				     "event=pause_lost service=db member=m3 "
				     "received=1.100 paused_term=0 token=1\n"));
	r.fakes[1].pos = 101;
	monitor_fixture_promote(&r, 1);
	monitor_fixture_run(&r, 500 * HM_MS);
	ck_assert_ptr_nonnull(
		strstr(r.log->str, "event=promoted service=db member=m2 term=2 "
				   "received=2.101\n"));
	monitor_fixture_close(&r);
}
END_TEST

/* A promote call for m2 has no answer yet; m3 is paused, m1 has crashed. */
static void open_call(struct monitor_fixture *r)
{
	monitor_fixture_open(r);
	monitor_fixture_run(r, HM_SEC);
	r->promote_silent = true;
	monitor_fixture_crash(r, 0);
	monitor_fixture_run(r, 400 * HM_MS);
	proxy_text_expect(r->text, "pause m2\npause m3\npromote m2 token=1\n");
}

static void restart_empty(struct monitor_fixture *r, uint32_t index)
{
	struct monitored_fake *f = &r->fakes[index];

	f->pos = 0;
	f->paused_term = 0;
	monitor_conn_closed(r->monitor, f->conn, ERR_NO_ENDPOINT, r->now,
			    &r->out);
}

/*
 * Guards against lost commits: the target of a promote call started again
 * empty, and the call was repeated for its new life.
 */
START_TEST(call_is_not_repeated_for_a_target_that_has_restarted)
{
	struct monitor_fixture r;

	open_call(&r);
	restart_empty(&r, 1);
	monitor_fixture_run(&r, 10 * HM_SEC);
	proxy_text_expect(r.text, "");
	/* Its new entry has arrived, and the primary is back. */
	r.fakes[1].spec.started++;
	r.fakes[0].refuses = false;
	monitor_fixture_publish(&r);
	r.promote_silent = false;
	monitor_fixture_run(&r, 5 * HM_SEC);
	ck_assert_ptr_nonnull(strstr(r.text->str, "promote m1 token="));
	ck_assert_ptr_null(strstr(r.text->str, "promote m2"));
	ck_assert_ptr_nonnull(strstr(r.text->str, "resume m3\n"));
	monitor_fixture_close(&r);
}
END_TEST

/* The entry may tell of the restart before any probe does. */
START_TEST(call_is_given_up_for_a_new_life_of_its_target)
{
	struct monitor_fixture r;

	open_call(&r);
	r.fakes[1].spec.started++;
	monitor_fixture_publish(&r);
	monitor_fixture_run(&r, 10 * HM_SEC);
	ck_assert_ptr_null(strstr(r.text->str, "token=1\n"));
	monitor_fixture_close(&r);
}
END_TEST

/*
 * Guards against lost commits: a paused replica was resumed by another monitor
 * while the call could still take effect, and confirmed commits of the old
 * primary.
 */
START_TEST(replica_that_receives_again_needs_a_newer_call)
{
	struct monitor_fixture r;

	open_call(&r);
	r.fakes[2].paused_term = 0;
	monitor_fixture_run(&r, 500 * HM_MS);
	proxy_text_expect(r.text, "pause m2\npause m3\npromote m2 token=2\n");
	monitor_fixture_close(&r);
}
END_TEST

/*
 * Guards against lost commits: replicas were resumed once the call that cancels
 * a change had succeeded, while the older call had been accepted and took effect
 * a moment later.
 */
START_TEST(replicas_stay_paused_while_an_accepted_call_may_lead)
{
	struct monitor_fixture r;

	open_call(&r);
	r.promote_silent = false;
	r.fakes[0].refuses = false;
	r.fakes[2].paused_term = 0;
	monitor_fixture_run(&r, 500 * HM_MS);
	proxy_text_expect(r.text, "promote m1 token=2\n");
	monitor_fixture_promote(&r, 1);
	r.fakes[2].paused_term = 2; /* still paused */
	monitor_fixture_run(&r, 1400 * HM_MS);
	proxy_text_expect(r.text, "promote m2 token=4\n");
	monitor_fixture_run(&r, HM_SEC);
	proxy_text_expect(r.text, "resume m2\nresume m3\n");
	monitor_fixture_close(&r);
}
END_TEST

/* A paused replica that falls silent is not taken for one that receives. */
START_TEST(silence_after_the_call_does_not_end_it)
{
	struct monitor_fixture r;

	open_call(&r);
	r.fakes[2].silent = true;
	monitor_fixture_run(&r, 3500 * HM_MS);
	proxy_text_expect(r.text, "promote m2 token=1\n");
	monitor_fixture_close(&r);
}
END_TEST

/*
 * Guards against lost commits: two monitors called for different targets that
 * had the same log. The call that took effect first resumed the one that the
 * other counted as paused.
 */
START_TEST(monitors_prefer_the_same_target)
{
	struct monitor_fixture r;
	struct monitored_fake m2;

	monitor_fixture_open(&r);
	m2 = r.fakes[1];
	r.fakes[1] = r.fakes[2];
	r.fakes[2] = m2;
	monitor_fixture_restart(&r);
	monitor_fixture_run(&r, HM_SEC);
	monitor_fixture_crash(&r, 0);
	monitor_fixture_run(&r, 400 * HM_MS);
	proxy_text_expect(r.text, "pause m3\npause m2\npromote m2 token=1\n");
	monitor_fixture_close(&r);
}
END_TEST

/*
 * A primary that leaves is not replaced beside a silent voter. When it gets no
 * more requests it steps down, and the voter may be missing in the failover.
 */
START_TEST(drained_primary_steps_down_beside_a_silent_voter)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	monitor_fixture_run(&r, HM_SEC);
	r.fakes[2].silent = true;
	r.fakes[1].pos = 99;
	monitor_fixture_run(&r, 2 * HM_SEC);
	r.fakes[0].spec.leaving = true;
	monitor_fixture_publish(&r);
	monitor_fixture_run(&r, r.options.drain_limit + HM_SEC);
	proxy_text_expect(r.text, ""); /* m2 lacks a commit of m1 */
	r.fakes[1].pos = 100;
	monitor_fixture_run(&r, HM_SEC);
	proxy_text_expect(r.text, "step_down m1 2\npause m1\npause m2\n"
				  "promote m2 token=1\n");
	monitor_fixture_close(&r);
}
END_TEST

/* Another monitor's pause is orphaned: the call for the present primary is open. */
static void open_cancel(struct monitor_fixture *r)
{
	monitor_fixture_open(r);
	monitor_fixture_run(r, HM_SEC);
	r->promote_silent = true;
	r->fakes[2].paused_term = 2;
	while (!r->text->len && r->now < 130 * HM_SEC)
		monitor_fixture_run(r, PROXY_TICK);
	proxy_text_expect(r->text, "promote m1 token=1\n");
}

/* How long it takes until a newer promote call is made, 20 s at most. */
static hm_time next_call_after(struct monitor_fixture *r)
{
	hm_time from = r->now;

	while (!strstr(r->text->str, "promote ") && r->now < from + 20 * HM_SEC)
		monitor_fixture_run(r, PROXY_TICK);
	return r->now - from;
}

/*
 * Guards against lost commits: an older call took effect while the call for the
 * former primary was still open. That one then takes the lead back, without
 * what the new primary has acknowledged.
 */
START_TEST(cancel_is_made_void_once_another_member_leads)
{
	struct monitor_fixture r;

	open_cancel(&r);
	monitor_fixture_promote(&r, 1);
	ck_assert_int_le(next_call_after(&r), HM_SEC);
	ck_assert_ptr_nonnull(strstr(r.text->str, "promote m2 token="));
	monitor_fixture_close(&r);
}
END_TEST

/*
 * The same, seen by a replica alone: its status shows the term of a primary
 * that this monitor does not reach.
 */
START_TEST(cancel_is_made_void_once_a_newer_term_is_seen)
{
	struct monitor_fixture r;

	open_cancel(&r);
	r.fakes[2].term = 2;
	r.fakes[2].pos = 101;
	r.fakes[2].paused_term = 0;
	ck_assert_int_le(next_call_after(&r), HM_SEC);
	monitor_fixture_close(&r);
}
END_TEST

/* The call for the primary would promote its new life, which has nothing. */
START_TEST(cancel_is_made_void_for_a_new_life_of_the_primary)
{
	struct monitor_fixture r;

	open_cancel(&r);
	restart_empty(&r, 0);
	r.fakes[0].writable = false;
	r.fakes[0].spec.started++;
	monitor_fixture_publish(&r);
	ck_assert_int_le(next_call_after(&r), HM_SEC);
	ck_assert_ptr_nonnull(strstr(r.text->str, "promote m2 token="));
	monitor_fixture_close(&r);
}
END_TEST

/* A primary that crashes beside its own open call is replaced as soon as else. */
START_TEST(failover_begins_beside_an_open_cancel)
{
	struct monitor_fixture r;

	open_cancel(&r);
	monitor_fixture_crash(&r, 0);
	ck_assert_int_le(next_call_after(&r), HM_SEC);
	ck_assert_ptr_nonnull(strstr(r.text->str, "promote m2 token="));
	monitor_fixture_close(&r);
}
END_TEST

/*
 * Guards against lost commits: another monitor took a newer token and paused
 * the replicas for a promote call, and the end of the cancel resumed them.
 */
START_TEST(cancel_resumes_no_replica_of_a_newer_change)
{
	struct monitor_fixture r;

	open_cancel(&r);
	r.fakes[1].paused_term = r.fakes[2].paused_term = 100;
	monitor_fixture_run(&r, 200 * HM_MS);
	monitor_promote_result(r.monitor, 1, PROMOTE_DONE, r.now, &r.out);
	monitor_fixture_run(&r, 100 * HM_MS);
	proxy_text_expect(r.text, "");
	monitor_fixture_close(&r);
}
END_TEST

/*
 * A leaving primary exits at the drain limit, before it could be ordered to
 * step down beside a silent voter.
 */
START_TEST(leaving_primary_that_exits_is_replaced_beside_a_silent_voter)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	monitor_fixture_run(&r, HM_SEC);
	r.fakes[2].silent = true;
	monitor_fixture_run(&r, 2 * HM_SEC);
	r.fakes[0].spec.leaving = true;
	monitor_fixture_publish(&r);
	monitor_fixture_run(&r, r.options.drain_limit - 100 * HM_MS);
	r.fakes[0].spec.missing_since = r.now;
	monitor_fixture_crash(&r, 0);
	monitor_fixture_publish(&r);
	monitor_fixture_run(&r, 60 * HM_SEC);
	ck_assert_ptr_nonnull(strstr(r.text->str, "promote m2 token="));
	monitor_fixture_close(&r);
}
END_TEST

/* A switchover that has no target any more once it has its token. */
START_TEST(switchover_without_a_target_pauses_no_replica)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	monitor_fixture_run(&r, HM_SEC);
	r.token_silent = true;
	r.fakes[0].spec.leaving = true;
	monitor_fixture_publish(&r);
	monitor_fixture_run(&r, HM_SEC);
	r.fakes[1].spec.leaving = r.fakes[2].spec.leaving = true;
	monitor_fixture_publish(&r);
	r.record.token = ++r.token;
	r.record.changing = true;
	r.record.voters.at.revision++;
	monitor_token_taken(r.monitor, r.token, &r.record, r.now, &r.out);
	monitor_fixture_run(&r, 500 * HM_MS);
	proxy_text_expect(r.text, "");
	monitor_fixture_close(&r);
}
END_TEST

/* Commits are in the primary's log alone: a silent replica confirms none. */
START_TEST(switchover_waits_for_no_replica_without_sync_replicas)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	monitor_set_sync_replicas(r.monitor, 0);
	monitor_fixture_run(&r, HM_SEC);
	r.fakes[2].silent = true;
	monitor_fixture_run(&r, 2 * HM_SEC);
	r.fakes[0].spec.leaving = true;
	monitor_fixture_publish(&r);
	monitor_fixture_run(&r, HM_SEC);
	proxy_text_expect(r.text, "promote m2 token=1\n");
	monitor_fixture_close(&r);
}
END_TEST

/*
 * Guards against two monitors that cancel in turn: one that had been cut off
 * began before it had heard of the other.
 */
START_TEST(outdated_list_cancels_no_change)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	monitor_fixture_run(&r, HM_SEC);
	r.members_outdated = true;
	r.fakes[2].paused_term = 2;
	monitor_fixture_run(&r, 10 * HM_SEC);
	proxy_text_expect(r.text, "");
	r.members_outdated = false;
	monitor_fixture_run(&r, 500 * HM_MS);
	proxy_text_expect(r.text, "promote m1 token=1\n");
	monitor_fixture_close(&r);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("monitor_call");

	tcase_add_test(tc, call_lists_paused_and_loose_voters);
	tcase_add_test(tc,
		       call_is_not_repeated_for_a_target_that_has_restarted);
	tcase_add_test(tc, call_is_given_up_for_a_new_life_of_its_target);
	tcase_add_test(tc, replica_that_receives_again_needs_a_newer_call);
	tcase_add_test(tc,
		       replicas_stay_paused_while_an_accepted_call_may_lead);
	tcase_add_test(tc, silence_after_the_call_does_not_end_it);
	tcase_add_test(tc, monitors_prefer_the_same_target);
	tcase_add_test(tc, drained_primary_steps_down_beside_a_silent_voter);
	tcase_add_test(tc, cancel_is_made_void_once_another_member_leads);
	tcase_add_test(tc, cancel_is_made_void_once_a_newer_term_is_seen);
	tcase_add_test(tc, cancel_is_made_void_for_a_new_life_of_the_primary);
	tcase_add_test(tc, failover_begins_beside_an_open_cancel);
	tcase_add_test(tc, cancel_resumes_no_replica_of_a_newer_change);
	tcase_add_test(
		tc,
		leaving_primary_that_exits_is_replaced_beside_a_silent_voter);
	tcase_add_test(tc, switchover_without_a_target_pauses_no_replica);
	tcase_add_test(tc,
		       switchover_waits_for_no_replica_without_sync_replicas);
	tcase_add_test(tc, outdated_list_cancels_no_change);
	return suite_run("monitor_call", tc);
}
