/** @file suspect.c Whether a primary should change, and who orders it. */
#include "failover_state.h"

/** A primary whose reports stop is suspected after so many probes. */
#define SILENT_PROBES 3
/** A log that no replica comes further with for this long is stalled. */
#define STALL_LIMIT HM_SEC
/**
 * The change must be over before a write that only the primary has may be
 * acknowledged, so it is not tried where that is allowed early.
 */
#define STALL_REPLICA_WAIT (STALL_LIMIT + 800 * HM_MS)
/** Time for a first report of every member after the start. */
#define UNHEARD_LIMIT (3 * HM_SEC)

static const char cause_stalled[] = "stalled";

uint64_t suspect_promised(const struct failover *f)
{
	uint64_t term = 0;
	uint32_t i;

	for (i = 0; i < f->count; i++) {
		const struct endpoint_state *s =
			group_state(f->group, f->candidates[i].endpoint);

		if (s && s->promised > term)
			term = s->promised;
	}
	return term;
}

/*
 * A member that was never heard of may be the primary: an instance that has
 * just started waits until its peers had time to tell.
 */
static const char *cause_without_primary(const struct failover *f, hm_time now)
{
	hm_time settled = f->started_at + UNHEARD_LIMIT;
	uint32_t heard = 0;
	uint32_t i;

	for (i = 0; i < f->count; i++)
		if (group_state(f->group, f->candidates[i].endpoint))
			heard++;
	if (heard < f->count && now < settled)
		return NULL;
	return heard >= group_majority(f->group) ? "no_primary" : NULL;
}

/* A reachable member that is not leaving could take over. */
static bool has_successor(const struct failover *f)
{
	uint32_t i;

	for (i = 0; i < f->count; i++) {
		hm_id id = f->candidates[i].endpoint;
		const struct endpoint_state *s = group_state(f->group, id);

		if (s && s->reachable && !failover_leaving(f, id))
			return true;
	}
	return false;
}

/* Largest position of a replica; *newest is when one last came further. */
static uint64_t replicas_pos(const struct failover *f, hm_id primary,
			     hm_time *newest)
{
	uint64_t term = group_term(f->group);
	uint64_t most = 0;
	uint32_t i;

	*newest = 0;
	for (i = 0; i < f->count; i++) {
		const struct candidate *c = &f->candidates[i];

		if (c->endpoint == primary)
			continue;
		if (c->pos > most)
			most = c->pos;
		if (c->advanced_term == term && c->advanced_at > *newest)
			*newest = c->advanced_at;
	}
	return most;
}

void suspect_report(struct failover *f, struct candidate *c,
		    const struct endpoint_state *s, hm_time now)
{
	hm_id primary = group_primary(f->group, now);
	const struct candidate *p = failover_candidate(f, primary);
	hm_time newest;

	if (!s->reachable)
		return;
	if (c->pos && c->pos != s->at.pos) {
		c->advanced_at = now;
		c->advanced_term = lineage_term(&s->lineage);
	}
	c->pos = s->at.pos;
	if (!p || p->pos <= replicas_pos(f, primary, &newest))
		f->ahead_since = 0;
	else if (!f->ahead_since)
		f->ahead_since = now;
}

/*
 * The log of the primary reaches no replica any more, though it did under
 * this term: writes cannot be kept there. A replica that merely lags goes on
 * advancing.
 */
static bool is_stalled(const struct failover *f, hm_id primary, hm_time now)
{
	uint32_t others = 0;
	uint32_t i;
	hm_time newest;

	if (f->options->replica_wait < STALL_REPLICA_WAIT)
		return false;
	replicas_pos(f, primary, &newest);
	if (!f->ahead_since || now - f->ahead_since < STALL_LIMIT || !newest ||
	    now - newest < STALL_LIMIT)
		return false;
	for (i = 0; i < f->count; i++) {
		const struct endpoint_state *s =
			group_state(f->group, f->candidates[i].endpoint);

		others += s && s->reachable &&
			  f->candidates[i].endpoint != primary;
	}
	return others >= group_majority(f->group);
}

bool suspect_is_stalled(const char *cause)
{
	return cause == cause_stalled;
}

const char *suspect_cause(struct failover *f, hm_time now)
{
	hm_id primary = group_primary(f->group, now);
	struct candidate *c = failover_candidate(f, primary);
	hm_time silent = f->options->peer_silent +
			 SILENT_PROBES * f->options->probe_every;

	if (!primary || !c)
		return cause_without_primary(f, now);
	if (suspect_promised(f) > group_term(f->group))
		return "unfinished_change";
	if (!group_state(f->group, primary)->reachable)
		return "unreachable";
	if (now - c->reached_at >= silent)
		return "silent";
	if (failover_leaving(f, primary) && has_successor(f))
		return "leaving";
	if (is_stalled(f, primary, now))
		return cause_stalled;
	return NULL;
}

static uint64_t rank_hash(const struct failover *f, uint64_t life)
{
	struct rng mix = { life ^ group_database(f->group)->database };

	return rng_next(&mix);
}

static bool is_replica_home(const struct failover *f, uint64_t life,
			    hm_id primary)
{
	uint32_t i;

	for (i = 0; i < f->count; i++)
		if (failover_asked(f, &f->candidates[i]) == life &&
		    f->candidates[i].endpoint != primary)
			return true;
	return false;
}

static bool seen_before(const struct failover *f, uint32_t i)
{
	uint64_t home = failover_asked(f, &f->candidates[i]);
	uint32_t j;

	for (j = 0; j < i; j++)
		if (failover_asked(f, &f->candidates[j]) == home)
			return true;
	return false;
}

bool suspect_rank(const struct failover *f, hm_id primary, uint32_t *rank)
{
	uint64_t own = f->options->incarnation;
	uint32_t i;

	*rank = 0;
	if (!is_replica_home(f, own, primary))
		return false;
	for (i = 0; i < f->count; i++) {
		uint64_t home = failover_asked(f, &f->candidates[i]);

		if (!home || home == own || seen_before(f, i) ||
		    !peers_alive(f->peers, home) ||
		    !is_replica_home(f, home, primary))
			continue;
		if (rank_hash(f, home) < rank_hash(f, own))
			(*rank)++;
	}
	return true;
}
