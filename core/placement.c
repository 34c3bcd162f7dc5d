/** @file placement.c Choice of a member for a statement. */
#include "proxy_state.h"

#include <stdlib.h>

/* Extra round-trip time to a member in another zone. */
#define ZONE_COST (8 * HM_MS)
/* Only the primary can write; it gets reads if replicas cost this much more. */
#define PRIMARY_COST (6 * HM_MS)
/* A replica that lagged recently may cost another round trip for a retry. */
#define BEHIND_COST (100 * HM_MS)
/*
 * A cold member may refuse a statement, and ends a transaction that needs more
 * statements than it may get.
 */
#define COLD_COST (40 * HM_MS)
/*
 * A closed member cannot run the statement in time: any open one is better,
 * also in another zone or behind.
 */
#define CLOSED_COST (10 * HM_SEC)
/*
 * Cost of each statement sent to the member and not answered yet, divided by
 * the number of its slots (statements that it runs at once): the statement's
 * expected execution time, where it is not learned.
 */
#define OUTSTANDING_COST (5 * HM_MS)
/* How long the queue wait that a member's owner reported is relied on. */
#define REPORT_VALID (200 * HM_MS)
/*
 * A view is the monitor's report on the members of a service. One older than
 * this does not show which members are up.
 */
#define VIEW_VALID (2 * HM_SEC)
#define MEMBER_RETRY (100 * HM_MS)
/*
 * Members that differ less in their expected completion are chosen at random,
 * so that instances with the same news do not all choose the same one.
 */
#define NEAR_COST (1 * HM_MS)
/* Operators keep a zone evacuated for seconds at least. */
#define EVACUATED_RETRY (1 * HM_SEC)

struct member_load *place_load(struct proxy *p, hm_id endpoint)
{
	uint32_t i;

	for (i = 0; i < p->load_count; i++)
		if (p->loads[i].endpoint == endpoint)
			return &p->loads[i];
	p->loads = realloc(p->loads, (p->load_count + 1) * sizeof(*p->loads));
	if (!p->loads)
		abort();
	p->loads[p->load_count] = (struct member_load){ .endpoint = endpoint };
	return &p->loads[p->load_count++];
}

uint64_t member_owner(const struct proxy *p, const struct site_member *m)
{
	return peers_owner(p->peers, m->endpoint, m->zone, true);
}

static bool was_tried(const struct member_requirements *need, hm_id endpoint)
{
	uint32_t i;

	for (i = 0; i < need->tried_count; i++)
		if (need->tried[i] == endpoint)
			return true;
	return false;
}

static bool view_is_fresh(const struct service_state *v, hm_time now)
{
	return v && v->received_at && now - v->received_at < VIEW_VALID;
}

static bool is_primary(const struct service_state *v,
		       const struct site_member *m, hm_time now)
{
	if (view_is_fresh(v, now) && v->latest.primary)
		return v->latest.primary == m->endpoint;
	return m->registered_primary;
}

/* Whether the owner of a member sent a message recently. */
static bool owner_responds(const struct proxy *p, const struct site_member *m,
			   hm_time now)
{
	uint64_t owner = member_owner(p, m);
	const struct peer *peer = peers_find(p->peers, owner);

	return owner == p->options.core.incarnation ||
	       (peer && now - peer->heard_at < p->timing->owner_silent);
}

bool place_replicas_paused(const struct proxy *p, hm_id service, hm_time now)
{
	const struct service_state *v = services_view(p, service);

	return view_is_fresh(v, now) && v->latest.replacing;
}

/*
 * Whether a statement may be sent to a member and its owner, by the zones that
 * its route and its account allow.
 */
static bool is_allowed(const struct proxy *p,
		       const struct member_requirements *need,
		       const struct site_member *m)
{
	uint64_t owner;
	const struct peer *peer;

	if (!need->barred)
		return true;
	if (need->barred & zone_bit(m->zone))
		return false;
	owner = member_owner(p, m);
	peer = peers_find(p->peers, owner);
	return owner == p->options.core.incarnation ||
	       (peer && !(need->barred & zone_bit(peer->zone)));
}

