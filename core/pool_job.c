/** @file pool_job.c Queued statements of a pool and their results. */
#include "pool_state.h"

#include <stdlib.h>
#include <string.h>

#include "grow.h"

void result_add(struct pool *p, uint64_t reply_to, struct run_result *r)
{
	p->results = grow_list(p->results, p->result_count, &p->result_capacity,
			       sizeof(*p->results));
	p->results[p->result_count++] = (struct pool_result){ reply_to, r };
}

bool pool_next_result(struct pool *p, uint64_t *reply_to,
		      struct run_result **result)
{
	if (p->result_first == p->result_count) {
		p->result_first = 0;
		p->result_count = 0;
		return false;
	}
	*reply_to = p->results[p->result_first].reply_to;
	*result = p->results[p->result_first++].result;
	return true;
}

hm_time job_wait(const struct pool *p, const struct run_request *o, hm_time now)
{
	return fair_queue_level_wait(p->queue, o->account, o->level, now);
}

void pool_set_levels(struct pool *p, uint32_t levels)
{
	bool used = p->deps.options->scheduling.priority_queue;

	fair_queue_set_levels(p->queue, used ? levels : 1);
}

static void finish_item(struct pool *p, struct job *j, bool completed,
			hm_time now)
{
	if (!j->scheduled)
		return;
	if (p->conn_waiter == j) {
		p->conn_waiter = NULL;
		fair_queue_refund(p->queue, &j->item, now);
		return;
	}
	p->running--;
	fair_queue_finish(p->queue, &j->item, now - j->started_at, completed,
			  now);
}

/*
 * Whether success means that changes were committed. A statement inside a
 * transaction changes nothing before the commit of that transaction.
 */
static bool commits(const struct run_request *o)
{
	return o->writes && (o->scope == RUN_SINGLE || o->op == STMT_COMMIT);
}

static void state_load(const struct pool *p, const struct run_request *o,
		       struct run_load *load, hm_time now)
{
	load->known = p->deps.options->scheduling.load_levels;
	if (!load->known)
		return;
	fair_queue_share_waits(p->queue, now, load->wait);
	load->connection_wait = capacity_wait(p, o->level, now);
}

static struct run_result *new_result(const struct pool *p, const struct job *j,
				     hm_time now)
{
	struct run_result *r = calloc(1, sizeof(*r));

	if (!r)
		abort();
	r->id = j->run->id;
	r->commits = commits(j->run);
	memcpy(r->request, j->run->request, sizeof(r->request));
	r->endpoint = p->member.endpoint;
	r->wait = job_wait(p, j->run, now);
	state_load(p, j->run, &r->load, now);
	return r;
}

void job_free(struct job *j)
{
	run_request_free(j->run);
	free(j);
}

void job_refuse(struct pool *p, struct job *j, enum error error,
		enum execution execution, hm_time retry_at, hm_time now)
{
	struct run_result *r;

	finish_item(p, j, false, now);
	r = new_result(p, j, now);
	r->error = error;
	r->execution = execution;
	r->retry_at = retry_at;
	r->state = j->run->scope == RUN_SINGLE ? SESSION_IDLE : SESSION_FAILED;
	result_add(p, j->reply_to, r);
	job_free(j);
}

void job_answer(struct pool *p, struct job *j, const struct member_reply *reply,
		enum session_state state, hm_time now)
{
	struct run_result *r;

	finish_item(p, j, true, now);
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
	if (commit_must_wait(p, r))
		commit_hold(p, j->reply_to, r, j->run->deadline, now);
	else
		result_add(p, j->reply_to, r);
	job_free(j);
}

static uint32_t free_handle(struct pool *p)
{
	uint32_t i;

	for (i = 0; i < p->job_capacity; i++)
		if (!p->jobs[i])
			return i;
	p->jobs = grow_list(p->jobs, i, &p->job_capacity, sizeof(void *));
	memset(p->jobs + i, 0, (p->job_capacity - i) * sizeof(void *));
	return i;
}

