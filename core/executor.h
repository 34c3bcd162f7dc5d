/**
 * @file executor.h
 * Runs statements on one endpoint at the instance that owns the endpoint, the
 * only one that connects to it. An executor has the connections, the statement
 * slots, the open transactions and a fair queue over client accounts. The cost
 * of a statement is the time for which it occupies a slot; the weights of the
 * accounts come from their contracts.
 */
#ifndef EXECUTOR_H
#define EXECUTOR_H

#include "contracts.h"
#include "core.h"

struct executor;

/**
 * @a contracts, @a options and @a next_conn must outlive the executor.
 * Connections are numbered by ++*next_conn. All executors of a core share this
 * counter, so that a connection number is never used twice in one run of the
 * process.
 */
struct executor *executor_new(const struct core_options *options,
			      const struct contracts *contracts,
			      const struct database_spec *database,
			      const struct endpoint_spec *endpoint,
			      uint64_t *next_conn, hm_time now);
/** Does not close connections: call executor_close() first. */
void executor_free(struct executor *ex);

/** Updates the limits and the leaving flag of the endpoint. */
void executor_set_spec(struct executor *ex,
		       const struct endpoint_spec *endpoint);

/** Result of a statement that finished, failed or was refused. */
struct executor_result {
	struct statement statement;
	hm_id endpoint;
	uint64_t reply_to; /**< incarnation that receives the result */
	enum error error;  /**< ERR_NONE: the database answered */
	enum execution execution;
	hm_time retry_at;
	hm_time started_at; /**< when the statement was sent */
	hm_time ended_at;
	struct log_pos before;
	struct log_pos after;
	struct lineage lineage;
	struct tx_id tx;
	uint64_t body;
};

/**
 * Queues a statement, or refuses it with a result for executor_next_result().
 * A statement that is already queued or running is ignored.
 */
void executor_submit(struct executor *ex, const struct statement *s,
		     uint64_t reply_to, hm_time now, struct actions *actions);
/**
 * The client of request @a id disconnected: removes its statement from the
 * queue or cancels it, or rolls back the transaction that it opened.
 */
void executor_abandon(struct executor *ex, struct rid id, hm_time now,
		      struct actions *actions);
/**
 * Handles EV_CONNECTED, EV_CLOSED and EV_DONE.
 * @return false when the connection does not belong to this executor
 */
bool executor_event(struct executor *ex, const struct event *e, hm_time now,
		    struct actions *actions);
/**
 * Enforces deadlines, rolls back idle transactions, ends statements of
 * withdrawn keys and dispatches queued statements.
 */
void executor_tick(struct executor *ex, hm_time now, struct actions *actions);
/** Takes the next result; false when there is none. */
bool executor_next_result(struct executor *ex, struct executor_result *out);

/**
 * While @a blocked, only reads outside of transactions are sent; all other
 * statements stay in the queue.
 */
void executor_block_writes(struct executor *ex, bool blocked);
/**
 * Closes all connections and ends all statements, as when the endpoint is
 * lost. The endpoint rolls back the open transactions.
 */
void executor_close(struct executor *ex, hm_time now, struct actions *actions);

struct executor_load {
	uint32_t queued;
	uint32_t running;
	uint32_t free_slots;
	uint32_t connections;
	uint32_t transactions;
	hm_time wait; /**< expected wait of a new statement */
};
void executor_get_load(const struct executor *ex, hm_time now,
		       struct executor_load *out);

#endif
