/**
 * @file test_memlog.c
 * Random walks over the logs of a group: writes, replication and coordinators
 * that change the primary. Two properties must hold. Logs with a record of the
 * same term at the same position are equal up to there. A record is
 * acknowledged once a majority has confirmed it, each at a time when it had
 * promised no newer term; it must be in the log of every later primary.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "../core/rng.h"
#include "../standin/memlog.h"
#include "suite.h"

#define MEMBERS_MAX 5
#define COORDINATORS 3
#define WALKS 2000
#define STEPS 400

/* An instance that changes the primary; any delay may precede each step. */
struct coordinator {
	uint64_t term; /* term that it runs for, used once; 0: idle */
	bool fenced[MEMBERS_MAX];
	struct log_pos positions[MEMBERS_MAX];
	uint32_t chosen; /* member to promote, MEMBERS_MAX for none */
	bool promoted;
};

/* A committed record and the members that have confirmed it. */
struct write {
	/* the record; this struct holds one reference to it */
	struct memlog_record *record;
	bool confirmed[MEMBERS_MAX];
	bool acknowledged;
};

struct walk {
	struct rng rng;
	uint32_t members;
	struct memlog logs[MEMBERS_MAX];
	struct coordinator coordinators[COORDINATORS];
	GArray *writes; /* all commits, as struct write */
	uint32_t promotions;
	uint32_t acknowledged;
};

static uint32_t random_below(struct walk *w, uint32_t below)
{
	return (uint32_t)rng_below(&w->rng, below);
}

static uint32_t majority(const struct walk *w)
{
	return w->members / 2 + 1;
}

static struct memlog_record *last_record(const struct memlog *l)
{
	return l->records->pdata[l->records->len - 1];
}

static bool has_record(const struct memlog *l, const struct memlog_record *r)
{
	return l->records->len >= r->at.pos &&
	       l->records->pdata[r->at.pos - 1] == r;
}

static void step_write(struct walk *w)
{
	uint32_t m = random_below(w, w->members);
	struct write write = { 0 };

	if (!memlog_writable(&w->logs[m]))
		return;
	memlog_append(&w->logs[m], g_ptr_array_new(), 0);
	write.record = last_record(&w->logs[m]);
	write.record->refs++;
	write.confirmed[m] = true;
	g_array_append_val(w->writes, write);
}

static void step_replicate(struct walk *w)
{
	struct memlog *l = &w->logs[random_below(w, w->members)];
	const struct memlog *from;
	struct memlog_record *r;

	if (!l->following)
		return;
	from = &w->logs[l->following - 1];
	if (!memlog_accepts(l, from))
		return;
	memlog_rewind(l, from);
	r = memlog_next(l, from);
	if (r)
		memlog_append_record(l, r);
}

/* A primary has every acknowledged record of an older term. */
static void check_primary(const struct walk *w, const struct memlog *l)
{
	uint64_t term = memlog_last_pos(l).term;
	const struct write *write;
	uint32_t i;

	for (i = 0; i < w->writes->len; i++) {
		write = &g_array_index(w->writes, struct write, i);
		if (!write->acknowledged || write->record->at.term >= term)
			continue;
		ck_assert_msg(has_record(l, write->record),
			      "record %u/%u is lost",
			      (uint32_t)write->record->at.term,
			      (uint32_t)write->record->at.pos);
	}
}

static void check_primaries(const struct walk *w)
{
	uint32_t i;

	for (i = 0; i < w->members; i++)
		if (w->logs[i].role == ROLE_PRIMARY)
			check_primary(w, &w->logs[i]);
}

/*
 * Asks one member for a record. It confirms the record if its log contains it
 * and it has promised no newer term.
 */
static void step_confirm(struct walk *w)
{
	uint32_t m = random_below(w, w->members), i, count = 0;
	const struct memlog *l = &w->logs[m];
	struct write *write;

	if (!w->writes->len)
		return;
	write = &g_array_index(w->writes, struct write,
			       random_below(w, w->writes->len));
	if (l->promised <= write->record->at.term &&
	    has_record(l, write->record))
		write->confirmed[m] = true;
	for (i = 0; i < w->members; i++)
		count += write->confirmed[i];
	if (count < majority(w) || write->acknowledged)
		return;
	write->acknowledged = true;
	w->acknowledged++;
	check_primaries(w);
}

static void step_new_term(struct walk *w)
{
	uint32_t id = random_below(w, COORDINATORS), i, m;
	struct coordinator *o = &w->coordinators[id];
	uint64_t newest = o->term;

	memset(o, 0, sizeof(*o));
	o->chosen = MEMBERS_MAX;
	for (i = 0; i < w->members; i++) {
		m = random_below(w, w->members);
		newest = MAX(newest, w->logs[m].promised);
	}
	o->term = newest + 1;
}

static void choose(struct walk *w, struct coordinator *o)
{
	uint32_t i, count = 0, best = MEMBERS_MAX;

	for (i = 0; i < w->members; i++) {
		if (!o->fenced[i])
			continue;
		count++;
		if (best == MEMBERS_MAX ||
		    log_pos_compare(o->positions[i], o->positions[best]) > 0)
			best = i;
	}
	if (count >= majority(w))
		o->chosen = best;
}

