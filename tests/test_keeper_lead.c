/**
 * @file test_keeper_lead.c
 * Who leads where two claim it, who is told to step down, and which position
 * is a sample, for the keeper of a service.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "keeper_rig.h"
#include "suite.h"

START_TEST(sample_covers_what_came_before_the_want)
{
	struct service_view v;
	struct keeper_rig r;

	keeper_rig_open(&r);
	keeper_rig_run(&r, HM_SEC);
	keeper_rig_view(&r);
	/* A question is under way when the want comes. */
	r.fakes[0].dark = true;
	keeper_rig_run(&r, 300 * HM_MS);
	keeper_want(r.keeper, 77, 4);
	r.fakes[0].dark = false;
	keeper_rig_answer(&r, &r.fakes[0],
			  &(struct member_command){ .kind = MEMBER_BEGIN });
	v = keeper_rig_view(&r);
	ck_assert_uint_eq(v.seq, 0); /* its answer may be older */
	keeper_rig_answer(&r, &r.fakes[0],
			  &(struct member_command){ .kind = MEMBER_ROLLBACK });
	r.fakes[0].pos = 140;
	keeper_rig_run(&r, 300 * HM_MS);
	v = keeper_rig_view(&r);
	ck_assert_uint_eq(v.seq, 4);
	ck_assert_uint_eq(v.sample.pos, 140);
	keeper_rig_close(&r);
}
END_TEST

/* The promotion of m2 is carried out, and m1 goes on: two lead. */
static void lead_beside(struct keeper_rig *r)
{
	r->fakes[1].leads = true;
	r->fakes[1].term = 2;
	r->fakes[1].held = 0;
}

START_TEST(superseded_primary_is_told_until_it_stepped_down)
{
	struct keeper_rig r;

	keeper_rig_open(&r);
	keeper_rig_run(&r, HM_SEC);
	lead_beside(&r);
	keeper_rig_run(&r, 300 * HM_MS);
	ck_assert_uint_eq(keeper_rig_view(&r).primary, 2);
	proxy_text_expect(r.text, "step_down m1 2\n");
	keeper_rig_run(&r, HM_SEC);
	proxy_text_expect(r.text, "");
	r.fakes[0].leads = true; /* as if the order had been lost */
	keeper_rig_run(&r, 500 * HM_MS);
	proxy_text_expect(r.text, "step_down m1 2\n");
	keeper_rig_close(&r);
}
END_TEST

/*
 * akb-utility trouble-1 at 37.8 s: the position of a new primary named the
 * term before until its first commit, and it was none for that time.
 */
START_TEST(new_primary_leads_before_its_first_commit)
{
	struct keeper_rig r;

	keeper_rig_open(&r);
	keeper_rig_run(&r, HM_SEC);
	r.fakes[0].dead = true;
	keeper_closed(r.keeper, r.fakes[0].conn, ERR_NO_ENDPOINT, r.now,
		      &r.out);
	keeper_rig_run(&r, 500 * HM_MS);
	proxy_text_expect(r.text, "hold m2\nhold m3\npromote m2 token=1\n");
	keeper_rig_lead(&r, 1);
	r.fakes[1].fresh = true;
	keeper_rig_run(&r, 400 * HM_MS);
	ck_assert_uint_eq(keeper_rig_view(&r).primary, 2);
	keeper_want(r.keeper, 77, 4);
	keeper_rig_run(&r, HM_SEC);
	ck_assert_uint_eq(keeper_rig_view(&r).primary, 2);
	ck_assert_uint_eq(keeper_promotions(r.keeper), 1);
	ck_assert_ptr_null(strstr(r.text->str, "step_down"));
	keeper_rig_close(&r);
}
END_TEST

/*
 * The old primary leads for all that it can tell, and the new one is out of
 * reach: it counts as no primary, and its position is no sample.
 */
START_TEST(superseded_primary_is_none_while_the_new_one_is_silent)
{
	struct service_view v;
	struct keeper_rig r;

	keeper_rig_open(&r);
	keeper_rig_run(&r, HM_SEC);
	lead_beside(&r);
	keeper_rig_run(&r, 200 * HM_MS);
	r.fakes[0].leads = true;
	r.fakes[1].dark = true;
	keeper_rig_run(&r, 2 * HM_SEC);
	keeper_rig_view(&r);
	keeper_want(r.keeper, 77, 4);
	keeper_rig_run(&r, 500 * HM_MS);
	v = keeper_rig_view(&r);
	ck_assert_uint_eq(v.seq, 4);
	ck_assert_uint_eq(v.primary, 0);
	ck_assert_uint_eq(v.sample.term, 0);
	keeper_rig_close(&r);
}
END_TEST

/*
 * akb-utility: a zone's instances reach the old primary alone. What it holds
 * proves nothing of what another one has acknowledged since.
 */
START_TEST(position_of_a_primary_alone_is_no_sample)
{
	struct service_view v;
	struct keeper_rig r;

	keeper_rig_open(&r);
	keeper_rig_run(&r, HM_SEC);
	r.fakes[1].dark = true;
	r.fakes[2].dark = true;
	keeper_rig_run(&r, HM_SEC);
	keeper_rig_view(&r);
	keeper_want(r.keeper, 77, 4);
	keeper_rig_run(&r, 500 * HM_MS);
	v = keeper_rig_view(&r);
	ck_assert_uint_eq(v.seq, 4);
	ck_assert_uint_eq(v.primary, 1);
	ck_assert_uint_eq(v.sample.term, 0);
	/* One replica's state is enough again. */
	r.fakes[2].dark = false;
	keeper_rig_run(&r, HM_SEC);
	keeper_want(r.keeper, 77, 5);
	keeper_rig_run(&r, 500 * HM_MS);
	v = keeper_rig_view(&r);
	ck_assert_uint_eq(v.seq, 5);
	ck_assert_uint_eq(v.sample.pos, 100);
	keeper_rig_close(&r);
}
END_TEST

/*
 * The one replica that proves the samples starts again with an empty log under
 * its id: it does not know any more what it had received from whom.
 */
START_TEST(replica_that_started_again_proves_no_sample_alone)
{
	struct service_view v;
	struct keeper_rig r;

	keeper_rig_open(&r);
	r.fakes[2].dark = true;
	keeper_rig_run(&r, 2 * HM_SEC);
	keeper_rig_view(&r);
	keeper_want(r.keeper, 77, 4);
	keeper_rig_run(&r, 300 * HM_MS);
	v = keeper_rig_view(&r);
	ck_assert_uint_eq(v.sample.pos, 100);
	r.fakes[1].spec.started = 1234;
	keeper_rig_publish(&r);
	keeper_rig_run(&r, HM_SEC);
	keeper_rig_view(&r);
	keeper_want(r.keeper, 77, 5);
	keeper_rig_run(&r, 500 * HM_MS);
	v = keeper_rig_view(&r);
	ck_assert_uint_eq(v.seq, 5);
	ck_assert_uint_eq(v.sample.term, 0);
	r.fakes[2].dark = false;
	keeper_rig_run(&r, HM_SEC);
	keeper_want(r.keeper, 77, 6);
	keeper_rig_run(&r, 500 * HM_MS);
	ck_assert_uint_eq(keeper_rig_view(&r).sample.pos, 100);
	keeper_rig_close(&r);
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
