/** @file databases.c State of all database groups at one instance. */
#include "ingress.h"
#include "owner.h"

#include <stdlib.h>
#include <string.h>

struct database *database_find(struct core *c, hm_id database)
{
	uint32_t i;

	for (i = 0; i < c->database_count; i++)
		if (c->databases[i].spec.database == database)
			return &c->databases[i];
	return NULL;
}

struct member *database_member(struct database *d, hm_id endpoint)
{
	uint32_t i;

	for (i = 0; i < d->member_count; i++)
		if (d->members[i].spec.endpoint == endpoint)
			return &d->members[i];
	return NULL;
}

struct member *databases_member(struct core *c, hm_id endpoint,
				struct database **database)
{
	uint32_t i;

	for (i = 0; i < c->database_count; i++) {
		struct member *m = database_member(&c->databases[i], endpoint);

		if (!m)
			continue;
		if (database)
			*database = &c->databases[i];
		return m;
	}
	return NULL;
}

uint64_t member_live_owner(const struct core *c, const struct member *m)
{
	if (m->executor)
		return c->options.incarnation;
	if (m->owner && peers_alive(c->peers, m->owner))
		return m->owner;
	return 0;
}

static struct database *
database_add(struct core *c, const struct database_spec *spec, hm_time now)
{
	size_t bytes = (c->database_count + 1) * sizeof(*c->databases);
	struct database *list = realloc(c->databases, bytes);
	struct database *d;

	if (!list)
		return NULL;
	c->databases = list;
	d = &list[c->database_count];
	memset(d, 0, sizeof(*d));
	d->group = group_new(spec, c->options.zone, c->options.guards_off);
	if (!d->group)
		return NULL;
	d->verify = verify_new(&c->options, d->group);
	d->failover = failover_new(&c->options, c->peers, d->group, now);
	if (!d->verify || !d->failover)
		goto fail;
	c->database_count++;
	return d;

fail:
	failover_free(d->failover);
	verify_free(d->verify);
	group_free(d->group);
	return NULL;
}

/*
 * Applies the new configuration of a group to its members. Those that remain in
 * the group keep their state.
 */
static void merge_members(struct database *d, const struct database_spec *spec,
			  hm_time now, struct actions *actions)
{
	struct member merged[ENDPOINTS_MAX] = { 0 };
	uint32_t i;

	for (i = 0; i < spec->endpoint_count; i++) {
		const struct endpoint_spec *e = &spec->endpoints[i];
		struct member *m = database_member(d, e->endpoint);

		if (m) {
			merged[i] = *m;
			m->executor = NULL;
		}
		merged[i].spec = *e;
		if (merged[i].executor)
			executor_set_spec(merged[i].executor, e);
	}
	for (i = 0; i < d->member_count; i++) {
		struct executor *removed = d->members[i].executor;

		if (!removed)
			continue;
		executor_close(removed, now, actions);
		executor_free(removed);
	}
	memcpy(d->members, merged, sizeof(merged));
	d->member_count = spec->endpoint_count;
}

/* The configuration of a group, with endpoints in evacuated zones leaving. */
static struct database_spec
effective_spec(const struct core *c, const struct database_spec *configured)
{
	struct database_spec s = *configured;
	uint32_t i;

	for (i = 0; i < s.endpoint_count; i++) {
		struct endpoint_spec *e = &s.endpoints[i];

		if (e->zone < ZONES_MAX)
			e->evacuated_since = c->evacuation.since[e->zone];
		e->leaving |= e->evacuated_since != 0;
	}
	return s;
}

static void apply_spec(struct core *c, struct database *d, hm_time now,
		       struct actions *actions)
{
	struct database_spec effective = effective_spec(c, &d->spec);

	group_set_spec(d->group, &effective);
	merge_members(d, &effective, now, actions);
}

static void evacuation_changed(struct core *c, hm_time now,
			       struct actions *actions)
{
	struct decision *log;
	uint32_t i;

	for (i = 0; i < c->database_count; i++)
		apply_spec(c, &c->databases[i], now, actions);
	log = actions_log(actions, "evacuation", "zones changed");
	/* The zones as a set of bits, at the version of the platform. */
	log->at.term = evacuation_zones(&c->evacuation);
	log->at.pos = c->evacuation.at.revision;
}

