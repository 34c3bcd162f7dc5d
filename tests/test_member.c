/** @file test_member.c SQL, terms and owner of stand-in members. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "../src/loop.h"
#include "member_fixture.h"

START_TEST(round_trip)
{
	PGconn *c = member_open(0);
	const char *params[] = { "7", "a 'quoted' text", NULL };
	PGresult *r;

	member_make_table();
	r = PQexecParams(c, "INSERT INTO t VALUES ($1, $2)", 2, NULL, params,
			 NULL, NULL, 0);
	ck_assert_int_eq(PQresultStatus(r), PGRES_COMMAND_OK);
	ck_assert_str_eq(PQcmdTuples(r), "1");
	PQclear(r);
	r = PQexecParams(c,
			 "SELECT k, v, $3 AS n, k + 1 AS m FROM t "
			 "WHERE k = $1",
			 3, NULL, params, NULL, NULL, 0);
	ck_assert_int_eq(PQntuples(r), 1);
	ck_assert_str_eq(PQfname(r, 3), "m");
	ck_assert_str_eq(PQgetvalue(r, 0, 0), "7");
	ck_assert_str_eq(PQgetvalue(r, 0, 1), params[1]);
	ck_assert(PQgetisnull(r, 0, 2));
	ck_assert_str_eq(PQgetvalue(r, 0, 3), "8");
	PQclear(r);
	r = PQexec(c, "SELECT count(*) FROM t");
	ck_assert_str_eq(PQgetvalue(r, 0, 0), "1");
	PQclear(r);
	PQfinish(c);
}
END_TEST

START_TEST(errors)
{
	PGconn *c = member_open(0);

	member_make_table();
	ck_assert_str_eq(member_run(c, "SELECT * FROM absent"), "42P01");
	ck_assert_str_eq(member_run(c, "SELECT x FROM t"), "42703");
	ck_assert_str_eq(member_run(c, "SELEC"), "42601");
	ck_assert_str_eq(member_run(c, "SELECT $1"), "42P02");
	ck_assert_str_eq(member_run(c, "SELECT 1; SELECT 2"), "42601");
	ck_assert_str_eq(member_run(c, "PRAGMA journal_mode"), "42501");
	ck_assert_str_eq(member_run(c, "ATTACH ':memory:' AS other"), "42501");
	ck_assert_str_eq(member_run(c, "INSERT INTO t VALUES (1, random())"),
			 "42501");
	ck_assert_str_eq(member_run(c, "INSERT INTO t VALUES (1, 'a')"), "");
	ck_assert_str_eq(member_run(c, "INSERT INTO t VALUES (1, 'b')"),
			 "23505");
	ck_assert_str_eq(member_run(c, "SELECT hm_fence(1)"), "22023");
	ck_assert_str_eq(member_value(c, "SELECT v FROM t"), "a");
	PQfinish(c);
}
END_TEST

START_TEST(transactions_see_committed_data)
{
	PGconn *a = member_open(0), *b = member_open(0);

	member_make_table();
	ck_assert_str_eq(member_run(a, "BEGIN"), "");
	ck_assert_str_eq(member_run(a, "INSERT INTO t VALUES (1, 'a')"), "");
	ck_assert_str_eq(member_value(a, "SELECT count(*) FROM t"), "1");
	ck_assert_str_eq(member_value(b, "SELECT count(*) FROM t"), "0");
	ck_assert_str_eq(member_run(a, "COMMIT"), "");
	ck_assert_str_eq(member_value(b, "SELECT count(*) FROM t"), "1");
	ck_assert_str_eq(member_run(a, "BEGIN"), "");
	ck_assert_str_eq(member_run(a, "DELETE FROM t"), "");
	ck_assert_str_eq(member_run(a, "ROLLBACK"), "");
	ck_assert_str_eq(member_value(a, "SELECT count(*) FROM t"), "1");
	ck_assert_str_eq(member_run(a, "BEGIN READ ONLY"), "");
	ck_assert_str_eq(member_run(a, "DELETE FROM t"), "25006");
	ck_assert_str_eq(member_run(a, "SELECT 1"), "25P02");
	ck_assert_str_eq(member_run(a, "COMMIT"), "");
	ck_assert_int_eq(PQtransactionStatus(a), PQTRANS_IDLE);
	PQfinish(a);
	PQfinish(b);
}
END_TEST

/* The second writer waits for the write lock until the first disconnects. */
START_TEST(disconnect_rolls_back)
{
	PGconn *a = member_open(0), *b = member_open(0);
	PGresult *r;

	member_make_table();
	ck_assert_str_eq(member_run(a, "BEGIN"), "");
	ck_assert_str_eq(member_run(a, "INSERT INTO t VALUES (1, 'a')"), "");
	ck_assert(PQsendQuery(b, "INSERT INTO t VALUES (1, 'b')"));
	PQfinish(a);
	r = PQgetResult(b);
	ck_assert_int_eq(PQresultStatus(r), PGRES_COMMAND_OK);
	PQclear(r);
	ck_assert_ptr_null(PQgetResult(b));
	ck_assert_str_eq(member_value(b, "SELECT v FROM t"), "b");
	ck_assert_uint_eq(member_state(0).at.pos, 2);
	PQfinish(b);
}
END_TEST

