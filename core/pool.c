/** @file pool.c Connection events, deadlines and shutdown of a pool. */
#include "pool_state.h"

#include <stdlib.h>
#include <string.h>

struct pool *pool_new(const struct site_member *member, uint32_t connections,
		      struct pool_deps deps, hm_time now)
{
	struct pool *p = calloc(1, sizeof(*p));

	if (!p)
		abort();
	p->deps = deps;
	p->queue = fair_queue_new();
	p->conn_queue = conn_queue_new();
	fair_queue_set_filter(p->queue, capacity_allows, p);
	p->check = primary_check_new(
		member->endpoint,
		(struct primary_check_deps){ deps.options, deps.next_conn });
	pool_member(p, member, connections);
	if (capacity_is_shared(p) && deps.options->scheduling.restart_pace)
		restart_pace_begin(&p->pace, now);
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
	for (i = 0; i < p->job_capacity; i++)
		if (p->jobs[i])
			job_free(p->jobs[i]);
	if (p->conn_waiter)
		job_free(p->conn_waiter);
	for (i = 0; i < p->conn_count; i++) {
		conn_clear_session(&p->conns[i]);
		if (p->conns[i].job)
			job_free(p->conns[i].job);
	}
	commits_free(p);
	fair_queue_free(p->queue);
	conn_queue_free(p->conn_queue);
	primary_check_free(p->check);
	free(p->jobs);
	free(p->conns);
	free(p->results);
	free(p);
}

void pool_member(struct pool *p, const struct site_member *member,
		 uint32_t connections)
{
	p->member = *member;
	if (!p->member.slots)
		p->member.slots = 1;
	fair_queue_set_slots(p->queue, p->member.slots);
	p->connection_limit = connections;
	if (p->cold.until < member->cold_until)
		p->cold.until = member->cold_until;
}

void pool_set_cold(struct pool *p, double cold_per_s, hm_time cold_time)
{
	p->cold.per_s = cold_per_s;
	p->cold_time = cold_time;
}

hm_id pool_endpoint(const struct pool *p)
{
	return p->member.endpoint;
}

hm_id pool_service(const struct pool *p)
{
	return p->member.service;
}

struct primary_check *pool_check(const struct pool *p)
{
	return p->check;
}

static bool of_tx(const struct job *j, const void *context)
{
	const struct rid *tx = context;

	return rid_equal(j->run->tx, *tx);
}

/*
 * Rolls back the transaction of a connection. A running statement is left to
 * end first, since interrupting it would mean closing the connection.
 */
static void release_conn(struct pool_conn *c, hm_time now,
			 struct proxy_output *out)
{
	if (c->phase == PHASE_IN_TX)
		conn_roll_back(c, now, out);
	else if (c->phase != PHASE_ROLLBACK)
		c->rollback_due = true;
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

static bool of_incarnation(const struct job *j, const void *context)
{
	return j->run->tx.incarnation == *(const uint64_t *)context;
}

void pool_release_incarnation(struct pool *p, uint64_t incarnation, hm_time now,
			      struct proxy_output *out)
{
	uint32_t i;

	jobs_end(p, of_incarnation, &incarnation, ERR_TX_GONE, now);
	for (i = 0; i < p->conn_count; i++) {
		struct pool_conn *c = &p->conns[i];

		if (c->phase != PHASE_CLOSED && c->tx.seq &&
		    c->tx.incarnation == incarnation)
			release_conn(c, now, out);
	}
	conns_sweep(p);
}

bool pool_has(const struct pool *p, uint64_t conn)
{
	return conn_find(p, conn) || primary_check_owns_conn(p->check, conn);
}

void pool_ready(struct pool *p, uint64_t conn, hm_time now,
		struct proxy_output *out)
{
	struct pool_conn *c = conn_find(p, conn);
	struct job *j;

	if (!c) {
		primary_check_conn_ready(p->check, conn, now, out);
		commits_check(p, now, out);
		return;
	}
	j = c->job;
	/* It may have restarted, which its entry does not show yet. */
	if (p->down && p->cold.until < now + p->cold_time)
		p->cold.until = now + p->cold_time;
	p->down = false;
	p->progress_at = now;
	p->connect_backoff = 0;
	capacity_opened(p, c, now);
	c->job = NULL;
	conn_set_phase(c, PHASE_IDLE, now);
	if (j)
		conn_start(p, c, j, now, out);
	pool_dispatch(p, now, out);
	conns_sweep(p);
	capacity_used(p, conn, now);
}

void pool_replied(struct pool *p, uint64_t conn,
		  const struct member_reply *reply, hm_time now,
		  struct proxy_output *out)
{
	struct pool_conn *c = conn_find(p, conn);

