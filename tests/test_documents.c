/**
 * @file test_documents.c
 * Parsing of the documents that the operator and the members write to the
 * platform's store: an account or entry is taken completely or ignored.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "../platform/adapter.h"
#include "../src/names.h"
#include "suite.h"

#define KEYS 300

static json_t *account_with_keys(int count)
{
	json_t *keys = json_array();
	int i;

	for (i = 0; i < count; i++)
		json_array_append_new(keys, json_sprintf("key-%d", i));
	return json_pack("{s:s, s:o, s:i, s:i}", "Name", "acme", "ApiKeys",
			 keys, "PerS", 10, "Burst", 20);
}

/*
 * Guards against a limit of 16 and later of 64 keys, above which an account was
 * ignored.
 */
START_TEST(account_has_all_its_keys)
{
	json_t *json = json_pack("{s:i, s:[], s:[], s:{}, s:[o]}", "Version", 3,
				 "Routes", "Services", "Limits", "Tenants",
				 account_with_keys(KEYS));
	const char *fault = "";
	char key[16];
	int i;
	struct site_config *c = platform_site.parse_config(
		json, (struct zone_names){ 0 }, &fault);

	ck_assert_msg(c != NULL, "%s", fault);
	ck_assert_uint_eq(c->account_count, 1);
	ck_assert_uint_eq(site_account_keys(c, name_id("acme")), KEYS);
	for (i = 0; i < KEYS; i++) {
		g_snprintf(key, sizeof(key), "key-%d", i);
		ck_assert_uint_eq(
			site_account_by_key(c, key_hash(key, strlen(key))),
			name_id("acme"));
	}
	ck_assert_uint_eq(site_account_by_key(c, key_hash("key-x", 5)), 0);
	site_config_free(c);
	json_decref(json);
}
END_TEST

/* A key that two accounts list identifies none, in whatever order. */
START_TEST(shared_key_identifies_no_account)
{
	struct site_config *c = calloc(1, sizeof(*c));
	struct key_id one = { 1, 1 }, both = { 2, 2 };

	site_config_add_key(c, 10, one);
	site_config_add_key(c, 10, both);
	site_config_add_key(c, 10, both);
	ck_assert_uint_eq(site_account_by_key(c, both), 10);
	site_config_add_key(c, 20, both);
	ck_assert_uint_eq(site_account_by_key(c, both), 0);
	ck_assert_uint_eq(site_account_by_key(c, one), 10);
	site_config_free(c);
}
END_TEST

/* Priorities of routes and the levels that they give. */
static const struct {
	int priorities[6];
	uint32_t levels[6];
	uint32_t level_count;
} priority_rows[] = {
	{ { 2, 2, 2, 2, 2, 2 }, { 0, 0, 0, 0, 0, 0 }, 1 },
	{ { 1, 2, 2, 1, 2, 1 }, { 0, 1, 1, 0, 1, 0 }, 2 },
	{ { 9, 0, 5, 5, 0, 9 }, { 2, 0, 1, 1, 0, 2 }, 3 },
	/* Levels are few: the least urgent priorities share the last one. */
	{ { 50, 10, 40, 30, 20, 10 }, { 3, 0, 3, 2, 1, 0 }, 4 },
};

/* Guards against a level that is not the rank among all routes. */
START_TEST(priorities_of_routes_become_levels)
{
	json_t *routes = json_array(), *json;
	const char *fault = "";
	struct site_config *c;
	int i;

	for (i = 0; i < 6; i++)
		json_array_append_new(
			routes, json_pack("{s:o, s:s, s:s, s:i}", "Host",
					  json_sprintf("host-%d", i), "Service",
					  "db", "Type", "primary", "Priority",
					  priority_rows[_i].priorities[i]));
	json = json_pack("{s:i, s:o, s:[], s:{}, s:[]}", "Version", 3, "Routes",
			 routes, "Services", "Limits", "Tenants");
	c = platform_site.parse_config(json, (struct zone_names){ 0 }, &fault);
	ck_assert_msg(c != NULL, "%s", fault);
	ck_assert_uint_eq(c->level_count, priority_rows[_i].level_count);
	for (i = 0; i < 6; i++)
		ck_assert_uint_eq(c->routes[i].level,
				  priority_rows[_i].levels[i]);
	site_config_free(c);
	json_decref(json);
}
END_TEST

