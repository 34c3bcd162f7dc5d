/**
 * @file verify.h
 * Verification of results before they leave the owner of the endpoint. The
 * result of a commit or a read of the primary waits until the primary's term is
 * confirmed by probes sent after the commit ended or the read began. The result
 * of a read that accepts an age waits until the log position that it saw is
 * checked against the session floor and the accepted age.
 */
#ifndef VERIFY_H
#define VERIFY_H

#include "executor.h"
#include "group.h"

struct verify;

struct verify *verify_new(const struct core_options *options,
			  struct group *group);
void verify_free(struct verify *v);

/** Adds a statement that ended with ERR_NONE; see verify_next(). */
void verify_add(struct verify *v, const struct executor_result *ended,
		hm_time now, struct actions *actions);
/** Takes a reply to one of the probes; other reports are ignored. */
void verify_report(struct verify *v, const struct state_report *r, hm_time now,
		   struct actions *actions);
/**
 * Confirms again, by probes of this instance, an acknowledgement @a r that an
 * owner on another instance sent with a confirmation that expires: it is not
 * known how long the message took. The result comes from verify_next() with
 * verified.reconfirmed set.
 */
void verify_reconfirm(struct verify *v, const struct result *r,
		      const struct statement *s, hm_time now,
		      struct actions *actions);
/** Sends and repeats probes; ends results at their deadlines. */
void verify_tick(struct verify *v, hm_time now, struct actions *actions);

/** A result after its check, ready to be sent to the ingress instance. */
struct verified {
	struct result result;
	uint64_t reply_to;
	uint32_t attempt; /**< number of the statement's attempt */
	bool retry;	  /**< read not confirmed: may run on another member */
	bool reconfirmed; /**< added by verify_reconfirm() */
	/**
	 * The acknowledgement must be sent to the client before this time,
	 * otherwise the outcome is unknown; HM_NEVER if a majority has the
	 * write.
	 */
	hm_time valid_until;
	uint64_t confirmed_term; /**< confirmed term, if valid_until is set */
};
/**
 * Whether a result is an acknowledgement whose confirmation expires. It is not
 * known how long a message took, so a confirmation by another instance has to
 * be repeated here.
 */
bool verify_expires(const struct result *r);
/**
 * Replaces a result whose confirmation has expired by an unknown outcome. The
 * session floor stays, so that a lost write that was not yet reported to the
 * session is reported later.
 */
struct result verify_expired_result(const struct result *r);
/** Takes the next checked result; false if there is none. */
bool verify_next(struct verify *v, struct verified *out);
/** Number of results that wait for their check. */
uint32_t verify_pending_count(const struct verify *v);
/**
 * Whether this instance owns the primary but has not been able to confirm its
 * term for a while: a write sent now could not be acknowledged.
 */
bool verify_is_stalled(const struct verify *v, hm_time now);

#endif
