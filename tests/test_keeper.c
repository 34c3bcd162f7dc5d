/**
 * @file test_keeper.c
 * The keeper of a service against members that answer as told: what its views
 * say, and when, whom and how it promotes. Runs are compared as text.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "../core/keeper.h"
#include "proxy_text.h"
#include "suite.h"

#define MEMBERS 3
#define QUESTIONS_MAX 256

/** A member of the service; its connection is silent while dark. */
struct fake {
	struct site_member spec;
	bool dead; /**< refuses connections */
	bool dark; /**< answers nothing */
	bool leads;
	bool fresh; /**< it leads, and has committed nothing in its term */
	uint64_t term;
	uint64_t pos;
	uint64_t held;
	uint64_t conn;
};

struct rig {
	struct proxy_options options;
	uint64_t next_conn;
	hm_time settled_at;
	struct keeper *keeper;
	struct fake fakes[MEMBERS];
	uint32_t count;
	struct proxy_output out;
	GString *text; /* holds, resumes, tokens and promotions */
	hm_time now;
	bool token_silent;
	uint64_t token;
	enum promote_outcome outcome;
	bool promote_silent;
};

static void publish(struct rig *r)
{
	struct site_members m = { .revision = 1 };
	struct site_member list[MEMBERS];
	uint32_t i;

	m.list = list;
	for (i = 0; i < r->count; i++)
		list[m.count++] = r->fakes[i].spec;
	keeper_members(r->keeper, &m, r->now, &r->out);
}

static void rig_open(struct rig *r)
{
	struct keeper_site site = { &r->options, &r->next_conn,
				    &r->settled_at };
	uint32_t i;

	memset(r, 0, sizeof(*r));
	proxy_options_default(&r->options);
	r->now = 100 * HM_SEC;
	r->keeper = keeper_new(5, site);
	r->text = g_string_new(NULL);
	r->count = MEMBERS;
	for (i = 0; i < MEMBERS; i++) {
		struct fake *f = &r->fakes[i];

		f->spec.endpoint = i + 1;
		f->spec.service = 5;
		g_snprintf(f->spec.name, NAME_BYTES, "m%u", i + 1);
		g_strlcpy(f->spec.service_name, "db", NAME_BYTES);
		f->term = 1;
		f->pos = 100;
	}
	r->fakes[0].leads = true;
	r->fakes[0].spec.says_primary = true;
	publish(r);
	keeper_start(r->keeper, r->now, &r->out);
}

static void rig_close(struct rig *r)
{
	keeper_stop(r->keeper, &r->out);
	keeper_free(r->keeper);
	proxy_output_free(&r->out);
	g_string_free(r->text, TRUE);
}

static struct fake *fake_named(struct rig *r, const char *name)
{
	uint32_t i;

	for (i = 0; i < MEMBERS; i++)
		if (!strcmp(r->fakes[i].spec.name, name))
			return &r->fakes[i];
	return NULL;
}

static struct fake *fake_of_conn(struct rig *r, uint64_t conn)
{
	uint32_t i;

	for (i = 0; i < MEMBERS; i++)
		if (r->fakes[i].conn == conn)
			return &r->fakes[i];
	return NULL;
}

static void answer(struct rig *r, struct fake *f,
		   const struct member_command *c)
{
	struct member_reply m = { .at = { f->term - f->fresh, f->pos } };

	if (c->kind == MEMBER_BEGIN && !f->leads)
		m.error = ERR_READ_ONLY;
	if (c->kind == MEMBER_HOLD)
		f->held = c->term;
	if (c->kind == MEMBER_RESUME)
		f->held = 0;
	if (c->kind == MEMBER_STEP_DOWN && f->term < c->term)
		f->leads = false;
	if (c->kind == MEMBER_STEP_DOWN || c->kind == MEMBER_STATUS ||
	    c->kind == MEMBER_HOLD || c->kind == MEMBER_RESUME) {
		m.has_status = true;
		m.status.primary = f->leads;
		m.status.term = f->term;
		m.status.received = m.at;
		m.status.held = f->held;
	}
	keeper_replied(r->keeper, f->conn, &m, r->now, &r->out);
}

