/**
 * @file fair_queue.h
 * Weighted fair queue of statements. The next statement comes from the account
 * with the least slot time used relative to its weight. Slot time is the time
 * for which a statement occupies a statement slot. Within an account, reads,
 * writes, new transactions and statements of open transactions have queues of
 * their own, so that none of them blocks the others.
 *
 * With urgency levels, statements of open transactions come first, then more
 * urgent ones, then accounts in the order above. The least urgent waiting level
 * gets 1/16 of the slot time, and an account that used more than its fair share
 * for urgent statements has them served as the least urgent. Levels are ignored
 * unless fair_queue_set_levels() is called with more than one.
 */
#ifndef FAIR_QUEUE_H
#define FAIR_QUEUE_H

#include "types.h"

enum queue_class {
	QUEUE_READ,
	QUEUE_WRITE,
	QUEUE_BEGIN,
	QUEUE_TX, /**< in an open transaction; first within its account */
	QUEUE_CLASSES
};

/** How a statement counts for the floor of the least urgent level. */
enum floor_use {
	FLOOR_NONE,   /**< nothing less urgent waited */
	FLOOR_PASSED, /**< served while less urgent ones waited */
	FLOOR_GIVEN   /**< served by the floor */
};

/** A statement in the queue. */
struct queue_item {
	struct statement statement;
	uint64_t reply_to;
	enum queue_class class;
	uint32_t weight;
	hm_time queued_at;
	hm_time start_by; /**< latest start; used by fair_queue_displace() */
	hm_time charged;  /**< slot time charged for it so far */
	enum floor_use floor;
};

struct fair_queue;

struct fair_queue *fair_queue_new(void);
void fair_queue_free(struct fair_queue *fq);
/** Sets the number of urgency levels in use; 0 or 1: levels are ignored. */
void fair_queue_set_levels(struct fair_queue *fq, uint32_t levels);
/** Sets the number of slots; needed for levels and for waits by level. */
void fair_queue_set_slots(struct fair_queue *fq, uint32_t slots);

void fair_queue_push(struct fair_queue *fq, const struct queue_item *item);
/**
 * Takes the next statement of the classes in @a allowed (a bit per class)
 * and charges its expected slot time to its account. @a last: it would get the
 * last free slot. Then an account whose long statements occupy all other busy
 * slots is skipped if the other accounts use at least one slot on average, and
 * so are long statements if more urgent ones arrived in the last second.
 */
bool fair_queue_pop(struct fair_queue *fq, uint32_t allowed, bool last,
		    hm_time now, struct queue_item *out);
/** Whether statements outside transactions of the account may be taken now. */
typedef bool (*queue_filter)(void *context, hm_id account, hm_time now);
/** fair_queue_pop() passes over accounts for which @a allows is false. */
void fair_queue_set_filter(struct fair_queue *fq, queue_filter allows,
			   void *context);
/** Charges a running statement for the slot time that it has used so far. */
void fair_queue_charge(struct fair_queue *fq, struct queue_item *item,
		       hm_time used, hm_time now);
/** Takes back the charge of a statement that was popped but not sent. */
void fair_queue_refund(struct fair_queue *fq, struct queue_item *item,
		       hm_time now);
/** The same, and puts the statement back in front of its queue. */
void fair_queue_return(struct fair_queue *fq, struct queue_item *item,
		       hm_time now);
/**
 * Corrects the charge of a statement that ended after @a used, and updates the
 * cost estimates of its account. A statement that was interrupted (not
 * @a completed) updates them only if it took longer than expected.
 */
void fair_queue_finish(struct fair_queue *fq, struct queue_item *item,
		       hm_time used, bool completed, hm_time now);

/** Whether a queued statement matches @a context. */
typedef bool (*queue_match)(const void *context, const struct queue_item *item);
/** Removes the first statement that matches; false when there is none. */
bool fair_queue_remove(struct fair_queue *fq, queue_match match,
		       const void *context, struct queue_item *out);
/** Whether any queued statement matches. */
bool fair_queue_any(const struct fair_queue *fq, queue_match match,
		    const void *context);
/**
 * Removes the newest statement of the account with the longest queue, measured
 * in expected slot time relative to the weight. Returns false when that account
 * is @a exempt or the queue is empty.
 */
bool fair_queue_evict(struct fair_queue *fq, hm_id exempt,
		      struct queue_item *out);

uint32_t fair_queue_count(const struct fair_queue *fq);
uint32_t fair_queue_count_class(const struct fair_queue *fq,
				enum queue_class class);
/**
 * Low estimate of the slot time of one statement of the account in @a class,
 * from its recent statements; 0 for an unknown account.
 */
hm_time fair_queue_low_cost(const struct fair_queue *fq, hm_id account,
			    enum queue_class class);
/**
 * Expected wait of a new statement of the account: the cost of the account's
 * queue divided by the slots that other accounts' recent use leaves free.
 */
hm_time fair_queue_wait(const struct fair_queue *fq, hm_id account,
			uint32_t slots, hm_time now);
/**
 * Expected wait of a new statement of the account at @a level: the cost of what
 * is served before it, divided by the slots that more urgent levels leave.
 * Without levels fair_queue_wait().
 */
hm_time fair_queue_level_wait(const struct fair_queue *fq, hm_id account,
			      uint32_t level, hm_time now);
/**
 * Sets @a wait to the same for each level, for an account with nothing queued
 * that has not exceeded its fair share.
 */
void fair_queue_share_waits(const struct fair_queue *fq, hm_time now,
			    hm_time wait[PRIORITY_LEVELS]);
/**
 * Removes the last statement of a queue that is less urgent than @a by, which
 * was queued, and that can no longer start by its latest start. Statements of
 * open transactions stay, and an account beyond its fair share displaces none.
 * @param wait set to its expected wait
 * @return false when there is none
 */
bool fair_queue_displace(struct fair_queue *fq, const struct statement *by,
			 hm_time now, struct queue_item *out, hm_time *wait);
/** Expected time to clear the whole queue. */
hm_time fair_queue_backlog(const struct fair_queue *fq, uint32_t slots);

#endif
