/** @file test_platform.c The platform client against a simulated platform. */
#include <check.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../core/rng.h"
#include "../src/loop.h"
#include "../src/names.h"
#include "../src/object_api.h"
#include "../src/platform.h"
#include "../src/settings.h"
#include "../standin/store.h"
#include "suite.h"

#define ANY_PORT "127.0.0.1:0"
#define DELIVERY_LIMIT (2 * HM_SEC)
#define CHANGES_PER_FAULT 4
#define WAIT_LIMIT (10 * HM_SEC)
#define POLL_EVERY_US 2000

static const char *const zones[] = { "north", "east" };
static const char good[] = "{\"rate_per_s\":5,\"burst\":6,\"weight\":1,"
			   "\"transactions\":2,\"databases\":{},\"keys\":[]}";
static const char bad[] = "{\"rate_per_s\":0}";
static const char group[] =
	"{\"endpoints\":[{\"name\":\"d-1\",\"address\":\"127.0.0.1:1\","
	"\"zone\":\"east\",\"slots\":2,\"connections\":16}]}";

/** The recorded fields of an event that the platform client delivered. */
struct delivery {
	enum event_kind kind;
	char name[NAME_BYTES];
	uint64_t version;
	bool withdrawn; /**< of a group: its first endpoint is leaving */
	bool ok;
	uint32_t count;
	hm_time at;
};

static struct store *store;
static struct loop *loop;
static GThread *thread;
static struct platform *_Atomic platform;
static struct platform_options options;
static GMutex lock;
static GArray *deliveries;
static char peer_address[ADDRESS_BYTES];

static void record(void *owner, const struct event *e)
{
	struct delivery d = { .kind = e->kind, .at = loop_now() };

	(void)owner;
	if (e->kind == EV_CONTRACT) {
		g_strlcpy(d.name, e->contract->name, sizeof(d.name));
		d.version = e->contract->version;
		d.withdrawn = e->contract->withdrawn;
	} else if (e->kind == EV_DATABASE) {
		g_strlcpy(d.name, e->database->name, sizeof(d.name));
		d.version = e->database->version;
		d.withdrawn = e->database->endpoints[0].leaving;
	} else if (e->kind == EV_PLATFORM) {
		d.ok = e->platform_ok;
	} else if (e->kind == EV_INSTANCES) {
		d.count = e->instances.count;
	}
	g_mutex_lock(&lock);
	g_array_append_val(deliveries, d);
	g_mutex_unlock(&lock);
}

static void on_instances(void *owner, const struct platform_instance *list,
			 uint32_t count)
{
	(void)owner;
	g_mutex_lock(&lock);
	if (count)
		g_strlcpy(peer_address, list[0].address, sizeof(peer_address));
	g_mutex_unlock(&lock);
}

/* The newest delivery of this kind and name; all zero when there is none. */
static struct delivery newest(enum event_kind kind, const char *name)
{
	struct delivery found = { 0 };
	guint i;

	g_mutex_lock(&lock);
	for (i = 0; i < deliveries->len; i++) {
		struct delivery *d =
			&g_array_index(deliveries, struct delivery, i);

		if (d->kind == kind && (!name || !strcmp(d->name, name)))
			found = *d;
	}
	g_mutex_unlock(&lock);
	return found;
}

/* Number of deliveries of @a kind so far. */
static guint count_of(enum event_kind kind)
{
	guint i, n = 0;

	g_mutex_lock(&lock);
	for (i = 0; i < deliveries->len; i++)
		n += g_array_index(deliveries, struct delivery, i).kind == kind;
	g_mutex_unlock(&lock);
	return n;
}

static void open_platform(void *arg)
{
	struct sink sink = { record, NULL };

	(void)arg;
	platform = platform_new(loop, &options, sink);
}

static void close_platform(void *arg)
{
	(void)arg;
	platform_free(platform);
	platform = NULL;
	loop_stop(loop);
}

static gpointer run_loop(gpointer data)
{
	loop_run(data);
	return NULL;
}

static void start(void)
{
	loop_post(loop, open_platform, NULL);
	thread = g_thread_new("loop", run_loop, loop);
}

static void set_up(void)
{
	options = (struct platform_options){ .zones = zones,
					     .zone_count = 2,
					     .call_limit = 300 * HM_MS,
					     .watch_wait = 300 * HM_MS,
					     .list_every = 100 * HM_MS,
					     .seed = 3,
					     .watch = true,
					     .instances = on_instances };
	deliveries = g_array_new(FALSE, TRUE, sizeof(struct delivery));
	memset(peer_address, 0, sizeof(peer_address));
	store = store_new(ANY_PORT);
	ck_assert_ptr_nonnull(store);
	store_start(store);
	options.address = store_address(store);
	loop = loop_new();
}

