/**
 * @file lead_check.h
 * At the home of a primary: whether its term stood when a statement came. A
 * superseded primary goes on to answer, so the other members are asked; one
 * question serves all statements that came before it.
 */
#ifndef LEAD_CHECK_H
#define LEAD_CHECK_H

#include "proxy.h"

struct lead_check;

/** What a check depends on, borrowed for its life. */
struct lead_check_site {
	const struct proxy_options *options;
	uint64_t *next_conn;
};

struct lead_check *lead_check_new(hm_id endpoint, struct lead_check_site site);
/** Closes nothing by itself: call lead_check_close() first. */
void lead_check_free(struct lead_check *c);
/** All members of the service as registered, the primary among them. */
void lead_check_members(struct lead_check *c,
			const struct site_members *members, hm_id service,
			struct proxy_output *out);
/** Whether a commit of the service waits for a replica. */
void lead_check_sync(struct lead_check *c, bool sync);

/** A statement came that a standing primary alone may run. @return ticket */
uint64_t lead_check_begin(struct lead_check *c, hm_time now,
			  struct proxy_output *out);

enum lead_proof {
	LEAD_PROVED, /**< nothing of a later term was acknowledged before */
	LEAD_OPEN,   /**< the others have not answered yet */
	LEAD_REFUTED /**< one of them has shown a later term */
};

/** What is known of @a term for a ticket; ticket 0 needs no proof. */
enum lead_proof lead_check_proof(const struct lead_check *c, uint64_t ticket,
				 uint64_t term);
/** Proofs have been missing for a while: a new one is not waited for. */
bool lead_check_fails(const struct lead_check *c, hm_time now);

/** Whether the connection belongs to this check. */
bool lead_check_has(const struct lead_check *c, uint64_t conn);
void lead_check_ready(struct lead_check *c, uint64_t conn, hm_time now,
		      struct proxy_output *out);
void lead_check_replied(struct lead_check *c, uint64_t conn,
			const struct member_reply *reply, hm_time now,
			struct proxy_output *out);
void lead_check_closed(struct lead_check *c, uint64_t conn, hm_time now);
/** Repeats questions and closes what is silent or not needed. */
void lead_check_tick(struct lead_check *c, hm_time now,
		     struct proxy_output *out);
/** Closes all connections. */
void lead_check_close(struct lead_check *c, struct proxy_output *out);

#endif
