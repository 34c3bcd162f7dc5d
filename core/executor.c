/** @file executor.c Submission, deadlines and shutdown of an executor. */
#include "executor.h"

#include <stdlib.h>

#include "executor_state.h"

#define LOST_RETRY (50 * HM_MS)

struct executor *executor_new(const struct core_options *options,
			      const struct contracts *contracts,
			      const struct database_spec *database,
			      const struct endpoint_spec *endpoint,
			      uint64_t *next_conn, hm_time now)
{
	struct executor *ex = calloc(1, sizeof(*ex));

	if (!ex)
		return NULL;
	ex->queue = fair_queue_new();
	if (!ex->queue) {
		free(ex);
		return NULL;
	}
	ex->options = options;
	ex->contracts = contracts;
	ex->database = database->database;
	ex->spec = *endpoint;
	ex->next_conn = next_conn;
	ex->connect_after = now;
	return ex;
}

void executor_free(struct executor *ex)
{
	if (!ex)
		return;
	fair_queue_free(ex->queue);
	conns_free(&ex->conns);
	free(ex->results);
	free(ex);
}

void executor_set_spec(struct executor *ex,
		       const struct endpoint_spec *endpoint)
{
	ex->spec = *endpoint;
}

void executor_block_writes(struct executor *ex, bool blocked)
{
	ex->writes_blocked = blocked;
}

bool executor_next_result(struct executor *ex, struct executor_result *out)
{
	if (ex->result_first == ex->result_count) {
		ex->result_first = 0;
		ex->result_count = 0;
		return false;
	}
	*out = ex->results[ex->result_first++];
	return true;
}

static bool authorized(const struct executor *ex, hm_id account,
		       struct key_id key)
{
	const struct contract *c = contracts_by_key(ex->contracts, key);

	return c && c->account == account && contract_database(c, ex->database);
}

static bool is_same_attempt(const void *context, const struct queue_item *item)
{
	const struct statement *s = context;

	return rid_equal(item->statement.id, s->id) &&
	       item->statement.attempt == s->attempt;
}

static bool is_duplicate(const struct executor *ex, const struct statement *s)
{
	uint32_t i;

	for (i = 0; i < ex->conns.count; i++)
		if (ex->conns.list[i].state == CONN_RUNNING &&
		    is_same_attempt(s, &ex->conns.list[i].item))
			return true;
	return fair_queue_any(ex->queue, is_same_attempt, s);
}

static enum queue_class class_of(const struct statement *s)
{
	if (s->op == OP_BEGIN)
		return QUEUE_BEGIN;
	if (s->tx.id.seq || s->op == OP_COMMIT || s->op == OP_ROLLBACK)
		return QUEUE_TX;
	return s->op == OP_READ ? QUEUE_READ : QUEUE_WRITE;
}

/* Whether open transactions end, since the endpoint's zone is evacuated. */
static bool is_evacuated(const struct executor *ex, hm_time now)
{
	hm_time since = ex->spec.evacuated_since;

	return since && now - since > LEAVING_LIMIT;
}

static struct refusal tx_refusal(const struct executor *ex,
				 const struct statement *s, hm_time now)
{
	const struct conn *conn = conns_of_tx(&ex->conns, s->tx.id);

	if (!conn || conn->tx.account != s->account || is_evacuated(ex, now))
		return (struct refusal){ ERR_TX_GONE, 0 };
	if (conn->state != CONN_IDLE || conn->tx.queued)
		return (struct refusal){ ERR_OVERLOADED, now + BUSY_RETRY };
	return (struct refusal){ ERR_NONE, 0 };
}

/*
 * Makes room in a full queue: evicts a statement of the account with the
 * longest queue relative to its weight, unless that is @a account itself.
 */
static bool make_room(struct executor *ex, hm_id account, hm_time now)
{
	struct queue_item evicted;

	if (fair_queue_count(ex->queue) < ex->options->queue_limit)
		return true;
	if (!fair_queue_evict(ex->queue, account, &evicted))
		return false;
	executor_end_unsent(
		ex, &evicted, ERR_OVERLOADED,
		now + fair_queue_backlog(ex->queue, executor_slots(ex)), now);
	return true;
}

