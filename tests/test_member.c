/** @file test_member.c Stand-in members over real sockets, by plain libpq. */
#include <check.h>
#include <glib.h>
#include <libpq-fe.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>

#include "../src/loop.h"
#include "../src/names.h"
#include "../standin/member.h"

#define COUNT 3
#define PATIENCE (5 * HM_SEC)
#define LAG (2 * HM_MS)
#define STATE_BYTES 512

static struct database_spec spec;
static struct members *members;

static void setup_with(const struct member_options *options)
{
	struct endpoint_spec *e;
	uint32_t i;

	memset(&spec, 0, sizeof(spec));
	g_strlcpy(spec.name, "rota", NAME_BYTES);
	spec.database = name_id("rota");
	spec.endpoint_count = COUNT;
	for (i = 0; i < COUNT; i++) {
		e = &spec.endpoints[i];
		g_snprintf(e->name, NAME_BYTES, "rota-%u", i);
		g_strlcpy(e->address, "127.0.0.1:0", ADDRESS_BYTES);
		e->endpoint = name_id(e->name);
		e->slots = 2;
		e->connections = 4;
	}
	members = members_new(&spec, 1, options);
	ck_assert_ptr_nonnull(members);
	members_database(members, 0, &spec);
	members_start(members);
}

static void setup(void)
{
	const struct member_options options = { .lag = LAG };

	setup_with(&options);
}

static void teardown(void)
{
	members_free(members);
}

static hm_id id_of(uint32_t i)
{
	return spec.endpoints[i].endpoint;
}

static PGconn *try_open(uint32_t i, const char *application)
{
	char info[256];

	g_snprintf(info, sizeof(info),
		   "hostaddr=127.0.0.1 port=%s dbname=rota user=test "
		   "sslmode=disable gssencmode=disable application_name=%s",
		   strrchr(spec.endpoints[i].address, ':') + 1, application);
	return PQconnectdb(info);
}

static PGconn *open_as(uint32_t i, const char *application)
{
	PGconn *c = try_open(i, application);

	ck_assert_msg(PQstatus(c) == CONNECTION_OK, "%s", PQerrorMessage(c));
	return c;
}

static PGconn *open_plain(uint32_t i)
{
	return open_as(i, "test");
}

/* Runs a statement; its SQLSTATE, "" when it ran. */
static const char *run(PGconn *c, const char *sql)
{
	static char state[6];
	PGresult *r = PQexecParams(c, sql, 0, NULL, NULL, NULL, NULL, 0);
	const char *code = PQresultErrorField(r, PG_DIAG_SQLSTATE);

	g_strlcpy(state, code ? code : "", sizeof(state));
	if (!code && PQstatus(c) != CONNECTION_OK)
		g_strlcpy(state, "LOST", sizeof(state));
	PQclear(r);
	return state;
}

/* First column of the first row; "none" when there is no row. */
static const char *one(PGconn *c, const char *sql)
{
	static char text[STATE_BYTES];
	PGresult *r = PQexecParams(c, sql, 0, NULL, NULL, NULL, NULL, 0);

	g_strlcpy(text, "none", sizeof(text));
	if (PQresultStatus(r) != PGRES_TUPLES_OK)
		g_strlcpy(text, PQresultErrorMessage(r), sizeof(text));
	else if (PQntuples(r))
		g_strlcpy(text, PQgetvalue(r, 0, 0), sizeof(text));
	PQclear(r);
	return text;
}

static bool says(PGconn *c, const char *sql, const char *part)
{
	return strstr(one(c, sql), part) != NULL;
}

static struct endpoint_state state_of(uint32_t i)
{
	struct member_figures f;

	members_figures(members, id_of(i), &f);
	return f.state;
}

static void await_at(uint32_t i, uint64_t term, uint64_t pos)
{
	hm_time end = loop_now() + PATIENCE;
	struct mark want = { term, pos };

	while (mark_compare(state_of(i).at, want) != 0) {
		ck_assert_msg(loop_now() < end, "member %u stays at %u/%u", i,
			      (uint32_t)state_of(i).at.term,
			      (uint32_t)state_of(i).at.pos);
		g_usleep(500);
	}
}

