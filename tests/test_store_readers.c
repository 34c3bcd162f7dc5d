/**
 * @file test_store_readers.c
 * Which instances watch the store and poll its revision, and from which peer
 * the others request newer documents.
 */
#include <check.h>

#include "proxy_fixture.h"
#include "suite.h"

static void heartbeat_read(struct proxy_fixture *r, uint64_t instance,
			   uint64_t number, hm_time ago)
{
	struct message m = { .kind = MSG_HEARTBEAT };

	m.from = instance;
	m.heartbeat.instance = 1000 + instance;
	m.heartbeat.store_read_ago = ago;
	m.heartbeat.store_reads = number;
	proxy_fixture_message(r, &m);
}

/*
 * Guards against a late configuration: all watches missed a change, and 68
 * instances, which had started together, all polled at the same time, every
 * 12 s (abh-rota-grown, scale-1, 7.3 s).
 */
START_TEST(instances_take_turns_to_poll_the_store)
{
	struct proxy_event read = { .kind = PROXY_STORE_READ };
	hm_time read_at;
	struct proxy_fixture r;

	proxy_fixture_open(&r); /* the incarnation of the proxy is 77 */
	read_at = read.read_at = r.now;
	proxy_fixture_step(&r, &read);
	ck_assert_int_eq(proxy_poll_at(r.proxy), read_at + 1500 * HM_MS);
	proxy_fixture_run(&r, HM_SEC);
	/* A lower incarnation polls first, and has done so since. */
	heartbeat_read(&r, 10, 2, 200 * HM_MS);
	read_at = r.now - 200 * HM_MS;
	ck_assert_int_eq(proxy_poll_at(r.proxy), read_at + 1900 * HM_MS);
	heartbeat_read(&r, 11, 1, 10 * HM_SEC);
	heartbeat_read(&r, 78, 1, 10 * HM_SEC);
	ck_assert_int_eq(proxy_poll_at(r.proxy), read_at + 2300 * HM_MS);
	/* An instance that hears no peers any more polls the store itself. */
	proxy_fixture_run(&r, 1500 * HM_MS);
	ck_assert_int_eq(proxy_poll_at(r.proxy), read_at + 1500 * HM_MS);
	proxy_fixture_close(&r);
}
END_TEST

/*
 * Guards against polls that are never due: each heartbeat takes 100 ms to arrive,
 * and two instances tell each other of one read (abh-rota-now-grown,
 * zone-evacuated-loss with seed 1: no poll for 4.6 s, EVAC 117).
 */
START_TEST(delays_of_heartbeats_do_not_add_up)
{
	struct proxy_event read = { .kind = PROXY_STORE_READ };
	struct proxy_fixture r;
	hm_time peer_read_at, first;
	int i;

	proxy_fixture_open(&r);
	first = read.read_at = r.now;
	proxy_fixture_step(&r, &read);
	peer_read_at = r.now;
	for (i = 0; i < 5; i++) {
		/* The peer hears of the read, and this one from the peer. */
		peer_read_at =
			proxy_poll_at(r.proxy) - 1500 * HM_MS + 100 * HM_MS;
		proxy_fixture_run(&r, 200 * HM_MS);
		heartbeat_read(&r, 78, 1, r.now - peer_read_at - 100 * HM_MS);
	}
	ck_assert_int_eq(proxy_poll_at(r.proxy), first + 1500 * HM_MS);
	proxy_fixture_close(&r);
}
END_TEST

/* Passes a heartbeat of a peer whose member list has @a revision. */
static void heartbeat(struct proxy_fixture *r, uint64_t incarnation,
		      uint16_t zone, bool store, uint64_t revision)
{
	struct message m = { .kind = MSG_HEARTBEAT, .from = incarnation };

	m.heartbeat.instance = 1000 + incarnation;
	m.heartbeat.zone = zone;
	m.heartbeat.platform_ok = store;
	m.heartbeat.members.revision = revision;
	proxy_fixture_message(r, &m);
}

/* The two lowest incarnations of a zone watch; this one is 77 in zone 0. */
START_TEST(two_instances_of_a_zone_watch)
{
	struct proxy_fixture r;

	proxy_fixture_open(&r);
	ck_assert(proxy_watches_store(r.proxy, r.now));
	heartbeat(&r, 10, 0, true, 1);
	heartbeat(&r, 11, 1, true, 1); /* peer in another zone */
	heartbeat(&r, 80, 0, true, 1); /* peer with a higher incarnation */
	ck_assert(proxy_watches_store(r.proxy, r.now));
	heartbeat(&r, 12, 0, true, 1);
	ck_assert(!proxy_watches_store(r.proxy, r.now));
	/* One of the two cannot reach the store. */
	heartbeat(&r, 12, 0, false, 1);
	ck_assert(proxy_watches_store(r.proxy, r.now));
	heartbeat(&r, 12, 0, true, 1);
	ck_assert(!proxy_watches_store(r.proxy, r.now));
	/* After 1.1 s without a heartbeat the peers no longer count. */
	proxy_fixture_run(&r, 1100 * HM_MS);
	ck_assert(proxy_watches_store(r.proxy, r.now));
	proxy_fixture_close(&r);
}
END_TEST

