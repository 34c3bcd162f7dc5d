/** @file suspect.c Suspicion of a primary and rank of the coordinators. */
#include "failover_state.h"

/** Missed probe intervals after which a silent primary is suspected. */
#define SILENT_PROBES 3
/** A log is stalled if no replica has advanced in it for this long. */
#define STALL_LIMIT HM_SEC
/**
 * Least replica_wait with which a stalled primary is replaced. After
 * replica_wait a write that only the primary has may be acknowledged, so the
 * failover must be complete before then.
 */
#define STALL_REPLICA_WAIT (STALL_LIMIT + 800 * HM_MS)
/**
 * For this time after its start, an instance that has no report of some member
 * does not conclude that there is no primary.
 */
#define UNHEARD_LIMIT (3 * HM_SEC)

static const char cause_stalled[] = "stalled";

uint64_t suspect_newest_promise(const struct failover *f)
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
 * Returns why a primary has to be chosen when none is known, or NULL.
 * A member without a report may be the primary, so an instance that has just
 * started waits until its peers had time to report every member.
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

/* Whether a reachable member that is not leaving could be promoted. */
static bool has_successor(const struct failover *f)
{
	uint32_t i;

	for (i = 0; i < f->count; i++) {
		hm_id id = f->candidates[i].endpoint;
		const struct endpoint_state *s = group_state(f->group, id);

		if (s && s->reachable && !failover_is_leaving(f, id))
			return true;
	}
	return false;
}

/* Largest position of a replica; @a newest is when a replica last advanced. */
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
 * Whether no replica receives the log of the primary any more, although one did
 * under this term. No write is then stored at a replica. A replica that only
 * lags continues to advance.
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
	if (suspect_newest_promise(f) > group_term(f->group))
		return "unfinished_change";
	if (!group_state(f->group, primary)->reachable)
		return "unreachable";
	if (now - c->reached_at >= silent)
		return "silent";
	if (failover_is_leaving(f, primary) && has_successor(f))
		return "leaving";
	if (is_stalled(f, primary, now))
		return cause_stalled;
	return NULL;
}

static uint64_t rank_hash(const struct failover *f, uint64_t incarnation)
{
	struct rng mix = { incarnation ^ group_database(f->group)->database };

	return rng_next(&mix);
}

static bool is_replica_owner(const struct failover *f, uint64_t incarnation,
			     hm_id primary)
{
	uint32_t i;

	for (i = 0; i < f->count; i++)
		if (failover_owner(f, &f->candidates[i]) == incarnation &&
		    f->candidates[i].endpoint != primary)
			return true;
	return false;
}

static bool seen_before(const struct failover *f, uint32_t i)
{
	uint64_t owner = failover_owner(f, &f->candidates[i]);
	uint32_t j;

	for (j = 0; j < i; j++)
		if (failover_owner(f, &f->candidates[j]) == owner)
			return true;
	return false;
}

bool suspect_rank(const struct failover *f, hm_id primary, uint32_t *rank)
{
	uint64_t own = f->options->incarnation;
	uint32_t i;

	*rank = 0;
	if (!is_replica_owner(f, own, primary))
		return false;
	for (i = 0; i < f->count; i++) {
		uint64_t owner = failover_owner(f, &f->candidates[i]);

		if (!owner || owner == own || seen_before(f, i) ||
		    !peers_alive(f->peers, owner) ||
		    !is_replica_owner(f, owner, primary))
			continue;
		if (rank_hash(f, owner) < rank_hash(f, own))
			(*rank)++;
	}
	return true;
}