START_TEST(cancel_ends_lock_wait)
{
	PGconn *a = member_open(0), *b = member_open(0);
	PGcancel *cancel;
	char fault_text[64];
	PGresult *r;

	member_make_table();
	ck_assert_str_eq(member_run(a, "BEGIN"), "");
	ck_assert_str_eq(member_run(a, "INSERT INTO t VALUES (1, 'a')"), "");
	ck_assert(PQsendQuery(b, "INSERT INTO t VALUES (2, 'b')"));
	cancel = PQgetCancel(b);
	ck_assert(PQcancel(cancel, fault_text, sizeof(fault_text)));
	PQfreeCancel(cancel);
	r = PQgetResult(b);
	ck_assert_str_eq(PQresultErrorField(r, PG_DIAG_SQLSTATE), "57014");
	PQclear(r);
	ck_assert_ptr_null(PQgetResult(b));
	ck_assert_str_eq(member_run(a, "COMMIT"), "");
	ck_assert_str_eq(member_value(b, "SELECT count(*) FROM t"), "1");
	PQfinish(a);
	PQfinish(b);
}
END_TEST

START_TEST(replicas_follow_after_lag)
{
	PGconn *c = member_open(1);

	member_make_table();
	ck_assert(members_sql(members, member_id(0),
			      "INSERT INTO t VALUES (1, 'a')"));
	member_await_at(1, 1, 2);
	ck_assert_str_eq(member_value(c, "SELECT v FROM t"), "a");
	ck_assert_str_eq(member_run(c, "DELETE FROM t"), "25006");
	member_fault(1, (struct member_faults){ .lag = 20 * HM_SEC });
	ck_assert(members_sql(members, member_id(0), "DELETE FROM t"));
	member_await_at(2, 1, 3);
	ck_assert_str_eq(member_value(c, "SELECT v FROM t"), "a");
	PQfinish(c);
}
END_TEST

START_TEST(fence_stops_writes_and_commits)
{
	PGconn *a = member_open(0), *b = member_open(0);

	member_make_table();
	ck_assert_str_eq(member_run(a, "BEGIN"), "");
	ck_assert_str_eq(member_run(a, "INSERT INTO t VALUES (1, 'a')"), "");
	ck_assert(member_replies(b, "SELECT hm_fence(2, 'aa')",
				 "\"refused\":false"));
	ck_assert(member_replies(b, "SELECT hm_fence(2, 'aa')",
				 "\"refused\":false"));
	ck_assert(member_replies(b, "SELECT hm_fence(2, 'bb')",
				 "\"refused\":true"));
	ck_assert(member_replies(b, "SELECT hm_fence(1, 'aa')",
				 "\"refused\":true"));
	ck_assert_str_eq(member_run(a, "COMMIT"), "25006");
	ck_assert_str_eq(member_run(a, "INSERT INTO t VALUES (1, 'a')"),
			 "25006");
	ck_assert_str_eq(member_value(b, "SELECT count(*) FROM t"), "0");
	ck_assert_uint_eq(member_state(0).at.pos, 1);
	PQfinish(a);
	PQfinish(b);
}
END_TEST

/*
 * A fenced replica must not take further records: the requester of the term
 * chooses the new primary by the position that the replica reported.
 */
