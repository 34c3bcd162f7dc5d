/**
 * @file test_primary_check.c
 * Which replies confirm that the term of a primary was current, and when reads
 * should not wait for them. The commands sent are compared as text.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "../core/primary_check.h"
#include "proxy_text.h"
#include "suite.h"

#define NOW (100 * HM_SEC)
#define SERVICE 5
#define MEMBERS 3

struct fixture {
	struct proxy_options options;
	uint64_t next_conn;
	struct primary_check *pc;
	struct site_member list[MEMBERS];
	struct proxy_output out;
	GString *text;
	GString *log; /* lines about replicas */
	hm_time now;
};

/* Appends the actions to the text, and the lines about replicas to the log. */
static void record(struct fixture *r)
{
	proxy_text_lines(r->log, &r->out, "event=replica_");
	proxy_text(r->text, &r->out);
}

static void publish(struct fixture *r)
{
	struct site_members m = { .list = r->list, .count = MEMBERS };

	primary_check_set_members(r->pc, &m, SERVICE, &r->out);
	record(r);
}

static void fixture_open(struct fixture *r)
{
	struct primary_check_deps deps = { &r->options, &r->next_conn };
	uint32_t i;

	memset(r, 0, sizeof(*r));
	proxy_options_default(&r->options);
	r->now = NOW;
	r->text = g_string_new(NULL);
	r->log = g_string_new(NULL);
	r->pc = primary_check_new(1, deps);
	for (i = 0; i < MEMBERS; i++) {
		r->list[i].endpoint = i + 1;
		r->list[i].service = SERVICE;
		g_snprintf(r->list[i].name, NAME_BYTES, "m%u", i + 1);
	}
	publish(r);
}

static void fixture_close(struct fixture *r)
{
	primary_check_close(r->pc, &r->out);
	primary_check_free(r->pc);
	proxy_output_free(&r->out);
	g_string_free(r->text, TRUE);
	g_string_free(r->log, TRUE);
}

static uint64_t begin(struct fixture *r)
{
	uint64_t ticket = primary_check_begin(r->pc, r->now, &r->out);

	record(r);
	return ticket;
}

static void tick(struct fixture *r, hm_time later)
{
	r->now += later;
	primary_check_tick(r->pc, r->now, &r->out);
	record(r);
}

static void ready(struct fixture *r, uint64_t conn)
{
	primary_check_conn_ready(r->pc, conn, r->now, &r->out);
	record(r);
}

static void reply(struct fixture *r, uint64_t conn, struct member_reply m)
{
	primary_check_replied(r->pc, conn, &m, r->now, &r->out);
	record(r);
}

static void reply_as_replica(struct fixture *r, uint64_t conn, uint64_t term)
{
	reply(r, conn,
	      (struct member_reply){ .error = ERR_READ_ONLY,
				     .at = { term, 9 } });
}

static void reply_status(struct fixture *r, uint64_t conn, uint64_t received)
{
	struct member_reply m = { .has_status = true };

	m.status.received.term = received;
	reply(r, conn, m);
}

/* Opens connections 1 to m2 and 2 to m3; both are replicas of term 1. */
static void open_connections(struct fixture *r)
{
	uint64_t ticket = begin(r);

	proxy_text_expect(r->text, "connect 1 m2 keeper\n"
				   "connect 2 m3 keeper\n");
	ready(r, 1);
	ready(r, 2);
	reply_as_replica(r, 1, 1);
	reply_as_replica(r, 2, 1);
	ck_assert_int_eq(primary_check_status(r->pc, ticket, 1),
			 TERM_CONFIRMED);
	r->now += 100 * HM_MS;
	g_string_truncate(r->text, 0);
}

START_TEST(one_probe_serves_all_tickets_before_it)
{
	uint64_t first, second, third;
	struct fixture r;

	fixture_open(&r);
	open_connections(&r);
	first = begin(&r);
	proxy_text_expect(r.text, "begin 1\nbegin 2\n");
	second = begin(&r);
	third = begin(&r);
	proxy_text_expect(r.text, "");
	reply_as_replica(&r, 1, 1);
	ck_assert_int_eq(primary_check_status(r.pc, first, 1), TERM_PENDING);
	reply_as_replica(&r, 2, 1);
	ck_assert_int_eq(primary_check_status(r.pc, first, 1), TERM_CONFIRMED);
	/* The second and third ticket are newer than that probe. */
	ck_assert_int_eq(primary_check_status(r.pc, second, 1), TERM_PENDING);
	proxy_text_expect(r.text, "begin 1\nbegin 2\n");
	reply_as_replica(&r, 1, 1);
	reply_as_replica(&r, 2, 1);
	ck_assert_int_eq(primary_check_status(r.pc, third, 1), TERM_CONFIRMED);
	proxy_text_expect(r.text, "");
	fixture_close(&r);
}
END_TEST

