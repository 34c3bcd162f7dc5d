/** @file executor_state.c Ends statements and connections of an executor. */
#include "executor_state.h"

#include "grow.h"
#include "outcome.h"

#define RESERVED_CONNECTIONS 3 /* left free for control commands */
#define CANCEL_GRACE (100 * HM_MS)
/* Time in which the endpoint notices that a connection was closed. */
#define CLOSE_NOTICE_TIME (100 * HM_MS)

uint32_t executor_slots(const struct executor *ex)
{
	return ex->spec.slots ? ex->spec.slots : 1;
}

uint32_t executor_max_connections(const struct executor *ex)
{
	if (ex->spec.connections <= RESERVED_CONNECTIONS)
		return 1;
	return ex->spec.connections - RESERVED_CONNECTIONS;
}

uint32_t executor_transactions_of(const struct executor *ex, hm_id account)
{
	uint32_t n = conns_transactions(&ex->conns, account);
	uint32_t i;

	for (i = 0; i < ex->conns.count; i++)
		if (ex->conns.list[i].state == CONN_RUNNING &&
		    ex->conns.list[i].item.class == QUEUE_BEGIN &&
		    ex->conns.list[i].item.statement.account == account)
			n++;
	return n;
}

struct executor_result *executor_add_result(struct executor *ex,
					    const struct queue_item *item,
					    hm_time now)
{
	struct executor_result *e;

	ex->results = grow_list(ex->results, ex->result_count,
				&ex->result_capacity, sizeof(*ex->results));
	e = &ex->results[ex->result_count++];
	*e = (struct executor_result){ .statement = item->statement,
				       .endpoint = ex->spec.endpoint,
				       .reply_to = item->reply_to,
				       .ended_at = now };
	return e;
}

void executor_end_unsent(struct executor *ex, const struct queue_item *item,
			 enum error error, hm_time retry_at, hm_time now)
{
	struct executor_result *e = executor_add_result(ex, item, now);
	struct conn *conn;

	e->error = error;
	e->execution = EXEC_NOT_RUN;
	e->retry_at = retry_at;
	if (item->class != QUEUE_TX)
		return;
	conn = conns_of_tx(&ex->conns, item->statement.tx.id);
	if (!conn)
		return;
	conn->tx.queued = false;
	conn->tx.idle_until = now + ex->options->idle_transaction;
	e->tx = item->statement.tx;
}

static bool is_any(const void *context, const struct queue_item *item)
{
	(void)context;
	(void)item;
	return true;
}

void executor_end_queue(struct executor *ex, enum error error, hm_time retry_at,
			hm_time now)
{
	struct queue_item item;

	while (fair_queue_remove(ex->queue, is_any, NULL, &item))
		executor_end_unsent(ex, &item, error, retry_at, now);
}

void executor_add_action(const struct executor *ex, enum action_kind kind,
			 const struct conn *conn, struct actions *actions)
{
	struct action *act = actions_add(actions, kind);

	act->conn.conn = conn->number;
	act->conn.database = ex->database;
	act->conn.endpoint = ex->spec.endpoint;
	if (kind == ACT_EXECUTE)
		act->conn.statement = conn->item.statement;
}

void executor_drop_conn(struct conn *conn, hm_time now)
{
	conn->had_slot =
		conn->state == CONN_RUNNING || conn->state == CONN_RESETTING;
	conn->state = CONN_CLOSED;
	conn->expires_at = now + CLOSE_NOTICE_TIME;
	conn->tx = (struct conn_tx){ 0 };
}

void executor_close_conn(const struct executor *ex, struct conn *conn,
			 hm_time now, struct actions *actions)
{
	executor_add_action(ex, ACT_CLOSE, conn, actions);
	executor_drop_conn(conn, now);
}

void executor_schedule_reset(struct conn *conn)
{
	conn->state = CONN_RESET_DUE;
	conn->tx = (struct conn_tx){ 0 };
}

void executor_cancel(const struct executor *ex, struct conn *conn, hm_time now,
		     struct actions *actions)
{
	if (conn->cancelled)
		return;
	executor_add_action(ex, ACT_CANCEL, conn, actions);
	conn->cancelled = true;
	conn->expires_at = now + CANCEL_GRACE;
}

void executor_end_lost(struct executor *ex, struct conn *conn, hm_time now)
{
	bool in_tx = conn->item.class == QUEUE_TX;
	struct executor_result *e = executor_add_result(ex, &conn->item, now);
	struct outcome o = outcome_of(conn->item.statement.op, DONE_LOST, in_tx,
				      conn->cancelled);

	fair_queue_finish(ex->queue, &conn->item, now - conn->started_at, false,
			  now);
	e->error = o.error;
	e->execution = o.execution;
	e->started_at = conn->started_at;
	executor_drop_conn(conn, now);
}
