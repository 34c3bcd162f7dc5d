/** @file lineage.c Compares log positions of different terms. */
#include "lineage.h"

#define NOT_FOUND UINT32_MAX

static uint32_t find_term(const struct lineage *l, uint64_t term)
{
	uint32_t i;

	for (i = 0; i < l->count; i++)
		if (l->begin[i].term == term)
			return i;
	return NOT_FOUND;
}

/* Last position of the term at index i that belongs to the lineage. */
static uint64_t term_end(const struct lineage *l, uint32_t i)
{
	return i + 1 < l->count ? l->begin[i + 1].pos : UINT64_MAX;
}

uint64_t lineage_term(const struct lineage *l)
{
	return l->count ? l->begin[l->count - 1].term : 0;
}

uint64_t lineage_term_at(const struct lineage *l, uint64_t pos)
{
	uint64_t term = 0;
	uint32_t i;

	for (i = 0; i < l->count; i++)
		if (!i || l->begin[i].pos <= pos)
			term = l->begin[i].term;
	return term;
}

bool lineage_contains(const struct lineage *l, struct log_pos at)
{
	uint32_t i = find_term(l, at.term);

	return i != NOT_FOUND && at.pos <= term_end(l, i);
}

enum reach lineage_reach(const struct lineage *lineage, struct log_pos have,
			 struct log_pos want)
{
	if (!want.term)
		return REACH_OK;
	if (want.term > lineage_term(lineage))
		return REACH_BEHIND;
	if (!lineage_contains(lineage, want))
		return REACH_LOST;
	return have.pos >= want.pos ? REACH_OK : REACH_BEHIND;
}

struct log_pos lineage_common_end(const struct lineage *l, struct log_pos end)
{
	struct log_pos common = { 0 };
	uint32_t i;

	for (i = 0; i < l->count && l->begin[i].term <= end.term; i++) {
		common.term = l->begin[i].term;
		common.pos = term_end(l, i);
	}
	if (common.pos > end.pos)
		common.pos = end.pos;
	return common;
}