static void step_fence(struct walk *w)
{
	uint32_t id = random_below(w, COORDINATORS),
		 m = random_below(w, w->members);
	struct coordinator *o = &w->coordinators[id];

	if (!o->term || o->chosen != MEMBERS_MAX)
		return;
	if (!memlog_fence(&w->logs[m], o->term, id + 1))
		return;
	o->fenced[m] = true;
	o->positions[m] = memlog_last_pos(&w->logs[m]);
	choose(w, o);
}

static void step_promote(struct walk *w)
{
	uint32_t id = random_below(w, COORDINATORS);
	struct coordinator *o = &w->coordinators[id];
	struct memlog *l;
	guint before;

	if (!o->term || o->chosen == MEMBERS_MAX)
		return;
	l = &w->logs[o->chosen];
	before = l->records->len;
	if (!memlog_promote(l, o->term, id + 1, 0))
		return;
	o->promoted = true;
	ck_assert_uint_le(l->records->len, before + 1);
	if (l->records->len == before)
		return;
	w->promotions++;
	check_primaries(w);
}

static void step_follow(struct walk *w)
{
	uint32_t id = random_below(w, COORDINATORS),
		 m = random_below(w, w->members);
	const struct coordinator *o = &w->coordinators[id];

	if (o->term && o->promoted && m != o->chosen)
		memlog_follow(&w->logs[m], o->term, id + 1, o->chosen + 1);
}

/* A new term is rare, so that most changes of the primary complete. */
static void step(struct walk *w)
{
	switch (random_below(w, 20)) {
	case 0:
		if (!random_below(w, 4))
			step_new_term(w);
		return;
	case 1:
	case 2:
		step_fence(w);
		return;
	case 3:
		step_promote(w);
		return;
	case 4:
	case 5:
		step_follow(w);
		return;
	case 6:
	case 7:
		step_write(w);
		return;
	case 8:
	case 9:
	case 10:
	case 11:
		step_confirm(w);
		return;
	default:
		step_replicate(w);
	}
}

/* Logs with a record of the same term at a position are equal up to there. */
static void check_pair(const struct memlog *a, const struct memlog *b)
{
	const struct memlog_record *r, *s;
	bool same = false;
	guint i = MIN(a->records->len, b->records->len);

	while (i-- > 0) {
		r = a->records->pdata[i];
		s = b->records->pdata[i];
		same |= r->at.term == s->at.term;
		ck_assert(!same || r == s);
	}
}

static void check_lineage(const struct memlog *l)
{
	const struct memlog_record *r;
	uint64_t term = 1;
	guint i, begins = 1;

	for (i = 0; i < l->records->len; i++) {
		r = l->records->pdata[i];
		if (r->at.term == term)
			continue;
		term = r->at.term;
		ck_assert_uint_eq(
			g_array_index(l->begin, struct log_pos, begins).term,
			term);
		ck_assert_uint_eq(
			g_array_index(l->begin, struct log_pos, begins).pos, i);
		begins++;
	}
	ck_assert_uint_eq(l->begin->len, begins);
}

static void check_logs(const struct walk *w)
{
	uint32_t i, k;

	for (i = 0; i < w->members; i++) {
		check_lineage(&w->logs[i]);
		for (k = 0; k < i; k++)
			check_pair(&w->logs[i], &w->logs[k]);
	}
}

static void walk_open(struct walk *w, uint32_t members, uint64_t seed)
{
	uint32_t i;

	memset(w, 0, sizeof(*w));
	w->rng.state = seed;
	w->members = members;
	w->writes = g_array_new(false, false, sizeof(struct write));
	for (i = 0; i < members; i++) {
		memlog_open(&w->logs[i]);
		w->logs[i].following = i ? 1 : 0;
	}
	w->logs[0].role = ROLE_PRIMARY;
}

static void walk_close(struct walk *w)
{
	uint32_t i;

	for (i = 0; i < w->writes->len; i++)
		memlog_record_unref(
			g_array_index(w->writes, struct write, i).record);
	for (i = 0; i < w->members; i++)
		memlog_close(&w->logs[i]);
	g_array_unref(w->writes);
}

static void run_walks(uint32_t members)
{
	struct walk w;
	uint32_t seed, i, promotions = 0, acknowledged = 0;

	for (seed = 1; seed <= WALKS; seed++) {
		walk_open(&w, members, seed);
		for (i = 0; i < STEPS; i++)
			step(&w);
		check_logs(&w);
		promotions += w.promotions;
		acknowledged += w.acknowledged;
		walk_close(&w);
	}
	/* Guards against walks that do not exercise promotions and commits. */
	ck_assert_uint_gt(promotions, WALKS);
	ck_assert_uint_gt(acknowledged, WALKS);
}

START_TEST(three_members)
{
	run_walks(3);
}
END_TEST

START_TEST(five_members)
{
	run_walks(5);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("walks");

	tcase_set_timeout(tc, 120);
	tcase_add_test(tc, three_members);
	tcase_add_test(tc, five_members);
	return suite_run("memlog", tc);
}
