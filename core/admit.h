/**
 * @file admit.h
 * Rate admission: statements wait for a rate token of their account, each until
 * its deadline. An account has one queue per urgency level, in order of
 * deadlines; a free token goes to the most urgent level, one of 16 to the least
 * urgent one. Without levels it has one queue in order of arrival.
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
 * Whether a new statement is to be refused at once, since no token is expected
 * for it soon: see rate_exhausted(), and it is not the one of the least urgent
 * level that the next token is for.
 */
bool admit_exhausted(const struct admit *a, const struct statement *s,
		     hm_time now);
/**
 * Removes a statement whose client disconnected; true when it was queued here.
 */
bool admit_drop(struct admit *a, struct rid id);
/**
 * Refuses the queued statements of an account for which no token is expected
 * soon, see rate_exhausted(); admit_next() returns them.
 */
void admit_refuse_exhausted(struct admit *a, hm_id account, hm_time now);

/** One statement that was taken off its queue. */
struct admit_result {
	struct statement statement;
	/** False: no token before its deadline, or no contract any more. */
	bool admitted;
	hm_time retry_at; /**< when not admitted: advice to the client, or 0 */
	/** When not admitted: a more urgent statement that came later was. */
	bool overtaken;
	uint32_t by_level; /**< level of that statement */
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
