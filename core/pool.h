/**
 * @file pool.h
 * Connection pool of one member: connections, each of one account, and the
 * statements that wait for them in a fair queue. Before a statement is sent,
 * its connection gets the values and the prepared statement of the session.
 * Where only the primary may answer, the member is also checked to be the
 * current primary.
 */
#ifndef POOL_H
#define POOL_H

#include "primary_check.h"
#include "proxy.h"
#include "view.h"

struct pool;

/** What a pool depends on; must outlive the pool. */
struct pool_deps {
	const struct proxy_options *options;
	const struct service_state *view; /**< view of the member's service */
	uint64_t *next_conn; /**< shared counter of connection numbers */
};

struct pool *pool_new(const struct site_member *member, uint32_t connections,
		      struct pool_deps deps, hm_time now);
/** Frees a pool but closes no connections: call pool_close() first. */
void pool_free(struct pool *p);
/** Updates the member's configuration and the connection limit. */
void pool_member(struct pool *p, const struct site_member *member,
		 uint32_t connections);
/** Sets the limits of a cold member; cold_per_s 0: no limit. */
void pool_set_cold(struct pool *p, double cold_per_s, hm_time cold_time);
/**
 * Sets the number of urgency levels in the configuration; 1: all statements are
 * equally urgent. Ignored if scheduling.priority_queue is off.
 */
void pool_set_levels(struct pool *p, uint32_t levels);
/** Tells the pool that all instances started together, see restart_pace.h. */
void pool_set_restarted(struct pool *p);
hm_id pool_endpoint(const struct pool *p);
hm_id pool_service(const struct pool *p);
/**
 * Returns the pool's check that the member is the current primary. The pool
 * keeps ownership of it.
 */
struct primary_check *pool_check(const struct pool *p);

/**
 * Queues a statement, or refuses it with a result for pool_next_result().
 * @param reply_to incarnation that receives the result
 */
void pool_submit(struct pool *p, const struct run_request *run,
		 uint64_t reply_to, hm_time now, struct proxy_output *out);
/** Rolls back a transaction and refuses its queued statement. */
void pool_release(struct pool *p, struct rid tx, hm_time now,
		  struct proxy_output *out);
/** pool_release() for all transactions of an incarnation that is gone. */
void pool_release_incarnation(struct pool *p, uint64_t incarnation, hm_time now,
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
/**
 * Enforces deadlines and closes connections that are not needed.
 * @param is_owner this instance is the one that should own the member
 */
void pool_tick(struct pool *p, bool is_owner, hm_time now,
	       struct proxy_output *out);
/** Ends all statements and closes all connections. */
void pool_close(struct pool *p, hm_time now, struct proxy_output *out);

/**
 * Takes the next result, which the caller then has to free; false when there
 * is none.
 */
bool pool_next_result(struct pool *p, uint64_t *reply_to,
		      struct run_result **result);

/** Events in the life of a pool's connections. */
struct conn_counts {
	uint64_t waits;	     /**< accounts that began to wait for one */
	uint64_t given_up;   /**< idle ones closed for another account */
	uint64_t refused;    /**< refused at the member's limit */
	uint64_t reassigned; /**< of given_up, while the pool was starting */
};

struct pool_load {
	uint32_t queued;
	uint32_t running;
	uint32_t transactions;
	uint32_t connections;
	uint32_t conn_waiting; /**< accounts that wait for a connection */
	hm_time wait; /**< expected time in the queue of a new statement */
	uint64_t
		displaced; /**< refused for more urgent ones, since its start */
	/** Commits acknowledged during changes of primary, since its start. */
	uint64_t confirmed_in_change;
	struct conn_counts conn_counts; /**< since the pool was made */
};
void pool_load(const struct pool *p, struct pool_load *out);

#endif
