/** @file standing.c Whether the term of a primary stood. */
#include "standing.h"

bool standing_is_over(const struct standing_answer *others, uint32_t count,
		      uint64_t term)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		if ((others[i].asked && others[i].term > term) ||
		    (others[i].state_asked && others[i].received_term > term))
			return true;
	return false;
}

uint64_t standing_newest(const struct standing_answer *others, uint32_t count)
{
	uint64_t newest = 0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (others[i].term > newest)
			newest = others[i].term;
		if (others[i].received_term > newest)
			newest = others[i].received_term;
	}
	return newest;
}

/* Since when each of them was asked whether it leads. */
static uint64_t all_asked(const struct standing_answer *others, uint32_t count)
{
	uint64_t least = UINT64_MAX;
	uint32_t i;

	for (i = 0; i < count; i++)
		if (others[i].asked < least)
			least = others[i].asked;
	return least;
}

/* Since when all but one were asked what they have received. */
static uint64_t states_asked(const struct standing_answer *others,
			     uint32_t count, uint64_t by_all)
{
	uint64_t least = UINT64_MAX, second = UINT64_MAX;
	uint32_t i;

	for (i = 0; i < count; i++) {
		bool forgot = others[i].reborn && by_all <= others[i].reborn;
		uint64_t asked = forgot ? 0 : others[i].state_asked;

		if (asked < least) {
			second = least;
			least = asked;
		} else if (asked < second) {
			second = asked;
		}
	}
	return count > 1 ? second : least;
}

uint64_t standing_since(const struct standing_answer *others, uint32_t count,
			uint64_t term, bool sync)
{
	uint64_t by_all, by_states;

	if (standing_is_over(others, count, term))
		return 0;
	if (!count)
		return sync ? 0 : UINT64_MAX;
	by_all = all_asked(others, count);
	by_states = sync ? states_asked(others, count, by_all) : 0;
	return by_all > by_states ? by_all : by_states;
}