/* Run akb-utility trouble-1: a read at a superseded primary was stale. */
START_TEST(later_term_supersedes_the_primary)
{
	struct fixture r;
	uint64_t ticket;

	fixture_open(&r);
	open_connections(&r);
	ticket = begin(&r);
	reply(&r, 1,
	      (struct member_reply){ .state = SESSION_OPEN, .at = { 2, 0 } });
	proxy_text_expect(r.text, "begin 1\nbegin 2\nrollback 1\n");
	ck_assert_int_eq(primary_check_status(r.pc, ticket, 1),
			 TERM_SUPERSEDED);
	ck_assert_int_eq(primary_check_status(r.pc, ticket, 2), TERM_PENDING);
	fixture_close(&r);
}
END_TEST

/*
 * Run akb-utility trouble-1, 10.0 to 14.1 s: the old primary was unreachable,
 * the replica applied its log late. Reads were confirmed, and yet refused at
 * once.
 */
START_TEST(confirmation_by_received_log_counts_as_progress)
{
	uint32_t n = 0;
	uint64_t ticket;
	struct fixture r;
	int i;

	fixture_open(&r);
	open_connections(&r);
	begin(&r);
	reply_as_replica(&r, 2, 1);
	for (i = 0; i < 40; i++) {
		g_string_truncate(r.text, 0);
		ticket = begin(&r);
		/* m2 has not replied in time: the status is requested. */
		tick(&r, 70 * HM_MS);
		if (!strstr(r.text->str, "status 2\n"))
			continue;
		reply_as_replica(&r, 2, 1);
		reply_status(&r, 2, 2);
		n += primary_check_status(r.pc, ticket, 2) == TERM_CONFIRMED;
		ck_assert(!primary_check_is_failing(r.pc, r.now));
	}
	ck_assert_uint_gt(n, 20);
	fixture_close(&r);
}
END_TEST

/* The old primary is probed by the new primary's owner: its term is older. */
START_TEST(primary_of_an_older_term_does_not_count)
{
	struct fixture r;
	uint64_t ticket;

	fixture_open(&r);
	open_connections(&r);
	ticket = begin(&r);
	reply(&r, 1,
	      (struct member_reply){ .state = SESSION_OPEN, .at = { 1, 40 } });
	reply_as_replica(&r, 2, 2);
	ck_assert_int_eq(primary_check_status(r.pc, ticket, 2), TERM_CONFIRMED);
	fixture_close(&r);
}
END_TEST

/* A silent primary's commits were received by one other member. */
START_TEST(status_replaces_a_silent_member)
{
	struct fixture r;
	uint64_t ticket;

	fixture_open(&r);
	open_connections(&r);
	ticket = begin(&r);
	reply_as_replica(&r, 2, 1);
	tick(&r, 40 * HM_MS);
	proxy_text_expect(r.text, "begin 1\nbegin 2\n");
	tick(&r, 40 * HM_MS);
	proxy_text_expect(r.text, "begin 2\nstatus 2\n");
	reply_as_replica(&r, 2, 1);
	ck_assert_int_eq(primary_check_status(r.pc, ticket, 1), TERM_PENDING);
	reply_status(&r, 2, 1);
	ck_assert_int_eq(primary_check_status(r.pc, ticket, 1), TERM_CONFIRMED);
	fixture_close(&r);
}
END_TEST

/* The replica has received commits of the silent primary, not applied them. */
START_TEST(status_shows_the_received_term)
{
	struct fixture r;
	uint64_t ticket;

	fixture_open(&r);
	open_connections(&r);
	ticket = begin(&r);
	reply_as_replica(&r, 2, 1);
	tick(&r, 80 * HM_MS);
	reply_as_replica(&r, 2, 1);
	reply_status(&r, 2, 2);
	ck_assert_int_eq(primary_check_status(r.pc, ticket, 1),
			 TERM_SUPERSEDED);
	fixture_close(&r);
}
END_TEST

