/**
 * @file test_path.c
 * The whole path on the users' platform, as callers and members see it.
 */
#include <check.h>
#include <string.h>
#include <sys/socket.h>

#include "path_bed.h"
#include "suite.h"

START_TEST(session_and_transaction)
{
	struct path_caller c;

	path_until_served(0, "rota", "QUERY a0 WRITE shift ann");
	path_until_served(1, "view", "QUERY a1 READ shift");
	ck_assert_str_eq(path_open_session(&c, 1, "rota", "secret"),
			 "READY I -|");
	ck_assert_str_eq(path_say(&c, "QUERY b1 SET tz utc"),
			 "COMPLETE -|READY I -|");
	ck_assert_str_eq(path_say(&c, "QUERY b2 PREPARE p WRITE q"),
			 "COMPLETE -|READY I -|");
	ck_assert_str_eq(path_say(&c, "QUERY b3 BEGIN"),
			 "COMPLETE -|READY T -|");
	ck_assert_ptr_nonnull(strstr(path_say(&c, "QUERY b4 READ shift"),
				     "ROW ann|COMPLETE 7."));
	ck_assert_ptr_nonnull(strstr(
		path_say(&c, "QUERY b5 EXECUTE p shift ben"), "COMPLETE 7."));
	path_assert_value("shift", "ann"); /* not committed yet */
	ck_assert_ptr_nonnull(
		strstr(path_say(&c, "QUERY b6 COMMIT"), "READY I"));
	path_assert_value("shift", "ben");
	ck_assert_str_eq(path_say(&c, "QUERY b7 BEGIN"),
			 "COMPLETE -|READY T -|");
	path_say(&c, "QUERY b8 WRITE shift cid");
	ck_assert_str_eq(path_say(&c, "QUERY b9 ROLLBACK"),
			 "COMPLETE -|READY I -|");
	path_hang_up(&c);
	path_until_served(0, "rota", "QUERY c1 READ shift");
	path_assert_value("shift", "ben");
}
END_TEST

START_TEST(lines_may_come_in_any_pieces)
{
	static const char text[] = "QUERY a1 SET a b\r\nQUERY a2 READ\r\n"
				   "QUERY a3 WRITE x y z\r\n";
	struct path_caller c;
	size_t i;

	path_until_served(0, "rota", "QUERY a0 WRITE warm up");
	path_open_session(&c, 0, "rota", "secret");
	for (i = 0; i < strlen(text); i++)
		ck_assert_int_eq(send(c.fd, text + i, 1, MSG_NOSIGNAL), 1);
	ck_assert_str_eq(path_read_answer(&c), "COMPLETE -|READY I -|");
	ck_assert(g_str_has_prefix(path_read_answer(&c), "ERROR MALFORMED"));
	ck_assert_ptr_nonnull(strstr(path_read_answer(&c), "COMPLETE 7."));
	path_assert_value("x", "y z");
	ck_assert_str_eq(path_say(&c, "nonsense"), "closed");
	path_hang_up(&c);
}
END_TEST

START_TEST(primary_dies)
{
	path_until_served(0, "rota", "QUERY a0 WRITE shift ann");
	path_until_served(1, "view", "QUERY a1 READ shift");
	line_members_kill(path_bed.members, 0);
	path_until_served(0, "rota", "QUERY a2 WRITE shift ben");
	path_until_served(1, "rota", "QUERY a3 READ shift");
	ck_assert_int_ne(line_members_primary(path_bed.members), 0);
	path_assert_value("shift", "ben");
}
END_TEST

START_TEST(primary_is_drained)
{
	gint64 until = g_get_monotonic_time() + PATH_WAIT_US;

	path_until_served(0, "rota", "QUERY a0 WRITE shift ann");
	path_bed.leaving[0] = true;
	path_publish_member(0);
	while (line_members_primary(path_bed.members) == 0 &&
	       g_get_monotonic_time() < until)
		path_until_served(1, "rota", "QUERY a1 WRITE shift ben");
	ck_assert_int_ne(line_members_primary(path_bed.members), 0);
	path_until_served(0, "rota", "QUERY a2 WRITE shift cid");
	path_assert_value("shift", "cid");
}
END_TEST

/* Reads again and again: what is answered is @a expected, never older. */
static void never_older(const char *item, const char *expected, int times)
{
	char *line = g_strdup_printf("QUERY r READ %s", item);
	char *row = g_strdup_printf("ROW %s|", expected);
	struct path_caller c;
	int i;

	for (i = 0; i < times; i++) {
		path_open_session(&c, i % PATH_INSTANCES, "rota", "secret");
		if (strstr(path_say(&c, line), "COMPLETE"))
			ck_assert_msg(strstr(c.answer, row) != NULL, "%s",
				      c.answer);
		path_hang_up(&c);
		g_usleep(PATH_POLL_US / 2);
	}
	g_free(line);
	g_free(row);
}

