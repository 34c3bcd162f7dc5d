/**
 * @file executor_state.h
 * State of a home and the steps that its parts share: ending statements,
 * closing and resetting connections, sending what may be sent.
 */
#ifndef EXECUTOR_STATE_H
#define EXECUTOR_STATE_H

#include "conns.h"
#include "executor.h"
#include "fair_queue.h"

#define TX_RETRY (200 * HM_MS) /* a transaction may have ended by then */
#define BUSY_RETRY (20 * HM_MS)

struct executor {
	const struct core_options *options;
	const struct contracts *contracts;
	hm_id database;
	struct endpoint_spec spec;
	uint64_t *next_conn;
	struct fair_queue *queue;
	struct conns conns;
	struct executor_result *results;
	uint32_t result_first;
	uint32_t result_count;
	uint32_t result_capacity;
	uint64_t contract_changes; /* when the keys were last checked */
	hm_time connect_after;
	hm_time connect_backoff;
	bool down; /* no connection, and the last attempt failed */
	bool writes_blocked;
};

/** A refusal: the error, ERR_NONE for none, and when to come back. */
struct refusal {
	enum error error;
	hm_time retry_at;
};

uint32_t executor_slots(const struct executor *ex);
/** Connections that statements may use. */
uint32_t executor_max_connections(const struct executor *ex);
/** Transactions of an account that are open or opening. */
uint32_t executor_transactions_of(const struct executor *ex, hm_id account);

struct executor_result *executor_add_result(struct executor *ex,
					    const struct queue_item *item,
					    hm_time now);
/** Ends a statement that was never sent. */
void executor_end_unsent(struct executor *ex, const struct queue_item *item,
			 enum error error, hm_time retry_at, hm_time now);
/** Ends every queued statement. */
void executor_end_queue(struct executor *ex, enum error error, hm_time retry_at,
			hm_time now);
/** Ends the running statement of a connection that is dead or overdue. */
void executor_end_lost(struct executor *ex, struct conn *conn, hm_time now);

/** Appends an action that concerns @a conn and its running statement. */
void executor_add_action(const struct executor *ex, enum action_kind kind,
			 const struct conn *conn, struct actions *actions);
/** Marks a connection closed; the endpoint may count it for a while. */
void executor_drop_conn(struct conn *conn, hm_time now);
void executor_close_conn(const struct executor *ex, struct conn *conn,
			 hm_time now, struct actions *actions);
/** Ends the transaction of a connection; it is reset before other use. */
void executor_schedule_reset(struct conn *conn);
/** Cancels what runs on a connection, once. */
void executor_cancel(const struct executor *ex, struct conn *conn, hm_time now,
		     struct actions *actions);

/** Sends what slots and connections allow and opens connections. */
void executor_dispatch(struct executor *ex, hm_time now,
		       struct actions *actions);

#endif