static void connect_fake(struct rig *r, const struct proxy_action *a)
{
	struct fake *f = fake_named(r, a->member.endpoint);

	f->conn = a->member.conn;
	if (f->dark)
		return;
	if (f->dead) {
		f->conn = 0;
		keeper_closed(r->keeper, a->member.conn, ERR_NO_ENDPOINT,
			      r->now, &r->out);
		return;
	}
	keeper_ready(r->keeper, f->conn, r->now, &r->out);
}

static void run_command(struct rig *r, const struct proxy_action *a)
{
	struct fake *f = fake_of_conn(r, a->member.conn);
	enum member_command_kind kind = a->member.command.kind;

	if (f && kind == MEMBER_STEP_DOWN)
		g_string_append_printf(r->text,
				       "step_down %s %" G_GUINT64_FORMAT "\n",
				       f->spec.name, a->member.command.term);
	if (f && (kind == MEMBER_HOLD || kind == MEMBER_RESUME))
		g_string_append_printf(r->text, "%s %s\n",
				       kind == MEMBER_HOLD ? "hold" : "resume",
				       f->spec.name);
	if (f && !f->dark && !f->dead)
		answer(r, f, &a->member.command);
}

/* Performs what the keeper asked for until it asks for nothing more. */
static void perform(struct rig *r)
{
	struct proxy_output out;
	size_t i;

	while (r->out.count) {
		out = r->out;
		r->out = (struct proxy_output){ 0 };
		for (i = 0; i < out.count; i++) {
			const struct proxy_action *a = &out.list[i];

			if (a->kind == PROXY_CONNECT)
				connect_fake(r, a);
			else if (a->kind == PROXY_COMMAND)
				run_command(r, a);
			else if (a->kind == PROXY_TAKE_TOKEN &&
				 !r->token_silent)
				keeper_token(r->keeper, ++r->token, r->now,
					     &r->out);
			else if (a->kind == PROXY_PROMOTE) {
				g_string_append_printf(
					r->text,
					"promote %s token=%" G_GUINT64_FORMAT
					"\n",
					a->duty.endpoint, a->duty.token);
				if (!r->promote_silent)
					keeper_promoted(
						r->keeper, a->duty.token,
						r->outcome, r->now, &r->out);
			}
		}
		proxy_output_free(&out);
	}
}

static void run(struct rig *r, hm_time span)
{
	hm_time until = r->now + span;

	for (; r->now < until; r->now += PROXY_TICK) {
		keeper_tick(r->keeper, r->now, &r->out);
		perform(r);
	}
}

/* The promotion of a member is carried out. */
static void lead(struct rig *r, uint32_t index)
{
	uint32_t i;

	for (i = 0; i < MEMBERS; i++) {
		r->fakes[i].leads = i == index;
		r->fakes[i].held = 0;
		r->fakes[i].term = 2;
	}
}

static struct service_view last_view(struct rig *r)
{
	struct service_view v = { 0 };
	uint64_t to;

	while (keeper_next_view(r->keeper, &to, &v))
		;
	return v;
}

START_TEST(calm_service_is_only_watched)
{
	struct service_view v;
	struct rig r;

	rig_open(&r);
	run(&r, 10 * HM_SEC);
	proxy_text_expect(r.text, "");
	v = last_view(&r);
	ck_assert_uint_eq(v.primary, 1);
	ck_assert_uint_eq(v.count, MEMBERS);
	rig_close(&r);
}
END_TEST

