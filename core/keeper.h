/**
 * @file keeper.h
 * The keeper of a service: the one instance that asks all its members at a
 * steady pace, tells the others what it saw, and replaces the primary.
 *
 * A commit is acknowledged once one replica has received it. Before a
 * promotion all replicas but the target are held, so that they acknowledge
 * nothing more, and the target must have received what each of them had; so
 * it holds all that was ever acknowledged. Held replicas are resumed only
 * when no promote call can be carried out late: after the change was seen, or
 * after a newer fencing token was used.
 *
 * A primary that was replaced may go on for as long as nobody tells it. Who
 * leads is therefore who leads by the newest term seen; others are told to step
 * down, and a position is a sample only when the other members show no later
 * term.
 */
#ifndef KEEPER_H
#define KEEPER_H

#include "proxy.h"
#include "view.h"

struct keeper;

/** What a keeper depends on, borrowed for its life. */
struct keeper_site {
	const struct proxy_options *options;
	uint64_t *next_conn;
	/** From then on the registered members are all that there are. */
	const hm_time *settled_at;
};

struct keeper *keeper_new(hm_id service, struct keeper_site site);
/** Closes nothing by itself: call keeper_stop() first. */
void keeper_free(struct keeper *k);
/** This instance keeps the service from now on, or no more. */
void keeper_start(struct keeper *k, hm_time now, struct proxy_output *out);
void keeper_stop(struct keeper *k, struct proxy_output *out);
/** Members as registered. */
void keeper_members(struct keeper *k, const struct site_members *members,
		    hm_time now, struct proxy_output *out);
/** Whether a commit of the service waits for a replica; it does at first. */
void keeper_sync(struct keeper *k, bool sync);
/** Somebody wants a view; the answer comes by keeper_next_view(). */
void keeper_want(struct keeper *k, uint64_t from, uint64_t seq);

bool keeper_has(const struct keeper *k, uint64_t conn);
void keeper_ready(struct keeper *k, uint64_t conn, hm_time now,
		  struct proxy_output *out);
void keeper_replied(struct keeper *k, uint64_t conn,
		    const struct member_reply *reply, hm_time now,
		    struct proxy_output *out);
void keeper_closed(struct keeper *k, uint64_t conn, enum error error,
		   hm_time now, struct proxy_output *out);
/** PROXY_TOKEN: 0 when none could be taken. */
void keeper_token(struct keeper *k, uint64_t token, hm_time now,
		  struct proxy_output *out);
void keeper_promoted(struct keeper *k, uint64_t token,
		     enum promote_outcome outcome, hm_time now,
		     struct proxy_output *out);
void keeper_tick(struct keeper *k, hm_time now, struct proxy_output *out);

/** Next view to be sent; @a to is 0 for all instances. */
bool keeper_next_view(struct keeper *k, uint64_t *to,
		      struct service_view *view);
uint64_t keeper_promotions(const struct keeper *k);

#endif
