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
/**
 * Proves anew, by questions of this instance, an acknowledgement @a r by a home
 * elsewhere whose proof runs out: how long the message took is not known. The
 * answer comes from verify_next() with @a again set.
 */
void verify_reconfirm(struct verify *v, const struct result *r,
		      const struct statement *s, hm_time now,
		      struct actions *actions);
/** Asks, repeats questions, and gives up at deadlines. */
void verify_tick(struct verify *v, hm_time now, struct actions *actions);

/** A verified or refuted answer, ready to go to its entry instance. */
struct verified {
	struct result result;
	uint64_t reply_to;
	uint32_t attempt; /**< of the statement */
	bool retry;	  /**< read not good enough: may be tried elsewhere */
	bool reconfirmed; /**< proved anew by verify_reconfirm() */
	/**
	 * The acknowledgement must leave for the caller before this, or its
	 * outcome is unknown; HM_NEVER when a majority holds the write.
	 */
	hm_time valid_until;
	uint64_t confirmed_term; /**< that stood, when valid_until is set */
};
/**
 * Whether a result acknowledges by a proof that runs out. How long a message
 * was on its way is not known: proof made elsewhere has to be made again.
 */
bool verify_expires(const struct result *r);
/**
 * The result for a proof that ran out. The session keeps its mark, so that a
 * loss that it has not heard of stays.
 */
struct result verify_expired_result(const struct result *r);
bool verify_next(struct verify *v, struct verified *out);
uint32_t verify_pending_count(const struct verify *v);
/**
 * No proof of late that the term of the primary stands, though this is its
 * home and asks all the time: a write sent now could not be acknowledged.
 */
bool verify_is_stalled(const struct verify *v, hm_time now);

#endif