	if (c) {
		p->progress_at = now;
		conn_replied(p, c, reply, now, out);
	} else {
		primary_check_replied(p->check, conn, reply, now, out);
		conns_resume_setup(p, now, out);
	}
	commits_check(p, now, out);
	pool_dispatch(p, now, out);
	conns_sweep(p);
	if (c)
		capacity_used(p, conn, now);
}

/*
 * The member refused a connection at its limit: takes the number of open ones
 * as the connection limit for a while.
 */
static void note_full(struct pool *p, const struct pool_conn *c, hm_time now)
{
	uint32_t i;

	capacity_refused(p, c, now);
	if (capacity_is_shared(p))
		return;
	p->full_count = 0;
	for (i = 0; i < p->conn_count; i++)
		p->full_count += p->conns[i].phase != PHASE_CLOSED &&
				 p->conns[i].phase != PHASE_CONNECTING;
	p->full_until = now + FULL_COUNT_VALID;
	p->connect_after = now + CONNECTION_LIMIT_PAUSE;
}

static void connect_failed(struct pool *p, const struct pool_conn *c,
			   enum error error, hm_time now)
{
	if (error == ERR_CONNECTION_LIMIT || error == ERR_OVERLOADED) {
		note_full(p, c, now);
		return;
	}
	p->down = true;
	p->connect_backoff *= 2;
	if (p->connect_backoff < CONNECT_BACKOFF_FIRST)
		p->connect_backoff = CONNECT_BACKOFF_FIRST;
	if (p->connect_backoff > CONNECT_BACKOFF_MAX)
		p->connect_backoff = CONNECT_BACKOFF_MAX;
	p->connect_after = now + p->connect_backoff;
}

/* Lets the job whose connection was refused wait for another one. */
static void requeue_job(struct pool *p, struct pool_conn *c, hm_time now)
{
	struct job *j = c->job;

	if (!j || p->conn_waiter)
		return;
	c->job = NULL;
	p->running--;
	if (capacity_is_shared(p))
		job_requeue(p, j, now);
	else
		p->conn_waiter = j;
}

void pool_closed(struct pool *p, uint64_t conn, enum error error, hm_time now,
		 struct proxy_output *out)
{
	struct pool_conn *c = conn_find(p, conn);

	if (!c) {
		primary_check_conn_closed(p->check, conn, now, out);
		return;
	}
	if (c->phase == PHASE_CONNECTING) {
		connect_failed(p, c, error, now);
		if (error == ERR_CONNECTION_LIMIT || error == ERR_OVERLOADED)
			requeue_job(p, c, now);
	}
	conn_drop(p, c, ERR_NONE, now, out);
	conns_sweep(p);
	capacity_refuse_hopeless(p, now);
	pool_dispatch(p, now, out);
	conns_sweep(p);
}

static bool is_late(const struct job *j, const void *context)
{
	return j->run->start_by < *(const hm_time *)context;
}

/*
 * Idle connections are closed after this time if another instance owns the
 * member.
 */
#define NON_OWNER_IDLE (300 * HM_MS)

/*
 * If an account has several idle connections, all but the last used one are
 * closed after this time. When an instance loses power, the member counts its
 * connections for another 3 s and accepts that many fewer from the next owner.
 * The time is not shorter, since clients retry within 200 ms of a refusal and
 * then use the connection.
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

static void check_conn(struct pool *p, struct pool_conn *c, bool is_owner,
		       hm_time now, struct proxy_output *out)
{
	hm_time since = now - c->since;

	switch (c->phase) {
	case PHASE_CONNECTING:
		if (since <= p->deps.options->connect_limit)
			return;
		connect_failed(p, c, ERR_NO_ENDPOINT, now);
		conn_drop(p, c, ERR_NONE, now, out);
		return;
	case PHASE_SETUP:
		if (!c->expect_count) {
			if (since > PRIMARY_CHECK_TIMEOUT)
				conn_primary_check_timeout(p, c, now, out);
			return;
		}
		/* fallthrough */
	case PHASE_ROLLBACK:
		if (since > SETUP_TIMEOUT)
			conn_drop(p, c, ERR_NONE, now, out);
		return;
	case PHASE_RUNNING:
		if (c->job->run->deadline < now)
			conn_drop(p, c, ERR_TIME_LIMIT, now, out);
		return;
	case PHASE_IN_TX:
		if (c->idle_until < now)
			conn_roll_back(c, now, out);
		return;
	case PHASE_IDLE:
		if ((!is_owner && since > NON_OWNER_IDLE) ||
		    (since > SPARE_IDLE && is_spare(p, c) &&
		     !capacity_keeps_spare(p, c, now)))
			conn_drop(p, c, ERR_NONE, now, out);
		return;
	case PHASE_CLOSED:
		return;
	}
}

void pool_tick(struct pool *p, bool is_owner, hm_time now,
	       struct proxy_output *out)
{
	uint32_t i;

	pace_check(p, now, out);
	primary_check_members_read(p->check, p->deps.view->members_read_at,
				   out);
	primary_check_tick(p->check, now, out);
	conns_resume_setup(p, now, out);
	commits_tick(p, now, out);
	change_tick(p, out);
	jobs_end(p, is_late, &now, ERR_OVERLOADED, now);
	pool_refuse_stalled(p, now);
	job_expire_conn_waiter(p, now);
	pool_evacuate(p, now, out);
	for (i = 0; i < p->conn_count; i++)
		check_conn(p, &p->conns[i], is_owner, now, out);
	conns_sweep(p);
	pool_dispatch(p, now, out);
	conns_sweep(p);
}

void pool_close(struct pool *p, hm_time now, struct proxy_output *out)
{
	uint32_t i;

	jobs_end_all(p, ERR_NO_ENDPOINT, now);
	commits_give_up(p, now, out);
	for (i = 0; i < p->conn_count; i++)
		if (p->conns[i].phase != PHASE_CLOSED)
			conn_drop(p, &p->conns[i], ERR_NONE, now, out);
	conns_sweep(p);
	primary_check_close(p->check, out);
}

void pool_load(const struct pool *p, struct pool_load *out)
{
	uint32_t i;

	*out = (struct pool_load){ .queued = fair_queue_count(p->queue),
				   .running = p->running + p->commit_count,
				   .connections = p->conn_count,
				   .displaced = p->displaced,
				   .confirmed_in_change =
					   p->confirmed_in_change,
				   .conn_waiting =
					   conn_queue_waiting(p->conn_queue),
				   .conn_counts = p->conn_counts };
	for (i = 0; i < p->conn_count; i++)
		out->transactions += p->conns[i].tx.seq != 0;
	out->wait = fair_queue_backlog(p->queue, p->member.slots);
}