/* Entries of the store; only the first is a valid member. */
static const struct {
	const char *text;
	bool member;
} entries[] = {
	{ "{'Service':'db','Address':'10.0.0.1:5','Zone':'a','Capacity':2,"
	  "'State':'ready','DbRole':'replica','born':1}",
	  true },
	{ "{'Address':'10.0.0.1:5','Zone':'a','Capacity':2,'State':'ready',"
	  "'DbRole':'replica','born':1}",
	  false },
	{ "{'Service':'db','Address':7,'Zone':'a','Capacity':2,"
	  "'State':'ready','DbRole':'replica','born':1}",
	  false },
	{ "{'Service':'db','Address':'10.0.0.1:5','Zone':'a','Capacity':2,"
	  "'State':'resting','DbRole':'replica','born':1}",
	  false },
	{ "{'Service':['db'],'Address':'10.0.0.1:5','Zone':'a','Capacity':2,"
	  "'State':'ready','DbRole':'replica','born':1}",
	  false },
	/* A port out of range. */
	{ "{'Service':'db','Address':'10.0.0.1:99999','Zone':'a','Capacity':2,"
	  "'State':'ready','DbRole':'replica','born':1}",
	  false },
	{ "{'Service':'db','Address':'10.0.0.1:0','Zone':'a','Capacity':2,"
	  "'State':'ready','DbRole':'replica','born':1}",
	  false },
	{ "{'Service':'db','Address':'10.0.0.1:-5','Zone':'a','Capacity':2,"
	  "'State':'ready','DbRole':'replica','born':1}",
	  false },
	{ "['ready']", false },
	{ "{}", false },
};

START_TEST(invalid_entry_is_no_member)
{
	static const char *const zones[] = { "a" };
	struct zone_names names = { .names = zones, .count = 1 };
	char *text = g_strdelimit(g_strdup(entries[_i].text), "'", '"');
	json_t *json = json_loads(text, 0, NULL);
	struct site_member m;

	ck_assert_ptr_nonnull(json);
	ck_assert_int_eq(platform_site.parse_member("i-1", json, names, &m),
			 entries[_i].member);
	json_decref(json);
	g_free(text);
}
END_TEST

/* Different names with the same ID (XXH64). */
#define NAME_ONE "sts086ktbwm1b9v-"
#define NAME_TWO "ob0-1bj6i7qzot2v"

/* Configurations, and whether each is accepted. */
static const struct {
	const char *text;
	bool accepted;
} named_configs[] = {
	{ "{'Version':1,'Routes':[],'Tenants':[{'Name':'" NAME_ONE "'},"
	  "{'Name':'" NAME_TWO "'}]}",
	  false },
	{ "{'Version':1,'Routes':[{'Host':'" NAME_ONE "'},"
	  "{'Host':'" NAME_TWO "'}]}",
	  false },
	{ "{'Version':1,'Routes':[],'Services':[{'Name':'" NAME_ONE "'},"
	  "{'Name':'" NAME_TWO "'}]}",
	  false },
	{ "{'Version':1,'Routes':[{'Host':'a','Service':'" NAME_ONE "'}],"
	  "'Services':[{'Name':'" NAME_TWO "'}]}",
	  false },
	/* The same name twice, or in another role, is no conflict. */
	{ "{'Version':1,'Routes':[{'Host':'" NAME_ONE "','Service':'" NAME_TWO
	  "'},{'Host':'" NAME_ONE "'}],'Services':[{'Name':'" NAME_TWO "'}]}",
	  true },
};

/* Guards against a tenant, service or route that is taken for another one. */
START_TEST(names_with_one_id_are_refused)
{
	char *text = g_strdelimit(g_strdup(named_configs[_i].text), "'", '"');
	json_t *json = json_loads(text, 0, NULL);
	const char *fault;
	struct site_config *c;

	ck_assert_uint_eq(name_id(NAME_ONE), name_id(NAME_TWO));
	ck_assert_ptr_nonnull(json);
	c = platform_site.parse_config(json, (struct zone_names){ 0 }, &fault);
	ck_assert_int_eq(c != NULL, named_configs[_i].accepted);
	if (c)
		site_config_free(c);
	else
		ck_assert_str_eq(fault, "two names have the same ID");
	json_decref(json);
	g_free(text);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("documents");

	tcase_add_test(tc, account_has_all_its_keys);
	tcase_add_test(tc, shared_key_identifies_no_account);
	tcase_add_loop_test(tc, priorities_of_routes_become_levels, 0,
			    sizeof(priority_rows) / sizeof(priority_rows[0]));
	tcase_add_loop_test(tc, invalid_entry_is_no_member, 0,
			    G_N_ELEMENTS(entries));
	tcase_add_loop_test(tc, names_with_one_id_are_refused, 0,
			    G_N_ELEMENTS(named_configs));
	return suite_run("documents", tc);
}
