/** @file test_driver_control.c Control steps of the driver. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "../core/rng.h"
#include "driver_rig.h"

#define STEPS 400
#define SLACK (2 * HM_SEC) /* a busy machine may be this late */

START_TEST(control_steps)
{
	struct endpoint_state s = rig_probe(0);

	ck_assert(s.reachable && !s.refused);
	ck_assert_int_eq(s.role, ROLE_PRIMARY);
	ck_assert_uint_eq(s.at.pos, 1);
	rig_await_at(1, 1);
	rig_await_at(2, 1);
	s = rig_control(1, (struct control){ .op = CONTROL_PROMOTE,
					     .term = 2,
					     .requester = LIFE });
	ck_assert(s.reachable && s.refused);
	rig_control(1, (struct control){ .op = CONTROL_FENCE,
					 .term = 2,
					 .requester = LIFE });
	s = rig_control(2, (struct control){ .op = CONTROL_FENCE,
					     .term = 2,
					     .requester = LIFE });
	ck_assert(!s.refused);
	ck_assert_uint_eq(s.promised, 2);
	ck_assert_uint_eq(s.promised_by, LIFE);
	s = rig_control(1, (struct control){ .op = CONTROL_PROMOTE,
					     .term = 2,
					     .requester = LIFE });
	ck_assert(!s.refused);
	ck_assert_int_eq(s.role, ROLE_PRIMARY);
	ck_assert_uint_eq(s.at.term, 2);
	s = rig_control(0, (struct control){
				   .op = CONTROL_FOLLOW,
				   .term = 2,
				   .requester = LIFE,
				   .target = rig.spec.endpoints[1].endpoint });
	ck_assert(!s.refused);
	ck_assert_int_eq(s.role, ROLE_REPLICA);
	rig_await_at(0, 2);
}
END_TEST

START_TEST(home_ends_other_connections)
{
	struct call open = { .run = rig_run_open },
		    shut = { .run = rig_run_shut };
	struct driver_state *first = rig.state;

	rig_control(0, (struct control){ .op = CONTROL_SET_OWNER,
					 .requester = LIFE });
	ck_assert_uint_eq(rig.last.event.state.state.owner, LIFE);
	rig_open_conn(1, 0);
	rig.host.life = OTHER_LIFE;
	rig_perform(&open);
	rig_control(0, (struct control){ .op = CONTROL_SET_OWNER,
					 .requester = OTHER_LIFE });
	ck_assert(rig.last.event.state.state.refused);
	rig_start_control(0, (struct control){ .op = CONTROL_SET_OWNER,
					       .requester = OTHER_LIFE,
					       .expected = LIFE });
	rig_await_both(EV_STATE, EV_CLOSED);
	rig_perform(&shut);
	rig.state = first;
	ck_assert_uint_eq(rig_probe(0).owner, OTHER_LIFE);
	rig_start_connect(2, 0);
	ck_assert(rig_await_event(EV_CLOSED)->conn.failed);
}
END_TEST

static struct control fresh(void)
{
	return (struct control){ .op = CONTROL_PROBE_NEW_CONN };
}

/* Silence is noticed in time, and a new connection is used next. */
START_TEST(silent_control_connection)
{
	hm_time start;

	ck_assert(rig_probe(0).reachable);
	rig_fault(0, (struct member_faults){ .silent = true });
	ck_assert(rig_control(0, fresh()).reachable);
	start = loop_now();
	ck_assert(!rig_probe(0).reachable);
	ck_assert_int_ge(loop_now() - start, CONTROL_LIMIT);
	ck_assert(rig_probe(0).reachable);
}
END_TEST

/* A connection that broke between two steps is opened again at once. */
START_TEST(broken_control_connection)
{
	ck_assert(rig_probe(0).reachable);
	rig_fault(0, (struct member_faults){ .cut_all = true });
	ck_assert(!rig_probe(0).reachable);
	ck_assert(!rig_control(0, fresh()).reachable);
	rig_fault(0, (struct member_faults){ 0 });
	ck_assert(rig_probe(0).reachable);
	ck_assert(rig_control(0, fresh()).reachable);
}
END_TEST

