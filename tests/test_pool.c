/**
 * @file test_pool.c
 * Connection pool of one member: the primary check before a statement is sent,
 * the session values on a connection, transactions, and the result of each end
 * of a statement. Commands and results are compared as text.
 */
#include <check.h>
#include <string.h>

#include "pool_fixture.h"
#include "suite.h"

START_TEST(read_waits_for_primary_check)
{
	struct run_request o = pool_fixture_request(1, STMT_READ, RUN_SINGLE);
	struct pool_fixture r;

	pool_fixture_open(&r, 2, 16);
	pool_fixture_add_idle_conn(&r);
	o.primary_only = true;
	pool_fixture_submit(&r, &o);
	proxy_text_expect(r.text, "begin 1\nrollback 1\n");
	pool_fixture_reply(&r, 1, ERR_NONE, SESSION_OPEN);
	proxy_text_expect(r.text, "");
	pool_fixture_reply(&r, 1, ERR_NONE, SESSION_IDLE);
	proxy_text_expect(r.text, "statement 1 r1 READ a\n");
	pool_fixture_reply(&r, 1, ERR_NONE, SESSION_IDLE);
	pool_fixture_results(&r);
	proxy_text_expect(r.text, "r1: ok, run, I\n");
	pool_fixture_close(&r);
}
END_TEST

START_TEST(read_is_not_sent_to_former_primary)
{
	struct run_request o = pool_fixture_request(1, STMT_READ, RUN_SINGLE);
	struct pool_fixture r;

	pool_fixture_open(&r, 2, 16);
	pool_fixture_add_idle_conn(&r);
	o.primary_only = true;
	pool_fixture_submit(&r, &o);
	g_string_truncate(r.text, 0);
	pool_fixture_reply(&r, 1, ERR_READ_ONLY, SESSION_IDLE);
	pool_fixture_reply(&r, 1, ERR_BAD_REQUEST, SESSION_IDLE);
	pool_fixture_results(&r);
	proxy_text_expect(r.text, "r1: read_only, not run, I\n");
	pool_fixture_close(&r);
}
END_TEST

START_TEST(replica_read_has_minimum_position)
{
	struct run_request o = pool_fixture_request(1, STMT_READ, RUN_SINGLE);
	struct pool_fixture r;

	pool_fixture_open(&r, 2, 16);
	pool_fixture_add_idle_conn(&r);
	o.max_age = HM_SEC;
	pool_fixture_submit(&r, &o);
	pool_fixture_results(&r);
	proxy_text_expect(r.text, "r1: not_caught_up, not run, I\n");
	/* The first sample is too old for the read. */
	r.view.samples[0].requested_at = POOL_FIXTURE_NOW - 2 * HM_SEC;
	r.view.samples[0].at = (struct log_pos){ 1, 30 };
	r.view.samples[1].requested_at = POOL_FIXTURE_NOW - HM_SEC / 2;
	r.view.samples[1].at = (struct log_pos){ 1, 40 };
	r.view.sample_count = 2;
	o.id.seq = 2;
	pool_fixture_submit(&r, &o);
	proxy_text_expect(r.text, "statement 1 r1 after=1.40 READ a\n");
	pool_fixture_reply(&r, 1, ERR_NONE, SESSION_IDLE);
	o.id.seq = 3;
	/* Position of a commit of the session itself. */
	o.min_position = (struct log_pos){ 1, 45 };
	pool_fixture_submit(&r, &o);
	pool_fixture_results(&r);
	proxy_text_expect(r.text, "statement 1 r1 after=1.45 READ a\n"
				  "r2: ok, run, I\n");
	pool_fixture_close(&r);
}
END_TEST

START_TEST(values_of_other_sessions_are_reset)
{
	struct session_value one[] = { { (char *)"tz", (char *)"utc" } };
	struct session_value two[] = { { (char *)"lang", (char *)"am" } };
	struct run_request o = pool_fixture_request(1, STMT_WRITE, RUN_SINGLE);
	struct pool_fixture r;

	pool_fixture_open(&r, 2, 16);
	pool_fixture_add_idle_conn(&r);
	o.values = one;
	o.value_count = 1;
	pool_fixture_submit(&r, &o);
	proxy_text_expect(r.text, "set 1 tz utc\n");
	pool_fixture_reply(&r, 1, ERR_NONE, SESSION_IDLE);
	pool_fixture_reply(&r, 1, ERR_NONE, SESSION_IDLE);
	proxy_text_expect(r.text, "statement 1 r1 WRITE a b\n");
	pool_fixture_submit(&r, &o);
	pool_fixture_reply(&r, 1, ERR_NONE, SESSION_IDLE);
	proxy_text_expect(r.text, "statement 1 r1 WRITE a b\n");
	o.values = two;
	pool_fixture_submit(&r, &o);
	proxy_text_expect(r.text, "reset 1\nset 1 lang am\n");
	pool_fixture_close(&r);
}
END_TEST

