/**
 * @file test_sessions.c
 * Client sessions on an instance that also owns the members: requests and
 * their answers, compared as text.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../core/proxy_state.h"
#include "../src/names.h"
#include "proxy_fixture.h"
#include "suite.h"

static void closed(struct proxy_fixture *r, uint64_t conn)
{
	struct proxy_event e = { .kind = PROXY_MEMBER_CLOSED };

	e.member.conn = conn;
	e.member.error = ERR_NO_ENDPOINT;
	proxy_fixture_step(r, &e);
}

/* Opens a transaction on session 1 and runs one read in it. */
static void open_tx(struct proxy_fixture *r, uint64_t conn)
{
	proxy_fixture_request(r, STMT_BEGIN, "b1", NULL, NULL);
	proxy_fixture_request(r, STMT_READ, "b2", NULL, "READ k");
	proxy_fixture_reply(r, conn, ERR_NONE, SESSION_OPEN);
	proxy_fixture_reply(r, conn, ERR_NONE, SESSION_OPEN);
}

START_TEST(unknown_key_or_database_is_refused)
{
	struct proxy_fixture r;

	proxy_fixture_open(&r);
	proxy_fixture_open_session(&r, 1, "rota", "guess");
	proxy_text_expect(r.text, "answer 1 unauthenticated I\nend 1\n");
	proxy_fixture_open_session(&r, 1, "nowhere", "secret");
	proxy_text_expect(r.text, "answer 1 not_found I\nend 1\n");
	proxy_fixture_close(&r);
}
END_TEST

START_TEST(session_statements_need_no_member)
{
	struct proxy_fixture r;

	proxy_fixture_open(&r);
	proxy_fixture_open_session(&r, 1, "rota", "secret");
	proxy_fixture_request(&r, STMT_SET, "a1", "tz", "utc");
	proxy_fixture_request(&r, STMT_PREPARE, "a2", "p", "q2c");
	proxy_fixture_request(&r, STMT_DEALLOCATE, "a3", "p", NULL);
	proxy_fixture_request(&r, STMT_DEALLOCATE, "a4", "p", NULL);
	proxy_fixture_request(&r, STMT_EXECUTE, "a5", "p", "1");
	proxy_fixture_request(&r, STMT_COMMIT, "a6", NULL, "COMMIT");
	proxy_text_expect(r.text, "answer 1 ok I\nanswer 1 ok I\n"
				  "answer 1 ok I\nanswer 1 ok I\n"
				  "answer 1 no_statement I\n"
				  "answer 1 no_statement I\n"
				  "answer 1 bad_request I\n");
	proxy_fixture_close(&r);
}
END_TEST

START_TEST(transaction_runs_and_commits)
{
	uint64_t conn;
	struct proxy_fixture r;

	proxy_fixture_open(&r);
	conn = proxy_fixture_connect(&r);
	proxy_fixture_request(&r, STMT_BEGIN, "b1", NULL, NULL);
	proxy_text_expect(r.text, "answer 1 ok T\n");
	proxy_fixture_request(&r, STMT_READ, "b2", NULL, "READ k");
	proxy_fixture_reply(&r, conn, ERR_NONE, SESSION_OPEN);
	proxy_fixture_reply(&r, conn, ERR_NONE, SESSION_OPEN);
	proxy_fixture_request(&r, STMT_COMMIT, "b3", NULL, "COMMIT");
	proxy_fixture_reply(&r, conn, ERR_NONE, SESSION_IDLE);
	ck_assert(g_str_has_suffix(r.text->str,
				   "answer 1 ok I signature=proof\n"));
	ck_assert_ptr_nonnull(strstr(r.text->str, "answer 1 ok T signature"));
	proxy_fixture_close(&r);
}
END_TEST

