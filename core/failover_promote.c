/** @file failover_promote.c The phases of a failover from WAIT to FOLLOW. */
#include "failover_state.h"

#define PROMOTE_LIMIT (2 * HM_SEC)
#define FOLLOW_LIMIT (3 * HM_SEC)
/**
 * A promotion waits for confirmation_valid and this fraction (1/n) of it in
 * addition, because the clocks of the instances run at different rates.
 */
#define WAIT_MARGIN_DIVISOR 16

/* End of a log as (term, position); a term counts before its first record. */
static struct log_pos progress(const struct candidate *c)
{
	uint64_t pos = c->state.at.pos;

	return (struct log_pos){ lineage_term_at(&c->state.lineage, pos), pos };
}

static bool more_advanced(const struct failover *f, const struct candidate *a,
			  const struct candidate *b)
{
	int order = log_pos_compare(progress(a), progress(b));

	if (order)
		return order > 0;
	return failover_is_leaving(f, b->endpoint) &&
	       !failover_is_leaving(f, a->endpoint);
}

static hm_id most_advanced(const struct failover *f)
{
	const struct candidate *best = NULL;
	uint32_t i;

	for (i = 0; i < f->count; i++) {
		const struct candidate *c = &f->candidates[i];

		if (c->fenced && (!best || more_advanced(f, c, best)))
			best = c;
	}
	return best ? best->endpoint : 0;
}

static hm_time wait_limit(const struct failover *f)
{
	hm_time valid = f->options->confirmation_valid;

	if (f->options->guards_off & GUARD_FENCE)
		return 0;
	return valid + valid / WAIT_MARGIN_DIVISOR;
}

void failover_tick_wait(struct failover *f, hm_time now,
			struct actions *actions)
{
	if (!failover_elapsed(f, wait_limit(f), now)) {
		failover_send_fences(f, now, actions);
		return;
	}
	f->target = most_advanced(f);
	failover_enter(f, PHASE_PROMOTE, now);
	failover_log_step(f, actions, "failover_promotes", "furthest_log");
	failover_phases[f->phase].tick(f, now, actions);
}

void failover_answer_wait(struct failover *f, struct candidate *c,
			  const struct state_report *r, hm_time now,
			  struct actions *actions)
{
	if (r->state.reachable && !failover_take_fence(f, c, r))
		failover_fence_refused(f, r, now, actions);
}

static void announce(struct failover *f, const struct endpoint_state *s,
		     struct actions *actions)
{
	struct action *a = actions_add(actions, ACT_ANNOUNCE);
	struct message *m;

	a->announce.database = s->database;
	a->announce.primary = f->target;
	a->announce.term = f->term;
	m = actions_send(actions, 0, MSG_STATE);
	m->state.state = *s;
}

static void promoted(struct failover *f, const struct endpoint_state *s,
		     hm_time now, struct actions *actions)
{
	f->promotions++;
	failover_log_step(f, actions, "failover_promoted", f->cause);
	announce(f, s, actions);
	failover_enter(f, PHASE_FOLLOW, now);
	failover_phases[f->phase].tick(f, now, actions);
}

void failover_tick_promote(struct failover *f, hm_time now,
			   struct actions *actions)
{
	struct candidate *c = failover_candidate(f, f->target);

	if (group_is_primary(f->group, f->target, f->term))
		promoted(f, group_state(f->group, f->target), now, actions);
	else if (!c || failover_elapsed(f, PROMOTE_LIMIT, now))
		failover_back_off(f, now, "promotion_unanswered", actions);
	else if (failover_send_due(f, now))
		failover_send_step(f, c, CONTROL_PROMOTE, actions);
}

void failover_answer_promote(struct failover *f, struct candidate *c,
			     const struct state_report *r, hm_time now,
			     struct actions *actions)
{
	if (c->endpoint != f->target || !r->state.reachable)
		return;
	if (r->state.refused || r->state.promised != f->term ||
	    r->state.role != ROLE_PRIMARY) {
		failover_back_off(f, now, "promotion_refused", actions);
		return;
	}
	promoted(f, &r->state, now, actions);
}

void failover_tick_follow(struct failover *f, hm_time now,
			  struct actions *actions)
{
	bool due = failover_send_due(f, now);
	uint32_t unanswered = 0;
	uint32_t i;

	for (i = 0; i < f->count; i++) {
		struct candidate *c = &f->candidates[i];

		if (c->answered || c->endpoint == f->target)
			continue;
		unanswered++;
		if (due)
			failover_send_step(f, c, CONTROL_FOLLOW, actions);
	}
	if (unanswered && !failover_elapsed(f, FOLLOW_LIMIT, now))
		return;
	f->suspect_since = 0;
	failover_enter(f, PHASE_IDLE, now);
}

void failover_answer_follow(struct failover *f, struct candidate *c,
			    const struct state_report *r, hm_time now,
			    struct actions *actions)
{
	if (!r->state.reachable)
		return;
	c->answered = true;
	failover_tick_follow(f, now, actions);
}