/* A reply of a busy member has no status, so the member is probed again. */
START_TEST(busy_member_is_probed_again)
{
	struct fixture r;
	uint64_t ticket;

	fixture_open(&r);
	open_connections(&r);
	ticket = begin(&r);
	reply_as_replica(&r, 2, 1);
	tick(&r, 80 * HM_MS);
	reply_as_replica(&r, 2, 1);
	reply(&r, 2, (struct member_reply){ .error = ERR_OVERLOADED });
	ck_assert_int_eq(primary_check_status(r.pc, ticket, 1), TERM_PENDING);
	g_string_truncate(r.text, 0);
	tick(&r, 20 * HM_MS);
	proxy_text_expect(r.text, "begin 2\nstatus 2\n");
	fixture_close(&r);
}
END_TEST

/* In a zone that reaches only the old primary, the primary check fails. */
START_TEST(isolated_check_fails_and_recovers)
{
	struct fixture r;
	uint64_t ticket;

	fixture_open(&r);
	open_connections(&r);
	ticket = begin(&r);
	tick(&r, 300 * HM_MS);
	ck_assert(!primary_check_is_failing(r.pc, r.now));
	tick(&r, 200 * HM_MS);
	ck_assert_int_eq(primary_check_status(r.pc, ticket, 1), TERM_PENDING);
	ck_assert(primary_check_is_failing(r.pc, r.now));
	g_string_truncate(r.text, 0);
	ticket = begin(&r);
	proxy_text_expect(r.text, "connect 3 m2 keeper\n"
				  "connect 4 m3 keeper\n");
	ready(&r, 3);
	ready(&r, 4);
	reply_as_replica(&r, 3, 1);
	reply_as_replica(&r, 4, 1);
	ck_assert_int_eq(primary_check_status(r.pc, ticket, 1), TERM_CONFIRMED);
	ck_assert(!primary_check_is_failing(r.pc, r.now));
	fixture_close(&r);
}
END_TEST

/*
 * A member restarted with an empty log under the same ID: its earlier reports
 * are obsolete.
 */
START_TEST(replies_before_a_restart_do_not_count)
{
	struct fixture r;
	uint64_t ticket;

	fixture_open(&r);
	open_connections(&r);
	ticket = begin(&r);
	reply_as_replica(&r, 1, 1);
	g_string_truncate(r.text, 0);
	r.list[1].started = 1234;
	publish(&r);
	proxy_text_expect(r.text, "close 1\n");
	reply_as_replica(&r, 2, 1);
	ck_assert_int_eq(primary_check_status(r.pc, ticket, 1), TERM_PENDING);
	fixture_close(&r);
}
END_TEST

/*
 * The new primary is unreachable. The only replica that had received its
 * commits restarts with an empty log and receives from the old primary.
 */
START_TEST(restarted_replica_alone_confirms_nothing)
{
	struct fixture r;
	uint64_t ticket;

	fixture_open(&r);
	open_connections(&r);
	r.list[1].started = 1234;
	publish(&r);
	ticket = begin(&r); /* connection 3 to m2; m3 is silent on 2 */
	ready(&r, 3);
	tick(&r, 80 * HM_MS);
	reply_as_replica(&r, 3, 1);
	tick(&r, 80 * HM_MS);
	reply_as_replica(&r, 3, 1);
	reply_status(&r, 3, 1);
	ck_assert_int_eq(primary_check_status(r.pc, ticket, 1), TERM_PENDING);
	/* The other member replies, too: no other member is primary. */
	reply_as_replica(&r, 2, 1);
	ck_assert_int_eq(primary_check_status(r.pc, ticket, 1), TERM_CONFIRMED);
	fixture_close(&r);
}
END_TEST

START_TEST(unused_connections_are_closed)
{
	struct fixture r;

	fixture_open(&r);
	open_connections(&r);
	tick(&r, 9 * HM_SEC);
	proxy_text_expect(r.text, "");
	tick(&r, 2 * HM_SEC);
	proxy_text_expect(r.text, "close 1\nclose 2\n");
	fixture_close(&r);
}
END_TEST

START_TEST(check_switched_off_probes_nobody)
{
	struct fixture r;

	fixture_open(&r);
	r.options.guards_off = PROXY_GUARD_SUPERSEDED;
	ck_assert_uint_eq(begin(&r), 0);
	proxy_text_expect(r.text, "");
	ck_assert_int_eq(primary_check_status(r.pc, 0, 1), TERM_CONFIRMED);
	fixture_close(&r);
}
END_TEST

static void request_commit(struct fixture *r, uint64_t pos, bool all)
{
	primary_check_request_commit(r->pc, (struct log_pos){ 1, pos }, all,
				     r->now, &r->out);
	record(r);
}