START_TEST(fenced_replica_keeps_its_position)
{
	PGconn *c = member_open(1);

	member_make_table();
	member_await_at(1, 1, 1);
	ck_assert(member_replies(c, "SELECT hm_fence(5, 'aa')",
				 "\"refused\":false"));
	ck_assert(members_sql(members, member_id(0),
			      "INSERT INTO t VALUES (1, 'a')"));
	member_await_at(2, 1, 2);
	ck_assert_uint_eq(member_state(1).at.pos, 1);
	PQfinish(c);
}
END_TEST

START_TEST(promotion_is_idempotent)
{
	member_make_table();
	member_await_at(1, 1, 1);
	member_run_control(1, "SELECT hm_fence(2, 'aa')");
	member_run_control(1, "SELECT hm_promote(2, 'aa')");
	ck_assert_uint_eq(member_state(1).at.pos, 2);
	member_run_control(1, "SELECT hm_promote(2, 'aa')");
	ck_assert_uint_eq(member_state(1).at.pos, 2);
	ck_assert_uint_eq(member_state(1).at.term, 2);
	ck_assert_int_eq(member_state(1).role, ROLE_PRIMARY);
	ck_assert_uint_eq(member_state(1).lineage.count, 2);
	ck_assert_uint_eq(member_state(1).lineage.begin[1].pos, 1);
}
END_TEST

START_TEST(promotion_needs_the_promise)
{
	PGconn *c = member_open(1);

	ck_assert(member_replies(c, "SELECT hm_promote(2, 'aa')",
				 "\"refused\":true"));
	member_run_control(1, "SELECT hm_fence(2, 'aa')");
	member_run_control(1, "SELECT hm_fence(3, 'bb')");
	ck_assert(member_replies(c, "SELECT hm_promote(2, 'aa')",
				 "\"refused\":true"));
	ck_assert(member_replies(c, "SELECT hm_promote(3, 'aa')",
				 "\"refused\":true"));
	ck_assert(member_replies(c, "SELECT hm_promote(3, 'bb')",
				 "\"refused\":false"));
	PQfinish(c);
}
END_TEST

/*
 * An isolated primary commits records that no replica has. It must lose them
 * when it follows the primary of the next term.
 */
START_TEST(divergent_tail_is_rewound)
{
	PGconn *old = member_open(0), *new;

	member_make_table();
	member_await_at(1, 1, 1);
	member_await_at(2, 1, 1);
	member_fault(0, (struct member_faults){ .cut_peers = true });
	ck_assert_str_eq(member_run(old, "INSERT INTO t VALUES (1, 'lost')"),
			 "");
	ck_assert_str_eq(member_run(old, "INSERT INTO t VALUES (2, 'lost')"),
			 "");
	member_run_control(1, "SELECT hm_fence(2, 'aa')");
	member_run_control(2, "SELECT hm_fence(2, 'aa')");
	member_run_control(1, "SELECT hm_promote(2, 'aa')");
	member_run_follow(2, 1);
	new = member_open(1);
	ck_assert_str_eq(member_run(new, "INSERT INTO t VALUES (1, 'kept')"),
			 "");
	member_await_at(2, 2, 3);
	ck_assert_uint_eq(member_state(0).at.pos, 3);
	member_run_follow(0, 1);
	ck_assert_str_eq(member_run(old, "DELETE FROM t"), "25006");
	ck_assert_uint_eq(member_state(0).at.pos, 3);
	member_fault(0, (struct member_faults){ 0 });
	member_await_at(0, 2, 3);
	ck_assert_str_eq(member_value(old, "SELECT v FROM t"), "kept");
	ck_assert_str_eq(member_value(old, "SELECT count(*) FROM t"), "1");
	ck_assert_uint_eq(member_state(0).lineage.count, 2);
	PQfinish(old);
	PQfinish(new);
}
END_TEST

static void insert_many(int from, int to)
{
	char sql[64];
	int i;

	for (i = from; i < to; i++) {
		g_snprintf(sql, sizeof(sql), "INSERT INTO t VALUES (%d, 'a')",
			   i);
		ck_assert(members_sql(members, member_id(0), sql));
	}
}

/*
 * With checkpoints before and after the position where the logs diverge, the
 * rebuild must start from one before it.
 */
