/**
 * @file failover_state.h
 * Internals of a failover, shared by failover*.c, suspect.c and repair.c only.
 */
#ifndef FAILOVER_STATE_H
#define FAILOVER_STATE_H

#include "failover.h"
#include "rng.h"

/** Phases of a failover, in their order. */
enum phase_id {
	PHASE_IDLE,
	PHASE_PROBE, /**< checks the suspected primary on a new connection */
	PHASE_HAND_OVER, /**< fences a leaving primary, a replica catches up */
	PHASE_FENCE,	 /**< members promise the new term */
	PHASE_WAIT,	 /**< confirmations of the old term expire */
	PHASE_PROMOTE,	 /**< the most advanced member becomes primary */
	PHASE_FOLLOW,	 /**< the other members follow the new primary */
	PHASE_COUNT
};

/** A member of the group and what is known of it. */
struct candidate {
	hm_id endpoint;
	uint64_t owner;
	bool answered; /**< replied in this phase */
	bool fenced;   /**< promised the term of this failover */
	struct endpoint_state state;
	/** When the last report arrived that the member is reachable. */
	hm_time reached_at;
	hm_time repaired_at;
	uint64_t pos;	     /**< last reported end of the member's log */
	hm_time advanced_at; /**< when that position last changed */
	/** Term of the log at advanced_at; 0 if the position never changed. */
	uint64_t advanced_term;
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
	/** Number in the command IDs of the phase; other replies are stale. */
	uint64_t seq;
	uint64_t term;
	hm_id target;
	const char *cause;
	/**
	 * No failover starts before this time: backoff, or time for another
	 * coordinator.
	 */
	hm_time not_before;
	hm_time suspect_since;
	/** Since when no replica has the primary's whole log; 0 if one has. */
	hm_time ahead_since;
	uint64_t promised_seen;
	bool leave;
	uint64_t promotions;
	uint32_t count;
	struct candidate candidates[ENDPOINTS_MAX];
};

/** What a phase does on a tick and on a reply to its control commands. */
struct phase {
	const char *name;
	void (*tick)(struct failover *f, hm_time now, struct actions *actions);
	void (*answer)(struct failover *f, struct candidate *c,
		       const struct state_report *r, hm_time now,
		       struct actions *actions);
};

extern const struct phase failover_phases[PHASE_COUNT];

/** Abandons the failover; the next one waits for a random time. */
void failover_back_off(struct failover *f, hm_time now, const char *reason,
		       struct actions *actions);
/** Adds a log line of the failover to @a actions. */
struct decision *failover_log_step(struct failover *f, struct actions *actions,
				   const char *what, const char *reason);
/** Starts a phase: no member has replied in it yet. */
void failover_enter(struct failover *f, enum phase_id phase, hm_time now);
/** Sends a control command of the phase to a member's owner. */
void failover_send_step(struct failover *f, const struct candidate *c,
			enum control_op op, struct actions *actions);
/**
 * Whether the control commands of the phase are to be sent now, for the first
 * time or again.
 */
bool failover_send_due(struct failover *f, hm_time now);
/** Whether the phase has lasted for @a limit. */
bool failover_elapsed(const struct failover *f, hm_time limit, hm_time now);
/** Sends the fence to the members that have not promised the term. */
void failover_send_fences(struct failover *f, hm_time now,
			  struct actions *actions);
/** Records a promise. @return false if the member has not made it */
bool failover_take_fence(struct failover *f, struct candidate *c,
			 const struct state_report *r);
/** Handles a member that has promised another coordinator's term. */
void failover_fence_refused(struct failover *f, const struct state_report *r,
			    hm_time now, struct actions *actions);

void failover_tick_fence(struct failover *f, hm_time now,
			 struct actions *actions);
void failover_tick_hand_over(struct failover *f, hm_time now,
			     struct actions *actions);
void failover_answer_hand_over(struct failover *f, struct candidate *c,
			       const struct state_report *r, hm_time now,
			       struct actions *actions);
void failover_tick_wait(struct failover *f, hm_time now,
			struct actions *actions);
void failover_answer_wait(struct failover *f, struct candidate *c,
			  const struct state_report *r, hm_time now,
			  struct actions *actions);
void failover_tick_promote(struct failover *f, hm_time now,
			   struct actions *actions);
void failover_answer_promote(struct failover *f, struct candidate *c,
			     const struct state_report *r, hm_time now,
			     struct actions *actions);
void failover_tick_follow(struct failover *f, hm_time now,
			  struct actions *actions);
void failover_answer_follow(struct failover *f, struct candidate *c,
			    const struct state_report *r, hm_time now,
			    struct actions *actions);
/** Member by endpoint, NULL if it is no member. */
struct candidate *failover_candidate(struct failover *f, hm_id endpoint);
/** Notes the progress of the logs from a reported state. */
void suspect_report(struct failover *f, struct candidate *c,
		    const struct endpoint_state *s, hm_time now);
/** Whether the cause is that no replica receives the log of the primary. */
bool suspect_is_stalled(const char *cause);
/** Incarnation that owns a member, 0 if no owner is known. */
uint64_t failover_owner(const struct failover *f, const struct candidate *c);
/** Whether the configuration marks an endpoint as leaving. */
bool failover_is_leaving(const struct failover *f, hm_id endpoint);

/** Newest term that any member is known to have promised. */
uint64_t suspect_newest_promise(const struct failover *f);
/** Why the primary must be replaced (static text); NULL if it need not be. */
const char *suspect_cause(struct failover *f, hm_time now);
/**
 * Rank of this instance among the possible coordinators, which are the live
 * owners of replicas: the number of those that come before it.
 * @return false if this instance owns no replica
 */
bool suspect_rank(const struct failover *f, hm_id primary, uint32_t *rank);

/** Makes owned members that follow an older term follow the newest one. */
void repair_tick(struct failover *f, hm_time now, struct actions *actions);

#endif
