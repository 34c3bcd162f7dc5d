/**
 * @file verify_state.h
 * Internals of the verification of results, shared by verify*.c only.
 */
#ifndef VERIFY_STATE_H
#define VERIFY_STATE_H

#include "quorum.h"
#include "verify.h"

enum verdict {
	VERDICT_WAIT,
	VERDICT_OK,
	VERDICT_RETRY,
	VERDICT_FLOOR_LOST,
	VERDICT_UNKNOWN
};

/** A result that waits for its check. */
struct pending {
	struct executor_result ended;
	hm_time added_at;
	bool probed; /**< a round was sent after this result was added */
	const struct rule *rule;
	hm_time age;
	hm_time valid_until;
	uint64_t confirmed_term;
};

struct verify {
	const struct core_options *options;
	struct group *group;
	struct quorum quorum;
	hm_time started_at; /**< since when this instance owns the primary */
	struct pending *pending;
	uint32_t pending_count;
	uint32_t pending_capacity;
	struct verified *ready;
	uint32_t ready_first;
	uint32_t ready_count;
	uint32_t ready_capacity;
};

/** How the results of one kind of statement are checked. */
struct rule {
	enum verdict (*check)(const struct verify *v, struct pending *w,
			      hm_time now);
	bool sets_position; /**< the result carries the log position */
};

/** Whether the statement of a result ran inside a transaction. */
bool verify_in_transaction(const struct pending *w);
/** Verdict by whether the log of the statement contains the session floor. */
enum verdict verify_check_floor(const struct verify *v,
				const struct pending *w);
/** How the result of a statement is checked. */
const struct rule *verify_rule(const struct statement *s);
/** How a commit is checked once more that was answered before. */
extern const struct rule verify_rule_reconfirm;

#endif