static void reply_received(struct fixture *r, uint64_t conn,
			   struct log_pos received)
{
	struct member_reply m = { .has_status = true };

	m.status.received = received;
	reply(r, conn, m);
}

/* Whether as many members as a commit waits for have shown position 1.@a pos. */
static bool has_commit(const struct fixture *r, uint64_t pos)
{
	return primary_check_received(r->pc, (struct log_pos){ 1, pos }, NULL,
				      r->now) >=
	       primary_check_sync_replicas(r->pc);
}

START_TEST(commit_is_confirmed_by_one_replica)
{
	struct fixture r;

	fixture_open(&r);
	open_connections(&r);
	ck_assert(has_commit(&r, 9)); /* in the log that m2 has applied */
	request_commit(&r, 12, false);
	proxy_text_expect(r.text, "status 1\n");
	ck_assert(!has_commit(&r, 12));
	reply_received(&r, 1, (struct log_pos){ 1, 12 });
	ck_assert(has_commit(&r, 12));
	ck_assert(!has_commit(&r, 13));
	fixture_close(&r);
}
END_TEST

/* A member that does not show a commit is not the first to be asked again. */
START_TEST(commit_is_asked_for_where_the_last_one_was)
{
	struct fixture r;

	fixture_open(&r);
	open_connections(&r);
	request_commit(&r, 12, false);
	reply_received(&r, 1, (struct log_pos){ 1, 11 });
	ck_assert(!has_commit(&r, 12));
	request_commit(&r, 12, true);
	proxy_text_expect(r.text, "status 1\nstatus 1\nstatus 2\n");
	reply_received(&r, 2, (struct log_pos){ 1, 12 });
	ck_assert(has_commit(&r, 12));
	request_commit(&r, 13, false);
	proxy_text_expect(r.text, "status 2\n");
	fixture_close(&r);
}
END_TEST

/* A term that began without the commit may have reached its number. */
START_TEST(commit_is_not_confirmed_by_a_later_term)
{
	struct fixture r;

	fixture_open(&r);
	open_connections(&r);
	request_commit(&r, 12, true);
	reply_received(&r, 1, (struct log_pos){ 2, 14 });
	reply_received(&r, 2, (struct log_pos){ 1, 11 });
	ck_assert(!has_commit(&r, 12));
	fixture_close(&r);
}
END_TEST

START_TEST(commit_of_two_replicas_needs_both)
{
	struct fixture r;

	fixture_open(&r);
	primary_check_set_sync_replicas(r.pc, 2);
	open_connections(&r);
	request_commit(&r, 12, false);
	proxy_text_expect(r.text, "status 1\nstatus 2\n");
	reply_received(&r, 1, (struct log_pos){ 1, 12 });
	ck_assert(!has_commit(&r, 12));
	reply_received(&r, 2, (struct log_pos){ 1, 12 });
	ck_assert(has_commit(&r, 12));
	fixture_close(&r);
}
END_TEST

/*
 * Guards against lost commits: a replica that a change of primary has not
 * counted, or an earlier life of one that it has, confirmed a commit.
 */
START_TEST(only_a_voter_in_its_present_life_counts)
{
	struct voters voters = { { 0, 1 }, 0, 2, { { 1, 0 }, { 2, 5 } } };
	struct log_pos commit = { 1, 12 };
	struct fixture r;

	fixture_open(&r);
	open_connections(&r);
	request_commit(&r, 12, true);
	reply_received(&r, 1, commit);
	reply_received(&r, 2, commit);
	ck_assert_uint_eq(primary_check_received(r.pc, commit, NULL, r.now), 2);
	ck_assert_uint_eq(primary_check_received(r.pc, commit, &voters, r.now),
			  0);
	voters.list[1].started = 0;
	ck_assert_uint_eq(primary_check_received(r.pc, commit, &voters, r.now),
			  1);
	fixture_close(&r);
}
END_TEST

/*
 * Guards against lost commits: an owner with an old list of members confirms by
 * two voters. A monitor may have removed both, as in
 * failover_after_the_removal_of_two_voters of test_voters, and promotes another
 * voter with only the primary missing.
 */
