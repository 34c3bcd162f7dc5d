/**
 * @file test_lead_check.c
 * Which questions prove that the term of a primary stood, and when a read is
 * not worth waiting for them. Runs are compared as text.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "../core/lead_check.h"
#include "proxy_text.h"
#include "suite.h"

#define NOW (100 * HM_SEC)
#define SERVICE 5
#define MEMBERS 3

struct rig {
	struct proxy_options options;
	uint64_t next_conn;
	struct lead_check *check;
	struct site_member list[MEMBERS];
	struct proxy_output out;
	GString *text;
	hm_time now;
};

static void publish(struct rig *r)
{
	struct site_members m = { .list = r->list, .count = MEMBERS };

	lead_check_members(r->check, &m, SERVICE, &r->out);
	proxy_text(r->text, &r->out);
}

static void rig_open(struct rig *r)
{
	struct lead_check_site site = { &r->options, &r->next_conn };
	uint32_t i;

	memset(r, 0, sizeof(*r));
	proxy_options_default(&r->options);
	r->now = NOW;
	r->text = g_string_new(NULL);
	r->check = lead_check_new(1, site);
	for (i = 0; i < MEMBERS; i++) {
		r->list[i].endpoint = i + 1;
		r->list[i].service = SERVICE;
		g_snprintf(r->list[i].name, NAME_BYTES, "m%u", i + 1);
	}
	publish(r);
}

static void rig_close(struct rig *r)
{
	lead_check_close(r->check, &r->out);
	lead_check_free(r->check);
	proxy_output_free(&r->out);
	g_string_free(r->text, TRUE);
}

static uint64_t begin(struct rig *r)
{
	uint64_t ticket = lead_check_begin(r->check, r->now, &r->out);

	proxy_text(r->text, &r->out);
	return ticket;
}

static void tick(struct rig *r, hm_time later)
{
	r->now += later;
	lead_check_tick(r->check, r->now, &r->out);
	proxy_text(r->text, &r->out);
}

static void ready(struct rig *r, uint64_t conn)
{
	lead_check_ready(r->check, conn, r->now, &r->out);
	proxy_text(r->text, &r->out);
}

static void reply(struct rig *r, uint64_t conn, struct member_reply m)
{
	lead_check_replied(r->check, conn, &m, r->now, &r->out);
	proxy_text(r->text, &r->out);
}

static void follows(struct rig *r, uint64_t conn, uint64_t term)
{
	reply(r, conn,
	      (struct member_reply){ .error = ERR_READ_ONLY,
				     .at = { term, 9 } });
}

static void tells(struct rig *r, uint64_t conn, uint64_t received)
{
	struct member_reply m = { .has_status = true };

	m.status.received.term = received;
	reply(r, conn, m);
}

/* Connections 1 to m2 and 2 to m3 are there, and both follow term 1. */
static void warm(struct rig *r)
{
	uint64_t ticket = begin(r);

	proxy_text_expect(r->text, "connect 1 m2 keeper\n"
				   "connect 2 m3 keeper\n");
	ready(r, 1);
	ready(r, 2);
	follows(r, 1, 1);
	follows(r, 2, 1);
	ck_assert_int_eq(lead_check_proof(r->check, ticket, 1), LEAD_PROVED);
	r->now += 100 * HM_MS;
	g_string_truncate(r->text, 0);
}

START_TEST(one_question_serves_all_that_came_before)
{
	uint64_t first, second, third;
	struct rig r;

	rig_open(&r);
	warm(&r);
	first = begin(&r);
	proxy_text_expect(r.text, "begin 1\nbegin 2\n");
	second = begin(&r);
	third = begin(&r);
	proxy_text_expect(r.text, "");
	follows(&r, 1, 1);
	ck_assert_int_eq(lead_check_proof(r.check, first, 1), LEAD_OPEN);
	follows(&r, 2, 1);
	ck_assert_int_eq(lead_check_proof(r.check, first, 1), LEAD_PROVED);
	/* The two came after it was asked. */
	ck_assert_int_eq(lead_check_proof(r.check, second, 1), LEAD_OPEN);
	proxy_text_expect(r.text, "begin 1\nbegin 2\n");
	follows(&r, 1, 1);
	follows(&r, 2, 1);
	ck_assert_int_eq(lead_check_proof(r.check, third, 1), LEAD_PROVED);
	proxy_text_expect(r.text, "");
	rig_close(&r);
}
END_TEST