static void fault(uint32_t i, struct member_faults f)
{
	members_fault(members, id_of(i), &f);
}

static void make_table(void)
{
	ck_assert(members_sql(members, id_of(0),
			      "CREATE TABLE t (k INTEGER PRIMARY KEY, "
			      "v TEXT)"));
}

START_TEST(round_trip)
{
	PGconn *c = open_plain(0);
	const char *params[] = { "7", "a 'quoted' text", NULL };
	PGresult *r;

	make_table();
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
	PGconn *c = open_plain(0);

	make_table();
	ck_assert_str_eq(run(c, "SELECT * FROM absent"), "42P01");
	ck_assert_str_eq(run(c, "SELECT x FROM t"), "42703");
	ck_assert_str_eq(run(c, "SELEC"), "42601");
	ck_assert_str_eq(run(c, "SELECT $1"), "42P02");
	ck_assert_str_eq(run(c, "SELECT 1; SELECT 2"), "42601");
	ck_assert_str_eq(run(c, "PRAGMA journal_mode"), "42501");
	ck_assert_str_eq(run(c, "ATTACH ':memory:' AS other"), "42501");
	ck_assert_str_eq(run(c, "INSERT INTO t VALUES (1, random())"), "42501");
	ck_assert_str_eq(run(c, "INSERT INTO t VALUES (1, 'a')"), "");
	ck_assert_str_eq(run(c, "INSERT INTO t VALUES (1, 'b')"), "23505");
	ck_assert_str_eq(run(c, "SELECT hm_fence(1)"), "22023");
	ck_assert_str_eq(one(c, "SELECT v FROM t"), "a");
	PQfinish(c);
}
END_TEST

START_TEST(transactions_see_committed_data)
{
	PGconn *a = open_plain(0), *b = open_plain(0);

	make_table();
	ck_assert_str_eq(run(a, "BEGIN"), "");
	ck_assert_str_eq(run(a, "INSERT INTO t VALUES (1, 'a')"), "");
	ck_assert_str_eq(one(a, "SELECT count(*) FROM t"), "1");
	ck_assert_str_eq(one(b, "SELECT count(*) FROM t"), "0");
	ck_assert_str_eq(run(a, "COMMIT"), "");
	ck_assert_str_eq(one(b, "SELECT count(*) FROM t"), "1");
	ck_assert_str_eq(run(a, "BEGIN"), "");
	ck_assert_str_eq(run(a, "DELETE FROM t"), "");
	ck_assert_str_eq(run(a, "ROLLBACK"), "");
	ck_assert_str_eq(one(a, "SELECT count(*) FROM t"), "1");
	ck_assert_str_eq(run(a, "BEGIN READ ONLY"), "");
	ck_assert_str_eq(run(a, "DELETE FROM t"), "25006");
	ck_assert_str_eq(run(a, "SELECT 1"), "25P02");
	ck_assert_str_eq(run(a, "COMMIT"), "");
	ck_assert_int_eq(PQtransactionStatus(a), PQTRANS_IDLE);
	PQfinish(a);
	PQfinish(b);
}
END_TEST

/* The second writer waits until the first one's connection is gone. */
START_TEST(disconnect_rolls_back)
{
	PGconn *a = open_plain(0), *b = open_plain(0);
	PGresult *r;

	make_table();
	ck_assert_str_eq(run(a, "BEGIN"), "");
	ck_assert_str_eq(run(a, "INSERT INTO t VALUES (1, 'a')"), "");
	ck_assert(PQsendQuery(b, "INSERT INTO t VALUES (1, 'b')"));
	PQfinish(a);
	r = PQgetResult(b);
	ck_assert_int_eq(PQresultStatus(r), PGRES_COMMAND_OK);
	PQclear(r);
	ck_assert_ptr_null(PQgetResult(b));
	ck_assert_str_eq(one(b, "SELECT v FROM t"), "b");
	ck_assert_uint_eq(state_of(0).at.pos, 2);
	PQfinish(b);
}
END_TEST

