/** @file test_driver.c Statements and connections of the driver. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "driver_rig.h"

START_TEST(round_trip)
{
	const struct event *e;

	rig_open_conn(1, 0);
	e = rig_run_op(1, OP_WRITE,
		       "{\"sql\": \"INSERT INTO t VALUES ($1, $2)\", "
		       "\"params\": [7, \"a 'b' \\u00e4\"]}");
	ck_assert_int_eq(e->done.done, DONE_OK);
	ck_assert_uint_eq(e->done.before.pos, 1);
	ck_assert_uint_eq(e->done.after.pos, 2);
	ck_assert_uint_eq(e->done.after.term, 1);
	ck_assert_uint_eq(e->done.lineage.count, 1);
	ck_assert(!e->done.open_tx);
	rig_expect_body("\"affected\":1");
	rig_expect(1, OP_READ,
		   "{\"sql\": \"SELECT k, v, $1 AS n, 1.5 AS r FROM t\", "
		   "\"params\": [null]}",
		   DONE_OK);
	rig_expect_body("\"columns\":[\"k\",\"v\",\"n\",\"r\"]");
	rig_expect_body("\"rows\":[[7,\"a 'b' \xc3\xa4\",null,1.5]]");
}
END_TEST

START_TEST(errors_are_rejected)
{
	rig_open_conn(1, 0);
	rig_expect(1, OP_READ, "{\"sql\": \"SELECT x FROM t\"}", DONE_REJECTED);
	rig_expect_body("\"sqlstate\":\"42703\"");
	ck_assert(!rig.last.event.done.open_tx);
	rig_expect(1, OP_WRITE, "{\"sql\": 7}", DONE_REJECTED);
	rig_expect(1, OP_READ, "{\"sql\": \"DELETE FROM t\"}", DONE_REJECTED);
	rig_expect_body("\"sqlstate\":\"25006\"");
	rig_expect(1, OP_READ, "{\"sql\": \"SELECT 1 AS one\"}", DONE_OK);
	rig_expect(9, OP_READ, "{\"sql\": \"SELECT 1\"}", DONE_NOT_SENT);
}
END_TEST

/* What would change the connection for its next user stays unsent. */
START_TEST(transaction_control_by_text_is_refused)
{
	static const char *const texts[] = {
		"{\"sql\": \"COMMIT\"}",
		"{\"sql\": \" -- x\\n /* a /* b */ */ rollback\"}",
		"{\"sql\": \"SET ROLE other\"}",
		"{\"sql\": \"SAVEPOINT s\"}",
		"{\"sql\": \";; Begin\"}",
		"{\"sql\": \"\"}",
	};
	size_t i;

	rig_open_conn(1, 0);
	rig_expect(1, OP_BEGIN, NULL, DONE_OK);
	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		rig_expect(1, OP_WRITE, texts[i], DONE_REJECTED);
		rig_expect_body("\"sqlstate\":\"0A000\"");
		ck_assert(rig.last.event.done.open_tx);
	}
	rig_expect(1, OP_ROLLBACK, NULL, DONE_OK);
	ck_assert(!rig.last.event.done.open_tx);
}
END_TEST

START_TEST(transactions)
{
	rig_open_conn(1, 0);
	rig_expect(1, OP_BEGIN, NULL, DONE_OK);
	ck_assert(rig.last.event.done.open_tx);
	rig_expect(1, OP_WRITE, "{\"sql\": \"INSERT INTO t VALUES (1, 'a')\"}",
		   DONE_OK);
	rig_expect(1, OP_READ, "{\"sql\": \"SELECT v FROM t\"}", DONE_OK);
	rig_expect_body("[\"a\"]");
	ck_assert_uint_eq(rig.last.event.done.after.pos, 1);
	rig_expect(1, OP_COMMIT, NULL, DONE_OK);
	ck_assert_uint_eq(rig.last.event.done.after.pos, 2);
	ck_assert(!rig.last.event.done.open_tx);
}
END_TEST

/* A failed transaction must not look committed. */
START_TEST(commit_of_a_failed_transaction)
{
	rig_open_conn(1, 0);
	rig_expect(1, OP_BEGIN, NULL, DONE_OK);
	rig_expect(1, OP_WRITE, "{\"sql\": \"INSERT INTO t VALUES (1, 'a')\"}",
		   DONE_OK);
	rig_expect(1, OP_WRITE, "{\"sql\": \"INSERT INTO t VALUES (1, 'a')\"}",
		   DONE_REJECTED);
	ck_assert(rig.last.event.done.open_tx);
	rig_expect(1, OP_COMMIT, NULL, DONE_REJECTED);
	ck_assert(!rig.last.event.done.open_tx);
	rig_expect(1, OP_READ, "{\"sql\": \"SELECT count(*) FROM t\"}",
		   DONE_OK);
	rig_expect_body("[[0]]");
}
END_TEST