/*
 * Cost that the learned behaviour of a member adds: the statements before this
 * one at its execution time, and the second attempt that its failures make
 * likely.
 */
static hm_time learned_cost(struct member_load *l, const struct site_member *m,
			    const struct member_requirements *need, hm_time now)
{
	hm_time exec = member_stats_cost(&l->stats, need->writes);
	hm_time cost = exec + l->outstanding * exec / (m->slots ? m->slots : 1);

	return cost + (exec + ZONE_COST) *
			      member_stats_failures(&l->stats, now) / 1000;
}

/* Whether a replica lacks, as far as is known, what the read requires. */
static bool is_behind(const struct proxy *p, const struct member_load *l,
		      const struct member_requirements *need, hm_time now)
{
	if (!p->options.scheduling.learned_placement)
		return now < l->behind_until;
	return member_stats_is_behind(&l->stats, need->commit_age, now);
}

/* Cost of a member in microseconds; HM_NEVER: unusable. */
static hm_time cost_of(struct proxy *p, const struct member_requirements *need,
		       const struct site_member *m,
		       const struct service_state *v, bool primary, hm_time now)
{
	const struct member_view *seen = v ? view_member(v, m->endpoint) : NULL;
	struct member_load *l = place_load(p, m->endpoint);
	hm_time cost = 0;

	if (m->service != need->service || was_tried(need, m->endpoint))
		return HM_NEVER;
	if (need->primary_only && !primary)
		return HM_NEVER;
	if (!is_allowed(p, need, m))
		return HM_NEVER;
	if (!primary && (site_member_retires(m) || now < l->failed_until))
		return HM_NEVER;
	if (site_member_is_evacuated(m, p->options.evacuation_limit, now))
		return HM_NEVER;
	if (view_is_fresh(v, now) && seen && !seen->up)
		return HM_NEVER;
	if (!primary && l->stats.ejected && now < l->stats.probe_at)
		return HM_NEVER;
	if (!owner_responds(p, m, now))
		return HM_NEVER;
	if (primary)
		cost += PRIMARY_COST;
	else if (is_behind(p, l, need, now))
		cost += BEHIND_COST;
	if (now < m->cold_until)
		cost += COLD_COST;
	if (m->zone != p->options.core.zone)
		cost += ZONE_COST;
	if (p->options.scheduling.learned_placement)
		cost += learned_cost(l, m, need, now);
	else
		cost += l->outstanding * OUTSTANDING_COST /
			(m->slots ? m->slots : 1);
	if (now - l->reported_at < REPORT_VALID)
		cost += l->owner_wait;
	if (load_is_closed(&l->level, l->level.owner, need->level, now) &&
	    member_owner(p, m) == l->level.owner)
		cost += CLOSED_COST;
	return cost;
}

static bool is_service_evacuated(const struct proxy *p, hm_id service)
{
	bool any = false;
	uint32_t i;

	for (i = 0; p->members && i < p->members->count; i++) {
		const struct site_member *m = &p->members->list[i];

		if (m->service != service)
			continue;
		any = true;
		if (!m->evacuated_since)
			return false;
	}
	return any;
}

/* Fills in why no member can take a statement, and when to retry. */
static void set_refusal(const struct proxy *p,
			const struct member_requirements *need, hm_time now,
			struct placement *out)
{
	if (is_service_evacuated(p, need->service)) {
		out->reason = "evacuated";
		out->retry_at = now + EVACUATED_RETRY;
		return;
	}
	out->reason = need->primary_only ? "no_primary" : "no_member";
	out->retry_at =
		now + (need->primary_only ? PRIMARY_RETRY : MEMBER_RETRY);
}

/*
 * Whether a member is to be chosen instead of the best so far, whose cost is
 * @a lowest. @a near counts the members of about the same cost, each of which
 * is chosen with the same probability.
 */