static struct refusal queue_refusal(struct executor *ex,
				    const struct statement *s,
				    const struct contract *c, hm_time now)
{
	hm_time wait =
		fair_queue_wait(ex->queue, s->account, executor_slots(ex), now);

	if (ex->spec.leaving)
		return (struct refusal){ ERR_NO_ENDPOINT, 0 };
	if (ex->down)
		return (struct refusal){ ERR_NO_ENDPOINT, ex->connect_after };
	if (s->op == OP_BEGIN &&
	    executor_transactions_of(ex, s->account) >= c->transactions)
		return (struct refusal){ ERR_TX_LIMIT, now + TX_RETRY };
	if (now + wait > s->deadline)
		return (struct refusal){ ERR_OVERLOADED, now + wait };
	if (!make_room(ex, s->account, now))
		return (struct refusal){ ERR_OVERLOADED, now + wait };
	return (struct refusal){ ERR_NONE, 0 };
}

static struct refusal submit_refusal(struct executor *ex,
				     const struct statement *s, hm_time now)
{
	const struct contract *c = contracts_by_key(ex->contracts, s->key);

	if (!c || c->account != s->account)
		return (struct refusal){ ERR_UNAUTHENTICATED, 0 };
	if (!contract_database(c, ex->database))
		return (struct refusal){ ERR_FORBIDDEN, 0 };
	if (s->deadline <= now)
		return (struct refusal){ ERR_DEADLINE, 0 };
	if (class_of(s) == QUEUE_TX)
		return tx_refusal(ex, s, now);
	return queue_refusal(ex, s, c, now);
}

void executor_submit(struct executor *ex, const struct statement *s,
		     uint64_t reply_to, hm_time now, struct actions *actions)
{
	struct queue_item item = { .statement = *s,
				   .reply_to = reply_to,
				   .class = class_of(s),
				   .queued_at = now };
	struct refusal r;

	if (is_duplicate(ex, s))
		return;
	r = submit_refusal(ex, s, now);
	if (r.error) {
		executor_add_result(ex, &item, now)->error = r.error;
		ex->results[ex->result_count - 1].retry_at = r.retry_at;
		return;
	}
	item.weight = contracts_by_key(ex->contracts, s->key)->weight;
	if (item.class == QUEUE_TX)
		conns_of_tx(&ex->conns, s->tx.id)->tx.queued = true;
	fair_queue_push(ex->queue, &item);
	executor_dispatch(ex, now, actions);
}

static bool has_id(const void *context, const struct queue_item *item)
{
	return rid_equal(item->statement.id, *(const struct rid *)context);
}

void executor_abandon(struct executor *ex, struct rid id, hm_time now,
		      struct actions *actions)
{
	struct queue_item item;
	uint32_t i;

	while (fair_queue_remove(ex->queue, has_id, &id, &item))
		executor_end_unsent(ex, &item, ERR_DEADLINE, 0, now);
	for (i = 0; i < ex->conns.count; i++) {
		struct conn *conn = &ex->conns.list[i];

		if (conn->state == CONN_RUNNING && has_id(&id, &conn->item))
			executor_cancel(ex, conn, now, actions);
		else if (conn->state == CONN_IDLE && conn->tx.id.seq &&
			 (rid_equal(conn->tx.id, id) ||
			  rid_equal(conn->tx.begin, id)))
			executor_schedule_reset(conn);
	}
	executor_dispatch(ex, now, actions);
}

static bool is_late(const void *context, const struct queue_item *item)
{
	return item->statement.deadline <= *(const hm_time *)context;
}

static bool is_unauthorized(const void *context, const struct queue_item *item)
{
	const struct statement *s = &item->statement;

	return !authorized(context, s->account, s->key);
}

/*
 * Ends the statements and transactions whose key has been withdrawn, if any
 * contract changed since the last call.
 */
static void check_keys(struct executor *ex, hm_time now,
		       struct actions *actions)
{
	struct queue_item item;
	uint32_t i;