/* The error comes at the end of a group, after the rows. */
START_TEST(failed_commit_is_rejected)
{
	ck_assert(members_sql(rig.members, rig.spec.endpoints[0].endpoint,
			      "CREATE TABLE c (k INTEGER REFERENCES t (k) "
			      "DEFERRABLE INITIALLY DEFERRED)"));
	rig_open_conn(1, 0);
	rig_expect(1, OP_WRITE, "{\"sql\": \"INSERT INTO c VALUES (9)\"}",
		   DONE_REJECTED);
	rig_expect_body("23503");
	rig_expect(1, OP_BEGIN, NULL, DONE_OK);
	rig_expect(1, OP_WRITE, "{\"sql\": \"INSERT INTO c VALUES (9)\"}",
		   DONE_OK);
	rig_expect(1, OP_COMMIT, NULL, DONE_REJECTED);
	rig_expect_body("23503");
	ck_assert(!rig.last.event.done.open_tx);
	rig_expect(1, OP_READ, "{\"sql\": \"SELECT count(*) FROM c\"}",
		   DONE_OK);
	rig_expect_body("[[0]]");
}
END_TEST

START_TEST(fenced_commit_is_refused)
{
	rig_open_conn(1, 0);
	rig_expect(1, OP_BEGIN, NULL, DONE_OK);
	rig_expect(1, OP_WRITE, "{\"sql\": \"INSERT INTO t VALUES (1, 'a')\"}",
		   DONE_OK);
	rig_control(0, (struct control){ .op = CONTROL_FENCE,
					 .term = 2,
					 .requester = LIFE });
	rig_expect(1, OP_COMMIT, NULL, DONE_REFUSED);
	rig_expect(1, OP_WRITE, "{\"sql\": \"INSERT INTO t VALUES (1, 'a')\"}",
		   DONE_REFUSED);
	rig_expect_body("\"sqlstate\":\"25006\"");
}
END_TEST

static uint64_t statements_run(void)
{
	struct member_stats f;

	members_stats(rig.members, rig.spec.endpoints[0].endpoint, &f);
	return f.statements;
}

/* Whatever ends a transaction is followed by DISCARD ALL. */
START_TEST(sessions_are_cleared_between_users)
{
	uint64_t before;

	rig_open_conn(1, 0);
	before = statements_run();
	rig_expect(1, OP_WRITE, "{\"sql\": \"DELETE FROM t\"}", DONE_OK);
	ck_assert_uint_eq(statements_run() - before, 4);
	rig_expect(1, OP_READ, "{\"sql\": \"SELECT 1\"}", DONE_OK);
	ck_assert_uint_eq(statements_run() - before, 10);
	rig_expect(1, OP_BEGIN, NULL, DONE_OK);
	rig_expect(1, OP_WRITE, "{\"sql\": \"DELETE FROM t\"}", DONE_OK);
	ck_assert_uint_eq(statements_run() - before, 16);
	rig_expect(1, OP_COMMIT, NULL, DONE_OK);
	ck_assert_uint_eq(statements_run() - before, 20);
}
END_TEST

START_TEST(reset_clears_the_connection)
{
	rig_open_conn(1, 0);
	rig_expect(1, OP_BEGIN, NULL, DONE_OK);
	rig_expect(1, OP_WRITE, "{\"sql\": \"INSERT INTO t VALUES (1, 'a')\"}",
		   DONE_OK);
	rig_on_conn(1, rig_run_reset);
	rig_await_event(EV_DONE);
	ck_assert_uint_eq(rig.last.event.done.id.seq, 0);
	ck_assert_int_eq(rig.last.event.done.done, DONE_OK);
	ck_assert(!rig.last.event.done.open_tx);
	rig_expect(1, OP_READ, "{\"sql\": \"SELECT count(*) FROM t\"}",
		   DONE_OK);
	rig_expect_body("[[0]]");
}
END_TEST

START_TEST(cancel_ends_a_wait)
{
	rig_open_conn(1, 0);
	rig_open_conn(2, 0);
	rig_expect(1, OP_BEGIN, NULL, DONE_OK);
	rig_expect(1, OP_WRITE, "{\"sql\": \"INSERT INTO t VALUES (1, 'a')\"}",
		   DONE_OK);
	rig_start_op(2, OP_WRITE,
		     "{\"sql\": \"INSERT INTO t VALUES (2, 'b')\"}");
	rig_no_event(20 * HM_MS);
	rig_on_conn(2, rig_run_cancel);
	rig_await_event(EV_DONE);
	ck_assert_uint_eq(rig.last.event.done.conn, 2);
	ck_assert_int_eq(rig.last.event.done.done, DONE_REJECTED);
	rig_expect_body("57014");
	rig_expect(1, OP_COMMIT, NULL, DONE_OK);
}
END_TEST