START_TEST(cancel_ends_a_wait)
{
	PGconn *a = open_plain(0), *b = open_plain(0);
	PGcancel *cancel;
	char fault_text[64];
	PGresult *r;

	make_table();
	ck_assert_str_eq(run(a, "BEGIN"), "");
	ck_assert_str_eq(run(a, "INSERT INTO t VALUES (1, 'a')"), "");
	ck_assert(PQsendQuery(b, "INSERT INTO t VALUES (2, 'b')"));
	cancel = PQgetCancel(b);
	ck_assert(PQcancel(cancel, fault_text, sizeof(fault_text)));
	PQfreeCancel(cancel);
	r = PQgetResult(b);
	ck_assert_str_eq(PQresultErrorField(r, PG_DIAG_SQLSTATE), "57014");
	PQclear(r);
	ck_assert_ptr_null(PQgetResult(b));
	ck_assert_str_eq(run(a, "COMMIT"), "");
	ck_assert_str_eq(one(b, "SELECT count(*) FROM t"), "1");
	PQfinish(a);
	PQfinish(b);
}
END_TEST

START_TEST(replicas_follow_after_lag)
{
	PGconn *c = open_plain(1);

	make_table();
	ck_assert(members_sql(members, id_of(0),
			      "INSERT INTO t VALUES (1, 'a')"));
	await_at(1, 1, 2);
	ck_assert_str_eq(one(c, "SELECT v FROM t"), "a");
	ck_assert_str_eq(run(c, "DELETE FROM t"), "25006");
	fault(1, (struct member_faults){ .lag = 20 * HM_SEC });
	ck_assert(members_sql(members, id_of(0), "DELETE FROM t"));
	await_at(2, 1, 3);
	ck_assert_str_eq(one(c, "SELECT v FROM t"), "a");
	PQfinish(c);
}
END_TEST

START_TEST(fence_stops_writes_and_commits)
{
	PGconn *a = open_plain(0), *b = open_plain(0);

	make_table();
	ck_assert_str_eq(run(a, "BEGIN"), "");
	ck_assert_str_eq(run(a, "INSERT INTO t VALUES (1, 'a')"), "");
	ck_assert(says(b, "SELECT hm_fence(2, 'aa')", "\"refused\":false"));
	ck_assert(says(b, "SELECT hm_fence(2, 'aa')", "\"refused\":false"));
	ck_assert(says(b, "SELECT hm_fence(2, 'bb')", "\"refused\":true"));
	ck_assert(says(b, "SELECT hm_fence(1, 'aa')", "\"refused\":true"));
	ck_assert_str_eq(run(a, "COMMIT"), "25006");
	ck_assert_str_eq(run(a, "INSERT INTO t VALUES (1, 'a')"), "25006");
	ck_assert_str_eq(one(b, "SELECT count(*) FROM t"), "0");
	ck_assert_uint_eq(state_of(0).at.pos, 1);
	PQfinish(a);
	PQfinish(b);
}
END_TEST

/* A fenced follower keeps its position, which is evidence now. */
START_TEST(fenced_follower_stands_still)
{
	PGconn *c = open_plain(1);

	make_table();
	await_at(1, 1, 1);
	ck_assert(says(c, "SELECT hm_fence(5, 'aa')", "\"refused\":false"));
	ck_assert(members_sql(members, id_of(0),
			      "INSERT INTO t VALUES (1, 'a')"));
	await_at(2, 1, 2);
	ck_assert_uint_eq(state_of(1).at.pos, 1);
	PQfinish(c);
}
END_TEST

static void order(uint32_t i, const char *sql)
{
	PGconn *c = open_as(i, "test");

	ck_assert_msg(says(c, sql, "\"refused\":false"), "%s: %s", sql,
		      one(c, sql));
	PQfinish(c);
}

