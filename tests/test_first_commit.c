/**
 * @file test_first_commit.c
 * The first commit of a service: from the moment when its owner acknowledges it,
 * the record of voters says that an empty log lacks something.
 */
#include <check.h>
#include <string.h>

#include "../core/primary_check.h"
#include "monitor_fixture.h"
#include "suite.h"

/* A commit that is not confirmed by then has an unknown outcome. */
#define CONFIRM_LIMIT (400 * HM_MS)

/* The owner of the primary m1. It reaches the replicas and gets all views. */
struct owner {
	struct proxy_options options;
	uint64_t next_conn;
	struct primary_check *check;
	struct service_state state;
	struct proxy_output out;
};

static void owner_open(struct owner *o, const struct monitor_fixture *r)
{
	struct primary_check_deps deps = { &o->options, &o->next_conn };
	struct site_member list[MONITOR_FIXTURE_MEMBERS];
	struct site_members m = { .list = list };

	memset(o, 0, sizeof(*o));
	proxy_options_default(&o->options);
	o->check = primary_check_new(r->fakes[0].spec.endpoint, deps);
	for (; m.count < MONITOR_FIXTURE_MEMBERS; m.count++)
		list[m.count] = r->fakes[m.count].spec;
	primary_check_set_members(o->check, &m, 5, &o->out);
}

static void owner_close(struct owner *o)
{
	primary_check_close(o->check, &o->out);
	primary_check_free(o->check);
	proxy_output_free(&o->out);
}

/* The replicas have received what the primary has. */
static void answer_owner(struct owner *o, const struct monitor_fixture *r)
{
	struct log_pos at = { r->fakes[0].term, r->fakes[0].pos };
	struct member_reply m = { .at = at, .has_status = true };
	struct proxy_output out;
	size_t i;

	m.status.term = at.term;
	m.status.received = at;
	while (o->out.count) {
		out = o->out;
		o->out = (struct proxy_output){ 0 };
		for (i = 0; i < out.count; i++) {
			const struct proxy_action *a = &out.list[i];
			uint64_t conn = a->member.conn;

			if (a->kind == PROXY_CONNECT)
				primary_check_conn_ready(o->check, conn, r->now,
							 &o->out);
			else if (a->kind == PROXY_COMMAND)
				primary_check_replied(o->check, conn, &m,
						      r->now, &o->out);
		}
		proxy_output_free(&out);
	}
}

static bool owner_acknowledges(struct owner *o, struct monitor_fixture *r)
{
	struct log_pos commit = { r->fakes[0].term, r->fakes[0].pos };
	struct service_view v;
	uint64_t to;

	while (monitor_next_view(r->monitor, &to, &v))
		view_update(&o->state, &v, r->now);
	o->state.members_current_at = r->now;
	primary_check_request_commit(o->check, commit, true, r->now, &o->out);
	answer_owner(o, r);
	primary_check_request_commit(o->check, commit, true, r->now, &o->out);
	answer_owner(o, r);
	return primary_check_confirms(o->check, commit, 1, &o->state, r->now);
}

/* Opens a service that has had no commit yet. */
static void open_unused(struct monitor_fixture *r, struct owner *o)
{
	uint32_t i;

	monitor_fixture_open(r);
	r->record.committed = false;
	for (i = 0; i < MONITOR_FIXTURE_MEMBERS; i++)
		r->fakes[i].pos = 0;
	monitor_fixture_run(r, HM_SEC);
	owner_open(o, r);
	owner_acknowledges(o, r); /* takes the views */
	ck_assert(voters_known(&o->state.voters));
}

static void close_both(struct monitor_fixture *r, struct owner *o)
{
	owner_close(o);
	monitor_fixture_close(r);
}

static void commit_once(struct monitor_fixture *r)
{
	uint32_t i;

	for (i = 0; i < MONITOR_FIXTURE_MEMBERS; i++)
		r->fakes[i].pos++;
}

/* Runs until the owner acknowledges; false if it does not in @a span. */
static bool run_until_acknowledged(struct monitor_fixture *r, struct owner *o,
				   hm_time span)
{
	hm_time until = r->now + span;

	while (!owner_acknowledges(o, r)) {
		if (r->now >= until)
			return false;
		monitor_fixture_run(r, PROXY_TICK);
	}
	return true;
}

/*
 * Guards against lost commits: an owner acknowledged the first commits, two of
 * three voters started again, the third was silent. The record did not say yet
 * that the service had a commit, so two empty logs counted as complete.
 */
