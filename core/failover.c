/** @file failover.c State and inputs of a failover. */
#include "failover_state.h"

#include <stdlib.h>
#include <string.h>

/** Time for another coordinator to promote a member after its fence. */
#define OTHER_COORDINATOR_LIMIT (800 * HM_MS)

static void sync_candidates(struct failover *f, hm_time now)
{
	const struct database_spec *spec = group_database(f->group);
	struct candidate old[ENDPOINTS_MAX];
	uint32_t count = f->count;
	uint32_t i, j;

	memcpy(old, f->candidates, sizeof(old));
	f->count = spec->endpoint_count;
	for (i = 0; i < f->count; i++) {
		struct candidate *c = &f->candidates[i];

		*c = (struct candidate){ .endpoint =
						 spec->endpoints[i].endpoint,
					 .reached_at = now };
		for (j = 0; j < count; j++)
			if (old[j].endpoint == c->endpoint)
				*c = old[j];
	}
}

struct failover *failover_new(const struct core_options *options,
			      const struct peers *peers, struct group *group,
			      hm_time now)
{
	struct failover *f = calloc(1, sizeof(*f));

	if (!f)
		return NULL;
	f->options = options;
	f->peers = peers;
	f->group = group;
	f->rng.state = options->seed ^ options->incarnation;
	f->started_at = now;
	f->seq = NONCE_FAILOVER;
	sync_candidates(f, now);
	return f;
}

void failover_free(struct failover *f)
{
	free(f);
}

struct candidate *failover_candidate(struct failover *f, hm_id endpoint)
{
	uint32_t i;

	for (i = 0; i < f->count; i++)
		if (f->candidates[i].endpoint == endpoint)
			return &f->candidates[i];
	return NULL;
}

uint64_t failover_owner(const struct failover *f, const struct candidate *c)
{
	return c->owner ? c->owner : group_owner(f->group, c->endpoint);
}

void failover_set_owner(struct failover *f, hm_id endpoint,
			uint64_t incarnation)
{
	struct candidate *c = failover_candidate(f, endpoint);

	if (c)
		c->owner = incarnation;
}

bool failover_is_leaving(const struct failover *f, hm_id endpoint)
{
	const struct database_spec *spec = group_database(f->group);
	uint32_t i;

	for (i = 0; i < spec->endpoint_count; i++)
		if (spec->endpoints[i].endpoint == endpoint)
			return spec->endpoints[i].leaving;
	return false;
}

/*
 * Whether another coordinator has promoted a member: under the same or a newer
 * term before the promotion of this failover, under a newer one after it.
 */
static bool is_superseded(const struct failover *f, hm_time now)
{
	uint64_t term = group_term(f->group);

	if (f->phase <= PHASE_PROBE || !group_primary(f->group, now))
		return false;
	if (f->phase < PHASE_PROMOTE)
		return term >= f->term;
	return term > f->term;
}

/*
 * Notes a newly promised term. If another coordinator got the promise, it gets
 * OTHER_COORDINATOR_LIMIT to complete its failover.
 */
static void note_promise(struct failover *f, const struct endpoint_state *s,
			 hm_time now)
{
	if (!s->reachable || s->promised <= f->promised_seen ||
	    s->promised <= group_term(f->group))
		return;
	f->promised_seen = s->promised;
	if (s->promised_by != f->options->incarnation &&
	    f->not_before < now + OTHER_COORDINATOR_LIMIT)
		f->not_before = now + OTHER_COORDINATOR_LIMIT;
}

void failover_report(struct failover *f, const struct state_report *r,
		     uint64_t from, hm_time now, struct actions *actions)
{
	struct candidate *c = failover_candidate(f, r->state.endpoint);

	(void)from;
	if (!c)
		return;
	if (r->state.reachable)
		c->reached_at = now;
	note_promise(f, &r->state, now);
	suspect_report(f, c, &r->state, now);
	if (r->nonce.incarnation == f->options->incarnation &&
	    r->nonce.seq == f->seq)
		failover_phases[f->phase].answer(f, c, r, now, actions);
}

void failover_tick(struct failover *f, hm_time now, struct actions *actions)
{
	sync_candidates(f, now);
	if (is_superseded(f, now))
		failover_back_off(f, now, "newer_primary", actions);
	failover_phases[f->phase].tick(f, now, actions);
	repair_tick(f, now, actions);
}

uint64_t failover_promotions(const struct failover *f)
{
	return f->promotions;
}

void failover_stop(struct failover *f)
{
	f->leave = true;
}
