/**
 * @file test_evacuation.c
 * Evacuated zones: which report is in force, and that nothing is sent to a
 * member of such a zone after the limit, while what can run elsewhere goes on.
 */
#include <check.h>
#include <string.h>

#include "../core/evacuation.h"
#include "../core/proxy_state.h"
#include "monitor_fixture.h"
#include "pool_fixture.h"
#include "proxy_fixture.h"
#include "suite.h"

#define ZONE_A 1u /* zone 0 */
#define ZONE_B 2u /* zone 1 */
#define LIMIT (1500 * HM_MS)
#define KEEP_TIME (6 * HM_SEC)

static struct evacuation_report report(uint64_t era, uint64_t revision,
				       zone_set requested)
{
	return (struct evacuation_report){ .at = { era, revision },
					   .requested = requested };
}

static zone_set take(struct evacuation *e, struct evacuation_report r,
		     hm_time now)
{
	evacuation_take(e, &r, now);
	return evacuation_zones(e);
}

START_TEST(newest_report_is_in_force)
{
	struct evacuation e = { 0 };

	ck_assert(!evacuation_known(&e));
	ck_assert_uint_eq(take(&e, report(0, 0, ZONE_A), 1), 0);
	ck_assert_uint_eq(take(&e, report(0, 5, ZONE_A), 10), ZONE_A);
	ck_assert(evacuation_known(&e));
	ck_assert_int_eq(e.since[0], 10);
	/* A peer that has not heard of it, and an older list. */
	ck_assert_uint_eq(take(&e, report(0, 4, 0), 11), ZONE_A);
	ck_assert_uint_eq(take(&e, report(0, 5, 0), 11), ZONE_A);
	ck_assert_uint_eq(take(&e, report(0, 6, ZONE_A | ZONE_B), 20),
			  ZONE_A | ZONE_B);
	ck_assert_int_eq(e.since[0], 10);
	ck_assert_int_eq(e.since[1], 20);
	ck_assert_uint_eq(take(&e, report(0, 7, ZONE_B), 30), ZONE_B);
	ck_assert_int_eq(e.since[0], 0);
	/* The request comes again within a moment; the first one is late. */
	ck_assert_uint_eq(take(&e, report(0, 9, ZONE_A), 31), ZONE_A);
	ck_assert_uint_eq(take(&e, report(0, 8, 0), 32), ZONE_A);
}
END_TEST

/* The operator's write is repeated some time after a restore, or never. */
START_TEST(restored_store_withdraws_nothing_at_once)
{
	struct evacuation e = { 0 };

	take(&e, report(1, 500, ZONE_A), 1);
	ck_assert_uint_eq(take(&e, report(2, 400, 0), HM_SEC), ZONE_A);
	ck_assert_uint_eq(take(&e, report(2, 401, ZONE_B), 2 * HM_SEC),
			  ZONE_A | ZONE_B);
	ck_assert(!evacuation_tick(&e, HM_SEC + KEEP_TIME - 1));
	ck_assert(evacuation_tick(&e, HM_SEC + KEEP_TIME));
	ck_assert_uint_eq(evacuation_zones(&e), ZONE_B);
	/* Repeated in time, it is withdrawn like any other. */
	take(&e, report(3, 10, ZONE_A), 20 * HM_SEC);
	ck_assert_uint_eq(evacuation_zones(&e), ZONE_A | ZONE_B);
	ck_assert(evacuation_tick(&e, 20 * HM_SEC + KEEP_TIME));
	ck_assert_uint_eq(evacuation_zones(&e), ZONE_A);
	ck_assert_uint_eq(take(&e, report(3, 11, 0), 30 * HM_SEC), 0);
}
END_TEST

/* An instance that starts after the restore reads only the copy. */
START_TEST(new_instance_learns_kept_requests_from_a_peer)
{
	struct evacuation old = { 0 }, new = { 0 };

	take(&old, report(1, 500, ZONE_A), 1);
	take(&old, report(2, 400, 0), HM_SEC);
	ck_assert_uint_eq(take(&new, report(2, 402, 0), 2 * HM_SEC), 0);
	ck_assert_uint_eq(
		take(&new, evacuation_report(&old, 2 * HM_SEC), 2 * HM_SEC),
		ZONE_A);
	ck_assert(evacuation_tick(&new, HM_SEC + KEEP_TIME));
	ck_assert_uint_eq(evacuation_zones(&new), 0);
	evacuation_tick(&old, HM_SEC + KEEP_TIME);
	ck_assert_uint_eq(evacuation_report(&old, 8 * HM_SEC).kept, 0);
}
END_TEST

static void evacuate(struct proxy_fixture *r, uint64_t revision, zone_set zones)
{
	struct evacuation_report news = report(0, revision, zones);
	struct proxy_event e = { .kind = PROXY_EVACUATION,
				 .evacuation = &news };
	struct proxy_event read = { .kind = PROXY_STORE_READ,
				    .read_at = r->now };

	proxy_fixture_step(r, &e);
	proxy_fixture_step(r, &read);
}