static void order_follow(uint32_t i, uint32_t target)
{
	char sql[128];

	g_snprintf(sql, sizeof(sql),
		   "SELECT hm_follow(2, 'aa', '%" G_GINT64_MODIFIER "x')",
		   id_of(target));
	order(i, sql);
}

START_TEST(promotion_is_idempotent)
{
	make_table();
	await_at(1, 1, 1);
	order(1, "SELECT hm_fence(2, 'aa')");
	order(1, "SELECT hm_promote(2, 'aa')");
	ck_assert_uint_eq(state_of(1).at.pos, 2);
	order(1, "SELECT hm_promote(2, 'aa')");
	ck_assert_uint_eq(state_of(1).at.pos, 2);
	ck_assert_uint_eq(state_of(1).at.term, 2);
	ck_assert_int_eq(state_of(1).role, ROLE_PRIMARY);
	ck_assert_uint_eq(state_of(1).lineage.count, 2);
	ck_assert_uint_eq(state_of(1).lineage.begin[1].pos, 1);
}
END_TEST

START_TEST(promotion_needs_the_promise)
{
	PGconn *c = open_plain(1);

	ck_assert(says(c, "SELECT hm_promote(2, 'aa')", "\"refused\":true"));
	order(1, "SELECT hm_fence(2, 'aa')");
	order(1, "SELECT hm_fence(3, 'bb')");
	ck_assert(says(c, "SELECT hm_promote(2, 'aa')", "\"refused\":true"));
	ck_assert(says(c, "SELECT hm_promote(3, 'aa')", "\"refused\":true"));
	ck_assert(says(c, "SELECT hm_promote(3, 'bb')", "\"refused\":false"));
	PQfinish(c);
}
END_TEST

/* A cut off primary writes on; its tail goes when it follows again. */
START_TEST(divergent_tail_is_rewound)
{
	PGconn *old = open_plain(0), *new;

	make_table();
	await_at(1, 1, 1);
	await_at(2, 1, 1);
	fault(0, (struct member_faults){ .cut_peers = true });
	ck_assert_str_eq(run(old, "INSERT INTO t VALUES (1, 'lost')"), "");
	ck_assert_str_eq(run(old, "INSERT INTO t VALUES (2, 'lost')"), "");
	order(1, "SELECT hm_fence(2, 'aa')");
	order(2, "SELECT hm_fence(2, 'aa')");
	order(1, "SELECT hm_promote(2, 'aa')");
	order_follow(2, 1);
	new = open_plain(1);
	ck_assert_str_eq(run(new, "INSERT INTO t VALUES (1, 'kept')"), "");
	await_at(2, 2, 3);
	ck_assert_uint_eq(state_of(0).at.pos, 3);
	order_follow(0, 1);
	ck_assert_str_eq(run(old, "DELETE FROM t"), "25006");
	ck_assert_uint_eq(state_of(0).at.pos, 3);
	fault(0, (struct member_faults){ 0 });
	await_at(0, 2, 3);
	ck_assert_str_eq(one(old, "SELECT v FROM t"), "kept");
	ck_assert_str_eq(one(old, "SELECT count(*) FROM t"), "1");
	ck_assert_uint_eq(state_of(0).lineage.count, 2);
	PQfinish(old);
	PQfinish(new);
}
END_TEST

START_TEST(primary_of_a_term_does_not_follow_in_it)
{
	PGconn *c = open_plain(0);
	char sql[128];

	g_snprintf(sql, sizeof(sql),
		   "SELECT hm_follow(1, 'aa', '%" G_GINT64_MODIFIER "x')",
		   id_of(1));
	ck_assert(says(c, sql, "\"refused\":true"));
	ck_assert_int_eq(state_of(0).role, ROLE_PRIMARY);
	PQfinish(c);
}
END_TEST

