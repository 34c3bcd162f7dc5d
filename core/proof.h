/**
 * @file proof.h
 * Rounds of questions to all members of a group, through their homes. An
 * answer shows the member's state at some moment after its round was asked,
 * so that it proves what held at the time of the question and later.
 */
#ifndef PROOF_H
#define PROOF_H

#include "group.h"

#define PROOF_ROUNDS 32

struct proof_round {
	uint64_t seq; /**< 0: unused */
	hm_time asked_at;
};

/** Newest answer of a member, by the time of its question. */
struct proof_answer {
	bool given;
	hm_time asked_at;
	struct endpoint_state state;
};

struct proof {
	uint64_t life;
	uint32_t generation; /**< of the members that were asked */
	struct group *group; /**< borrowed; gets samples */
	uint64_t seq;	     /**< of the newest round */
	hm_time asked_at;    /**< of the newest round */
	hm_time sampled_at;  /**< of the newest sample */
	struct proof_round asked[PROOF_ROUNDS];
	struct proof_answer answers[ENDPOINTS_MAX]; /**< by index */
};

/** Which answers count: those asked for since, besides those of @a endpoint. */
struct proof_query {
	hm_id endpoint; /**< left out, 0 for none */
	hm_time since;
};

/** Forgets all answers if the members have changed since. */
void proof_sync(struct proof *p);
/** Sends a question to every member whose home is known. */
void proof_ask(struct proof *p, hm_time now, struct actions *actions);
/** Takes an answer; false when it belongs to no round kept. */
bool proof_report(struct proof *p, const struct state_report *r);

/**
 * Latest time such that @a needed members answered questions sent since then
 * that they are bound to no term later than @a term; -1 when there is none,
 * HM_NEVER when none are needed.
 */
hm_time proof_stood_at(const struct proof *p, struct proof_query q,
		       uint64_t term, uint32_t needed);
/** Members that also hold the log up to @a at, written under its term. */
uint32_t proof_holding(const struct proof *p, struct proof_query q,
		       struct log_pos at);

#endif
