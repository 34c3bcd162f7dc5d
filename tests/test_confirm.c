/**
 * @file test_confirm.c
 * Whether a commit that a member completed is acknowledged to the client. It
 * is not if a promotion elsewhere may discard it.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../core/proxy_state.h"
#include "../src/names.h"
#include "proxy_fixture.h"
#include "suite.h"

#define OTHER_ZONE 1

static void heartbeat(struct proxy_fixture *r, uint64_t instance, uint16_t zone)
{
	struct message m = { .kind = MSG_HEARTBEAT };

	m.from = 1000 + instance;
	m.heartbeat.instance = instance;
	m.heartbeat.zone = zone;
	proxy_fixture_message(r, &m);
}

/*
 * Passes a view of "db" with m1 as the primary. @a replacing: the monitor is
 * replacing it; @a replica: the monitor reaches the replica m2.
 */
static void view(struct proxy_fixture *r, bool replacing, bool replica)
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
	proxy_fixture_message(r, &m);
	free(v);
}

/* Runs one write and compares the answer to its client. */
static void write_once(struct proxy_fixture *r, uint64_t conn,
		       const char *expected)
{
	proxy_fixture_request(r, STMT_WRITE, "w", NULL, "WRITE k v");
	g_string_truncate(r->text, 0);
	proxy_fixture_reply(r, conn, ERR_NONE, SESSION_IDLE);
	proxy_text_expect(r->text, expected);
}

/* Starts a proxy, connects it to m1 and passes a monitor's view of "db". */
static uint64_t open_with_view(struct proxy_fixture *r, bool replacing,
			       bool replica)
{
	uint64_t conn;

	proxy_fixture_open(r);
	conn = proxy_fixture_connect(r);
	view(r, replacing, replica);
	return conn;
}

#define ACKNOWLEDGED "answer 1 ok I signature=proof\n"
#define OUTCOME_UNKNOWN "answer 1 outcome_unknown I\n"

/*
 * Guards against lost commits: a replica that had started in the isolated zone
 * of the primary completed commits. They were acknowledged as long as views and
 * heartbeats from before the isolation were recent, and the other zones
 * promoted a replica that lacked them (review/4; abh-rota, primaries-zone-cut,
 * 18.0 s).
 */
START_TEST(commit_in_an_isolated_zone_is_not_acknowledged)
{
	struct proxy_fixture r;
	uint64_t conn = open_with_view(&r, false, true);

	heartbeat(&r, 2, OTHER_ZONE);
	write_once(&r, conn, ACKNOWLEDGED);
	r.replica_silent = true;
	r.primary_pos++;
	view(&r, false, true);
	heartbeat(&r, 2, OTHER_ZONE);
	write_once(&r, conn, "");
	proxy_fixture_run(&r, 300 * HM_MS);
	proxy_text_expect(r.text, "");
	proxy_fixture_run(&r, 200 * HM_MS);
	proxy_text_expect(r.text, OUTCOME_UNKNOWN);
	proxy_fixture_close(&r);
}
END_TEST

/*
 * Passes a view with the voters of @a revision: m1, another member, and m2 if
 * @a votes.
 */
static void view_voters(struct proxy_fixture *r, uint64_t revision, bool votes)
{
	struct message m = { .kind = MSG_VIEW };
	struct service_view v = { .service = name_id("db"),
				  .primary = 1,
				  .term = 1,
				  .states_voters = true,
				  .committed = true };

	v.voters.at.revision = revision;
	v.voters.count = 2 + votes;
	v.voters.list[0].endpoint = 1;
	v.voters.list[1].endpoint = 9;
	v.voters.list[2].endpoint = 2;
	m.from = 1001;
	m.view = &v;
	proxy_fixture_message(r, &m);
}

/*
 * Guards against lost commits: a new replica, of which the monitor had not heard
 * when it began to replace the primary, completed commits that the promoted
 * member lacked. The owner counted it as soon as it was registered (review/4).
 */
