/** @file executor_events.c Events of the connections of an executor. */
#include "executor_state.h"
#include "outcome.h"

#define CONNECT_BACKOFF_FIRST (50 * HM_MS)
#define CONNECT_BACKOFF_MAX (1 * HM_SEC)

static struct tx_id tx_of(const struct executor *ex, const struct conn *conn)
{
	if (!conn->tx.id.seq)
		return (struct tx_id){ 0 };
	return (struct tx_id){ conn->tx.id, ex->spec.endpoint };
}

static void open_tx(struct executor *ex, struct conn *conn, hm_time now)
{
	const struct statement *s = &conn->item.statement;

	conn->tx = (struct conn_tx){
		.id = { ex->options->incarnation, ++*ex->next_conn },
		.begin = s->id,
		.account = s->account,
		.key = s->key,
		.idle_until = now + ex->options->idle_transaction,
	};
}

/* Updates the transaction of a connection after its statement has ended. */
static void update_tx(struct executor *ex, struct conn *conn, bool ok,
		      bool open, hm_time now)
{
	enum op op = conn->item.statement.op;

	conn->state = CONN_IDLE;
	conn->tx.idle_until = now + ex->options->idle_transaction;
	if (op == OP_BEGIN && ok && open)
		open_tx(ex, conn, now);
	else if (op == OP_COMMIT || op == OP_ROLLBACK)
		executor_schedule_reset(conn);
	else if (conn->tx.id.seq ? !open : open)
		executor_schedule_reset(conn);
}

static void end_done(struct executor *ex, struct conn *conn,
		     const struct event *e, hm_time now,
		     struct actions *actions)
{
	enum completion done = e->done.done;
	bool in_tx = conn->item.class == QUEUE_TX;
	struct outcome o = outcome_of(conn->item.statement.op, done, in_tx,
				      conn->cancelled);
	struct executor_result *ended =
		executor_add_result(ex, &conn->item, now);

	fair_queue_finish(ex->queue, &conn->item, now - conn->started_at,
			  !conn->cancelled, now);
	ended->error = o.error;
	ended->execution = o.execution;
	ended->started_at = conn->started_at;
	ended->before = e->done.before;
	ended->after = e->done.after;
	ended->lineage = e->done.lineage;
	ended->body = e->done.body;
	if (done == DONE_LOST || done == DONE_NOT_SENT || conn->cancelled)
		executor_close_conn(ex, conn, now, actions);
	else if (in_tx && done == DONE_REFUSED)
		executor_schedule_reset(conn);
	else
		update_tx(ex, conn, done == DONE_OK, e->done.open_tx, now);
	ended->tx = tx_of(ex, conn);
}

static void on_done(struct executor *ex, struct conn *conn,
		    const struct event *e, hm_time now, struct actions *actions)
{
	conn->last_reply_at = now;
	if (conn->state == CONN_RESETTING && !e->done.id.seq) {
		if (e->done.done == DONE_OK && !e->done.open_tx)
			conn->state = CONN_IDLE;
		else
			executor_close_conn(ex, conn, now, actions);
		return;
	}
	if (conn->state != CONN_RUNNING ||
	    !rid_equal(e->done.id, conn->item.statement.id))
		return;
	end_done(ex, conn, e, now, actions);
}

static void connect_failed(struct executor *ex, hm_time now)
{
	ex->connect_backoff *= 2;
	if (!ex->connect_backoff)
		ex->connect_backoff = CONNECT_BACKOFF_FIRST;
	if (ex->connect_backoff > CONNECT_BACKOFF_MAX)
		ex->connect_backoff = CONNECT_BACKOFF_MAX;
	ex->connect_after = now + ex->connect_backoff;
}

/*
 * When no connection is left, refuses the queued statements, so that they can
 * be sent to another endpoint.
 */
static void update_down(struct executor *ex, hm_time now)
{
	uint32_t open = ex->conns.count - conns_count(&ex->conns, CONN_CLOSED);

	ex->down = open == conns_count(&ex->conns, CONN_CONNECTING);
	if (ex->down)
		executor_end_queue(ex, ERR_NO_ENDPOINT, ex->connect_after, now);
}

static void on_closed(struct executor *ex, struct conn *conn, hm_time now)
{
	bool failed = conn->state == CONN_CONNECTING;

	if (conn->state == CONN_RUNNING)
		executor_end_lost(ex, conn, now);
	conns_remove(&ex->conns, conn);
	if (!failed)
		return;
	connect_failed(ex, now);
	update_down(ex, now);
}

static void on_connected(struct executor *ex, struct conn *conn, hm_time now)
{
	if (conn->state != CONN_CONNECTING)
		return;
	conn->state = CONN_IDLE;
	conn->last_reply_at = now;
	ex->connect_backoff = 0;
	ex->down = false;
}

bool executor_event(struct executor *ex, const struct event *e, hm_time now,
		    struct actions *actions)
{
	uint64_t number = e->kind == EV_DONE ? e->done.conn : e->conn.conn;
	struct conn *conn = conns_find(&ex->conns, number);

	if (!conn)
		return false;
	if (e->kind == EV_DONE)
		on_done(ex, conn, e, now, actions);
	else if (e->kind == EV_CLOSED)
		on_closed(ex, conn, now);
	else if (e->kind == EV_CONNECTED)
		on_connected(ex, conn, now);
	executor_dispatch(ex, now, actions);
	return true;
}
