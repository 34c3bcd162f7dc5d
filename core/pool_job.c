/** @file pool_job.c Statements at one member: their places and their ends. */
#include "pool_state.h"

#include <stdlib.h>
#include <string.h>

static void add_ended(struct pool *p, uint64_t reply_to, struct run_result *r)
{
	if (p->ended_count == p->ended_room) {
		p->ended_room = p->ended_room ? p->ended_room * 2 : 16;
		p->ended = realloc(p->ended, p->ended_room * sizeof(*p->ended));
		if (!p->ended)
			abort();
	}
	p->ended[p->ended_count++] = (struct pool_ended){ reply_to, r };
}

bool pool_next_result(struct pool *p, uint64_t *reply_to,
		      struct run_result **result)
{
	if (p->ended_first == p->ended_count) {
		p->ended_first = 0;
		p->ended_count = 0;
		return false;
	}
	*reply_to = p->ended[p->ended_first].reply_to;
	*result = p->ended[p->ended_first++].result;
	return true;
}

hm_time job_wait(const struct pool *p, hm_id account, hm_time now)
{
	return turns_wait(p->turns, account, p->member.slots, now);
}

static void end_turn(struct pool *p, struct job *j, bool whole, hm_time now)
{
	if (!j->popped)
		return;
	if (p->parked == j) {
		p->parked = NULL;
		turns_refund(p->turns, &j->turn, now);
		return;
	}
	p->running--;
	turns_ended(p->turns, &j->turn, now - j->started_at, whole, now);
}

/* A statement inside a transaction changes nothing before its commit. */
static bool commits(const struct run_request *o)
{
	return o->writes && (o->scope == RUN_SINGLE || o->op == STMT_COMMIT);
}

static struct run_result *new_result(const struct pool *p, const struct job *j,
				     hm_time now)
{
	struct run_result *r = calloc(1, sizeof(*r));

	if (!r)
		abort();
	r->id = j->order->id;
	r->commits = commits(j->order);
	memcpy(r->request, j->order->request, sizeof(r->request));
	r->endpoint = p->member.endpoint;
	r->wait = job_wait(p, j->order->account, now);
	return r;
}

void job_free(struct job *j)
{
	run_request_free(j->order);
	free(j);
}

void job_refuse(struct pool *p, struct job *j, enum error error,
		enum execution execution, hm_time retry_at, hm_time now)
{
	struct run_result *r;

	end_turn(p, j, false, now);
	r = new_result(p, j, now);
	r->error = error;
	r->execution = execution;
	r->retry_at = retry_at;
	r->state =
		j->order->scope == RUN_SINGLE ? SESSION_IDLE : SESSION_FAILED;
	add_ended(p, j->reply_to, r);
	job_free(j);
}

void job_answer(struct pool *p, struct job *j, const struct member_reply *reply,
		enum session_state state, hm_time now)
{
	struct run_result *r;

	end_turn(p, j, true, now);
	r = new_result(p, j, now);
	r->error = reply->error;
	r->execution =
		reply->error ? error_answer(reply->error)->execution : EXEC_RUN;
	r->state = state;
	r->at = reply->at;
	r->signature = text_copy(reply->signature);
	if (reply->row_bytes) {
		r->rows = malloc(reply->row_bytes);
		if (!r->rows)
			abort();
		memcpy(r->rows, reply->rows, reply->row_bytes);
		r->row_bytes = reply->row_bytes;
	}
	add_ended(p, j->reply_to, r);
	job_free(j);
}

static uint32_t free_handle(struct pool *p)
{
	uint32_t i;

	for (i = 0; i < p->job_room; i++)
		if (!p->jobs[i])
			return i;
	p->job_room = p->job_room ? p->job_room * 2 : 16;
	p->jobs = realloc(p->jobs, p->job_room * sizeof(void *));
	if (!p->jobs)
		abort();
	memset(p->jobs + i, 0, (p->job_room - i) * sizeof(void *));
	return i;
}

static enum turn_class class_of(const struct run_request *o)
{
	if (o->scope == RUN_INSIDE)
		return TURN_TX;
	if (o->scope == RUN_FIRST)
		return TURN_BEGIN;
	return o->writes ? TURN_WRITE : TURN_READ;
}

void job_queue(struct pool *p, struct job *j, hm_time now)
{
	struct turn turn = { .reply_to = j->reply_to,
			     .class = class_of(j->order),
			     .weight = j->order->weight,
			     .queued_at = now };
	uint32_t handle = free_handle(p);

	turn.statement.id = j->order->id;
	turn.statement.account = j->order->account;
	turn.statement.body = handle;
	p->jobs[handle] = j;
	turns_push(p->turns, &turn);
}

static bool is_same(const void *context, const struct turn *turn)
{
	const struct run_request *o = context;

	return rid_equal(turn->statement.id, o->id);
}

/* Takes a queued job out of line. */
static void unqueue(struct pool *p, struct job *j)
{
	struct turn turn;

	if (turns_remove(p->turns, is_same, j->order, &turn))
		p->jobs[turn.statement.body] = NULL;
}

/* A statement that is refused takes its transaction with it. */
static void abandon_tx(struct pool *p, const struct job *j)
{
	struct pool_conn *c = conn_of_tx(p, j->order->tx);

	if (c && c->phase == PHASE_OPEN)
		c->idle_until = 0;
}

/* Ends queued jobs for which @a ends holds. */
void jobs_end(struct pool *p,
	      bool (*ends)(const struct job *j, const void *context),
	      const void *context, enum error error, hm_time now)
{
	uint32_t i;

	for (i = 0; i < p->job_room; i++) {
		struct job *j = p->jobs[i];

		if (!j || !ends(j, context))
			continue;
		unqueue(p, j);
		abandon_tx(p, j);
		job_refuse(p, j, error, EXEC_NOT_RUN, now + RETRY_SOON, now);
	}
	if (p->parked && ends(p->parked, context))
		job_refuse(p, p->parked, error, EXEC_NOT_RUN, now + RETRY_SOON,
			   now);
}

/* Part of its time that a statement waits for a connection. */
#define PARK_PART 4

void job_end_parked(struct pool *p, hm_time now)
{
	const struct job *j = p->parked;
	hm_time since = j ? j->turn.queued_at : 0;

	if (j && now - since > (j->order->start_by - since) / PARK_PART)
		job_refuse(p, p->parked, ERR_OVERLOADED, EXEC_NOT_RUN,
			   now + RETRY_SOON, now);
}
