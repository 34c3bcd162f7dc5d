/**
 * @file test_route_walk.c
 * Random walks of sessions whose route moves, is removed and changes its type
 * and accepted age, while replicas are behind and answers are late. No read may
 * miss a commit of its own session, or one older than the accepted age.
 *
 * ROUTE_WALKS=FIRST-LAST runs the walks of these seeds, and prints each that
 * breaks a rule.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../core/rng.h"
#include "route_fixture.h"
#include "suite.h"

#define WALKS 300
#define STEPS 400
#define CLIENTS 3

/* What a session was promised by the route that it began with. */
struct guarantee {
	enum consistency consistency;
	hm_time max_age;
	hm_time begun_at; /* when it, or its transaction, was sent */
};

struct walker {
	uint64_t client;
	uint32_t number; /* of its last request */
	bool connected;
	bool in_tx;
	bool read_only;
	struct guarantee guarantee; /* of the request, or of its transaction */
	/* Newest own commit that was acknowledged, by service. */
	uint64_t own[ROUTE_SERVICES];
	/* Own commit that was not acknowledged yet; 0: none. */
	uint64_t pending;
	uint32_t pending_service;
};

struct walk {
	struct route_fixture r;
	struct rng rng;
	struct walker walkers[CLIENTS];
	bool removed; /* the route */
	guint seen;   /* runs that were judged */
	uint32_t reads;
	uint32_t stale;
};

static bool chance(struct walk *w, uint32_t percent)
{
	return rng_below(&w->rng, 100) < percent;
}

static void judge_read(struct walk *w, const struct walker *s,
		       const struct route_run *run)
{
	const struct guarantee *g = &s->guarantee;
	uint64_t least = route_fixture_position(&w->r, run->service,
						g->begun_at - g->max_age - 1);

	if (g->consistency == CONSISTENT_SESSION &&
	    s->own[run->service] > least)
		least = s->own[run->service];
	w->reads++;
	w->stale += run->applied < least;
}

static void judge_run(struct walk *w, const struct route_run *run)
{
	unsigned int client, number;
	struct walker *s;
	char kind;

	if (run->lagging ||
	    sscanf(run->request, "%c%u-%u", &kind, &client, &number) != 3)
		return;
	s = &w->walkers[client];
	if (run->committed) {
		s->pending = run->committed;
		s->pending_service = run->service;
	}
	if (kind == 'r' && run->replica)
		judge_read(w, s, run);
}

static void take_answer(struct walk *w, struct walker *s)
{
	if (!w->r.answered[s->client])
		return;
	if (s->pending && !w->r.answers[s->client])
		s->own[s->pending_service] = s->pending;
	s->pending = 0;
}

/* Judges what has run since the last call. */
static void judge(struct walk *w)
{
	uint32_t i;

	for (; w->seen < w->r.runs->len; w->seen++)
		judge_run(w,
			  &g_array_index(w->r.runs, struct route_run, w->seen));
	for (i = 0; i < CLIENTS; i++)
		take_answer(w, &w->walkers[i]);
}

static void connect_again(struct walk *w, struct walker *s)
{
	uint64_t client = s->client;

	*s = (struct walker){ .client = client, .connected = true };
	route_fixture_connect(&w->r, client);
}

static void send(struct walk *w, struct walker *s, enum statement_op op)
{
	static const char kinds[STMT_OP_COUNT] = { [STMT_READ] = 'r' };
	char id[REQUEST_ID_BYTES];

	g_snprintf(id, sizeof(id), "%c%u-%u", kinds[op] ? kinds[op] : 'x',
		   (unsigned int)s->client, ++s->number);
	if (!s->in_tx)
		s->guarantee = (struct guarantee){ w->r.consistency,
						   w->r.max_age, w->r.now };
	route_fixture_request(&w->r, s->client, op, id, "item");
	if (op == STMT_BEGIN || op == STMT_BEGIN_READ) {
		s->in_tx = w->r.answered[s->client] && !w->r.answers[s->client];
		s->read_only = op == STMT_BEGIN_READ;
	} else if (op == STMT_COMMIT) {
		s->in_tx = false;
	}
}

