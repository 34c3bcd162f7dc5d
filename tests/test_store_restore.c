/**
 * @file test_store_restore.c
 * Restore of the store from an older copy: which member list is newer, which
 * entries of the copy are withheld, and that an older configuration does not
 * replace a newer one.
 */
#include <check.h>
#include <string.h>

#include "../core/proxy_state.h"
#include "proxy_fixture.h"
#include "suite.h"

#define DEPARTED 9

static struct site_member entry(hm_id endpoint, uint64_t started, bool leaving)
{
	return (struct site_member){ .endpoint = endpoint,
				     .started = started,
				     .leaving = leaving };
}

/*
 * Each row: a member's entry in the restored copy, what the instance knew of
 * the member before, and what it must do with the entry.
 */
static const struct {
	hm_id endpoint;
	uint64_t started;
	bool leaving;
	bool known;    /* member is in the old list: started at 5, leaving */
	bool departed; /* member has departed; it started at 5 */
	bool used;     /* entry is used at once */
	bool leaves;   /* member is leaving in the new list */
} copies[] = {
	{ 1, 5, false, true, false, true, true },
	{ 1, 5, true, true, false, true, true },
	{ 1, 4, false, true, false, false, false }, /* before a restart */
	{ 1, 6, false, true, false, true, false },  /* after a restart */
	{ DEPARTED, 5, false, false, true, false, false },
	{ DEPARTED, 4, false, false, true, false, false },
	{ DEPARTED, 6, false, false, true, true, false },
	{ 7, 5, false, false, false, true, false },
};

START_TEST(copied_entry_is_compared_with_known_members)
{
	struct site_member known = entry(1, 5, true),
			   departed = entry(DEPARTED, 5, 0);
	struct site_members in_force = { .list = &known, .count = 1 };
	struct site_members *list = calloc(1, sizeof(*list));
	struct store_restore r = { 0 };

	list->list = calloc(1, sizeof(*list->list));
	list->count = 1;
	list->list[0] = entry(copies[_i].endpoint, copies[_i].started,
			      copies[_i].leaving);
	store_restore_departed(&r, &departed);
	store_restore_begin(&r, HM_SEC);
	store_restore_filter(&r, &in_force, list, 2 * HM_SEC);
	ck_assert_uint_eq(list->count, copies[_i].used);
	if (copies[_i].used)
		ck_assert_int_eq(list->list[0].leaving, copies[_i].leaves);
	/* An entry that is in the store 6 s after the restore is used. */
	ck_assert(!store_restore_settle(&r, list, 6 * HM_SEC));
	ck_assert_int_eq(store_restore_settle(&r, list, 7 * HM_SEC),
			 !copies[_i].used);
	ck_assert_uint_eq(list->count, 1);
	ck_assert(!store_restore_settle(&r, list, 8 * HM_SEC));
	store_restore_free(&r);
	site_members_free(list);
}
END_TEST

/* Without a restore of the store, an entry that reappears is used. */
START_TEST(entry_of_the_same_era_is_used)
{
	struct site_member departed = entry(DEPARTED, 5, false);
	struct site_member back = departed;
	struct site_members list = { .list = &back, .count = 1 };
	struct store_restore r = { 0 };

	store_restore_departed(&r, &departed);
	store_restore_filter(&r, NULL, &list, 2 * HM_SEC);
	ck_assert_uint_eq(list.count, 1);
	store_restore_free(&r);
}
END_TEST

/* Applies a list with the first @a count of m1, the primary, and m2. */
static void list_members(struct proxy_fixture *r, uint64_t era,
			 uint64_t revision, uint32_t count)
{
	struct site_members *m = calloc(1, sizeof(*m));
	struct proxy_event e = { .kind = PROXY_MEMBERS, .members = m };
	uint32_t i;

	m->at = (struct store_version){ era, revision };
	m->list = calloc(2, sizeof(*m->list));
	m->count = count;
	for (i = 0; i < count; i++) {
		m->list[i] = r->proxy->members->list[0];
		m->list[i].endpoint = i + 1;
		m->list[i].registered_primary = i == 0;
		m->list[i].missing_since = 0;
		g_snprintf(m->list[i].name, NAME_BYTES, "m%u", i + 1);
	}
	proxy_fixture_step(r, &e);
}