START_TEST(prepared_statements_are_known_by_shape)
{
	struct run_request o =
		pool_fixture_request(1, STMT_EXECUTE, RUN_SINGLE);
	char *first, *second;
	struct pool_fixture r;

	pool_fixture_open(&r, 2, 16);
	pool_fixture_add_idle_conn(&r);
	o.text = (char *)"1a4";
	o.shape = (char *)"q2c";
	pool_fixture_submit(&r, &o);
	first = g_strdup(r.text->str);
	ck_assert(g_str_has_prefix(first, "prepare 1 r"));
	pool_fixture_reply(&r, 1, ERR_NONE, SESSION_IDLE);
	pool_fixture_reply(&r, 1, ERR_NONE, SESSION_IDLE);
	g_string_truncate(r.text, 0);
	/* A write is prepared separately from a read of the same shape. */
	o.writes = true;
	pool_fixture_submit(&r, &o);
	second = g_strdup(r.text->str);
	ck_assert(g_str_has_prefix(second, "prepare 1 w"));
	g_free(first);
	g_free(second);
	pool_fixture_close(&r);
}
END_TEST

/* Opens a transaction with id @a id on connection 1. */
static void open_tx(struct pool_fixture *r, uint64_t id)
{
	struct run_request o = pool_fixture_request(id, STMT_READ, RUN_FIRST);

	pool_fixture_submit(r, &o);
	pool_fixture_reply(r, 1, ERR_NONE, SESSION_OPEN);
	pool_fixture_reply(r, 1, ERR_NONE, SESSION_OPEN);
	pool_fixture_results(r);
}

START_TEST(transaction_has_a_connection_of_its_own)
{
	struct run_request o = pool_fixture_request(2, STMT_WRITE, RUN_INSIDE);
	struct pool_fixture r;

	pool_fixture_open(&r, 2, 16);
	pool_fixture_add_idle_conn(&r);
	open_tx(&r, 1);
	proxy_text_expect(r.text, "begin 1\nstatement 1 r1 READ a\n"
				  "r1: ok, run, T\n");
	o.scope = RUN_SINGLE;
	pool_fixture_submit(&r, &o); /* same account, outside the transaction */
	proxy_text_expect(r.text, "connect 2 m1 acme\n");
	o = pool_fixture_request(3, STMT_COMMIT, RUN_INSIDE);
	o.tx.seq = 1;
	o.text = (char *)"COMMIT";
	pool_fixture_submit(&r, &o);
	proxy_text_expect(r.text, "statement 1 r3 COMMIT\n");
	pool_fixture_reply(&r, 1, ERR_NONE, SESSION_IDLE);
	pool_fixture_results(&r);
	proxy_text_expect(r.text, "r3: ok, run, I\n");
	pool_fixture_close(&r);
}
END_TEST

/*
 * A statement inside a transaction was refused because it had waited too long.
 * The transaction stayed open on its connection, and the session's next
 * transaction was sent to that connection.
 */
START_TEST(refused_statement_ends_its_transaction)
{
	struct run_request busy =
		pool_fixture_request(8, STMT_WRITE, RUN_SINGLE);
	struct run_request o = pool_fixture_request(2, STMT_READ, RUN_INSIDE);
	struct pool_fixture r;

	pool_fixture_open(&r, 1, 16);
	pool_fixture_add_idle_conn(&r);
	open_tx(&r, 1);
	g_string_truncate(r.text, 0);
	pool_fixture_submit(&r, &busy); /* takes the only slot */
	o.tx.seq = 1;
	o.start_by = r.now + 100 * HM_MS;
	pool_fixture_submit(&r, &o);
	g_string_truncate(r.text, 0);
	pool_fixture_tick(&r, 200 * HM_MS);
	pool_fixture_results(&r);
	proxy_text_expect(r.text, "rollback 1\nr2: overloaded, not run, E\n");
	o.id.seq = 4;
	pool_fixture_submit(&r, &o);
	pool_fixture_results(&r);
	proxy_text_expect(r.text, "r4: transaction_gone, not run, E\n");
	pool_fixture_close(&r);
}
END_TEST

