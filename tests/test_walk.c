/**
 * @file test_walk.c
 * Random walks, by seed, of the testbed: packets are delivered in any order,
 * lost and repeated, links are cut, proxies paused, members stopped, and
 * clients use any proxy. Every answer is checked.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "suite.h"
#include "testbed.h"

#define WALK_SEEDS 20000
#define WALK_STEPS 2500
/** Most walks until a violation must show that a guard is switched off. */
#define MUTANT_SEEDS 20000

static struct testbed walk_testbed;

static uint32_t pick(struct testbed *b, uint32_t limit)
{
	return (uint32_t)rng_below(&b->rng, limit);
}

static void random_packet(struct testbed *b)
{
	uint32_t i, what;

	if (!b->in_flight_count)
		return;
	i = pick(b, b->in_flight_count);
	what = pick(b, 50);
	if (what == 0)
		testbed_drop(b, i);
	else if (what == 1)
		testbed_repeat(b, i);
	else
		testbed_deliver(b, i);
}

static void random_time_step(struct testbed *b)
{
	testbed_advance(b, (hm_time)pick(b, pick(b, 40) ? 10000 : 300000));
	testbed_tick(b, pick(b, TESTBED_PROXIES));
}

static void random_statement(struct testbed *b)
{
	uint32_t session = pick(b, TESTBED_SESSIONS);
	uint32_t proxy = pick(b, TESTBED_PROXIES);

	switch (pick(b, 4)) {
	case 0:
	case 1:
		testbed_write(b, session, proxy);
		break;
	case 2:
		testbed_read(b, session, proxy, 0);
		break;
	default:
		testbed_read(b, session, proxy,
			     pick(b, 2) ? HM_SEC : HM_SEC / 5);
	}
}

static void random_replication(struct testbed *b)
{
	uint32_t i = pick(b, FAKE_MEMBERS);
	struct fake_member *m = &b->fakes.members[i];

	if (m->target &&
	    testbed_linked(b, TESTBED_PROXIES + i,
			   TESTBED_PROXIES +
				   (uint32_t)(m->target - fake_endpoint(0))))
		fake_replicate(&b->fakes, m, 1 + pick(b, 3));
}

/*
 * Cuts the links from the member in @a zone to the other members; with
 * @a proxy_too, all links of the zone's member and proxy to other zones.
 */
static void cut_zone(struct testbed *b, uint32_t zone, bool proxy_too)
{
	uint32_t i;

	for (i = 0; i < TESTBED_PROXIES; i++) {
		if (i == zone)
			continue;
		testbed_cut(b, TESTBED_PROXIES + zone, TESTBED_PROXIES + i,
			    true);
		if (!proxy_too)
			continue;
		testbed_cut(b, zone, i, true);
		testbed_cut(b, zone, TESTBED_PROXIES + i, true);
		testbed_cut(b, TESTBED_PROXIES + zone, i, true);
	}
}

static void heal(struct testbed *b)
{
	uint32_t i, j;

	for (i = 0; i < TESTBED_NODES; i++)
		for (j = 0; j < TESTBED_NODES; j++)
			b->cut[i][j] = false;
}

/*
 * Changes for one proxy whether a random member is leaving: proxies learn this
 * at different times.
 */
static void toggle_leaving(struct testbed *b, uint32_t proxy)
{
	struct group *g = b->proxies[proxy].group;
	struct database_spec spec = *group_database(g);
	uint32_t member = pick(b, FAKE_MEMBERS);

	spec.endpoints[member].leaving = !spec.endpoints[member].leaving;
	group_set_spec(g, &spec);
}

static void random_fault(struct testbed *b)
{
	uint32_t i = pick(b, TESTBED_PROXIES);

	switch (pick(b, 9)) {
	case 0:
		cut_zone(b, i, true);
		break;
	case 1:
		cut_zone(b, i, false);
		break;
	case 2:
		testbed_cut(b, pick(b, TESTBED_NODES), pick(b, TESTBED_NODES),
			    true);
		break;
	case 3:
	case 4:
		heal(b);
		break;
	case 5:
		b->fakes.members[i].down = !b->fakes.members[i].down;
		break;
	case 6:
		b->proxies[i].paused = !b->proxies[i].paused;
		break;
	case 7:
		toggle_leaving(b, i);
		break;
	default:
		testbed_take_ownership(b, i, pick(b, FAKE_MEMBERS));
	}
}

