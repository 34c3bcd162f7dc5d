/**
 * @file test_recall.c
 * What an instance goes by when the store comes back from an older copy:
 * which list is newer, which entries of the copy are not believed, and that
 * no configuration is taken back.
 */
#include <check.h>
#include <string.h>

#include "../core/proxy_state.h"
#include "proxy_rig.h"
#include "suite.h"

#define LEFT 9

static struct site_member entry(hm_id endpoint, uint64_t started, bool leaving)
{
	return (struct site_member){ .endpoint = endpoint,
				     .started = started,
				     .leaving = leaving };
}

/* Entries of the copy against what was known, and what is made of them. */
static const struct {
	hm_id endpoint;
	uint64_t started;
	bool leaving;
	bool known;   /* in the list in force, of life 5, leaving */
	bool left;    /* known as gone, of life 5 */
	bool taken;   /* at once */
	bool goes_on; /* to leave */
} copies[] = {
	{ 1, 5, false, true, false, true, true },
	{ 1, 5, true, true, false, true, true },
	{ 1, 4, false, true, false, false, false }, /* an earlier life */
	{ 1, 6, false, true, false, true, false },  /* a later one */
	{ LEFT, 5, false, false, true, false, false },
	{ LEFT, 4, false, false, true, false, false },
	{ LEFT, 6, false, false, true, true, false },
	{ 7, 5, false, false, false, true, false },
};

START_TEST(copy_is_weighed_against_what_was_known)
{
	struct site_member known = entry(1, 5, true), left = entry(LEFT, 5, 0);
	struct site_members force = { .list = &known, .count = 1 };
	struct site_members *list = calloc(1, sizeof(*list));
	struct recall r = { 0 };

	list->list = calloc(1, sizeof(*list->list));
	list->count = 1;
	list->list[0] = entry(copies[_i].endpoint, copies[_i].started,
			      copies[_i].leaving);
	recall_left(&r, &left);
	recall_begin(&r, HM_SEC);
	recall_filter(&r, &force, list, 2 * HM_SEC);
	ck_assert_uint_eq(list->count, copies[_i].taken);
	if (copies[_i].taken)
		ck_assert_int_eq(list->list[0].leaving, copies[_i].goes_on);
	/* What still stands there when members have written again is true. */
	ck_assert(!recall_settle(&r, list, 6 * HM_SEC));
	ck_assert_int_eq(recall_settle(&r, list, 7 * HM_SEC),
			 !copies[_i].taken);
	ck_assert_uint_eq(list->count, 1);
	ck_assert(!recall_settle(&r, list, 8 * HM_SEC));
	recall_free(&r);
	site_members_free(list);
}
END_TEST

/* Without a return of the store an entry that comes back is believed. */
START_TEST(entry_of_the_same_era_is_believed)
{
	struct site_member left = entry(LEFT, 5, false);
	struct site_member back = left;
	struct site_members list = { .list = &back, .count = 1 };
	struct recall r = { 0 };

	recall_left(&r, &left);
	recall_filter(&r, NULL, &list, 2 * HM_SEC);
	ck_assert_uint_eq(list.count, 1);
	recall_free(&r);
}
END_TEST

/* Members m1, the primary, and m2; @a count of them are in the list. */
static void list_members(struct rig *r, uint64_t era, uint64_t revision,
			 uint32_t count)
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
		m->list[i].says_primary = i == 0;
		m->list[i].missing_since = 0;
		g_snprintf(m->list[i].name, NAME_BYTES, "m%u", i + 1);
	}
	rig_step(r, &e);
}

static const struct site_member *member(const struct rig *r, hm_id endpoint)
{
	return site_members_find(r->proxy->members, endpoint);
}

/* Case 3: revisions went back with the store. */
START_TEST(later_era_is_newer_at_any_revision)
{
	uint64_t returns;
	struct rig r;

	rig_open(&r);
	list_members(&r, 3, 900, 2);
	returns = r.proxy->figures.store_returns;
	list_members(&r, 4, 20, 2);
	ck_assert_uint_eq(r.proxy->members->at.era, 4);
	ck_assert_uint_eq(r.proxy->members->at.revision, 20);
	/* Case 6: whoever an answer of the earlier era comes from. */
	list_members(&r, 3, 950, 1);
	ck_assert_uint_eq(r.proxy->members->at.era, 4);
	ck_assert_uint_eq(r.proxy->figures.store_returns, returns + 1);
	rig_close(&r);
}
END_TEST

/* The first era may be told as 0, or not at all. */
START_TEST(return_of_a_store_that_told_no_era_is_one)
{
	struct rig r;

	rig_open(&r);
	list_members(&r, 0, 900, 2);
	rig_run(&r, 4 * HM_SEC);
	list_members(&r, 1, 20, 2);
	ck_assert_uint_eq(r.proxy->members->at.era, 1);
	ck_assert_uint_eq(r.proxy->figures.store_returns, 1);
	ck_assert_int_gt(r.proxy->settled_at, r.now);
	rig_close(&r);
}
END_TEST

/* Case 5: it had left, stands in the copy, and nobody writes it again. */
START_TEST(member_that_had_left_gets_no_work)
{
	struct rig r;

	rig_open(&r);
	list_members(&r, 3, 900, 2);
	list_members(&r, 3, 901, 1);
	rig_run(&r, 6 * HM_SEC);
	ck_assert_ptr_null(member(&r, 2));
	list_members(&r, 4, 20, 2);
	ck_assert_ptr_null(member(&r, 2));
	rig_run(&r, 2 * HM_SEC);
	list_members(&r, 4, 21, 1); /* its removal is written again */
	rig_run(&r, 10 * HM_SEC);
	ck_assert_ptr_null(member(&r, 2));
	rig_close(&r);
}
END_TEST

