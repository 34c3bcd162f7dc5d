/**
 * @file token_reserve.h
 * Reserves of rate tokens that outlive the process. An issuer records in the
 * platform's store a part of each full bucket that it does not use, and after a
 * restart, or a takeover by another issuer, that part can be claimed and used
 * at once. A reserve is moved by removing it from the object in the store, by a
 * write conditional on the object's revision, so that no token is used twice.
 */
#ifndef TOKEN_RESERVE_H
#define TOKEN_RESERVE_H

#include "proxy.h"
#include "rate.h"

struct token_reserve;

/**
 * From now on @a rate keeps the buckets at half of their capacity until it is
 * settled that nobody else can claim the other half.
 */
struct token_reserve *token_reserve_new(const struct core_options *options,
					struct rate *rate,
					const struct peers *peers, hm_time now);
void token_reserve_free(struct token_reserve *t);
/** @a era is the newest known era of the store, 0 for none. */
void token_reserve_tick(struct token_reserve *t, uint64_t era, hm_time now,
			struct proxy_output *out);
/** Handles the answer to the last PROXY_RESERVE. */
void token_reserve_answer(struct token_reserve *t,
			  const struct reserve_answer *a, hm_time now,
			  struct proxy_output *out);

struct token_reserve_counters {
	uint32_t recorded; /**< accounts with a reserve in the store */
	uint64_t claims;   /**< reserves claimed */
	uint64_t claimed;  /**< tokens of these */
	uint64_t lost; /**< reserves that others claimed, or an era voided */
};
/** A NULL @a t has counted nothing. */
void token_reserve_get(const struct token_reserve *t,
		       struct token_reserve_counters *out);

#endif
