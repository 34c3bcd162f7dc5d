/** @file home.c Queue, connections and transactions of an endpoint. */
#include "home.h"

#include <stdlib.h>

#include "home_state.h"

#define LOST_RETRY (50 * HM_MS)

struct home *home_new(const struct core_options *options,
		      const struct contracts *contracts,
		      const struct database_spec *database,
		      const struct endpoint_spec *endpoint, uint64_t *next_conn,
		      hm_time now)
{
	struct home *h = calloc(1, sizeof(*h));

	if (!h)
		return NULL;
	h->turns = turns_new();
	if (!h->turns) {
		free(h);
		return NULL;
	}
	h->options = options;
	h->contracts = contracts;
	h->database = database->database;
	h->spec = *endpoint;
	h->next_conn = next_conn;
	h->connect_after = now;
	return h;
}

void home_free(struct home *h)
{
	if (!h)
		return;
	turns_free(h->turns);
	conns_free(&h->conns);
	free(h->ended);
	free(h);
}

void home_spec(struct home *h, const struct endpoint_spec *endpoint)
{
	h->spec = *endpoint;
}

void home_hold_writes(struct home *h, bool held)
{
	h->hold_writes = held;
}

bool home_next_ended(struct home *h, struct home_ended *out)
{
	if (h->ended_first == h->ended_count) {
		h->ended_first = 0;
		h->ended_count = 0;
		return false;
	}
	*out = h->ended[h->ended_first++];
	return true;
}

static bool authorized(const struct home *h, hm_id account, struct key_id key)
{
	const struct contract *c = contracts_by_key(h->contracts, key);

	return c && c->account == account && contract_database(c, h->database);
}

static bool is_same_attempt(const void *context, const struct turn *turn)
{
	const struct statement *s = context;

	return rid_equal(turn->statement.id, s->id) &&
	       turn->statement.attempt == s->attempt;
}

static bool is_here(const struct home *h, const struct statement *s)
{
	uint32_t i;

	for (i = 0; i < h->conns.count; i++)
		if (h->conns.list[i].state == CONN_RUNNING &&
		    is_same_attempt(s, &h->conns.list[i].turn))
			return true;
	return turns_any(h->turns, is_same_attempt, s);
}

static enum turn_class class_of(const struct statement *s)
{
	if (s->op == OP_BEGIN)
		return TURN_BEGIN;
	if (s->tx.id.seq || s->op == OP_COMMIT || s->op == OP_ROLLBACK)
		return TURN_TX;
	return s->op == OP_READ ? TURN_READ : TURN_WRITE;
}

static struct refusal tx_fault(const struct home *h, const struct statement *s,
			       hm_time now)
{
	const struct conn *conn = conns_of_tx(&h->conns, s->tx.id);

	if (!conn || conn->tx.account != s->account)
		return (struct refusal){ ERR_TX_GONE, 0 };
	if (conn->state != CONN_IDLE || conn->tx.queued)
		return (struct refusal){ ERR_OVERLOADED, now + BUSY_RETRY };
	return (struct refusal){ ERR_NONE, 0 };
}

/* The queue is full: whoever has most in it for the weight gives way. */
static bool make_room(struct home *h, hm_id account, hm_time now)
{
	struct turn evicted;

	if (turns_count(h->turns) < h->options->queue_limit)
		return true;
	if (!turns_evict(h->turns, account, &evicted))
		return false;
	home_end_unsent(h, &evicted, ERR_OVERLOADED,
			now + turns_backlog(h->turns, home_slots(h)), now);
	return true;
}

static struct refusal queue_fault(struct home *h, const struct statement *s,
				  const struct contract *c, hm_time now)
{
	hm_time wait = turns_wait(h->turns, s->account, home_slots(h), now);

	if (h->spec.leaving)
		return (struct refusal){ ERR_NO_ENDPOINT, 0 };
	if (h->down)
		return (struct refusal){ ERR_NO_ENDPOINT, h->connect_after };
	if (s->op == OP_BEGIN &&
	    home_transactions_of(h, s->account) >= c->transactions)
		return (struct refusal){ ERR_TX_LIMIT, now + TX_RETRY };
	if (now + wait > s->deadline)
		return (struct refusal){ ERR_OVERLOADED, now + wait };
	if (!make_room(h, s->account, now))
		return (struct refusal){ ERR_OVERLOADED, now + wait };
	return (struct refusal){ ERR_NONE, 0 };
}

static struct refusal submit_fault(struct home *h, const struct statement *s,
				   hm_time now)
{
	const struct contract *c = contracts_by_key(h->contracts, s->key);

	if (!c || c->account != s->account)
		return (struct refusal){ ERR_UNAUTHENTICATED, 0 };
	if (!contract_database(c, h->database))
		return (struct refusal){ ERR_FORBIDDEN, 0 };
	if (s->deadline <= now)
		return (struct refusal){ ERR_DEADLINE, 0 };
	if (class_of(s) == TURN_TX)
		return tx_fault(h, s, now);
	return queue_fault(h, s, c, now);
}

void home_submit(struct home *h, const struct statement *s, uint64_t reply_to,
		 hm_time now, struct actions *actions)
{
	struct turn turn = { .statement = *s,
			     .reply_to = reply_to,
			     .class = class_of(s),
			     .queued_at = now };
	struct refusal r;

	if (is_here(h, s))
		return;
	r = submit_fault(h, s, now);
	if (r.error) {
		home_add_ended(h, &turn, now)->error = r.error;
		h->ended[h->ended_count - 1].retry_at = r.retry_at;
		return;
	}
	turn.weight = contracts_by_key(h->contracts, s->key)->weight;
	if (turn.class == TURN_TX)
		conns_of_tx(&h->conns, s->tx.id)->tx.queued = true;
	turns_push(h->turns, &turn);
	home_dispatch(h, now, actions);
}

