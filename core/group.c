/** @file group.c State of the members of one database group. */
#include "group_members.h"

#include <stdlib.h>

/**
 * How long a confirmation counts as wanted after a statement lacked it. A
 * statement that still needs it is routed again sooner than this.
 */
#define CONFIRMATION_WANTED_FOR (100 * HM_MS)

_Static_assert(SAMPLES_RECENT == SAMPLES_COARSE,
	       "both rings have type struct samples");

struct group *group_new(const struct database_spec *spec, uint16_t zone,
			uint32_t guards_off)
{
	struct group *g = calloc(1, sizeof(*g));

	if (!g)
		return NULL;
	g->spec = *spec;
	g->zone = zone;
	g->guards_off = guards_off;
	return g;
}

void group_free(struct group *g)
{
	free(g);
}

uint32_t group_index(const struct group *g, hm_id endpoint)
{
	uint32_t i;

	for (i = 0; i < g->spec.endpoint_count; i++)
		if (g->spec.endpoints[i].endpoint == endpoint)
			return i;
	return ENDPOINTS_MAX;
}

static struct group_member *member_of(struct group *g, hm_id endpoint)
{
	uint32_t i = group_index(g, endpoint);

	return i < ENDPOINTS_MAX ? &g->members[i] : NULL;
}

static bool same_members(const struct database_spec *a,
			 const struct database_spec *b)
{
	uint32_t i;

	if (a->endpoint_count != b->endpoint_count)
		return false;
	for (i = 0; i < a->endpoint_count; i++)
		if (a->endpoints[i].endpoint != b->endpoints[i].endpoint)
			return false;
	return true;
}

void group_set_spec(struct group *g, const struct database_spec *spec)
{
	struct group old = *g;
	uint32_t i, j;

	if (!same_members(&old.spec, spec))
		g->generation++;
	g->spec = *spec;
	for (i = 0; i < spec->endpoint_count; i++) {
		j = group_index(&old, spec->endpoints[i].endpoint);
		g->members[i] = j < ENDPOINTS_MAX ? old.members[j]
						  : (struct group_member){ 0 };
	}
}

const struct database_spec *group_database(const struct group *g)
{
	return &g->spec;
}

static void update_primary(struct group *g, const struct endpoint_state *s)
{
	uint64_t term = lineage_term(&s->lineage);

	if (s->role != ROLE_PRIMARY || term < g->term || s->promised > term)
		return;
	g->term = term;
	g->primary = s->endpoint;
	g->lineage = s->lineage;
}

static void update_leaving(struct group *g, hm_time now)
{
	uint32_t i;

	for (i = 0; i < g->spec.endpoint_count; i++) {
		struct group_member *m = &g->members[i];

		if (!g->spec.endpoints[i].leaving)
			m->leaving_at = 0;
		else if (!m->leaving_at)
			m->leaving_at = now;
	}
}

static void store_report(struct group_member *m, const struct state_report *r,
			 uint64_t from, hm_time now)
{
	hm_time age = r->age ? r->age : m->report.age;

	if (age == HM_NEVER)
		age = 0;
	m->age_grows = m->report.age && age > m->report.age;
	m->report = *r;
	m->report.age = age;
	m->report.state.refused = false;
	m->owner = r->state.owner ? r->state.owner : from;
	m->heard = true;
	m->heard_at = now;
}

void group_report(struct group *g, const struct state_report *r, uint64_t from,
		  hm_time asked_at, hm_time now)
{
	struct group_member *m = member_of(g, r->state.endpoint);

	(void)asked_at;
	if (!m)
		return;
	update_leaving(g, now);
	if (!r->state.reachable) {
		m->report.state.reachable = false;
		m->owner = from;
		m->heard_at = now;
		return;
	}
	if (m->heard && r->state.promised < m->report.state.promised)
		return;
	store_report(m, r, from, now);
	update_primary(g, &m->report.state);
}

hm_id group_primary(const struct group *g, hm_time now)
{
	uint32_t i = group_index(g, g->primary);

	(void)now;
	if (!g->primary || i == ENDPOINTS_MAX)
		return 0;
	if (g->members[i].report.state.promised > g->term)
		return 0;
	return g->primary;
}

uint32_t group_generation(const struct group *g)
{
	return g->generation;
}

uint64_t group_term(const struct group *g)
{
	return g->term;
}

const struct lineage *group_lineage(const struct group *g)
{
	return &g->lineage;
}

const struct endpoint_state *group_state(const struct group *g, hm_id endpoint)
{
	uint32_t i = group_index(g, endpoint);

	if (i == ENDPOINTS_MAX || !g->members[i].heard)
		return NULL;
	return &g->members[i].report.state;
}