/* akb-utility trouble-1, STALE: the primary answered as if nothing was. */
START_TEST(new_leader_refutes_the_old_one)
{
	struct rig r;
	uint64_t ticket;

	rig_open(&r);
	warm(&r);
	ticket = begin(&r);
	reply(&r, 1,
	      (struct member_reply){ .state = SESSION_OPEN, .at = { 2, 0 } });
	proxy_text_expect(r.text, "begin 1\nbegin 2\nrollback 1\n");
	ck_assert_int_eq(lead_check_proof(r.check, ticket, 1), LEAD_REFUTED);
	ck_assert_int_eq(lead_check_proof(r.check, ticket, 2), LEAD_OPEN);
	rig_close(&r);
}
END_TEST

/*
 * akb-utility trouble-1, 10.0 to 14.1 s: the old primary was out of reach, and
 * the replica applied its log late. Reads were proved, and refused at once.
 */
START_TEST(proof_by_what_was_received_counts_as_progress)
{
	uint32_t proved = 0;
	uint64_t ticket;
	struct rig r;
	int i;

	rig_open(&r);
	warm(&r);
	begin(&r);
	follows(&r, 2, 1);
	for (i = 0; i < 40; i++) {
		g_string_truncate(r.text, 0);
		ticket = begin(&r);
		tick(&r, 70 * HM_MS); /* m2 is late: states are asked, too */
		if (!strstr(r.text->str, "status 2\n"))
			continue;
		follows(&r, 2, 1);
		tells(&r, 2, 2);
		proved += lead_check_proof(r.check, ticket, 2) == LEAD_PROVED;
		ck_assert(!lead_check_fails(r.check, r.now));
	}
	ck_assert_uint_gt(proved, 20);
	rig_close(&r);
}
END_TEST

/* The old primary, asked by the home of the new one, is no second leader. */
START_TEST(older_leader_does_not_count)
{
	struct rig r;
	uint64_t ticket;

	rig_open(&r);
	warm(&r);
	ticket = begin(&r);
	reply(&r, 1,
	      (struct member_reply){ .state = SESSION_OPEN, .at = { 1, 40 } });
	follows(&r, 2, 2);
	ck_assert_int_eq(lead_check_proof(r.check, ticket, 2), LEAD_PROVED);
	rig_close(&r);
}
END_TEST

/* A dark member may lead; what it acknowledges another one has received. */
START_TEST(silent_member_is_made_up_for_by_the_states_of_others)
{
	struct rig r;
	uint64_t ticket;

	rig_open(&r);
	warm(&r);
	ticket = begin(&r);
	follows(&r, 2, 1);
	tick(&r, 40 * HM_MS);
	proxy_text_expect(r.text, "begin 1\nbegin 2\n");
	tick(&r, 40 * HM_MS);
	proxy_text_expect(r.text, "begin 2\nstatus 2\n");
	follows(&r, 2, 1);
	ck_assert_int_eq(lead_check_proof(r.check, ticket, 1), LEAD_OPEN);
	tells(&r, 2, 1);
	ck_assert_int_eq(lead_check_proof(r.check, ticket, 1), LEAD_PROVED);
	rig_close(&r);
}
END_TEST

/* It has received what the dark one acknowledged, and not applied it yet. */
START_TEST(state_shows_what_was_received)
{
	struct rig r;
	uint64_t ticket;

	rig_open(&r);
	warm(&r);
	ticket = begin(&r);
	follows(&r, 2, 1);
	tick(&r, 80 * HM_MS);
	follows(&r, 2, 1);
	tells(&r, 2, 2);
	ck_assert_int_eq(lead_check_proof(r.check, ticket, 1), LEAD_REFUTED);
	rig_close(&r);
}
END_TEST

/* A busy member tells nothing, and is asked again. */
START_TEST(busy_member_is_asked_again)
{
	struct rig r;
	uint64_t ticket;

	rig_open(&r);
	warm(&r);
	ticket = begin(&r);
	follows(&r, 2, 1);
	tick(&r, 80 * HM_MS);
	follows(&r, 2, 1);
	reply(&r, 2, (struct member_reply){ .error = ERR_OVERLOADED });
	ck_assert_int_eq(lead_check_proof(r.check, ticket, 1), LEAD_OPEN);
	g_string_truncate(r.text, 0);
	tick(&r, 20 * HM_MS);
	proxy_text_expect(r.text, "begin 2\nstatus 2\n");
	rig_close(&r);
}
END_TEST

