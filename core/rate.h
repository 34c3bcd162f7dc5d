/**
 * @file rate.h
 * Distributed token bucket: limits the rate and burst of each account over
 * all instances together. Each zone issues a fixed share of an account's rate
 * at one instance, the owner of the account in that zone. An instance
 * requests tokens from the owner of its own zone first, then from the owners
 * of other zones. A grant of tokens expires a fixed time after its request was
 * sent, so that a delayed grant cannot exceed the burst.
 */
#ifndef RATE_H
#define RATE_H

#include "peers.h"

struct rate;

/** Share of an account that one zone issues; all zero when it issues none. */
struct rate_share {
	uint32_t rate;
	uint32_t burst;
	hm_time valid; /**< lifetime of a grant, counted from its request */
};

/**
 * Computes the share of zone @a zone. The shares of all zones sum to exactly
 * the rate and burst of the contract. The owner's bucket holds at most
 * burst - rate * valid tokens, so that it and the granted tokens that have
 * not expired stay within the burst together.
 */
void rate_share_of(const struct contract *c, uint16_t zone, uint16_t zone_count,
		   struct rate_share *out);

struct rate *rate_new(const struct core_options *options,
		      const struct peers *peers, hm_time now);
void rate_free(struct rate *r);

/** Sets the limits of an account; a withdrawn contract removes them. */
void rate_set_contract(struct rate *r, const struct contract *c, hm_time now);

/** Whether this instance has run for long enough to issue tokens. */
bool rate_may_issue(const struct rate *r, hm_time now);

/** Takes one token of @a account; false when none is available locally. */
bool rate_take(struct rate *r, hm_id account, hm_time now);

/**
 * Sets the number of the account's statements that wait for a token, and
 * requests tokens from the owners when too few are granted or requested.
 */
void rate_demand(struct rate *r, hm_id account, uint32_t waiting, hm_time now,
		 struct actions *actions);

/**
 * Whether a new statement of the account would have to wait until tokens are
 * issued: no token is available locally, and the owner of each zone recently
 * granted fewer tokens than were requested, or did not answer.
 */
bool rate_exhausted(struct rate *r, hm_id account, hm_time now);

/**
 * Estimates when the last of @a waiting statements gets a token, as the time
 * at which a refused client is advised to retry; HM_NEVER for an account
 * without a contract.
 */
hm_time rate_retry_at(const struct rate *r, hm_id account, uint32_t waiting,
		      hm_time now);

/** Handles MSG_RATE_REQUEST and MSG_RATE_GRANT of peers. */
void rate_message(struct rate *r, const struct message *m, hm_time now,
		  struct actions *actions);
/** Updates ownership and requests tokens that are due; call on every tick. */
void rate_tick(struct rate *r, hm_time now, struct actions *actions);

#endif