START_TEST(failed_transaction_accepts_only_its_end)
{
	uint64_t conn;
	struct proxy_fixture r;

	proxy_fixture_open(&r);
	conn = proxy_fixture_connect(&r);
	proxy_fixture_request(&r, STMT_BEGIN, "b1", NULL, NULL);
	proxy_fixture_request(&r, STMT_READ, "b2", NULL, "READ k");
	proxy_fixture_reply(&r, conn, ERR_NONE, SESSION_OPEN);
	proxy_fixture_reply(&r, conn, ERR_STATEMENT, SESSION_FAILED);
	g_string_truncate(r.text, 0);
	proxy_fixture_request(&r, STMT_READ, "b3", NULL, "READ k");
	proxy_fixture_request(&r, STMT_COMMIT, "b4", NULL, "COMMIT");
	proxy_text_expect(r.text, "answer 1 bad_request E\n"
				  "answer 1 transaction_gone I\n");
	proxy_fixture_close(&r);
}
END_TEST

START_TEST(lost_write_has_unknown_outcome)
{
	uint64_t conn;
	struct proxy_fixture r;

	proxy_fixture_open(&r);
	conn = proxy_fixture_connect(&r);
	proxy_fixture_request(&r, STMT_WRITE, "a2", NULL, "WRITE k v");
	closed(&r, conn);
	ck_assert_ptr_nonnull(strstr(r.text->str, "answer 1 outcome_unknown"));
	proxy_fixture_close(&r);
}
END_TEST

/* An uncommitted transaction is lost with its connection to the member. */
START_TEST(lost_connection_in_a_transaction_aborts_it)
{
	uint64_t conn;
	struct proxy_fixture r;

	proxy_fixture_open(&r);
	conn = proxy_fixture_connect(&r);
	open_tx(&r, conn);
	closed(&r, conn);
	g_string_truncate(r.text, 0);
	proxy_fixture_request(&r, STMT_READ, "b3", NULL, "READ k");
	proxy_text_expect(r.text, "answer 1 transaction_gone E later\n");
	proxy_fixture_close(&r);
}
END_TEST

START_TEST(revoked_key_ends_open_sessions)
{
	uint64_t conn;
	struct proxy_fixture r;

	proxy_fixture_open(&r);
	conn = proxy_fixture_connect(&r);
	open_tx(&r, conn);
	g_string_truncate(r.text, 0);
	proxy_fixture_configure(&r, false, true, 100);
	ck_assert_ptr_nonnull(strstr(r.text->str, "end 1\n"));
	ck_assert_ptr_nonnull(strstr(r.text->str, "rollback"));
	proxy_fixture_close(&r);
}
END_TEST

START_TEST(removed_route_serves_until_the_transaction_ends)
{
	uint64_t conn;
	struct proxy_fixture r;

	proxy_fixture_open(&r);
	conn = proxy_fixture_connect(&r);
	open_tx(&r, conn);
	proxy_fixture_configure(&r, true, false, 100);
	proxy_fixture_request(&r, STMT_COMMIT, "b3", NULL, "COMMIT");
	proxy_fixture_reply(&r, conn, ERR_NONE, SESSION_IDLE);
	ck_assert(g_str_has_suffix(r.text->str,
				   "answer 1 ok I signature=proof\n"));
	g_string_truncate(r.text, 0);
	proxy_fixture_request(&r, STMT_READ, "c1", NULL, "READ k");
	proxy_text_expect(r.text, "answer 1 not_found I\nend 1\n");
	proxy_fixture_close(&r);
}
END_TEST

START_TEST(older_configuration_is_ignored)
{
	struct proxy_fixture r;

	proxy_fixture_open(&r);
	proxy_fixture_configure(&r, false, true, 100);
	r.version -= 2; /* the next configuration has version 1 again */
	proxy_fixture_configure(&r, true, true, 100);
	proxy_fixture_open_session(&r, 1, "rota", "secret");
	proxy_text_expect(r.text, "answer 1 unauthenticated I\nend 1\n");
	proxy_fixture_close(&r);
}
END_TEST

/* When all tokens are used, a request is refused at once and not queued. */
START_TEST(over_rate_is_refused_at_once)
{
	uint64_t conn;
	struct proxy_fixture r;
	int i;

	proxy_fixture_open(&r);
	conn = proxy_fixture_connect(&r);
	proxy_fixture_configure(&r, true, true, 2);
	for (i = 0; i < 3; i++) {
		g_string_truncate(r.text, 0);
		proxy_fixture_request(&r, STMT_WRITE, "a2", NULL, "WRITE k v");
		if (strstr(r.text->str, "statement"))
			proxy_fixture_reply(&r, conn, ERR_NONE, SESSION_IDLE);
	}
	proxy_text_expect(r.text, "answer 1 rate_limited I later\n");
	proxy_fixture_close(&r);
}
END_TEST

