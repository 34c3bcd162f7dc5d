/**
 * @file rate.h
 * Rate and burst of each account, counted over all instances. Each zone
 * mints a fixed part of the rate at one owner; instances draw tokens from
 * the owner of their zone, then from those of other zones. A grant expires
 * at the time of the question plus a limit, so that late ones are void.
 */
#ifndef RATE_H
#define RATE_H

#include "peers.h"

struct rate;

struct rate *rate_new(const struct core_options *options,
		      const struct peers *peers, hm_time now);
void rate_free(struct rate *r);

/** Sets or replaces the limits of an account; a tombstone drops it. */
void rate_contract(struct rate *r, const struct contract *c, hm_time now);

/** Takes one token of @a account now; false when none is at hand. */
bool rate_take(struct rate *r, hm_id account, hm_time now);

/**
 * Tells that @a waiting requests of the account have no token and asks for
 * more where that is due.
 */
void rate_demand(struct rate *r, hm_id account, uint32_t waiting, hm_time now,
		 struct actions *actions);

/** Earliest time at which a token may be at hand, for retry advice. */
hm_time rate_retry_at(const struct rate *r, hm_id account, uint32_t waiting,
		      hm_time now);

/** MSG_WANT and MSG_GRANT. */
void rate_message(struct rate *r, const struct message *m, hm_time now,
		  struct actions *actions);
void rate_tick(struct rate *r, hm_time now, struct actions *actions);

#endif
