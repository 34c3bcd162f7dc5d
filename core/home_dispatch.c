/** @file home_dispatch.c Who goes next, and on which connection. */
#include "home_state.h"

#define RESET_LIMIT (1 * HM_SEC)

/* Transactions leave a connection per slot to single statements. */
static uint32_t transactions_most(const struct home *h)
{
	uint32_t most = home_connections_most(h);

	if (most > home_slots(h))
		return most - home_slots(h);
	return most > 1 ? most - 1 : 1;
}

static void execute(struct home *h, struct conn *conn, const struct turn *turn,
		    hm_time now, struct actions *actions)
{
	hm_time limit = now + h->options->statement_limit;

	conn->turn = *turn;
	conn->state = CONN_RUNNING;
	conn->cancelled = false;
	conn->started_at = now;
	conn->until = turn->statement.deadline;
	if (conn->until > limit)
		conn->until = limit;
	conn->tx.queued = false;
	home_act(h, ACT_EXECUTE, conn, actions);
}

static uint32_t slots_free(const struct home *h)
{
	uint32_t used = conns_slots_used(&h->conns);

	return used < home_slots(h) ? home_slots(h) - used : 0;
}

static void start_resets(struct home *h, hm_time now, struct actions *actions)
{
	uint32_t i;

	for (i = 0; i < h->conns.count; i++) {
		struct conn *conn = &h->conns.list[i];

		if (conn->state != CONN_RESET_DUE)
			continue;
		if (!slots_free(h))
			return;
		conn->state = CONN_RESETTING;
		conn->until = now + RESET_LIMIT;
		home_act(h, ACT_RESET, conn, actions);
	}
}

/* Classes of statements that could be sent at once. */
static uint32_t allowed_classes(const struct home *h)
{
	uint32_t opening = conns_transactions(&h->conns, 0);
	uint32_t allowed = h->hold_writes ? 0 : 1U << TURN_TX;
	uint32_t i;

	if (!conns_idle(&h->conns))
		return allowed;
	allowed |= 1U << TURN_READ;
	if (h->hold_writes)
		return allowed;
	for (i = 0; i < h->conns.count; i++)
		if (h->conns.list[i].state == CONN_RUNNING &&
		    h->conns.list[i].turn.class == TURN_BEGIN)
			opening++;
	if (opening < transactions_most(h))
		allowed |= 1U << TURN_BEGIN;
	return allowed | 1U << TURN_WRITE;
}

/* It waited and would now be cut off at its deadline. */
static bool is_hopeless(const struct home *h, const struct turn *turn,
			hm_time now)
{
	const struct statement *s = &turn->statement;

	if (turn->class == TURN_TX || now - turn->queued_at < CORE_TICK)
		return false;
	return now + turns_least_cost(h->turns, s->account, turn->class) >
	       s->deadline;
}

/* Others of the account may have begun while this one waited. */
static bool has_tx_left(const struct home *h, const struct turn *turn)
{
	const struct contract *c =
		contracts_find(h->contracts, turn->statement.account);

	return c && home_transactions_of(h, c->account) < c->transactions;
}

/* Why a statement whose turn came cannot be sent any more. */
static struct refusal turn_fault(const struct home *h, const struct turn *turn,
				 const struct conn *conn, hm_time now)
{
	if (!conn || conn->state != CONN_IDLE)
		return (struct refusal){ ERR_TX_GONE, 0 };
	if (turn->class == TURN_BEGIN && !has_tx_left(h, turn))
		return (struct refusal){ ERR_TX_LIMIT, now + TX_RETRY };
	if (is_hopeless(h, turn, now))
		return (struct refusal){ ERR_OVERLOADED, now + BUSY_RETRY };
	return (struct refusal){ ERR_NONE, 0 };
}

static void run_turn(struct home *h, struct turn *turn, hm_time now,
		     struct actions *actions)
{
	struct conn *conn =
		turn->class == TURN_TX
			? conns_of_tx(&h->conns, turn->statement.tx.id)
			: conns_idle(&h->conns);
	struct refusal r = turn_fault(h, turn, conn, now);

	if (!r.error) {
		execute(h, conn, turn, now, actions);
		return;
	}
	turns_refund(h->turns, turn, now);
	home_end_unsent(h, turn, r.error, r.retry_at, now);
}

/* Opens what the queue can use, and one ahead since opening takes long. */
static void open_conns(struct home *h, hm_time now, struct actions *actions)
{
	uint32_t open = h->conns.count - conns_count(&h->conns, CONN_CLOSED);
	uint32_t single = turns_count(h->turns) -
			  turns_count_class(h->turns, TURN_TX) +
			  conns_slots_used(&h->conns);
	uint32_t want;

	if (single > home_slots(h))
		single = home_slots(h);
	want = conns_transactions(&h->conns, 0) + single + 1;
	if (h->down)
		want = 1;
	while (now >= h->connect_after && open < want &&
	       h->conns.count < home_connections_most(h)) {
		struct conn *conn = conns_add(&h->conns, ++*h->next_conn);

		conn->state = CONN_CONNECTING;
		home_act(h, ACT_CONNECT, conn, actions);
		open++;
	}
}

void home_dispatch(struct home *h, hm_time now, struct actions *actions)
{
	struct turn turn;

	start_resets(h, now, actions);
	while (slots_free(h) && turns_pop(h->turns, allowed_classes(h),
					  slots_free(h) == 1, now, &turn))
		run_turn(h, &turn, now, actions);
	open_conns(h, now, actions);
}
