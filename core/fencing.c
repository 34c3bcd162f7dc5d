/** @file fencing.c Fencing tokens. */
#include "fencing.h"

/* Low bits of a token: the count within the era. */
#define COUNT_BITS 32
#define COUNT_MAX ((1ULL << COUNT_BITS) - 1)

uint64_t fencing_era(uint64_t token)
{
	return token >> COUNT_BITS;
}

uint64_t fencing_next(uint64_t newest, uint64_t era)
{
	uint64_t first = era << COUNT_BITS;

	if (newest < first)
		newest = first;
	if (fencing_era(newest) != era || (newest & COUNT_MAX) == COUNT_MAX)
		return 0;
	return newest + 1;
}

bool fencing_is_newest(uint64_t token, uint64_t newest, uint64_t era)
{
	return fencing_era(token) == era && newest <= token;
}