START_TEST(voters_that_may_both_be_removed_confirm_nothing)
{
	struct voters voters = {
		{ 0, 1 },
		0,
		5,
		{ { 1, 0 }, { 2, 0 }, { 3, 0 }, { 4, 0 }, { 5, 0 } }
	};
	struct log_pos commit = { 1, 12 };
	struct service_state v = { .voters = voters, .committed = true };
	struct fixture r;

	fixture_open(&r);
	open_connections(&r);
	request_commit(&r, 12, true);
	reply_received(&r, 1, commit);
	reply_received(&r, 2, commit);
	v.members_current_at = r.now - 60 * HM_SEC;
	ck_assert(!primary_check_confirms(r.pc, commit, 0, &v, r.now));
	fixture_close(&r);
}
END_TEST

static void closed(struct fixture *r, uint64_t conn)
{
	primary_check_conn_closed(r->pc, conn, r->now, &r->out);
	record(r);
}

/* What an operator needs to see that a replica has started again. */
START_TEST(replica_whose_connection_ends_is_logged)
{
	struct fixture r;
	int i;

	fixture_open(&r);
	open_connections(&r);
	closed(&r, 1);
	proxy_text_expect(r.log, "event=replica_disconnected member=m2 "
				 "reason=closed received=1.9\n");
	for (i = 0; i < 5; i++) {
		request_commit(&r, 9, true); /* reconnects */
		ready(&r, r.next_conn);
		closed(&r, r.next_conn);
	}
	proxy_text_expect(r.log, "");
	request_commit(&r, 9, true);
	ready(&r, r.next_conn);
	request_commit(&r, 9, true);
	reply_received(&r, r.next_conn, (struct log_pos){ 1, 0 });
	proxy_text_expect(r.log, "event=replica_log_shrank member=m2 "
				 "received=1.0 before=1.9\n");
	fixture_close(&r);
}
END_TEST

START_TEST(silent_replica_is_logged)
{
	struct fixture r;

	fixture_open(&r);
	open_connections(&r);
	r.options.member_probe_limit = 200 * HM_MS;
	request_commit(&r, 9, false);
	tick(&r, 300 * HM_MS);
	proxy_text_expect(r.log, "event=replica_disconnected member=m2 "
				 "reason=silent received=1.9\n");
	fixture_close(&r);
}
END_TEST

/* Whether commit 1.@a pos may be acknowledged; all members are voters. */
static bool confirms(const struct fixture *r, uint64_t pos)
{
	struct service_state v = {
		.voters = { { 0, 1 }, 1, 3, { { 1, 0 }, { 2, 0 }, { 3, 0 } } },
		.committed = true,
		.members_current_at = r->now,
	};

	return primary_check_confirms(r->pc, (struct log_pos){ 1, pos }, 0, &v,
				      r->now);
}

static void members_read(struct fixture *r, hm_time read_at)
{
	primary_check_members_read(r->pc, read_at, &r->out);
	record(r);
}

/* Opens the connections, and the list shows the members' lives after that. */
static void open_known(struct fixture *r)
{
	fixture_open(r);
	open_connections(r);
	r->now += 5 * HM_SEC;
	members_read(r, r->now);
}

/* Breaks connection 1 to m2, which is reached again by connection 3. */
static void reconnect_m2(struct fixture *r)
{
	closed(r, 1);
	request_commit(r, 12, true);
	ready(r, 3);
	request_commit(r, 12, true);
}

/*
 * Guards against lost commits: a voter that a change of primary had paused
 * started again under its name with an empty log, not paused. It received all
 * from the primary that was being replaced, and its entry did not say yet that
 * it had started again. The owner counted it as the voter that it had been.
 */
START_TEST(voter_behind_a_new_connection_may_have_started_again)
{
	struct log_pos commit = { 1, 12 };
	struct fixture r;

	open_known(&r);
	reconnect_m2(&r);
	reply_received(&r, 3, commit);
	ck_assert(!confirms(&r, 12));
	ck_assert(confirms(&r, 9)); /* it showed that before */
	r.now += HM_SEC;
	members_read(&r, r.now);
	ck_assert(!confirms(&r, 12));
	/* The entry of its new life. */
	r.list[1].started = 1234;
	publish(&r);
	r.now += 4 * HM_SEC;
	members_read(&r, r.now);
	ck_assert(!confirms(&r, 12));
	fixture_close(&r);
}
END_TEST

