/** @file test_driver_control.c Control commands of the PostgreSQL driver. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "../core/rng.h"
#include "driver_fixture.h"

#define COMMANDS 400
#define SLACK (2 * HM_SEC) /* possible delay on a busy machine */

START_TEST(control_commands)
{
	struct endpoint_state s = fixture_probe(0);

	ck_assert(s.reachable && !s.refused);
	ck_assert_int_eq(s.role, ROLE_PRIMARY);
	ck_assert_uint_eq(s.at.pos, 1);
	fixture_await_pos(1, 1);
	fixture_await_pos(2, 1);
	s = fixture_control(1, (struct control){ .op = CONTROL_PROMOTE,
						 .term = 2,
						 .requester = INCARNATION });
	ck_assert(s.reachable && s.refused);
	fixture_control(1, (struct control){ .op = CONTROL_FENCE,
					     .term = 2,
					     .requester = INCARNATION });
	s = fixture_control(2, (struct control){ .op = CONTROL_FENCE,
						 .term = 2,
						 .requester = INCARNATION });
	ck_assert(!s.refused);
	ck_assert_uint_eq(s.promised, 2);
	ck_assert_uint_eq(s.promised_by, INCARNATION);
	s = fixture_control(1, (struct control){ .op = CONTROL_PROMOTE,
						 .term = 2,
						 .requester = INCARNATION });
	ck_assert(!s.refused);
	ck_assert_int_eq(s.role, ROLE_PRIMARY);
	ck_assert_uint_eq(s.at.term, 2);
	s = fixture_control(
		0, (struct control){
			   .op = CONTROL_FOLLOW,
			   .term = 2,
			   .requester = INCARNATION,
			   .target = fixture.spec.endpoints[1].endpoint });
	ck_assert(!s.refused);
	ck_assert_int_eq(s.role, ROLE_REPLICA);
	fixture_await_pos(0, 2);
}
END_TEST

START_TEST(new_owner_ends_other_connections)
{
	struct driver_call open = { .run = fixture_run_open },
			   shut = { .run = fixture_run_shutdown };
	struct driver_state *first = fixture.state;

	fixture_control(0, (struct control){ .op = CONTROL_SET_OWNER,
					     .requester = INCARNATION });
	ck_assert_uint_eq(fixture.last.event.state.state.owner, INCARNATION);
	fixture_open_conn(1, 0);
	fixture.host.incarnation = OTHER_INCARNATION;
	fixture_run_call(&open);
	fixture_control(0, (struct control){ .op = CONTROL_SET_OWNER,
					     .requester = OTHER_INCARNATION });
	ck_assert(fixture.last.event.state.state.refused);
	fixture_start_control(0,
			      (struct control){ .op = CONTROL_SET_OWNER,
						.requester = OTHER_INCARNATION,
						.expected = INCARNATION });
	fixture_await_both(EV_STATE, EV_CLOSED);
	fixture_run_call(&shut);
	fixture.state = first;
	ck_assert_uint_eq(fixture_probe(0).owner, OTHER_INCARNATION);
	fixture_start_connect(2, 0);
	ck_assert(fixture_await_event(EV_CLOSED)->conn.failed);
}
END_TEST

static struct control probe_new_conn(void)
{
	return (struct control){ .op = CONTROL_PROBE_NEW_CONN };
}

/*
 * A command on a control connection that no longer answers times out. The next
 * command uses a new connection.
 */
START_TEST(silent_control_connection)
{
	hm_time start;

	ck_assert(fixture_probe(0).reachable);
	fixture_fault(0, (struct member_faults){ .silent = true });
	ck_assert(fixture_control(0, probe_new_conn()).reachable);
	start = loop_now();
	ck_assert(!fixture_probe(0).reachable);
	ck_assert_int_ge(loop_now() - start, CONTROL_LIMIT);
	ck_assert(fixture_probe(0).reachable);
}
END_TEST

