/**
 * @file admit.h
 * Rate admission: statements wait for a rate token of their account, in one
 * FIFO queue per account, each until its deadline.
 */
#ifndef ADMIT_H
#define ADMIT_H

#include "rate.h"

struct admit;

struct admit *admit_new(struct rate *rate);
void admit_free(struct admit *a);

/** Result of admit_push(). */
enum admit_outcome { ADMIT_PASS, ADMIT_WAIT, ADMIT_REFUSE };

/**
 * Takes a token for @a s, or queues it. Refuses it when it is not expected to
 * get a token before its deadline; *retry_at is then the time at which the
 * client should retry, 0 for an account without a contract.
 */
enum admit_outcome admit_push(struct admit *a, const struct statement *s,
			      hm_time now, hm_time *retry_at,
			      struct actions *actions);
/**
 * Removes a statement whose client disconnected; true when it was queued here.
 */
bool admit_drop(struct admit *a, struct rid id);

/** One statement that was taken off its queue. */
struct admit_result {
	struct statement statement;
	/** False: no token before its deadline, or no contract any more. */
	bool admitted;
	hm_time retry_at; /**< when not admitted: advice to the client, or 0 */
};

/** Next statement that is admitted or refused now; false when there is none. */
bool admit_next(struct admit *a, hm_time now, struct admit_result *out);
/**
 * Requests rate tokens for the queued statements, and gives up those that are
 * not expected to get one in time. Call it on every tick.
 */
void admit_tick(struct admit *a, hm_time now, struct actions *actions);
/** Number of queued statements. */
uint32_t admit_waiting(const struct admit *a);

#endif
