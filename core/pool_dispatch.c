/** @file pool_dispatch.c Whose statement goes next, and on what connection. */
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

/* A connection being opened takes a slot of the member, too. */
static bool slot_free(const struct pool *p)
{
	uint32_t used = p->running;
	uint32_t i;

	for (i = 0; i < p->conn_count; i++)
		used += p->conns[i].phase == PHASE_CONNECTING &&
			!p->conns[i].job;
	return used < p->member.slots;
}

static uint32_t connections_most(const struct pool *p, hm_time now)
{
	uint32_t most = 1;

	if (p->connections > CONNECTIONS_SPARED)
		most = p->connections - CONNECTIONS_SPARED;
	/* Another home, or one that is gone, has the others. */
	if (now < p->full_until && p->full_at < most)
		most = p->full_at;
	return most ? most : 1;
}

/* Idle connection of the account; the one used last is the likeliest fit. */
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

/* Connection that was idle for the longest time, whoever's it is. */
static struct pool_conn *idle_longest(const struct pool *p)
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

/* NULL: the job has to wait for a connection. */
static struct pool_conn *new_conn(struct pool *p, const struct run_request *o,
				  hm_time now, struct proxy_output *out)
{
	struct pool_conn *victim;

	if (now < p->connect_after)
		return NULL;
	if (conns_open(p) >= connections_most(p, now)) {
		victim = idle_longest(p);
		if (!victim)
			return NULL;
		conn_drop(p, victim, ERR_NONE, now, out);
	}
	return conn_open(p, o->account, o->account_name, now, out);
}

static bool place_job(struct pool *p, struct job *j, hm_time now,
		      struct proxy_output *out)
{
	const struct run_request *o = j->order;
	struct pool_conn *c;

	if (o->scope == RUN_INSIDE) {
		c = conn_of_tx(p, o->tx);
		if (!c || c->phase != PHASE_OPEN) {
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

/* Takes the next job whose turn it is; NULL when none may go. */
static struct job *next_job(struct pool *p, hm_time now)
{
	uint32_t allowed = (1U << TURN_CLASSES) - 1;
	bool last = p->running + 1 >= p->member.slots;
	struct turn turn;
	struct job *j;

	if (p->parked)
		allowed = 1U << TURN_TX;
	if (!turns_pop(p->turns, allowed, last, now, &turn))
		return NULL;
	j = p->jobs[turn.statement.body];
	p->jobs[turn.statement.body] = NULL;
	j->turn = turn;
	j->popped = true;
	j->started_at = now;
	return j;
}

static void place_parked(struct pool *p, hm_time now, struct proxy_output *out)
{
	struct job *j = p->parked;

	if (!j || !slot_free(p))
		return;
	p->running++;
	if (place_job(p, j, now, out))
		p->parked = NULL;
	else
		p->running--;
}

void pool_dispatch(struct pool *p, hm_time now, struct proxy_output *out)
{
	struct job *j;

	place_parked(p, now, out);
	while (slot_free(p) && (j = next_job(p, now))) {
		p->running++;
		if (place_job(p, j, now, out))
			continue;
		p->running--;
		p->parked = j;
	}
}