START_TEST(commit_that_only_a_new_replica_has_is_not_acknowledged)
{
	struct proxy_fixture r;
	uint64_t conn = open_with_view(&r, false, true);

	view_voters(&r, 2, false);
	write_once(&r, conn, "");
	proxy_fixture_run(&r, 500 * HM_MS);
	proxy_text_expect(r.text, OUTCOME_UNKNOWN);
	write_once(&r, conn, "");
	view_voters(&r, 3, true);
	proxy_fixture_run(&r, 40 * HM_MS);
	proxy_text_expect(r.text, ACKNOWLEDGED);
	/* A view on its way since before says less. */
	view_voters(&r, 2, false);
	write_once(&r, conn, ACKNOWLEDGED);
	proxy_fixture_close(&r);
}
END_TEST

/* A heartbeat of peer 3, which knows of a read of the store. */
static void heartbeat_after_read(struct proxy_fixture *r, uint64_t reads,
				 uint64_t members)
{
	struct message m = { .kind = MSG_HEARTBEAT, .from = 1003 };

	m.heartbeat.instance = 3;
	m.heartbeat.zone = OTHER_ZONE;
	m.heartbeat.store_reads = reads;
	m.heartbeat.members.revision = members;
	proxy_fixture_message(r, &m);
}

/* Runs the proxy while it hears peer 3, which reads nothing from the store. */
static void run_beside_peer(struct proxy_fixture *r, hm_time span)
{
	hm_time until = r->now + span;

	while (r->now < until) {
		heartbeat(r, 3, OTHER_ZONE);
		proxy_fixture_run(r, 100 * HM_MS);
	}
}

/*
 * Guards against lost commits: an owner that is cut off from the store and from
 * the monitor counted a replica that the monitor had removed from the voters,
 * as its entry was gone and it was silent.
 */
START_TEST(commit_by_an_outdated_list_needs_one_more_voter)
{
	struct proxy_fixture r;
	uint64_t conn = open_with_view(&r, false, true);

	heartbeat(&r, 2, OTHER_ZONE); /* silent from now on */
	view_voters(&r, 2, true);
	run_beside_peer(&r, 2 * HM_SEC);
	heartbeat_after_read(&r, 5, 1);
	run_beside_peer(&r, 2 * HM_SEC);
	write_once(&r, conn, ACKNOWLEDGED);
	run_beside_peer(&r, 2 * HM_SEC);
	write_once(&r, conn, "");
	run_beside_peer(&r, 500 * HM_MS);
	proxy_text_expect(r.text, OUTCOME_UNKNOWN);
	/* The peer has a newer list: m2 may have no entry any more. */
	heartbeat_after_read(&r, 6, 2);
	run_beside_peer(&r, 4 * HM_SEC);
	write_once(&r, conn, "");
	proxy_fixture_close(&r);
}
END_TEST

/* Applies a list in which m2 has had no entry for a moment. */
static void lose_entry_of_m2(struct proxy_fixture *r, bool leaving)
{
	struct site_members *m = calloc(1, sizeof(*m));
	struct proxy_event e = { .kind = PROXY_MEMBERS, .members = m };
	const struct site_members *now = r->proxy->members;

	if (leaving) {
		m->at.revision = 2;
		site_members_add(m, &now->list[0]);
		site_members_add(m, &now->list[1]);
		m->list[1].leaving = true;
		proxy_fixture_step(r, &e);
		m = calloc(1, sizeof(*m));
		e.members = m;
	}
	m->at.revision = 3;
	site_members_add(m, site_members_find(r->proxy->members, 1));
	proxy_fixture_step(r, &e);
	g_string_truncate(r->text, 0);
}

/*
 * Guards against lost commits: a superseded primary, and a replica of it that
 * became a voter after the change, confirmed commits of the earlier term.
 */
START_TEST(commit_of_an_earlier_term_is_not_acknowledged)
{
	struct message m = { .kind = MSG_VIEW, .from = 1001 };
	struct proxy_fixture r;
	uint64_t conn = open_with_view(&r, false, true);
	struct service_view v = { .service = name_id("db"),
				  .states_voters = true,
				  .voters = { { 0, 5 }, 2, 2, { { 1, 0 } } },
				  .committed = true };

	v.voters.list[1].endpoint = 2;
	m.view = &v;
	proxy_fixture_message(&r, &m);
	write_once(&r, conn, "");
	proxy_fixture_close(&r);
}
END_TEST

