/** @file test_driver.c Statements and connections of the PostgreSQL driver. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "driver_fixture.h"

START_TEST(round_trip)
{
	const struct event *e;

	fixture_open_conn(1, 0);
	e = fixture_run_op(1, OP_WRITE,
			   "{\"sql\": \"INSERT INTO t VALUES ($1, $2)\", "
			   "\"params\": [7, \"a 'b' \\u00e4\"]}");
	ck_assert_int_eq(e->done.done, DONE_OK);
	ck_assert_uint_eq(e->done.before.pos, 1);
	ck_assert_uint_eq(e->done.after.pos, 2);
	ck_assert_uint_eq(e->done.after.term, 1);
	ck_assert_uint_eq(e->done.lineage.count, 1);
	ck_assert(!e->done.open_tx);
	fixture_expect_body("\"affected\":1");
	fixture_expect(1, OP_READ,
		       "{\"sql\": \"SELECT k, v, $1 AS n, 1.5 AS r FROM t\", "
		       "\"params\": [null]}",
		       DONE_OK);
	fixture_expect_body("\"columns\":[\"k\",\"v\",\"n\",\"r\"]");
	fixture_expect_body("\"rows\":[[7,\"a 'b' \xc3\xa4\",null,1.5]]");
}
END_TEST

START_TEST(errors_are_rejected)
{
	fixture_open_conn(1, 0);
	fixture_expect(1, OP_READ, "{\"sql\": \"SELECT x FROM t\"}",
		       DONE_REJECTED);
	fixture_expect_body("\"sqlstate\":\"42703\"");
	ck_assert(!fixture.last.event.done.open_tx);
	fixture_expect(1, OP_WRITE, "{\"sql\": 7}", DONE_REJECTED);
	fixture_expect(1, OP_READ, "{\"sql\": \"DELETE FROM t\"}",
		       DONE_REJECTED);
	fixture_expect_body("\"sqlstate\":\"25006\"");
	fixture_expect(1, OP_READ, "{\"sql\": \"SELECT 1 AS one\"}", DONE_OK);
	fixture_expect(9, OP_READ, "{\"sql\": \"SELECT 1\"}", DONE_NOT_SENT);
}
END_TEST

/*
 * SQL text that controls transactions or changes the session is not sent: it
 * would affect the next session on the connection.
 */
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

	fixture_open_conn(1, 0);
	fixture_expect(1, OP_BEGIN, NULL, DONE_OK);
	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		fixture_expect(1, OP_WRITE, texts[i], DONE_REJECTED);
		fixture_expect_body("\"sqlstate\":\"0A000\"");
		ck_assert(fixture.last.event.done.open_tx);
	}
	fixture_expect(1, OP_ROLLBACK, NULL, DONE_OK);
	ck_assert(!fixture.last.event.done.open_tx);
}
END_TEST

START_TEST(transactions)
{
	fixture_open_conn(1, 0);
	fixture_expect(1, OP_BEGIN, NULL, DONE_OK);
	ck_assert(fixture.last.event.done.open_tx);
	fixture_expect(1, OP_WRITE,
		       "{\"sql\": \"INSERT INTO t VALUES (1, 'a')\"}", DONE_OK);
	fixture_expect(1, OP_READ, "{\"sql\": \"SELECT v FROM t\"}", DONE_OK);
	fixture_expect_body("[\"a\"]");
	ck_assert_uint_eq(fixture.last.event.done.after.pos, 1);
	fixture_expect(1, OP_COMMIT, NULL, DONE_OK);
	ck_assert_uint_eq(fixture.last.event.done.after.pos, 2);
	ck_assert(!fixture.last.event.done.open_tx);
}
END_TEST

/*
 * PostgreSQL answers the COMMIT of a failed transaction with ROLLBACK and no
 * error. The driver must not report it as committed.
 */
START_TEST(commit_of_failed_transaction)
{
	fixture_open_conn(1, 0);
	fixture_expect(1, OP_BEGIN, NULL, DONE_OK);
	fixture_expect(1, OP_WRITE,
		       "{\"sql\": \"INSERT INTO t VALUES (1, 'a')\"}", DONE_OK);
	fixture_expect(1, OP_WRITE,
		       "{\"sql\": \"INSERT INTO t VALUES (1, 'a')\"}",
		       DONE_REJECTED);
	ck_assert(fixture.last.event.done.open_tx);
	fixture_expect(1, OP_COMMIT, NULL, DONE_REJECTED);
	ck_assert(!fixture.last.event.done.open_tx);
	fixture_expect(1, OP_READ, "{\"sql\": \"SELECT count(*) FROM t\"}",
		       DONE_OK);
	fixture_expect_body("[[0]]");
}
END_TEST

