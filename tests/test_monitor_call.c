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
	r.fakes[2].paused_term = 9; /* still paused */
	monitor_fixture_run(&r, 2 * HM_SEC);
	proxy_text_expect(r.text, "");
	ck_assert_ptr_nonnull(strstr(r.log->str, "event=cancel_overtaken"));
	/* The next change, for the new primary, is not overtaken. */
	monitor_fixture_run(&r, 6 * HM_SEC);
	proxy_text_expect(r.text, "promote m2 token=3\nresume m2\nresume m3\n");
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
	return suite_run("monitor_call", tc);
}