static void tear_down(void)
{
	loop_post(loop, close_platform, NULL);
	g_thread_join(thread);
	loop_free(loop);
	store_free(store);
	g_array_unref(deliveries);
}

/* Waits until @a condition holds. */
#define EVENTUALLY(condition)                                             \
	do {                                                              \
		hm_time deadline = loop_now() + WAIT_LIMIT;               \
		while (!(condition)) {                                    \
			ck_assert_msg(loop_now() < deadline, #condition); \
			g_usleep(POLL_EVERY_US);                          \
		}                                                         \
	} while (0)

static void put(const char *name, const char *value)
{
	ck_assert(store_put(store, KIND_CONTRACT, name, value));
}

static void set_faults(struct store_faults faults)
{
	store_set_faults(store, &faults);
}

/* Checks that the delivered versions of each object only increase. */
static void check_versions_increase(void)
{
	guint i, j;

	for (i = 0; i < deliveries->len; i++) {
		struct delivery *d =
			&g_array_index(deliveries, struct delivery, i);

		for (j = 0; j < i; j++) {
			struct delivery *e =
				&g_array_index(deliveries, struct delivery, j);

			if (d->kind == e->kind && d->version &&
			    !strcmp(d->name, e->name))
				ck_assert_uint_gt(d->version, e->version);
		}
	}
}

START_TEST(delivers_lists_and_changes)
{
	put("a", good);
	ck_assert(store_put(store, KIND_DATABASE, "d", group));
	ck_assert(store_instances(
		store, "[{\"name\":\"i\",\"zone\":\"east\",\"address\":"
		       "\"127.0.0.1:9\",\"state\":\"live\"},{\"name\":7}]"));
	start();
	EVENTUALLY(newest(EV_CONTRACT, "a").version == 1);
	EVENTUALLY(newest(EV_DATABASE, "d").version == 2);
	EVENTUALLY(newest(EV_INSTANCES, NULL).count == 1);
	EVENTUALLY(newest(EV_PLATFORM, NULL).ok);
	put("b", good);
	EVENTUALLY(newest(EV_CONTRACT, "b").version == 3);
	ck_assert_uint_eq(newest(EV_CONTRACT, "a").version, 1);
	g_mutex_lock(&lock);
	ck_assert_str_eq(peer_address, "127.0.0.1:9");
	g_mutex_unlock(&lock);
	check_versions_increase();
}
END_TEST

static void delete_object(const char *kind, const char *name)
{
	struct object_api *api = object_api_new(store_address(store));
	hm_time until = loop_now() + WAIT_LIMIT;
	struct object stored;
	uint64_t version;

	ck_assert_int_eq(object_api_get(api, kind, name, until, &stored),
			 API_OK);
	ck_assert_int_eq(object_api_change(api, kind, name, stored.version,
					   NULL, until, &version),
			 API_OK);
	object_clear(&stored);
	object_api_free(api);
}

START_TEST(deleted_contract_is_withdrawn)
{
	put("a", good);
	start();
	EVENTUALLY(newest(EV_CONTRACT, "a").version == 1);
	delete_object(KIND_CONTRACT, "a");
	EVENTUALLY(newest(EV_CONTRACT, "a").withdrawn);
	ck_assert_uint_eq(newest(EV_CONTRACT, "a").version, 2);
	put("a", good);
	EVENTUALLY(newest(EV_CONTRACT, "a").version == 3);
	ck_assert(!newest(EV_CONTRACT, "a").withdrawn);
	check_versions_increase();
}
END_TEST

START_TEST(deleted_group_gets_no_new_work)
{
	ck_assert(store_put(store, KIND_DATABASE, "d", group));
	start();
	EVENTUALLY(newest(EV_DATABASE, "d").version == 1);
	delete_object(KIND_DATABASE, "d");
	EVENTUALLY(newest(EV_DATABASE, "d").withdrawn);
	check_versions_increase();
}
END_TEST

/*
 * A watch that gets no reply for 10 s must not delay changes: the lists, which
 * are read every 100 ms here, contain them.
 */
START_TEST(silent_watch_misses_nothing)
{
	options.watch_wait = 10 * HM_SEC;
	put("a", good);
	put("gone", good);
	start();
	set_faults((struct store_faults){ .silent_watch = true });
	EVENTUALLY(newest(EV_CONTRACT, "gone").version == 2);
	put("a", good);
	delete_object(KIND_CONTRACT, "gone");
	EVENTUALLY(newest(EV_CONTRACT, "a").version == 3);
	EVENTUALLY(newest(EV_CONTRACT, "gone").withdrawn);
	check_versions_increase();
}
END_TEST

/* As lists are read rarely, only a restarted watch can find the change. */
START_TEST(silent_watch_is_replaced)
{
	struct store_counters before, now;

	options.list_every = 60 * HM_SEC;
	set_faults((struct store_faults){ .silent_watch = true });
	start();
	store_get_counters(store, &before);
	EVENTUALLY((store_get_counters(store, &now), now.watches >= 4));
	/* A watch without a reply is not reported as an outage. */
	ck_assert(newest(EV_PLATFORM, NULL).ok);
	put("a", good);
	EVENTUALLY(newest(EV_CONTRACT, "a").version == 1);
}
END_TEST

START_TEST(stale_reads_never_revert)
{
	put("a", good);
	put("a", good);
	start();
	EVENTUALLY(newest(EV_CONTRACT, "a").version == 2);
	set_faults((struct store_faults){ .stale_reads = true });
	EVENTUALLY(count_of(EV_INSTANCES) > 5);
	put("b", good);
	EVENTUALLY(newest(EV_CONTRACT, "b").version == 3);
	check_versions_increase();
}
END_TEST

START_TEST(starts_from_stale_read_and_catches_up)
{
	put("a", good);
	put("a", good);
	set_faults((struct store_faults){ .stale_reads = true });
	start();
	EVENTUALLY(newest(EV_CONTRACT, "a").version == 2);
	check_versions_increase();
}
END_TEST

START_TEST(invalid_contract_is_reported_and_not_delivered)
{
	struct object_api *api = object_api_new(store_address(store));
	struct object status = { 0 };
	const json_t *version;

	put("a", good);
	start();
	EVENTUALLY(newest(EV_CONTRACT, "a").version == 1);
	put("a", bad);
	EVENTUALLY(object_api_get(api, KIND_STATUS, "refused.contract.a",
				  loop_now() + HM_SEC, &status) == API_OK);
	version = json_object_get(status.value, "version");
	ck_assert_int_eq(json_integer_value(version), 2);
	ck_assert_uint_eq(newest(EV_CONTRACT, "a").version, 1);
	put("a", good);
	EVENTUALLY(newest(EV_CONTRACT, "a").version > 2);
	object_clear(&status);
	object_api_free(api);
	check_versions_increase();
}
END_TEST

START_TEST(outage_is_reported_and_ends)
{
	put("a", good);
	start();
	EVENTUALLY(newest(EV_CONTRACT, "a").version == 1);
	set_faults((struct store_faults){ .down = true });
	EVENTUALLY(newest(EV_PLATFORM, NULL).kind == EV_PLATFORM &&
		   !newest(EV_PLATFORM, NULL).ok);
	put("a", good);
	ck_assert_uint_eq(newest(EV_CONTRACT, "a").version, 1);
	set_faults((struct store_faults){ 0 });
	EVENTUALLY(newest(EV_CONTRACT, "a").version == 2);
	EVENTUALLY(newest(EV_PLATFORM, NULL).ok);
}
END_TEST

START_TEST(contracts_are_not_read_again_unwatched)
{
	struct store_counters counters;

	options.watch = false;
	put("a", good);
	start();
	EVENTUALLY(newest(EV_CONTRACT, "a").version == 1);
	put("a", good);
	EVENTUALLY(count_of(EV_INSTANCES) > 4);
	ck_assert_uint_eq(newest(EV_CONTRACT, "a").version, 1);
	platform_watch(platform, true);
	EVENTUALLY(newest(EV_CONTRACT, "a").version == 2);
	store_get_counters(store, &counters);
	ck_assert_uint_le(counters.reads + counters.watches + counters.writes,
			  platform_calls(platform));
}
END_TEST

/* Term in the status object of group "d"; -1 when there is none. */
static json_int_t status_term(struct object_api *api)
{
	hm_time until = loop_now() + HM_SEC;
	struct object status;
	json_int_t term;

	if (object_api_get(api, KIND_STATUS, "d", until, &status) != API_OK)
		return -1;
	term = json_integer_value(json_object_get(status.value, "term"));
	object_clear(&status);
	return term;
}

START_TEST(older_term_does_not_replace_newer)
{
	struct object_api *api = object_api_new(store_address(store));
	guint rounds;

	start();
	EVENTUALLY(newest(EV_PLATFORM, NULL).ok);
	set_faults((struct store_faults){ .lose_answer = true });
	platform_announce(platform, "d", "d-2", 5);
	EVENTUALLY(status_term(api) == 5);
	set_faults((struct store_faults){ 0 });
	platform_announce(platform, "d", "d-1", 4);
	rounds = count_of(EV_INSTANCES);
	EVENTUALLY(count_of(EV_INSTANCES) > rounds + 2);
	ck_assert_int_eq(status_term(api), 5);
	platform_announce(platform, "d", "d-3", 6);
	EVENTUALLY(status_term(api) == 6);
	object_api_free(api);
}
END_TEST

START_TEST(close_aborts_running_calls)
{
	hm_time begin;

	options.watch_wait = 30 * HM_SEC;
	options.call_limit = 30 * HM_SEC;
	set_faults((struct store_faults){ .slow = 20 * HM_SEC });
	start();
	EVENTUALLY(platform && platform_calls(platform) >= 3);
	begin = loop_now();
	loop_post(loop, close_platform, NULL);
	g_thread_join(thread);
	ck_assert_int_lt(loop_now() - begin, WAIT_LIMIT);
	loop_free(loop);
	loop = loop_new();
	set_faults((struct store_faults){ 0 });
	start();
}
END_TEST

/* Changes contract "a" to @a version; returns the time to its delivery. */
static hm_time delivery_delay(uint64_t version)
{
	hm_time begin = loop_now();

	put("a", good);
	EVENTUALLY(newest(EV_CONTRACT, "a").version >= version);
	return newest(EV_CONTRACT, "a").at - begin;
}

/** Faults during which a change must be delivered within DELIVERY_LIMIT. */
static const struct {
	const char *name;
	struct store_faults faults;
} delivery_faults[] = {
	{ "none", { 0 } },
	{ "stale reads", { .stale_reads = true } },
	{ "answers lost", { .lose_answer = true } },
	{ "slow", { .slow = 300 * HM_MS } },
	{ "silent watch", { .silent_watch = true } },
};

/*
 * With default settings. Random pauses before the changes vary their time
 * within the list interval.
 */
START_TEST(changes_are_delivered_in_time)
{
	uint64_t version = 1;
	struct rng rng = { 8 };
	struct settings settings;
	hm_time delay, worst;
	size_t i;
	int k;

	settings_default(&settings);
	options.call_limit = settings.platform_call_limit;
	options.watch_wait = settings.platform_watch_wait;
	options.list_every = settings.platform_list_every;
	put("a", good);
	start();
	EVENTUALLY(newest(EV_CONTRACT, "a").version == version);
	for (i = 0; i < G_N_ELEMENTS(delivery_faults); i++) {
		set_faults(delivery_faults[i].faults);
		for (k = 0, worst = 0; k < CHANGES_PER_FAULT; k++) {
			g_usleep((gulong)rng_below(&rng, 500 * HM_MS));
			delay = delivery_delay(++version);
			worst = MAX(worst, delay);
		}
		ck_assert_msg(worst < DELIVERY_LIMIT,
			      "%s: %" G_GINT64_FORMAT " us",
			      delivery_faults[i].name, worst);
	}
	check_versions_increase();
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("platform");

	tcase_add_checked_fixture(tc, set_up, tear_down);
	tcase_add_test(tc, delivers_lists_and_changes);
	tcase_add_test(tc, deleted_contract_is_withdrawn);
	tcase_add_test(tc, deleted_group_gets_no_new_work);
	tcase_add_test(tc, silent_watch_misses_nothing);
	tcase_add_test(tc, silent_watch_is_replaced);
	tcase_add_test(tc, stale_reads_never_revert);
	tcase_add_test(tc, starts_from_stale_read_and_catches_up);
	tcase_add_test(tc, invalid_contract_is_reported_and_not_delivered);
	tcase_add_test(tc, outage_is_reported_and_ends);
	tcase_add_test(tc, contracts_are_not_read_again_unwatched);
	tcase_add_test(tc, older_term_does_not_replace_newer);
	tcase_add_test(tc, close_aborts_running_calls);
	tcase_add_test(tc, changes_are_delivered_in_time);
	tcase_set_timeout(tc, 120);
	return suite_run("platform", tc);
}
