/**
 * @file load_level.h
 * Load levels of one member, as known at one instance. Each result of the
 * member's owner states how long a new statement of each urgency level would
 * wait. A level is closed while that wait is too long for its operations to
 * meet their target latency. Nothing here sends, waits or reads a clock.
 */
#ifndef LOAD_LEVEL_H
#define LOAD_LEVEL_H

#include "priority.h"
#include "types.h"

/**
 * A level whose latest report is older than this is open, so that an owner that
 * died, is paused or is partitioned does not keep it closed.
 */
#define LOAD_REPORT_VALID (300 * HM_MS)
/** One of this many operations at a closed level is admitted as a probe. */
#define LOAD_PROBE_EVERY 16

struct load_level {
	bool closed;
	uint32_t over; /**< consecutive reports above the slack */
	uint32_t met;  /**< operations that found it closed */
};

/** Load of a member; all zero: nothing reported, every level is open. */
struct load_state {
	uint64_t owner; /**< incarnation of the owner that reported */
	hm_time reported_at;
	hm_time wait[PRIORITY_LEVELS];	    /**< as reported */
	hm_time slack[PRIORITY_LEVELS];	    /**< when that report came */
	hm_time executing[PRIORITY_LEVELS]; /**< average time without wait */
	struct load_level levels[PRIORITY_LEVELS];
};

/** A report of an owner, with what the receiver knows of its operations. */
struct load_report {
	uint64_t owner;
	const hm_time *wait; /**< PRIORITY_LEVELS expected waits */
	/** Longest wait that still lets an operation meet its target, per
	 * level; 0 for a level without operations, which then stays open. */
	const hm_time *slack;
};

/** Takes a report. Returns the levels that it closed or opened, a bit each. */
uint32_t load_take_report(struct load_state *l, const struct load_report *r,
			  hm_time now);
/** Whether the level is closed at a member that @a owner owns now. */
bool load_is_closed(const struct load_state *l, uint64_t owner, uint32_t level,
		    hm_time now);
/** The wait that a fresh report of @a owner states, -1 if there is none. */
hm_time load_wait(const struct load_state *l, uint64_t owner, uint32_t level,
		  hm_time now);
/** Records how long a statement took apart from its wait in the queue. */
void load_add_executing(struct load_state *l, uint32_t level, hm_time took);
/**
 * Slack of operations with the latency target @a target. The expected execution
 * time counts up to half of the target, so that waits that were mistaken for
 * execution cannot close a level by themselves.
 */
hm_time load_slack(const struct load_state *l, uint32_t level, hm_time target);

enum load_verdict {
	LOAD_OPEN,
	LOAD_PROBE,   /**< closed, and admitted so that a result arrives */
	LOAD_RETURNS, /**< closed, and admitted ahead of new operations */
	LOAD_REFUSED
};

/**
 * Decides about an operation that has no better member. One that returns at the
 * time it was told (@a returns) is admitted as soon as the reported wait is
 * within the slack; new ones are admitted once the level is open.
 */
enum load_verdict load_admit(struct load_state *l, uint64_t owner,
			     uint32_t level, bool returns, hm_time now);

#endif
