/**
 * @file pool_capacity.c
 * Which connections a pool opens and closes while its accounts share fewer
 * connections than they could use. Counts connections and statements for
 * conn_queue.h and carries out its decisions.
 */
#include "pool_state.h"

#include <stddef.h>

/*
 * With more accounts than connections a spare connection that is closed is soon
 * replaced by one of another account, so that closing it leaves no more room
 * for the next owner. It stays open unless it is used less often than this.
 */
#define SPARE_RATE 0.1 /* uses per second */

bool capacity_is_shared(const struct pool *p)
{
	return p->deps.options->scheduling.connection_queue;
}

static bool is_open(const struct pool_conn *c)
{
	return c->phase != PHASE_CLOSED;
}

static bool in_tx(const struct pool_conn *c)
{
	return c->tx.seq != 0;
}

static uint32_t count_open(const struct pool *p, bool ready_only)
{
	uint32_t i, n = 0;

	for (i = 0; i < p->conn_count; i++)
		n += is_open(&p->conns[i]) &&
		     !(ready_only && p->conns[i].phase == PHASE_CONNECTING);
	return n;
}

static bool attempt_pending(const struct pool *p)
{
	return count_open(p, true) != count_open(p, false);
}

static bool any_idle(const struct pool *p)
{
	uint32_t i;

	for (i = 0; i < p->conn_count; i++)
		if (p->conns[i].phase == PHASE_IDLE)
			return true;
	return false;
}

/* Connections that may be open, given what the member accepted last. */
static struct conn_room room_of(const struct pool *p, hm_time now)
{
	const struct conn_backoff *b = &p->backoff;
	struct conn_room room = conn_queue_room(
		p->conn_queue, p->connection_limit, RESERVED_CONNECTIONS, now);

	room.open = count_open(p, false);
	if (p->pace.starting)
		pace_limit_room(p, &room, now);
	if (b->full &&
	    (now < b->grow_at || (now < b->swap_until && any_idle(p)))) {
		if (room.most > b->count)
			room.most = b->count;
		if (room.most_others > b->count)
			room.most_others = b->count;
	}
	return room;
}

/* Whether a connection may be attempted now, if there is room for it. */
static bool may_attempt(const struct pool *p, hm_time now)
{
	if (now < p->connect_after)
		return false;
	return !p->backoff.full ||
	       (now >= p->backoff.swap_at && !attempt_pending(p));
}

static void count_use(struct pool *p)
{
	uint32_t i;

	conn_queue_begin(p->conn_queue);
	conn_queue_set_rate(p->conn_queue, pace_rate(p));
	for (i = 0; i < p->conn_count; i++)
		if (is_open(&p->conns[i]))
			conn_queue_add_conn(p->conn_queue, p->conns[i].account,
					    !in_tx(&p->conns[i]),
					    p->conns[i].phase == PHASE_IDLE);
	for (i = 0; i < p->job_capacity; i++)
		if (p->jobs[i] && p->jobs[i]->run->scope != RUN_INSIDE)
			conn_queue_add_job(p->conn_queue,
					   p->jobs[i]->run->account,
					   p->jobs[i]->run->level,
					   p->jobs[i]->item.queued_at);
	conn_queue_update_waiting(p->conn_queue);
}

void capacity_choose(struct pool *p, hm_time now)
{
	struct conn_room room;

	if (p->choice_valid)
		return;
	p->choice_valid = true;
	count_use(p);
	p->choice = (struct conn_choice){ 0 };
	if (!may_attempt(p, now))
		return;
	room = room_of(p, now);
	p->choice = conn_queue_choose(p->conn_queue, &room, now);
}

static bool has_idle(const struct pool *p, hm_id account)
{
	uint32_t i;

	for (i = 0; i < p->conn_count; i++)
		if (p->conns[i].phase == PHASE_IDLE &&
		    p->conns[i].account == account)
			return true;
	return false;
}

/* Whether any account can get a connection, without one being closed. */
static bool is_uncontended(const struct pool *p, hm_time now)
{
	struct conn_room room;

	if (conn_queue_waiting(p->conn_queue) || p->backoff.full ||
	    now < p->connect_after)
		return false;
	room = room_of(p, now);
	return room.open < room.most && room.open < room.most_others;
}

bool capacity_allows(void *context, hm_id account, hm_time now)
{
	struct pool *p = context;

	if (!capacity_is_shared(p))
		return true;
	if (!conn_queue_waiting(p->conn_queue) && has_idle(p, account))
		return true;
	if (is_uncontended(p, now))
		return true;
	capacity_choose(p, now);
	if (has_idle(p, account))
		return !p->choice.turn || p->choice.victim != account;
	return p->choice.found && p->choice.account == account;
}

/* Idle connection of the account that has been idle for the longest time. */
static struct pool_conn *find_idle(const struct pool *p, hm_id account)
{
	struct pool_conn *best = NULL;
	uint32_t i;

	for (i = 0; i < p->conn_count; i++) {
		struct pool_conn *c = &p->conns[i];

		if (c->phase == PHASE_IDLE && c->account == account &&
		    (!best || c->since < best->since))
			best = c;
	}
	return best;
}

struct pool_conn *capacity_open(struct pool *p, const struct run_request *o,
				hm_time now, struct proxy_output *out)
{
	struct pool_conn *victim;

	if (!is_uncontended(p, now)) {
		capacity_choose(p, now);
		if (!p->choice.found || p->choice.account != o->account)
			return NULL;
	}
	if (p->choice_valid && p->choice.evict) {
		victim = find_idle(p, p->choice.victim);
		if (!victim)
			return NULL;
		proxy_log(out,
			  "event=conn_given_up member=%s account=%016llx "
			  "for=%s idle_us=%lld",
			  p->member.name, (unsigned long long)victim->account,
			  o->account_name, (long long)(now - victim->since));
		p->conn_counts.given_up++;
		p->conn_counts.reassigned += p->pace.starting;
		p->pace.reassigned += p->pace.starting;
		conn_drop(p, victim, ERR_NONE, now, out);
	}
	conn_queue_got(p->conn_queue, o->account, now);
	return conn_open(p, o->account, o->account_name, now, out);
}