START_TEST(sample_covers_what_came_before_the_want)
{
	struct service_view v;
	struct rig r;

	rig_open(&r);
	run(&r, HM_SEC);
	last_view(&r);
	/* A question is under way when the want comes. */
	r.fakes[0].dark = true;
	run(&r, 300 * HM_MS);
	keeper_want(r.keeper, 77, 4);
	r.fakes[0].dark = false;
	answer(&r, &r.fakes[0],
	       &(struct member_command){ .kind = MEMBER_BEGIN });
	v = last_view(&r);
	ck_assert_uint_eq(v.seq, 0); /* its answer may be older */
	answer(&r, &r.fakes[0],
	       &(struct member_command){ .kind = MEMBER_ROLLBACK });
	r.fakes[0].pos = 140;
	run(&r, 300 * HM_MS);
	v = last_view(&r);
	ck_assert_uint_eq(v.seq, 4);
	ck_assert_uint_eq(v.sample.pos, 140);
	rig_close(&r);
}
END_TEST

/* The promotion of m2 is carried out, and m1 goes on: two lead. */
static void lead_beside(struct rig *r)
{
	r->fakes[1].leads = true;
	r->fakes[1].term = 2;
	r->fakes[1].held = 0;
}

START_TEST(superseded_primary_is_told_until_it_stepped_down)
{
	struct rig r;

	rig_open(&r);
	run(&r, HM_SEC);
	lead_beside(&r);
	run(&r, 300 * HM_MS);
	ck_assert_uint_eq(last_view(&r).primary, 2);
	proxy_text_expect(r.text, "step_down m1 2\n");
	run(&r, HM_SEC);
	proxy_text_expect(r.text, "");
	r.fakes[0].leads = true; /* as if the order had been lost */
	run(&r, 500 * HM_MS);
	proxy_text_expect(r.text, "step_down m1 2\n");
	rig_close(&r);
}
END_TEST

/*
 * akb-utility trouble-1 at 37.8 s: the position of a new primary named the
 * term before until its first commit, and it was none for that time.
 */
START_TEST(new_primary_leads_before_its_first_commit)
{
	struct rig r;

	rig_open(&r);
	run(&r, HM_SEC);
	r.fakes[0].dead = true;
	keeper_closed(r.keeper, r.fakes[0].conn, ERR_NO_ENDPOINT, r.now,
		      &r.out);
	run(&r, 500 * HM_MS);
	proxy_text_expect(r.text, "hold m2\nhold m3\npromote m2 token=1\n");
	lead(&r, 1);
	r.fakes[1].fresh = true;
	run(&r, 400 * HM_MS);
	ck_assert_uint_eq(last_view(&r).primary, 2);
	keeper_want(r.keeper, 77, 4);
	run(&r, HM_SEC);
	ck_assert_uint_eq(last_view(&r).primary, 2);
	ck_assert_uint_eq(keeper_promotions(r.keeper), 1);
	ck_assert_ptr_null(strstr(r.text->str, "step_down"));
	rig_close(&r);
}
END_TEST

/*
 * The old primary leads for all that it can tell, and the new one is out of
 * reach: it counts as no primary, and its position is no sample.
 */
START_TEST(superseded_primary_is_none_while_the_new_one_is_silent)
{
	struct service_view v;
	struct rig r;

	rig_open(&r);
	run(&r, HM_SEC);
	lead_beside(&r);
	run(&r, 200 * HM_MS);
	r.fakes[0].leads = true;
	r.fakes[1].dark = true;
	run(&r, 2 * HM_SEC);
	last_view(&r);
	keeper_want(r.keeper, 77, 4);
	run(&r, 500 * HM_MS);
	v = last_view(&r);
	ck_assert_uint_eq(v.seq, 4);
	ck_assert_uint_eq(v.primary, 0);
	ck_assert_uint_eq(v.sample.term, 0);
	rig_close(&r);
}
END_TEST

/*
 * akb-utility: a zone's instances reach the old primary alone. What it holds
 * proves nothing of what another one has acknowledged since.
 */
