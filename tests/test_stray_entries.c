/**
 * @file test_stray_entries.c
 * End-to-end tests of the proxy beside entries of other writers in the store
 * that cannot be read: they are left out, and all other entries are used.
 */
#include <check.h>
#include <string.h>

#include "path_testbed.h"
#include "suite.h"

#define NESTED 2100

/* Values of one entry. NULL stands for one that is nested too deeply. */
static const char *const values[] = {
	NULL,
	"{\"Service\":\"rota-db\",\"Capacity\":12345678901234567890}",
	"{\"Service\":\"rota-db\",\"Capacity\":1e400}",
	"\"\\u0000\\u0001\"",
	"\"\\ud800\"",
	"{\"Service\":\"\xff\xfe\"}",
	"{\"\\u0000\":1}",
	"7",
	"{\"Service\":\"rota-db\",\"Address\":\"127.0.0.1:99999\","
	"\"Zone\":\"a\",\"Capacity\":2,\"State\":\"ready\","
	"\"DbRole\":\"primary\",\"born\":1}",
	"{\"Service\":\"rota-db\",\"Address\":\"127.0.0.1:0\","
	"\"Zone\":\"a\",\"Capacity\":2,\"State\":\"ready\","
	"\"DbRole\":\"primary\",\"born\":1}",
	"{\"address\":\"127.0.0.1:99999\"}",
};
#define VALUES (sizeof(values) / sizeof(values[0]))

static const char *const kinds[] = { "servers",		"config",
				     "proxy-instances", "proxy-duties",
				     "token-reserves",	"evacuations" };
#define KINDS (sizeof(kinds) / sizeof(kinds[0]))

static void put_stray(const char *kind, const char *name, const char *value)
{
	char *open = g_strnfill(NESTED, '['), *close = g_strnfill(NESTED, ']');
	char *nested = g_strconcat("{\"x\":", open, close, "}", NULL);

	object_store_put_raw(path_testbed.store, kind, name,
			     value ? value : nested);
	g_free(nested);
	g_free(close);
	g_free(open);
}

static void restart_instance(int index)
{
	path_end_instance(index);
	path_start_instance(index);
}

/*
 * Guards against one entry that makes a list of members unreadable: running
 * instances no longer followed it, and new ones had no members.
 */
START_TEST(stray_member_is_left_out)
{
	path_until_served(0, "rota", "QUERY a0 WRITE shift ann");
	put_stray("servers", "i-0", values[_i]);
	path_replace_primary(0);
	restart_instance(1);
	path_until_served(1, "rota", "QUERY a1 READ shift");
}
END_TEST

/* The same for each kind of objects that an instance reads. */
START_TEST(stray_entry_of_any_kind_is_left_out)
{
	const char *kind = kinds[_i];
	size_t i;

	path_testbed.evacuations = true;
	restart_instance(0);
	restart_instance(1);
	path_until_served(0, "rota", "QUERY a0 WRITE shift ann");
	for (i = 0; i < VALUES; i++) {
		char *name = g_strdup_printf("a-%zu", i);

		put_stray(kind, name, values[i]);
		g_free(name);
	}
	path_replace_primary(0);
	path_configure("other", "");
	path_until_opened(0, "rota", "other", "READY I -");
	restart_instance(1);
	path_until_opened(1, "rota", "other", "READY I -");
	path_configure("secret", "");
	path_until_served(1, "rota", "QUERY a1 READ shift");
}
END_TEST

/* A member's own entry is replaced by one that cannot be read. */
START_TEST(overwritten_member_is_no_longer_used)
{
	int primary = line_members_primary(path_testbed.members);
	gint64 until = g_get_monotonic_time() + 2 * PATH_WAIT_US;

	path_until_served(0, "rota", "QUERY a0 WRITE shift ann");
	put_stray("servers", line_members_name(primary), "\"\\u0000\"");
	while (line_members_primary(path_testbed.members) == primary &&
	       g_get_monotonic_time() < until)
		path_until_served(0, "rota", "QUERY a1 WRITE shift ben");
	ck_assert_int_ne(line_members_primary(path_testbed.members), primary);
}
END_TEST

/* The name after which a page begins has a blank, and its entry is no member. */
START_TEST(pages_continue_after_any_name)
{
	put_stray("servers", "a member & its copy", values[3]);
	object_store_set_page(path_testbed.store, 1);
	restart_instance(0);
	path_until_served(0, "rota", "QUERY a0 WRITE shift ann");
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("stray_entries");

	tcase_add_checked_fixture(tc, path_setup, path_teardown);
	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, stray_member_is_left_out, 0, VALUES);
	tcase_add_loop_test(tc, stray_entry_of_any_kind_is_left_out, 0, KINDS);
	tcase_add_test(tc, overwritten_member_is_no_longer_used);
	tcase_add_test(tc, pages_continue_after_any_name);
	return suite_run("stray_entries", tc);
}
