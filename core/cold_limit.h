/**
 * @file cold_limit.h
 * Limit on the statements that a member gets while it is cold, that is for some
 * time after its start, by a token bucket at its owner. Two owners may be
 * active at once, for example in a partition, and neither knows of the other.
 * Each therefore sends less than the member's limit: together they stay within
 * one and a half times of it and a few statements, in any second.
 */
#ifndef COLD_LIMIT_H
#define COLD_LIMIT_H

#include "types.h"

struct cold_limit {
	double per_s;  /**< statements that a cold member takes, 0: no limit */
	hm_time until; /**< the member is cold until then */
	double tokens;
	hm_time filled_at;
};

/**
 * Takes a token for a statement that is to be sent to the member.
 * @param inside the statement belongs to an open transaction, and may be sent
 * one token ahead
 * @param retry_at when a token will be there; set only if false is returned
 */
bool cold_limit_take(struct cold_limit *c, bool inside, hm_time now,
		     hm_time *retry_at);

#endif