/* Both members of the fixture are in zone 0, the one that is evacuated. */
static void open_evacuable(struct proxy_fixture *r)
{
	proxy_fixture_start(r);
	r->proxy->options.evacuation_limit = LIMIT;
	proxy_fixture_configure(r, true, true, 100);
	proxy_fixture_set_members(r, 1);
}

/* The same, ready and with a session; returns its connection to a member. */
static uint64_t open_connected(struct proxy_fixture *r)
{
	open_evacuable(r);
	evacuate(r, 7, 0);
	proxy_fixture_run(r, 3 * HM_SEC);
	g_string_truncate(r->text, 0);
	return proxy_fixture_connect(r);
}

START_TEST(instance_is_ready_once_evacuations_are_known)
{
	struct proxy_fixture r;

	open_evacuable(&r);
	proxy_fixture_run(&r, 3 * HM_SEC);
	ck_assert_ptr_null(strstr(r.text->str, "ready 1"));
	evacuate(&r, 7, 0);
	proxy_fixture_run(&r, 100 * HM_MS);
	ck_assert_ptr_nonnull(strstr(r.text->str, "ready 1"));
	proxy_fixture_close(&r);
}
END_TEST

/* The start of an instance reads the requests; its first poll finds a new one. */
START_TEST(first_poll_after_the_start_evacuates)
{
	struct evacuation_report none = report(0, 7, 0);
	struct proxy_event start = { .kind = PROXY_EVACUATION,
				     .evacuation = &none };
	struct proxy_fixture r;

	open_evacuable(&r);
	proxy_fixture_step(&r, &start);
	proxy_fixture_run(&r, HM_SEC);
	evacuate(&r, 8, ZONE_A);
	ck_assert_uint_eq(evacuation_zones(&r.proxy->evacuation), ZONE_A);
	ck_assert_int_eq(r.proxy->evacuation.since[0], r.proxy->started_at);
	ck_assert(site_member_retires(&r.proxy->members->list[0]));
	proxy_fixture_close(&r);
}
END_TEST

/* The only zone: the primary serves until the limit, then all is refused. */
START_TEST(last_zone_is_evacuated_and_restored)
{
	struct proxy_fixture r;
	uint64_t conn;

	conn = open_connected(&r);
	evacuate(&r, 8, 0);
	evacuate(&r, 9, ZONE_A);
	proxy_fixture_request(&r, STMT_WRITE, "a2", NULL, "WRITE k v");
	proxy_fixture_reply(&r, conn, ERR_NONE, SESSION_IDLE);
	ck_assert(g_str_has_suffix(r.text->str,
				   "answer 1 ok I signature=proof\n"));
	proxy_fixture_run(&r, LIMIT + 100 * HM_MS);
	g_string_truncate(r.text, 0);
	proxy_fixture_request(&r, STMT_WRITE, "a3", NULL, "WRITE k v");
	proxy_text_expect(r.text, "answer 1 no_primary I later\n");
	evacuate(&r, 10, 0);
	proxy_fixture_request(&r, STMT_WRITE, "a4", NULL, "WRITE k v");
	ck_assert_ptr_nonnull(strstr(r.text->str, "connect"));
	proxy_fixture_close(&r);
}
END_TEST

/* Its client rests: at the limit the transaction ends, and it is told. */
START_TEST(open_transaction_ends_at_the_limit)
{
	struct proxy_fixture r;
	uint64_t conn;

	conn = open_connected(&r);
	proxy_fixture_request(&r, STMT_BEGIN, "b1", NULL, NULL);
	proxy_fixture_request(&r, STMT_READ, "b2", NULL, "READ k");
	proxy_fixture_reply(&r, conn, ERR_NONE, SESSION_OPEN);
	proxy_fixture_reply(&r, conn, ERR_NONE, SESSION_OPEN);
	evacuate(&r, 8, 0);
	evacuate(&r, 9, ZONE_A);
	proxy_fixture_run(&r, LIMIT - 100 * HM_MS);
	ck_assert_ptr_null(strstr(r.text->str, "close"));
	proxy_fixture_run(&r, 200 * HM_MS);
	ck_assert_ptr_nonnull(strstr(r.text->str, "close"));
	g_string_truncate(r.text, 0);
	proxy_fixture_request(&r, STMT_COMMIT, "b3", NULL, "COMMIT");
	proxy_text_expect(r.text, "answer 1 transaction_gone I later\n");
	proxy_fixture_close(&r);
}
END_TEST

/*
 * abh-rota-now-grown, zone-evacuated-loss with seed 1: the polling instance was
 * cut off, the request was read 3 s late, and the primaries served for their
 * whole time from then on (EVAC 404).
 */