/* A cancel that comes after its statement must not hit the next one. */
START_TEST(late_cancel_hits_nothing)
{
	hm_time start;

	rig_open_conn(1, 0);
	start = loop_now();
	rig_start_op(1, OP_READ, "{\"sql\": \"SELECT 1\"}");
	rig_on_conn(1, rig_run_cancel);
	rig_await_event(EV_DONE);
	ck_assert_int_eq(rig.last.event.done.done, DONE_OK);
	ck_assert_int_ge(loop_now() - start, SLOW_CONNECT);
	rig_expect(1, OP_READ, "{\"sql\": \"SELECT 2\"}", DONE_OK);
	rig_expect_body("[[2]]");
}
END_TEST

/* Nobody knows when that cancel arrives: the connection is given up. */
START_TEST(unanswered_cancel_ends_the_connection)
{
	struct call next = { .run = rig_run_execute,
			     .conn = 2,
			     .json = "{\"sql\": \"SELECT 2\"}" };

	rig_open_conn(1, 0);
	ck_assert(rig_probe(0).reachable);
	rig_fault(0, (struct member_faults){ .silent = true });
	rig_open_conn(2, 0);
	rig_start_op(2, OP_READ, "{\"sql\": \"SELECT 1\"}");
	rig.reply = &next;
	rig_on_conn(2, rig_run_cancel);
	rig_await_event(EV_DONE);
	ck_assert_int_eq(rig.last.event.done.done, DONE_OK);
	rig_await_event(EV_DONE);
	ck_assert_int_eq(rig.last.event.done.done, DONE_NOT_SENT);
	ck_assert_uint_eq(rig_await_event(EV_CLOSED)->conn.conn, 2);
}
END_TEST

START_TEST(closed_connections_say_nothing)
{
	rig_open_conn(1, 0);
	rig_fault(0, (struct member_faults){ .paused = true });
	rig_start_op(1, OP_READ, "{\"sql\": \"SELECT 1\"}");
	rig_on_conn(1, rig_run_close);
	rig_start_connect(2, 0);
	rig_on_conn(2, rig_run_close);
	rig_fault(0, (struct member_faults){ 0 });
	rig_no_event(60 * HM_MS);
}
END_TEST

START_TEST(answers_are_limited)
{
	rig_open_conn(1, 0);
	rig_expect(1, OP_WRITE,
		   "{\"sql\": \"INSERT INTO t WITH RECURSIVE n(i) AS (SELECT 1 "
		   "UNION ALL SELECT i + 1 FROM n WHERE i < 6) "
		   "SELECT i, 'x' FROM n\"}",
		   DONE_OK);
	rig_expect(1, OP_READ, "{\"sql\": \"SELECT k FROM t\"}", DONE_REJECTED);
	rig_expect_body("was run");
	rig_expect(1, OP_READ, "{\"sql\": \"SELECT hex(zeroblob(2000))\"}",
		   DONE_REJECTED);
	rig_expect(1, OP_READ, "{\"sql\": \"SELECT k FROM t LIMIT 5\"}",
		   DONE_OK);
}
END_TEST

static void expect_values(const char *json, const char *rows)
{
	rig_expect(1, OP_READ, json, DONE_OK);
	rig_expect_body(rows);
}

START_TEST(values_keep_their_kind)
{
	rig_open_conn(1, 0);
	expect_values("{\"sql\": \"SELECT '007', 1e300, -3, 0.25, '1e', ''\"}",
		      "[[\"007\",1.0e+300,-3,0.25,\"1e\",\"\"]]");
	expect_values("{\"sql\": \"SELECT 1 AS v UNION ALL SELECT '007'\"}",
		      "[[1],[\"007\"]]");
	expect_values("{\"sql\": \"SELECT $1 AS v\", "
		      "\"params\": [\"tab\\t \\\"quoted\\\" \\\\\"]}",
		      "[[\"tab\\u0009 \\\"quoted\\\" \\\\\"]]");
	expect_values("{\"sql\": \"SELECT $1, $2, $3, $4\", "
		      "\"params\": [true, 2.5, [1, 2], \"5\"]}",
		      "[[1,2.5,\"[1,2]\",5]]");
	expect_values("{\"sql\": \"SELECT k FROM t\"}",
		      "{\"columns\":[\"k\"],\"rows\":[],\"affected\":0}");
}
END_TEST