static bool has_id(const void *context, const struct turn *turn)
{
	return rid_equal(turn->statement.id, *(const struct rid *)context);
}

void home_abandon(struct home *h, struct rid id, hm_time now,
		  struct actions *actions)
{
	struct turn turn;
	uint32_t i;

	while (turns_remove(h->turns, has_id, &id, &turn))
		home_end_unsent(h, &turn, ERR_DEADLINE, 0, now);
	for (i = 0; i < h->conns.count; i++) {
		struct conn *conn = &h->conns.list[i];

		if (conn->state == CONN_RUNNING && has_id(&id, &conn->turn))
			home_cancel(h, conn, now, actions);
		else if (conn->state == CONN_IDLE && conn->tx.id.seq &&
			 (rid_equal(conn->tx.id, id) ||
			  rid_equal(conn->tx.begin, id)))
			home_want_reset(conn);
	}
	home_dispatch(h, now, actions);
}

static bool is_late(const void *context, const struct turn *turn)
{
	return turn->statement.deadline <= *(const hm_time *)context;
}

static bool is_unauthorized(const void *context, const struct turn *turn)
{
	const struct statement *s = &turn->statement;

	return !authorized(context, s->account, s->key);
}

/* Ends all that a withdrawn key began. */
static void check_keys(struct home *h, hm_time now, struct actions *actions)
{
	struct turn turn;
	uint32_t i;

	if (h->contract_changes == contracts_changes(h->contracts))
		return;
	h->contract_changes = contracts_changes(h->contracts);
	while (turns_remove(h->turns, is_unauthorized, h, &turn))
		home_end_unsent(h, &turn, ERR_UNAUTHENTICATED, 0, now);
	for (i = 0; i < h->conns.count; i++) {
		struct conn *conn = &h->conns.list[i];

		if (conn->state == CONN_RUNNING &&
		    is_unauthorized(h, &conn->turn))
			home_cancel(h, conn, now, actions);
		else if (conn->state == CONN_IDLE && conn->tx.id.seq &&
			 !authorized(h, conn->tx.account, conn->tx.key))
			home_want_reset(conn);
	}
}

/*
 * What made one connection silent may have hit those that have been idle
 * since before: better opened anew than found out one statement at a time.
 */
static void close_stale(struct home *h, hm_time since, hm_time now,
			struct actions *actions)
{
	uint32_t i;

	for (i = 0; i < h->conns.count; i++) {
		struct conn *conn = &h->conns.list[i];

		if (conn->state == CONN_IDLE && !conn->tx.id.seq &&
		    conn->heard_at < since)
			home_close_conn(h, conn, now, actions);
	}
}

static void check_running(struct home *h, struct conn *conn, hm_time now,
			  struct actions *actions)
{
	turns_used(h->turns, &conn->turn, now - conn->started_at, now);
	if (now < conn->until)
		return;
	if (!conn->cancelled) {
		home_cancel(h, conn, now, actions);
		return;
	}
	home_act(h, ACT_CLOSE, conn, actions);
	home_end_lost(h, conn, now);
	close_stale(h, conn->started_at, now, actions);
}

static void check_conns(struct home *h, hm_time now, struct actions *actions)
{
	uint32_t i = h->conns.count;

	while (i-- > 0) {
		struct conn *conn = &h->conns.list[i];

		if (conn->state == CONN_RUNNING)
			check_running(h, conn, now, actions);
		else if (conn->state == CONN_IDLE && conn->tx.id.seq &&
			 !conn->tx.queued && now >= conn->tx.idle_until)
			home_want_reset(conn);
		else if (conn->state == CONN_RESETTING && now >= conn->until)
			home_close_conn(h, conn, now, actions);
		else if (conn->state == CONN_CLOSED && now >= conn->until)
			conns_remove(&h->conns, conn);
	}
}

void home_tick(struct home *h, hm_time now, struct actions *actions)
{
	struct turn turn;

	while (turns_remove(h->turns, is_late, &now, &turn))
		home_end_unsent(h, &turn, ERR_DEADLINE, 0, now);
	check_keys(h, now, actions);
	check_conns(h, now, actions);
	home_dispatch(h, now, actions);
}

void home_close(struct home *h, hm_time now, struct actions *actions)
{
	uint32_t i;

	home_end_queue(h, ERR_NO_ENDPOINT, now + LOST_RETRY, now);
	for (i = 0; i < h->conns.count; i++) {
		struct conn *conn = &h->conns.list[i];

		if (conn->state == CONN_CLOSED)
			continue;
		home_act(h, ACT_CLOSE, conn, actions);
		if (conn->state == CONN_RUNNING)
			home_end_lost(h, conn, now);
		else
			home_drop_conn(conn, now);
	}
}

void home_load(const struct home *h, hm_time now, struct home_load *out)
{
	uint32_t used = conns_slots_used(&h->conns);

	(void)now;
	*out = (struct home_load){ 0 };
	out->queued = turns_count(h->turns);
	out->running = conns_count(&h->conns, CONN_RUNNING);
	out->free_slots = used < home_slots(h) ? home_slots(h) - used : 0;
	out->connections = h->conns.count - conns_count(&h->conns, CONN_CLOSED);
	out->transactions = conns_transactions(&h->conns, 0);
	out->wait = turns_backlog(h->turns, home_slots(h));
}
