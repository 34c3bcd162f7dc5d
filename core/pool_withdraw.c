/**
 * @file pool_withdraw.c
 * Ends the use of a member that can no longer serve what waits for it: its zone
 * is evacuated, or it has stopped answering.
 */
#include "pool_state.h"

/*
 * Several times as long as a statement takes. With all slots in use and none
 * answered for this time the member hangs, is dark or is cut off.
 */
#define STALL_AFTER (150 * HM_MS)
/*
 * Part of its waiting time after which a job that waits for a stalled member is
 * refused, so that its client can turn elsewhere.
 */
#define STALL_WAIT_FRACTION 4 /* a fourth */

bool pool_is_evacuated(const struct pool *p, hm_time now)
{
	return site_member_is_evacuated(&p->member,
					p->deps.options->evacuation_limit, now);
}

void pool_evacuate(struct pool *p, hm_time now, struct proxy_output *out)
{
	uint32_t i;

	if (!pool_is_evacuated(p, now))
		return;
	jobs_end_all(p, ERR_NO_ENDPOINT, now);
	for (i = 0; i < p->conn_count; i++)
		if (p->conns[i].phase != PHASE_CLOSED &&
		    p->conns[i].phase != PHASE_RUNNING)
			conn_drop(p, &p->conns[i], ERR_NONE, now, out);
}

bool pool_is_stalled(const struct pool *p, hm_time now)
{
	return p->running >= p->member.slots &&
	       now - p->progress_at > STALL_AFTER;
}

static bool is_stuck(const struct job *j, const void *context)
{
	hm_time now = *(const hm_time *)context, since = j->item.queued_at;

	return j->run->scope != RUN_INSIDE &&
	       now - since > (j->run->start_by - since) / STALL_WAIT_FRACTION;
}

void pool_refuse_stalled(struct pool *p, hm_time now)
{
	if (pool_is_stalled(p, now))
		jobs_end(p, is_stuck, &now, ERR_OVERLOADED, now);
}