START_TEST(idle_transaction_is_rolled_back)
{
	struct pool_fixture r;

	pool_fixture_open(&r, 2, 16);
	pool_fixture_add_idle_conn(&r);
	open_tx(&r, 1);
	g_string_truncate(r.text, 0);
	pool_fixture_tick(&r, 2900 * HM_MS);
	proxy_text_expect(r.text, "");
	pool_fixture_tick(&r, 200 * HM_MS);
	proxy_text_expect(r.text, "rollback 1\n");
	pool_fixture_close(&r);
}
END_TEST

START_TEST(results_say_whether_statement_ran)
{
	struct run_request o = pool_fixture_request(1, STMT_WRITE, RUN_SINGLE);
	struct pool_fixture r;

	pool_fixture_open(&r, 2, 16);
	pool_fixture_submit(&r, &o);
	pool_fixture_closed(&r, 1, ERR_NO_ENDPOINT); /* never connected */
	pool_fixture_results(&r);
	proxy_text_expect(r.text, "connect 1 m1 acme\nclose 1\n"
				  "r1: no_endpoint, not run, I\n");
	pool_fixture_tick(&r, 300 * HM_MS);
	pool_fixture_submit(&r, &o);
	pool_fixture_ready(&r, 2);
	pool_fixture_closed(&r, 2, ERR_NO_ENDPOINT); /* statement was sent */
	pool_fixture_results(&r);
	proxy_text_expect(r.text, "connect 2 m1 acme\n"
				  "statement 2 r1 WRITE a b\nclose 2\n"
				  "r1: outcome_unknown, unknown, I\n");
	pool_fixture_tick(&r, 300 * HM_MS);
	o.deadline = r.now + HM_SEC;
	o.start_by = r.now + HM_SEC;
	pool_fixture_submit(&r, &o);
	pool_fixture_ready(&r, 3);
	pool_fixture_tick(&r, 1100 * HM_MS); /* no reply in time */
	pool_fixture_results(&r);
	proxy_text_expect(r.text, "connect 3 m1 acme\n"
				  "statement 3 r1 WRITE a b\nclose 3\n"
				  "r1: time_limit, unknown, I\n");
	pool_fixture_close(&r);
}
END_TEST

START_TEST(silent_connection_is_closed_before_the_statement)
{
	struct run_request o = pool_fixture_request(1, STMT_READ, RUN_SINGLE);
	struct pool_fixture r;

	pool_fixture_open(&r, 2, 16);
	pool_fixture_add_idle_conn(&r);
	o.primary_only = true;
	pool_fixture_submit(&r, &o);
	pool_fixture_tick(&r, 600 * HM_MS);
	pool_fixture_results(&r);
	proxy_text_expect(r.text, "begin 1\nrollback 1\nclose 1\n"
				  "r1: no_endpoint, not run, I\n");
	pool_fixture_close(&r);
}
END_TEST

START_TEST(connections_go_from_idle_accounts_to_busy_ones)
{
	struct run_request o = pool_fixture_request(1, STMT_WRITE, RUN_SINGLE);
	struct pool_fixture r;

	/* Two of the three connections are reserved. */
	pool_fixture_open(&r, 2, 3);
	pool_fixture_add_idle_conn(&r);
	o.account = 4;
	g_strlcpy(o.account_name, "other", sizeof(o.account_name));
	pool_fixture_submit(&r, &o);
	proxy_text_expect(r.text, "close 1\nconnect 2 m1 other\n");
	/* Another owner has used up the connection limit. */
	pool_fixture_closed(&r, 2, ERR_CONNECTION_LIMIT);
	pool_fixture_results(&r);
	proxy_text_expect(r.text, "close 2\n"); /* waits for a connection */
	pool_fixture_tick(&r, 100 * HM_MS);
	pool_fixture_ready(&r, 3);
	proxy_text_expect(r.text, "connect 3 m1 other\n"
				  "statement 3 r1 WRITE a b\n");
	pool_fixture_close(&r);
}
END_TEST

START_TEST(full_member_serves_others_over_idle_connections)
{
	struct run_request o = pool_fixture_request(1, STMT_WRITE, RUN_SINGLE);
	struct pool_fixture r;

	pool_fixture_open(&r, 2, 16);
	pool_fixture_add_idle_conn(&r);
	o.account = 4;
	g_strlcpy(o.account_name, "other", sizeof(o.account_name));
	pool_fixture_submit(&r, &o);
	pool_fixture_closed(&r, 2, ERR_CONNECTION_LIMIT);
	proxy_text_expect(r.text, "connect 2 m1 other\nclose 2\n");
	pool_fixture_tick(&r, 60 * HM_MS);
	proxy_text_expect(r.text, "close 1\nconnect 3 m1 other\n");
	pool_fixture_close(&r);
}
END_TEST