void capacity_mark_waiting(struct pool *p, hm_time now,
			   struct proxy_output *out)
{
	hm_time attempt_at = p->backoff.full ? p->backoff.grow_at : now;
	uint32_t level;
	hm_id account;

	capacity_choose(p, now);
	while (conn_queue_next_waiting(p->conn_queue, &account, &level)) {
		p->conn_counts.waits++;
		proxy_log(out,
			  "event=conn_wait member=%s account=%016llx level=%u "
			  "waiting=%u expected_us=%lld",
			  p->member.name, (unsigned long long)account, level,
			  conn_queue_waiting(p->conn_queue),
			  (long long)conn_queue_wait(p->conn_queue, account,
						     level, true, attempt_at,
						     now));
	}
}

/* Whether a connection can be opened now, or an idle one be closed for it. */
static bool is_available(const struct pool *p, hm_time now)
{
	struct conn_room room = room_of(p, now);

	if (now < p->connect_after ||
	    (p->backoff.full && now < p->backoff.swap_at))
		return false;
	return room.open < room.most || any_idle(p);
}

static hm_time expected_wait(const struct pool *p, hm_id account,
			     uint32_t level, bool queued, hm_time now)
{
	hm_time attempt_at = p->connect_after;

	if (!capacity_is_shared(p))
		return 0;
	if (!conn_queue_waiting(p->conn_queue) && is_available(p, now))
		return 0;
	if (pace_rate(p))
		attempt_at = p->backoff.full ? p->backoff.swap_at : attempt_at;
	else if (p->backoff.full && p->backoff.grow_at > attempt_at)
		attempt_at = p->backoff.grow_at;
	return conn_queue_wait(p->conn_queue, account, level, queued,
			       attempt_at, now);
}

hm_time capacity_wait(const struct pool *p, uint32_t level, hm_time now)
{
	return expected_wait(p, 0, level, false, now);
}

hm_time capacity_wait_of(const struct pool *p, const struct run_request *o,
			 bool queued, hm_time now)
{
	uint32_t i;

	for (i = 0; i < p->conn_count; i++)
		if (is_open(&p->conns[i]) && !in_tx(&p->conns[i]) &&
		    p->conns[i].account == o->account)
			return 0;
	return expected_wait(p, o->account, o->level, queued, now);
}

void capacity_use(struct pool *p, const struct run_request *o, hm_time now)
{
	uint32_t i, depth = 0;

	if (!capacity_is_shared(p) || o->scope == RUN_INSIDE)
		return;
	for (i = 0; i < p->conn_count; i++)
		depth += is_open(&p->conns[i]) &&
			 p->conns[i].account == o->account &&
			 p->conns[i].phase != PHASE_IDLE;
	for (i = 0; i < p->job_capacity; i++)
		depth += p->jobs[i] && p->jobs[i]->run->account == o->account &&
			 p->jobs[i]->run->scope != RUN_INSIDE;
	conn_queue_use(p->conn_queue, o->account, depth, now);
}

void capacity_opened(struct pool *p, const struct pool_conn *c, hm_time now)
{
	struct queue_item item = {
		.class = c->job ? c->job->item.class : QUEUE_READ
	};

	if (!capacity_is_shared(p))
		return;
	conn_backoff_accepted(&p->backoff, count_open(p, true) + 1);
	item.statement.account = c->account;
	item.statement.level = c->job ? c->job->item.statement.level : 0;
	fair_queue_charge(p->queue, &item, now - c->since, now);
}

void capacity_refused(struct pool *p, const struct pool_conn *c, hm_time now)
{
	p->conn_counts.refused++;
	restart_pace_refused(&p->pace, now);
	if (capacity_is_shared(p))
		conn_backoff_refused(&p->backoff, count_open(p, true), c->since,
				     now);
}

struct moment {
	const struct pool *pool;
	hm_time now;
};

static bool is_hopeless(const struct job *j, const void *context)
{
	const struct moment *m = context;
	hm_time wait;

	if (j->run->scope == RUN_INSIDE)
		return false;
	wait = capacity_wait_of(m->pool, j->run, true, m->now);
	return wait && m->now + wait > j->run->start_by;
}

void capacity_refuse_hopeless(struct pool *p, hm_time now)
{
	struct moment m = { p, now };

	if (!capacity_is_shared(p) || !p->backoff.full)
		return;
	count_use(p);
	jobs_end(p, is_hopeless, &m, ERR_OVERLOADED, now);
}

void capacity_used(struct pool *p, uint64_t conn, hm_time now)
{
	const struct pool_conn *c = conn_find(p, conn);

	if (capacity_is_shared(p) && (!c || c->phase == PHASE_IDLE))
		conn_queue_freed(p->conn_queue, now);
}

bool capacity_keeps_spare(const struct pool *p, const struct pool_conn *c,
			  hm_time now)
{
	uint32_t i, n = 0;

	if (!capacity_is_shared(p) ||
	    conn_queue_users(p->conn_queue, now) + RESERVED_CONNECTIONS <=
		    p->connection_limit)
		return false;
	for (i = 0; i < p->conn_count; i++)
		n += is_open(&p->conns[i]) && p->conns[i].account == c->account;
	return conn_queue_rate(p->conn_queue, c->account, n - 1, now) >=
	       SPARE_RATE;
}