START_TEST(paused_member_is_unreachable)
{
	hm_time start = loop_now();

	rig_fault(0, (struct member_faults){ .paused = true });
	ck_assert(!rig_control(0, fresh()).reachable);
	ck_assert(!rig_probe(0).reachable);
	ck_assert_int_lt(loop_now() - start, 20 * CONTROL_LIMIT);
	rig_fault(0, (struct member_faults){ 0 });
	ck_assert(rig_probe(0).reachable);
}
END_TEST

static struct control any_step(struct rng *rng)
{
	static const enum control_op ops[] = { CONTROL_PROBE,
					       CONTROL_PROBE_NEW_CONN,
					       CONTROL_FENCE,
					       CONTROL_SET_OWNER };
	struct control step = { .requester = LIFE };

	step.op = ops[rng_below(rng, G_N_ELEMENTS(ops))];
	step.term = 2 + rng_below(rng, 5);
	return step;
}

static void any_fault(struct rng *rng, uint32_t member)
{
	struct member_faults f = { 0 };

	if (rng_below(rng, 2)) {
		f.paused = !rng_below(rng, 4);
		f.silent = !rng_below(rng, 4);
		f.lose_answer = !rng_below(rng, 3);
		f.cut_all = !rng_below(rng, 4);
		f.dead = !rng_below(rng, 5);
		f.answer_delay = (hm_time)rng_below(rng, 3) * 5 * HM_MS;
	}
	rig_fault(member, f);
}

/* Notes an answer; each step has one, and in time. */
static uint32_t take_answers(GHashTable *asked, hm_time wait)
{
	const struct event *e;
	const hm_time *at;
	uint32_t reached = 0;

	while ((e = rig_next_event(wait))) {
		ck_assert_int_eq(e->kind, EV_STATE);
		at = g_hash_table_lookup(asked, &e->state.nonce.seq);
		ck_assert_msg(at != NULL, "a second answer");
		ck_assert_int_lt(loop_now() - *at, CONTROL_LIMIT + SLACK);
		reached += e->state.state.reachable;
		g_hash_table_remove(asked, &e->state.nonce.seq);
	}
	return reached;
}

START_TEST(each_step_ends_once)
{
	GHashTable *asked = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  g_free, g_free);
	struct rng rng = { 5 };
	uint32_t i, member, reached = 0;
	uint64_t seq;
	hm_time now;

	for (i = 0; i < STEPS; i++) {
		member = (uint32_t)rng_below(&rng, 3);
		if (!rng_below(&rng, 5))
			any_fault(&rng, member);
		now = loop_now();
		seq = rig_start_control(member, any_step(&rng));
		g_hash_table_insert(asked, g_memdup2(&seq, sizeof(seq)),
				    g_memdup2(&now, sizeof(now)));
		reached += take_answers(asked,
					(hm_time)rng_below(&rng, 4) * HM_MS);
	}
	reached += take_answers(asked, CONTROL_LIMIT + SLACK);
	ck_assert_uint_eq(g_hash_table_size(asked), 0);
	ck_assert_uint_gt(reached, STEPS / 10);
	ck_assert_uint_lt(reached, STEPS);
	g_hash_table_unref(asked);
}
END_TEST

static TCase *tcase_driver(const char *name, SFun begin)
{
	TCase *tc = tcase_create(name);

	tcase_add_checked_fixture(tc, begin, rig_teardown);
	tcase_set_timeout(tc, 30);
	return tc;
}

static void add_control(Suite *suite)
{
	TCase *tc = tcase_driver("control", rig_setup);

	tcase_add_test(tc, control_steps);
	tcase_add_test(tc, home_ends_other_connections);
	tcase_add_test(tc, silent_control_connection);
	tcase_add_test(tc, broken_control_connection);
	tcase_add_test(tc, paused_member_is_unreachable);
	tcase_add_test(tc, each_step_ends_once);
	suite_add_tcase(suite, tc);
}

int main(void)
{
	Suite *suite = suite_create("driver control");
	SRunner *runner;
	int failed;

	add_control(suite);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