START_TEST(position_of_a_primary_alone_is_no_sample)
{
	struct service_view v;
	struct rig r;

	rig_open(&r);
	run(&r, HM_SEC);
	r.fakes[1].dark = true;
	r.fakes[2].dark = true;
	run(&r, HM_SEC);
	last_view(&r);
	keeper_want(r.keeper, 77, 4);
	run(&r, 500 * HM_MS);
	v = last_view(&r);
	ck_assert_uint_eq(v.seq, 4);
	ck_assert_uint_eq(v.primary, 1);
	ck_assert_uint_eq(v.sample.term, 0);
	/* One replica's state is enough again. */
	r.fakes[2].dark = false;
	run(&r, HM_SEC);
	keeper_want(r.keeper, 77, 5);
	run(&r, 500 * HM_MS);
	v = last_view(&r);
	ck_assert_uint_eq(v.seq, 5);
	ck_assert_uint_eq(v.sample.pos, 100);
	rig_close(&r);
}
END_TEST

/*
 * The one replica that proves the samples starts again with an empty log under
 * its id: it does not know any more what it had received from whom.
 */
START_TEST(replica_that_started_again_proves_no_sample_alone)
{
	struct service_view v;
	struct rig r;

	rig_open(&r);
	r.fakes[2].dark = true;
	run(&r, 2 * HM_SEC);
	last_view(&r);
	keeper_want(r.keeper, 77, 4);
	run(&r, 300 * HM_MS);
	v = last_view(&r);
	ck_assert_uint_eq(v.sample.pos, 100);
	r.fakes[1].spec.started = 1234;
	publish(&r);
	run(&r, HM_SEC);
	last_view(&r);
	keeper_want(r.keeper, 77, 5);
	run(&r, 500 * HM_MS);
	v = last_view(&r);
	ck_assert_uint_eq(v.seq, 5);
	ck_assert_uint_eq(v.sample.term, 0);
	r.fakes[2].dark = false;
	run(&r, HM_SEC);
	keeper_want(r.keeper, 77, 6);
	run(&r, 500 * HM_MS);
	ck_assert_uint_eq(last_view(&r).sample.pos, 100);
	rig_close(&r);
}
END_TEST

START_TEST(furthest_replica_follows_a_crash)
{
	struct rig r;

	rig_open(&r);
	run(&r, HM_SEC);
	r.fakes[1].pos = 98;
	r.fakes[0].dead = true;
	keeper_closed(r.keeper, r.fakes[0].conn, ERR_NO_ENDPOINT, r.now,
		      &r.out);
	run(&r, 500 * HM_MS);
	proxy_text_expect(r.text, "hold m2\nhold m3\npromote m3 token=1\n");
	lead(&r, 2);
	run(&r, HM_SEC);
	ck_assert_uint_eq(keeper_promotions(r.keeper), 1);
	ck_assert_uint_eq(last_view(&r).primary, 3);
	rig_close(&r);
}
END_TEST

START_TEST(dark_primary_is_replaced_after_a_second_connection)
{
	struct rig r;

	rig_open(&r);
	run(&r, HM_SEC);
	r.fakes[0].dark = true;
	run(&r, 600 * HM_MS);
	proxy_text_expect(r.text, "");
	run(&r, 900 * HM_MS);
	ck_assert_ptr_nonnull(strstr(r.text->str, "promote m2 token=1\n"));
	rig_close(&r);
}
END_TEST

/* A replica out of reach may hold acknowledged commits that others lack. */
START_TEST(nobody_is_promoted_past_a_silent_replica)
{
	struct rig r;

	rig_open(&r);
	run(&r, HM_SEC);
	r.fakes[0].dead = true;
	r.fakes[2].dark = true;
	run(&r, 5 * HM_SEC);
	proxy_text_expect(r.text, "");
	r.fakes[2].dark = false;
	run(&r, 2 * HM_SEC);
	ck_assert_ptr_nonnull(strstr(r.text->str, "promote m2 token=1\n"));
	rig_close(&r);
}
END_TEST

