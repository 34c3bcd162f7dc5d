/**
 * @file term_check.h
 * Whether the term of a primary was current: no later term had acknowledged a
 * commit. A superseded primary continues to reply until it is ordered to step
 * down, so its own replies confirm nothing; those of the other members do.
 */
#ifndef TERM_CHECK_H
#define TERM_CHECK_H

#include "types.h"

/**
 * What a member other than the primary last reported. The user of this module
 * numbers probes, status requests and restarts in one ascending sequence; 0
 * means none.
 */
struct term_report {
	uint64_t probed;	/**< last probe replied to */
	uint64_t applied_term;	/**< term of the log that it has applied */
	uint64_t status_probed; /**< last status request replied to */
	uint64_t received_term; /**< term of the log that it has received */
	uint64_t restarted; /**< number of its last restart in that sequence */
};

/** Whether one of the members has shown a later term than @a term. */
bool term_check_superseded(const struct term_report *others, uint32_t count,
			   uint64_t term);
/** Latest term that one of the members has applied or received. */
uint64_t term_check_newest(const struct term_report *others, uint32_t count);
/**
 * Number of the newest probe such that no term later than @a term had
 * acknowledged a commit when the probe was sent. A new primary shows its term
 * at once, so replies of all other members without a later term confirm
 * @a term. With @a sync each acknowledged commit was received by two members,
 * so statuses of all but one of the other members are enough. A restarted
 * member does not know what it had received before: its status counts only
 * after all others have replied to probes sent since the restart was seen.
 * @return 0 if @a term is not confirmed
 */
uint64_t term_check_current_since(const struct term_report *others,
				  uint32_t count, uint64_t term, bool sync);

#endif
