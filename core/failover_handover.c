/**
 * @file failover_handover.c
 * Phase HAND_OVER of a failover: fences a leaving primary to stop its writes and
 * waits until a replica has caught up, so that no write is lost.
 */
#include "failover_state.h"

#define CATCH_UP_LIMIT (2 * HM_SEC)

static bool caught_up(const struct failover *f, const struct candidate *from)
{
	uint32_t i;

	for (i = 0; i < f->count; i++) {
		const struct candidate *c = &f->candidates[i];

		if (c != from && c->answered &&
		    !failover_is_leaving(f, c->endpoint) &&
		    lineage_reach(&c->state.lineage, c->state.at,
				  from->state.at) == REACH_OK)
			return true;
	}
	return false;
}

void failover_tick_hand_over(struct failover *f, hm_time now,
			     struct actions *actions)
{
	struct candidate *from = failover_candidate(f, f->target);
	uint32_t i;

	if (!from || failover_elapsed(f, CATCH_UP_LIMIT, now)) {
		failover_enter(f, PHASE_FENCE, now);
		failover_tick_fence(f, now, actions);
		return;
	}
	if (now < f->send_at)
		return;
	f->send_at = now + CORE_TICK;
	if (!from->fenced)
		failover_send_step(f, from, CONTROL_FENCE, actions);
	for (i = 0; from->fenced && i < f->count; i++)
		if (&f->candidates[i] != from)
			failover_send_step(f, &f->candidates[i], CONTROL_PROBE,
					   actions);
}

void failover_answer_hand_over(struct failover *f, struct candidate *c,
			       const struct state_report *r, hm_time now,
			       struct actions *actions)
{
	struct candidate *from = failover_candidate(f, f->target);

	if (!r->state.reachable || !from)
		return;
	if (c == from) {
		if (!failover_take_fence(f, c, r))
			failover_fence_refused(f, r, now, actions);
		return;
	}
	c->answered = true;
	c->state = r->state;
	if (!from->fenced || !caught_up(f, from))
		return;
	failover_enter(f, PHASE_FENCE, now);
	failover_tick_fence(f, now, actions);
}