START_TEST(empty_members_lack_the_first_acknowledged_commit)
{
	struct monitor_fixture r;
	struct owner o;

	open_unused(&r, &o);
	commit_once(&r);
	ck_assert(run_until_acknowledged(&r, &o, CONFIRM_LIMIT));
	r.fakes[0].writable = false;
	r.fakes[0].pos = 0;
	r.fakes[1].pos = 0;
	r.fakes[2].silent = true;
	monitor_fixture_restart(&r);
	monitor_fixture_run(&r, 10 * HM_SEC);
	ck_assert_ptr_null(strstr(r.text->str, "promote"));
	close_both(&r, &o);
}
END_TEST

/* The same while nobody writes the record: nothing is acknowledged. */
START_TEST(no_commit_is_acknowledged_before_the_record_says_so)
{
	struct monitor_fixture r;
	struct owner o;

	open_unused(&r, &o);
	r.record_silent = true;
	commit_once(&r);
	ck_assert(!run_until_acknowledged(&r, &o, 2 * HM_SEC));
	ck_assert(!r.record.committed);
	r.record_silent = false;
	ck_assert(run_until_acknowledged(&r, &o, 10 * HM_SEC));
	ck_assert(r.record.committed);
	close_both(&r, &o);
}
END_TEST

/*
 * Guards against first commits whose outcome is unknown: a member that had just
 * become a voter delayed the record of them by the pause between two calls, one
 * that was about to by the time in which members are collected.
 */
START_TEST(first_commit_beside_a_new_voter_is_acknowledged_in_time)
{
	hm_time after = 0;

	for (; after < 2 * HM_SEC; after += 2 * PROXY_TICK) {
		struct monitor_fixture r;
		struct owner o;

		open_unused(&r, &o);
		voter_record_remove(&r.record, 2);
		r.record.voters.at.revision++;
		monitor_fixture_restart(&r);
		monitor_fixture_run(&r, after);
		commit_once(&r);
		ck_assert(run_until_acknowledged(&r, &o, CONFIRM_LIMIT));
		close_both(&r, &o);
	}
}
END_TEST

/*
 * Guards against lost commits: the monitor that runs a change counted empty logs
 * as complete by the record that came with its token. Until the change has ended
 * nobody writes anything else.
 */
START_TEST(first_commit_waits_for_the_end_of_a_change)
{
	struct monitor_fixture r;
	struct owner o;

	open_unused(&r, &o);
	r.record.changing = true;
	r.record.token = r.token = 7;
	r.record.voters.at.revision++;
	monitor_fixture_restart(&r);
	commit_once(&r);
	ck_assert(!run_until_acknowledged(&r, &o, 4 * HM_SEC));
	ck_assert(!r.record.committed);
	ck_assert(run_until_acknowledged(&r, &o, 4 * HM_SEC));
	ck_assert(r.record.committed && !r.record.changing);
	proxy_text_expect(r.text, "promote m1 token=8\n");
	close_both(&r, &o);
}
END_TEST

/*
 * Guards against a failover that waits for statuses from before the first
 * commit, by which the replicas had lost their logs.
 */
START_TEST(primary_lost_after_the_first_commit_is_replaced)
{
	struct monitor_fixture r;
	struct owner o;

	open_unused(&r, &o);
	commit_once(&r);
	ck_assert(run_until_acknowledged(&r, &o, CONFIRM_LIMIT));
	monitor_fixture_run(&r, r.options.member_probe_every);
	monitor_fixture_crash(&r, 0);
	monitor_fixture_run(&r, HM_SEC);
	ck_assert_ptr_nonnull(strstr(r.text->str, "promote m2 token=1\n"));
	close_both(&r, &o);
}
END_TEST

/* A restored store has no record yet; that there were commits stays known. */
START_TEST(commits_are_acknowledged_until_a_new_era_has_a_record)
{
	struct monitor_fixture r;
	struct owner o;
	hm_time until;

	open_unused(&r, &o);
	commit_once(&r);
	ck_assert(run_until_acknowledged(&r, &o, CONFIRM_LIMIT));
	memset(&r.record, 0, sizeof(r.record));
	r.record.voters.at.era = r.store_era = 1;
	for (until = r.now + 5 * HM_SEC; r.now < until;) {
		monitor_fixture_run(&r, PROXY_TICK);
		ck_assert(owner_acknowledges(&o, &r));
	}
	ck_assert_uint_eq(o.state.voters.at.era, 1);
	ck_assert(r.record.committed);
	close_both(&r, &o);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("first_commit");

	tcase_add_test(tc, empty_members_lack_the_first_acknowledged_commit);
	tcase_add_test(tc, no_commit_is_acknowledged_before_the_record_says_so);
	tcase_add_test(tc,
		       first_commit_beside_a_new_voter_is_acknowledged_in_time);
	tcase_add_test(tc, first_commit_waits_for_the_end_of_a_change);
	tcase_add_test(tc, primary_lost_after_the_first_commit_is_replaced);
	tcase_add_test(tc,
		       commits_are_acknowledged_until_a_new_era_has_a_record);
	return suite_run("first_commit", tc);
}
