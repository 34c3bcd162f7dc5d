/**
 * @file term_check.h
 * Whether the term of a primary stood: no member of a later term had
 * acknowledged a commit. A superseded primary goes on to answer for as long
 * as nobody steps it down, so that it cannot prove this itself; the other
 * members can.
 */
#ifndef STANDING_H
#define STANDING_H

#include "types.h"

/** What a member other than the primary showed; orders are the asker's. */
struct term_report {
	uint64_t probed; /**< question that it answered last, 0 for none */
	uint64_t applied_term;	/**< of the log that it has applied */
	uint64_t status_probed; /**< the same for questions of its state */
	uint64_t received_term; /**< of the log that it has received */
	uint64_t restarted; /**< when its life was seen to change, 0: never */
};

/** Whether one of them has shown a later term than @a term. */
bool term_check_superseded(const struct term_report *others, uint32_t count,
			   uint64_t term);
/** Latest term that one of them has shown, applied or received. */
uint64_t term_check_newest(const struct term_report *others, uint32_t count);
/**
 * Newest question such that nothing of a term later than @a term had been
 * acknowledged when it was asked. A new primary shows its term at once, which
 * all others together disprove. With @a sync each acknowledged commit has been
 * received by two members, so that the states of all others but one do so too.
 * A member that has started again knows nothing of what it had received: its
 * state counts once all others have been asked since.
 * @return 0 without proof
 */
uint64_t term_check_current_since(const struct term_report *others,
				  uint32_t count, uint64_t term, bool sync);

#endif
