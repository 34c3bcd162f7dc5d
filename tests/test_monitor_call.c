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

int main(void)
{
	TCase *tc = tcase_create("monitor_call");

	tcase_add_test(tc, call_lists_paused_and_loose_voters);
	return suite_run("monitor_call", tc);
}
