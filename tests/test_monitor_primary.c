/**
 * @file test_monitor_primary.c
 * Who leads where two claim it, who is told to step down, and which position
 * is a sample, for the keeper of a service.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "monitor_fixture.h"
#include "suite.h"

START_TEST(sample_covers_what_came_before_the_want)
{
	struct service_view v;
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	monitor_fixture_run(&r, HM_SEC);
	monitor_fixture_view(&r);
	/* A question is under way when the want comes. */
	r.fakes[0].silent = true;
	monitor_fixture_run(&r, 300 * HM_MS);
	monitor_request_view(r.monitor, 77, 4);
	r.fakes[0].silent = false;
	monitor_fixture_reply(&r, &r.fakes[0],
			      &(struct member_command){ .kind = MEMBER_BEGIN });
	v = monitor_fixture_view(&r);
	ck_assert_uint_eq(v.seq, 0); /* its answer may be older */
	monitor_fixture_reply(
		&r, &r.fakes[0],
		&(struct member_command){ .kind = MEMBER_ROLLBACK });
	r.fakes[0].pos = 140;
	monitor_fixture_run(&r, 300 * HM_MS);
	v = monitor_fixture_view(&r);
	ck_assert_uint_eq(v.seq, 4);
	ck_assert_uint_eq(v.sample.pos, 140);
	monitor_fixture_close(&r);
}
END_TEST

/* The promotion of m2 is carried out, and m1 goes on: two lead. */
static void lead_beside(struct monitor_fixture *r)
{
	r->fakes[1].writable = true;
	r->fakes[1].term = 2;
	r->fakes[1].paused_term = 0;
}

START_TEST(superseded_primary_is_told_until_it_stepped_down)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	monitor_fixture_run(&r, HM_SEC);
	lead_beside(&r);
	monitor_fixture_run(&r, 300 * HM_MS);
	ck_assert_uint_eq(monitor_fixture_view(&r).primary, 2);
	proxy_text_expect(r.text, "step_down m1 2\n");
	monitor_fixture_run(&r, HM_SEC);
	proxy_text_expect(r.text, "");
	r.fakes[0].writable = true; /* as if the order had been lost */
	monitor_fixture_run(&r, 500 * HM_MS);
	proxy_text_expect(r.text, "step_down m1 2\n");
	monitor_fixture_close(&r);
}
END_TEST

/*
 * akb-utility trouble-1 at 37.8 s: the position of a new primary named the
 * term before until its first commit, and it was none for that time.
 */
START_TEST(new_primary_leads_before_its_first_commit)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	monitor_fixture_run(&r, HM_SEC);
	r.fakes[0].refuses = true;
	monitor_conn_closed(r.monitor, r.fakes[0].conn, ERR_NO_ENDPOINT, r.now,
			    &r.out);
	monitor_fixture_run(&r, 500 * HM_MS);
	proxy_text_expect(r.text, "hold m2\nhold m3\npromote m2 token=1\n");
	monitor_fixture_promote(&r, 1);
	r.fakes[1].no_commit = true;
	monitor_fixture_run(&r, 400 * HM_MS);
	ck_assert_uint_eq(monitor_fixture_view(&r).primary, 2);
	monitor_request_view(r.monitor, 77, 4);
	monitor_fixture_run(&r, HM_SEC);
	ck_assert_uint_eq(monitor_fixture_view(&r).primary, 2);
	ck_assert_uint_eq(monitor_promotions(r.monitor), 1);
	ck_assert_ptr_null(strstr(r.text->str, "step_down"));
	monitor_fixture_close(&r);
}
END_TEST

/*
 * The old primary leads for all that it can tell, and the new one is out of
 * reach: it counts as no primary, and its position is no sample.
 */