/* A zone that reaches the old primary alone proves nothing, and says so. */
START_TEST(cut_off_check_fails_and_recovers)
{
	struct rig r;
	uint64_t ticket;

	rig_open(&r);
	warm(&r);
	ticket = begin(&r);
	tick(&r, 300 * HM_MS);
	ck_assert(!lead_check_fails(r.check, r.now));
	tick(&r, 200 * HM_MS);
	ck_assert_int_eq(lead_check_proof(r.check, ticket, 1), LEAD_OPEN);
	ck_assert(lead_check_fails(r.check, r.now));
	g_string_truncate(r.text, 0);
	ticket = begin(&r);
	proxy_text_expect(r.text, "connect 3 m2 keeper\n"
				  "connect 4 m3 keeper\n");
	ready(&r, 3);
	ready(&r, 4);
	follows(&r, 3, 1);
	follows(&r, 4, 1);
	ck_assert_int_eq(lead_check_proof(r.check, ticket, 1), LEAD_PROVED);
	ck_assert(!lead_check_fails(r.check, r.now));
	rig_close(&r);
}
END_TEST

/* Restarted with an empty log under the same id: what it showed is void. */
START_TEST(answers_of_an_earlier_life_do_not_count)
{
	struct rig r;
	uint64_t ticket;

	rig_open(&r);
	warm(&r);
	ticket = begin(&r);
	follows(&r, 1, 1);
	g_string_truncate(r.text, 0);
	r.list[1].started = 1234;
	publish(&r);
	proxy_text_expect(r.text, "close 1\n");
	follows(&r, 2, 1);
	ck_assert_int_eq(lead_check_proof(r.check, ticket, 1), LEAD_OPEN);
	rig_close(&r);
}
END_TEST

/*
 * The new primary is out of reach, and the one replica that had received what
 * it acknowledged starts again, empty, and receives from the old primary.
 */
START_TEST(empty_replica_proves_nothing_alone)
{
	struct rig r;
	uint64_t ticket;

	rig_open(&r);
	warm(&r);
	r.list[1].started = 1234;
	publish(&r);
	ticket = begin(&r); /* connection 3 to m2; m3 is silent on 2 */
	ready(&r, 3);
	tick(&r, 80 * HM_MS);
	follows(&r, 3, 1);
	tick(&r, 80 * HM_MS);
	follows(&r, 3, 1);
	tells(&r, 3, 1);
	ck_assert_int_eq(lead_check_proof(r.check, ticket, 1), LEAD_OPEN);
	/* The other one answers, too: nobody leads but the primary. */
	follows(&r, 2, 1);
	ck_assert_int_eq(lead_check_proof(r.check, ticket, 1), LEAD_PROVED);
	rig_close(&r);
}
END_TEST

START_TEST(connections_nobody_needs_are_closed)
{
	struct rig r;

	rig_open(&r);
	warm(&r);
	tick(&r, 9 * HM_SEC);
	proxy_text_expect(r.text, "");
	tick(&r, 2 * HM_SEC);
	proxy_text_expect(r.text, "close 1\nclose 2\n");
	rig_close(&r);
}
END_TEST

START_TEST(guard_off_asks_nobody)
{
	struct rig r;

	rig_open(&r);
	r.options.guards_off = PROXY_GUARD_SUPERSEDED;
	ck_assert_uint_eq(begin(&r), 0);
	proxy_text_expect(r.text, "");
	ck_assert_int_eq(lead_check_proof(r.check, 0, 1), LEAD_PROVED);
	rig_close(&r);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("lead_check");

	tcase_add_test(tc, one_question_serves_all_that_came_before);
	tcase_add_test(tc, new_leader_refutes_the_old_one);
	tcase_add_test(tc, proof_by_what_was_received_counts_as_progress);
	tcase_add_test(tc, older_leader_does_not_count);
	tcase_add_test(tc,
		       silent_member_is_made_up_for_by_the_states_of_others);
	tcase_add_test(tc, state_shows_what_was_received);
	tcase_add_test(tc, busy_member_is_asked_again);
	tcase_add_test(tc, cut_off_check_fails_and_recovers);
	tcase_add_test(tc, answers_of_an_earlier_life_do_not_count);
	tcase_add_test(tc, empty_replica_proves_nothing_alone);
	tcase_add_test(tc, connections_nobody_needs_are_closed);
	tcase_add_test(tc, guard_off_asks_nobody);
	return suite_run("lead_check", tc);
}
