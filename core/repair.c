/** @file repair.c Makes members follow the primary of the newest term. */
#include "failover_state.h"

/**
 * Interval at which the command to follow the newest term is repeated until it
 * has taken effect.
 */
#define REPAIR_EVERY (500 * HM_MS)

/* Whether a member is still primary or follows under an older term. */
static bool is_behind_term(const struct endpoint_state *s, uint64_t term)
{
	if (!s || !s->reachable || s->promised > term)
		return false;
	return s->promised < term || lineage_term(&s->lineage) < term ||
	       s->role == ROLE_PRIMARY;
}

static void send_follow(struct failover *f, const struct candidate *c,
			const struct endpoint_state *primary,
			struct actions *actions)
{
	struct control *step = &actions_add(actions, ACT_CONTROL)->control;
	struct decision *d;

	step->nonce = (struct rid){ f->options->incarnation, NONCE_FAILOVER };
	step->op = CONTROL_FOLLOW;
	step->database = primary->database;
	step->endpoint = c->endpoint;
	step->term = primary->promised;
	step->requester = primary->promised_by;
	step->target = primary->endpoint;
	d = actions_log(actions, "repair", "older_term");
	d->database = primary->database;
	d->endpoint = c->endpoint;
	d->at.term = primary->promised;
}

void repair_tick(struct failover *f, hm_time now, struct actions *actions)
{
	uint64_t term = group_term(f->group);
	hm_id primary = group_primary(f->group, now);
	const struct endpoint_state *p = group_state(f->group, primary);
	uint32_t i;

	if (!primary || !p || p->promised != term)
		return;
	for (i = 0; i < f->count; i++) {
		struct candidate *c = &f->candidates[i];

		if (c->endpoint == primary ||
		    failover_owner(f, c) != f->options->incarnation ||
		    now < c->repaired_at + REPAIR_EVERY ||
		    !is_behind_term(group_state(f->group, c->endpoint), term))
			continue;
		c->repaired_at = now;
		send_follow(f, c, p, actions);
	}
}
