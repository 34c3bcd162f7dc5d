/**
 * @file test_confirm.c
 * Commits that a member answered, acknowledged or not: a promotion elsewhere
 * may be under way that does not know who answered.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "../core/proxy_state.h"
#include "../src/names.h"
#include "proxy_rig.h"
#include "suite.h"

#define OTHER_ZONE 1

static void heartbeat(struct rig *r, uint64_t instance, uint16_t zone)
{
	struct message m = { .kind = MSG_HEARTBEAT };

	m.from = 1000 + instance;
	m.heartbeat.instance = instance;
	m.heartbeat.zone = zone;
	rig_message(r, &m);
}

/* A keeper's view of "db": m1 leads, m2 is there or not. */
static void view(struct rig *r, bool replacing, bool replica)
{
	struct message m = { .kind = MSG_VIEW };
	struct service_view *v = calloc(1, sizeof(*v));

	m.from = 1001;
	m.view = v;
	v->service = name_id("db");
	v->primary = 1;
	v->term = 1;
	v->replacing = replacing;
	v->count = 2;
	v->members[0] = (struct member_view){ 1, true, true, true, { 0 }, 0 };
	v->members[1] =
		(struct member_view){ 2, true, replica, false, { 0 }, 0 };
	rig_message(r, &m);
	free(v);
}

/* One write; what its caller is told. */
static void write_once(struct rig *r, uint64_t conn, const char *expected)
{
	rig_ask(r, STMT_WRITE, "w", NULL, "WRITE k v");
	g_string_truncate(r->text, 0);
	rig_reply(r, conn, ERR_NONE, SESSION_IDLE);
	proxy_text_expect(r->text, expected);
}

/* A proxy with a connection to m1, and a view of its service. */
static uint64_t open_seeing(struct rig *r, bool replacing, bool replica)
{
	uint64_t conn;

	rig_open(r);
	conn = rig_warm(r);
	view(r, replacing, replica);
	return conn;
}

#define ACKNOWLEDGED "answer 1 ok I signature=proof\n"
#define IN_DOUBT "answer 1 outcome_unknown I\n"

/*
 * abh-rota, primaries-zone-cut, LOST at 18.0 s: the zone of the primary is
 * cut off, a member that starts in that zone lets its commits through, and
 * the others promote a replica that lacks them.
 */
START_TEST(commit_in_a_zone_that_hears_no_other_is_in_doubt)
{
	struct rig r;
	uint64_t conn = open_seeing(&r, false, true);

	heartbeat(&r, 2, OTHER_ZONE);
	rig_run(&r, 400 * HM_MS);
	write_once(&r, conn, ACKNOWLEDGED);
	rig_run(&r, 400 * HM_MS);
	write_once(&r, conn, IN_DOUBT);
	rig_close(&r);
}
END_TEST

/* A keeper that was killed is not a zone that is cut off. */
START_TEST(commit_after_the_loss_of_one_instance_is_acknowledged)
{
	uint64_t conn;
	struct rig r;

	rig_open(&r);
	conn = rig_warm(&r);
	heartbeat(&r, 2, OTHER_ZONE);
	heartbeat(&r, 3, OTHER_ZONE);
	view(&r, false, true);
	rig_run(&r, 600 * HM_MS);
	heartbeat(&r, 3, OTHER_ZONE);
	rig_run(&r, 200 * HM_MS);
	write_once(&r, conn, ACKNOWLEDGED);
	rig_close(&r);
}
END_TEST

START_TEST(commit_during_a_promotion_is_in_doubt)
{
	uint64_t conn;
	struct rig r;

	rig_open(&r);
	conn = rig_warm(&r);
	rig_ask(&r, STMT_WRITE, "w", NULL, "WRITE k v");
	view(&r, true, true);
	g_string_truncate(r.text, 0);
	rig_reply(&r, conn, ERR_NONE, SESSION_IDLE);
	proxy_text_expect(r.text, IN_DOUBT);
	view(&r, false, true);
	write_once(&r, conn, ACKNOWLEDGED);
	rig_close(&r);
}
END_TEST

/* Who let the commit through is none of the known replicas. */
START_TEST(commit_without_a_known_replica_is_in_doubt)
{
	struct rig r;
	uint64_t conn = open_seeing(&r, false, false);

	write_once(&r, conn, IN_DOUBT);
	rig_close(&r);
}
END_TEST

/* The fleet is in touch: nobody else could promote unheard. */
START_TEST(lost_sight_of_replicas_alone_is_no_doubt)
{
	struct rig r;
	uint64_t conn = open_seeing(&r, false, false);

	heartbeat(&r, 2, OTHER_ZONE);
	write_once(&r, conn, ACKNOWLEDGED);
	rig_close(&r);
}
END_TEST

/*
 * twinkle-pool, primaries-zone-cut seed 31: a zone that was cut off promoted
 * a member before it heard that another one had been promoted meanwhile.
 */
