/**
 * @file primary_check.h
 * Probes, at the owner of a primary, the other members of its service. Their
 * replies confirm two things: that the term of the primary was current when a
 * statement arrived, since a superseded primary continues to reply; and that a
 * commit is in the logs of registered replicas, since one that only the primary
 * has heard of completes commits, too. One probe serves all statements that
 * arrived, or commits that completed, before it was sent.
 */
#ifndef PRIMARY_CHECK_H
#define PRIMARY_CHECK_H

#include "proxy.h"
#include "view.h"

struct primary_check;

/** Dependencies of a primary check; they must outlive it. */
struct primary_check_deps {
	const struct proxy_options *options;
	uint64_t *next_conn;
};

struct primary_check *primary_check_new(hm_id endpoint,
					struct primary_check_deps deps);
/** Frees a check, closes no connections: call primary_check_close() first. */
void primary_check_free(struct primary_check *c);
/** Sets the members; those of other services and the primary are ignored. */
void primary_check_set_members(struct primary_check *c,
			       const struct site_members *members,
			       hm_id service, struct proxy_output *out);
/**
 * The members set last are those in the store at @a read_at: a member whose
 * entry still names the life that it had VOTER_LIFE_SHOWN earlier has not
 * started again before that.
 */
void primary_check_members_read(struct primary_check *c, hm_time read_at,
				struct proxy_output *out);
/** Sets the number of replicas that a commit waits for; the default is 1. */
void primary_check_set_sync_replicas(struct primary_check *c, uint32_t count);

/**
 * Starts the check for a statement that may run only if the term of the primary
 * is current.
 * @return ticket, 0 if the check is switched off
 */
uint64_t primary_check_begin(struct primary_check *c, hm_time now,
			     struct proxy_output *out);

/**
 * Connects to the other members without a ticket, so that the connections are
 * ready when the first statement needs a check.
 */
void primary_check_connect(struct primary_check *c, hm_time now,
			   struct proxy_output *out);

enum term_status {
	TERM_CONFIRMED, /**< no later term had acknowledged a commit */
	TERM_PENDING,	/**< the other members have not replied yet */
	TERM_SUPERSEDED /**< one of them has shown a later term */
};

/**
 * Whether @a term was current when the ticket was issued. Ticket 0 counts as
 * confirmed.
 */
enum term_status primary_check_status(const struct primary_check *c,
				      uint64_t ticket, uint64_t term);
/**
 * Whether confirmations have been overdue for so long that a new statement
 * should not wait for one.
 */
bool primary_check_is_failing(const struct primary_check *c, hm_time now);

/** Number of replicas that a commit waits for. */
uint32_t primary_check_sync_replicas(const struct primary_check *c);
/**
 * Asks members whether they have received @a commit: the one that showed the
 * last commit the soonest, or @a all.
 */
void primary_check_request_commit(struct primary_check *c,
				  struct log_pos commit, bool all, hm_time now,
				  struct proxy_output *out);
/** Whether the reply of a member to such a request is expected soon. */
bool primary_check_commit_requested(const struct primary_check *c);
/**
 * Whether a commit of the primary may be acknowledged: as many voters as it
 * takes have it.
 * @param started the primary's present life
 * @param v what is known of its service
 */
bool primary_check_confirms(const struct primary_check *c,
			    struct log_pos commit, uint64_t started,
			    const struct service_state *v, hm_time now);
/**
 * Number of members that have received @a commit, of the @a voters that may be
 * counted or, with NULL, of all.
 */
uint32_t primary_check_received(const struct primary_check *c,
				struct log_pos commit,
				const struct voters *voters, hm_time now);
/**
 * Lists the members that count for the confirmation of @a commit.
 * @param v what is known of their service
 * @return their number
 */
uint32_t primary_check_holders(const struct primary_check *c,
			       struct log_pos commit,
			       const struct service_state *v, hm_time now,
			       const struct site_member *list[ENDPOINTS_MAX]);

/** Whether @a conn is a probe connection of this check. */
bool primary_check_owns_conn(const struct primary_check *c, uint64_t conn);
void primary_check_conn_ready(struct primary_check *c, uint64_t conn,
			      hm_time now, struct proxy_output *out);
void primary_check_replied(struct primary_check *c, uint64_t conn,
			   const struct member_reply *reply, hm_time now,
			   struct proxy_output *out);
void primary_check_conn_closed(struct primary_check *c, uint64_t conn,
			       hm_time now, struct proxy_output *out);
/** Repeats probes and closes silent or unused connections. */
void primary_check_tick(struct primary_check *c, hm_time now,
			struct proxy_output *out);
/** Closes all probe connections. */
void primary_check_close(struct primary_check *c, struct proxy_output *out);

#endif