static enum queue_class class_of(const struct run_request *o)
{
	if (o->scope == RUN_INSIDE)
		return QUEUE_TX;
	if (o->scope == RUN_FIRST)
		return QUEUE_BEGIN;
	return o->writes ? QUEUE_WRITE : QUEUE_READ;
}

void job_queue(struct pool *p, struct job *j, hm_time now)
{
	struct queue_item item = { .reply_to = j->reply_to,
				   .class = class_of(j->run),
				   .weight = j->run->weight,
				   .queued_at = now,
				   .start_by = j->run->start_by };
	uint32_t handle = free_handle(p);

	item.statement.id = j->run->id;
	item.statement.account = j->run->account;
	item.statement.level = j->run->level;
	item.statement.body = handle;
	j->item = item;
	p->jobs[handle] = j;
	fair_queue_push(p->queue, &item);
}

void job_requeue(struct pool *p, struct job *j, hm_time now)
{
	uint32_t handle = free_handle(p);

	j->scheduled = false;
	j->item.statement.body = handle;
	p->jobs[handle] = j;
	fair_queue_return(p->queue, &j->item, now);
}

static bool is_same(const void *context, const struct queue_item *item)
{
	const struct run_request *o = context;

	return rid_equal(item->statement.id, o->id);
}

/* Removes a job from the queue. */
static void unqueue(struct pool *p, struct job *j)
{
	struct queue_item item;

	if (fair_queue_remove(p->queue, is_same, j->run, &item))
		p->jobs[item.statement.body] = NULL;
}

void jobs_displace(struct pool *p, const struct run_request *by, hm_time now,
		   struct proxy_output *out)
{
	struct statement s = { .account = by->account, .level = by->level };
	struct queue_item item;
	hm_time wait;

	while (fair_queue_displace(p->queue, &s, now, &item, &wait)) {
		struct job *j = p->jobs[item.statement.body];

		p->jobs[item.statement.body] = NULL;
		p->displaced++;
		proxy_log(out,
			  "event=displaced request=%s account=%s level=%u "
			  "by_level=%u wait_us=%lld",
			  j->run->request, j->run->account_name,
			  item.statement.level, by->level, (long long)wait);
		job_refuse(p, j, ERR_OVERLOADED, EXEC_NOT_RUN, now + wait, now);
	}
}

/* Ends the transaction of a refused statement: the next tick rolls it back. */
static void end_tx(struct pool *p, const struct job *j)
{
	struct pool_conn *c = conn_of_tx(p, j->run->tx);

	if (c && c->phase == PHASE_IN_TX)
		c->idle_until = 0;
}

void jobs_end(struct pool *p,
	      bool (*ends)(const struct job *j, const void *context),
	      const void *context, enum error error, hm_time now)
{
	uint32_t i;

	for (i = 0; i < p->job_capacity; i++) {
		struct job *j = p->jobs[i];

		if (!j || !ends(j, context))
			continue;
		unqueue(p, j);
		end_tx(p, j);
		job_refuse(p, j, error, EXEC_NOT_RUN, now + DEFAULT_RETRY, now);
	}
	if (p->conn_waiter && ends(p->conn_waiter, context))
		job_refuse(p, p->conn_waiter, error, EXEC_NOT_RUN,
			   now + DEFAULT_RETRY, now);
}

/*
 * A job waits for a connection for at most this part of the time between its
 * arrival and its latest start.
 */
#define CONN_WAIT_FRACTION 4 /* a fourth */

void job_expire_conn_waiter(struct pool *p, hm_time now)
{
	const struct job *j = p->conn_waiter;
	hm_time since = j ? j->item.queued_at : 0;

	if (j && now - since > (j->run->start_by - since) / CONN_WAIT_FRACTION)
		job_refuse(p, p->conn_waiter, ERR_OVERLOADED, EXEC_NOT_RUN,
			   now + DEFAULT_RETRY, now);
}

static bool is_any(const struct job *j, const void *context)
{
	(void)j;
	(void)context;
	return true;
}

void jobs_end_all(struct pool *p, enum error error, hm_time now)
{
	jobs_end(p, is_any, NULL, error, now);
}
