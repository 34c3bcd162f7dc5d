/** @file home_events.c What connections and statements of a home report. */
#include "home_state.h"
#include "outcome.h"

#define CONNECT_PAUSE_FIRST (50 * HM_MS)
#define CONNECT_PAUSE_MAX (1 * HM_SEC)

static struct tx_id tx_of(const struct home *h, const struct conn *conn)
{
	if (!conn->tx.id.seq)
		return (struct tx_id){ 0 };
	return (struct tx_id){ conn->tx.id, h->spec.endpoint };
}

static void open_tx(struct home *h, struct conn *conn, hm_time now)
{
	const struct statement *s = &conn->turn.statement;

	conn->tx = (struct conn_tx){
		.id = { h->options->incarnation, ++*h->next_conn },
		.begin = s->id,
		.account = s->account,
		.key = s->key,
		.idle_until = now + h->options->idle_transaction,
	};
}

/* Brings the transaction of a connection up to what its statement did. */
static void follow_tx(struct home *h, struct conn *conn, bool ok, bool open,
		      hm_time now)
{
	enum op op = conn->turn.statement.op;

	conn->state = CONN_IDLE;
	conn->tx.idle_until = now + h->options->idle_transaction;
	if (op == OP_BEGIN && ok && open)
		open_tx(h, conn, now);
	else if (op == OP_COMMIT || op == OP_ROLLBACK)
		home_want_reset(conn);
	else if (conn->tx.id.seq ? !open : open)
		home_want_reset(conn);
}

static void end_done(struct home *h, struct conn *conn, const struct event *e,
		     hm_time now, struct actions *actions)
{
	enum completion done = e->done.done;
	bool in_tx = conn->turn.class == TURN_TX;
	struct outcome o = outcome_of(conn->turn.statement.op, done, in_tx,
				      conn->cancelled);
	struct home_ended *ended = home_add_ended(h, &conn->turn, now);

	turns_ended(h->turns, &conn->turn, now - conn->started_at,
		    !conn->cancelled, now);
	ended->error = o.error;
	ended->execution = o.execution;
	ended->started_at = conn->started_at;
	ended->before = e->done.before;
	ended->after = e->done.after;
	ended->lineage = e->done.lineage;
	ended->body = e->done.body;
	if (done == DONE_LOST || done == DONE_NOT_SENT || conn->cancelled)
		home_close_conn(h, conn, now, actions);
	else if (in_tx && done == DONE_REFUSED)
		home_want_reset(conn);
	else
		follow_tx(h, conn, done == DONE_OK, e->done.open_tx, now);
	ended->tx = tx_of(h, conn);
}

static void on_done(struct home *h, struct conn *conn, const struct event *e,
		    hm_time now, struct actions *actions)
{
	conn->heard_at = now;
	if (conn->state == CONN_RESETTING && !e->done.id.seq) {
		if (e->done.done == DONE_OK && !e->done.open_tx)
			conn->state = CONN_IDLE;
		else
			home_close_conn(h, conn, now, actions);
		return;
	}
	if (conn->state != CONN_RUNNING ||
	    !rid_equal(e->done.id, conn->turn.statement.id))
		return;
	end_done(h, conn, e, now, actions);
}

static void connect_failed(struct home *h, hm_time now)
{
	h->connect_pause *= 2;
	if (!h->connect_pause)
		h->connect_pause = CONNECT_PAUSE_FIRST;
	if (h->connect_pause > CONNECT_PAUSE_MAX)
		h->connect_pause = CONNECT_PAUSE_MAX;
	h->connect_after = now + h->connect_pause;
}

/* Without any connection the queue is better served elsewhere. */
static void notice_down(struct home *h, hm_time now)
{
	uint32_t open = h->conns.count - conns_count(&h->conns, CONN_CLOSED);

	h->down = open == conns_count(&h->conns, CONN_CONNECTING);
	if (h->down)
		home_end_queue(h, ERR_NO_ENDPOINT, h->connect_after, now);
}

static void on_closed(struct home *h, struct conn *conn, hm_time now)
{
	bool failed = conn->state == CONN_CONNECTING;

	if (conn->state == CONN_RUNNING)
		home_end_lost(h, conn, now);
	conns_remove(&h->conns, conn);
	if (!failed)
		return;
	connect_failed(h, now);
	notice_down(h, now);
}

static void on_connected(struct home *h, struct conn *conn, hm_time now)
{
	if (conn->state != CONN_CONNECTING)
		return;
	conn->state = CONN_IDLE;
	conn->heard_at = now;
	h->connect_pause = 0;
	h->down = false;
}

bool home_event(struct home *h, const struct event *e, hm_time now,
		struct actions *actions)
{
	uint64_t number = e->kind == EV_DONE ? e->done.conn : e->conn.conn;
	struct conn *conn = conns_find(&h->conns, number);

	if (!conn)
		return false;
	if (e->kind == EV_DONE)
		on_done(h, conn, e, now, actions);
	else if (e->kind == EV_CLOSED)
		on_closed(h, conn, now);
	else if (e->kind == EV_CONNECTED)
		on_connected(h, conn, now);
	home_dispatch(h, now, actions);
	return true;
}