static void random_step(struct testbed *b)
{
	uint32_t what = pick(b, 256);

	if (what < 190)
		random_packet(b);
	else if (what < 222)
		random_time_step(b);
	else if (what < 233)
		random_statement(b);
	else if (what < 255)
		random_replication(b);
	else
		random_fault(b);
}

/* Lets all proxies receive a few reports of all members. */
static void exchange_all_packets(struct testbed *b)
{
	uint32_t round, i;

	for (round = 0; round < 3; round++) {
		testbed_advance(b, 20 * HM_MS);
		for (i = 0; i < TESTBED_PROXIES; i++)
			testbed_tick(b, i);
		while (b->in_flight_count)
			testbed_deliver(b, 0);
	}
}

/* Walks until WALK_STEPS or a violated rule; returns the number of steps. */
static uint32_t walk(struct testbed *b, uint64_t seed, uint32_t guards_off)
{
	uint32_t i;

	testbed_init(b, seed, guards_off, NULL);
	exchange_all_packets(b);
	for (i = 0; i < WALK_STEPS && !b->violation; i++)
		random_step(b);
	testbed_free(b);
	return i;
}

/* Sums over all walks; they show that the walks cover enough cases. */
struct totals {
	uint64_t acks;
	uint64_t acks_limited;
	uint64_t answered;
	uint64_t reads_replica;
	uint64_t lost;
	uint64_t unknown;
	uint64_t promotions;
};

static void add(struct totals *t, const struct testbed *b)
{
	t->acks += b->acks;
	t->acks_limited += b->acks_limited;
	t->answered += b->answered;
	t->reads_replica += b->reads_replica;
	t->lost += b->lost;
	t->unknown += b->unknown;
	t->promotions += b->promotions;
}

START_TEST(no_rule_is_broken)
{
	struct testbed *b = &walk_testbed;
	struct totals t = { 0 };
	uint64_t seed;

	for (seed = 1; seed <= WALK_SEEDS; seed++) {
		walk(b, seed, 0);
		ck_assert_msg(!b->violation, "seed %u: %s", (unsigned int)seed,
			      b->violation);
		add(&t, b);
	}
	printf("walk seeds=%u steps=%u acks=%lu limited=%lu answered=%lu "
	       "aged=%lu lost=%lu unknown=%lu promotions=%lu\n",
	       WALK_SEEDS, WALK_STEPS, t.acks, t.acks_limited, t.answered,
	       t.reads_replica, t.lost, t.unknown, t.promotions);
	ck_assert_uint_gt(t.acks, WALK_SEEDS / 10);
	ck_assert_uint_gt(t.acks_limited, WALK_SEEDS / 100);
	ck_assert_uint_gt(t.promotions, WALK_SEEDS / 10);
	ck_assert_uint_gt(t.lost, 0);
}
END_TEST

static const struct {
	enum guard guard;
	const char *name;
} mutants[] = {
	{ GUARD_FENCE, "fence" },     { GUARD_RECHECK, "recheck" },
	{ GUARD_LINEAGE, "lineage" }, { GUARD_CONFIRMATION, "evidence" },
	{ GUARD_DEDUP, "once" },
};

START_TEST(missing_guard_is_found)
{
	struct testbed *b = &walk_testbed;
	uint64_t seed;

	for (seed = 1; seed <= MUTANT_SEEDS; seed++) {
		walk(b, seed, mutants[_i].guard);
		if (b->violation)
			break;
	}
	ck_assert_msg(seed <= MUTANT_SEEDS,
		      "no violation found without guard %s", mutants[_i].name);
	printf("walk without=%s seed=%lu found=\"%s\"\n", mutants[_i].name,
	       seed, b->violation);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("walk");

	tcase_set_timeout(tc, 0);
	tcase_add_test(tc, no_rule_is_broken);
	tcase_add_loop_test(tc, missing_guard_is_found, 0,
			    sizeof(mutants) / sizeof(mutants[0]));
	return suite_run("walk", tc);
}
