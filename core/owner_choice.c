/** @file owner_choice.c Weighted rendezvous hashing. */
#include "owner_choice.h"

#include <stdlib.h>
#include <string.h>

#include "grow.h"

/* Weight of the largest instance of a group. */
#define WEIGHT_FULL 4096u
/* A busy instance has its weight divided by this. */
#define BUSY_DIVISOR 4u
/* Smallest weight, so that a quarter of it is not 0. */
#define WEIGHT_MIN BUSY_DIVISOR
/* With so many large instances that are not busy, smaller ones own nothing. */
#define LARGE_NEEDED 2
/* Not computed yet. */
#define WEIGHT_UNKNOWN UINT32_MAX
/* Fractional bits of a logarithm. */
#define LOG_BITS 24
/* Scores are quotients scaled by this power of two. */
#define SCORE_SHIFT 40
/*
 * Remembered results. Deployments have about 300 keys and zones in use; each
 * statement asks for several.
 */
#define CACHE_BITS 9
#define CACHE_SIZE (1u << CACHE_BITS)

/** Weights are relative to the instances of the zone, or to all of them. */
enum scope { SCOPE_ZONE, SCOPE_ALL, SCOPE_COUNT };

struct candidate {
	struct owner_candidate is;
	uint32_t weight[SCOPE_COUNT]; /**< 0: owns nothing */
};

struct cached {
	hm_id key;
	uint64_t owner;
	uint64_t version; /**< of the candidates */
	uint16_t zone;
	bool anywhere;
};

struct owner_choice {
	struct candidate *list;
	uint32_t count;
	uint32_t capacity;
	uint64_t version;
	struct cached cache[CACHE_SIZE];
};

struct owner_choice *owner_choice_new(void)
{
	return calloc(1, sizeof(struct owner_choice));
}

void owner_choice_free(struct owner_choice *c)
{
	if (!c)
		return;
	free(c->list);
	free(c);
}

void owner_choice_begin(struct owner_choice *c, uint64_t version)
{
	c->count = 0;
	c->version = version;
}

uint64_t owner_choice_version(const struct owner_choice *c)
{
	return c->version;
}

void owner_choice_add(struct owner_choice *c, const struct owner_candidate *o)
{
	c->list = grow_list(c->list, c->count, &c->capacity, sizeof(*c->list));
	c->list[c->count++] =
		(struct candidate){ *o, { WEIGHT_UNKNOWN, WEIGHT_UNKNOWN } };
}

/** What the candidates that are weighed against each other have in common. */
struct group {
	enum scope scope;
	uint16_t zone;
	bool leaving;
	bool equal;	  /**< some capacity is not stated: all weights equal */
	bool ignore_link; /**< some link is not stated */
	uint32_t processor; /**< of the largest instance */
	uint32_t link;
	uint32_t largest; /**< weight, not reduced for those that are busy */
	uint32_t large;	  /**< not busy and at least half of that weight */
};

static bool in_group(const struct group *g, const struct candidate *m)
{
	return m->is.leaving == g->leaving &&
	       (g->scope == SCOPE_ALL || m->is.zone == g->zone);
}

static uint32_t share(uint32_t part, uint32_t whole)
{
	return (uint32_t)((uint64_t)part * WEIGHT_FULL / whole);
}

/* Weight by capacity alone. */
static uint32_t size_of(const struct group *g, const struct candidate *m)
{
	const struct capacity *k = &m->is.capacity;
	uint32_t size = share(k->processor_millis, g->processor);

	if (!g->ignore_link && share(k->link_mbit, g->link) < size)
		size = share(k->link_mbit, g->link);
	return size < WEIGHT_MIN ? WEIGHT_MIN : size;
}

static void find_largest(const struct owner_choice *c, struct group *g)
{
	uint32_t i;

	for (i = 0; i < c->count; i++) {
		const struct capacity *k = &c->list[i].is.capacity;

		if (!in_group(g, &c->list[i]))
			continue;
		g->equal |= !c->list[i].is.weighted || !k->processor_millis;
		g->ignore_link |= !k->link_mbit;
		if (k->processor_millis > g->processor)
			g->processor = k->processor_millis;
		if (k->link_mbit > g->link)
			g->link = k->link_mbit;
	}
}

static bool is_large(const struct group *g, uint32_t size)
{
	return size >= g->largest - g->largest / 2;
}

static void count_large(const struct owner_choice *c, struct group *g)
{
	uint32_t i;

	for (i = 0; i < c->count; i++)
		if (in_group(g, &c->list[i]) &&
		    size_of(g, &c->list[i]) > g->largest)
			g->largest = size_of(g, &c->list[i]);
	for (i = 0; i < c->count; i++)
		g->large += in_group(g, &c->list[i]) &&
			    !c->list[i].is.capacity.busy &&
			    is_large(g, size_of(g, &c->list[i]));
}