/*
 * LOST, twinkle-pool trouble-3: after an outage of the store one replica of
 * three members was registered again, and was promoted.
 */
START_TEST(nobody_is_promoted_before_the_members_are_known)
{
	struct rig r;

	rig_open(&r);
	r.fakes[0].spec = r.fakes[2].spec; /* a replica alone */
	r.fakes[0].leads = false;
	r.count = 1;
	publish(&r);
	r.settled_at = r.now + 3 * HM_SEC;
	run(&r, 2900 * HM_MS);
	proxy_text_expect(r.text, "");
	rig_close(&r);
}
END_TEST

START_TEST(member_without_entry_counts_while_it_answers)
{
	struct rig r;

	rig_open(&r);
	run(&r, HM_SEC);
	r.fakes[2].pos = 120; /* has what m2 lacks */
	r.count = 2;
	publish(&r);
	r.fakes[0].dead = true;
	keeper_closed(r.keeper, r.fakes[0].conn, ERR_NO_ENDPOINT, r.now,
		      &r.out);
	run(&r, 500 * HM_MS);
	proxy_text_expect(r.text, "hold m2\nhold m3\npromote m3 token=1\n");
	rig_close(&r);
}
END_TEST

/*
 * LOST, twinkle-pool scale-2: a zone was cut off with the primary and the
 * replica that had just been replaced as primary. The two went on to
 * acknowledge commits; once their entries were gone, another was promoted.
 */
START_TEST(nobody_is_promoted_when_a_replica_left_with_the_primary)
{
	struct rig r;

	rig_open(&r);
	run(&r, HM_SEC);
	r.fakes[0].dark = true;
	r.fakes[1].dark = true;
	run(&r, 3 * HM_SEC);
	r.fakes[0].spec = r.fakes[2].spec;
	r.fakes[0].dark = false;
	r.fakes[0].leads = false;
	r.count = 1; /* m3 alone is registered */
	publish(&r);
	run(&r, 5 * HM_SEC);
	proxy_text_expect(r.text, "");
	rig_close(&r);
}
END_TEST

START_TEST(replica_that_left_before_counts_no_more)
{
	struct rig r;

	rig_open(&r);
	run(&r, HM_SEC);
	r.fakes[2].dead = true;
	r.count = 2;
	publish(&r);
	run(&r, 5 * HM_SEC); /* m2 has received what m1 had since */
	r.fakes[0].dead = true;
	run(&r, 2 * HM_SEC);
	ck_assert_ptr_nonnull(strstr(r.text->str, "promote m2 token=1\n"));
	rig_close(&r);
}
END_TEST

START_TEST(planned_change_waits_for_its_target)
{
	struct rig r;

	rig_open(&r);
	r.fakes[1].pos = 90;
	r.fakes[2].pos = 95;
	run(&r, HM_SEC);
	r.fakes[2].spec.leaving = true;
	r.fakes[0].spec.leaving = true;
	publish(&r);
	run(&r, 500 * HM_MS);
	proxy_text_expect(r.text, "hold m3\n");
	r.fakes[1].pos = 96;
	run(&r, 500 * HM_MS);
	proxy_text_expect(r.text, "promote m2 token=1\n");
	lead(&r, 1);
	run(&r, HM_SEC);
	proxy_text_expect(r.text, "resume m3\n");
	rig_close(&r);
}
END_TEST

/*
 * A call without an answer may be carried out seconds later. Until a newer
 * token has made that impossible, no replica may acknowledge a commit that
 * the target lacks.
 */
/*
 * primary_cut from the core, 6 s: a primary that the store alone does not
 * hear lost its entry, and its service 1.2 s of writes.
 */