/* A control connection that broke between two commands is opened again. */
START_TEST(broken_control_connection)
{
	ck_assert(fixture_probe(0).reachable);
	fixture_fault(0, (struct member_faults){ .cut_all = true });
	ck_assert(!fixture_probe(0).reachable);
	ck_assert(!fixture_control(0, probe_new_conn()).reachable);
	fixture_fault(0, (struct member_faults){ 0 });
	ck_assert(fixture_probe(0).reachable);
	ck_assert(fixture_control(0, probe_new_conn()).reachable);
}
END_TEST

START_TEST(paused_member_is_unreachable)
{
	hm_time start = loop_now();

	fixture_fault(0, (struct member_faults){ .paused = true });
	ck_assert(!fixture_control(0, probe_new_conn()).reachable);
	ck_assert(!fixture_probe(0).reachable);
	ck_assert_int_lt(loop_now() - start, 20 * CONTROL_LIMIT);
	fixture_fault(0, (struct member_faults){ 0 });
	ck_assert(fixture_probe(0).reachable);
}
END_TEST

static struct control random_command(struct rng *rng)
{
	static const enum control_op ops[] = { CONTROL_PROBE,
					       CONTROL_PROBE_NEW_CONN,
					       CONTROL_FENCE,
					       CONTROL_SET_OWNER };
	struct control step = { .requester = INCARNATION };

	step.op = ops[rng_below(rng, G_N_ELEMENTS(ops))];
	step.term = 2 + rng_below(rng, 5);
	return step;
}

static void inject_random_fault(struct rng *rng, uint32_t member)
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
	fixture_fault(member, f);
}

/*
 * Takes the replies that arrived. Each command must have one reply, within the
 * time limit. Returns how many of them reached the member.
 */
static uint32_t take_replies(GHashTable *pending, hm_time wait)
{
	const struct event *e;
	const hm_time *at;
	uint32_t reached = 0;

	while ((e = fixture_next_event(wait))) {
		ck_assert_int_eq(e->kind, EV_STATE);
		at = g_hash_table_lookup(pending, &e->state.nonce.seq);
		ck_assert_msg(at != NULL, "second reply to a command");
		ck_assert_int_lt(loop_now() - *at, CONTROL_LIMIT + SLACK);
		reached += e->state.state.reachable;
		g_hash_table_remove(pending, &e->state.nonce.seq);
	}
	return reached;
}

START_TEST(each_command_ends_once)
{
	GHashTable *pending = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						    g_free, g_free);
	struct rng rng = { 5 };
	uint32_t i, member, reached = 0;
	uint64_t seq;
	hm_time now;

	for (i = 0; i < COMMANDS; i++) {
		member = (uint32_t)rng_below(&rng, 3);
		if (!rng_below(&rng, 5))
			inject_random_fault(&rng, member);
		now = loop_now();
		seq = fixture_start_control(member, random_command(&rng));
		g_hash_table_insert(pending, g_memdup2(&seq, sizeof(seq)),
				    g_memdup2(&now, sizeof(now)));
		reached += take_replies(pending,
					(hm_time)rng_below(&rng, 4) * HM_MS);
	}
	reached += take_replies(pending, CONTROL_LIMIT + SLACK);
	ck_assert_uint_eq(g_hash_table_size(pending), 0);
	ck_assert_uint_gt(reached, COMMANDS / 10);
	ck_assert_uint_lt(reached, COMMANDS);
	g_hash_table_unref(pending);
}
END_TEST

static TCase *tcase_driver(const char *name, SFun begin)
{
	TCase *tc = tcase_create(name);

	tcase_add_checked_fixture(tc, begin, fixture_teardown);
	tcase_set_timeout(tc, 30);
	return tc;
}

static void add_control(Suite *suite)
{
	TCase *tc = tcase_driver("control", fixture_setup);

	tcase_add_test(tc, control_commands);
	tcase_add_test(tc, new_owner_ends_other_connections);
	tcase_add_test(tc, silent_control_connection);
	tcase_add_test(tc, broken_control_connection);
	tcase_add_test(tc, paused_member_is_unreachable);
	tcase_add_test(tc, each_command_ends_once);
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
