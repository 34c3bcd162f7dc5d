/**
 * @file admit.h
 * Requests that wait for a token of their account, first come first served
 * per account, each until its deadline.
 */
#ifndef ADMIT_H
#define ADMIT_H

#include "rate.h"

struct admit;

struct admit *admit_new(struct rate *rate);
void admit_free(struct admit *a);

/** What became of a statement. */
enum admitted { ADMIT_PASS, ADMIT_WAIT, ADMIT_REFUSE };

/**
 * Takes a token for @a s or puts it in line. ADMIT_REFUSE when the line
 * cannot be served before the deadline; *retry_at then says when to return.
 */
enum admitted admit_push(struct admit *a, const struct statement *s,
			 hm_time now, hm_time *retry_at,
			 struct actions *actions);
/** Caller went away; true when the request was waiting here. */
bool admit_drop(struct admit *a, struct rid id);

/** One statement that left the line. */
struct admit_left {
	struct statement statement;
	/** False: its deadline is out of reach or its account ended. */
	bool passed;
	hm_time retry_at;
};

/** Next statement that can leave the line now; false when none can. */
bool admit_next(struct admit *a, hm_time now, struct admit_left *out);
/** Asks for tokens on behalf of the lines; call on every tick. */
void admit_tick(struct admit *a, hm_time now, struct actions *actions);
uint32_t admit_waiting(const struct admit *a);

#endif
