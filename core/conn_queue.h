/**
 * @file conn_queue.h
 * Accounts that share the connections of a member. Decides which account gets
 * the next connection, which one gives an idle connection up, how long an
 * account without one has to expect to wait. Has no connections itself: the
 * pool counts its connections and queued statements in before it asks.
 */
#ifndef CONN_QUEUE_H
#define CONN_QUEUE_H

#include "priority.h"
#include "types.h"

struct conn_queue;

struct conn_queue *conn_queue_new(void);
void conn_queue_free(struct conn_queue *q);

/**
 * Records that a statement arrived while the account had @a depth others
 * queued or running. The rate of such arrivals is the rate at which connection
 * number @a depth, counted from 0, is used.
 */
void conn_queue_use(struct conn_queue *q, hm_id account, uint32_t depth,
		    hm_time now);
/** Uses per second expected of connection number @a depth of the account. */
double conn_queue_rate(const struct conn_queue *q, hm_id account,
		       uint32_t depth, hm_time now);
/** Number of accounts with a statement within the last minute. */
uint32_t conn_queue_users(const struct conn_queue *q, hm_time now);
/** Records that a connection became free for other accounts. */
void conn_queue_freed(struct conn_queue *q, hm_time now);
/**
 * Sets the number of connections per second that are expected to become free,
 * if fewer did in the last second.
 */
void conn_queue_set_rate(struct conn_queue *q, uint32_t per_s);
/** Records that the account got a connection: its turn begins. */
void conn_queue_got(struct conn_queue *q, hm_id account, hm_time now);

/** Begins to count: sets all counts of connections and statements to 0. */
void conn_queue_begin(struct conn_queue *q);
/**
 * Counts a connection.
 * @param usable it is not inside a transaction
 */
void conn_queue_add_conn(struct conn_queue *q, hm_id account, bool usable,
			 bool idle);
/** Counts a queued statement that is not inside a transaction. */
void conn_queue_add_job(struct conn_queue *q, hm_id account, uint32_t level,
			hm_time queued_at);

/** Connections that the pool has and may have. */
struct conn_room {
	uint32_t open;
	uint32_t most; /**< for level 0 and accounts without a connection */
	uint32_t most_others; /**< for all others */
	uint32_t hold;	      /**< of one account, while others wait */
};
/** Room of a member that accepts @a limit connections. */
struct conn_room conn_queue_room(const struct conn_queue *q, uint32_t limit,
				 uint32_t reserved, hm_time now);

struct conn_choice {
	bool found;    /**< @a account gets a connection */
	hm_id account; /**< 0 for statements without an account */
	bool evict;    /**< in place of an idle one of @a victim */
	hm_id victim;
	bool turn; /**< @a victim has statements queued and is to wait */
};
/** Chooses the account that gets the next connection. */
struct conn_choice conn_queue_choose(struct conn_queue *q,
				     const struct conn_room *room, hm_time now);

/**
 * Next account that has begun to wait since it was last returned here or has
 * stopped to wait; false when there is none. Call it when no further account
 * can get a connection.
 */
bool conn_queue_next_waiting(struct conn_queue *q, hm_id *account,
			     uint32_t *level);
/** Ends the wait of accounts that have a connection or no statement now. */
void conn_queue_update_waiting(struct conn_queue *q);
uint32_t conn_queue_waiting(const struct conn_queue *q);
/**
 * Expected wait for a connection of a statement whose account has none.
 * @param queued it is among the queued ones, else it is new
 * @param attempt_at when the next connection may be attempted
 */
hm_time conn_queue_wait(const struct conn_queue *q, hm_id account,
			uint32_t level, bool queued, hm_time attempt_at,
			hm_time now);

#endif
