/** @file pool.c Statements at one member, from their arrival to their end. */
#include "pool_state.h"

#include <stdlib.h>
#include <string.h>

struct pool *pool_new(const struct site_member *member, uint32_t connections,
		      struct pool_site site, hm_time now)
{
	struct pool *p = calloc(1, sizeof(*p));

	if (!p)
		abort();
	p->site = site;
	p->turns = turns_new();
	p->check = lead_check_new(
		member->endpoint,
		(struct lead_check_site){ site.options, site.next_conn });
	pool_member(p, member, connections, now);
	return p;
}

void pool_free(struct pool *p)
{
	struct run_result *r;
	uint64_t to;
	uint32_t i;

	if (!p)
		return;
	while (pool_next_result(p, &to, &r))
		run_result_free(r);
	for (i = 0; i < p->job_room; i++)
		if (p->jobs[i])
			job_free(p->jobs[i]);
	if (p->parked)
		job_free(p->parked);
	for (i = 0; i < p->conn_count; i++) {
		conn_forget(&p->conns[i]);
		if (p->conns[i].job)
			job_free(p->conns[i].job);
	}
	turns_free(p->turns);
	lead_check_free(p->check);
	free(p->jobs);
	free(p->conns);
	free(p->ended);
	free(p);
}

void pool_member(struct pool *p, const struct site_member *member,
		 uint32_t connections, hm_time now)
{
	if (member->leaving && !p->member.leaving)
		p->leaving_since = now;
	p->member = *member;
	if (!p->member.slots)
		p->member.slots = 1;
	p->connections = connections;
}

hm_id pool_endpoint(const struct pool *p)
{
	return p->member.endpoint;
}

hm_id pool_service(const struct pool *p)
{
	return p->member.service;
}

struct lead_check *pool_check(const struct pool *p)
{
	return p->check;
}

static bool of_tx(const struct job *j, const void *context)
{
	const struct rid *tx = context;

	return rid_equal(j->order->tx, *tx);
}

/* A statement that runs ends first: cutting it off would cost a connection. */
static void release_conn(struct pool_conn *c, hm_time now,
			 struct proxy_output *out)
{
	if (c->phase == PHASE_OPEN)
		conn_clear(c, now, out);
	else if (c->phase != PHASE_CLEARING)
		c->abandoned = true;
}

void pool_release(struct pool *p, struct rid tx, hm_time now,
		  struct proxy_output *out)
{
	struct pool_conn *c = conn_of_tx(p, tx);

	jobs_end(p, of_tx, &tx, ERR_TX_GONE, now);
	if (c)
		release_conn(c, now, out);
	pool_dispatch(p, now, out);
}

static bool of_life(const struct job *j, const void *context)
{
	return j->order->tx.incarnation == *(const uint64_t *)context;
}

void pool_release_life(struct pool *p, uint64_t life, hm_time now,
		       struct proxy_output *out)
{
	uint32_t i;

	jobs_end(p, of_life, &life, ERR_TX_GONE, now);
	for (i = 0; i < p->conn_count; i++) {
		struct pool_conn *c = &p->conns[i];

		if (c->phase != PHASE_CLOSED && c->tx.seq &&
		    c->tx.incarnation == life)
			release_conn(c, now, out);
	}
	conns_sweep(p);
}

bool pool_has(const struct pool *p, uint64_t conn)
{
	return conn_find(p, conn) || lead_check_has(p->check, conn);
}

void pool_ready(struct pool *p, uint64_t conn, hm_time now,
		struct proxy_output *out)
{
	struct pool_conn *c = conn_find(p, conn);
	struct job *j;

	if (!c) {
		lead_check_ready(p->check, conn, now, out);
		return;
	}
	j = c->job;
	p->down = false;
	p->connect_pause = 0;
	c->job = NULL;
	conn_phase(c, PHASE_IDLE, now);
	if (j)
		conn_start(p, c, j, now, out);
	pool_dispatch(p, now, out);
	conns_sweep(p);
}

void pool_replied(struct pool *p, uint64_t conn,
		  const struct member_reply *reply, hm_time now,
		  struct proxy_output *out)
{
	struct pool_conn *c = conn_find(p, conn);

	if (c) {
		conn_replied(p, c, reply, now, out);
	} else {
		lead_check_replied(p->check, conn, reply, now, out);
		conns_prove(p, now, out);
	}
	pool_dispatch(p, now, out);
	conns_sweep(p);
}

/* The member took no further connection: what is open is what there is. */
static void note_full(struct pool *p, hm_time now)
{
	uint32_t i;

	p->full_at = 0;
	for (i = 0; i < p->conn_count; i++)
		p->full_at += p->conns[i].phase != PHASE_CLOSED &&
			      p->conns[i].phase != PHASE_CONNECTING;
	p->full_until = now + FULL_VALID;
	p->connect_after = now + CONNECTION_LIMIT_PAUSE;
}