/*
 * A deferred constraint fails at the commit. The error then arrives at the end
 * of the query group, after the result of the statement.
 */
START_TEST(failed_commit_is_rejected)
{
	ck_assert(members_sql(fixture.members,
			      fixture.spec.endpoints[0].endpoint,
			      "CREATE TABLE c (k INTEGER REFERENCES t (k) "
			      "DEFERRABLE INITIALLY DEFERRED)"));
	fixture_open_conn(1, 0);
	fixture_expect(1, OP_WRITE, "{\"sql\": \"INSERT INTO c VALUES (9)\"}",
		       DONE_REJECTED);
	fixture_expect_body("23503");
	fixture_expect(1, OP_BEGIN, NULL, DONE_OK);
	fixture_expect(1, OP_WRITE, "{\"sql\": \"INSERT INTO c VALUES (9)\"}",
		       DONE_OK);
	fixture_expect(1, OP_COMMIT, NULL, DONE_REJECTED);
	fixture_expect_body("23503");
	ck_assert(!fixture.last.event.done.open_tx);
	fixture_expect(1, OP_READ, "{\"sql\": \"SELECT count(*) FROM c\"}",
		       DONE_OK);
	fixture_expect_body("[[0]]");
}
END_TEST

START_TEST(fenced_commit_is_refused)
{
	fixture_open_conn(1, 0);
	fixture_expect(1, OP_BEGIN, NULL, DONE_OK);
	fixture_expect(1, OP_WRITE,
		       "{\"sql\": \"INSERT INTO t VALUES (1, 'a')\"}", DONE_OK);
	fixture_control(0, (struct control){ .op = CONTROL_FENCE,
					     .term = 2,
					     .requester = INCARNATION });
	fixture_expect(1, OP_COMMIT, NULL, DONE_REFUSED);
	fixture_expect(1, OP_WRITE,
		       "{\"sql\": \"INSERT INTO t VALUES (1, 'a')\"}",
		       DONE_REFUSED);
	fixture_expect_body("\"sqlstate\":\"25006\"");
}
END_TEST

static uint64_t statements_run(void)
{
	struct member_stats f;

	members_stats(fixture.members, fixture.spec.endpoints[0].endpoint, &f);
	return f.statements;
}

/*
 * The driver sends DISCARD ALL after each statement that leaves no transaction
 * open. The numbers are the queries that the member ran.
 */
START_TEST(sessions_are_cleared_between_users)
{
	uint64_t before;

	fixture_open_conn(1, 0);
	before = statements_run();
	fixture_expect(1, OP_WRITE, "{\"sql\": \"DELETE FROM t\"}", DONE_OK);
	ck_assert_uint_eq(statements_run() - before, 4);
	fixture_expect(1, OP_READ, "{\"sql\": \"SELECT 1\"}", DONE_OK);
	ck_assert_uint_eq(statements_run() - before, 10);
	fixture_expect(1, OP_BEGIN, NULL, DONE_OK);
	fixture_expect(1, OP_WRITE, "{\"sql\": \"DELETE FROM t\"}", DONE_OK);
	ck_assert_uint_eq(statements_run() - before, 16);
	fixture_expect(1, OP_COMMIT, NULL, DONE_OK);
	ck_assert_uint_eq(statements_run() - before, 20);
}
END_TEST

START_TEST(reset_clears_the_connection)
{
	fixture_open_conn(1, 0);
	fixture_expect(1, OP_BEGIN, NULL, DONE_OK);
	fixture_expect(1, OP_WRITE,
		       "{\"sql\": \"INSERT INTO t VALUES (1, 'a')\"}", DONE_OK);
	fixture_on_conn(1, fixture_run_reset);
	fixture_await_event(EV_DONE);
	ck_assert_uint_eq(fixture.last.event.done.id.seq, 0);
	ck_assert_int_eq(fixture.last.event.done.done, DONE_OK);
	ck_assert(!fixture.last.event.done.open_tx);
	fixture_expect(1, OP_READ, "{\"sql\": \"SELECT count(*) FROM t\"}",
		       DONE_OK);
	fixture_expect_body("[[0]]");
}
END_TEST

