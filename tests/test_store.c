/** @file test_store.c Stand-in platform and calls of its object API. */
#include <check.h>
#include <glib.h>
#include <stdlib.h>

#include "../core/rng.h"
#include "../src/loop.h"
#include "../src/object_api.h"
#include "../standin/store.h"
#include "suite.h"

#define ANY_PORT "127.0.0.1:0"
#define CALL_LIMIT (2 * HM_SEC)
#define SHORT_LIMIT (150 * HM_MS)

static struct store *store;
static struct object_api *api;

static void set_up(void)
{
	store = store_new(ANY_PORT);
	ck_assert_ptr_nonnull(store);
	store_start(store);
	api = object_api_new(store_address(store));
}

static void tear_down(void)
{
	object_api_free(api);
	store_free(store);
}

static hm_time soon(void)
{
	return loop_now() + CALL_LIMIT;
}

/* A conditional update of object "a" to {"n": n}. */
static enum api_outcome put(uint64_t if_version, int n, uint64_t *version)
{
	json_t *value = json_pack("{s:i}", "n", n);
	enum api_outcome o = object_api_change(api, "contract", "a", if_version,
					       value, soon(), version);

	json_decref(value);
	return o;
}

static enum api_outcome settle(uint64_t if_version, int n, hm_time limit,
			       hm_time until, uint64_t *version)
{
	json_t *value = json_pack("{s:i}", "n", n);
	enum api_outcome o = object_api_change_retry(
		api, "contract", "a", if_version, value, limit, until, version);

	json_decref(value);
	return o;
}

/* Number held by object "a", -1 when it is missing. */
static int held(uint64_t *version)
{
	struct object object;
	int n;

	if (object_api_get(api, "contract", "a", soon(), &object) != API_OK)
		return -1;
	n = (int)json_integer_value(json_object_get(object.value, "n"));
	*version = object.version;
	object_clear(&object);
	return n;
}

static void fault(const struct store_faults *faults)
{
	store_fault(store, faults);
}

START_TEST(conditional_updates)
{
	uint64_t first, second, at;

	ck_assert_int_eq(put(0, 1, &first), API_OK);
	ck_assert_int_eq(put(0, 2, &second), API_CONFLICT);
	ck_assert_uint_eq(second, first);
	ck_assert_int_eq(put(first, 2, &second), API_OK);
	ck_assert_uint_gt(second, first);
	ck_assert_int_eq(put(first, 3, &at), API_CONFLICT);
	ck_assert_int_eq(held(&at), 2);
	ck_assert_uint_eq(at, second);
	ck_assert_int_eq(object_api_change(api, "contract", "a", first, NULL,
					   soon(), &at),
			 API_CONFLICT);
	ck_assert_int_eq(object_api_change(api, "contract", "a", second, NULL,
					   soon(), &at),
			 API_OK);
	ck_assert_int_eq(held(&at), -1);
}
END_TEST

START_TEST(watch_tells_changes_and_deletes)
{
	struct object_list list;
	hm_time begin;
	uint64_t at;

	ck_assert_int_eq(put(0, 1, &at), API_OK);
	ck_assert_int_eq(
		object_api_watch(api, "contract", 0, HM_SEC, soon(), &list),
		API_OK);
	ck_assert_uint_eq(list.count, 1);
	object_list_clear(&list);
	begin = loop_now();
	ck_assert_int_eq(object_api_watch(api, "contract", at, 60 * HM_MS,
					  soon(), &list),
			 API_OK);
	ck_assert_uint_eq(list.count, 0);
	ck_assert_int_ge(loop_now() - begin, 60 * HM_MS);
	object_list_clear(&list);
	ck_assert_int_eq(
		object_api_change(api, "contract", "a", at, NULL, soon(), &at),
		API_OK);
	ck_assert_int_eq(object_api_watch(api, "contract", at - 1, HM_SEC,
					  soon(), &list),
			 API_OK);
	ck_assert_uint_eq(list.count, 1);
	ck_assert(list.items[0].deleted);
	ck_assert_uint_eq(list.items[0].version, at);
	object_list_clear(&list);
}
END_TEST