/* A newer list may arrive by the watch or from a peer of the same zone. */
START_TEST(own_zone_is_asked_first)
{
	struct proxy_event store = { .kind = PROXY_STORE, .store_ok = true };
	struct proxy_fixture r;

	proxy_fixture_open(&r);
	proxy_fixture_step(&r, &store);
	heartbeat(&r, 10, 0, true, 1);
	heartbeat(&r, 80, 1, true, 2);
	/* No request: the instance's own watch delivers the list. */
	ck_assert_uint_eq(r.sent[MSG_DOCUMENT_REQUEST], 0);
	heartbeat(&r, 12, 0, true, 1);
	heartbeat(&r, 81, 1, true, 2);
	ck_assert_uint_eq(r.sent[MSG_DOCUMENT_REQUEST], 0);
	heartbeat(&r, 12, 0, true, 2);
	ck_assert_uint_eq(r.sent[MSG_DOCUMENT_REQUEST], 1);
	proxy_fixture_set_members(&r, 2);
	heartbeat(&r, 81, 1, true, 3);
	ck_assert_uint_eq(r.sent[MSG_DOCUMENT_REQUEST], 0);
	proxy_fixture_run(&r, 300 * HM_MS);
	heartbeat(&r, 81, 1, true, 3); /* no peer in zone 0 has it */
	ck_assert_uint_eq(r.sent[MSG_DOCUMENT_REQUEST], 1);
	proxy_fixture_close(&r);
}
END_TEST

/* Opens a fixture whose zone has two other instances, which watch. */
static void open_reader(struct proxy_fixture *r)
{
	struct proxy_event store = { .kind = PROXY_STORE, .store_ok = true };

	proxy_fixture_open(r);
	proxy_fixture_step(r, &store);
	heartbeat(r, 10, 0, true, 1);
	heartbeat(r, 12, 0, true, 1);
	ck_assert(!proxy_watches_store(r->proxy, r->now));
}

/* Passes time in which both watchers are heard. */
static void run_beside_watchers(struct proxy_fixture *r, hm_time span)
{
	hm_time until = r->now + span;

	while (r->now < until) {
		proxy_fixture_run(r, 200 * HM_MS);
		heartbeat(r, 10, 0, true, 1);
		heartbeat(r, 12, 0, true, 1);
	}
}

static void heartbeat_config(struct proxy_fixture *r, uint32_t entries)
{
	struct message m = { .kind = MSG_HEARTBEAT, .from = 12 };

	m.heartbeat.instance = 1012;
	m.heartbeat.platform_ok = true;
	m.heartbeat.config_version = 9;
	m.heartbeat.config_entries = entries;
	proxy_fixture_message(r, &m);
}

/*
 * Guards against late heartbeats: the configuration had grown large, and ten
 * watchers sent it to 55 other instances again and again
 * (twinkle-pool-grown, trouble-2, 23.5 s).
 */
START_TEST(large_configuration_is_read_from_the_store)
{
	struct proxy_fixture r;

	open_reader(&r);
	heartbeat_config(&r, 1400);
	ck_assert_uint_eq(r.sent[MSG_DOCUMENT_REQUEST], 0);
	ck_assert(proxy_reads_document(r.proxy, DOCUMENT_CONFIG, r.now));
	ck_assert(!proxy_reads_document(r.proxy, DOCUMENT_CONFIG, r.now));
	run_beside_watchers(&r, 1600 * HM_MS);
	/* The store has not delivered it in the meantime. */
	ck_assert(proxy_reads_document(r.proxy, DOCUMENT_CONFIG, r.now));
	heartbeat_config(&r, 1400);
	ck_assert_uint_eq(r.sent[MSG_DOCUMENT_REQUEST], 1);
	proxy_fixture_close(&r);
}
END_TEST

/*
 * Guards against a late configuration: watches heard nothing, and 6 of 7
 * instances waited for theirs, then for one copy each 1.5 s (akb-utility,
 * config-applied-late with seed 449187755174, 46.2 s, CONFIG).
 */
START_TEST(watcher_reads_a_large_configuration_that_its_watch_missed)
{
	struct proxy_fixture r;

	proxy_fixture_open(&r);
	heartbeat_config(&r, 1400);
	ck_assert(proxy_watches_store(r.proxy, r.now));
	ck_assert(!proxy_reads_document(r.proxy, DOCUMENT_CONFIG, r.now));
	proxy_fixture_run(&r, 600 * HM_MS);
	ck_assert(proxy_reads_document(r.proxy, DOCUMENT_CONFIG, r.now));
	proxy_fixture_close(&r);
}
END_TEST

