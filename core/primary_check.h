/**
 * @file primary_check.h
 * At the home of a primary: whether its term stood when a statement came. A
 * superseded primary goes on to answer, so the other members are asked; one
 * question serves all statements that came before it.
 */
#ifndef LEAD_CHECK_H
#define LEAD_CHECK_H

#include "proxy.h"

struct primary_check;

/** What a check depends on, borrowed for its life. */
struct primary_check_deps {
	const struct proxy_options *options;
	uint64_t *next_conn;
};

struct primary_check *primary_check_new(hm_id endpoint,
					struct primary_check_deps site);
/** Closes nothing by itself: call primary_check_close() first. */
void primary_check_free(struct primary_check *c);
/** All members of the service as registered, the primary among them. */
void primary_check_set_members(struct primary_check *c,
			       const struct site_members *members,
			       hm_id service, struct proxy_output *out);
/** Whether a commit of the service waits for a replica. */
void primary_check_set_sync(struct primary_check *c, bool sync);

/** A statement came that a standing primary alone may run. @return ticket */
uint64_t primary_check_begin(struct primary_check *c, hm_time now,
			     struct proxy_output *out);

enum primary_status {
	PRIMARY_CONFIRMED, /**< nothing of a later term was acknowledged before */
	PRIMARY_UNCONFIRMED, /**< the others have not answered yet */
	PRIMARY_SUPERSEDED   /**< one of them has shown a later term */
};

/** What is known of @a term for a ticket; ticket 0 needs no proof. */
enum primary_status primary_check_status(const struct primary_check *c,
					 uint64_t ticket, uint64_t term);
/** Proofs have been missing for a while: a new one is not waited for. */
bool primary_check_is_failing(const struct primary_check *c, hm_time now);

/** Whether the connection belongs to this check. */
bool primary_check_owns_conn(const struct primary_check *c, uint64_t conn);
void primary_check_conn_ready(struct primary_check *c, uint64_t conn,
			      hm_time now, struct proxy_output *out);
void primary_check_replied(struct primary_check *c, uint64_t conn,
			   const struct member_reply *reply, hm_time now,
			   struct proxy_output *out);
void primary_check_conn_closed(struct primary_check *c, uint64_t conn,
			       hm_time now);
/** Repeats questions and closes what is silent or not needed. */
void primary_check_tick(struct primary_check *c, hm_time now,
			struct proxy_output *out);
/** Closes all connections. */
void primary_check_close(struct primary_check *c, struct proxy_output *out);

#endif
