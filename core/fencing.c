/** @file fencing.c Numbers of fencing tokens. */
#include "fencing.h"

/* Bits of the count; what is above them is the era. */
#define COUNT_BITS 32
#define COUNT_MOST ((1ULL << COUNT_BITS) - 1)

uint64_t fencing_era(uint64_t token)
{
	return token >> COUNT_BITS;
}

uint64_t fencing_next(uint64_t held, uint64_t era)
{
	uint64_t least = era << COUNT_BITS;

	if (held < least)
		held = least;
	if (fencing_era(held) != era || (held & COUNT_MOST) == COUNT_MOST)
		return 0;
	return held + 1;
}

bool fencing_is_newest(uint64_t token, uint64_t held, uint64_t era)
{
	return fencing_era(token) == era && held <= token;
}
