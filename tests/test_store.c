/** @file test_store.c Stand-in platform and the client of its object API. */
#include <check.h>
#include <glib.h>
#include <stdlib.h>

#include "../core/rng.h"
#include "../src/loop.h"
#include "../src/object_api.h"
#include "../standin/store.h"
#include "suite.h"

#define ANY_PORT "127.0.0.1:0"
#define CALL_TIMEOUT (2 * HM_SEC)
#define SHORT_TIMEOUT (150 * HM_MS)

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

static hm_time call_deadline(void)
{
	return loop_now() + CALL_TIMEOUT;
}

/* Sets object "a" to {"n": n} if its version is @a if_version. */
static enum api_outcome put(uint64_t if_version, int n, uint64_t *version)
{
	json_t *value = json_pack("{s:i}", "n", n);
	enum api_outcome o = object_api_change(api, "contract", "a", if_version,
					       value, call_deadline(), version);

	json_decref(value);
	return o;
}

static enum api_outcome put_with_retry(uint64_t if_version, int n,
				       hm_time timeout, hm_time until,
				       uint64_t *version)
{
	json_t *value = json_pack("{s:i}", "n", n);
	enum api_outcome o =
		object_api_change_retry(api, "contract", "a", if_version, value,
					timeout, until, version);

	json_decref(value);
	return o;
}

/* Number in object "a", -1 when the object does not exist. */
static int stored_value(uint64_t *version)
{
	struct object object;
	int n;

	if (object_api_get(api, "contract", "a", call_deadline(), &object) !=
	    API_OK)
		return -1;
	n = (int)json_integer_value(json_object_get(object.value, "n"));
	*version = object.version;
	object_clear(&object);
	return n;
}

static void set_faults(const struct store_faults *faults)
{
	store_set_faults(store, faults);
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
	ck_assert_int_eq(stored_value(&at), 2);
	ck_assert_uint_eq(at, second);
	ck_assert_int_eq(object_api_change(api, "contract", "a", first, NULL,
					   call_deadline(), &at),
			 API_CONFLICT);
	ck_assert_int_eq(object_api_change(api, "contract", "a", second, NULL,
					   call_deadline(), &at),
			 API_OK);
	ck_assert_int_eq(stored_value(&at), -1);
}
END_TEST

