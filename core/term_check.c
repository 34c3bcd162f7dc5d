/** @file term_check.c Whether the term of a primary was current. */
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

/*
 * Number of the newest probe that every member has replied to, itself or a
 * later one.
 */
static uint64_t all_probed(const struct term_report *others, uint32_t count)
{
	uint64_t min = UINT64_MAX;
	uint32_t i;

	for (i = 0; i < count; i++)
		if (others[i].probed < min)
			min = others[i].probed;
	return min;
}

/*
 * Oldest of the last status requests that all members but one replied to; with
 * one member its own.
 */
static uint64_t statuses_probed(const struct term_report *others,
				uint32_t count, uint64_t by_probes)
{
	uint64_t min = UINT64_MAX, second = UINT64_MAX;
	uint32_t i;

	for (i = 0; i < count; i++) {
		bool log_unknown =
			others[i].restarted && by_probes <= others[i].restarted;
		uint64_t probed = log_unknown ? 0 : others[i].status_probed;

		if (probed < min) {
			second = min;
			min = probed;
		} else if (probed < second) {
			second = probed;
		}
	}
	return count > 1 ? second : min;
}

uint64_t term_check_current_since(const struct term_report *others,
				  uint32_t count, uint64_t term, bool sync)
{
	uint64_t by_probes, by_statuses;

	if (term_check_superseded(others, count, term))
		return 0;
	if (!count)
		return sync ? 0 : UINT64_MAX;
	by_probes = all_probed(others, count);
	by_statuses = sync ? statuses_probed(others, count, by_probes) : 0;
	return by_probes > by_statuses ? by_probes : by_statuses;
}
