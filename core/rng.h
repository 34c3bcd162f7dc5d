/**
 * @file rng.h
 * Seeded pseudo-random number generator (splitmix64) for jitter and tests.
 */
#ifndef RNG_H
#define RNG_H

#include <stdint.h>

struct rng {
	uint64_t state;
};

/** Returns 64 uniformly distributed bits. */
static inline uint64_t rng_next(struct rng *r)
{
	uint64_t z = (r->state += 0x9e3779b97f4a7c15ULL);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

/** Returns a uniform number below @a limit, which must not be 0. */
static inline uint64_t rng_below(struct rng *r, uint64_t limit)
{
	return rng_next(r) % limit;
}

#endif