static void *put_later(void *arg)
{
	(void)arg;
	g_usleep(50000);
	store_put(store, "contract", "b", "{}");
	return NULL;
}

START_TEST(change_ends_waiting_watch)
{
	GThread *thread = g_thread_new("put", put_later, NULL);
	struct object_list list;

	ck_assert_int_eq(object_api_watch(api, "contract", 0, 10 * HM_SEC,
					  loop_now() + 10 * HM_SEC, &list),
			 API_OK);
	ck_assert_uint_eq(list.count, 1);
	ck_assert_str_eq(list.items[0].name, "b");
	object_list_clear(&list);
	g_thread_join(thread);
}
END_TEST

START_TEST(down_changes_nothing)
{
	struct store_faults none = { 0 };
	uint64_t at;

	fault(&(struct store_faults){ .down = true });
	ck_assert_int_ne(put(0, 1, &at), API_OK);
	ck_assert_int_eq(
		settle(0, 1, CALL_LIMIT, loop_now() + SHORT_LIMIT, &at),
		API_OUTCOME_UNKNOWN);
	fault(&none);
	ck_assert_int_eq(held(&at), -1);
}
END_TEST

START_TEST(stale_read_shows_state_before)
{
	struct object_list list;
	uint64_t at, first;

	ck_assert_int_eq(put(0, 1, &first), API_OK);
	ck_assert_int_eq(put(first, 2, &at), API_OK);
	fault(&(struct store_faults){ .stale_reads = true });
	ck_assert_int_eq(held(&at), 1);
	ck_assert_uint_eq(at, first);
	ck_assert_int_eq(object_api_list(api, "contract", soon(), &list),
			 API_OK);
	ck_assert_uint_eq(list.version, first);
	object_list_clear(&list);
}
END_TEST

START_TEST(rate_cap_refuses)
{
	struct store_figures figures;
	uint64_t at;
	int i, refused = 0;

	fault(&(struct store_faults){ .calls_limit = 5 });
	for (i = 0; i < 20; i++)
		refused += put(0, i, &at) == API_UNAVAILABLE;
	store_figures(store, &figures);
	ck_assert_int_ge(refused, 1);
	ck_assert_uint_eq(figures.refused, (uint64_t)refused);
	ck_assert_uint_eq(figures.writes, (uint64_t)(20 - refused));
}
END_TEST

START_TEST(lost_answer_is_found_to_be_ours)
{
	uint64_t first, at, now;

	ck_assert_int_eq(put(0, 1, &first), API_OK);
	fault(&(struct store_faults){ .lose_answer = true });
	ck_assert_int_eq(put(first, 2, &at), API_OUTCOME_UNKNOWN);
	ck_assert_int_eq(held(&now), 2);
	ck_assert_int_eq(settle(now, 3, CALL_LIMIT, soon(), &at), API_OK);
	ck_assert_int_eq(held(&now), 3);
	ck_assert_uint_eq(at, now);
}
END_TEST

START_TEST(lost_create_is_found_to_be_ours)
{
	uint64_t at, now;

	fault(&(struct store_faults){ .lose_answer = true });
	ck_assert_int_eq(settle(0, 1, CALL_LIMIT, soon(), &at), API_OK);
	ck_assert_int_eq(held(&now), 1);
	ck_assert_uint_eq(at, now);
}
END_TEST

START_TEST(lost_delete_is_found_to_be_done)
{
	uint64_t first, at;

	ck_assert_int_eq(put(0, 1, &first), API_OK);
	fault(&(struct store_faults){ .lose_answer = true });
	ck_assert_int_eq(object_api_change_retry(api, "contract", "a", first,
						 NULL, CALL_LIMIT, soon(), &at),
			 API_OK);
	ck_assert_int_eq(held(&at), -1);
}
END_TEST