START_TEST(long_tail_is_rewound)
{
	PGconn *old = member_open(0);

	member_make_table();
	insert_many(0, 1200);
	member_await_at(1, 1, 1201);
	member_fault(0, (struct member_faults){ .cut_peers = true });
	insert_many(1200, 2400);
	ck_assert_str_eq(member_run(old, "DELETE FROM t WHERE k < 1000"), "");
	ck_assert_str_eq(member_value(old, "SELECT count(*) FROM t"), "1400");
	member_run_control(1, "SELECT hm_fence(2, 'aa')");
	member_run_control(1, "SELECT hm_promote(2, 'aa')");
	member_run_follow(0, 1);
	member_fault(0, (struct member_faults){ 0 });
	member_await_at(0, 2, 1202);
	ck_assert_str_eq(member_value(old, "SELECT count(*) FROM t"), "1200");
	ck_assert_str_eq(member_value(old, "SELECT max(k) FROM t"), "1199");
	PQfinish(old);
}
END_TEST

/* Replicas and readers see the time of the statement's first execution. */
START_TEST(time_is_replayed)
{
	const char *now = "strftime('%f', 'now') || CURRENT_TIMESTAMP";
	PGconn *c = member_open(0), *replica = member_open(1);
	char sql[128], *seen;

	member_make_table();
	g_snprintf(sql, sizeof(sql), "INSERT INTO t VALUES (1, %s) RETURNING v",
		   now);
	seen = g_strdup(member_value(c, sql));
	ck_assert_uint_gt(strlen(seen), 20);
	ck_assert_str_eq(member_value(c, "SELECT v FROM t"), seen);
	member_await_at(1, 1, 2);
	ck_assert_str_eq(member_value(replica, "SELECT v FROM t"), seen);
	ck_assert_str_eq(member_value(c, "SELECT julianday('now') > 2460000"),
			 "1");
	g_free(seen);
	PQfinish(c);
	PQfinish(replica);
}
END_TEST

START_TEST(primary_of_a_term_does_not_follow_in_it)
{
	PGconn *c = member_open(0);
	char sql[128];

	g_snprintf(sql, sizeof(sql),
		   "SELECT hm_follow(1, 'aa', '%" G_GINT64_MODIFIER "x')",
		   member_id(1));
	ck_assert(member_replies(c, sql, "\"refused\":true"));
	ck_assert_int_eq(member_state(0).role, ROLE_PRIMARY);
	PQfinish(c);
}
END_TEST

/* A member that gets a new owner closes the previous owner's connections. */
START_TEST(owner_is_set_by_compare_and_set)
{
	PGconn *a = member_open_as(0, "hyssopmount/aa");
	PGconn *b = member_open_as(0, "hyssopmount/bb/control");
	PGconn *stale;

	member_make_table();
	ck_assert(member_replies(a, "SELECT hm_home('aa', '0')",
				 "\"refused\":false"));
	ck_assert_int_eq(PQstatus(b), CONNECTION_OK);
	PQfinish(b);
	b = member_open_as(0, "hyssopmount/bb/control");
	ck_assert_str_eq(member_run(a, "BEGIN"), "");
	ck_assert_str_eq(member_run(a, "INSERT INTO t VALUES (1, 'a')"), "");
	ck_assert(member_replies(b, "SELECT hm_home('bb', '0')",
				 "\"refused\":true"));
	ck_assert(member_replies(b, "SELECT hm_home('bb', 'aa')",
				 "\"refused\":false"));
	ck_assert(member_replies(b, "SELECT hm_home('bb', 'aa')",
				 "\"refused\":false"));
	ck_assert_str_eq(member_run(a, "COMMIT"), "LOST");
	stale = member_try_open(0, "hyssopmount/aa");
	ck_assert_int_eq(PQstatus(stale), CONNECTION_BAD);
	ck_assert(member_replies(b, "SELECT hm_home('aa', '0')",
				 "\"refused\":true"));
	ck_assert_str_eq(member_value(b, "SELECT count(*) FROM t"), "0");
	ck_assert_uint_eq(member_state(0).owner, 0xbb);
	PQfinish(stale);
	PQfinish(a);
	PQfinish(b);
}
END_TEST

