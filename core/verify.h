/**
 * @file verify.h
 * Answers that wait for evidence before they may leave the home of the
 * endpoint: commits and reads of a primary until it is proved, by questions
 * asked after they ended or began, that its term stood; reads of an accepted
 * age until their position is checked against floor and age.
 */
#ifndef VERIFY_H
#define VERIFY_H

#include "group.h"
#include "home.h"

struct verify;

struct verify *verify_new(const struct core_options *options,
			  struct group *group);
void verify_free(struct verify *v);

/** Takes an ended statement with ERR_NONE; its answer comes later. */
void verify_add(struct verify *v, const struct home_ended *ended, hm_time now,
		struct actions *actions);
/** An answer to one of the questions; others are ignored. */
void verify_report(struct verify *v, const struct state_report *r, hm_time now,
		   struct actions *actions);
/** Asks, repeats questions, and gives up at deadlines. */
void verify_tick(struct verify *v, hm_time now, struct actions *actions);

/** A verified or refuted answer, ready to go to its entry instance. */
struct verified {
	struct result result;
	uint64_t reply_to;
	uint32_t attempt; /**< of the statement */
	bool retry;	  /**< read not good enough: may be tried elsewhere */
	/**
	 * The acknowledgement must leave for the caller before this, or its
	 * outcome is unknown; HM_NEVER when a majority holds the write.
	 */
	hm_time valid_until;
	uint64_t proved_term; /**< that stood, when valid_until is set */
};
bool verify_next(struct verify *v, struct verified *out);
uint32_t verify_waiting(const struct verify *v);
/**
 * No proof of late that the term of the primary stands, though this is its
 * home and asks all the time: a write sent now could not be acknowledged.
 */
bool verify_stalled(const struct verify *v, hm_time now);

#endif
