/**
 * @file test_two_leaders.c
 * Random walks over the members of one service where a replaced primary
 * continues: commits, promotions, network cuts, replicas that apply late, and
 * reads that the owner of a primary sends after a primary check has confirmed
 * the term. A read must not run on a log that lacks a commit acknowledged
 * before the read arrived. Monitors promote with fencing tokens of a store that
 * is sometimes restored from older copies: no token may be used by two monitors
 * or after a newer one.
 */
#include <check.h>
#include <stdio.h>
#include <string.h>

#include "../core/primary_check.h"
#include "../core/rng.h"
#include "suite.h"
#include "token_walk.h"

#define WALKS 3000
#define STEPS 150
#define MEMBERS_MOST 4
#define COMMITS_MOST 60
#define SERVICE 5

/** A member; each bit of its log is a commit. */
struct member {
	uint64_t log;	       /* received commits */
	uint64_t term;	       /* term of the received log */
	uint64_t applied_term; /* term of the applied log */
	uint64_t primary_term; /* term under which it is primary, 0: replica */
	uint64_t min_term; /* receives from primaries of this term or later */
	bool linked;	   /* connected to the reading owner */
	uint64_t conn;
	uint8_t commands[16]; /* pending commands */
	uint32_t command_count;
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
	uint64_t commits; /* number of commits so far */
	uint64_t acked;
	bool cut[MEMBERS_MOST][MEMBERS_MOST];
	uint32_t reader; /* member whose owner reads */
	struct primary_check *check;
	uint64_t ticket; /* ticket of the pending read, 0: none */
	uint64_t acked_before;
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

/*
 * A random member, if it is a primary, commits. The commit is acknowledged if
 * another member receives it.
 */
static void commit(struct walk *w)
{
	struct member *m = &w->members[pick(w, w->count)];
	struct member *f = &w->members[pick(w, w->count)];
	uint64_t bit = 1ULL << w->commits;

	if (!m->primary_term || w->commits == COMMITS_MOST)
		return;
	w->commits++;
	m->log |= bit;
	m->term = m->applied_term = m->primary_term;
	if (f == m || f->min_term > m->primary_term ||
	    w->cut[m - w->members][f - w->members])
		return;
	f->primary_term = 0;
	f->min_term = m->primary_term;
	f->log = m->log;
	f->term = m->term;
	w->acked |= bit;
}

/*
 * Promotes the most advanced member that is not primary of the newest term; the
 * others are paused. The monitor promotes no member before an earlier primary
 * has stepped down.
 */
static void promote(struct walk *w)
{
	struct member *best = NULL;
	uint32_t i;

	for (i = 0; i < w->count; i++) {
		struct member *m = &w->members[i];

		if (m->primary_term == w->term)
			continue;
		m->primary_term = 0;
		if (!best || m->term > best->term ||
		    (m->term == best->term && bits(m->log) > bits(best->log)))
			best = m;
	}
	w->lost += (w->acked & ~best->log) != 0;
	w->term++;
	for (i = 0; i < w->count; i++)
		if (!w->members[i].primary_term)
			w->members[i].min_term = w->term;
	best->primary_term = best->min_term = w->term;
	best->applied_term = best->term; /* also before its first commit */
}

static void step_monitor(struct walk *w)
{
	if (token_walk_step(&w->tokens, &w->rng))
		promote(w);
}

static struct member *member_by_conn(struct walk *w, uint64_t conn)
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
		struct member *m = member_by_conn(w, a->member.conn);

		if (a->kind == PROXY_CONNECT) {
			m = &w->members[a->member.endpoint[1] - '1'];
			m->conn = a->member.conn;
			m->command_count = 0;
		} else if (a->kind == PROXY_CLOSE_MEMBER && m) {
			m->conn = 0;
		} else if (a->kind == PROXY_COMMAND && m) {
			m->commands[m->command_count++] =
				a->member.command.kind;
		}
	}
	proxy_output_clear(&w->out);
}

/* A random member replies to its oldest command or accepts the connection. */
static void reply(struct walk *w)
{
	struct member *m = &w->members[pick(w, w->count)];
	struct member_reply r = { .at = { m->applied_term, 1 } };
	uint8_t kind;

	if (!m->conn || !m->linked)
		return;
	if (!m->command_count) {
		primary_check_conn_ready(w->check, m->conn, w->now, &w->out);
		return;
	}
	kind = m->commands[0];
	memmove(m->commands, m->commands + 1, --m->command_count);
	if (kind == MEMBER_BEGIN && !m->primary_term)
		r.error = ERR_READ_ONLY;
	if (kind == MEMBER_STATUS) {
		r.has_status = true;
		r.status.received.term = m->term;
	}
	primary_check_replied(w->check, m->conn, &r, w->now, &w->out);
}

static void begin_read(struct walk *w)
{
	struct member *m = &w->members[w->reader];

	if (w->ticket || !m->primary_term)
		return;
	w->ticket = primary_check_begin(w->check, w->now, &w->out);
	w->acked_before = w->acked;
	w->read_term = m->applied_term;
	if (!w->ticket)
		w->ticket = UINT64_MAX; /* the primary check is switched off */
}