void databases_evacuate(struct core *c, const struct evacuation_report *r,
			hm_time now, struct actions *actions)
{
	if (evacuation_take(&c->evacuation, r, now))
		evacuation_changed(c, now, actions);
}

void databases_apply(struct core *c, const struct database_spec *spec,
		     hm_time now, struct actions *actions)
{
	struct database *d = database_find(c, spec->database);
	struct decision *log;

	if (d && d->spec.version >= spec->version)
		return;
	if (!d)
		d = database_add(c, spec, now);
	if (!d)
		return;
	d->spec = *spec;
	apply_spec(c, d, now, actions);
	log = actions_log(actions, "database", "configured");
	log->database = spec->database;
	log->at.pos = spec->version;
}

static uint32_t sent_control_index(uint64_t seq, hm_id endpoint)
{
	uint64_t x = (seq ^ endpoint) * 0x9e3779b97f4a7c15ULL;

	return (uint32_t)(x >> 32) % SENT_CONTROLS_MAX;
}

void sent_control_record(struct core *c, const struct control *command,
			 hm_time now)
{
	uint32_t index =
		sent_control_index(command->nonce.seq, command->endpoint);

	c->sent_controls[index].seq = command->nonce.seq;
	c->sent_controls[index].endpoint = command->endpoint;
	c->sent_controls[index].sent_at = now;
}

/*
 * When this instance sent the control command that report @a r replies to; 0 if
 * it has no record of the command.
 */
static hm_time control_sent_at(const struct core *c,
			       const struct state_report *r)
{
	hm_id endpoint = r->state.endpoint;
	const struct sent_control *sent;

	if (r->nonce.incarnation != c->options.incarnation || !r->nonce.seq)
		return 0;
	sent = &c->sent_controls[sent_control_index(r->nonce.seq, endpoint)];
	if (sent->seq != r->nonce.seq || sent->endpoint != endpoint)
		return 0;
	return sent->sent_at;
}

static void announce_primary(struct database *d, hm_time now,
			     struct actions *actions)
{
	hm_id primary = group_primary(d->group, now);
	uint64_t term = group_term(d->group);
	struct member *m = primary ? database_member(d, primary) : NULL;
	struct action *a;
	struct decision *log;

	if (!primary || (primary == d->announced && term == d->announced_term))
		return;
	d->announced = primary;
	d->announced_term = term;
	log = actions_log(actions, "primary", "newest term");
	log->database = d->spec.database;
	log->endpoint = primary;
	log->at.term = term;
	if (!m || !m->executor)
		return;
	a = actions_add(actions, ACT_ANNOUNCE);
	a->announce.database = d->spec.database;
	a->announce.primary = primary;
	a->announce.term = term;
}

void databases_report(struct core *c, const struct state_report *r,
		      uint64_t from, hm_time now, struct actions *actions)
{
	struct database *d = database_find(c, r->state.database);
	struct member *m;

	if (!d)
		return;
	m = database_member(d, r->state.endpoint);
	if (!m)
		return;
	m->reported_at = now;
	if (r->state.reachable) {
		m->owner = r->state.owner;
		owner_update(c, d, m, r->state.owner, now, actions);
	}
	if (m->owner == 0 || m->owner == from)
		failover_set_owner(d->failover, m->spec.endpoint, from);
	group_report(d->group, r, from, control_sent_at(c, r), now);
	failover_report(d->failover, r, from, now, actions);
	verify_report(d->verify, r, now, actions);
	announce_primary(d, now, actions);
}

void databases_tick(struct core *c, hm_time now, struct actions *actions)
{
	uint32_t i, k;

	if (evacuation_tick(&c->evacuation, now))
		evacuation_changed(c, now, actions);
	for (i = 0; i < c->database_count; i++) {
		struct database *d = &c->databases[i];

		for (k = 0; k < d->member_count; k++)
			failover_set_owner(
				d->failover, d->members[k].spec.endpoint,
				member_live_owner(c, &d->members[k]));
		verify_tick(d->verify, now, actions);
		failover_tick(d->failover, now, actions);
		announce_primary(d, now, actions);
	}
}

void databases_free(struct core *c)
{
	uint32_t i, k;

	for (i = 0; i < c->database_count; i++) {
		struct database *d = &c->databases[i];

		for (k = 0; k < d->member_count; k++)
			executor_free(d->members[k].executor);
		failover_free(d->failover);
		verify_free(d->verify);
		group_free(d->group);
	}
	free(c->databases);
}
