/** @file place.c The choice of a member for a statement, and of its home. */
#include "proxy_state.h"

#include <stdlib.h>

/* A round trip to another zone, next to one in the own zone. */
#define ZONE_COST (8 * HM_MS)
/* Only the primary can write: reads go there when replicas are this busy. */
#define PRIMARY_COST (6 * HM_MS)
/* A replica that was behind a moment ago: another try costs a round trip. */
#define BEHIND_COST (100 * HM_MS)
/* Expected slot time of a statement that was sent and not answered yet. */
#define OUTSTANDING_COST (5 * HM_MS)
/* What a home told of its queue is out of date after this. */
#define TOLD_VALID (200 * HM_MS)
/* A view not renewed for this long says nothing of who answers. */
#define VIEW_VALID (2 * HM_SEC)
/* A home not heard for more than 1.5 heartbeats gets no new work. */
#define HOME_SUSPECT (500 * HM_MS)
#define MEMBER_RETRY (100 * HM_MS)

struct load *place_load(struct proxy *p, hm_id endpoint)
{
	uint32_t i;

	for (i = 0; i < p->load_count; i++)
		if (p->loads[i].endpoint == endpoint)
			return &p->loads[i];
	p->loads = realloc(p->loads, (p->load_count + 1) * sizeof(*p->loads));
	if (!p->loads)
		abort();
	p->loads[p->load_count] = (struct load){ .endpoint = endpoint };
	return &p->loads[p->load_count++];
}

uint64_t place_home(const struct proxy *p, const struct site_member *m)
{
	return peers_owner(p->peers, m->endpoint, m->zone, true);
}

static bool is_tried(const struct need *need, hm_id endpoint)
{
	uint32_t i;

	for (i = 0; i < need->tried_count; i++)
		if (need->tried[i] == endpoint)
			return true;
	return false;
}

static bool view_is_fresh(const struct service_state *v, hm_time now)
{
	return v && v->heard_at && now - v->heard_at < VIEW_VALID;
}

static bool is_primary(const struct service_state *v,
		       const struct site_member *m, hm_time now)
{
	if (view_is_fresh(v, now) && v->latest.primary)
		return v->latest.primary == m->endpoint;
	return m->says_primary;
}

/* Whether the home of a member was heard lately enough to be sent work. */
static bool home_answers(const struct proxy *p, const struct site_member *m,
			 hm_time now)
{
	uint64_t home = place_home(p, m);
	const struct peer *peer = peers_find(p->peers, home);

	return home == p->options.core.incarnation ||
	       (peer && now - peer->heard_at < HOME_SUSPECT);
}

bool place_is_held(const struct proxy *p, hm_id service, hm_time now)
{
	const struct service_state *v = services_view(p, service);

	return view_is_fresh(v, now) && v->latest.replacing;
}

/* Cost of a member in microseconds; HM_NEVER: not to be used. */
static hm_time cost_of(struct proxy *p, const struct need *need,
		       const struct site_member *m,
		       const struct service_state *v, bool primary, hm_time now)
{
	const struct member_view *seen = v ? view_member(v, m->endpoint) : NULL;
	const struct load *l = place_load(p, m->endpoint);
	hm_time cost = 0;

	if (m->service != need->service || is_tried(need, m->endpoint))
		return HM_NEVER;
	if (need->lead && !primary)
		return HM_NEVER;
	if (!primary && (m->leaving || now < l->failed_until))
		return HM_NEVER;
	if (view_is_fresh(v, now) && seen && !seen->up)
		return HM_NEVER;
	if (!home_answers(p, m, now))
		return HM_NEVER;
	if (primary)
		cost += PRIMARY_COST;
	else if (now < l->behind_until)
		cost += BEHIND_COST;
	if (m->zone != p->options.core.zone)
		cost += ZONE_COST;
	cost += l->outstanding * OUTSTANDING_COST / (m->slots ? m->slots : 1);
	if (now - l->told_at < TOLD_VALID)
		cost += l->wait;
	return cost;
}

struct placement place_choose(struct proxy *p, const struct need *need,
			      hm_time now)
{
	struct placement best = { .reason = need->lead ? "no_primary"
						       : "no_member" };
	const struct service_state *v = services_view(p, need->service);
	/* While replicas are held, a commit would keep its slot in vain. */
	bool in_vain = need->writes && place_is_held(p, need->service, now);
	hm_time least = HM_NEVER;
	uint32_t i;

	for (i = 0; !in_vain && p->members && i < p->members->count; i++) {
		const struct site_member *m = &p->members->list[i];
		bool primary = is_primary(v, m, now);
		hm_time cost = cost_of(p, need, m, v, primary, now);

		if (cost >= least)
			continue;
		least = cost;
		best.endpoint = m->endpoint;
		best.home = place_home(p, m);
		best.lead = primary;
		best.reason = primary ? "primary" : "replica";
	}
	if (!best.endpoint)
		best.retry_at =
			now + (need->lead ? PRIMARY_RETRY : MEMBER_RETRY);
	return best;
}