static const struct site_member *member(const struct proxy_fixture *r,
					hm_id endpoint)
{
	return site_members_find(r->proxy->members, endpoint);
}

/* The revisions of the store are lower after a restore. */
START_TEST(later_era_is_newer_at_any_revision)
{
	uint64_t restores;
	struct proxy_fixture r;

	proxy_fixture_open(&r);
	list_members(&r, 3, 900, 2);
	restores = r.proxy->counters.store_restores;
	list_members(&r, 4, 20, 2);
	ck_assert_uint_eq(r.proxy->members->at.era, 4);
	ck_assert_uint_eq(r.proxy->members->at.revision, 20);
	/* A late answer of the earlier era is ignored. */
	list_members(&r, 3, 950, 1);
	ck_assert_uint_eq(r.proxy->members->at.era, 4);
	ck_assert_uint_eq(r.proxy->counters.store_restores, restores + 1);
	proxy_fixture_close(&r);
}
END_TEST

/* Before its first restore a store may report era 0 or none. */
START_TEST(restore_of_a_store_without_an_era_is_detected)
{
	struct proxy_fixture r;

	proxy_fixture_open(&r);
	list_members(&r, 0, 900, 2);
	proxy_fixture_run(&r, 4 * HM_SEC);
	list_members(&r, 1, 20, 2);
	ck_assert_uint_eq(r.proxy->members->at.era, 1);
	ck_assert_uint_eq(r.proxy->counters.store_restores, 1);
	ck_assert_int_gt(r.proxy->settled_at, r.now);
	proxy_fixture_close(&r);
}
END_TEST

/* The copy lists a departed member, which does not write its entry again. */
START_TEST(departed_member_gets_no_statements)
{
	struct proxy_fixture r;

	proxy_fixture_open(&r);
	list_members(&r, 3, 900, 2);
	list_members(&r, 3, 901, 1);
	proxy_fixture_run(&r, 6 * HM_SEC);
	ck_assert_ptr_null(member(&r, 2));
	list_members(&r, 4, 20, 2);
	ck_assert_ptr_null(member(&r, 2));
	proxy_fixture_run(&r, 2 * HM_SEC);
	list_members(&r, 4, 21, 1); /* its entry is removed again */
	proxy_fixture_run(&r, 10 * HM_SEC);
	ck_assert_ptr_null(member(&r, 2));
	proxy_fixture_close(&r);
}
END_TEST

/* Two restores, the second from a copy made before the member departed. */
START_TEST(departed_member_is_remembered_over_two_restores)
{
	struct proxy_fixture r;

	proxy_fixture_open(&r);
	list_members(&r, 3, 900, 2);
	list_members(&r, 3, 901, 1);
	proxy_fixture_run(&r, 6 * HM_SEC);
	list_members(&r, 4, 880, 1);
	proxy_fixture_run(&r, 8 * HM_SEC);
	list_members(&r, 5, 20, 2);
	ck_assert_ptr_null(member(&r, 2));
	/* Its entry stays in the store, so the member is used again. */
	proxy_fixture_run(&r, 6 * HM_SEC + 2 * PROXY_TICK);
	ck_assert_ptr_nonnull(member(&r, 2));
	proxy_fixture_close(&r);
}
END_TEST

/* A member that the copy lacks has 2 s after the restore to register. */
START_TEST(member_that_the_copy_lacks_stays)
{
	struct proxy_fixture r;

	proxy_fixture_open(&r);
	list_members(&r, 3, 900, 2);
	proxy_fixture_run(&r, 4 * HM_SEC);
	list_members(&r, 3, 901, 1); /* its entry expired ... */
	proxy_fixture_run(&r, 4 * HM_SEC);
	list_members(&r, 4, 20, 1); /* ... before the store was restored */
	proxy_fixture_run(&r, 2 * HM_SEC);
	ck_assert_ptr_nonnull(member(&r, 2));
	ck_assert_int_gt(r.proxy->settled_at, r.now);
	list_members(&r, 4, 21, 2);
	ck_assert_int_eq(member(&r, 2)->missing_since, 0);
	proxy_fixture_run(&r, 10 * HM_SEC);
	ck_assert_ptr_nonnull(member(&r, 2));
	proxy_fixture_close(&r);
}
END_TEST