START_TEST(statements_of_another_incarnation_are_refused)
{
	PGconn *a = member_open_as(0, "hyssopmount/aa");
	PGconn *b = member_open_as(0, "hyssopmount/bb/control");

	ck_assert(member_replies(a, "SELECT hm_home('aa', '0')",
				 "\"refused\":false"));
	PQfinish(b);
	b = member_open_as(0, "hyssopmount/bb/control");
	ck_assert_str_eq(member_run(b, "SELECT 1"), "57P03");
	ck_assert_str_eq(member_run(a, "SELECT 1"), "");
	PQfinish(a);
	PQfinish(b);
}
END_TEST

START_TEST(connections_are_limited)
{
	PGconn *conns[4], *more, *control;
	struct member_stats f;
	uint32_t i;

	for (i = 0; i < 4; i++)
		conns[i] = member_open(0);
	more = member_try_open(0, "test");
	ck_assert_int_eq(PQstatus(more), CONNECTION_BAD);
	ck_assert_ptr_nonnull(strstr(PQerrorMessage(more), "too many"));
	control = member_open_as(0, "hyssopmount/aa/control");
	members_stats(members, member_id(0), &f);
	ck_assert_uint_eq(f.connections, 4);
	ck_assert_uint_eq(f.connections_max, 4);
	for (i = 0; i < 4; i++)
		PQfinish(conns[i]);
	PQfinish(more);
	PQfinish(control);
}
END_TEST

static void setup_costly(void)
{
	const struct member_options options = {
		.connect_cost = 20 * HM_MS,
		.statement_cost = 20 * HM_MS,
		.lag = LAG,
	};

	member_setup_with(&options);
}

/*
 * More statements than slots run at once, at a higher cost: on two slots, the
 * fourth statement takes twice as long as one alone.
 */
START_TEST(statement_cost_grows_with_load)
{
	PGconn *c[4];
	struct member_stats f;
	hm_time start = loop_now();
	uint32_t i;

	c[0] = member_open(0);
	ck_assert_int_ge(loop_now() - start, 20 * HM_MS);
	for (i = 1; i < 4; i++)
		c[i] = member_open(0);
	start = loop_now();
	ck_assert_str_eq(member_value(c[0], "SELECT 1"), "1");
	ck_assert_int_ge(loop_now() - start, 20 * HM_MS);
	for (i = 0; i < 4; i++)
		ck_assert(PQsendQuery(c[i], "SELECT 1"));
	for (i = 0; i < 4; i++)
		PQclear(PQgetResult(c[i]));
	members_stats(members, member_id(0), &f);
	ck_assert_uint_gt(f.running_max, 2);
	for (i = 0; i < 4; i++)
		PQfinish(c[i]);
}
END_TEST

static TCase *tcase_members(const char *name, SFun begin)
{
	TCase *tc = tcase_create(name);

	tcase_add_checked_fixture(tc, begin, member_teardown);
	tcase_set_timeout(tc, 30);
	return tc;
}

static void add_sql(Suite *suite)
{
	TCase *tc = tcase_members("sql", member_setup);

	tcase_add_test(tc, round_trip);
	tcase_add_test(tc, errors);
	tcase_add_test(tc, transactions_see_committed_data);
	tcase_add_test(tc, disconnect_rolls_back);
	tcase_add_test(tc, cancel_ends_lock_wait);
	tcase_add_test(tc, connections_are_limited);
	suite_add_tcase(suite, tc);
	tc = tcase_members("costs", setup_costly);
	tcase_add_test(tc, statement_cost_grows_with_load);
	suite_add_tcase(suite, tc);
}

static void add_terms(Suite *suite)
{
	TCase *tc = tcase_members("terms", member_setup);

	tcase_add_test(tc, replicas_follow_after_lag);
	tcase_add_test(tc, fence_stops_writes_and_commits);
	tcase_add_test(tc, fenced_replica_keeps_its_position);
	tcase_add_test(tc, promotion_is_idempotent);
	tcase_add_test(tc, promotion_needs_the_promise);
	tcase_add_test(tc, divergent_tail_is_rewound);
	tcase_add_test(tc, long_tail_is_rewound);
	tcase_add_test(tc, time_is_replayed);
	tcase_add_test(tc, primary_of_a_term_does_not_follow_in_it);
	tcase_add_test(tc, owner_is_set_by_compare_and_set);
	tcase_add_test(tc, statements_of_another_incarnation_are_refused);
	suite_add_tcase(suite, tc);
}

int main(void)
{
	Suite *suite = suite_create("member");
	SRunner *runner;
	int failed;

	add_sql(suite);
	add_terms(suite);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
