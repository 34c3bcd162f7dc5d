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

/** What one zone mints of an account; all zero when it mints nothing. */
struct rate_part {
	uint32_t rate;
	uint32_t burst;
	hm_time valid; /**< of a grant, from the time of the question */
};

/**
 * Part of zone @a zone. The parts of all zones sum to exactly the rate and
 * burst of the contract. A bucket holds at most burst - rate * valid, so that
 * grants in flight stay within the burst too.
 */
void rate_part_of(const struct contract *c, uint16_t zone, uint16_t zone_count,
		  struct rate_part *out);

struct rate *rate_new(const struct core_options *options,
		      const struct peers *peers, hm_time now);
void rate_free(struct rate *r);

/** Sets or replaces the limits of an account; a tombstone drops it. */
void rate_contract(struct rate *r, const struct contract *c, hm_time now);

/** Whether this instance may have minted tokens by now. */
bool rate_mints(const struct rate *r, hm_time now);

/** Takes one token of @a account now; false when none is at hand. */
bool rate_take(struct rate *r, hm_id account, hm_time now);

/**
 * Tells that @a waiting requests of the account have no token and asks for
 * more where that is due.
 */
void rate_demand(struct rate *r, hm_id account, uint32_t waiting, hm_time now,
		 struct actions *actions);

/**
 * Nothing is at hand and every source was asked of late and had too little:
 * a request that comes now would wait for tokens that are not minted yet.
 */
bool rate_dry(struct rate *r, hm_id account, hm_time now);

/**
 * Time at which the last of @a waiting requests is expected to have a token,
 * for retry advice; HM_NEVER for an account without contract.
 */
hm_time rate_retry_at(const struct rate *r, hm_id account, uint32_t waiting,
		      hm_time now);

/** MSG_RATE_REQUEST and MSG_RATE_GRANT. */
void rate_message(struct rate *r, const struct message *m, hm_time now,
		  struct actions *actions);
void rate_tick(struct rate *r, hm_time now, struct actions *actions);

#endif
