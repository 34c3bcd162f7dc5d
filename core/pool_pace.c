/** @file pool_pace.c Starting state of a pool, see restart_pace.h. */
#include "pool_state.h"

static uint32_t count_held(const struct pool *p, hm_time now)
{
	uint32_t i, n = 0;

	for (i = 0; i < p->conn_count; i++)
		n += p->conns[i].busy_since &&
		     now - p->conns[i].busy_since >= RESTART_PACE_HELD;
	return n;
}

void pace_limit_room(const struct pool *p, struct conn_room *room, hm_time now)
{
	uint32_t most = restart_pace_most(&p->pace, p->member.slots, room->open,
					  count_held(p, now), now);

	if (room->most > most)
		room->most = most;
	if (room->most_others > most)
		room->most_others = most;
	if (room->hold > most)
		room->hold = most;
}

void pool_set_restarted(struct pool *p)
{
	p->pace.together = true;
}

uint32_t pace_rate(const struct pool *p)
{
	uint32_t i, n = 0;

	if (!p->pace.starting)
		return 0;
	/* A full member may refuse those that are connecting. */
	for (i = 0; i < p->conn_count; i++)
		n += p->conns[i].phase != PHASE_CLOSED &&
		     !(p->backoff.full &&
		       p->conns[i].phase == PHASE_CONNECTING);
	return restart_pace_rate(n);
}

void pace_check(struct pool *p, hm_time now, struct proxy_output *out)
{
	const struct service_state *v = p->deps.view;

	if (!p->pace.starting)
		return;
	if (!p->pace.logged)
		proxy_log(out, "event=pool_starting member=%s slots=%u",
			  p->member.name, p->member.slots);
	p->pace.logged = true;
	if (restart_pace_ends(&p->pace, v->latest.primary && v->sample_count,
			      now))
		proxy_log(out,
			  "event=pool_started member=%s after_us=%lld "
			  "refused=%llu reassigned=%llu",
			  p->member.name, (long long)(now - p->pace.created_at),
			  (unsigned long long)p->pace.refused,
			  (unsigned long long)p->pace.reassigned);
}