static void until_one_leads(void)
{
	gint64 until = g_get_monotonic_time() + PATH_WAIT_US;

	while (line_members_old_primary_runs(path_bed.members) &&
	       g_get_monotonic_time() < until)
		g_usleep(PATH_POLL_US);
	ck_assert(!line_members_old_primary_runs(path_bed.members));
}

/* akb-utility, STALE: a replaced primary goes on until it is told. */
START_TEST(replaced_primary_that_goes_on_serves_no_reads)
{
	path_until_served(0, "rota", "QUERY a0 WRITE shift ann");
	path_until_served(1, "rota", "QUERY a1 READ shift");
	line_members_keep_old_primary(path_bed.members);
	ck_assert(line_members_promote(path_bed.members, "i-2"));
	line_members_commit(path_bed.members, "shift", "ben");
	never_older("shift", "ben", 40);
	until_one_leads();
	path_until_served(0, "rota", "QUERY a2 READ shift");
}
END_TEST

/* The instances reach the old primary alone; others have replaced it. */
START_TEST(primary_that_alone_is_reached_serves_no_reads)
{
	path_until_served(0, "rota", "QUERY a0 WRITE shift ann");
	path_until_served(1, "rota", "QUERY a1 READ shift");
	line_members_keep_old_primary(path_bed.members);
	line_members_freeze(path_bed.members, 1, true);
	line_members_freeze(path_bed.members, 2, true);
	ck_assert(line_members_promote(path_bed.members, "i-2"));
	line_members_commit(path_bed.members, "shift", "ben");
	never_older("shift", "ben", 40);
	ck_assert(line_members_old_primary_runs(path_bed.members));
	line_members_freeze(path_bed.members, 1, false);
	line_members_freeze(path_bed.members, 2, false);
	until_one_leads();
	path_until_served(1, "rota", "QUERY a2 READ shift");
}
END_TEST

START_TEST(frozen_primary_is_replaced_and_steps_down_once_it_wakes)
{
	path_until_served(0, "rota", "QUERY a0 WRITE shift ann");
	path_until_served(1, "rota", "QUERY a1 READ shift");
	line_members_keep_old_primary(path_bed.members);
	line_members_freeze(path_bed.members, 0, true);
	path_until_served(0, "rota", "QUERY a2 WRITE shift ben");
	ck_assert(line_members_old_primary_runs(path_bed.members));
	line_members_freeze(path_bed.members, 0, false);
	never_older("shift", "ben", 40);
	until_one_leads();
}
END_TEST

START_TEST(key_and_routes_change)
{
	struct path_caller c;

	path_until_served(0, "rota", "QUERY a0 WRITE shift ann");
	path_until_opened(1, "extra", "secret", "ERROR NODB");
	path_open_session(&c, 0, "rota", "secret");
	path_configure("other", ",{\"Host\":\"extra\",\"Type\":\"primary\","
				"\"Service\":\"rota-db\"}");
	path_until_opened(1, "extra", "other", "READY I -");
	path_until_opened(0, "rota", "secret", "ERROR UNAUTH");
	/* A session that was open when its key was taken away. */
	ck_assert_ptr_nonnull(
		strstr(path_say(&c, "QUERY a1 READ shift"), "closed"));
	path_hang_up(&c);
}
END_TEST

START_TEST(instance_stops_while_a_transaction_is_open)
{
	struct path_caller c;

	path_until_served(0, "rota", "QUERY a0 WRITE shift ann");
	path_until_served(1, "rota", "QUERY a1 READ shift");
	path_open_session(&c, 0, "rota", "secret");
	path_say(&c, "QUERY b1 BEGIN");
	ck_assert_ptr_nonnull(
		strstr(path_say(&c, "QUERY b2 WRITE shift ben"), "READY T"));
	proxy_instance_stop(path_bed.instances[0]);
	ck_assert_ptr_nonnull(
		strstr(path_say(&c, "QUERY b3 COMMIT"), "READY I"));
	path_assert_value("shift", "ben");
	ck_assert_str_eq(path_read_answer(&c), "closed"); /* at rest, it ends */
	path_hang_up(&c);
	g_thread_join(path_bed.threads[0]);
	proxy_instance_free(path_bed.instances[0]);
	path_bed.instances[0] = NULL;
	path_until_served(1, "rota", "QUERY c1 WRITE shift cid");
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("path");

	tcase_add_checked_fixture(tc, path_setup, path_teardown);
	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, session_and_transaction);
	tcase_add_test(tc, lines_may_come_in_any_pieces);
	tcase_add_test(tc, primary_dies);
	tcase_add_test(tc, primary_is_drained);
	tcase_add_test(tc, replaced_primary_that_goes_on_serves_no_reads);
	tcase_add_test(tc, primary_that_alone_is_reached_serves_no_reads);
	tcase_add_test(tc,
		       frozen_primary_is_replaced_and_steps_down_once_it_wakes);
	tcase_add_test(tc, key_and_routes_change);
	tcase_add_test(tc, instance_stops_while_a_transaction_is_open);
	return suite_run("path", tc);
}