START_TEST(zone_that_was_cut_off_promotes_nobody_at_once)
{
	struct rig r;

	rig_open(&r);
	heartbeat(&r, 2, OTHER_ZONE);
	rig_run(&r, 300 * HM_MS);
	ck_assert(!proxy_is_cut_off(r.proxy, r.now));
	ck_assert_int_le(r.proxy->settled_at, r.now);
	rig_run(&r, 600 * HM_MS);
	ck_assert(proxy_is_cut_off(r.proxy, r.now));
	heartbeat(&r, 2, OTHER_ZONE);
	rig_run(&r, PROXY_TICK);
	ck_assert(!proxy_is_cut_off(r.proxy, r.now));
	ck_assert_int_gt(r.proxy->settled_at, r.now + 900 * HM_MS);
	rig_close(&r);
}
END_TEST

/*
 * late-promotes: a primary that was back, with its replicas held until an
 * open call was void, had its slots full of commits that nobody let through.
 */
START_TEST(write_is_refused_at_once_while_replicas_are_held)
{
	struct rig r;

	open_seeing(&r, true, true);
	rig_ask(&r, STMT_WRITE, "w1", NULL, "WRITE k v");
	proxy_text_expect(r.text, "answer 1 no_primary I later\n");
	/* What only reads goes on. */
	rig_ask(&r, STMT_READ, "r1", NULL, "READ k");
	ck_assert(g_str_has_prefix(r.text->str, "begin "));
	rig_close(&r);
}
END_TEST

START_TEST(transaction_that_writes_ends_while_replicas_are_held)
{
	uint64_t conn;
	struct rig r;

	rig_open(&r);
	conn = rig_warm(&r);
	rig_ask(&r, STMT_BEGIN, "b1", NULL, "BEGIN");
	rig_ask(&r, STMT_WRITE, "b2", NULL, "WRITE k v");
	rig_reply(&r, conn, ERR_NONE, SESSION_OPEN);
	rig_reply(&r, conn, ERR_NONE, SESSION_OPEN);
	view(&r, true, true);
	g_string_truncate(r.text, 0);
	rig_ask(&r, STMT_COMMIT, "b3", NULL, "COMMIT");
	ck_assert(g_str_has_prefix(r.text->str,
				   "answer 1 transaction_gone I later\n"));
	ck_assert_ptr_nonnull(strstr(r.text->str, "rollback "));
	rig_close(&r);
}
END_TEST

/* A commit that changed nothing can be repeated, or told as it is. */
START_TEST(commit_that_wrote_nothing_needs_no_proof)
{
	struct rig r;
	uint64_t conn = open_seeing(&r, false, false);

	rig_ask(&r, STMT_BEGIN, "b1", NULL, "BEGIN");
	rig_ask(&r, STMT_READ, "b2", NULL, "READ k");
	rig_reply(&r, conn, ERR_NONE, SESSION_OPEN);
	rig_reply(&r, conn, ERR_NONE, SESSION_OPEN);
	rig_ask(&r, STMT_COMMIT, "b3", NULL, "COMMIT");
	g_string_truncate(r.text, 0);
	rig_reply(&r, conn, ERR_NONE, SESSION_IDLE);
	proxy_text_expect(r.text, ACKNOWLEDGED);
	rig_close(&r);
}
END_TEST

/* A keeper that has just begun knows no primary, and cannot replace it yet. */
START_TEST(view_of_a_new_keeper_says_nothing)
{
	struct message m = { .kind = MSG_VIEW };
	struct service_view v = { .service = name_id("db"), .term = 1 };
	uint64_t conn;
	struct rig r;

	rig_open(&r);
	conn = rig_warm(&r);
	heartbeat(&r, 2, OTHER_ZONE);
	m.from = 1001;
	m.view = &v;
	rig_message(&r, &m);
	write_once(&r, conn, ACKNOWLEDGED);
	rig_close(&r);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("confirm");

	tcase_add_test(tc, commit_in_a_zone_that_hears_no_other_is_in_doubt);
	tcase_add_test(tc,
		       commit_after_the_loss_of_one_instance_is_acknowledged);
	tcase_add_test(tc, commit_during_a_promotion_is_in_doubt);
	tcase_add_test(tc, commit_without_a_known_replica_is_in_doubt);
	tcase_add_test(tc, commit_that_wrote_nothing_needs_no_proof);
	tcase_add_test(tc, lost_sight_of_replicas_alone_is_no_doubt);
	tcase_add_test(tc, zone_that_was_cut_off_promotes_nobody_at_once);
	tcase_add_test(tc, write_is_refused_at_once_while_replicas_are_held);
	tcase_add_test(tc,
		       transaction_that_writes_ends_while_replicas_are_held);
	tcase_add_test(tc, view_of_a_new_keeper_says_nothing);
	return suite_run("confirm", tc);
}
