/**
 * @file pool_dispatch.c
 * Chooses the next job and the connection that it runs on.
 */
#include "pool_state.h"

#include <stdlib.h>

static uint32_t count_phase(const struct pool *p, enum conn_phase phase)
{
	uint32_t i, n = 0;

	for (i = 0; i < p->conn_count; i++)
		n += p->conns[i].phase == phase;
	return n;
}

static uint32_t conns_open(const struct pool *p)
{
	return p->conn_count - count_phase(p, PHASE_CLOSED);
}

/*
 * Whether the member can run one more statement. A connection that is being
 * opened counts as a running statement.
 */
static bool slot_free(const struct pool *p)
{
	uint32_t used = p->running;
	uint32_t i;

	for (i = 0; i < p->conn_count; i++)
		used += p->conns[i].phase == PHASE_CONNECTING &&
			!p->conns[i].job;
	return used < p->member.slots;
}

static uint32_t max_connections(const struct pool *p, hm_time now)
{
	uint32_t most = 1;

	if (p->connection_limit > RESERVED_CONNECTIONS)
		most = p->connection_limit - RESERVED_CONNECTIONS;
	/*
	 * The member recently refused a connection at its limit: another owner
	 * uses the rest, maybe one that is gone and whose use will end.
	 */
	if (now < p->full_until && p->full_count < most)
		most = p->full_count;
	return most ? most : 1;
}

/*
 * Idle connection of the account. The last used one is preferred: it most
 * likely has the session's values already.
 */
static struct pool_conn *idle_of(const struct pool *p, hm_id account)
{
	struct pool_conn *best = NULL;
	uint32_t i;

	for (i = 0; i < p->conn_count; i++) {
		struct pool_conn *c = &p->conns[i];

		if (c->phase != PHASE_IDLE || c->account != account)
			continue;
		if (!best || c->since > best->since)
			best = c;
	}
	return best;
}

/* Connection of any account that has been idle for the longest time. */
static struct pool_conn *longest_idle(const struct pool *p)
{
	struct pool_conn *best = NULL;
	uint32_t i;

	for (i = 0; i < p->conn_count; i++) {
		struct pool_conn *c = &p->conns[i];

		if (c->phase == PHASE_IDLE && (!best || c->since < best->since))
			best = c;
	}
	return best;
}

/*
 * Opens a connection for a job, in place of an idle one if the limit is
 * reached. Returns NULL when the job has to wait for a connection.
 */
static struct pool_conn *new_conn(struct pool *p, const struct run_request *o,
				  hm_time now, struct proxy_output *out)
{
	struct pool_conn *victim;

	if (capacity_is_shared(p))
		return capacity_open(p, o, now, out);
	if (now < p->connect_after)
		return NULL;
	if (conns_open(p) >= max_connections(p, now)) {
		victim = longest_idle(p);
		if (!victim)
			return NULL;
		conn_drop(p, victim, ERR_NONE, now, out);
	}
	return conn_open(p, o->account, o->account_name, now, out);
}

static bool start_job(struct pool *p, struct job *j, hm_time now,
		      struct proxy_output *out)
{
	const struct run_request *o = j->run;
	struct pool_conn *c;

	if (o->scope == RUN_INSIDE) {
		c = conn_of_tx(p, o->tx);
		if (!c || c->phase != PHASE_IN_TX) {
			job_refuse(p, j, ERR_TX_GONE, EXEC_NOT_RUN, 0, now);
			return true;
		}
		conn_start(p, c, j, now, out);
		return true;
	}
	c = idle_of(p, o->account);
	if (c) {
		conn_start(p, c, j, now, out);
		return true;
	}
	c = new_conn(p, o, now, out);
	if (!c)
		return false;
	c->job = j;
	return true;
}

/* Takes the next job from the queue; NULL when none may start. */
static struct job *next_job(struct pool *p, hm_time now)
{
	uint32_t allowed = (1U << QUEUE_CLASSES) - 1;
	bool last = p->running + 1 >= p->member.slots;
	struct queue_item item;
	struct job *j;

	if (p->conn_waiter)
		allowed = 1U << QUEUE_TX;
	if (!fair_queue_pop(p->queue, allowed, last, now, &item))
		return NULL;
	j = p->jobs[item.statement.body];
	p->jobs[item.statement.body] = NULL;
	j->item = item;
	j->scheduled = true;
	j->started_at = now;
	return j;
}

static void start_conn_waiter(struct pool *p, hm_time now,
			      struct proxy_output *out)
{
	struct job *j = p->conn_waiter;

	if (!j || !slot_free(p))
		return;
	p->running++;
	if (start_job(p, j, now, out))
		p->conn_waiter = NULL;
	else
		p->running--;
}

/* Keeps a job for which start_job() found no connection. */
static void wait_for_conn(struct pool *p, struct job *j, hm_time now)
{
	if (capacity_is_shared(p))
		job_requeue(p, j, now);
	else
		p->conn_waiter = j;
}

void pool_dispatch(struct pool *p, hm_time now, struct proxy_output *out)
{
	struct job *j;
	bool started;

	start_conn_waiter(p, now, out);
	p->choice_valid = false;
	/* The statements of accounts that waited may have ended. */
	if (conn_queue_waiting(p->conn_queue))
		capacity_choose(p, now);
	while (slot_free(p) && (j = next_job(p, now))) {
		if (!p->running++)
			p->progress_at = now;
		started = start_job(p, j, now, out);
		p->choice_valid = false;
		if (started)
			continue;
		p->running--;
		wait_for_conn(p, j, now);
		break;
	}
	if (capacity_is_shared(p) && fair_queue_count(p->queue) && slot_free(p))
		capacity_mark_waiting(p, now, out);
}
