/** @file pool_submit.c Decides whether a pool queues or refuses a statement. */
#include "pool_state.h"

#include <stdlib.h>

static bool has_connection(const struct pool *p, hm_id account)
{
	uint32_t i;

	for (i = 0; i < p->conn_count; i++)
		if (p->conns[i].phase != PHASE_CLOSED &&
		    p->conns[i].account == account)
			return true;
	return false;
}

/*
 * Whether the member must be confirmed as the current primary. This is so for a
 * read at the primary and for the first statement of a transaction there, which
 * would miss commits of a later term at a superseded primary.
 */
static bool needs_primary_check(const struct run_request *o)
{
	return o->primary_only && (o->scope == RUN_FIRST ||
				   (o->scope == RUN_SINGLE && !o->writes));
}

/* Whether the member no longer gets the statement, since it retires. */
static bool is_retired(const struct pool *p, const struct run_request *o,
		       hm_time now)
{
	if (p->member.leaving &&
	    now - p->member.leaving_since > p->deps.options->drain_limit)
		return true;
	return p->member.evacuated_since &&
	       (!o->primary_only || pool_is_evacuated(p, now));
}

/* Returns why a new statement is refused, ERR_NONE if it is to be queued. */
static enum error refusal(struct pool *p, const struct run_request *o,
			  hm_time now, hm_time *retry_at)
{
	hm_time wait;

	*retry_at = now + DEFAULT_RETRY;
	if (o->scope == RUN_INSIDE)
		return conn_of_tx(p, o->tx) && !pool_is_evacuated(p, now) &&
				       cold_limit_take(&p->cold, true, now,
						       retry_at)
			       ? ERR_NONE
			       : ERR_TX_GONE;
	if (is_retired(p, o, now))
		return ERR_NO_ENDPOINT;
	if (p->down && now < p->connect_after)
		return ERR_NO_ENDPOINT;
	if (needs_primary_check(o) && primary_check_is_failing(p->check, now)) {
		*retry_at = now + UNCONFIRMED_RETRY;
		return ERR_NO_PRIMARY;
	}
	/*
	 * Another job already waits for a connection and gets the next one
	 * that becomes free. A second job that needs a connection would wait
	 * behind it, so it is refused at once.
	 */
	if (p->conn_waiter && !has_connection(p, o->account))
		return ERR_OVERLOADED;
	if (pool_is_stalled(p, now))
		return ERR_OVERLOADED;
	wait = job_wait(p, o, now) + capacity_wait_of(p, o, false, now);
	if (now + wait > o->start_by) {
		*retry_at = now + wait;
		return ERR_OVERLOADED;
	}
	return cold_limit_take(&p->cold, false, now, retry_at)
		       ? ERR_NONE
		       : ERR_NO_ENDPOINT;
}

void pool_submit(struct pool *p, const struct run_request *run,
		 uint64_t reply_to, hm_time now, struct proxy_output *out)
{
	struct job *j = calloc(1, sizeof(*j));
	enum error error;
	hm_time retry_at;

	if (!j)
		abort();
	pace_check(p, now, out);
	/* Before a second connection of the pool could take the last place. */
	if (p->pace.starting && run->primary_only)
		primary_check_connect(p->check, now, out);
	j->run = run_request_copy(run);
	j->reply_to = reply_to;
	if (needs_primary_check(run))
		j->ticket = primary_check_begin(p->check, now, out);
	error = refusal(p, run, now, &retry_at);
	if (error == ERR_NO_PRIMARY)
		proxy_log(out,
			  "event=lead_unproved request=%s member=%s "
			  "ticket=%llu reason=no_answer_of_late",
			  run->request, p->member.name,
			  (unsigned long long)j->ticket);
	if (error) {
		job_refuse(p, j, error, EXEC_NOT_RUN, retry_at, now);
		return;
	}
	capacity_use(p, run, now);
	job_queue(p, j, now);
	pool_dispatch(p, now, out);
	jobs_displace(p, run, now, out);
}