/* It is counted until the monitor may remove it from the voters. */
START_TEST(voter_without_an_entry_counts_for_a_while)
{
	struct proxy_fixture r;
	uint64_t conn = open_with_view(&r, false, true);

	lose_entry_of_m2(&r, false);
	proxy_fixture_run(&r, 2 * HM_SEC);
	write_once(&r, conn, ACKNOWLEDGED);
	proxy_fixture_run(&r, HM_SEC);
	write_once(&r, conn, "");
	proxy_fixture_close(&r);
}
END_TEST

START_TEST(leaving_voter_without_an_entry_does_not_count)
{
	struct proxy_fixture r;
	uint64_t conn = open_with_view(&r, false, true);

	lose_entry_of_m2(&r, true);
	write_once(&r, conn, "");
	proxy_fixture_close(&r);
}
END_TEST

/* An instance that has heard of no voters cannot know whose logs count. */
START_TEST(commit_without_known_voters_is_not_acknowledged)
{
	struct proxy_fixture r;
	uint64_t conn;

	proxy_fixture_start(&r);
	r.record.voters.count = 0;
	proxy_fixture_configure(&r, true, true, 100);
	proxy_fixture_set_members(&r, 1);
	proxy_fixture_run(&r, 3 * HM_SEC);
	g_string_truncate(r.text, 0);
	proxy_fixture_open_session(&r, 1, "rota", "secret");
	g_string_truncate(r.text, 0);
	proxy_fixture_request(&r, STMT_WRITE, "a1", NULL, "WRITE k v");
	ck_assert_int_eq(sscanf(r.text->str,
				"connect %" G_GUINT64_FORMAT " m1 acme\n",
				&conn),
			 1);
	proxy_fixture_ready(&r, conn);
	g_string_truncate(r.text, 0);
	proxy_fixture_reply(&r, conn, ERR_NONE, SESSION_IDLE);
	proxy_text_expect(r.text, "");
	proxy_fixture_run(&r, 500 * HM_MS);
	proxy_text_expect(r.text, OUTCOME_UNKNOWN);
	proxy_fixture_close(&r);
}
END_TEST

/*
 * Guards against lost commits: while the record knows of none, a monitor takes
 * an empty log for a complete one.
 */
START_TEST(commit_that_the_record_does_not_know_of_is_not_acknowledged)
{
	struct message m = { .kind = MSG_VIEW, .from = 1001 };
	struct proxy_fixture r;
	uint64_t conn = open_with_view(&r, false, true);
	struct service_view v = { .service = name_id("db"),
				  .primary = 1,
				  .term = 1,
				  .states_voters = true,
				  .voters = { { 0, 5 }, 1, 2, { { 1, 0 } } } };

	v.voters.list[1].endpoint = 2;
	m.view = &v;
	proxy_fixture_message(&r, &m);
	write_once(&r, conn, "");
	proxy_fixture_run(&r, 300 * HM_MS);
	proxy_text_expect(r.text, "");
	v.committed = true;
	v.voters.at.revision++;
	proxy_fixture_message(&r, &m);
	proxy_fixture_run(&r, 40 * HM_MS);
	proxy_text_expect(r.text, ACKNOWLEDGED);
	proxy_fixture_close(&r);
}
END_TEST

/* The replica that completed the commit is not registered. */
START_TEST(commit_waits_until_a_registered_replica_has_it)
{
	struct proxy_fixture r;
	uint64_t conn = open_with_view(&r, false, true);

	r.primary_pos++;
	write_once(&r, conn, "");
	proxy_fixture_run(&r, 60 * HM_MS);
	proxy_text_expect(r.text, "");
	r.replica_pos++;
	proxy_fixture_run(&r, 40 * HM_MS);
	proxy_text_expect(r.text, ACKNOWLEDGED);
	proxy_fixture_close(&r);
}
END_TEST

/* A killed instance, even the monitor, does not make its zone isolated. */
START_TEST(commit_after_the_loss_of_one_instance_is_acknowledged)
{
	uint64_t conn;
	struct proxy_fixture r;

	proxy_fixture_open(&r);
	conn = proxy_fixture_connect(&r);
	heartbeat(&r, 2, OTHER_ZONE);
	heartbeat(&r, 3, OTHER_ZONE);
	view(&r, false, true);
	proxy_fixture_run(&r, 600 * HM_MS);
	heartbeat(&r, 3, OTHER_ZONE);
	proxy_fixture_run(&r, 200 * HM_MS);
	write_once(&r, conn, ACKNOWLEDGED);
	proxy_fixture_close(&r);
}
END_TEST