/* Number of messages of a kind that the last step sent to peers. */
static uint32_t sent_of(const struct proxy_fixture *r, enum message_kind kind)
{
	return r->sent[kind];
}

static void heartbeat(struct proxy_fixture *r, uint64_t instance)
{
	struct message m = { .kind = MSG_HEARTBEAT };

	m.from = 1000 + instance;
	m.heartbeat.instance = instance;
	proxy_fixture_message(r, &m);
}

/* An owner without a heartbeat for 500 ms (interval 300 ms) gets no work. */
/*
 * Load pattern: a primary is gone, and clients try again and again. Each attempt
 * took a token of the account before it was refused, and none was left for what
 * could run (abh-rota-now-grown, scale-1: 1,031 refused by rate in the first two
 * seconds of a zone that is cut off).
 */
START_TEST(refused_attempts_take_no_tokens)
{
	struct proxy_fixture r;
	int i;

	proxy_fixture_open(&r);
	proxy_fixture_configure(&r, true, true, 2);
	proxy_fixture_open_session(&r, 1, "rota", "secret");
	r.proxy->members->list[0].registered_primary = false;
	for (i = 0; i < 20; i++) {
		g_string_truncate(r.text, 0);
		proxy_fixture_request(&r, i % 2 ? STMT_BEGIN : STMT_WRITE, "a1",
				      NULL, "WRITE k v");
		proxy_text_expect(r.text, "answer 1 no_primary I later\n");
	}
	r.proxy->members->list[0].registered_primary = true;
	proxy_fixture_request(&r, STMT_WRITE, "a2", NULL, "WRITE k v");
	ck_assert_ptr_nonnull(strstr(r.text->str, "connect"));
	proxy_fixture_close(&r);
}
END_TEST

START_TEST(silent_owner_gets_no_statements)
{
	uint64_t instance;
	struct proxy_fixture r;

	/* Finds a peer ID that makes the peer the owner of m1. */
	for (instance = 1;; instance++) {
		proxy_fixture_open(&r);
		proxy_fixture_open_session(&r, 1, "rota", "secret");
		heartbeat(&r, instance);
		proxy_fixture_request(&r, STMT_WRITE, "a1", NULL, "WRITE k v");
		if (sent_of(&r, MSG_RUN))
			break;
		proxy_fixture_close(&r);
	}
	proxy_fixture_close(&r);
	proxy_fixture_open(&r);
	proxy_fixture_open_session(&r, 1, "rota", "secret");
	heartbeat(&r, instance);
	proxy_fixture_run(&r, 600 * HM_MS);
	g_string_truncate(r.text, 0);
	proxy_fixture_request(&r, STMT_WRITE, "a1", NULL, "WRITE k v");
	ck_assert_uint_eq(sent_of(&r, MSG_RUN), 0);
	proxy_text_expect(r.text, "answer 1 no_primary I later\n");
	proxy_fixture_close(&r);
}
END_TEST

START_TEST(lower_stop_limit_ends_a_shutdown_sooner)
{
	struct proxy_event limits = { .kind = PROXY_LIMITS };
	struct proxy_event stop = { .kind = PROXY_STOP };
	struct proxy_fixture r;

	proxy_fixture_open(&r);
	open_tx(&r, proxy_fixture_connect(&r));
	limits.limits.drain_limit = 5 * HM_SEC;
	limits.limits.stop_limit = HM_SEC;
	proxy_fixture_step(&r, &limits);
	proxy_fixture_step(&r, &stop);
	g_string_truncate(r.text, 0);
	proxy_fixture_run(&r, 1100 * HM_MS);
	ck_assert_ptr_nonnull(strstr(r.text->str, "end 1\n"));
	proxy_fixture_close(&r);
}
END_TEST