/* The network broke the connection: the entry stays as it was. */
START_TEST(voter_behind_a_new_connection_counts_once_its_life_is_shown)
{
	struct log_pos commit = { 1, 12 };
	struct fixture r;

	open_known(&r);
	reconnect_m2(&r);
	reply_received(&r, 3, commit);
	ck_assert(!confirms(&r, 12));
	r.now += 4 * HM_SEC;
	g_string_truncate(r.log, 0);
	members_read(&r, r.now - 1);
	ck_assert(!confirms(&r, 12));
	proxy_text_expect(r.log, "");
	members_read(&r, r.now);
	ck_assert(confirms(&r, 12));
	proxy_text_expect(r.log, "event=replica_counts_again member=m2 "
				 "received=1.12\n");
	members_read(&r, r.now);
	proxy_text_expect(r.log, "");
	fixture_close(&r);
}
END_TEST

/* One of them may have started again, and the other one has the commit, too. */
START_TEST(two_voters_behind_new_connections_count_as_one)
{
	struct log_pos commit = { 1, 12 };
	struct fixture r;

	open_known(&r);
	closed(&r, 2);
	reconnect_m2(&r);
	ready(&r, 4);
	request_commit(&r, 12, true);
	reply_received(&r, 3, commit);
	ck_assert(!confirms(&r, 12));
	reply_received(&r, 4, commit);
	ck_assert(confirms(&r, 12));
	fixture_close(&r);
}
END_TEST

/* The same for an owner that starts while the list is old. */
START_TEST(voter_behind_a_first_connection_may_have_started_again)
{
	struct fixture r;
	bool confirmed;

	fixture_open(&r);
	open_connections(&r);
	request_commit(&r, 12, true);
	reply_received(&r, 1, (struct log_pos){ 1, 12 });
	confirmed = confirms(&r, 12);
	fixture_close(&r); /* it fails: see KNOWN-RED.txt */
	ck_assert(!confirmed);
}
END_TEST

/* All are asked at once while one alone confirms nothing. */
START_TEST(commit_is_asked_for_behind_a_known_connection)
{
	struct fixture r;

	open_known(&r);
	g_string_truncate(r.text, 0);
	request_commit(&r, 12, false);
	proxy_text_expect(r.text, "status 1\n");
	reply_received(&r, 1, (struct log_pos){ 1, 12 });
	ck_assert(confirms(&r, 12));
	reconnect_m2(&r);
	reply_received(&r, 3, (struct log_pos){ 1, 12 });
	reply_received(&r, 2, (struct log_pos){ 1, 12 });
	g_string_truncate(r.text, 0);
	request_commit(&r, 13, false);
	proxy_text_expect(r.text, "status 2\n");
	closed(&r, 2);
	begin(&r);
	ready(&r, 4);
	g_string_truncate(r.text, 0);
	request_commit(&r, 13, false);
	proxy_text_expect(r.text, "status 3\nstatus 4\n");
	fixture_close(&r);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("primary_check");

	tcase_add_test(tc, one_probe_serves_all_tickets_before_it);
	tcase_add_test(tc, later_term_supersedes_the_primary);
	tcase_add_test(tc, confirmation_by_received_log_counts_as_progress);
	tcase_add_test(tc, primary_of_an_older_term_does_not_count);
	tcase_add_test(tc, status_replaces_a_silent_member);
	tcase_add_test(tc, status_shows_the_received_term);
	tcase_add_test(tc, busy_member_is_probed_again);
	tcase_add_test(tc, isolated_check_fails_and_recovers);
	tcase_add_test(tc, replies_before_a_restart_do_not_count);
	tcase_add_test(tc, restarted_replica_alone_confirms_nothing);
	tcase_add_test(tc, unused_connections_are_closed);
	tcase_add_test(tc, check_switched_off_probes_nobody);
	tcase_add_test(tc, commit_is_confirmed_by_one_replica);
	tcase_add_test(tc, commit_is_asked_for_where_the_last_one_was);
	tcase_add_test(tc, commit_is_not_confirmed_by_a_later_term);
	tcase_add_test(tc, commit_of_two_replicas_needs_both);
	tcase_add_test(tc, only_a_voter_in_its_present_life_counts);
	tcase_add_test(tc, replica_whose_connection_ends_is_logged);
	tcase_add_test(tc, silent_replica_is_logged);
	tcase_add_test(tc,
		       voter_behind_a_new_connection_may_have_started_again);
	tcase_add_test(
		tc,
		voter_behind_a_new_connection_counts_once_its_life_is_shown);
	tcase_add_test(tc, two_voters_behind_new_connections_count_as_one);
	tcase_add_test(tc, commit_is_asked_for_behind_a_known_connection);
	tcase_add_test(tc,
		       voter_behind_a_first_connection_may_have_started_again);
	tcase_add_test(tc, voters_that_may_both_be_removed_confirm_nothing);
	return suite_run("primary_check", tc);
}
