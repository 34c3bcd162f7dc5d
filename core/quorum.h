/**
 * @file quorum.h
 * Rounds of questions to all members of a group, through their homes. An
 * answer shows the member's state at some moment after its round was asked,
 * so that it proves what held at the time of the question and later.
 */
#ifndef PROOF_H
#define PROOF_H

#include "group.h"

#define QUORUM_ROUNDS 32

struct quorum_round {
	uint64_t seq; /**< 0: unused */
	hm_time sent_at;
};

/** Newest answer of a member, by the time of its question. */
struct quorum_reply {
	bool received;
	hm_time sent_at;
	struct endpoint_state state;
};

struct quorum {
	uint64_t incarnation;
	uint32_t generation; /**< of the members that were asked */
	struct group *group; /**< borrowed; gets samples */
	uint64_t seq;	     /**< of the newest round */
	hm_time probed_at;   /**< of the newest round */
	hm_time sampled_at;  /**< of the newest sample */
	struct quorum_round rounds[QUORUM_ROUNDS];
	struct quorum_reply replies[ENDPOINTS_MAX]; /**< by index */
};

/** Which answers count: those asked for since, besides those of @a endpoint. */
struct quorum_query {
	hm_id excluded; /**< left out, 0 for none */
	hm_time since;
};

/** Forgets all answers if the members have changed since. */
void quorum_sync(struct quorum *p);
/** Sends a question to every member whose home is known. */
void quorum_probe(struct quorum *p, hm_time now, struct actions *actions);
/** Takes an answer; false when it belongs to no round kept. */
bool quorum_report(struct quorum *p, const struct state_report *r);

/**
 * Latest time such that @a needed members answered questions sent since then
 * that they are bound to no term later than @a term; -1 when there is none,
 * HM_NEVER when none are needed.
 */
hm_time quorum_confirmed_at(const struct quorum *p, struct quorum_query q,
			    uint64_t term, uint32_t needed);
/** Members that also hold the log up to @a at, written under its term. */
uint32_t quorum_count_holding(const struct quorum *p, struct quorum_query q,
			      struct mark at);

#endif