static void request(struct walk *w)
{
	struct walker *s = &w->walkers[rng_below(&w->rng, CLIENTS)];

	if (!s->connected || w->r.ended[s->client]) {
		connect_again(w, s);
		return;
	}
	if (!w->r.answered[s->client])
		return;
	w->r.hold = chance(w, 20);
	if (s->in_tx)
		send(w, s,
		     chance(w, 40)		     ? STMT_COMMIT
		     : s->read_only || chance(w, 50) ? STMT_READ
						     : STMT_WRITE);
	else if (chance(w, 15))
		send(w, s, chance(w, 60) ? STMT_BEGIN_READ : STMT_BEGIN);
	else
		send(w, s, chance(w, 40) ? STMT_WRITE : STMT_READ);
	w->r.hold = false;
}

static void change_route(struct walk *w)
{
	static const hm_time ages_ms[] = { 500, 1500, 2500, 6000 };
	/* Few services most of the time, so that the route comes back. */
	uint32_t services = chance(w, 80) ? 3 : ROUTE_SERVICES;

	w->removed = chance(w, 10);
	if (w->removed)
		route_fixture_remove(&w->r);
	else
		route_fixture_move(
			&w->r, (uint32_t)rng_below(&w->rng, services),
			chance(w, 75) ? CONSISTENT_SESSION : CONSISTENT_BOUNDED,
			ages_ms[rng_below(&w->rng, G_N_ELEMENTS(ages_ms))] *
				HM_MS);
}

static void step(struct walk *w)
{
	uint64_t kind = rng_below(&w->rng, 100);

	if (kind < 60)
		request(w);
	else if (kind < 75)
		change_route(w);
	else if (kind < 80)
		w->r.services[rng_below(&w->rng, ROUTE_SERVICES)].lag =
			(hm_time)rng_below(&w->rng, 3000) * HM_MS;
	else if (kind < 90)
		route_fixture_answer(&w->r);
	else
		route_fixture_run(&w->r,
				  (hm_time)rng_below(&w->rng, 1500) * HM_MS);
	judge(w);
}

/* Runs one walk; adds its reads at replicas and returns the stale ones. */
static uint32_t run_walk(uint64_t seed, uint64_t *reads)
{
	struct walk w = { .rng = { .state = seed } };
	uint32_t i;

	route_fixture_open(&w.r);
	for (i = 0; i < CLIENTS; i++)
		w.walkers[i].client = i;
	for (i = 0; i < STEPS; i++)
		step(&w);
	route_fixture_answer(&w.r);
	judge(&w);
	route_fixture_close(&w.r);
	*reads += w.reads;
	return w.stale;
}

/* Guards against reads that miss a commit since their route has changed. */
START_TEST(no_read_misses_a_commit)
{
	uint64_t seed, reads = 0;

	for (seed = 1; seed <= WALKS; seed++)
		ck_assert_msg(!run_walk(seed, &reads), "seed %d", (int)seed);
	ck_assert_uint_gt(reads, 20 * WALKS);
}
END_TEST

START_TEST(range_of_walks)
{
	const char *range = getenv("ROUTE_WALKS");
	uint64_t seed, last, reads = 0, broken = 0;
	char *end;

	seed = g_ascii_strtoull(range, &end, 10);
	last = *end == '-' ? g_ascii_strtoull(end + 1, NULL, 10) : seed;
	for (; seed <= last; seed++) {
		uint32_t stale = run_walk(seed, &reads);

		if (!stale)
			continue;
		broken++;
		printf("seed %" G_GUINT64_FORMAT ": %u stale reads\n", seed,
		       stale);
	}
	printf("%" G_GUINT64_FORMAT
	       " walks with stale reads, %" G_GUINT64_FORMAT
	       " reads at replicas\n",
	       broken, reads);
	ck_assert_uint_eq(broken, 0);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("route walk");

	if (getenv("ROUTE_WALKS")) {
		tcase_set_timeout(tc, 0);
		tcase_add_test(tc, range_of_walks);
	} else {
		tcase_set_timeout(tc, 240);
		tcase_add_test(tc, no_read_misses_a_commit);
	}
	return suite_run("route walk", tc);
}