START_TEST(shutdown_waits_for_a_transaction)
{
	struct proxy_event stop = { .kind = PROXY_STOP };
	uint64_t conn;
	struct proxy_fixture r;

	proxy_fixture_open(&r);
	conn = proxy_fixture_connect(&r);
	open_tx(&r, conn);
	g_string_truncate(r.text, 0);
	proxy_fixture_step(&r, &stop);
	proxy_text_expect(r.text, "ready 0\n");
	proxy_fixture_run(&r, 2500 * HM_MS);
	ck_assert_ptr_null(strstr(r.text->str, "end 1"));
	proxy_fixture_request(&r, STMT_COMMIT, "b3", NULL, "COMMIT");
	proxy_fixture_reply(&r, conn, ERR_NONE, SESSION_IDLE);
	proxy_fixture_run(&r, 200 * HM_MS);
	ck_assert_ptr_nonnull(strstr(r.text->str, "end 1\n"));
	proxy_fixture_run(&r, HM_SEC);
	ck_assert(g_str_has_suffix(r.text->str, "stopped\n"));
	proxy_fixture_close(&r);
}
END_TEST

/*
 * Opens transactions on the less urgent route until one is refused, and returns
 * whether another one is refused when one token has been issued meanwhile.
 */
static bool token_is_reserved(bool two_levels)
{
	struct proxy_counters c;
	struct proxy_fixture r;
	uint64_t client;
	bool reserved;

	proxy_fixture_open(&r);
	r.rota_priority = two_levels;
	proxy_fixture_configure(&r, true, true, 10);
	proxy_fixture_open_session(&r, 1, "view", "secret");
	proxy_fixture_request_as(&r, 1, STMT_BEGIN_READ, "u1", NULL, "BEGIN");
	for (client = 2; client < 14; client++) {
		proxy_fixture_open_session(&r, client, "rota", "secret");
		proxy_fixture_request_as(&r, client, STMT_BEGIN, "l1", NULL,
					 "BEGIN");
	}
	ck_assert_ptr_nonnull(strstr(r.text->str, "rate_limited"));
	proxy_fixture_run(&r, 80 * HM_MS);
	g_string_truncate(r.text, 0);
	proxy_fixture_request_as(&r, 13, STMT_BEGIN, "l2", NULL, "BEGIN");
	reserved = strstr(r.text->str, "rate_limited") != NULL;
	proxy_fixture_open_session(&r, 20, "view", "secret");
	g_string_truncate(r.text, 0);
	proxy_fixture_request_as(&r, 20, STMT_BEGIN_READ, "u2", NULL, "BEGIN");
	proxy_get_counters(r.proxy, &c);
	ck_assert_int_eq(c.tokens_taken[1] > 0, two_levels);
	ck_assert_int_eq(c.tokens_refused[1] > 0, two_levels);
	if (two_levels) {
		ck_assert_uint_eq(c.tokens_taken[0], 2);
		ck_assert_uint_eq(c.tokens_refused[0], 0);
	}
	proxy_fixture_close(&r);
	return reserved;
}

/*
 * Guards against levels of routes that do not reach the rate limiter, and
 * against a reserve where all routes are alike.
 */
START_TEST(token_is_left_to_the_more_urgent_route)
{
	ck_assert(token_is_reserved(true));
	ck_assert(!token_is_reserved(false));
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("sessions");

	tcase_add_test(tc, unknown_key_or_database_is_refused);
	tcase_add_test(tc, session_statements_need_no_member);
	tcase_add_test(tc, transaction_runs_and_commits);
	tcase_add_test(tc, failed_transaction_accepts_only_its_end);
	tcase_add_test(tc, lost_write_has_unknown_outcome);
	tcase_add_test(tc, lost_connection_in_a_transaction_aborts_it);
	tcase_add_test(tc, revoked_key_ends_open_sessions);
	tcase_add_test(tc, removed_route_serves_until_the_transaction_ends);
	tcase_add_test(tc, older_configuration_is_ignored);
	tcase_add_test(tc, over_rate_is_refused_at_once);
	tcase_add_test(tc, token_is_left_to_the_more_urgent_route);
	tcase_add_test(tc, refused_attempts_take_no_tokens);
	tcase_add_test(tc, silent_owner_gets_no_statements);
	tcase_add_test(tc, lower_stop_limit_ends_a_shutdown_sooner);
	tcase_add_test(tc, shutdown_waits_for_a_transaction);
	return suite_run("sessions", tc);
}