/* Twice in a row, the second time from a copy of before it left. */
START_TEST(member_that_had_left_is_remembered_over_two_returns)
{
	struct rig r;

	rig_open(&r);
	list_members(&r, 3, 900, 2);
	list_members(&r, 3, 901, 1);
	rig_run(&r, 6 * HM_SEC);
	list_members(&r, 4, 880, 1);
	rig_run(&r, 8 * HM_SEC);
	list_members(&r, 5, 20, 2);
	ck_assert_ptr_null(member(&r, 2));
	/* It lives all the same, and its entry was true: it is back. */
	rig_run(&r, 6 * HM_SEC + 2 * PROXY_TICK);
	ck_assert_ptr_nonnull(member(&r, 2));
	rig_close(&r);
}
END_TEST

/* Case 5: the copy lacks it; it has two seconds from then on. */
START_TEST(member_that_the_copy_lacks_is_kept)
{
	struct rig r;

	rig_open(&r);
	list_members(&r, 3, 900, 2);
	rig_run(&r, 4 * HM_SEC);
	list_members(&r, 3, 901, 1); /* the store lost sight of it ... */
	rig_run(&r, 4 * HM_SEC);
	list_members(&r, 4, 20, 1); /* ... and then came back */
	rig_run(&r, 2 * HM_SEC);
	ck_assert_ptr_nonnull(member(&r, 2));
	ck_assert_int_gt(r.proxy->settled_at, r.now);
	list_members(&r, 4, 21, 2);
	ck_assert_int_eq(member(&r, 2)->missing_since, 0);
	rig_run(&r, 10 * HM_SEC);
	ck_assert_ptr_nonnull(member(&r, 2));
	rig_close(&r);
}
END_TEST

static void heartbeat(struct rig *r, uint64_t era, uint64_t revision,
		      uint64_t config)
{
	struct message m = { .kind = MSG_HEARTBEAT, .from = 11 };

	m.heartbeat.instance = 1011;
	m.heartbeat.store_era = era;
	m.heartbeat.members = (struct store_version){ era, revision };
	m.heartbeat.config_version = config;
	rig_message(r, &m);
}

/* Case 7: behind a cut it knows the earlier era alone. */
START_TEST(era_is_heard_from_a_peer)
{
	struct rig r;

	rig_open(&r);
	list_members(&r, 3, 900, 2);
	heartbeat(&r, 4, 20, 1);
	ck_assert_uint_eq(proxy_store_era(r.proxy), 4);
	rig_run(&r, 300 * HM_MS);
	heartbeat(&r, 4, 20, 1);
	ck_assert_uint_eq(r.sent[MSG_DOCUMENT_REQUEST], 1);
	list_members(&r, 3, 901, 1); /* on its way since before */
	ck_assert_uint_eq(r.proxy->members->at.revision, 900);
	rig_close(&r);
}
END_TEST

/* Case 4: the copy's configuration is older than the one in force. */
START_TEST(configuration_is_not_taken_back)
{
	struct rig r;

	rig_open(&r);
	rig_configure(&r, false, true, 100); /* the key is withdrawn */
	r.version -= 2;
	list_members(&r, 4, 20, 2);
	rig_configure(&r, true, true, 100);
	ck_assert_uint_eq(r.proxy->config->version, 2);
	g_string_truncate(r.text, 0);
	rig_open_session(&r, 1, "rota", "secret");
	ck_assert_ptr_nonnull(strstr(r.text->str, "answer 1 unauth"));
	rig_close(&r);
}
END_TEST

/* Case 4: it starts in the drill, reads the copy and hears one peer. */
START_TEST(new_instance_waits_for_what_its_peer_has_in_force)
{
	struct rig r;

	rig_start(&r);
	rig_configure(&r, true, true, 100);
	rig_list_members(&r, 1);
	rig_run(&r, 200 * HM_MS);
	heartbeat(&r, 4, 20, 7);
	ck_assert_uint_eq(r.sent[MSG_DOCUMENT_REQUEST], 2); /* both, at once */
	rig_run(&r, 500 * HM_MS);
	ck_assert_ptr_null(strstr(r.text->str, "ready 1"));
	r.version = 6;
	rig_configure(&r, true, true, 100);
	rig_run(&r, 100 * HM_MS);
	ck_assert_ptr_nonnull(strstr(r.text->str, "ready 1"));
	rig_close(&r);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("recall");

	tcase_add_loop_test(tc, copy_is_weighed_against_what_was_known, 0,
			    G_N_ELEMENTS(copies));
	tcase_add_test(tc, entry_of_the_same_era_is_believed);
	tcase_add_test(tc, later_era_is_newer_at_any_revision);
	tcase_add_test(tc, return_of_a_store_that_told_no_era_is_one);
	tcase_add_test(tc, member_that_had_left_gets_no_work);
	tcase_add_test(tc, member_that_had_left_is_remembered_over_two_returns);
	tcase_add_test(tc, member_that_the_copy_lacks_is_kept);
	tcase_add_test(tc, era_is_heard_from_a_peer);
	tcase_add_test(tc, configuration_is_not_taken_back);
	tcase_add_test(tc, new_instance_waits_for_what_its_peer_has_in_force);
	return suite_run("recall", tc);
}