START_TEST(superseded_primary_is_none_while_the_new_one_is_silent)
{
	struct service_view v;
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	monitor_fixture_run(&r, HM_SEC);
	lead_beside(&r);
	monitor_fixture_run(&r, 200 * HM_MS);
	r.fakes[0].writable = true;
	r.fakes[1].silent = true;
	monitor_fixture_run(&r, 2 * HM_SEC);
	monitor_fixture_view(&r);
	monitor_request_view(r.monitor, 77, 4);
	monitor_fixture_run(&r, 500 * HM_MS);
	v = monitor_fixture_view(&r);
	ck_assert_uint_eq(v.seq, 4);
	ck_assert_uint_eq(v.primary, 0);
	ck_assert_uint_eq(v.sample.term, 0);
	monitor_fixture_close(&r);
}
END_TEST

/*
 * akb-utility: a zone's instances reach the old primary alone. What it holds
 * proves nothing of what another one has acknowledged since.
 */
START_TEST(position_of_a_primary_alone_is_no_sample)
{
	struct service_view v;
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	monitor_fixture_run(&r, HM_SEC);
	r.fakes[1].silent = true;
	r.fakes[2].silent = true;
	monitor_fixture_run(&r, HM_SEC);
	monitor_fixture_view(&r);
	monitor_request_view(r.monitor, 77, 4);
	monitor_fixture_run(&r, 500 * HM_MS);
	v = monitor_fixture_view(&r);
	ck_assert_uint_eq(v.seq, 4);
	ck_assert_uint_eq(v.primary, 1);
	ck_assert_uint_eq(v.sample.term, 0);
	/* One replica's state is enough again. */
	r.fakes[2].silent = false;
	monitor_fixture_run(&r, HM_SEC);
	monitor_request_view(r.monitor, 77, 5);
	monitor_fixture_run(&r, 500 * HM_MS);
	v = monitor_fixture_view(&r);
	ck_assert_uint_eq(v.seq, 5);
	ck_assert_uint_eq(v.sample.pos, 100);
	monitor_fixture_close(&r);
}
END_TEST

/*
 * The one replica that proves the samples starts again with an empty log under
 * its id: it does not know any more what it had received from whom.
 */
START_TEST(replica_that_started_again_proves_no_sample_alone)
{
	struct service_view v;
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	r.fakes[2].silent = true;
	monitor_fixture_run(&r, 2 * HM_SEC);
	monitor_fixture_view(&r);
	monitor_request_view(r.monitor, 77, 4);
	monitor_fixture_run(&r, 300 * HM_MS);
	v = monitor_fixture_view(&r);
	ck_assert_uint_eq(v.sample.pos, 100);
	r.fakes[1].spec.started = 1234;
	monitor_fixture_publish(&r);
	monitor_fixture_run(&r, HM_SEC);
	monitor_fixture_view(&r);
	monitor_request_view(r.monitor, 77, 5);
	monitor_fixture_run(&r, 500 * HM_MS);
	v = monitor_fixture_view(&r);
	ck_assert_uint_eq(v.seq, 5);
	ck_assert_uint_eq(v.sample.term, 0);
	r.fakes[2].silent = false;
	monitor_fixture_run(&r, HM_SEC);
	monitor_request_view(r.monitor, 77, 6);
	monitor_fixture_run(&r, 500 * HM_MS);
	ck_assert_uint_eq(monitor_fixture_view(&r).sample.pos, 100);
	monitor_fixture_close(&r);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("keeper_lead");

	tcase_add_test(tc, sample_covers_what_came_before_the_want);
	tcase_add_test(tc, superseded_primary_is_told_until_it_stepped_down);
	tcase_add_test(tc, new_primary_leads_before_its_first_commit);
	tcase_add_test(tc,
		       superseded_primary_is_none_while_the_new_one_is_silent);
	tcase_add_test(tc, position_of_a_primary_alone_is_no_sample);
	tcase_add_test(tc, replica_that_started_again_proves_no_sample_alone);
	return suite_run("keeper_lead", tc);
}
