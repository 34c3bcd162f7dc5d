/**
 * @file executor_dispatch.c
 * Chooses the next statement to send and its connection.
 */
#include "executor_state.h"

#define RESET_LIMIT (1 * HM_SEC)

/*
 * Maximum number of open transactions. One connection per slot is reserved for
 * statements outside of transactions.
 */
static uint32_t max_transactions(const struct executor *ex)
{
	uint32_t most = executor_max_connections(ex);

	if (most > executor_slots(ex))
		return most - executor_slots(ex);
	return most > 1 ? most - 1 : 1;
}

static void execute(struct executor *ex, struct conn *conn,
		    const struct queue_item *item, hm_time now,
		    struct actions *actions)
{
	hm_time limit = now + ex->options->statement_limit;

	conn->item = *item;
	conn->state = CONN_RUNNING;
	conn->cancelled = false;
	conn->started_at = now;
	conn->expires_at = item->statement.deadline;
	if (conn->expires_at > limit)
		conn->expires_at = limit;
	conn->tx.queued = false;
	executor_add_action(ex, ACT_EXECUTE, conn, actions);
}

static uint32_t slots_free(const struct executor *ex)
{
	uint32_t used = conns_slots_used(&ex->conns);

	return used < executor_slots(ex) ? executor_slots(ex) - used : 0;
}

static void start_resets(struct executor *ex, hm_time now,
			 struct actions *actions)
{
	uint32_t i;

	for (i = 0; i < ex->conns.count; i++) {
		struct conn *conn = &ex->conns.list[i];

		if (conn->state != CONN_RESET_DUE)
			continue;
		if (!slots_free(ex))
			return;
		conn->state = CONN_RESETTING;
		conn->expires_at = now + RESET_LIMIT;
		executor_add_action(ex, ACT_RESET, conn, actions);
	}
}

/* Bit mask of the queue classes from which a statement can be sent now. */
static uint32_t allowed_classes(const struct executor *ex)
{
	uint32_t opening = conns_transactions(&ex->conns, 0);
	uint32_t allowed = ex->writes_blocked ? 0 : 1U << QUEUE_TX;
	uint32_t i;

	if (!conns_idle(&ex->conns))
		return allowed;
	allowed |= 1U << QUEUE_READ;
	if (ex->writes_blocked)
		return allowed;
	for (i = 0; i < ex->conns.count; i++)
		if (ex->conns.list[i].state == CONN_RUNNING &&
		    ex->conns.list[i].item.class == QUEUE_BEGIN)
			opening++;
	if (opening < max_transactions(ex))
		allowed |= 1U << QUEUE_BEGIN;
	return allowed | 1U << QUEUE_WRITE;
}

/*
 * Whether a statement that was queued for a tick or longer cannot finish
 * before its deadline, even if it is a short one of its account.
 */
static bool cannot_finish(const struct executor *ex,
			  const struct queue_item *item, hm_time now)
{
	const struct statement *s = &item->statement;

	if (item->class == QUEUE_TX || now - item->queued_at < CORE_TICK)
		return false;
	return now + fair_queue_low_cost(ex->queue, s->account, item->class) >
	       s->deadline;
}

/*
 * Checks the transaction limit again: the account may have opened other
 * transactions while this BEGIN was queued.
 */
static bool has_tx_left(const struct executor *ex,
			const struct queue_item *item)
{
	const struct contract *c =
		contracts_find(ex->contracts, item->statement.account);

	return c && executor_transactions_of(ex, c->account) < c->transactions;
}

/*
 * Why a statement taken from the queue can no longer be sent on @a conn;
 * ERR_NONE when it can be sent.
 */
static struct refusal dispatch_refusal(const struct executor *ex,
				       const struct queue_item *item,
				       const struct conn *conn, hm_time now)
{
	if (!conn || conn->state != CONN_IDLE)
		return (struct refusal){ ERR_TX_GONE, 0 };
	if (item->class == QUEUE_BEGIN && !has_tx_left(ex, item))
		return (struct refusal){ ERR_TX_LIMIT, now + TX_RETRY };
	if (cannot_finish(ex, item, now))
		return (struct refusal){ ERR_OVERLOADED, now + BUSY_RETRY };
	return (struct refusal){ ERR_NONE, 0 };
}

static void start_item(struct executor *ex, struct queue_item *item,
		       hm_time now, struct actions *actions)
{
	struct conn *conn =
		item->class == QUEUE_TX
			? conns_of_tx(&ex->conns, item->statement.tx.id)
			: conns_idle(&ex->conns);
	struct refusal r = dispatch_refusal(ex, item, conn, now);

	if (!r.error) {
		execute(ex, conn, item, now, actions);
		return;
	}
	fair_queue_refund(ex->queue, item, now);
	executor_end_unsent(ex, item, r.error, r.retry_at, now);
}

/*
 * Opens the connections that queued statements can use, and one in advance,
 * since opening one takes long.
 */
static void open_conns(struct executor *ex, hm_time now,
		       struct actions *actions)
{
	uint32_t open = ex->conns.count - conns_count(&ex->conns, CONN_CLOSED);
	uint32_t single = fair_queue_count(ex->queue) -
			  fair_queue_count_class(ex->queue, QUEUE_TX) +
			  conns_slots_used(&ex->conns);
	uint32_t needed;

	if (single > executor_slots(ex))
		single = executor_slots(ex);
	needed = conns_transactions(&ex->conns, 0) + single + 1;
	if (ex->down)
		needed = 1;
	while (now >= ex->connect_after && open < needed &&
	       ex->conns.count < executor_max_connections(ex)) {
		struct conn *conn = conns_add(&ex->conns, ++*ex->next_conn);

		conn->state = CONN_CONNECTING;
		executor_add_action(ex, ACT_CONNECT, conn, actions);
		open++;
	}
}

void executor_dispatch(struct executor *ex, hm_time now,
		       struct actions *actions)
{
	struct queue_item item;

	start_resets(ex, now, actions);
	while (slots_free(ex) &&
	       fair_queue_pop(ex->queue, allowed_classes(ex),
			      slots_free(ex) == 1, now, &item))
		start_item(ex, &item, now, actions);
	open_conns(ex, now, actions);
}