START_TEST(primary_without_an_entry_is_replaced_while_it_serves)
{
	struct rig r;

	rig_open(&r);
	run(&r, HM_SEC);
	r.fakes[0].spec.missing_since = r.now;
	publish(&r);
	run(&r, 2 * HM_SEC);
	proxy_text_expect(r.text, "");
	run(&r, 500 * HM_MS);
	proxy_text_expect(r.text, "hold m3\npromote m2 token=1\n");
	lead(&r, 1);
	run(&r, HM_SEC);
	proxy_text_expect(r.text, "resume m3\n");
	rig_close(&r);
}
END_TEST

/* After an outage of the store all entries are late. */
START_TEST(member_without_an_entry_is_no_target)
{
	struct rig r;
	uint32_t i;

	rig_open(&r);
	run(&r, HM_SEC);
	for (i = 0; i < MEMBERS; i++)
		r.fakes[i].spec.missing_since = r.now;
	publish(&r);
	run(&r, 4 * HM_SEC);
	proxy_text_expect(r.text, "");
	rig_close(&r);
}
END_TEST

/*
 * twinkle-pool, primaries-zone-cut seed 31, LOST at 22.3 s: the keeper of a
 * zone that was cut off had promoted m2 and left m3 held. The next keeper
 * planned a change to m3, which received nothing, and took the member that
 * had led before for the primary: it was not held and let commits through.
 */
START_TEST(planned_change_takes_no_held_target)
{
	struct rig r;

	rig_open(&r);
	run(&r, HM_SEC);
	lead(&r, 1);
	r.fakes[0].pos = 90;
	run(&r, 3500 * HM_MS);
	r.fakes[2].held = 9;
	r.fakes[1].spec.leaving = true;
	publish(&r);
	/* m3 is further, and was not held when it was last asked. */
	run(&r, HM_SEC);
	proxy_text_expect(r.text, "hold m1\n");
	/* Given up: older calls are void before anything is resumed. */
	run(&r, 1200 * HM_MS);
	proxy_text_expect(r.text, "promote m2 token=2\nresume m1\nresume m3\n");
	ck_assert_uint_eq(r.fakes[2].held, 0);
	rig_close(&r);
}
END_TEST

/*
 * twinkle-pool, primaries-zone-cut --vary --seed 888509524187, LOST at 30.8 s:
 * a replica that left behind a cut had let commits through, and the primary
 * was replaced by one that had not caught up yet.
 */
START_TEST(planned_change_waits_for_what_a_silent_replica_had)
{
	struct rig r;

	rig_open(&r);
	run(&r, HM_SEC);
	r.fakes[2].dead = true;
	r.fakes[2].conn = 0;
	r.fakes[2].dark = true;
	run(&r, 2 * HM_SEC);
	r.fakes[1].pos = 95; /* m3 had all 100 of m1 */
	r.fakes[0].spec.leaving = true;
	publish(&r);
	run(&r, HM_SEC);
	proxy_text_expect(r.text, "");
	r.fakes[1].pos = 100;
	run(&r, 500 * HM_MS);
	proxy_text_expect(r.text, "promote m2 token=1\n");
	rig_close(&r);
}
END_TEST

START_TEST(planned_change_waits_while_its_target_is_held)
{
	struct rig r;

	rig_open(&r);
	run(&r, HM_SEC);
	r.fakes[1].held = 9;
	r.fakes[2].held = 9;
	run(&r, 3500 * HM_MS);
	r.fakes[0].spec.leaving = true;
	publish(&r);
	run(&r, HM_SEC);
	proxy_text_expect(r.text, "");
	rig_close(&r);
}
END_TEST

