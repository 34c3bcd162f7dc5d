/**
 * @file test_store_readers.c
 * Which instances watch the store and ask for its revision, and from whom the
 * others have what is new.
 */
#include <check.h>

#include "proxy_rig.h"
#include "suite.h"

static void heartbeat_read(struct rig *r, uint64_t instance, hm_time ago)
{
	struct message m = { .kind = MSG_HEARTBEAT };

	m.from = instance;
	m.heartbeat.instance = 1000 + instance;
	m.heartbeat.store_read_ago = ago;
	rig_message(r, &m);
}

/*
 * abh-rota-grown scale-1, CONFIG at 7.3 s: all watches were deaf, and 68
 * instances that had started together polled together, every 12 s.
 */
START_TEST(instances_take_turns_to_poll_the_store)
{
	struct proxy_event read = { .kind = PROXY_STORE_READ };
	hm_time read_at;
	struct rig r;

	rig_open(&r); /* its life is 77 */
	read_at = read.read_at = r.now;
	rig_step(&r, &read);
	ck_assert_int_eq(proxy_poll_at(r.proxy), read_at + 1500 * HM_MS);
	rig_run(&r, HM_SEC);
	/* An older life goes first; it has read the store since. */
	heartbeat_read(&r, 10, 200 * HM_MS);
	read_at = r.now - 200 * HM_MS;
	ck_assert_int_eq(proxy_poll_at(r.proxy), read_at + 1900 * HM_MS);
	heartbeat_read(&r, 11, 10 * HM_SEC);
	heartbeat_read(&r, 78, 10 * HM_SEC);
	ck_assert_int_eq(proxy_poll_at(r.proxy), read_at + 2300 * HM_MS);
	/* Who hears nobody any more asks for itself. */
	rig_run(&r, 1500 * HM_MS);
	ck_assert_int_eq(proxy_poll_at(r.proxy), read_at + 1500 * HM_MS);
	rig_close(&r);
}
END_TEST

/* A peer of a zone, whose list of members is of @a revision. */
static void heartbeat(struct rig *r, uint64_t life, uint16_t zone, bool store,
		      uint64_t revision)
{
	struct message m = { .kind = MSG_HEARTBEAT, .from = life };

	m.heartbeat.instance = 1000 + life;
	m.heartbeat.zone = zone;
	m.heartbeat.platform_ok = store;
	m.heartbeat.members.revision = revision;
	rig_message(r, &m);
}

/* Two of a zone, by their lives; this one is 77, of zone 0. */
START_TEST(two_of_a_zone_watch)
{
	struct rig r;

	rig_open(&r);
	ck_assert(proxy_watches(r.proxy, r.now));
	heartbeat(&r, 10, 0, true, 1);
	heartbeat(&r, 11, 1, true, 1); /* of another zone */
	heartbeat(&r, 80, 0, true, 1); /* later than this one */
	ck_assert(proxy_watches(r.proxy, r.now));
	heartbeat(&r, 12, 0, true, 1);
	ck_assert(!proxy_watches(r.proxy, r.now));
	/* The store turns one of them away. */
	heartbeat(&r, 12, 0, false, 1);
	ck_assert(proxy_watches(r.proxy, r.now));
	heartbeat(&r, 12, 0, true, 1);
	ck_assert(!proxy_watches(r.proxy, r.now));
	/* Frozen, or dead: for as long as a peer may be silent. */
	rig_run(&r, 1100 * HM_MS);
	ck_assert(proxy_watches(r.proxy, r.now));
	rig_close(&r);
}
END_TEST

/* What a peer has, the own watch may bring, or a peer of the own zone. */
START_TEST(who_does_not_watch_asks_its_own_zone_first)
{
	struct proxy_event store = { .kind = PROXY_STORE, .store_ok = true };
	struct rig r;

	rig_open(&r);
	rig_step(&r, &store);
	heartbeat(&r, 10, 0, true, 1);
	heartbeat(&r, 80, 1, true, 2);
	ck_assert_uint_eq(r.sent[MSG_DOCUMENT_REQUEST], 0); /* it watches */
	heartbeat(&r, 12, 0, true, 1);
	heartbeat(&r, 81, 1, true, 2);
	ck_assert_uint_eq(r.sent[MSG_DOCUMENT_REQUEST], 0);
	heartbeat(&r, 12, 0, true, 2);
	ck_assert_uint_eq(r.sent[MSG_DOCUMENT_REQUEST], 1);
	rig_list_members(&r, 2);
	heartbeat(&r, 81, 1, true, 3);
	ck_assert_uint_eq(r.sent[MSG_DOCUMENT_REQUEST], 0);
	rig_run(&r, 300 * HM_MS);
	heartbeat(&r, 81, 1, true, 3); /* none of the own zone has it */
	ck_assert_uint_eq(r.sent[MSG_DOCUMENT_REQUEST], 1);
	rig_close(&r);
}
END_TEST

/*
 * twinkle-pool-grown trouble-2, 23.5 s: the configuration grew large, and ten
 * watchers sent it to 55 others, again and again, until heartbeats were late.
 */
START_TEST(configuration_is_awaited_from_the_own_watch)
{
	struct proxy_event store = { .kind = PROXY_STORE, .store_ok = true };
	struct message m = { .kind = MSG_HEARTBEAT, .from = 12 };
	struct rig r;

	rig_open(&r);
	rig_step(&r, &store);
	heartbeat(&r, 10, 0, true, 1);
	heartbeat(&r, 12, 0, true, 1);
	ck_assert(!proxy_watches(r.proxy, r.now));
	m.heartbeat.instance = 1012;
	m.heartbeat.platform_ok = true;
	m.heartbeat.config_version = 9;
	rig_message(&r, &m);
	ck_assert_uint_eq(r.sent[MSG_DOCUMENT_REQUEST], 0);
	rig_run(&r, 300 * HM_MS);
	rig_message(&r, &m); /* the watch does not bring it */
	ck_assert_uint_eq(r.sent[MSG_DOCUMENT_REQUEST], 1);
	rig_close(&r);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("store_readers");

	tcase_add_test(tc, instances_take_turns_to_poll_the_store);
	tcase_add_test(tc, two_of_a_zone_watch);
	tcase_add_test(tc, configuration_is_awaited_from_the_own_watch);
	tcase_add_test(tc, who_does_not_watch_asks_its_own_zone_first);
	return suite_run("store_readers", tc);
}