/* Taking the home ends whatever the previous home had open. */
START_TEST(home_is_compare_and_set)
{
	PGconn *a = open_as(0, "hyssopmount/aa");
	PGconn *b = open_as(0, "hyssopmount/bb/control");
	PGconn *stale;

	make_table();
	ck_assert(says(a, "SELECT hm_home('aa', '0')", "\"refused\":false"));
	ck_assert_int_eq(PQstatus(b), CONNECTION_OK);
	PQfinish(b);
	b = open_as(0, "hyssopmount/bb/control");
	ck_assert_str_eq(run(a, "BEGIN"), "");
	ck_assert_str_eq(run(a, "INSERT INTO t VALUES (1, 'a')"), "");
	ck_assert(says(b, "SELECT hm_home('bb', '0')", "\"refused\":true"));
	ck_assert(says(b, "SELECT hm_home('bb', 'aa')", "\"refused\":false"));
	ck_assert(says(b, "SELECT hm_home('bb', 'aa')", "\"refused\":false"));
	ck_assert_str_eq(run(a, "COMMIT"), "LOST");
	stale = try_open(0, "hyssopmount/aa");
	ck_assert_int_eq(PQstatus(stale), CONNECTION_BAD);
	ck_assert(says(b, "SELECT hm_home('aa', '0')", "\"refused\":true"));
	ck_assert_str_eq(one(b, "SELECT count(*) FROM t"), "0");
	ck_assert_uint_eq(state_of(0).home, 0xbb);
	PQfinish(stale);
	PQfinish(a);
	PQfinish(b);
}
END_TEST

START_TEST(statements_of_another_life_are_refused)
{
	PGconn *a = open_as(0, "hyssopmount/aa");
	PGconn *b = open_as(0, "hyssopmount/bb/control");

	ck_assert(says(a, "SELECT hm_home('aa', '0')", "\"refused\":false"));
	PQfinish(b);
	b = open_as(0, "hyssopmount/bb/control");
	ck_assert_str_eq(run(b, "SELECT 1"), "57P03");
	ck_assert_str_eq(run(a, "SELECT 1"), "");
	PQfinish(a);
	PQfinish(b);
}
END_TEST

START_TEST(connections_are_limited)
{
	PGconn *held[4], *more, *control;
	struct member_figures f;
	uint32_t i;

	for (i = 0; i < 4; i++)
		held[i] = open_plain(0);
	more = try_open(0, "test");
	ck_assert_int_eq(PQstatus(more), CONNECTION_BAD);
	ck_assert_ptr_nonnull(strstr(PQerrorMessage(more), "too many"));
	control = open_as(0, "hyssopmount/aa/control");
	members_figures(members, id_of(0), &f);
	ck_assert_uint_eq(f.connections, 4);
	ck_assert_uint_eq(f.connections_most, 4);
	for (i = 0; i < 4; i++)
		PQfinish(held[i]);
	PQfinish(more);
	PQfinish(control);
}
END_TEST

START_TEST(lost_answer_leaves_the_effect)
{
	PGconn *c = open_plain(0);

	make_table();
	fault(0, (struct member_faults){ .lose_answer = true });
	ck_assert_str_eq(run(c, "INSERT INTO t VALUES (1, 'a')"), "LOST");
	PQfinish(c);
	c = open_plain(0);
	ck_assert(says(c, "SELECT hm_state()", "\"at\":[1,2]"));
	PQfinish(c);
	c = open_plain(0);
	ck_assert_str_eq(run(c, "SELECT hm_fence(2, 'aa')"), "LOST");
	ck_assert_uint_eq(state_of(0).promised, 2);
	fault(0, (struct member_faults){ 0 });
	PQfinish(c);
	c = open_plain(0);
	ck_assert_str_eq(one(c, "SELECT v FROM t"), "a");
	PQfinish(c);
}
END_TEST

static bool readable(PGconn *c, int ms)
{
	struct pollfd p = { .fd = PQsocket(c), .events = POLLIN };

	return poll(&p, 1, ms) == 1;
}

START_TEST(late_answers_come_late)
{
	PGconn *c = open_plain(0);
	hm_time start = loop_now();

	fault(0, (struct member_faults){ .late = 50 * HM_MS });
	ck_assert_str_eq(one(c, "SELECT 1"), "1");
	ck_assert_int_ge(loop_now() - start, 50 * HM_MS);
	PQfinish(c);
}
END_TEST