/*
 * Spare connections left open use up the member's connection limit. After a
 * partition each half has an owner of its own; the first owner kept all
 * connections open and the member refused the second one. After a power loss
 * with 18 of 21 connections to a primary open, half of them spare, the member
 * accepted only 1 to 7 new ones for 1.1 s after its return.
 */
START_TEST(spare_connections_are_closed)
{
	struct run_request o = pool_fixture_request(1, STMT_WRITE, RUN_SINGLE);
	struct pool_fixture r;

	pool_fixture_open(&r, 2, 16);
	pool_fixture_add_idle_conn(&r);
	pool_fixture_submit(&r, &o);
	o.id.seq = 2;
	pool_fixture_submit(&r, &o);
	pool_fixture_ready(&r, 2);
	pool_fixture_reply(&r, 1, ERR_NONE, SESSION_IDLE);
	pool_fixture_reply(&r, 2, ERR_NONE, SESSION_IDLE);
	g_string_truncate(r.text, 0);
	pool_fixture_tick(&r, 180 * HM_MS);
	proxy_text_expect(r.text, "");
	pool_fixture_tick(&r, 40 * HM_MS);
	proxy_text_expect(r.text, "close 1\n");
	pool_fixture_tick(&r, 5 * HM_SEC);
	proxy_text_expect(r.text, "");
	pool_fixture_close(&r);
}
END_TEST

START_TEST(transactions_of_a_dead_instance_are_rolled_back)
{
	struct pool_fixture r;

	pool_fixture_open(&r, 2, 16);
	pool_fixture_add_idle_conn(&r);
	open_tx(&r, 1);
	g_string_truncate(r.text, 0);
	pool_release_incarnation(r.pool, POOL_FIXTURE_INCARNATION, r.now,
				 &r.out);
	proxy_text(r.text, &r.out);
	proxy_text_expect(r.text, "rollback 1\n");
	pool_fixture_close(&r);
}
END_TEST

/*
 * Load pattern: a member hangs with all slots in use, and statements of many
 * clients arrive. Each waited in the queue for its whole target latency, in
 * which it could have run elsewhere (abh-rota-now-grown, scale-1, 14 to 16 s:
 * of 1,023 refused as overloaded most had waited exactly for their target).
 */
START_TEST(queue_of_a_hanging_member_is_refused_early)
{
	struct pool_fixture r;
	hm_time waited = 0, longest = 0;
	uint32_t refused = 0, i;

	pool_fixture_open(&r, 1, 16);
	pool_fixture_add_idle_conn(&r);
	for (i = 1; i <= 40; i++) {
		struct run_request o =
			pool_fixture_request(i, STMT_WRITE, RUN_SINGLE);
		struct run_result *result;
		uint64_t to;

		o.start_by = r.now + 400 * HM_MS;
		o.deadline = r.now + 2 * HM_SEC;
		pool_fixture_submit(&r, &o);
		pool_fixture_tick(&r, 20 * HM_MS);
		while (pool_next_result(r.pool, &to, &result)) {
			waited = r.now - POOL_FIXTURE_NOW -
				 (hm_time)(result->id.seq - 1) * 20 * HM_MS;
			longest = waited > longest ? waited : longest;
			ck_assert_int_eq(result->error, ERR_OVERLOADED);
			ck_assert_int_eq(result->execution, EXEC_NOT_RUN);
			refused++;
			run_result_free(result);
		}
	}
	ck_assert_uint_gt(refused, 30);
	/* The first ones wait until it is known that the member hangs. */
	ck_assert_int_le(longest, 200 * HM_MS);
	pool_fixture_close(&r);
}
END_TEST

/* A member that is slow but answers keeps its queue. */
START_TEST(queue_of_a_slow_member_is_kept)
{
	struct run_request o = pool_fixture_request(1, STMT_WRITE, RUN_SINGLE);
	struct pool_fixture r;
	uint32_t i;

	pool_fixture_open(&r, 1, 16);
	pool_fixture_add_idle_conn(&r);
	for (i = 1; i <= 4; i++) {
		o = pool_fixture_request(i, STMT_WRITE, RUN_SINGLE);
		pool_fixture_submit(&r, &o);
	}
	for (i = 0; i < 3; i++) {
		pool_fixture_tick(&r, 140 * HM_MS);
		pool_fixture_reply(&r, 1, ERR_NONE, SESSION_IDLE);
	}
	g_string_truncate(r.text, 0);
	pool_fixture_results(&r);
	ck_assert_ptr_null(strstr(r.text->str, "overloaded"));
	pool_fixture_close(&r);
}
END_TEST