/* The holder of a document may send no more copies in a window. */
START_TEST(unanswered_request_is_repeated_soon)
{
	uint32_t requests = 0, i;
	struct proxy_fixture r;

	open_reader(&r);
	for (i = 0; i < 10; i++) {
		heartbeat_config(&r, 100);
		requests += r.sent[MSG_DOCUMENT_REQUEST];
		proxy_fixture_run(&r, 100 * HM_MS);
	}
	ck_assert_uint_ge(requests, 3);
	proxy_fixture_close(&r);
}
END_TEST

START_TEST(small_configuration_is_requested_from_a_peer)
{
	struct proxy_fixture r;

	open_reader(&r);
	heartbeat_config(&r, 100);
	ck_assert_uint_eq(r.sent[MSG_DOCUMENT_REQUEST], 1);
	ck_assert(!proxy_reads_document(r.proxy, DOCUMENT_CONFIG, r.now));
	/* No copy has arrived. */
	run_beside_watchers(&r, 2200 * HM_MS);
	ck_assert(proxy_reads_document(r.proxy, DOCUMENT_CONFIG, r.now));
	while (r.version < 9)
		proxy_fixture_configure(&r, true, true, 100);
	run_beside_watchers(&r, 2200 * HM_MS);
	ck_assert(!proxy_reads_document(r.proxy, DOCUMENT_CONFIG, r.now));
	proxy_fixture_close(&r);
}
END_TEST

/*
 * Guards against a late configuration: all watches missed the change, a poll
 * found it after 1.5 s, a heartbeat told of it after 0.3 s, and no copy came.
 */
START_TEST(copy_of_a_polled_change_is_overdue_in_time)
{
	const hm_time in_force = 3 * HM_SEC, told = 1800 * HM_MS;
	struct proxy_fixture r;

	open_reader(&r);
	heartbeat_config(&r, 100);
	run_beside_watchers(&r, in_force - told - 200 * HM_MS);
	ck_assert(proxy_reads_document(r.proxy, DOCUMENT_CONFIG, r.now));
	proxy_fixture_close(&r);
}
END_TEST

/*
 * Guards against a list of members that is never in force: the instance does
 * not watch, and its requests for a copy go unanswered while newer lists come.
 */
START_TEST(member_list_that_no_peer_sends_is_read_from_the_store)
{
	bool reads = false;
	struct proxy_fixture r;
	uint64_t revision;

	open_reader(&r);
	for (revision = 2; revision <= 14; revision++) {
		heartbeat(&r, 10, 0, true, revision);
		heartbeat(&r, 12, 0, true, revision);
		if (revision == 2)
			ck_assert(!proxy_reads_document(
				r.proxy, DOCUMENT_MEMBERS, r.now));
		proxy_fixture_run(&r, 200 * HM_MS);
		reads |= proxy_reads_document(r.proxy, DOCUMENT_MEMBERS, r.now);
	}
	ck_assert(reads);
	proxy_fixture_set_members(&r, 14);
	run_beside_watchers(&r, 2200 * HM_MS);
	ck_assert(!proxy_reads_document(r.proxy, DOCUMENT_MEMBERS, r.now));
	proxy_fixture_close(&r);
}
END_TEST

/*
 * All watches of a group of instances missed a change. The first to read it was
 * asked by 30 peers at once, and again every 250 ms: more copies than its link
 * took. akb-utility-grown, scale-1: a configuration in force 5.6 s late.
 */
START_TEST(copies_of_a_document_are_bounded)
{
	struct message m = { .kind = MSG_DOCUMENT_REQUEST };
	uint32_t i, copies, round;
	struct proxy_fixture r;

	proxy_fixture_open(&r);
	m.document.kind = DOCUMENT_CONFIG;
	for (round = 0; round < 3; round++) {
		g_string_truncate(r.text, 0);
		for (m.from = 1000; m.from < 1600; m.from++)
			proxy_fixture_message(&r, &m);
		for (copies = 0, i = 0; r.text->str[i]; i++)
			copies += r.text->str[i] == '\n';
		/* 128 KiB of a configuration with 4 entries of 256 bytes */
		ck_assert_uint_eq(copies, 128);
		r.now += 250 * HM_MS;
	}
	proxy_fixture_close(&r);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("store_readers");

	tcase_add_test(tc, instances_take_turns_to_poll_the_store);
	tcase_add_test(tc, delays_of_heartbeats_do_not_add_up);
	tcase_add_test(tc, two_instances_of_a_zone_watch);
	tcase_add_test(tc, large_configuration_is_read_from_the_store);
	tcase_add_test(
		tc, watcher_reads_a_large_configuration_that_its_watch_missed);
	tcase_add_test(tc, unanswered_request_is_repeated_soon);
	tcase_add_test(tc, small_configuration_is_requested_from_a_peer);
	tcase_add_test(tc, copy_of_a_polled_change_is_overdue_in_time);
	tcase_add_test(tc,
		       member_list_that_no_peer_sends_is_read_from_the_store);
	tcase_add_test(tc, own_zone_is_asked_first);
	tcase_add_test(tc, copies_of_a_document_are_bounded);
	return suite_run("store_readers", tc);
}