static bool is_cheaper(struct proxy *p, hm_time cost, hm_time lowest,
		       uint32_t *near)
{
	hm_time margin =
		p->options.scheduling.learned_placement ? NEAR_COST : 0;

	if (lowest == HM_NEVER || cost < lowest - margin) {
		*near = 1;
		return true;
	}
	if (!margin || cost > lowest + margin)
		return cost < lowest;
	return !rng_below(&p->rng, ++*near);
}

struct placement place_choose(struct proxy *p,
			      const struct member_requirements *need,
			      hm_time now)
{
	struct placement best = { 0 };
	const struct service_state *v = services_view(p, need->service);
	/*
	 * With paused replicas a commit would occupy one of the member's
	 * statement slots until it fails.
	 */
	bool no_commit =
		need->writes && place_replicas_paused(p, need->service, now);
	hm_time lowest = HM_NEVER;
	uint32_t i, near = 1;

	for (i = 0; !no_commit && p->members && i < p->members->count; i++) {
		const struct site_member *m = &p->members->list[i];
		bool primary = is_primary(v, m, now);
		hm_time cost = cost_of(p, need, m, v, primary, now);

		if (cost == HM_NEVER || !is_cheaper(p, cost, lowest, &near))
			continue;
		if (cost < lowest)
			lowest = cost;
		best.endpoint = m->endpoint;
		best.owner = member_owner(p, m);
		best.is_primary = primary;
		best.reason = primary ? "primary" : "replica";
	}
	if (!best.endpoint)
		set_refusal(p, need, now, &best);
	else if (place_load(p, best.endpoint)->stats.ejected)
		member_stats_probe(&place_load(p, best.endpoint)->stats, now);
	return best;
}

/*
 * Share of failures of the other replicas of a service, and whether one of
 * them is not ejected.
 */
static uint32_t failures_of_others(struct proxy *p, const struct site_member *m,
				   bool *any, hm_time now)
{
	const struct service_state *v = services_view(p, m->service);
	uint32_t i, sum = 0, count = 0;

	*any = false;
	for (i = 0; i < p->members->count; i++) {
		const struct site_member *o = &p->members->list[i];
		struct member_stats *s;

		if (o->service != m->service || o->endpoint == m->endpoint)
			continue;
		s = &place_load(p, o->endpoint)->stats;
		sum += member_stats_failures(s, now);
		count++;
		*any |= !is_primary(v, o, now) && !s->ejected &&
			!site_member_retires(o);
	}
	return count ? sum / count : 0;
}

static void log_ejection(const struct site_member *m, const char *event,
			 const struct member_stats *s, struct proxy_output *out)
{
	proxy_log(out, "event=%s member=%s failures=%lld of=%lld", event,
		  m->name, (long long)(s->failures / 1000),
		  (long long)(s->attempts / 1000));
}

void place_record(struct proxy *p, hm_id endpoint,
		  const struct member_attempt *a, hm_time now,
		  struct proxy_output *out)
{
	const struct site_member *m = site_members_find(p->members, endpoint);
	struct member_stats *s = &place_load(p, endpoint)->stats;
	bool was_ejected = s->ejected, others_stay;
	uint32_t others;

	if (!m || !p->options.scheduling.learned_placement)
		return;
	member_stats_add(s, a, now);
	if (was_ejected && !s->ejected)
		log_ejection(m, "member_returned", s, out);
	/* The primary cannot be replaced by another choice. */
	if (a->outcome != MEMBER_FAILED ||
	    is_primary(services_view(p, m->service), m, now))
		return;
	others = failures_of_others(p, m, &others_stay, now);
	/* place_load() may have moved the loads. */
	s = &place_load(p, endpoint)->stats;
	if (!others_stay || !member_stats_fails(s, others, now))
		return;
	log_ejection(m, "member_ejected", s, out);
	member_stats_eject(s, now);
	p->counters.ejections++;
}