/*
 * The answer to a change is late; meanwhile somebody else changes the
 * object. The repeat must not win over that change.
 */
static void *change_meanwhile(void *arg)
{
	struct store_faults none = { 0 };

	(void)arg;
	g_usleep(50000);
	store_put(store, "contract", "a", "{\"n\": 99}");
	fault(&none);
	return NULL;
}

START_TEST(repeat_does_not_win_over_third_change)
{
	uint64_t first, at;
	GThread *thread;

	ck_assert_int_eq(put(0, 1, &first), API_OK);
	fault(&(struct store_faults){ .slow = 10 * HM_SEC });
	thread = g_thread_new("third", change_meanwhile, NULL);
	ck_assert_int_eq(settle(first, 2, SHORT_LIMIT, soon(), &at),
			 API_CONFLICT);
	g_thread_join(thread);
	ck_assert_int_eq(held(&at), 99);
}
END_TEST

START_TEST(repeat_of_create_does_not_undo_delete)
{
	uint64_t at, now;

	fault(&(struct store_faults){ .lose_answer = true });
	ck_assert_int_eq(put(0, 1, &at), API_OUTCOME_UNKNOWN);
	ck_assert_int_eq(held(&now), 1);
	ck_assert_int_eq(
		object_api_change(api, "contract", "a", now, NULL, soon(), &at),
		API_OUTCOME_UNKNOWN);
	fault(&(struct store_faults){ .down = true });
	ck_assert_int_eq(
		settle(0, 1, CALL_LIMIT, loop_now() + SHORT_LIMIT, &at),
		API_OUTCOME_UNKNOWN);
	fault(&(struct store_faults){ 0 });
	ck_assert_int_eq(held(&at), -1);
}
END_TEST

START_TEST(stale_read_does_not_hide_own_change)
{
	uint64_t first, at, now;

	ck_assert_int_eq(put(0, 1, &first), API_OK);
	fault(&(struct store_faults){ .lose_answer = true,
				      .stale_reads = true });
	/* The lost repeat is cut off too, so nobody can tell. */
	ck_assert_int_eq(
		settle(first, 2, CALL_LIMIT, loop_now() + SHORT_LIMIT, &at),
		API_OUTCOME_UNKNOWN);
	fault(&(struct store_faults){ .stale_reads = true });
	ck_assert_int_eq(put(first, 2, &at), API_CONFLICT);
	fault(&(struct store_faults){ 0 });
	ck_assert_int_eq(held(&now), 2);
}
END_TEST

START_TEST(silent_watch_ends_at_deadline)
{
	struct object_list list;
	hm_time begin = loop_now();

	fault(&(struct store_faults){ .silent_watch = true });
	ck_assert_int_eq(object_api_watch(api, "contract", 0, 0,
					  begin + SHORT_LIMIT, &list),
			 API_UNAVAILABLE);
	ck_assert_int_ge(loop_now() - begin, SHORT_LIMIT);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("store");

	tcase_add_checked_fixture(tc, set_up, tear_down);
	tcase_add_test(tc, conditional_updates);
	tcase_add_test(tc, watch_tells_changes_and_deletes);
	tcase_add_test(tc, change_ends_waiting_watch);
	tcase_add_test(tc, down_changes_nothing);
	tcase_add_test(tc, stale_read_shows_state_before);
	tcase_add_test(tc, rate_cap_refuses);
	tcase_add_test(tc, lost_answer_is_found_to_be_ours);
	tcase_add_test(tc, lost_create_is_found_to_be_ours);
	tcase_add_test(tc, lost_delete_is_found_to_be_done);
	tcase_add_test(tc, repeat_does_not_win_over_third_change);
	tcase_add_test(tc, repeat_of_create_does_not_undo_delete);
	tcase_add_test(tc, stale_read_does_not_hide_own_change);
	tcase_add_test(tc, silent_watch_ends_at_deadline);
	tcase_set_timeout(tc, 60);
	return suite_run("store", tc);
}
