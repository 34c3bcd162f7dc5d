/** @file term_check.c Whether the term of a primary stood. */
#include "term_check.h"

bool term_check_superseded(const struct term_report *others, uint32_t count,
			   uint64_t term)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		if ((others[i].probed && others[i].applied_term > term) ||
		    (others[i].status_probed && others[i].received_term > term))
			return true;
	return false;
}

uint64_t term_check_newest(const struct term_report *others, uint32_t count)
{
	uint64_t newest = 0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (others[i].applied_term > newest)
			newest = others[i].applied_term;
		if (others[i].received_term > newest)
			newest = others[i].received_term;
	}
	return newest;
}

/* Since when each of them was asked whether it leads. */
static uint64_t all_probed(const struct term_report *others, uint32_t count)
{
	uint64_t least = UINT64_MAX;
	uint32_t i;

	for (i = 0; i < count; i++)
		if (others[i].probed < least)
			least = others[i].probed;
	return least;
}

/* Since when all but one were asked what they have received. */
static uint64_t statuses_probed(const struct term_report *others,
				uint32_t count, uint64_t by_all)
{
	uint64_t least = UINT64_MAX, second = UINT64_MAX;
	uint32_t i;

	for (i = 0; i < count; i++) {
		bool forgot =
			others[i].restarted && by_all <= others[i].restarted;
		uint64_t probed = forgot ? 0 : others[i].status_probed;

		if (probed < least) {
			second = least;
			least = probed;
		} else if (probed < second) {
			second = probed;
		}
	}
	return count > 1 ? second : least;
}

uint64_t term_check_current_since(const struct term_report *others,
				  uint32_t count, uint64_t term, bool sync)
{
	uint64_t by_all, by_states;

	if (term_check_superseded(others, count, term))
		return 0;
	if (!count)
		return sync ? 0 : UINT64_MAX;
	by_all = all_probed(others, count);
	by_states = sync ? statuses_probed(others, count, by_all) : 0;
	return by_all > by_states ? by_all : by_states;
}