START_TEST(bound_counts_from_the_last_read)
{
	struct message m = { .kind = MSG_HEARTBEAT, .from = 10 };
	struct proxy_fixture r;
	hm_time read_at;

	open_evacuable(&r);
	evacuate(&r, 7, 0);
	read_at = r.now;
	proxy_fixture_run(&r, HM_SEC);
	evacuate(&r, 8, ZONE_A);
	ck_assert_int_eq(r.proxy->members->list[0].evacuated_since, read_at);
	/* The same by a peer, and for an instance that reads it at its start. */
	m.heartbeat.instance = 1010;
	m.heartbeat.evacuation = report(0, 9, ZONE_A | ZONE_B);
	m.heartbeat.evacuation.age[1] = 300 * HM_MS;
	proxy_fixture_message(&r, &m);
	ck_assert_int_eq(r.proxy->evacuation.since[1], r.now - 300 * HM_MS);
	proxy_fixture_close(&r);
	open_evacuable(&r);
	evacuate(&r, 7, ZONE_A);
	ck_assert_int_lt(r.proxy->evacuation.since[0], r.now - LIMIT);
	proxy_fixture_close(&r);
}
END_TEST

START_TEST(request_arrives_by_heartbeat)
{
	struct message m = { .kind = MSG_HEARTBEAT, .from = 10 };
	struct proxy_fixture r;

	open_evacuable(&r);
	m.heartbeat.instance = 1010;
	m.heartbeat.evacuation = report(0, 8, ZONE_A);
	proxy_fixture_message(&r, &m);
	ck_assert_uint_eq(evacuation_zones(&r.proxy->evacuation), ZONE_A);
	ck_assert_int_eq(r.proxy->members->list[0].evacuated_since, r.now);
	/* A peer that has not heard of it, and a newer list of members. */
	m.heartbeat.evacuation = report(0, 7, 0);
	proxy_fixture_message(&r, &m);
	proxy_fixture_set_members(&r, 2);
	ck_assert_int_eq(r.proxy->members->list[0].evacuated_since, r.now);
	proxy_fixture_close(&r);
}
END_TEST

START_TEST(evacuated_replica_is_refused_at_its_owner)
{
	struct run_request o = pool_fixture_request(1, STMT_READ, RUN_SINGLE);
	struct pool_fixture r;

	pool_fixture_open(&r, 2, 16);
	r.member.evacuated_since = r.now;
	pool_member(r.pool, &r.member, 16);
	o.max_age = HM_SEC;
	pool_fixture_submit(&r, &o);
	pool_fixture_results(&r);
	proxy_text_expect(r.text, "r1: no_endpoint, not run, I\n");
	pool_fixture_close(&r);
}
END_TEST

/* m1 is primary; m2 is in its zone, so m3 takes over, behind or not. */
START_TEST(primary_moves_out_of_the_zone)
{
	struct monitor_fixture r;

	monitor_fixture_open(&r);
	monitor_fixture_run(&r, HM_SEC);
	g_string_truncate(r.text, 0);
	r.fakes[2].pos = 98;
	r.fakes[0].spec.evacuated_since = r.now;
	r.fakes[1].spec.evacuated_since = r.now;
	monitor_fixture_publish(&r);
	monitor_fixture_run(&r, 500 * HM_MS);
	ck_assert_ptr_null(strstr(r.text->str, "promote m3"));
	r.fakes[2].pos = 100;
	monitor_fixture_run(&r, HM_SEC);
	ck_assert_ptr_nonnull(strstr(r.text->str, "promote m3"));
	ck_assert_ptr_null(strstr(r.text->str, "promote m2"));
	monitor_fixture_promote(&r, 2);
	monitor_fixture_run(&r, HM_SEC);
	ck_assert_uint_eq(monitor_fixture_view(&r).primary, 3);
	monitor_fixture_close(&r);
}
END_TEST

START_TEST(primary_stays_where_no_zone_is_left)
{
	struct monitor_fixture r;
	uint32_t i;

	monitor_fixture_open(&r);
	monitor_fixture_run(&r, HM_SEC);
	g_string_truncate(r.text, 0);
	for (i = 0; i < MONITOR_FIXTURE_MEMBERS; i++)
		r.fakes[i].spec.evacuated_since = r.now;
	monitor_fixture_publish(&r);
	monitor_fixture_run(&r, 3 * HM_SEC);
	proxy_text_expect(r.text, "");
	monitor_fixture_close(&r);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("evacuation");

	tcase_add_test(tc, newest_report_is_in_force);
	tcase_add_test(tc, restored_store_withdraws_nothing_at_once);
	tcase_add_test(tc, new_instance_learns_kept_requests_from_a_peer);
	tcase_add_test(tc, instance_is_ready_once_evacuations_are_known);
	tcase_add_test(tc, first_poll_after_the_start_evacuates);
	tcase_add_test(tc, last_zone_is_evacuated_and_restored);
	tcase_add_test(tc, open_transaction_ends_at_the_limit);
	tcase_add_test(tc, bound_counts_from_the_last_read);
	tcase_add_test(tc, request_arrives_by_heartbeat);
	tcase_add_test(tc, evacuated_replica_is_refused_at_its_owner);
	tcase_add_test(tc, primary_moves_out_of_the_zone);
	tcase_add_test(tc, primary_stays_where_no_zone_is_left);
	return suite_run("evacuation", tc);
}
