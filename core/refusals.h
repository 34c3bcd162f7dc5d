/**
 * @file refusals.h
 * Retries of operations that were refused because their account had no rate
 * token. While the tokens of an account are scarce, operations that can
 * still meet the latency target of their route take precedence over those
 * that cannot.
 */
#ifndef REFUSALS_H
#define REFUSALS_H

#include "types.h"

/** The last refused operation of a session; all zero for none. */
struct refused_op {
	char *text; /**< owned; statement without its request ID */
	hm_time first_arrived_at; /**< time of the first attempt */
	hm_time refused_at;	  /**< time of the last refusal */
};

void refused_op_clear(struct refused_op *r);
/** Records a refusal of @a what (copied), which arrived at @a arrived_at. */
void refused_op_note(struct refused_op *r, const char *what, hm_time arrived_at,
		     hm_time now);
/** Time of the first attempt of @a what; @a now if it is not a retry. */
hm_time refused_op_since(const struct refused_op *r, const char *what,
			 hm_time now);

/** Times of the latest refusals of each account; bounded in size. */
struct scarcity;

struct scarcity *scarcity_new(void);
void scarcity_free(struct scarcity *s);
/** Records that an operation of @a account was refused without a token. */
void scarcity_refused(struct scarcity *s, hm_id account, uint32_t level,
		      hm_time now);
/**
 * Whether @a account had SCARCE_REFUSALS refusals within SCARCE_WITHIN, of
 * operations of one level that is @a level or more urgent.
 */
bool scarcity_active(const struct scarcity *s, hm_id account, uint32_t level,
		     hm_time now);

#endif
