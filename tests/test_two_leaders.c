/**
 * @file test_two_leaders.c
 * Random walks over the members of one service, of which a replaced primary
 * goes on: commits, promotions, cuts, late appliers, and reads that the home
 * of a primary sends once a lead check has proved it. A read must not run on
 * a log that lacks what was acknowledged before it came. Whom keepers promote
 * they order with tokens of a store that comes back from older copies: none
 * is used by two, or after a newer one.
 */
#include <check.h>
#include <stdio.h>
#include <string.h>

#include "../core/lead_check.h"
#include "../core/rng.h"
#include "suite.h"
#include "token_walk.h"

#define WALKS 3000
#define STEPS 150
#define MEMBERS_MOST 4
#define COMMITS_MOST 60
#define SERVICE 5

/** A member; commits are bits of its log. */
struct member {
	uint64_t log;	/* received */
	uint64_t term;	/* of the log */
	uint64_t shown; /* term of what it has applied */
	uint64_t leads; /* term, 0: it follows */
	uint64_t obeys; /* receives from leaders of this term or later */
	bool linked;	/* with the home that reads */
	uint64_t conn;
	uint8_t probe_nonce[16]; /* commands without an answer */
	uint32_t asked_count;
};

struct walk {
	struct rng rng;
	struct token_walk tokens;
	struct proxy_options options;
	uint64_t next_conn;
	struct member members[MEMBERS_MOST];
	struct site_member list[MEMBERS_MOST];
	uint32_t count;
	uint64_t term;
	uint64_t commits; /* so far */
	uint64_t acked;
	bool cut[MEMBERS_MOST][MEMBERS_MOST];
	uint32_t reader; /* member whose home reads */
	struct lead_check *check;
	uint64_t ticket; /* of the read under way, 0: none */
	uint64_t must_have;
	uint64_t read_term;
	struct proxy_output out;
	hm_time now;
	uint32_t reads;
	uint32_t stale;
	uint32_t lost;
};

static uint32_t pick(struct walk *w, uint32_t n)
{
	return (uint32_t)rng_below(&w->rng, n);
}

static int bits(uint64_t log)
{
	return __builtin_popcountll(log);
}

/* The commit is acknowledged once another member has received it. */
static void commit(struct walk *w)
{
	struct member *m = &w->members[pick(w, w->count)];
	struct member *f = &w->members[pick(w, w->count)];
	uint64_t bit = 1ULL << w->commits;

	if (!m->leads || w->commits == COMMITS_MOST)
		return;
	w->commits++;
	m->log |= bit;
	m->term = m->shown = m->leads;
	if (f == m || f->obeys > m->leads ||
	    w->cut[m - w->members][f - w->members])
		return;
	f->leads = 0;
	f->obeys = m->leads;
	f->log = m->log;
	f->term = m->term;
	w->acked |= bit;
}

/*
 * The furthest of all that do not lead the newest term; the others are held.
 * A keeper promotes nobody before an earlier leader has stepped down.
 */
static void promote(struct walk *w)
{
	struct member *best = NULL;
	uint32_t i;

	for (i = 0; i < w->count; i++) {
		struct member *m = &w->members[i];

		if (m->leads == w->term)
			continue;
		m->leads = 0;
		if (!best || m->term > best->term ||
		    (m->term == best->term && bits(m->log) > bits(best->log)))
			best = m;
	}
	w->lost += (w->acked & ~best->log) != 0;
	w->term++;
	for (i = 0; i < w->count; i++)
		if (!w->members[i].leads)
			w->members[i].obeys = w->term;
	best->leads = best->obeys = w->term;
	best->shown = best->term; /* until its first commit */
}

static void keeper_goes_on(struct walk *w)
{
	if (token_walk_keeper(&w->tokens, &w->rng))
		promote(w);
}

static struct member *member_of_conn(struct walk *w, uint64_t conn)
{
	uint32_t i;

	for (i = 0; i < w->count; i++)
		if (conn && w->members[i].conn == conn)
			return &w->members[i];
	return NULL;
}

static void take_actions(struct walk *w)
{
	size_t i;

	for (i = 0; i < w->out.count; i++) {
		const struct proxy_action *a = &w->out.list[i];
		struct member *m = member_of_conn(w, a->member.conn);

		if (a->kind == PROXY_CONNECT) {
			m = &w->members[a->member.endpoint[1] - '1'];
			m->conn = a->member.conn;
			m->asked_count = 0;
		} else if (a->kind == PROXY_CLOSE_MEMBER && m) {
			m->conn = 0;
		} else if (a->kind == PROXY_COMMAND && m) {
			m->probe_nonce[m->asked_count++] =
				a->member.command.kind;
		}
	}
	proxy_output_clear(&w->out);
}

/* A member answers the oldest command, or takes the connection. */
static void answer(struct walk *w)
{
	struct member *m = &w->members[pick(w, w->count)];
	struct member_reply r = { .at = { m->shown, 1 } };
	uint8_t kind;

	if (!m->conn || !m->linked)
		return;
	if (!m->asked_count) {
		lead_check_ready(w->check, m->conn, w->now, &w->out);
		return;
	}
	kind = m->probe_nonce[0];
	memmove(m->probe_nonce, m->probe_nonce + 1, --m->asked_count);
	if (kind == MEMBER_BEGIN && !m->leads)
		r.error = ERR_READ_ONLY;
	if (kind == MEMBER_STATUS) {
		r.has_status = true;
		r.status.received.term = m->term;
	}
	lead_check_replied(w->check, m->conn, &r, w->now, &w->out);
}

