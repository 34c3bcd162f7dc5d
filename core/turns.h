/**
 * @file turns.h
 * Weighted fair queue of statements. Accounts take turns by the slot time
 * that they used divided by their weight; within an account reads, writes,
 * new transactions and statements of open ones wait apart, so that none of
 * them blocks the others.
 */
#ifndef TURNS_H
#define TURNS_H

#include "types.h"

enum turn_class {
	TURN_READ,
	TURN_WRITE,
	TURN_BEGIN,
	TURN_TX, /**< in an open transaction; goes first within its account */
	TURN_CLASSES
};

/** A statement in the queue. */
struct turn {
	struct statement statement;
	uint64_t reply_to;
	enum turn_class class;
	uint32_t weight;
	hm_time queued_at;
	hm_time charged; /**< slot time charged to the account so far */
};

struct turns;

struct turns *turns_new(void);
void turns_free(struct turns *t);

void turns_push(struct turns *t, const struct turn *turn);
/**
 * Takes the next statement of the classes in @a allowed (a bit per class)
 * and charges the account with its expected slot time. @a last: it would get
 * the last free slot, which no account with long statements may add to all
 * the others while other accounts fill a slot on the mean.
 */
bool turns_pop(struct turns *t, uint32_t allowed, bool last, hm_time now,
	       struct turn *out);
/** Charges a running statement for the slot time it has used by now. */
void turns_used(struct turns *t, struct turn *turn, hm_time used, hm_time now);
/** The statement taken by turns_pop() is not sent after all. */
void turns_refund(struct turns *t, struct turn *turn, hm_time now);
/**
 * The statement ended after @a used: corrects the charge. The cost of one that
 * was cut short (not @a whole) is learned only when it exceeds what was expected.
 */
void turns_ended(struct turns *t, struct turn *turn, hm_time used, bool whole,
		 hm_time now);

/** Decides about a queued statement. */
typedef bool (*turn_match)(const void *context, const struct turn *turn);
/** Removes the first statement that matches; false when none does. */
bool turns_remove(struct turns *t, turn_match match, const void *context,
		  struct turn *out);
/** Whether a queued statement matches. */
bool turns_any(const struct turns *t, turn_match match, const void *context);
/**
 * Removes the newest statement of the account with the longest queue for its
 * weight; false when that account is @a spared, or nothing waits.
 */
bool turns_evict(struct turns *t, hm_id spared, struct turn *out);

uint32_t turns_count(const struct turns *t);
uint32_t turns_count_class(const struct turns *t, enum turn_class class);
/** Slot time that even a short statement of the account takes of late. */
hm_time turns_least_cost(const struct turns *t, hm_id account,
			 enum turn_class class);
/**
 * Expected wait of a new statement of the account: its own queue, over the
 * slots that the use of others of late leaves to it.
 */
hm_time turns_wait(const struct turns *t, hm_id account, uint32_t slots,
		   hm_time now);
/** Expected time to clear the whole queue. */
hm_time turns_backlog(const struct turns *t, uint32_t slots);

#endif