static void heartbeat(struct proxy_fixture *r, uint64_t era, uint64_t revision,
		      uint64_t config)
{
	struct message m = { .kind = MSG_HEARTBEAT, .from = 11 };

	m.heartbeat.instance = 1011;
	m.heartbeat.store_era = era;
	m.heartbeat.members = (struct store_version){ era, revision };
	m.heartbeat.config_version = config;
	proxy_fixture_message(r, &m);
}

/* An instance cut off from the restored store learns the era from a peer. */
START_TEST(era_is_learned_from_a_peer)
{
	struct proxy_fixture r;

	proxy_fixture_open(&r);
	list_members(&r, 3, 900, 2);
	heartbeat(&r, 4, 20, 1);
	ck_assert_uint_eq(proxy_store_era(r.proxy), 4);
	proxy_fixture_run(&r, 300 * HM_MS);
	heartbeat(&r, 4, 20, 1);
	ck_assert_uint_eq(r.sent[MSG_DOCUMENT_REQUEST], 1);
	list_members(&r, 3, 901, 1); /* sent before the restore */
	ck_assert_uint_eq(r.proxy->members->at.revision, 900);
	proxy_fixture_close(&r);
}
END_TEST

/* The configuration in the copy is older than the one in force. */
START_TEST(configuration_is_not_reverted)
{
	struct proxy_fixture r;

	proxy_fixture_open(&r);
	proxy_fixture_configure(&r, false, true, 100); /* the key is revoked */
	r.version -= 2;
	list_members(&r, 4, 20, 2);
	proxy_fixture_configure(&r, true, true, 100);
	ck_assert_uint_eq(r.proxy->config->version, 2);
	g_string_truncate(r.text, 0);
	proxy_fixture_open_session(&r, 1, "rota", "secret");
	ck_assert_ptr_nonnull(strstr(r.text->str, "answer 1 unauth"));
	proxy_fixture_close(&r);
}
END_TEST

/* An instance starts during the restore, reads the copy and hears one peer. */
START_TEST(new_instance_waits_for_newer_documents_of_a_peer)
{
	struct proxy_fixture r;

	proxy_fixture_start(&r);
	proxy_fixture_configure(&r, true, true, 100);
	proxy_fixture_set_members(&r, 1);
	proxy_fixture_run(&r, 200 * HM_MS);
	heartbeat(&r, 4, 20, 7);
	ck_assert_uint_eq(r.sent[MSG_DOCUMENT_REQUEST], 2); /* both, at once */
	proxy_fixture_run(&r, 500 * HM_MS);
	ck_assert_ptr_null(strstr(r.text->str, "ready 1"));
	r.version = 6;
	proxy_fixture_configure(&r, true, true, 100);
	proxy_fixture_run(&r, 100 * HM_MS);
	ck_assert_ptr_nonnull(strstr(r.text->str, "ready 1"));
	proxy_fixture_close(&r);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("store_restore");

	tcase_add_loop_test(tc, copied_entry_is_compared_with_known_members, 0,
			    G_N_ELEMENTS(copies));
	tcase_add_test(tc, entry_of_the_same_era_is_used);
	tcase_add_test(tc, later_era_is_newer_at_any_revision);
	tcase_add_test(tc, restore_of_a_store_without_an_era_is_detected);
	tcase_add_test(tc, departed_member_gets_no_statements);
	tcase_add_test(tc, departed_member_is_remembered_over_two_restores);
	tcase_add_test(tc, member_that_the_copy_lacks_stays);
	tcase_add_test(tc, era_is_learned_from_a_peer);
	tcase_add_test(tc, configuration_is_not_reverted);
	tcase_add_test(tc, new_instance_waits_for_newer_documents_of_a_peer);
	return suite_run("store_restore", tc);
}
