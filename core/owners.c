/**
 * @file owners.c
 * The part of this instance in the ownership of members: its capacity, whether
 * it is busy, and which members it gains and loses.
 */
#include "proxy_state.h"

static void log_capacity(const struct proxy *p, struct proxy_output *out)
{
	const struct capacity *k = &p->options.capacity;

	proxy_log(out, "event=capacity millis=%u link_mbit=%u busy=%d",
		  k->processor_millis, k->link_mbit, k->busy);
}

/*
 * An instance that states no capacity has no weight to reduce, and does not
 * report busy.
 */
static void check_busy(struct proxy *p, hm_time now, struct proxy_output *out)
{
	if (!p->options.scheduling.owner_capacity ||
	    !p->options.capacity.processor_millis)
		return;
	if (!p->loop_delay.due)
		log_capacity(p, out);
	if (!loop_delay_tick(&p->loop_delay, PROXY_TICK, now))
		return;
	p->options.capacity.busy = p->loop_delay.busy;
	p->counters.busy_changes++;
	peers_own_capacity(p->peers, &p->options.capacity);
	log_capacity(p, out);
	proxy_heartbeat(p, now, out);
	gossip_changed(p, now);
}

/* Why a member no longer belongs to @a from. */
static const char *reason_of(const struct proxy *p, uint64_t from)
{
	const struct peer *peer = peers_find(p->peers, from);

	if (!from)
		return "first";
	if (from == p->options.core.incarnation)
		return p->options.capacity.busy ? "busy" : "weight";
	if (!peer || !peer->alive)
		return "lost";
	if (peer->announced_exit)
		return "leaving";
	return peer->capacity.busy ? "busy" : "weight";
}

static void check_owner(struct proxy *p, const struct site_member *m,
			struct proxy_output *out)
{
	struct member_load *l = place_load(p, m->endpoint);
	uint64_t self = p->options.core.incarnation;
	uint64_t from = l->owner, to = member_owner(p, m);

	l->owner = to;
	p->counters.members_owned += to == self;
	if (from == to || (from != self && to != self))
		return;
	if (to == self)
		p->counters.members_gained++;
	else
		p->counters.members_lost++;
	proxy_log(out,
		  "event=owner member=%s from=%016llx to=%016llx reason=%s",
		  m->name, (unsigned long long)from, (unsigned long long)to,
		  reason_of(p, from));
}

/* Logs which part of the zone's shares of rates is issued here. */
static void log_reach(struct proxy *p, struct proxy_output *out)
{
	struct zone_reach n = rate_reach(p->rate);

	if (n.reached == p->logged_reach.reached &&
	    n.silent == p->logged_reach.silent)
		return;
	p->logged_reach = n;
	proxy_log(out, "event=rate_part reached=%u silent=%u", n.reached,
		  n.silent);
}

void owners_tick(struct proxy *p, hm_time now, struct proxy_output *out)
{
	uint64_t generation;
	uint32_t i;

	log_reach(p, out);
	check_busy(p, now, out);
	generation = peers_generation(p->peers);
	if (!p->members ||
	    (generation == p->owners_generation &&
	     !store_version_compare(p->members->at, p->owners_members)))
		return;
	p->owners_generation = generation;
	p->owners_members = p->members->at;
	p->counters.members_owned = 0;
	for (i = 0; i < p->members->count; i++)
		check_owner(p, &p->members->list[i], out);
}