START_TEST(commit_during_a_promotion_is_not_acknowledged)
{
	uint64_t conn;
	struct proxy_fixture r;

	proxy_fixture_open(&r);
	conn = proxy_fixture_connect(&r);
	proxy_fixture_request(&r, STMT_WRITE, "w", NULL, "WRITE k v");
	view(&r, true, true);
	g_string_truncate(r.text, 0);
	proxy_fixture_reply(&r, conn, ERR_NONE, SESSION_IDLE);
	proxy_text_expect(r.text, OUTCOME_UNKNOWN);
	view(&r, false, true);
	write_once(&r, conn, ACKNOWLEDGED);
	proxy_fixture_close(&r);
}
END_TEST

/* The monitor reaches no replica, but the owner of the primary does. */
START_TEST(commit_without_replica_at_the_monitor_is_acknowledged)
{
	struct proxy_fixture r;
	uint64_t conn = open_with_view(&r, false, false);

	write_once(&r, conn, ACKNOWLEDGED);
	proxy_fixture_close(&r);
}
END_TEST

/*
 * Guards against a promotion on outdated information: a zone that had been
 * isolated promoted a member before it heard that another member had been
 * promoted in the meantime (twinkle-pool, primaries-zone-cut, seed 31).
 */
START_TEST(zone_waits_after_isolation_before_a_promotion)
{
	struct proxy_fixture r;

	proxy_fixture_open(&r);
	heartbeat(&r, 2, OTHER_ZONE);
	proxy_fixture_run(&r, 300 * HM_MS);
	ck_assert(!proxy_zone_isolated(r.proxy, r.now));
	ck_assert_int_le(r.proxy->settled_at, r.now);
	proxy_fixture_run(&r, 600 * HM_MS);
	ck_assert(proxy_zone_isolated(r.proxy, r.now));
	heartbeat(&r, 2, OTHER_ZONE);
	proxy_fixture_run(&r, PROXY_TICK);
	ck_assert(!proxy_zone_isolated(r.proxy, r.now));
	ck_assert_int_gt(r.proxy->settled_at, r.now + 900 * HM_MS);
	proxy_fixture_close(&r);
}
END_TEST

/*
 * Guards against blocked slots: a primary was back, but its replicas stayed
 * paused until an earlier promote call could no longer take effect. Commits
 * that no replica acknowledged filled all its slots (late-promotes).
 */
START_TEST(write_is_refused_while_replicas_are_paused)
{
	struct proxy_fixture r;

	open_with_view(&r, true, true);
	proxy_fixture_request(&r, STMT_WRITE, "w1", NULL, "WRITE k v");
	proxy_text_expect(r.text, "answer 1 no_primary I later\n");
	/* Reads are still served. */
	proxy_fixture_request(&r, STMT_READ, "r1", NULL, "READ k");
	ck_assert(g_str_has_prefix(r.text->str, "begin "));
	proxy_fixture_close(&r);
}
END_TEST

START_TEST(writing_transaction_ends_while_replicas_are_paused)
{
	uint64_t conn;
	struct proxy_fixture r;

	proxy_fixture_open(&r);
	conn = proxy_fixture_connect(&r);
	proxy_fixture_request(&r, STMT_BEGIN, "b1", NULL, "BEGIN");
	proxy_fixture_request(&r, STMT_WRITE, "b2", NULL, "WRITE k v");
	proxy_fixture_reply(&r, conn, ERR_NONE, SESSION_OPEN);
	proxy_fixture_reply(&r, conn, ERR_NONE, SESSION_OPEN);
	view(&r, true, true);
	g_string_truncate(r.text, 0);
	proxy_fixture_request(&r, STMT_COMMIT, "b3", NULL, "COMMIT");
	ck_assert(g_str_has_prefix(r.text->str,
				   "answer 1 transaction_gone I later\n"));
	ck_assert_ptr_nonnull(strstr(r.text->str, "rollback "));
	proxy_fixture_close(&r);
}
END_TEST

