/**
 * @file rate.h
 * Distributed token bucket: limits the rate and burst of each account over
 * all instances together. Each zone issues a fixed share of an account's rate
 * at one instance, the owner of the account in that zone. An instance
 * requests tokens from the owner of its own zone first, then from the owners
 * of other zones. A grant of tokens expires a fixed time after its request was
 * sent, so that a delayed grant cannot exceed the burst.
 *
 * Instances of a zone that do not hear each other have an owner each, on every
 * side. An owner issues the part of the share that corresponds to the instances
 * of the zone that it hears, of all that may run.
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

/**
 * Sets how many urgency levels are in use. With 1, the initial value, all
 * statements are alike and their levels are ignored.
 */
void rate_set_levels(struct rate *r, uint32_t count);
uint32_t rate_level_count(const struct rate *r);

/** Which statement a token is taken for. */
struct rate_use {
	uint32_t level;
	/** A less urgent statement gets this token to be served at all. */
	bool floor;
};

/**
 * Takes one token of @a account; false when none is available locally for that
 * use.
 */
bool rate_take(struct rate *r, hm_id account, struct rate_use use, hm_time now);

/** Records that a statement arrived, before it takes a token or waits. */
void rate_arrival(struct rate *r, hm_id account, uint32_t level, hm_time now);
/** Records that a statement was refused, as it had no token. */
void rate_refused(struct rate *r, hm_id account, hm_time now);

/**
 * Sets the numbers of the account's statements that wait for a token, by level,
 * and requests tokens from the owners when too few are granted or requested.
 */
void rate_demand(struct rate *r, hm_id account,
		 const uint32_t waiting[PRIORITY_LEVELS], hm_time now,
		 struct actions *actions);

/**
 * Whether a new statement of the account would have to wait until tokens are
 * issued: no token is available locally to its level, and the owner of each
 * zone recently granted fewer tokens than were requested for that level, or
 * did not answer.
 */
bool rate_exhausted(struct rate *r, hm_id account, uint32_t level, hm_time now);

/**
 * Estimates when the last of @a waiting statements of a level gets a token, as
 * the time at which a refused client is advised to retry; HM_NEVER for an
 * account without a contract.
 */
hm_time rate_retry_at(const struct rate *r, hm_id account, uint32_t level,
		      uint32_t waiting, hm_time now);

/**
 * Instances of this zone by which its shares are divided: where this instance
 * is the owner it issues the part of those that it reaches.
 */
struct zone_reach rate_reach(const struct rate *r);

/** Handles MSG_RATE_REQUEST and MSG_RATE_GRANT of peers. */
void rate_message(struct rate *r, const struct message *m, hm_time now,
		  struct actions *actions);
/** Updates ownership and requests tokens that are due; call on every tick. */
void rate_tick(struct rate *r, hm_time now, struct actions *actions);

#endif