START_TEST(silent_connections_stay_silent)
{
	PGconn *old = open_plain(0), *new;

	fault(0, (struct member_faults){ .silent = true });
	ck_assert(PQsendQuery(old, "SELECT 1"));
	new = open_plain(0);
	ck_assert_str_eq(one(new, "SELECT 1"), "1");
	fault(0, (struct member_faults){ 0 });
	ck_assert_str_eq(one(new, "SELECT 2"), "2");
	ck_assert(!readable(old, 50));
	PQfinish(old);
	PQfinish(new);
}
END_TEST

/* The lock of a silent connection is freed by the keepalive. */
START_TEST(silent_transaction_ends)
{
	PGconn *old = open_plain(0), *new;

	make_table();
	ck_assert_str_eq(run(old, "BEGIN"), "");
	ck_assert_str_eq(run(old, "INSERT INTO t VALUES (1, 'a')"), "");
	fault(0, (struct member_faults){ .silent = true });
	new = open_plain(0);
	ck_assert_str_eq(run(new, "INSERT INTO t VALUES (1, 'b')"), "");
	ck_assert_str_eq(one(new, "SELECT v FROM t"), "b");
	PQfinish(old);
	PQfinish(new);
}
END_TEST

START_TEST(paused_member_moves_later)
{
	PGconn *c = open_plain(0);

	make_table();
	fault(0, (struct member_faults){ .paused = true });
	ck_assert(PQsendQuery(c, "INSERT INTO t VALUES (1, 'a')"));
	ck_assert(!readable(c, 50));
	ck_assert_uint_eq(state_of(0).at.pos, 1);
	fault(0, (struct member_faults){ 0 });
	ck_assert(readable(c, 5000));
	PQclear(PQgetResult(c));
	ck_assert_uint_eq(state_of(0).at.pos, 2);
	PQfinish(c);
}
END_TEST

START_TEST(pause_does_not_count_as_idle_home)
{
	PGconn *c = open_as(0, "hyssopmount/aa");

	ck_assert(says(c, "SELECT hm_home('aa', '0')", "\"refused\":false"));
	fault(0, (struct member_faults){ .paused = true });
	g_usleep(60 * 1000);
	fault(0, (struct member_faults){ 0 });
	ck_assert_int_lt(state_of(0).home_idle, 50 * HM_MS);
	PQfinish(c);
}
END_TEST

START_TEST(cut_member_drops_and_refuses)
{
	PGconn *c = open_plain(0), *new;

	make_table();
	ck_assert_str_eq(run(c, "BEGIN"), "");
	ck_assert_str_eq(run(c, "INSERT INTO t VALUES (1, 'a')"), "");
	fault(0, (struct member_faults){ .cut_all = true });
	ck_assert_str_eq(run(c, "COMMIT"), "LOST");
	new = try_open(0, "test");
	ck_assert_int_eq(PQstatus(new), CONNECTION_BAD);
	PQfinish(new);
	fault(0, (struct member_faults){ 0 });
	new = open_plain(0);
	ck_assert_str_eq(one(new, "SELECT count(*) FROM t"), "0");
	PQfinish(c);
	PQfinish(new);
}
END_TEST

START_TEST(killed_member_keeps_its_log_and_promise)
{
	PGconn *c = open_as(1, "hyssopmount/aa");

	make_table();
	await_at(1, 1, 1);
	ck_assert(says(c, "SELECT hm_home('aa', '0')", "\"refused\":false"));
	order(1, "SELECT hm_fence(4, 'cc')");
	fault(1, (struct member_faults){ .dead = true });
	ck_assert_str_eq(run(c, "SELECT 1"), "LOST");
	ck_assert(members_sql(members, id_of(0),
			      "INSERT INTO t VALUES (1, 'a')"));
	fault(1, (struct member_faults){ 0 });
	ck_assert_uint_eq(state_of(1).promised, 4);
	ck_assert_uint_eq(state_of(1).at.pos, 1);
	ck_assert_uint_eq(state_of(1).home, 0);
	PQfinish(c);
}
END_TEST