/* A commit without changes cannot be lost, so its success is reported. */
START_TEST(commit_without_changes_is_acknowledged)
{
	struct proxy_fixture r;
	uint64_t conn = open_with_view(&r, false, false);

	proxy_fixture_request(&r, STMT_BEGIN, "b1", NULL, "BEGIN");
	proxy_fixture_request(&r, STMT_READ, "b2", NULL, "READ k");
	proxy_fixture_reply(&r, conn, ERR_NONE, SESSION_OPEN);
	proxy_fixture_reply(&r, conn, ERR_NONE, SESSION_OPEN);
	proxy_fixture_request(&r, STMT_COMMIT, "b3", NULL, "COMMIT");
	g_string_truncate(r.text, 0);
	proxy_fixture_reply(&r, conn, ERR_NONE, SESSION_IDLE);
	proxy_text_expect(r.text, ACKNOWLEDGED);
	proxy_fixture_close(&r);
}
END_TEST

/* A new monitor knows no primary and cannot promote a member yet. */
START_TEST(view_of_a_new_monitor_does_not_block_commits)
{
	struct message m = { .kind = MSG_VIEW };
	struct service_view v = { .service = name_id("db"), .term = 1 };
	uint64_t conn;
	struct proxy_fixture r;

	proxy_fixture_open(&r);
	conn = proxy_fixture_connect(&r);
	heartbeat(&r, 2, OTHER_ZONE);
	m.from = 1001;
	m.view = &v;
	proxy_fixture_message(&r, &m);
	write_once(&r, conn, ACKNOWLEDGED);
	proxy_fixture_close(&r);
}
END_TEST

/* A read of the store at @a read_at found the list of members in force. */
static void read_store(struct proxy_fixture *r, hm_time read_at)
{
	struct proxy_event e = { .kind = PROXY_STORE_READ };

	e.read_at = read_at;
	proxy_fixture_step(r, &e);
	proxy_fixture_run(r, PROXY_TICK);
}

/*
 * Guards against lost commits: m2 may have started again with an empty log, and
 * have received this commit from a primary that is being replaced.
 */
START_TEST(voter_that_was_cut_counts_once_the_store_shows_its_life)
{
	struct proxy_event e = { .kind = PROXY_MEMBER_CLOSED };
	struct proxy_fixture r;
	uint64_t conn = open_with_view(&r, false, true);

	write_once(&r, conn, ACKNOWLEDGED);
	e.member.conn = r.replica_conn;
	proxy_fixture_step(&r, &e);
	r.primary_pos = r.replica_pos = 51;
	write_once(&r, conn, "");
	proxy_fixture_run(&r, 500 * HM_MS);
	proxy_text_expect(r.text, OUTCOME_UNKNOWN);
	read_store(&r, r.now);
	proxy_fixture_run(&r, VOTER_LIFE_SHOWN);
	write_once(&r, conn, "");
	read_store(&r, r.now);
	proxy_text_expect(r.text, ACKNOWLEDGED);
	write_once(&r, conn, ACKNOWLEDGED);
	proxy_fixture_close(&r);
}
END_TEST

/* Passes a view of a switchover that has paused m2, or, without, of none. */
static void view_pause(struct proxy_fixture *r, bool paused, bool reached)
{
	struct message m = { .kind = MSG_VIEW, .from = 1001 };
	struct service_view v = {
		.service = name_id("db"), .primary = 1, .term = 1, .count = 2
	};

	v.members[0] = (struct member_view){ 1, true, true, true, { 0 }, 0 };
	v.members[1] = (struct member_view){ 2,	    reached, reached,
					     false, { 0 },   paused };
	m.view = &v;
	proxy_fixture_message(r, &m);
}

static void watch_log(struct proxy_fixture *r, const char *prefix)
{
	r->logged = prefix;
	g_string_truncate(r->log, 0);
}

/*
 * Guards against a lost commit whose cause cannot be told: none of the lines
 * said which members had confirmed it beside a promote call.
 */
