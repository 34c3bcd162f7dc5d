/** @file test_member_faults.c Faults of stand-in members. */
#include <arpa/inet.h>
#include <check.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../core/rng.h"
#include "../src/loop.h"
#include "member_fixture.h"

START_TEST(lost_answer_leaves_the_effect)
{
	PGconn *c = member_open(0);

	member_make_table();
	member_fault(0, (struct member_faults){ .lose_answer = true });
	ck_assert_str_eq(member_run(c, "INSERT INTO t VALUES (1, 'a')"),
			 "LOST");
	PQfinish(c);
	c = member_open(0);
	ck_assert(member_replies(c, "SELECT hm_state()", "\"at\":[1,2]"));
	PQfinish(c);
	c = member_open(0);
	ck_assert_str_eq(member_run(c, "SELECT hm_fence(2, 'aa')"), "LOST");
	ck_assert_uint_eq(member_state(0).promised, 2);
	member_fault(0, (struct member_faults){ 0 });
	PQfinish(c);
	c = member_open(0);
	ck_assert_str_eq(member_value(c, "SELECT v FROM t"), "a");
	PQfinish(c);
}
END_TEST

static bool readable(PGconn *c, int ms)
{
	struct pollfd p = { .fd = PQsocket(c), .events = POLLIN };

	return poll(&p, 1, ms) == 1;
}

START_TEST(answers_are_delayed)
{
	PGconn *c = member_open(0);
	hm_time start = loop_now();

	member_fault(0, (struct member_faults){ .answer_delay = 50 * HM_MS });
	ck_assert_str_eq(member_value(c, "SELECT 1"), "1");
	ck_assert_int_ge(loop_now() - start, 50 * HM_MS);
	PQfinish(c);
}
END_TEST

START_TEST(silent_connections_stay_silent)
{
	PGconn *old = member_open(0), *new;

	member_fault(0, (struct member_faults){ .silent = true });
	ck_assert(PQsendQuery(old, "SELECT 1"));
	new = member_open(0);
	ck_assert_str_eq(member_value(new, "SELECT 1"), "1");
	member_fault(0, (struct member_faults){ 0 });
	ck_assert_str_eq(member_value(new, "SELECT 2"), "2");
	ck_assert(!readable(old, 50));
	PQfinish(old);
	PQfinish(new);
}
END_TEST

/* The keepalive closes a silent connection, which releases its write lock. */
START_TEST(silent_transaction_ends)
{
	PGconn *old = member_open(0), *new;

	member_make_table();
	ck_assert_str_eq(member_run(old, "BEGIN"), "");
	ck_assert_str_eq(member_run(old, "INSERT INTO t VALUES (1, 'a')"), "");
	member_fault(0, (struct member_faults){ .silent = true });
	new = member_open(0);
	ck_assert_str_eq(member_run(new, "INSERT INTO t VALUES (1, 'b')"), "");
	ck_assert_str_eq(member_value(new, "SELECT v FROM t"), "b");
	PQfinish(old);
	PQfinish(new);
}
END_TEST

START_TEST(paused_member_answers_after_resume)
{
	PGconn *c = member_open(0);

	member_make_table();
	member_fault(0, (struct member_faults){ .paused = true });
	ck_assert(PQsendQuery(c, "INSERT INTO t VALUES (1, 'a')"));
	ck_assert(!readable(c, 50));
	ck_assert_uint_eq(member_state(0).at.pos, 1);
	member_fault(0, (struct member_faults){ 0 });
	ck_assert(readable(c, 5000));
	PQclear(PQgetResult(c));
	ck_assert_uint_eq(member_state(0).at.pos, 2);
	PQfinish(c);
}
END_TEST

START_TEST(pause_does_not_count_as_owner_idle_time)
{
	PGconn *c = member_open_as(0, "hyssopmount/aa");

	ck_assert(member_replies(c, "SELECT hm_home('aa', '0')",
				 "\"refused\":false"));
	member_fault(0, (struct member_faults){ .paused = true });
	g_usleep(60 * 1000);
	member_fault(0, (struct member_faults){ 0 });
	ck_assert_int_lt(member_state(0).owner_idle, 50 * HM_MS);
	PQfinish(c);
}
END_TEST

START_TEST(unreachable_member_drops_and_refuses)
{
	PGconn *c = member_open(0), *new;

	member_make_table();
	ck_assert_str_eq(member_run(c, "BEGIN"), "");
	ck_assert_str_eq(member_run(c, "INSERT INTO t VALUES (1, 'a')"), "");
	member_fault(0, (struct member_faults){ .cut_all = true });
	ck_assert_str_eq(member_run(c, "COMMIT"), "LOST");
	new = member_try_open(0, "test");
	ck_assert_int_eq(PQstatus(new), CONNECTION_BAD);
	PQfinish(new);
	member_fault(0, (struct member_faults){ 0 });
	new = member_open(0);
	ck_assert_str_eq(member_value(new, "SELECT count(*) FROM t"), "0");
	PQfinish(c);
	PQfinish(new);
}
END_TEST

