/**
 * @file returning.h
 * Operations that come back after their account had no token for them. While
 * tokens are scarce each can be given once: one that can still be answered
 * in the time its route aims at comes before one that cannot.
 */
#ifndef RETURNING_H
#define RETURNING_H

#include "types.h"

/** What a session was last refused, to know it again. Zero: nothing. */
struct refused_op {
	char *what;	    /**< owned; statement without its request id */
	hm_time first_at;   /**< when it was asked for the first time */
	hm_time refused_at; /**< the latest refusal */
};

void refused_op_clear(struct refused_op *r);
/** Notes that @a what (copied), asked at @a asked_at, was refused. */
void refused_op_note(struct refused_op *r, const char *what, hm_time asked_at,
		     hm_time now);
/** When @a what was first asked: @a now unless it came back. */
hm_time refused_op_since(const struct refused_op *r, const char *what,
			 hm_time now);

/** Latest refusals of accounts; of bounded size. */
struct scarcity;

struct scarcity *scarcity_new(void);
void scarcity_free(struct scarcity *s);
/** An operation of @a account was refused for want of a token. */
void scarcity_refused(struct scarcity *s, hm_id account, hm_time now);
/** Whether several callers of @a account were refused a moment ago. */
bool scarcity_holds(const struct scarcity *s, hm_id account, hm_time now);

#endif