START_TEST(leaving_member_gets_no_new_statements_after_drain_limit)
{
	struct run_request o = pool_fixture_request(1, STMT_WRITE, RUN_SINGLE);
	struct pool_fixture r;

	pool_fixture_open(&r, 2, 16);
	pool_fixture_add_idle_conn(&r);
	r.member.leaving = true;
	r.member.leaving_since = r.now;
	pool_member(r.pool, &r.member, 16);
	r.now += r.options.drain_limit + HM_MS;
	o.start_by = r.now + HM_SEC;
	pool_fixture_submit(&r, &o);
	pool_fixture_results(&r);
	proxy_text_expect(r.text, "r1: no_endpoint, not run, I\n");
	pool_fixture_close(&r);
}
END_TEST

/*
 * Guards against requests to a member that left long ago: an instance that
 * became its owner late counted the drain limit from the start of its pool.
 */
START_TEST(pool_made_late_does_not_restart_the_drain_limit)
{
	struct run_request o = pool_fixture_request(1, STMT_WRITE, RUN_SINGLE);
	struct pool_fixture r;

	pool_fixture_open(&r, 2, 16);
	r.member.leaving = true;
	r.member.leaving_since = r.now - r.options.drain_limit - HM_MS;
	pool_member(r.pool, &r.member, 16);
	pool_fixture_submit(&r, &o);
	pool_fixture_results(&r);
	proxy_text_expect(r.text, "r1: no_endpoint, not run, I\n");
	pool_fixture_close(&r);
}
END_TEST

/* A pool that is closed has asked nobody whether a replica has the commit. */
START_TEST(commit_that_waits_ends_with_an_unknown_outcome)
{
	struct run_request o = pool_fixture_request(1, STMT_WRITE, RUN_SINGLE);
	struct pool_fixture r;
	struct pool_load load;

	pool_fixture_open(&r, 2, 4);
	pool_fixture_add_idle_conn(&r);
	primary_check_set_sync_replicas(pool_check(r.pool), 1);
	pool_fixture_submit(&r, &o);
	pool_fixture_reply(&r, 1, ERR_NONE, SESSION_IDLE);
	pool_fixture_results(&r);
	proxy_text_expect(r.text, "statement 1 r1 WRITE a b\n");
	pool_load(r.pool, &load);
	ck_assert_uint_eq(load.running, 1);
	pool_close(r.pool, r.now, &r.out);
	pool_fixture_results(&r);
	proxy_text_expect(r.text, "r1: outcome_unknown, unknown, I\n");
	pool_fixture_close(&r);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("pool");

	tcase_add_test(tc, read_waits_for_primary_check);
	tcase_add_test(tc, read_is_not_sent_to_former_primary);
	tcase_add_test(tc, replica_read_has_minimum_position);
	tcase_add_test(tc, values_of_other_sessions_are_reset);
	tcase_add_test(tc, prepared_statements_are_known_by_shape);
	tcase_add_test(tc, transaction_has_a_connection_of_its_own);
	tcase_add_test(tc, refused_statement_ends_its_transaction);
	tcase_add_test(tc, idle_transaction_is_rolled_back);
	tcase_add_test(tc, results_say_whether_statement_ran);
	tcase_add_test(tc, silent_connection_is_closed_before_the_statement);
	tcase_add_test(tc, connections_go_from_idle_accounts_to_busy_ones);
	tcase_add_test(tc, full_member_serves_others_over_idle_connections);
	tcase_add_test(tc, spare_connections_are_closed);
	tcase_add_test(tc, transactions_of_a_dead_instance_are_rolled_back);
	tcase_add_test(tc,
		       leaving_member_gets_no_new_statements_after_drain_limit);
	tcase_add_test(tc, pool_made_late_does_not_restart_the_drain_limit);
	tcase_add_test(tc, queue_of_a_hanging_member_is_refused_early);
	tcase_add_test(tc, queue_of_a_slow_member_is_kept);
	tcase_add_test(tc, commit_that_waits_ends_with_an_unknown_outcome);
	return suite_run("pool", tc);
}
