/**
 * @file fair_queue.h
 * Weighted fair queue of statements. Accounts take turns by the slot time
 * that they used divided by their weight; within an account reads, writes,
 * new transactions and statements of open ones wait apart, so that none of
 * them blocks the others.
 */
#ifndef FAIR_QUEUE_H
#define FAIR_QUEUE_H

#include "types.h"

enum queue_class {
	QUEUE_READ,
	QUEUE_WRITE,
	QUEUE_BEGIN,
	QUEUE_TX, /**< in an open transaction; goes first within its account */
	QUEUE_CLASSES
};

/** A statement in the queue. */
struct queue_item {
	struct statement statement;
	uint64_t reply_to;
	enum queue_class class;
	uint32_t weight;
	hm_time queued_at;
	hm_time charged; /**< slot time charged to the account so far */
};

struct fair_queue;

struct fair_queue *fair_queue_new(void);
void fair_queue_free(struct fair_queue *fq);

void fair_queue_push(struct fair_queue *fq, const struct queue_item *item);
/**
 * Takes the next statement of the classes in @a allowed (a bit per class)
 * and charges the account with its expected slot time. @a last: it would get
 * the last free slot, which no account with long statements may add to all
 * the others while other accounts fill a slot on the mean.
 */
bool fair_queue_pop(struct fair_queue *fq, uint32_t allowed, bool last,
		    hm_time now, struct queue_item *out);
/** Charges a running statement for the slot time it has used by now. */
void fair_queue_charge(struct fair_queue *fq, struct queue_item *item,
		       hm_time used, hm_time now);
/** The statement taken by fair_queue_pop() is not sent after all. */
void fair_queue_refund(struct fair_queue *fq, struct queue_item *item,
		       hm_time now);
/**
 * The statement ended after @a used: corrects the charge. The cost of one that
 * was cut short (not @a completed) is learned only when it exceeds what was expected.
 */
void fair_queue_finish(struct fair_queue *fq, struct queue_item *item,
		       hm_time used, bool completed, hm_time now);

/** Decides about a queued statement. */
typedef bool (*turn_match)(const void *context, const struct queue_item *item);
/** Removes the first statement that matches; false when none does. */
bool fair_queue_remove(struct fair_queue *fq, turn_match match,
		       const void *context, struct queue_item *out);
/** Whether a queued statement matches. */
bool fair_queue_any(const struct fair_queue *fq, turn_match match,
		    const void *context);
/**
 * Removes the newest statement of the account with the longest queue for its
 * weight; false when that account is @a exempt, or nothing waits.
 */
bool fair_queue_evict(struct fair_queue *fq, hm_id exempt,
		      struct queue_item *out);

uint32_t fair_queue_count(const struct fair_queue *fq);
uint32_t fair_queue_count_class(const struct fair_queue *fq,
				enum queue_class class);
/** Slot time that even a short statement of the account takes of late. */
hm_time fair_queue_low_cost(const struct fair_queue *fq, hm_id account,
			    enum queue_class class);
/**
 * Expected wait of a new statement of the account: its own queue, over the
 * slots that the use of others of late leaves to it.
 */
hm_time fair_queue_wait(const struct fair_queue *fq, hm_id account,
			uint32_t slots, hm_time now);
/** Expected time to clear the whole queue. */
hm_time fair_queue_backlog(const struct fair_queue *fq, uint32_t slots);

#endif
