/**
 * @file quorum.h
 * Quorum probes: rounds of probes sent to all members of a group through their
 * owners. A reply shows the state of a member at some time after its round was
 * sent. If a majority replies that it has promised no later term, the term was
 * current when the round was sent: the replies confirm it.
 */
#ifndef QUORUM_H
#define QUORUM_H

#include "group.h"

#define QUORUM_ROUNDS 32

/** A round of probes that was sent. */
struct quorum_round {
	uint64_t seq; /**< 0: unused */
	hm_time sent_at;
};

/** Reply of a member to the newest round that it replied to. */
struct quorum_reply {
	bool received;
	hm_time sent_at; /**< when that round was sent */
	struct endpoint_state state;
};

struct quorum {
	uint64_t incarnation;
	uint32_t generation; /**< group_generation() when the replies arrived */
	struct group *group; /**< borrowed; gets the confirmed positions */
	uint64_t seq;	     /**< number of the newest round */
	hm_time probed_at;   /**< when the newest round was sent */
	/** Sending time of the newest probe that a sample used. */
	hm_time sampled_at;
	struct quorum_round rounds[QUORUM_ROUNDS];
	/** Newest reply of each member, by the member's index in the group. */
	struct quorum_reply replies[ENDPOINTS_MAX];
};

/**
 * Which replies count: those to rounds sent at @a since or later, except those
 * of member @a excluded.
 */
struct quorum_query {
	hm_id excluded; /**< member whose reply is ignored, 0 for none */
	hm_time since;
};

/** Drops all rounds and replies if the members of the group have changed. */
void quorum_sync(struct quorum *p);
/** Sends a probe to every member whose owner is known. */
void quorum_probe(struct quorum *p, hm_time now, struct actions *actions);
/** Records a member's reply; false if it belongs to no recorded round. */
bool quorum_report(struct quorum *p, const struct state_report *r);

/**
 * Latest time such that @a needed members have replied to rounds sent at that
 * time or later that they have promised no term later than @a term.
 * @return -1 if there is none, HM_NEVER if @a needed is 0
 */
hm_time quorum_confirmed_at(const struct quorum *p, struct quorum_query q,
			    uint64_t term, uint32_t needed);
/**
 * Number of members that have promised no term later than that of @a at and
 * have the log up to @a at.
 */
uint32_t quorum_count_holding(const struct quorum *p, struct quorum_query q,
			      struct log_pos at);

#endif