START_TEST(watch_reports_changes_and_deletes)
{
	struct object_list list;
	hm_time begin;
	uint64_t at;

	ck_assert_int_eq(put(0, 1, &at), API_OK);
	ck_assert_int_eq(object_api_watch(api, "contract", 0, HM_SEC,
					  call_deadline(), &list),
			 API_OK);
	ck_assert_uint_eq(list.count, 1);
	object_list_clear(&list);
	begin = loop_now();
	ck_assert_int_eq(object_api_watch(api, "contract", at, 60 * HM_MS,
					  call_deadline(), &list),
			 API_OK);
	ck_assert_uint_eq(list.count, 0);
	ck_assert_int_ge(loop_now() - begin, 60 * HM_MS);
	object_list_clear(&list);
	ck_assert_int_eq(object_api_change(api, "contract", "a", at, NULL,
					   call_deadline(), &at),
			 API_OK);
	ck_assert_int_eq(object_api_watch(api, "contract", at - 1, HM_SEC,
					  call_deadline(), &list),
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

START_TEST(unavailable_store_changes_nothing)
{
	struct store_faults none = { 0 };
	uint64_t at;

	set_faults(&(struct store_faults){ .down = true });
	ck_assert_int_ne(put(0, 1, &at), API_OK);
	ck_assert_int_eq(put_with_retry(0, 1, CALL_TIMEOUT,
					loop_now() + SHORT_TIMEOUT, &at),
			 API_OUTCOME_UNKNOWN);
	set_faults(&none);
	ck_assert_int_eq(stored_value(&at), -1);
}
END_TEST

START_TEST(stale_read_shows_previous_state)
{
	struct object_list list;
	uint64_t at, first;

	ck_assert_int_eq(put(0, 1, &first), API_OK);
	ck_assert_int_eq(put(first, 2, &at), API_OK);
	set_faults(&(struct store_faults){ .stale_reads = true });
	ck_assert_int_eq(stored_value(&at), 1);
	ck_assert_uint_eq(at, first);
	ck_assert_int_eq(
		object_api_list(api, "contract", call_deadline(), &list),
		API_OK);
	ck_assert_uint_eq(list.version, first);
	object_list_clear(&list);
}
END_TEST

START_TEST(calls_over_limit_are_refused)
{
	struct store_counters figures;
	uint64_t at;
	int i, refused = 0;

	set_faults(&(struct store_faults){ .calls_limit = 5 });
	for (i = 0; i < 20; i++)
		refused += put(0, i, &at) == API_UNAVAILABLE;
	store_get_counters(store, &figures);
	ck_assert_int_ge(refused, 1);
	ck_assert_uint_eq(figures.refused, (uint64_t)refused);
	ck_assert_uint_eq(figures.writes, (uint64_t)(20 - refused));
}
END_TEST

START_TEST(change_is_recognized_after_lost_answer)
{
	uint64_t first, at, now;

	ck_assert_int_eq(put(0, 1, &first), API_OK);
	set_faults(&(struct store_faults){ .lose_answer = true });
	ck_assert_int_eq(put(first, 2, &at), API_OUTCOME_UNKNOWN);
	ck_assert_int_eq(stored_value(&now), 2);
	ck_assert_int_eq(
		put_with_retry(now, 3, CALL_TIMEOUT, call_deadline(), &at),
		API_OK);
	ck_assert_int_eq(stored_value(&now), 3);
	ck_assert_uint_eq(at, now);
}
END_TEST

START_TEST(create_is_recognized_after_lost_answer)
{
	uint64_t at, now;

	set_faults(&(struct store_faults){ .lose_answer = true });
	ck_assert_int_eq(
		put_with_retry(0, 1, CALL_TIMEOUT, call_deadline(), &at),
		API_OK);
	ck_assert_int_eq(stored_value(&now), 1);
	ck_assert_uint_eq(at, now);
}
END_TEST

START_TEST(delete_is_recognized_after_lost_answer)
{
	uint64_t first, at;

	ck_assert_int_eq(put(0, 1, &first), API_OK);
	set_faults(&(struct store_faults){ .lose_answer = true });
	ck_assert_int_eq(object_api_change_retry(api, "contract", "a", first,
						 NULL, CALL_TIMEOUT,
						 call_deadline(), &at),
			 API_OK);
	ck_assert_int_eq(stored_value(&at), -1);
}
END_TEST

/*
 * The answer to a change is delayed until the call times out. Meanwhile another
 * client changes the object. The retry must not overwrite that change.
 */
static void *change_meanwhile(void *arg)
{
	struct store_faults none = { 0 };

	(void)arg;
	g_usleep(50000);
	store_put(store, "contract", "a", "{\"n\": 99}");
	set_faults(&none);
	return NULL;
}

START_TEST(retry_does_not_overwrite_other_change)
{
	uint64_t first, at;
	GThread *thread;

	ck_assert_int_eq(put(0, 1, &first), API_OK);
	set_faults(&(struct store_faults){ .slow = 10 * HM_SEC });
	thread = g_thread_new("third", change_meanwhile, NULL);
	ck_assert_int_eq(
		put_with_retry(first, 2, SHORT_TIMEOUT, call_deadline(), &at),
		API_CONFLICT);
	g_thread_join(thread);
	ck_assert_int_eq(stored_value(&at), 99);
}
END_TEST

START_TEST(retry_of_create_does_not_undo_delete)
{
	uint64_t at, now;

	set_faults(&(struct store_faults){ .lose_answer = true });
	ck_assert_int_eq(put(0, 1, &at), API_OUTCOME_UNKNOWN);
	ck_assert_int_eq(stored_value(&now), 1);
	ck_assert_int_eq(object_api_change(api, "contract", "a", now, NULL,
					   call_deadline(), &at),
			 API_OUTCOME_UNKNOWN);
	set_faults(&(struct store_faults){ .down = true });
	ck_assert_int_eq(put_with_retry(0, 1, CALL_TIMEOUT,
					loop_now() + SHORT_TIMEOUT, &at),
			 API_OUTCOME_UNKNOWN);
	set_faults(&(struct store_faults){ 0 });
	ck_assert_int_eq(stored_value(&at), -1);
}
END_TEST

START_TEST(stale_read_does_not_hide_own_change)
{
	uint64_t first, at, now;

	ck_assert_int_eq(put(0, 1, &first), API_OK);
	set_faults(&(struct store_faults){ .lose_answer = true,
					   .stale_reads = true });
	/* The answer to the retry is lost too, so the outcome stays unknown. */
	ck_assert_int_eq(put_with_retry(first, 2, CALL_TIMEOUT,
					loop_now() + SHORT_TIMEOUT, &at),
			 API_OUTCOME_UNKNOWN);
	set_faults(&(struct store_faults){ .stale_reads = true });
	ck_assert_int_eq(put(first, 2, &at), API_CONFLICT);
	set_faults(&(struct store_faults){ 0 });
	ck_assert_int_eq(stored_value(&now), 2);
}
END_TEST

START_TEST(silent_watch_ends_at_deadline)
{
	struct object_list list;
	hm_time begin = loop_now();

	set_faults(&(struct store_faults){ .silent_watch = true });
	ck_assert_int_eq(object_api_watch(api, "contract", 0, 0,
					  begin + SHORT_TIMEOUT, &list),
			 API_UNAVAILABLE);
	ck_assert_int_ge(loop_now() - begin, SHORT_TIMEOUT);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("store");

	tcase_add_checked_fixture(tc, set_up, tear_down);
	tcase_add_test(tc, conditional_updates);
	tcase_add_test(tc, watch_reports_changes_and_deletes);
	tcase_add_test(tc, change_ends_waiting_watch);
	tcase_add_test(tc, unavailable_store_changes_nothing);
	tcase_add_test(tc, stale_read_shows_previous_state);
	tcase_add_test(tc, calls_over_limit_are_refused);
	tcase_add_test(tc, change_is_recognized_after_lost_answer);
	tcase_add_test(tc, create_is_recognized_after_lost_answer);
	tcase_add_test(tc, delete_is_recognized_after_lost_answer);
	tcase_add_test(tc, retry_does_not_overwrite_other_change);
	tcase_add_test(tc, retry_of_create_does_not_undo_delete);
	tcase_add_test(tc, stale_read_does_not_hide_own_change);
	tcase_add_test(tc, silent_watch_ends_at_deadline);
	tcase_set_timeout(tc, 60);
	return suite_run("store", tc);
}