static uint32_t weight_of(const struct group *g, const struct candidate *m)
{
	uint32_t size;

	if (g->equal)
		return WEIGHT_FULL;
	size = size_of(g, m);
	if (g->large >= LARGE_NEEDED && !is_large(g, size))
		return 0;
	return m->is.capacity.busy ? size / BUSY_DIVISOR : size;
}

static void weigh_group(struct owner_choice *c, struct group g)
{
	uint32_t i;

	find_largest(c, &g);
	if (!g.equal)
		count_large(c, &g);
	for (i = 0; i < c->count; i++)
		if (in_group(&g, &c->list[i]))
			c->list[i].weight[g.scope] = weight_of(&g, &c->list[i]);
}

void owner_choice_end(struct owner_choice *c)
{
	uint32_t i, scope;

	for (i = 0; i < c->count; i++)
		for (scope = 0; scope < SCOPE_COUNT; scope++)
			if (c->list[i].weight[scope] == WEIGHT_UNKNOWN)
				weigh_group(
					c,
					(struct group){
						.scope = scope,
						.zone = c->list[i].is.zone,
						.leaving =
							c->list[i].is.leaving,
					});
}

/* Hash of a key and an instance, uniform over all numbers. */
static uint64_t rank(hm_id key, hm_id instance)
{
	uint64_t x = key ^ (instance * 0x9e3779b97f4a7c15ULL);

	x = (x ^ (x >> 33)) * 0xff51afd7ed558ccdULL;
	x = (x ^ (x >> 33)) * 0xc4ceb9fe1a85ec53ULL;
	return x ^ (x >> 33);
}

/*
 * -log2(hash / 2^64) with LOG_BITS fractional bits, at least 1. It never rises
 * with the hash, so that equal weights rank instances by their hash.
 */
static uint64_t minus_log2(uint64_t hash)
{
	uint32_t zeros = hash ? (uint32_t)__builtin_clzll(hash) : 63;
	/* 1 to 2, scaled by 2^31. */
	uint64_t x = (hash << zeros) >> 32;
	uint64_t fraction = 0;
	int i;

	for (i = 0; i < LOG_BITS; i++) {
		x = x * x >> 31;
		fraction <<= 1;
		if (x >> 32) {
			fraction |= 1;
			x >>= 1;
		}
	}
	return ((uint64_t)(zeros + 1) << LOG_BITS) - fraction;
}

/** The best candidate so far. */
struct search {
	hm_id key;
	uint16_t zone;
	enum scope scope;
	bool leaving;
	uint64_t incarnation;
	uint64_t rank;
	uint32_t weight;
};

static uint64_t score(uint32_t weight, uint64_t hash)
{
	return ((uint64_t)weight << SCORE_SHIFT) / minus_log2(hash);
}

/* Whether a candidate comes before the best one; of equal scores by hash. */
static bool is_better(const struct search *s, uint32_t weight, uint64_t hash)
{
	uint64_t a, b;

	if (!s->incarnation)
		return true;
	if (weight == s->weight)
		return hash > s->rank;
	a = score(weight, hash);
	b = score(s->weight, s->rank);
	return a != b ? a > b : hash > s->rank;
}

static uint64_t run_search(const struct owner_choice *c, struct search s)
{
	uint32_t i;

	for (i = 0; i < c->count; i++) {
		const struct candidate *m = &c->list[i];
		uint32_t weight = m->weight[s.scope];
		uint64_t hash;

		if (!weight || m->is.leaving != s.leaving)
			continue;
		if (s.scope == SCOPE_ZONE && m->is.zone != s.zone)
			continue;
		hash = rank(s.key, m->is.instance);
		if (!is_better(&s, weight, hash))
			continue;
		s.rank = hash;
		s.weight = weight;
		s.incarnation = m->is.incarnation;
	}
	return s.incarnation;
}

static uint64_t search_all(const struct owner_choice *c, hm_id key,
			   uint16_t zone, bool anywhere)
{
	struct search s = { .key = key, .zone = zone };
	uint64_t incarnation = 0;
	uint32_t step;

	for (step = 0; step < 4 && !incarnation; step++) {
		s.scope = step & 1 ? SCOPE_ALL : SCOPE_ZONE;
		s.leaving = step & 2;
		if (s.scope == SCOPE_ZONE || anywhere)
			incarnation = run_search(c, s);
	}
	return incarnation;
}

uint64_t owner_choice_find(struct owner_choice *c, hm_id key, uint16_t zone,
			   bool anywhere)
{
	uint64_t hash = rank(key, (uint64_t)zone * 2 + anywhere);
	struct cached *e = &c->cache[hash >> (64 - CACHE_BITS)];

	if (e->version == c->version && e->key == key && e->zone == zone &&
	    e->anywhere == anywhere)
		return e->owner;
	*e = (struct cached){ .key = key,
			      .owner = search_all(c, key, zone, anywhere),
			      .version = c->version,
			      .zone = zone,
			      .anywhere = anywhere };
	return e->owner;
}
