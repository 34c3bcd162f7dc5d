/** @file route.c Chooses the member that runs a statement. */
#include "group_members.h"

/** A statement without a usable member is routed again after this. */
#define ROUTE_RETRY_AFTER (10 * HM_MS)
/** Age from which a state report no longer describes the present state. */
#define REPORT_STALE HM_SEC
/**
 * A replica whose data is at most this old is tried even if its last report was
 * below the floor, the newest log position known to the session.
 */
#define CATCH_UP_AGE (150 * HM_MS)
/** Costs of a replica in another zone, and of one reported below the floor. */
#define COST_OTHER_ZONE (3 * HM_MS)
#define COST_BEHIND (20 * HM_MS)
/** Cost of reading from the primary, which has to run all writes. */
#define COST_PRIMARY (100 * HM_MS)

static struct route no_route(enum error error, const char *reason, hm_time now)
{
	return (struct route){ .error = error,
			       .reason = reason,
			       .wait_until = now + ROUTE_RETRY_AFTER };
}

static struct route to_endpoint(hm_id endpoint, bool replica,
				const char *reason)
{
	return (struct route){ .endpoint = endpoint,
			       .replica = replica,
			       .reason = reason };
}

static bool member_usable(const struct group *g, uint32_t i, endpoint_set tried,
			  hm_time now)
{
	const struct group_member *m = &g->members[i];

	return m->heard && m->report.state.reachable && !(tried & (1U << i)) &&
	       !circuit_open(&m->circuit, now);
}

static hm_time member_cost(const struct group *g, uint32_t i)
{
	const struct group_member *m = &g->members[i];
	hm_time cost = m->report.wait;

	if (g->spec.endpoints[i].zone != g->zone)
		cost += COST_OTHER_ZONE;
	return cost;
}

/*
 * Estimated age of the data that a read started now returns. The endpoint's
 * owner checks the actual age after the read.
 */
static hm_time estimated_age(const struct group *g, uint32_t i, hm_time now)
{
	const struct group_member *m = &g->members[i];
	hm_time sampled_age = group_age(g, m->report.state.at, now);
	hm_time elapsed = now - m->heard_at;
	hm_time age = m->report.age;

	if (!age)
		return sampled_age;
	if (m->age_grows || elapsed > REPORT_STALE)
		age += elapsed;
	return age < sampled_age ? age : sampled_age;
}

static bool primary_usable(const struct group *g, endpoint_set tried,
			   hm_time now)
{
	hm_id primary = group_primary(g, now);
	uint32_t i = group_index(g, primary);
	hm_time leaving_at;

	if (!primary || i == ENDPOINTS_MAX || group_superseded(g, g->term))
		return false;
	leaving_at = g->members[i].leaving_at;
	if (leaving_at && now - leaving_at > LEAVING_LIMIT)
		return false;
	return member_usable(g, i, tried, now);
}

/* Whether the newest term lost the position of the session's floor. */
static bool floor_lost(const struct group *g, struct log_pos floor)
{
	struct log_pos all = { g->term, UINT64_MAX };

	return g->term && group_reach(g, &g->lineage, all, floor) == REACH_LOST;
}

static struct route route_floor_lost(struct group *g, struct log_pos floor,
				     hm_time now)
{
	struct route r = no_route(ERR_WRITE_LOST, "floor_lost", now);

	if (now >= group_confirmed_until(g)) {
		g->confirmation_wanted_at = now;
		return no_route(ERR_NO_PRIMARY, "term_unproved", now);
	}
	r.wait_until = 0;
	r.new_floor = lineage_common_end(&g->lineage, floor);
	return r;
}

static struct route route_primary(struct group *g, const struct statement *s,
				  endpoint_set tried, const char *reason,
				  hm_time now)
{
	if (floor_lost(g, s->floor))
		return route_floor_lost(g, s->floor, now);
	if (s->floor.term > g->term)
		return no_route(ERR_NOT_CAUGHT_UP, "session_ahead", now);
	if (primary_usable(g, tried, now))
		return to_endpoint(g->primary, false, reason);
	if (!group_primary(g, now) || group_superseded(g, g->term))
		return no_route(ERR_NO_PRIMARY, "no_primary", now);
	return no_route(ERR_NO_PRIMARY, "primary_unusable", now);
}

/* Cost of a replica for a read, HM_NEVER when the replica is unsuitable. */
static hm_time replica_cost(const struct group *g, const struct statement *s,
			    endpoint_set tried, uint32_t i, hm_time now)
{
	const struct endpoint_state *state = &g->members[i].report.state;
	hm_time age;

	if (g->spec.endpoints[i].leaving || !member_usable(g, i, tried, now))
		return HM_NEVER;
	age = estimated_age(g, i, now);
	if (age > s->max_age)
		return HM_NEVER;
	switch (group_reach(g, &state->lineage, state->at, s->floor)) {
	case REACH_OK:
		return member_cost(g, i);
	case REACH_BEHIND:
		if (!tried && age <= CATCH_UP_AGE)
			return member_cost(g, i) + COST_BEHIND;
		break;
	case REACH_LOST:
		break;
	}
	return HM_NEVER;
}

static uint32_t best_replica(const struct group *g, const struct statement *s,
			     endpoint_set tried, hm_time now, hm_time *cost)
{
	uint32_t best = ENDPOINTS_MAX;
	uint32_t i;

	*cost = HM_NEVER;
	for (i = 0; i < g->spec.endpoint_count; i++) {
		hm_time c;

		if (g->spec.endpoints[i].endpoint == group_primary(g, now))
			continue;
		c = replica_cost(g, s, tried, i, now);
		if (c >= *cost)
			continue;
		*cost = c;
		best = i;
	}
	return best;
}

static struct route route_stale_read(struct group *g, const struct statement *s,
				     endpoint_set tried, hm_time now)
{
	uint32_t i, p;
	hm_time cost;

	if (floor_lost(g, s->floor))
		return route_floor_lost(g, s->floor, now);
	i = best_replica(g, s, tried, now, &cost);
	if (i == ENDPOINTS_MAX)
		return route_primary(g, s, tried, "no_fit_replica", now);
	p = group_index(g, g->primary);
	if (primary_usable(g, tried, now) &&
	    member_cost(g, p) + COST_PRIMARY < cost)
		return to_endpoint(g->primary, false, "replicas_busy");
	return to_endpoint(g->spec.endpoints[i].endpoint, true, "replica");
}

struct route group_route(struct group *g, const struct statement *s,
			 endpoint_set tried, hm_time now)
{
	if (s->tx.id.seq)
		return to_endpoint(s->tx.endpoint, false, "transaction");
	if (s->op != OP_READ)
		return route_primary(g, s, tried, "write", now);
	if (s->unsure)
		return route_primary(g, s, tried, "unsure_session", now);
	if (!s->max_age)
		return route_primary(g, s, tried, "no_accepted_age", now);
	return route_stale_read(g, s, tried, now);
}
