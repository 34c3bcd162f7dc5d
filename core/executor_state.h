/**
 * @file executor_state.h
 * State of an executor and the functions that its source files share: ending
 * statements, closing and resetting connections, dispatching statements.
 */
#ifndef EXECUTOR_STATE_H
#define EXECUTOR_STATE_H

#include "conns.h"
#include "executor.h"
#include "fair_queue.h"

/*
 * Clients refused at the transaction limit are told to retry after this time;
 * a transaction may have ended by then.
 */
#define TX_RETRY (200 * HM_MS)
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
	/* contracts_changes() when withdrawn keys were last looked for */
	uint64_t contract_changes;
	hm_time connect_after;
	hm_time connect_backoff;
	bool down; /* not connected, and the last attempt failed */
	bool writes_blocked;
};

/**
 * Why a statement is refused, ERR_NONE if it is not refused, and when the
 * client may retry.
 */
struct refusal {
	enum error error;
	hm_time retry_at;
};

uint32_t executor_slots(const struct executor *ex);
/** Number of connections that statements may use. */
uint32_t executor_max_connections(const struct executor *ex);
/** Number of transactions of an account that are open or being opened. */
uint32_t executor_transactions_of(const struct executor *ex, hm_id account);

struct executor_result *executor_add_result(struct executor *ex,
					    const struct queue_item *item,
					    hm_time now);
/** Adds the result of a statement that was never sent: not run, @a error. */
void executor_end_unsent(struct executor *ex, const struct queue_item *item,
			 enum error error, hm_time retry_at, hm_time now);
/** Empties the queue; each statement gets the result not run, @a error. */
void executor_end_queue(struct executor *ex, enum error error, hm_time retry_at,
			hm_time now);
/** Ends the running statement of a connection that closed or timed out. */
void executor_end_lost(struct executor *ex, struct conn *conn, hm_time now);

/** Appends an action that concerns @a conn and its running statement. */
void executor_add_action(const struct executor *ex, enum action_kind kind,
			 const struct conn *conn, struct actions *actions);
/**
 * Marks a connection as closed. It stays in the table while the endpoint may
 * still count it.
 */
void executor_drop_conn(struct conn *conn, hm_time now);
void executor_close_conn(const struct executor *ex, struct conn *conn,
			 hm_time now, struct actions *actions);
/** Ends the transaction of a connection, which is reset before its next use. */
void executor_schedule_reset(struct conn *conn);
/**
 * Cancels the running statement of a connection; does nothing if it was
 * cancelled before.
 */
void executor_cancel(const struct executor *ex, struct conn *conn, hm_time now,
		     struct actions *actions);

/**
 * Sends queued statements while slots and connections are free, and opens
 * connections.
 */
void executor_dispatch(struct executor *ex, hm_time now,
		       struct actions *actions);

#endif