START_TEST(lost_answer_is_lost)
{
	rig_open_conn(1, 0);
	rig_fault(0, (struct member_faults){ .lose_answer = true });
	rig_expect(1, OP_WRITE, "{\"sql\": \"INSERT INTO t VALUES (1, 'a')\"}",
		   DONE_LOST);
	ck_assert(!rig_await_event(EV_CLOSED)->conn.failed);
	rig_fault(0, (struct member_faults){ 0 });
	rig_open_conn(2, 0);
	rig_expect(2, OP_READ, "{\"sql\": \"SELECT v FROM t\"}", DONE_OK);
	rig_expect_body("[\"a\"]");
}
END_TEST

START_TEST(broken_connection_is_not_sent)
{
	hm_time end = loop_now() + PATIENCE;

	rig_open_conn(1, 0);
	rig_fault(0, (struct member_faults){ .cut_all = true });
	ck_assert(!rig_await_event(EV_CLOSED)->conn.failed);
	rig_expect(1, OP_READ, "{\"sql\": \"SELECT 1\"}", DONE_NOT_SENT);
	rig_start_connect(2, 0);
	ck_assert(rig_await_event(EV_CLOSED)->conn.failed);
	ck_assert(loop_now() < end);
}
END_TEST

START_TEST(refused_connections_fail)
{
	uint64_t i;

	for (i = 1; i <= 4; i++)
		rig_open_conn(i, 0);
	rig_start_connect(5, 0);
	ck_assert(rig_await_event(EV_CLOSED)->conn.failed);
}
END_TEST

START_TEST(connect_has_a_deadline)
{
	hm_time start = loop_now();

	rig_fault(0, (struct member_faults){ .paused = true });
	rig_start_connect(1, 0);
	ck_assert(rig_await_event(EV_CLOSED)->conn.failed);
	ck_assert_int_ge(loop_now() - start, CONNECT_LIMIT);
}
END_TEST

START_TEST(late_answers_arrive)
{
	rig_open_conn(1, 0);
	rig_fault(0, (struct member_faults){ .answer_delay = 50 * HM_MS });
	rig_expect(1, OP_READ, "{\"sql\": \"SELECT 1\"}", DONE_OK);
	ck_assert(rig_probe(0).reachable);
}
END_TEST

START_TEST(slow_statements_run_side_by_side)
{
	rig_open_conn(1, 0);
	rig_open_conn(2, 0);
	rig_start_op(1, OP_READ, "{\"sql\": \"SELECT 'one'\"}");
	rig_start_op(2, OP_READ, "{\"sql\": \"SELECT 'two'\"}");
	rig_await_event(EV_DONE);
	rig_expect_body(rig.last.event.done.conn == 1 ? "one" : "two");
	rig_await_event(EV_DONE);
	rig_expect_body(rig.last.event.done.conn == 1 ? "one" : "two");
}
END_TEST

static TCase *tcase_driver(const char *name, SFun begin)
{
	TCase *tc = tcase_create(name);

	tcase_add_checked_fixture(tc, begin, rig_teardown);
	tcase_set_timeout(tc, 30);
	return tc;
}

static void add_statements(Suite *suite)
{
	TCase *tc = tcase_driver("statements", rig_setup);

	tcase_add_test(tc, round_trip);
	tcase_add_test(tc, errors_are_rejected);
	tcase_add_test(tc, transaction_control_by_text_is_refused);
	tcase_add_test(tc, transactions);
	tcase_add_test(tc, commit_of_a_failed_transaction);
	tcase_add_test(tc, failed_commit_is_rejected);
	tcase_add_test(tc, fenced_commit_is_refused);
	tcase_add_test(tc, sessions_are_cleared_between_users);
	tcase_add_test(tc, reset_clears_the_connection);
	tcase_add_test(tc, cancel_ends_a_wait);
	tcase_add_test(tc, closed_connections_say_nothing);
	tcase_add_test(tc, answers_are_limited);
	tcase_add_test(tc, values_keep_their_kind);
	tcase_add_test(tc, lost_answer_is_lost);
	tcase_add_test(tc, late_answers_arrive);
	suite_add_tcase(suite, tc);
	tc = tcase_driver("slow", rig_setup_slow);
	tcase_add_test(tc, slow_statements_run_side_by_side);
	tcase_add_test(tc, late_cancel_hits_nothing);
	tcase_add_test(tc, unanswered_cancel_ends_the_connection);
	suite_add_tcase(suite, tc);
}

static void add_connections(Suite *suite)
{
	TCase *tc = tcase_driver("connections", rig_setup);

	tcase_add_test(tc, broken_connection_is_not_sent);
	tcase_add_test(tc, refused_connections_fail);
	tcase_add_test(tc, connect_has_a_deadline);
	suite_add_tcase(suite, tc);
}

int main(void)
{
	Suite *suite = suite_create("driver");
	SRunner *runner;
	int failed;

	add_statements(suite);
	add_connections(suite);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