START_TEST(cancel_ends_a_wait)
{
	fixture_open_conn(1, 0);
	fixture_open_conn(2, 0);
	fixture_expect(1, OP_BEGIN, NULL, DONE_OK);
	fixture_expect(1, OP_WRITE,
		       "{\"sql\": \"INSERT INTO t VALUES (1, 'a')\"}", DONE_OK);
	fixture_start_op(2, OP_WRITE,
			 "{\"sql\": \"INSERT INTO t VALUES (2, 'b')\"}");
	fixture_no_event(20 * HM_MS);
	fixture_on_conn(2, fixture_run_cancel);
	fixture_await_event(EV_DONE);
	ck_assert_uint_eq(fixture.last.event.done.conn, 2);
	ck_assert_int_eq(fixture.last.event.done.done, DONE_REJECTED);
	fixture_expect_body("57014");
	fixture_expect(1, OP_COMMIT, NULL, DONE_OK);
}
END_TEST

/*
 * A cancel that arrives after its statement ended must not hit the next one.
 * The cancel needs a new connection here, and EV_DONE waits for it.
 */
START_TEST(late_cancel_has_no_effect)
{
	hm_time start;

	fixture_open_conn(1, 0);
	start = loop_now();
	fixture_start_op(1, OP_READ, "{\"sql\": \"SELECT 1\"}");
	fixture_on_conn(1, fixture_run_cancel);
	fixture_await_event(EV_DONE);
	ck_assert_int_eq(fixture.last.event.done.done, DONE_OK);
	ck_assert_int_ge(loop_now() - start, SLOW_CONNECT);
	fixture_expect(1, OP_READ, "{\"sql\": \"SELECT 2\"}", DONE_OK);
	fixture_expect_body("[[2]]");
}
END_TEST

/*
 * An unanswered cancel may arrive at any later time, so the connection is
 * closed, and a statement started on it meanwhile is not sent.
 */
START_TEST(unanswered_cancel_ends_the_connection)
{
	struct driver_call next = { .run = fixture_run_execute,
				    .conn = 2,
				    .json = "{\"sql\": \"SELECT 2\"}" };

	fixture_open_conn(1, 0);
	ck_assert(fixture_probe(0).reachable);
	fixture_fault(0, (struct member_faults){ .silent = true });
	fixture_open_conn(2, 0);
	fixture_start_op(2, OP_READ, "{\"sql\": \"SELECT 1\"}");
	fixture.reply = &next;
	fixture_on_conn(2, fixture_run_cancel);
	fixture_await_event(EV_DONE);
	ck_assert_int_eq(fixture.last.event.done.done, DONE_OK);
	fixture_await_event(EV_DONE);
	ck_assert_int_eq(fixture.last.event.done.done, DONE_NOT_SENT);
	ck_assert_uint_eq(fixture_await_event(EV_CLOSED)->conn.conn, 2);
}
END_TEST

START_TEST(closed_connections_send_no_events)
{
	fixture_open_conn(1, 0);
	fixture_fault(0, (struct member_faults){ .paused = true });
	fixture_start_op(1, OP_READ, "{\"sql\": \"SELECT 1\"}");
	fixture_on_conn(1, fixture_run_close);
	fixture_start_connect(2, 0);
	fixture_on_conn(2, fixture_run_close);
	fixture_fault(0, (struct member_faults){ 0 });
	fixture_no_event(60 * HM_MS);
}
END_TEST

START_TEST(answers_are_limited)
{
	fixture_open_conn(1, 0);
	fixture_expect(
		1, OP_WRITE,
		"{\"sql\": \"INSERT INTO t WITH RECURSIVE n(i) AS (SELECT 1 "
		"UNION ALL SELECT i + 1 FROM n WHERE i < 6) "
		"SELECT i, 'x' FROM n\"}",
		DONE_OK);
	fixture_expect(1, OP_READ, "{\"sql\": \"SELECT k FROM t\"}",
		       DONE_REJECTED);
	fixture_expect_body("was run");
	fixture_expect(1, OP_READ, "{\"sql\": \"SELECT hex(zeroblob(2000))\"}",
		       DONE_REJECTED);
	fixture_expect(1, OP_READ, "{\"sql\": \"SELECT k FROM t LIMIT 5\"}",
		       DONE_OK);
}
END_TEST

static void expect_values(const char *json, const char *rows)
{
	fixture_expect(1, OP_READ, json, DONE_OK);
	fixture_expect_body(rows);
}

