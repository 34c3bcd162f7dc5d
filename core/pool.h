/**
 * @file pool.h
 * Connections of one instance to one member, each bound to one account, and
 * the statements that wait for them. Accounts take turns by slot time; a
 * connection is given the values and prepared statements of the session that
 * it serves next, and its member proves that it may answer, before the
 * statement itself is sent.
 */
#ifndef POOL_H
#define POOL_H

#include "lead_check.h"
#include "proxy.h"
#include "view.h"

struct pool;

/** What a pool depends on, borrowed for its life. */
struct pool_site {
	const struct proxy_options *options;
	const struct service_state *view; /**< of the member's service */
	uint64_t *next_conn;		  /**< numbers of connections, shared */
};

struct pool *pool_new(const struct site_member *member, uint32_t connections,
		      struct pool_site site, hm_time now);
/** Closes nothing by itself: call pool_close() first. */
void pool_free(struct pool *p);
/** The member's entry or the limit of connections changed. */
void pool_member(struct pool *p, const struct site_member *member,
		 uint32_t connections, hm_time now);
hm_id pool_endpoint(const struct pool *p);
hm_id pool_service(const struct pool *p);
/** Proves that the member leads; owned by the pool. */
struct lead_check *pool_check(const struct pool *p);

/** Queues a statement for the instance @a reply_to, or refuses it. */
void pool_submit(struct pool *p, const struct run_request *order,
		 uint64_t reply_to, hm_time now, struct proxy_output *out);
/** Rolls back a transaction and drops what it waits for. */
void pool_release(struct pool *p, struct rid tx, hm_time now,
		  struct proxy_output *out);
/** The same for all transactions of an instance that is gone. */
void pool_release_life(struct pool *p, uint64_t life, hm_time now,
		       struct proxy_output *out);

/** Whether the connection belongs to this pool. */
bool pool_has(const struct pool *p, uint64_t conn);
void pool_ready(struct pool *p, uint64_t conn, hm_time now,
		struct proxy_output *out);
void pool_replied(struct pool *p, uint64_t conn,
		  const struct member_reply *reply, hm_time now,
		  struct proxy_output *out);
void pool_closed(struct pool *p, uint64_t conn, enum error error, hm_time now,
		 struct proxy_output *out);
/** Deadlines; @a homed: this instance is the one to hold the member. */
void pool_tick(struct pool *p, bool homed, hm_time now,
	       struct proxy_output *out);
/** Ends all statements and closes all connections. */
void pool_close(struct pool *p, hm_time now, struct proxy_output *out);

/** Next finished statement, owned by the caller; false when none. */
bool pool_next_result(struct pool *p, uint64_t *reply_to,
		      struct run_result **result);

struct pool_load {
	uint32_t queued;
	uint32_t running;
	uint32_t transactions;
	uint32_t connections;
	hm_time wait; /**< expected for a new statement */
};
void pool_load(const struct pool *p, struct pool_load *out);

#endif