/* Sends the read once confirmed, if the member is still primary. */
static void continue_read(struct walk *w)
{
	const struct member *m = &w->members[w->reader];
	uint64_t ticket = w->ticket == UINT64_MAX ? 0 : w->ticket;

	if (!w->ticket)
		return;
	switch (primary_check_status(w->check, ticket, w->read_term)) {
	case TERM_PENDING:
		return;
	case TERM_SUPERSEDED:
		w->ticket = 0;
		return;
	case TERM_CONFIRMED:
		break;
	}
	w->ticket = 0;
	if (!m->primary_term)
		return;
	w->reads++;
	w->stale += (w->acked_before & ~m->log) != 0;
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

	m->applied_term = m->term;
}

static void step(struct walk *w)
{
	static void (*const steps[])(struct walk * w) = {
		commit, commit,	    reply,	reply,	   reply,	reply,
		reply,	begin_read, begin_read, apply_log, cut_or_heal,
	};
	uint32_t n = sizeof(steps) / sizeof(steps[0]);

	if (!pick(w, 8))
		step_monitor(w);
	else if (!pick(w, 30))
		token_walk_restore(&w->tokens, &w->rng);
	else
		steps[pick(w, n)](w);
	w->now += (hm_time)pick(w, 20) * HM_MS;
	primary_check_tick(w->check, w->now, &w->out);
	take_actions(w);
	continue_read(w);
}

static void walk_open(struct walk *w, uint64_t seed, uint32_t guards_off,
		      bool no_era)
{
	struct primary_check_deps deps = { &w->options, &w->next_conn };
	struct site_members m = { .list = w->list };
	uint32_t i;

	memset(w, 0, sizeof(*w));
	w->rng.state = seed;
	w->tokens.no_era = no_era;
	proxy_options_default(&w->options);
	w->options.guards_off = guards_off;
	w->now = 100 * HM_SEC;
	w->term = 1;
	w->count = 3 + pick(w, 2); /* four while one member is being replaced */
	for (i = 0; i < w->count; i++) {
		w->members[i] = (struct member){ .term = 1,
						 .applied_term = 1,
						 .min_term = 1,
						 .linked = true };
		w->list[i].endpoint = i + 1;
		w->list[i].service = SERVICE;
		snprintf(w->list[i].name, NAME_BYTES, "m%u", i + 1);
	}
	w->members[0].primary_term = 1;
	m.count = w->count;
	w->check = primary_check_new(1, deps);
	primary_check_set_members(w->check, &m, SERVICE, &w->out);
}

struct walk_totals {
	uint32_t reads;
	uint32_t stale;
	uint32_t lost;
	uint32_t restores;
	uint32_t calls;
	uint32_t broken;
};

/* Runs all walks and adds up their counts. */
static struct walk_totals walk_all(uint32_t guards_off, bool no_era)
{
	struct walk_totals sum = { 0 };
	uint64_t seed;
	struct walk w;
	int i;

	for (seed = 1; seed <= WALKS; seed++) {
		walk_open(&w, seed, guards_off, no_era);
		for (i = 0; i < STEPS; i++)
			step(&w);
		primary_check_close(w.check, &w.out);
		primary_check_free(w.check);
		proxy_output_free(&w.out);
		sum.reads += w.reads;
		sum.stale += w.stale;
		sum.lost += w.lost;
		sum.restores += w.tokens.restores;
		sum.calls += w.tokens.calls;
		sum.broken += w.tokens.broken;
	}
	return sum;
}

START_TEST(confirmed_reads_are_not_stale)
{
	struct walk_totals sum = walk_all(0, false);

	printf("confirmed: %u reads, %u stale\n", sum.reads, sum.stale);
	ck_assert_uint_eq(sum.lost, 0); /* else the model itself is wrong */
	ck_assert_uint_gt(sum.reads, WALKS);
	ck_assert_uint_eq(sum.stale, 0);
}
END_TEST

START_TEST(unconfirmed_reads_are_stale)
{
	struct walk_totals sum = walk_all(PROXY_GUARD_SUPERSEDED, false);

	printf("unconfirmed: %u reads, %u stale\n", sum.reads, sum.stale);
	ck_assert_uint_gt(sum.stale, WALKS / 10);
}
END_TEST

START_TEST(tokens_are_unique_across_restores)
{
	struct walk_totals sum = walk_all(0, false);

	printf("eras: %u restores, %u calls, %u broken\n", sum.restores,
	       sum.calls, sum.broken);
	ck_assert_uint_gt(sum.restores, WALKS);
	ck_assert_uint_gt(sum.calls, WALKS);
	ck_assert_uint_eq(sum.broken, 0);
}
END_TEST

START_TEST(tokens_without_an_era_are_not_unique)
{
	struct walk_totals sum = walk_all(0, true);

	printf("no era: %u restores, %u calls, %u broken\n", sum.restores,
	       sum.calls, sum.broken);
	ck_assert_uint_gt(sum.broken, WALKS / 10);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("two_leaders");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, confirmed_reads_are_not_stale);
	tcase_add_test(tc, unconfirmed_reads_are_stale);
	tcase_add_test(tc, tokens_are_unique_across_restores);
	tcase_add_test(tc, tokens_without_an_era_are_not_unique);
	return suite_run("two_leaders", tc);
}