static void setup_costly(void)
{
	const struct member_options options = {
		.connect_cost = 20 * HM_MS,
		.statement_cost = 20 * HM_MS,
		.lag = LAG,
	};

	setup_with(&options);
}

static void setup_short_keepalive(void)
{
	const struct member_options options = { .lag = LAG,
						.keepalive = 50 * HM_MS };

	setup_with(&options);
}

/* Four at once on two slots: each takes twice the cost of one. */
START_TEST(costs_are_paid_and_shared)
{
	PGconn *c[4];
	struct member_figures f;
	hm_time start = loop_now();
	uint32_t i;

	c[0] = open_plain(0);
	ck_assert_int_ge(loop_now() - start, 20 * HM_MS);
	for (i = 1; i < 4; i++)
		c[i] = open_plain(0);
	start = loop_now();
	ck_assert_str_eq(one(c[0], "SELECT 1"), "1");
	ck_assert_int_ge(loop_now() - start, 20 * HM_MS);
	for (i = 0; i < 4; i++)
		ck_assert(PQsendQuery(c[i], "SELECT 1"));
	for (i = 0; i < 4; i++)
		PQclear(PQgetResult(c[i]));
	members_figures(members, id_of(0), &f);
	ck_assert_uint_gt(f.running_most, 2);
	for (i = 0; i < 4; i++)
		PQfinish(c[i]);
}
END_TEST

static TCase *tcase_members(const char *name, SFun begin)
{
	TCase *tc = tcase_create(name);

	tcase_add_checked_fixture(tc, begin, teardown);
	tcase_set_timeout(tc, 30);
	return tc;
}

static void add_sql(Suite *suite)
{
	TCase *tc = tcase_members("sql", setup);

	tcase_add_test(tc, round_trip);
	tcase_add_test(tc, errors);
	tcase_add_test(tc, transactions_see_committed_data);
	tcase_add_test(tc, disconnect_rolls_back);
	tcase_add_test(tc, cancel_ends_a_wait);
	tcase_add_test(tc, connections_are_limited);
	suite_add_tcase(suite, tc);
	tc = tcase_members("costs", setup_costly);
	tcase_add_test(tc, costs_are_paid_and_shared);
	suite_add_tcase(suite, tc);
}

static void add_terms(Suite *suite)
{
	TCase *tc = tcase_members("terms", setup);

	tcase_add_test(tc, replicas_follow_after_lag);
	tcase_add_test(tc, fence_stops_writes_and_commits);
	tcase_add_test(tc, fenced_follower_stands_still);
	tcase_add_test(tc, promotion_is_idempotent);
	tcase_add_test(tc, promotion_needs_the_promise);
	tcase_add_test(tc, divergent_tail_is_rewound);
	tcase_add_test(tc, primary_of_a_term_does_not_follow_in_it);
	tcase_add_test(tc, home_is_compare_and_set);
	tcase_add_test(tc, statements_of_another_life_are_refused);
	suite_add_tcase(suite, tc);
}

static void add_faults(Suite *suite)
{
	TCase *tc = tcase_members("faults", setup);

	tcase_add_test(tc, lost_answer_leaves_the_effect);
	tcase_add_test(tc, late_answers_come_late);
	tcase_add_test(tc, silent_connections_stay_silent);
	tcase_add_test(tc, paused_member_moves_later);
	tcase_add_test(tc, pause_does_not_count_as_idle_home);
	tcase_add_test(tc, cut_member_drops_and_refuses);
	tcase_add_test(tc, killed_member_keeps_its_log_and_promise);
	suite_add_tcase(suite, tc);
	tc = tcase_members("keepalive", setup_short_keepalive);
	tcase_add_test(tc, silent_transaction_ends);
	suite_add_tcase(suite, tc);
}

int main(void)
{
	Suite *suite = suite_create("member");
	SRunner *runner;
	int failed;

	add_sql(suite);
	add_terms(suite);
	add_faults(suite);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
