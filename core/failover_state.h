/**
 * @file failover_state.h
 * Inside of a failover, shared by failover.c, suspect.c and repair.c only.
 */
#ifndef FAILOVER_STATE_H
#define FAILOVER_STATE_H

#include "failover.h"
#include "rng.h"

enum phase_id {
	PHASE_IDLE,
	PHASE_PROBE,	 /**< fresh connection decides; majority answers */
	PHASE_HAND_OVER, /**< leaving primary is fenced, the others follow */
	PHASE_FENCE,	 /**< all members promise the new term */
	PHASE_WAIT,	 /**< evidence for the old term runs out */
	PHASE_PROMOTE,	 /**< the furthest member becomes primary */
	PHASE_FOLLOW,	 /**< the others follow it */
	PHASE_COUNT
};

/** One member, as this failover sees it. */
struct candidate {
	hm_id endpoint;
	uint64_t owner;
	bool answered; /**< in this phase */
	bool fenced;   /**< promised the term of this attempt */
	struct endpoint_state state;
	hm_time reached_at; /**< last report that it can be reached */
	hm_time repaired_at;
	uint64_t pos;		/**< last reported position of its log */
	hm_time advanced_at;	/**< when that position changed */
	uint64_t advanced_term; /**< under which term, 0 for never */
};

struct failover {
	const struct core_options *options;
	const struct peers *peers;
	struct group *group;
	struct rng rng;
	enum phase_id phase;
	hm_time started_at;
	hm_time entered_at;
	hm_time send_at;
	uint64_t seq; /**< nonce of the phase */
	uint64_t term;
	hm_id target;
	const char *cause;
	hm_time not_before; /**< backoff, or another orderer's turn */
	hm_time suspect_since;
	hm_time ahead_since; /**< no replica has all of the primary's log */
	uint64_t promised_seen;
	bool leave;
	uint64_t promotions;
	uint32_t count;
	struct candidate candidates[ENDPOINTS_MAX];
};

/** What a phase does on a tick and with an answer to its questions. */
struct phase {
	const char *name;
	void (*tick)(struct failover *f, hm_time now, struct actions *actions);
	void (*answer)(struct failover *f, struct candidate *c,
		       const struct state_report *r, hm_time now,
		       struct actions *actions);
};

extern const struct phase failover_phases[PHASE_COUNT];

/** Ends an attempt; the next one waits for a random time. */
void failover_back_off(struct failover *f, hm_time now, const char *reason,
		       struct actions *actions);
/** Member by endpoint, NULL when it is none. */
struct candidate *failover_candidate(struct failover *f, hm_id endpoint);
/** Notes how far the logs have come. */
void suspect_report(struct failover *f, struct candidate *c,
		    const struct endpoint_state *s, hm_time now);
/** Whether the cause is a primary whose log reaches no replica. */
bool suspect_is_stalled(const char *cause);
/** Life to ask about a member, 0 when nobody is known to hold it. */
uint64_t failover_owner(const struct failover *f, const struct candidate *c);
/** Whether the configuration says that an endpoint is leaving. */
bool failover_is_leaving(const struct failover *f, hm_id endpoint);

/** Newest term that any member is known to be bound to. */
uint64_t suspect_newest_promise(const struct failover *f);
/** Why the primary should change, NULL for no reason. */
const char *suspect_cause(struct failover *f, hm_time now);
/**
 * Number of live homes of replicas that come before this instance in the
 * order of orderers; false when it is no home of a replica.
 */
bool suspect_rank(const struct failover *f, hm_id primary, uint32_t *rank);

/** Orders held members that follow an older term to follow the newest. */
void repair_tick(struct failover *f, hm_time now, struct actions *actions);

#endif