uint32_t group_majority(const struct group *g)
{
	return g->spec.endpoint_count / 2 + 1;
}

uint64_t group_owner(const struct group *g, hm_id endpoint)
{
	uint32_t i = group_index(g, endpoint);

	return i < ENDPOINTS_MAX ? g->members[i].owner : 0;
}

bool group_is_primary(const struct group *g, hm_id endpoint, uint64_t term)
{
	const struct endpoint_state *s = group_state(g, endpoint);

	if (g->primary == endpoint && g->term == term)
		return true;
	return s && s->role == ROLE_PRIMARY &&
	       lineage_term(&s->lineage) == term;
}

bool group_superseded(const struct group *g, uint64_t term)
{
	uint32_t later = 0;
	uint32_t i;

	for (i = 0; i < g->spec.endpoint_count; i++)
		if (g->members[i].heard &&
		    g->members[i].report.state.promised > term)
			later++;
	return g->spec.endpoint_count - later < group_majority(g);
}

static void samples_add(struct samples *s, struct sample new)
{
	s->list[s->next] = new;
	s->next = (s->next + 1) % SAMPLES_RECENT;
	if (s->count < SAMPLES_RECENT)
		s->count++;
}

static hm_time last_sample_at(const struct samples *s)
{
	if (!s->count)
		return 0;
	return s->list[(s->next + SAMPLES_RECENT - 1) % SAMPLES_RECENT]
		.requested_at;
}

static void update_confirmed(struct group *g, hm_time asked_at, uint64_t term)
{
	if (term < g->confirmed ||
	    (term == g->confirmed && asked_at < g->confirmed_at))
		return;
	g->confirmed = term;
	g->confirmed_at = asked_at;
}

void group_add_sample(struct group *g, hm_time asked_at,
		      const struct endpoint_state *primary)
{
	struct sample new = { asked_at, primary->at };

	update_primary(g, primary);
	update_confirmed(g, asked_at, lineage_term(&primary->lineage));
	samples_add(&g->recent, new);
	if (!g->coarse.count ||
	    asked_at - last_sample_at(&g->coarse) >= SAMPLES_COARSE_EVERY)
		samples_add(&g->coarse, new);
}

bool group_confirmed(const struct group *g)
{
	return g->term && g->confirmed == g->term;
}

void group_set_confirmation_valid(struct group *g, hm_time confirmation_valid)
{
	g->confirmation_valid = confirmation_valid;
}

hm_time group_confirmed_until(const struct group *g)
{
	if (!group_confirmed(g))
		return 0;
	return g->confirmed_at + g->confirmation_valid;
}

bool group_wants_confirmation(const struct group *g, hm_time now)
{
	return g->confirmation_wanted_at &&
	       now - g->confirmation_wanted_at < CONFIRMATION_WANTED_FOR;
}

hm_time group_last_sample_at(const struct group *g)
{
	return last_sample_at(&g->recent);
}

enum reach group_reach(const struct group *g, const struct lineage *lineage,
		       struct log_pos have, struct log_pos want)
{
	if (g->guards_off & GUARD_LINEAGE)
		return have.pos >= want.pos ? REACH_OK : REACH_BEHIND;
	return lineage_reach(lineage, have, want);
}

static hm_time newest_reached_sample(const struct group *g,
				     const struct samples *s, struct log_pos at)
{
	hm_time newest = 0;
	uint32_t i;

	for (i = 0; i < s->count; i++) {
		const struct sample *e = &s->list[i];

		if (e->requested_at > newest &&
		    group_reach(g, &g->lineage, at, e->at) == REACH_OK)
			newest = e->requested_at;
	}
	return newest;
}

hm_time group_age(const struct group *g, struct log_pos at, hm_time now)
{
	hm_time recent, coarse;

	if (!(g->guards_off & GUARD_LINEAGE) &&
	    !lineage_contains(&g->lineage, at))
		return HM_NEVER;
	recent = newest_reached_sample(g, &g->recent, at);
	coarse = newest_reached_sample(g, &g->coarse, at);
	if (!recent && !coarse)
		return HM_NEVER;
	return now - (recent > coarse ? recent : coarse);
}

endpoint_set group_bit(const struct group *g, hm_id endpoint)
{
	uint32_t i = group_index(g, endpoint);

	return i < ENDPOINTS_MAX ? 1U << i : 0;
}

void group_record_attempt(struct group *g, hm_id endpoint, bool ok, hm_time now)
{
	struct group_member *m = member_of(g, endpoint);

	if (m)
		circuit_record(&m->circuit, ok, now);
}
