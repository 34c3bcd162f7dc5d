/** @file home_state.c Ends of statements and of connections of a home. */
#include "home_state.h"

#include <stdlib.h>

#include "outcome.h"

#define CONTROL_CONNECTIONS 3 /* kept free for control steps */
#define CANCEL_GRACE (100 * HM_MS)
#define CLOSED_COUNTED (100 * HM_MS) /* an endpoint notices a close by then */

uint32_t home_slots(const struct home *h)
{
	return h->spec.slots ? h->spec.slots : 1;
}

/* Connections for statements. */
uint32_t home_connections_most(const struct home *h)
{
	if (h->spec.connections <= CONTROL_CONNECTIONS)
		return 1;
	return h->spec.connections - CONTROL_CONNECTIONS;
}

/* Transactions of an account that are open, opening or about to. */
uint32_t home_transactions_of(const struct home *h, hm_id account)
{
	uint32_t n = conns_transactions(&h->conns, account);
	uint32_t i;

	for (i = 0; i < h->conns.count; i++)
		if (h->conns.list[i].state == CONN_RUNNING &&
		    h->conns.list[i].turn.class == TURN_BEGIN &&
		    h->conns.list[i].turn.statement.account == account)
			n++;
	return n;
}

struct home_ended *home_add_ended(struct home *h, const struct turn *turn,
				  hm_time now)
{
	struct home_ended *e;

	if (h->ended_count == h->ended_room) {
		uint32_t room = h->ended_room ? h->ended_room * 2 : 16;

		e = realloc(h->ended, room * sizeof(*e));
		if (!e)
			abort();
		h->ended = e;
		h->ended_room = room;
	}
	e = &h->ended[h->ended_count++];
	*e = (struct home_ended){ .statement = turn->statement,
				  .endpoint = h->spec.endpoint,
				  .reply_to = turn->reply_to,
				  .ended_at = now };
	return e;
}

/* Ends a statement that was never sent. */
void home_end_unsent(struct home *h, const struct turn *turn, enum error error,
		     hm_time retry_at, hm_time now)
{
	struct home_ended *e = home_add_ended(h, turn, now);
	struct conn *conn;

	e->error = error;
	e->execution = EXEC_NOT_RUN;
	e->retry_at = retry_at;
	if (turn->class != TURN_TX)
		return;
	conn = conns_of_tx(&h->conns, turn->statement.tx.id);
	if (!conn)
		return;
	conn->tx.queued = false;
	conn->tx.idle_until = now + h->options->idle_transaction;
	e->tx = turn->statement.tx;
}

static bool is_any(const void *context, const struct turn *turn)
{
	(void)context;
	(void)turn;
	return true;
}

void home_end_queue(struct home *h, enum error error, hm_time retry_at,
		    hm_time now)
{
	struct turn turn;

	while (turns_remove(h->turns, is_any, NULL, &turn))
		home_end_unsent(h, &turn, error, retry_at, now);
}

void home_act(const struct home *h, enum action_kind kind,
	      const struct conn *conn, struct actions *actions)
{
	struct action *act = actions_add(actions, kind);

	act->conn.conn = conn->number;
	act->conn.database = h->database;
	act->conn.endpoint = h->spec.endpoint;
	if (kind == ACT_EXECUTE)
		act->conn.statement = conn->turn.statement;
}

/* The endpoint may count the connection for a while longer. */
void home_drop_conn(struct conn *conn, hm_time now)
{
	conn->had_slot =
		conn->state == CONN_RUNNING || conn->state == CONN_RESETTING;
	conn->state = CONN_CLOSED;
	conn->until = now + CLOSED_COUNTED;
	conn->tx = (struct conn_tx){ 0 };
}

void home_close_conn(const struct home *h, struct conn *conn, hm_time now,
		     struct actions *actions)
{
	home_act(h, ACT_CLOSE, conn, actions);
	home_drop_conn(conn, now);
}

void home_want_reset(struct conn *conn)
{
	conn->state = CONN_RESET_DUE;
	conn->tx = (struct conn_tx){ 0 };
}

void home_cancel(const struct home *h, struct conn *conn, hm_time now,
		 struct actions *actions)
{
	if (conn->cancelled)
		return;
	home_act(h, ACT_CANCEL, conn, actions);
	conn->cancelled = true;
	conn->until = now + CANCEL_GRACE;
}

/* Ends the running statement of a connection that is dead or overdue. */
void home_end_lost(struct home *h, struct conn *conn, hm_time now)
{
	bool in_tx = conn->turn.class == TURN_TX;
	struct home_ended *e = home_add_ended(h, &conn->turn, now);
	struct outcome o = outcome_of(conn->turn.statement.op, DONE_LOST, in_tx,
				      conn->cancelled);

	turns_ended(h->turns, &conn->turn, now - conn->started_at, false, now);
	e->error = o.error;
	e->execution = o.execution;
	e->started_at = conn->started_at;
	home_drop_conn(conn, now);
}