START_TEST(commit_during_a_switchover_is_logged_with_its_holders)
{
	struct proxy_fixture r;
	uint64_t conn = open_with_view(&r, false, true);

	watch_log(&r, "event=confirmed_in_change");
	write_once(&r, conn, ACKNOWLEDGED);
	proxy_text_expect(r.log, "");
	view_pause(&r, true, true);
	r.now += 7;
	write_once(&r, conn, ACKNOWLEDGED);
	proxy_text_expect(r.log,
			  "event=confirmed_in_change request=w member=m1 "
			  "term=1 pos=50 view_age_us=7 by=m2:paused\n");
	view_pause(&r, true, false);
	write_once(&r, conn, ACKNOWLEDGED);
	proxy_text_expect(r.log,
			  "event=confirmed_in_change request=w member=m1 "
			  "term=1 pos=50 view_age_us=0 by=m2:paused/silent\n");
	view_pause(&r, false, true);
	proxy_fixture_run(&r, PROXY_TICK);
	proxy_text_expect(r.log, "event=confirmed_in_change_end member=m1 "
				 "commits=2 unlogged=0\n");
	write_once(&r, conn, ACKNOWLEDGED);
	proxy_text_expect(r.log, "");
	proxy_fixture_close(&r);
}
END_TEST

/* Many commits beside a change that lasts do not fill the log. */
START_TEST(commits_during_a_switchover_are_logged_up_to_a_bound)
{
	struct proxy_counters counters;
	struct proxy_fixture r;
	uint64_t conn = open_with_view(&r, false, true);
	uint32_t i, lines = 0;

	view_pause(&r, true, true);
	watch_log(&r, "event=confirmed_in_change ");
	for (i = 0; i < 205; i++) {
		proxy_fixture_run(&r, PROXY_TICK);
		write_once(&r, conn, ACKNOWLEDGED);
		lines += r.log->len != 0;
		g_string_truncate(r.log, 0);
	}
	ck_assert_uint_eq(lines, 200);
	watch_log(&r, "event=confirmed_in_change_end");
	view_pause(&r, false, true);
	proxy_fixture_run(&r, PROXY_TICK);
	proxy_text_expect(r.log, "event=confirmed_in_change_end member=m1 "
				 "commits=205 unlogged=5\n");
	proxy_get_counters(r.proxy, &counters);
	ck_assert_uint_eq(counters.confirmed_in_change, 205);
	proxy_fixture_close(&r);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("confirm");

	tcase_add_test(tc, commit_in_an_isolated_zone_is_not_acknowledged);
	tcase_add_test(tc,
		       commit_after_the_loss_of_one_instance_is_acknowledged);
	tcase_add_test(tc, commit_during_a_promotion_is_not_acknowledged);
	tcase_add_test(tc, commit_waits_until_a_registered_replica_has_it);
	tcase_add_test(tc,
		       commit_that_only_a_new_replica_has_is_not_acknowledged);
	tcase_add_test(tc, commit_without_known_voters_is_not_acknowledged);
	tcase_add_test(
		tc,
		commit_that_the_record_does_not_know_of_is_not_acknowledged);
	tcase_add_test(tc, commit_by_an_outdated_list_needs_one_more_voter);
	tcase_add_test(tc, commit_of_an_earlier_term_is_not_acknowledged);
	tcase_add_test(tc, voter_without_an_entry_counts_for_a_while);
	tcase_add_test(tc,
		       voter_that_was_cut_counts_once_the_store_shows_its_life);
	tcase_add_test(tc, leaving_voter_without_an_entry_does_not_count);
	tcase_add_test(tc, commit_without_changes_is_acknowledged);
	tcase_add_test(tc,
		       commit_without_replica_at_the_monitor_is_acknowledged);
	tcase_add_test(tc, zone_waits_after_isolation_before_a_promotion);
	tcase_add_test(tc, write_is_refused_while_replicas_are_paused);
	tcase_add_test(tc, writing_transaction_ends_while_replicas_are_paused);
	tcase_add_test(tc, view_of_a_new_monitor_does_not_block_commits);
	tcase_add_test(tc,
		       commit_during_a_switchover_is_logged_with_its_holders);
	tcase_add_test(tc,
		       commits_during_a_switchover_are_logged_up_to_a_bound);
	return suite_run("confirm", tc);
}