START_TEST(lost_call_keeps_replicas_held)
{
	struct rig r;

	rig_open(&r);
	run(&r, HM_SEC);
	r.fakes[0].dark = true;
	r.promote_silent = true;
	run(&r, 2 * HM_SEC);
	ck_assert_ptr_nonnull(strstr(r.text->str, "promote m2 token=1\n"));
	g_string_truncate(r.text, 0);
	r.fakes[0].dark = false; /* the primary is back, the call is open */
	run(&r, 2 * HM_SEC);
	ck_assert_ptr_null(strstr(r.text->str, "resume"));
	rig_close(&r);
}
END_TEST

START_TEST(hold_that_nobody_owns_is_voided_then_resumed)
{
	struct rig r;

	rig_open(&r);
	run(&r, HM_SEC);
	r.fakes[2].held = 9; /* by a keeper that is gone */
	run(&r, 8 * HM_SEC);
	/* The present primary: nothing changes, older calls are void. */
	proxy_text_expect(r.text, "promote m1 token=1\nresume m3\n");
	ck_assert_uint_eq(r.fakes[2].held, 0);
	rig_close(&r);
}
END_TEST

START_TEST(nothing_is_held_without_a_token)
{
	struct rig r;

	rig_open(&r);
	run(&r, HM_SEC);
	r.token_silent = true;
	r.fakes[0].dead = true;
	run(&r, 5 * HM_SEC);
	proxy_text_expect(r.text, "");
	rig_close(&r);
}
END_TEST

START_TEST(rejected_call_takes_a_new_token)
{
	struct rig r;

	rig_open(&r);
	run(&r, HM_SEC);
	r.outcome = PROMOTE_REJECTED;
	r.fakes[0].dead = true;
	keeper_closed(r.keeper, r.fakes[0].conn, ERR_NO_ENDPOINT, r.now,
		      &r.out);
	run(&r, 400 * HM_MS);
	proxy_text_expect(r.text, "hold m2\nhold m3\npromote m2 token=1\n");
	run(&r, 400 * HM_MS);
	ck_assert_ptr_nonnull(strstr(r.text->str, "promote m2 token=2\n"));
	rig_close(&r);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("keeper");

	tcase_add_test(tc, calm_service_is_only_watched);
	tcase_add_test(tc, sample_covers_what_came_before_the_want);
	tcase_add_test(tc, superseded_primary_is_told_until_it_stepped_down);
	tcase_add_test(tc, new_primary_leads_before_its_first_commit);
	tcase_add_test(tc,
		       superseded_primary_is_none_while_the_new_one_is_silent);
	tcase_add_test(tc, position_of_a_primary_alone_is_no_sample);
	tcase_add_test(tc, replica_that_started_again_proves_no_sample_alone);
	tcase_add_test(tc, furthest_replica_follows_a_crash);
	tcase_add_test(tc, dark_primary_is_replaced_after_a_second_connection);
	tcase_add_test(tc, nobody_is_promoted_past_a_silent_replica);
	tcase_add_test(tc, nobody_is_promoted_before_the_members_are_known);
	tcase_add_test(tc, member_without_entry_counts_while_it_answers);
	tcase_add_test(tc,
		       nobody_is_promoted_when_a_replica_left_with_the_primary);
	tcase_add_test(tc, replica_that_left_before_counts_no_more);
	tcase_add_test(tc, planned_change_waits_for_its_target);
	tcase_add_test(tc,
		       primary_without_an_entry_is_replaced_while_it_serves);
	tcase_add_test(tc, member_without_an_entry_is_no_target);
	tcase_add_test(tc, planned_change_takes_no_held_target);
	tcase_add_test(tc, planned_change_waits_for_what_a_silent_replica_had);
	tcase_add_test(tc, planned_change_waits_while_its_target_is_held);
	tcase_add_test(tc, lost_call_keeps_replicas_held);
	tcase_add_test(tc, hold_that_nobody_owns_is_voided_then_resumed);
	tcase_add_test(tc, nothing_is_held_without_a_token);
	tcase_add_test(tc, rejected_call_takes_a_new_token);
	return suite_run("keeper", tc);
}