	if (ex->contract_changes == contracts_changes(ex->contracts))
		return;
	ex->contract_changes = contracts_changes(ex->contracts);
	while (fair_queue_remove(ex->queue, is_unauthorized, ex, &item))
		executor_end_unsent(ex, &item, ERR_UNAUTHENTICATED, 0, now);
	for (i = 0; i < ex->conns.count; i++) {
		struct conn *conn = &ex->conns.list[i];

		if (conn->state == CONN_RUNNING &&
		    is_unauthorized(ex, &conn->item))
			executor_cancel(ex, conn, now, actions);
		else if (conn->state == CONN_IDLE && conn->tx.id.seq &&
			 !authorized(ex, conn->tx.account, conn->tx.key))
			executor_schedule_reset(conn);
	}
}

/*
 * Closes idle connections without a reply since @a since. What broke one
 * connection may have broken those as well; if they were reused, each would
 * cost a statement its timeout before the fault is found.
 */
static void close_stale(struct executor *ex, hm_time since, hm_time now,
			struct actions *actions)
{
	uint32_t i;

	for (i = 0; i < ex->conns.count; i++) {
		struct conn *conn = &ex->conns.list[i];

		if (conn->state == CONN_IDLE && !conn->tx.id.seq &&
		    conn->last_reply_at < since)
			executor_close_conn(ex, conn, now, actions);
	}
}

static void check_running(struct executor *ex, struct conn *conn, hm_time now,
			  struct actions *actions)
{
	fair_queue_charge(ex->queue, &conn->item, now - conn->started_at, now);
	if (now < conn->expires_at)
		return;
	if (!conn->cancelled) {
		executor_cancel(ex, conn, now, actions);
		return;
	}
	executor_add_action(ex, ACT_CLOSE, conn, actions);
	executor_end_lost(ex, conn, now);
	close_stale(ex, conn->started_at, now, actions);
}

static void check_conns(struct executor *ex, hm_time now,
			struct actions *actions)
{
	uint32_t i = ex->conns.count;

	while (i-- > 0) {
		struct conn *conn = &ex->conns.list[i];

		if (conn->state == CONN_RUNNING)
			check_running(ex, conn, now, actions);
		else if (conn->state == CONN_IDLE && conn->tx.id.seq &&
			 !conn->tx.queued &&
			 (now >= conn->tx.idle_until || is_evacuated(ex, now)))
			executor_schedule_reset(conn);
		else if (conn->state == CONN_RESETTING &&
			 now >= conn->expires_at)
			executor_close_conn(ex, conn, now, actions);
		else if (conn->state == CONN_CLOSED && now >= conn->expires_at)
			conns_remove(&ex->conns, conn);
	}
}

void executor_tick(struct executor *ex, hm_time now, struct actions *actions)
{
	struct queue_item item;

	while (fair_queue_remove(ex->queue, is_late, &now, &item))
		executor_end_unsent(ex, &item, ERR_DEADLINE, 0, now);
	check_keys(ex, now, actions);
	check_conns(ex, now, actions);
	executor_dispatch(ex, now, actions);
}

void executor_close(struct executor *ex, hm_time now, struct actions *actions)
{
	uint32_t i;

	executor_end_queue(ex, ERR_NO_ENDPOINT, now + LOST_RETRY, now);
	for (i = 0; i < ex->conns.count; i++) {
		struct conn *conn = &ex->conns.list[i];

		if (conn->state == CONN_CLOSED)
			continue;
		executor_add_action(ex, ACT_CLOSE, conn, actions);
		if (conn->state == CONN_RUNNING)
			executor_end_lost(ex, conn, now);
		else
			executor_drop_conn(conn, now);
	}
}

void executor_get_load(const struct executor *ex, hm_time now,
		       struct executor_load *out)
{
	uint32_t used = conns_slots_used(&ex->conns);

	(void)now;
	*out = (struct executor_load){ 0 };
	out->queued = fair_queue_count(ex->queue);
	out->running = conns_count(&ex->conns, CONN_RUNNING);
	out->free_slots =
		used < executor_slots(ex) ? executor_slots(ex) - used : 0;
	out->connections =
		ex->conns.count - conns_count(&ex->conns, CONN_CLOSED);
	out->transactions = conns_transactions(&ex->conns, 0);
	out->wait = fair_queue_backlog(ex->queue, executor_slots(ex));
}