START_TEST(values_keep_their_kind)
{
	fixture_open_conn(1, 0);
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
	fixture_open_conn(1, 0);
	fixture_fault(0, (struct member_faults){ .lose_answer = true });
	fixture_expect(1, OP_WRITE,
		       "{\"sql\": \"INSERT INTO t VALUES (1, 'a')\"}",
		       DONE_LOST);
	ck_assert(!fixture_await_event(EV_CLOSED)->conn.failed);
	fixture_fault(0, (struct member_faults){ 0 });
	fixture_open_conn(2, 0);
	fixture_expect(2, OP_READ, "{\"sql\": \"SELECT v FROM t\"}", DONE_OK);
	fixture_expect_body("[\"a\"]");
}
END_TEST

START_TEST(broken_connection_is_not_sent)
{
	hm_time end = loop_now() + EVENT_TIMEOUT;

	fixture_open_conn(1, 0);
	fixture_fault(0, (struct member_faults){ .cut_all = true });
	ck_assert(!fixture_await_event(EV_CLOSED)->conn.failed);
	fixture_expect(1, OP_READ, "{\"sql\": \"SELECT 1\"}", DONE_NOT_SENT);
	fixture_start_connect(2, 0);
	ck_assert(fixture_await_event(EV_CLOSED)->conn.failed);
	ck_assert(loop_now() < end);
}
END_TEST

START_TEST(refused_connections_fail)
{
	uint64_t i;

	for (i = 1; i <= 4; i++)
		fixture_open_conn(i, 0);
	fixture_start_connect(5, 0);
	ck_assert(fixture_await_event(EV_CLOSED)->conn.failed);
}
END_TEST

START_TEST(connect_has_a_deadline)
{
	hm_time start = loop_now();

	fixture_fault(0, (struct member_faults){ .paused = true });
	fixture_start_connect(1, 0);
	ck_assert(fixture_await_event(EV_CLOSED)->conn.failed);
	ck_assert_int_ge(loop_now() - start, CONNECT_LIMIT);
}
END_TEST

START_TEST(late_answers_arrive)
{
	fixture_open_conn(1, 0);
	fixture_fault(0, (struct member_faults){ .answer_delay = 50 * HM_MS });
	fixture_expect(1, OP_READ, "{\"sql\": \"SELECT 1\"}", DONE_OK);
	ck_assert(fixture_probe(0).reachable);
}
END_TEST

START_TEST(slow_statements_run_side_by_side)
{
	fixture_open_conn(1, 0);
	fixture_open_conn(2, 0);
	fixture_start_op(1, OP_READ, "{\"sql\": \"SELECT 'one'\"}");
	fixture_start_op(2, OP_READ, "{\"sql\": \"SELECT 'two'\"}");
	fixture_await_event(EV_DONE);
	fixture_expect_body(fixture.last.event.done.conn == 1 ? "one" : "two");
	fixture_await_event(EV_DONE);
	fixture_expect_body(fixture.last.event.done.conn == 1 ? "one" : "two");
}
END_TEST

static TCase *tcase_driver(const char *name, SFun begin)
{
	TCase *tc = tcase_create(name);

	tcase_add_checked_fixture(tc, begin, fixture_teardown);
	tcase_set_timeout(tc, 30);
	return tc;
}

static void add_statements(Suite *suite)
{
	TCase *tc = tcase_driver("statements", fixture_setup);

	tcase_add_test(tc, round_trip);
	tcase_add_test(tc, errors_are_rejected);
	tcase_add_test(tc, transaction_control_by_text_is_refused);
	tcase_add_test(tc, transactions);
	tcase_add_test(tc, commit_of_failed_transaction);
	tcase_add_test(tc, failed_commit_is_rejected);
	tcase_add_test(tc, fenced_commit_is_refused);
	tcase_add_test(tc, sessions_are_cleared_between_users);
	tcase_add_test(tc, reset_clears_the_connection);
	tcase_add_test(tc, cancel_ends_a_wait);
	tcase_add_test(tc, closed_connections_send_no_events);
	tcase_add_test(tc, answers_are_limited);
	tcase_add_test(tc, values_keep_their_kind);
	tcase_add_test(tc, lost_answer_is_lost);
	tcase_add_test(tc, late_answers_arrive);
	suite_add_tcase(suite, tc);
	tc = tcase_driver("slow", fixture_setup_slow);
	tcase_add_test(tc, slow_statements_run_side_by_side);
	tcase_add_test(tc, late_cancel_has_no_effect);
	tcase_add_test(tc, unanswered_cancel_ends_the_connection);
	suite_add_tcase(suite, tc);
}

static void add_connections(Suite *suite)
{
	TCase *tc = tcase_driver("connections", fixture_setup);

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