static void connect_failed(struct pool *p, enum error error, hm_time now)
{
	if (error == ERR_CONNECTION_LIMIT || error == ERR_OVERLOADED) {
		note_full(p, now);
		return;
	}
	p->down = true;
	p->connect_pause *= 2;
	if (p->connect_pause < CONNECT_PAUSE_FIRST)
		p->connect_pause = CONNECT_PAUSE_FIRST;
	if (p->connect_pause > CONNECT_PAUSE_MOST)
		p->connect_pause = CONNECT_PAUSE_MOST;
	p->connect_after = now + p->connect_pause;
}

/* Puts a job whose connection was not admitted back in its place. */
static bool park_again(struct pool *p, struct pool_conn *c)
{
	if (!c->job || p->parked)
		return false;
	p->parked = c->job;
	c->job = NULL;
	p->running--;
	return true;
}

void pool_closed(struct pool *p, uint64_t conn, enum error error, hm_time now,
		 struct proxy_output *out)
{
	struct pool_conn *c = conn_find(p, conn);

	if (!c) {
		lead_check_closed(p->check, conn, now);
		return;
	}
	if (c->phase == PHASE_CONNECTING) {
		connect_failed(p, error, now);
		if (error == ERR_CONNECTION_LIMIT || error == ERR_OVERLOADED)
			park_again(p, c);
	}
	conn_drop(p, c, ERR_NONE, now, out);
	conns_sweep(p);
	pool_dispatch(p, now, out);
	conns_sweep(p);
}

static bool is_late(const struct job *j, const void *context)
{
	return j->order->start_by < *(const hm_time *)context;
}

/* Idle connections of a member that another instance holds go soon. */
#define UNHOMED_IDLE (300 * HM_MS)

/*
 * A second connection of an account that it does not use is given back: a
 * member counts those of machines without power for 3 s, and takes as many
 * fewer from whoever comes back. Callers return within 200 ms of a refusal.
 */
#define SPARE_IDLE (200 * HM_MS)

static bool is_spare(const struct pool *p, const struct pool_conn *c)
{
	uint32_t i;

	for (i = 0; i < p->conn_count; i++) {
		const struct pool_conn *o = &p->conns[i];

		if (o != c && o->phase == PHASE_IDLE &&
		    o->account == c->account && o->since >= c->since)
			return true;
	}
	return false;
}

static void check_conn(struct pool *p, struct pool_conn *c, bool homed,
		       hm_time now, struct proxy_output *out)
{
	hm_time since = now - c->since;

	switch (c->phase) {
	case PHASE_CONNECTING:
		if (since <= p->site.options->connect_limit)
			return;
		connect_failed(p, ERR_NO_ENDPOINT, now);
		conn_drop(p, c, ERR_NONE, now, out);
		return;
	case PHASE_SETUP:
		if (!c->expect_count) {
			if (since > LEAD_PROOF_LIMIT)
				conn_unproved(p, c, now, out);
			return;
		}
		/* fallthrough */
	case PHASE_CLEARING:
		if (since > SETUP_SILENT)
			conn_drop(p, c, ERR_NONE, now, out);
		return;
	case PHASE_RUNNING:
		if (c->job->order->deadline < now)
			conn_drop(p, c, ERR_TIME_LIMIT, now, out);
		return;
	case PHASE_OPEN:
		if (c->idle_until < now)
			conn_clear(c, now, out);
		return;
	case PHASE_IDLE:
		if ((!homed && since > UNHOMED_IDLE) ||
		    (since > SPARE_IDLE && is_spare(p, c)))
			conn_drop(p, c, ERR_NONE, now, out);
		return;
	case PHASE_CLOSED:
		return;
	}
}

void pool_tick(struct pool *p, bool homed, hm_time now,
	       struct proxy_output *out)
{
	uint32_t i;

	lead_check_tick(p->check, now, out);
	conns_prove(p, now, out);
	jobs_end(p, is_late, &now, ERR_OVERLOADED, now);
	job_end_parked(p, now);
	for (i = 0; i < p->conn_count; i++)
		check_conn(p, &p->conns[i], homed, now, out);
	conns_sweep(p);
	pool_dispatch(p, now, out);
	conns_sweep(p);
}

static bool is_any(const struct job *j, const void *context)
{
	(void)j;
	(void)context;
	return true;
}

void pool_close(struct pool *p, hm_time now, struct proxy_output *out)
{
	uint32_t i;

	jobs_end(p, is_any, NULL, ERR_NO_ENDPOINT, now);
	for (i = 0; i < p->conn_count; i++)
		if (p->conns[i].phase != PHASE_CLOSED)
			conn_drop(p, &p->conns[i], ERR_NONE, now, out);
	conns_sweep(p);
	lead_check_close(p->check, out);
}

void pool_load(const struct pool *p, struct pool_load *out)
{
	uint32_t i;

	*out = (struct pool_load){ .queued = turns_count(p->turns),
				   .running = p->running,
				   .connections = p->conn_count };
	for (i = 0; i < p->conn_count; i++)
		out->transactions += p->conns[i].tx.seq != 0;
	out->wait = turns_backlog(p->turns, p->member.slots);
}
