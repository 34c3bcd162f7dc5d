/**
 * @file test_path_store.c
 * The whole path while the store is deaf, down, or comes back from an older
 * copy.
 */
#include <check.h>
#include <string.h>

#include "path_bed.h"
#include "suite.h"

/* abh-rota scale-1, CONFIG: a watch that is deaf ends like one without news. */
START_TEST(change_is_seen_though_watches_are_deaf)
{
	path_until_served(0, "rota", "QUERY a0 WRITE shift ann");
	object_store_mute_watches(path_bed.store, true);
	path_configure("other", "");
	path_until_opened(0, "rota", "other", "READY I -");
	path_until_opened(1, "rota", "other", "READY I -");
	path_until_opened(0, "rota", "secret", "ERROR UNAUTH");
}
END_TEST

START_TEST(serves_while_the_store_is_down)
{
	path_until_served(0, "rota", "QUERY a0 WRITE shift ann");
	object_store_set_down(path_bed.store, true);
	path_until_served(0, "rota", "QUERY a1 WRITE shift ben");
	path_until_served(1, "view", "QUERY a2 READ shift");
	object_store_set_down(path_bed.store, false);
	path_assert_value("shift", "ben");
}
END_TEST

/* Away for a moment, and back from the copy of @a revision. */
static void drill(uint64_t revision)
{
	object_store_set_down(path_bed.store, true);
	object_store_restore(path_bed.store, revision);
	object_store_set_down(path_bed.store, false);
}

/* An instance starts in the drill: the copy still has the key. */
START_TEST(withdrawn_key_stays_withdrawn_when_the_store_comes_back)
{
	struct path_caller c;
	uint64_t copy;
	int i;

	path_until_served(0, "rota", "QUERY a0 WRITE shift ann");
	path_until_served(1, "rota", "QUERY a1 READ shift");
	copy = object_store_revision(path_bed.store);
	path_configure("other", "");
	path_until_opened(0, "rota", "secret", "ERROR UNAUTH");
	path_end_instance(1);
	drill(copy);
	path_start_instance(1);
	path_until_opened(1, "rota", "other", "READY I -");
	for (i = 0; i < 40; i++) {
		path_open_session(&c, i % PATH_INSTANCES, "rota", "secret");
		ck_assert_msg(g_str_has_prefix(c.answer, "ERROR UNAUTH"), "%s",
			      c.answer);
		path_hang_up(&c);
	}
	object_store_rewrite_external(path_bed.store, EXTERNAL_REVERSED);
	path_configure("third", "");
	path_until_opened(0, "rota", "third", "READY I -");
	path_until_opened(1, "rota", "third", "READY I -");
}
END_TEST

/* Marks the primary as leaving, and waits until another one leads. */
static int replace_primary(int instance)
{
	gint64 until = g_get_monotonic_time() + PATH_WAIT_US;
	int old = line_members_primary(path_bed.members);

	path_bed.leaving[old] = true;
	path_publish_member(old);
	while (line_members_primary(path_bed.members) == old &&
	       g_get_monotonic_time() < until)
		path_until_served(instance, "rota", "QUERY d1 WRITE shift x");
	ck_assert_int_ne(line_members_primary(path_bed.members), old);
	return old;
}

/* The token of the first change is gone, its keeper is killed. */
START_TEST(primary_is_replaced_with_a_newer_token_after_a_drill)
{
	uint64_t copy, token;
	int old;

	path_until_served(0, "rota", "QUERY a0 WRITE shift ann");
	path_until_served(1, "rota", "QUERY a1 READ shift");
	copy = object_store_revision(path_bed.store);
	old = replace_primary(0);
	token = object_store_token(path_bed.store);
	drill(copy);
	path_bed.leaving[old] = false; /* and its last words are lost */
	path_publish_member(old);
	path_end_instance(0);
	path_until_served(1, "rota", "QUERY a2 WRITE shift ben");
	replace_primary(1);
	ck_assert_uint_gt(object_store_token(path_bed.store), token);
	path_until_served(1, "rota", "QUERY a3 READ shift");
}
END_TEST

/* The copy lacks the primary; it goes on, and registers a second later. */
START_TEST(primary_that_the_copy_lacks_is_not_replaced)
{
	gint64 until = g_get_monotonic_time() + G_TIME_SPAN_SECOND;

	path_until_served(0, "rota", "QUERY a0 WRITE shift ann");
	path_until_served(1, "rota", "QUERY a1 READ shift");
	drill(1);
	while (g_get_monotonic_time() < until)
		path_until_served(0, "rota", "QUERY a2 WRITE shift ben");
	object_store_rewrite_external(path_bed.store, EXTERNAL_REVERSED);
	until = g_get_monotonic_time() + 4 * G_TIME_SPAN_SECOND;
	while (g_get_monotonic_time() < until)
		path_until_served(1, "rota", "QUERY a3 WRITE shift cid");
	ck_assert_int_eq(line_members_primary(path_bed.members), 0);
	ck_assert_uint_eq(object_store_token(path_bed.store), 0);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("path_store");

	tcase_add_checked_fixture(tc, path_setup, path_teardown);
	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, change_is_seen_though_watches_are_deaf);
	tcase_add_test(tc, serves_while_the_store_is_down);
	tcase_add_test(tc,
		       withdrawn_key_stays_withdrawn_when_the_store_comes_back);
	tcase_add_test(tc,
		       primary_is_replaced_with_a_newer_token_after_a_drill);
	tcase_add_test(tc, primary_that_the_copy_lacks_is_not_replaced);
	return suite_run("path_store", tc);
}