static void read_begins(struct walk *w)
{
	struct member *m = &w->members[w->reader];

	if (w->ticket || !m->leads)
		return;
	w->ticket = lead_check_begin(w->check, w->now, &w->out);
	w->must_have = w->acked;
	w->read_term = m->shown;
	if (!w->ticket)
		w->ticket = UINT64_MAX; /* the guard is off */
}

/* Sent as soon as it is proved, to a member that still leads. */
static void read_goes_on(struct walk *w)
{
	const struct member *m = &w->members[w->reader];
	uint64_t ticket = w->ticket == UINT64_MAX ? 0 : w->ticket;

	if (!w->ticket)
		return;
	switch (lead_check_proof(w->check, ticket, w->read_term)) {
	case LEAD_OPEN:
		return;
	case LEAD_REFUTED:
		w->ticket = 0;
		return;
	case LEAD_PROVED:
		break;
	}
	w->ticket = 0;
	if (!m->leads)
		return;
	w->reads++;
	w->stale += (w->must_have & ~m->log) != 0;
}

static void cut_or_heal(struct walk *w)
{
	uint32_t a = pick(w, w->count), b = pick(w, w->count);

	if (a == b)
		w->members[a].linked = !w->members[a].linked;
	else
		w->cut[a][b] = w->cut[b][a] = !w->cut[a][b];
}

static void apply_log(struct walk *w)
{
	struct member *m = &w->members[pick(w, w->count)];

	m->shown = m->term;
}

static void step(struct walk *w)
{
	static void (*const steps[])(struct walk * w) = {
		commit,	     commit,	answer,	     answer,
		answer,	     answer,	answer,	     read_begins,
		read_begins, apply_log, cut_or_heal,
	};
	uint32_t n = sizeof(steps) / sizeof(steps[0]);

	if (!pick(w, 8))
		keeper_goes_on(w);
	else if (!pick(w, 30))
		token_walk_drill(&w->tokens, &w->rng);
	else
		steps[pick(w, n)](w);
	w->now += (hm_time)pick(w, 20) * HM_MS;
	lead_check_tick(w->check, w->now, &w->out);
	take_actions(w);
	read_goes_on(w);
}

static void walk_open(struct walk *w, uint64_t seed, uint32_t guards_off,
		      bool plain)
{
	struct lead_check_site site = { &w->options, &w->next_conn };
	struct site_members m = { .list = w->list };
	uint32_t i;

	memset(w, 0, sizeof(*w));
	w->rng.state = seed;
	w->tokens.plain = plain;
	proxy_options_default(&w->options);
	w->options.guards_off = guards_off;
	w->now = 100 * HM_SEC;
	w->term = 1;
	w->count = 3 + pick(w, 2); /* four while one is replaced */
	for (i = 0; i < w->count; i++) {
		w->members[i] = (struct member){
			.term = 1, .shown = 1, .obeys = 1, .linked = true
		};
		w->list[i].endpoint = i + 1;
		w->list[i].service = SERVICE;
		snprintf(w->list[i].name, NAME_BYTES, "m%u", i + 1);
	}
	w->members[0].leads = 1;
	m.count = w->count;
	w->check = lead_check_new(1, site);
	lead_check_members(w->check, &m, SERVICE, &w->out);
}

struct walked {
	uint32_t reads;
	uint32_t stale;
	uint32_t lost;
	uint32_t drills;
	uint32_t calls;
	uint32_t broken;
};

/* Adds up all walks. */
static struct walked walk_all(uint32_t guards_off, bool plain)
{
	struct walked sum = { 0 };
	uint64_t seed;
	struct walk w;
	int i;

	for (seed = 1; seed <= WALKS; seed++) {
		walk_open(&w, seed, guards_off, plain);
		for (i = 0; i < STEPS; i++)
			step(&w);
		lead_check_close(w.check, &w.out);
		lead_check_free(w.check);
		proxy_output_free(&w.out);
		sum.reads += w.reads;
		sum.stale += w.stale;
		sum.lost += w.lost;
		sum.drills += w.tokens.drills;
		sum.calls += w.tokens.calls;
		sum.broken += w.tokens.broken;
	}
	return sum;
}

START_TEST(proved_reads_miss_nothing)
{
	struct walked sum = walk_all(0, false);

	printf("proved: %u reads, %u stale\n", sum.reads, sum.stale);
	ck_assert_uint_eq(sum.lost, 0); /* the model itself */
	ck_assert_uint_gt(sum.reads, WALKS);
	ck_assert_uint_eq(sum.stale, 0);
}
END_TEST

START_TEST(reads_without_proof_do_miss)
{
	struct walked sum = walk_all(PROXY_GUARD_STANDING, false);

	printf("unproved: %u reads, %u stale\n", sum.reads, sum.stale);
	ck_assert_uint_gt(sum.stale, WALKS / 10);
}
END_TEST

START_TEST(tokens_hold_over_returns_of_the_store)
{
	struct walked sum = walk_all(0, false);

	printf("eras: %u drills, %u calls, %u broken\n", sum.drills, sum.calls,
	       sum.broken);
	ck_assert_uint_gt(sum.drills, WALKS);
	ck_assert_uint_gt(sum.calls, WALKS);
	ck_assert_uint_eq(sum.broken, 0);
}
END_TEST

START_TEST(tokens_without_an_era_are_used_twice)
{
	struct walked sum = walk_all(0, true);

	printf("plain: %u drills, %u calls, %u broken\n", sum.drills, sum.calls,
	       sum.broken);
	ck_assert_uint_gt(sum.broken, WALKS / 10);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("two_leaders");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, proved_reads_miss_nothing);
	tcase_add_test(tc, reads_without_proof_do_miss);
	tcase_add_test(tc, tokens_hold_over_returns_of_the_store);
	tcase_add_test(tc, tokens_without_an_era_are_used_twice);
	return suite_run("two_leaders", tc);
}