START_TEST(killed_member_keeps_its_log_and_promise)
{
	PGconn *c = member_open_as(1, "hyssopmount/aa");

	member_make_table();
	member_await_at(1, 1, 1);
	ck_assert(member_replies(c, "SELECT hm_home('aa', '0')",
				 "\"refused\":false"));
	member_run_control(1, "SELECT hm_fence(4, 'cc')");
	member_fault(1, (struct member_faults){ .dead = true });
	ck_assert_str_eq(member_run(c, "SELECT 1"), "LOST");
	ck_assert(members_sql(members, member_id(0),
			      "INSERT INTO t VALUES (1, 'a')"));
	member_fault(1, (struct member_faults){ 0 });
	ck_assert_uint_eq(member_state(1).promised, 4);
	ck_assert_uint_eq(member_state(1).at.pos, 1);
	ck_assert_uint_eq(member_state(1).owner, 0);
	PQfinish(c);
}
END_TEST

static int open_socket(uint32_t i)
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	at.sin_port = htons(
		(uint16_t)atoi(strrchr(spec.endpoints[i].address, ':') + 1));
	inet_pton(AF_INET, "127.0.0.1", &at.sin_addr);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&at, sizeof(at)), 0);
	return fd;
}

/* Sends a prefix of a startup and four messages with some bytes changed. */
static void send_corrupted(struct rng *rng, int fd)
{
	static const char valid[] = "\0\0\0\x0d\0\x03\0\0user\0"
				    "P\0\0\0\x10\0SELECT 1\0\0\0"
				    "B\0\0\0\x0c\0\0\0\0\0\0\0\0"
				    "E\0\0\0\x09\0\0\0\0\0"
				    "S\0\0\0\x04";
	char bytes[sizeof(valid)];
	uint32_t i, count = (uint32_t)rng_below(rng, 4);

	memcpy(bytes, valid, sizeof(valid));
	for (i = 0; i < count; i++)
		bytes[rng_below(rng, sizeof(bytes))] = (char)rng_next(rng);
	ck_assert_int_gt(send(fd, bytes, 1 + rng_below(rng, sizeof(bytes)), 0),
			 0);
}

START_TEST(corrupted_messages_do_not_stop_member)
{
	struct rng rng = { 11 };
	char answer[256];
	struct pollfd p;
	PGconn *c;
	int i;

	for (i = 0; i < 400; i++) {
		p = (struct pollfd){ .fd = open_socket(0), .events = POLLIN };
		send_corrupted(&rng, p.fd);
		if (poll(&p, 1, 2) == 1)
			recv(p.fd, answer, sizeof(answer), 0);
		close(p.fd);
	}
	c = member_open(0);
	ck_assert_str_eq(member_value(c, "SELECT 1"), "1");
	PQfinish(c);
}
END_TEST

static void setup_short_keepalive(void)
{
	const struct member_options options = { .lag = LAG,
						.keepalive = 50 * HM_MS };

	member_setup_with(&options);
}

static TCase *tcase_members(const char *name, SFun begin)
{
	TCase *tc = tcase_create(name);

	tcase_add_checked_fixture(tc, begin, member_teardown);
	tcase_set_timeout(tc, 30);
	return tc;
}

static void add_faults(Suite *suite)
{
	TCase *tc = tcase_members("faults", member_setup);

	tcase_add_test(tc, lost_answer_leaves_the_effect);
	tcase_add_test(tc, answers_are_delayed);
	tcase_add_test(tc, silent_connections_stay_silent);
	tcase_add_test(tc, paused_member_answers_after_resume);
	tcase_add_test(tc, pause_does_not_count_as_owner_idle_time);
	tcase_add_test(tc, unreachable_member_drops_and_refuses);
	tcase_add_test(tc, killed_member_keeps_its_log_and_promise);
	tcase_add_test(tc, corrupted_messages_do_not_stop_member);
	suite_add_tcase(suite, tc);
	tc = tcase_members("keepalive", setup_short_keepalive);
	tcase_add_test(tc, silent_transaction_ends);
	suite_add_tcase(suite, tc);
}

int main(void)
{
	Suite *suite = suite_create("member faults");
	SRunner *runner;
	int failed;

	add_faults(suite);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
