/**
 * @file monitor.h
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

struct monitor;

/** What a keeper depends on, borrowed for its life. */
struct monitor_deps {
	const struct proxy_options *options;
	uint64_t *next_conn;
	/** From then on the registered members are all that there are. */
	const hm_time *settled_at;
};

struct monitor *monitor_new(hm_id service, struct monitor_deps site);
/** Closes nothing by itself: call monitor_stop() first. */
void monitor_free(struct monitor *k);
/** This instance keeps the service from now on, or no more. */
void monitor_start(struct monitor *k, hm_time now, struct proxy_output *out);
void monitor_stop(struct monitor *k, struct proxy_output *out);
/** Members as registered. */
void monitor_set_members(struct monitor *k, const struct site_members *members,
			 hm_time now, struct proxy_output *out);
/** Whether a commit of the service waits for a replica; it does at first. */
void monitor_set_sync(struct monitor *k, bool sync);
/** Somebody wants a view; the answer comes by monitor_next_view(). */
void monitor_request_view(struct monitor *k, uint64_t from, uint64_t seq);

bool monitor_owns_conn(const struct monitor *k, uint64_t conn);
void monitor_conn_ready(struct monitor *k, uint64_t conn, hm_time now,
			struct proxy_output *out);
void monitor_replied(struct monitor *k, uint64_t conn,
		     const struct member_reply *reply, hm_time now,
		     struct proxy_output *out);
void monitor_conn_closed(struct monitor *k, uint64_t conn, enum error error,
			 hm_time now, struct proxy_output *out);
/** PROXY_TOKEN: 0 when none could be taken. */
void monitor_token_taken(struct monitor *k, uint64_t token, hm_time now,
			 struct proxy_output *out);
void monitor_promote_result(struct monitor *k, uint64_t token,
			    enum promote_outcome outcome, hm_time now,
			    struct proxy_output *out);
void monitor_tick(struct monitor *k, hm_time now, struct proxy_output *out);

/** Next view to be sent; @a to is 0 for all instances. */
bool monitor_next_view(struct monitor *k, uint64_t *to,
		       struct service_view *view);
uint64_t monitor_promotions(const struct monitor *k);

#endif
