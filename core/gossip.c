/**
 * @file gossip.c
 * How instances hear of each other. In a small fleet each sends a heartbeat to
 * each other one: nothing is faster, and the messages of an instance grow with
 * the fleet. In a large one an instance sends digests to a few peers: its own
 * heartbeat, and what it has heard of all others. A digest that names an unknown
 * or changed peer is followed by a request for the full news.
 */
#include "proxy_state.h"

#include <stdlib.h>
#include <string.h>

/*
 * Number of other instances from which on digests are used. Below, heartbeats
 * to all cost less than the slower detection of lost peers.
 */
#define GOSSIP_FROM 96
/* Digests are used until the fleet is smaller than that by this many. */
#define GOSSIP_HYSTERESIS 12
#define ROUND_EVERY (300 * HM_MS)
/* Digests of a round to peers in the own zone. */
#define OWN_ZONE_TARGETS 3
/* Every so many rounds one goes to another zone. */
#define OTHER_ZONE_ROUNDS 2
/* And to any listed address: two parts of a fleet may not know each other. */
#define ANY_ROUNDS 20
/* Digests to listed addresses while fewer peers than this are known. */
#define FEW_PEERS 8
/* Shortest time between two rounds, when something has changed. */
#define ROUND_MIN (60 * HM_MS)
/* Heartbeats to the peers in direct contact. */
#define CONTACT_EVERY (1 * HM_SEC)

/*
 * Heartbeats come each 300 ms: one and a half of them and the delay of the
 * network make a silent peer, an owner that gets no work and a turn to poll.
 * Newer lists of peers arrive within a second after an isolation.
 */
static const struct fleet_timing small_fleet = {
	.peer_silent = 1000 * HM_MS,
	.heard_within = 500 * HM_MS,
	.owner_silent = 500 * HM_MS,
	.monitor_after = 700 * HM_MS,
	.reconnect_settle = 1 * HM_SEC,
	.poll_turn = 400 * HM_MS,
	.poll_turn_max = 1200 * HM_MS,
};

/*
 * News take a round for each doubling or two of the fleet: with some hundreds
 * of instances a second on average, rarely three.
 */
static const struct fleet_timing large_fleet = {
	.peer_silent = 4 * HM_SEC,
	.heard_within = 3 * HM_SEC,
	.owner_silent = 2500 * HM_MS,
	.monitor_after = 2500 * HM_MS,
	.reconnect_settle = 4 * HM_SEC,
	.poll_turn = 1 * HM_SEC,
	.poll_turn_max = 2400 * HM_MS,
};

const struct fleet_timing *gossip_small_fleet(void)
{
	return &small_fleet;
}

static void set_mode(struct proxy *p, bool on, struct proxy_output *out)
{
	struct proxy_action *a;

	if (p->gossip.on == on)
		return;
	p->gossip.on = on;
	p->timing = on ? &large_fleet : &small_fleet;
	p->options.core.peer_silent = p->timing->peer_silent;
	a = proxy_action(out, PROXY_DIGESTS);
	a->digests = on;
	proxy_log(out, "event=gossip on=%d peers=%u listed=%u", on,
		  peers_count(p->peers), p->gossip.listed);
}

static void check_mode(struct proxy *p, struct proxy_output *out)
{
	uint32_t others = peers_count(p->peers);

	if (p->gossip.listed > others)
		others = p->gossip.listed;
	if (others >= GOSSIP_FROM)
		set_mode(p, true, out);
	else if (others + GOSSIP_HYSTERESIS < GOSSIP_FROM)
		set_mode(p, false, out);
}

void gossip_listed(struct proxy *p, uint32_t count, struct proxy_output *out)
{
	p->gossip.listed = count ? count - 1 : 0;
	check_mode(p, out);
}

void gossip_changed(struct proxy *p, hm_time now)
{
	if (p->gossip.round_at > now + ROUND_MIN)
		p->gossip.round_at = now + ROUND_MIN;
}

static struct peer_news short_news(const struct peer *peer, hm_time now)
{
	return (struct peer_news){ .incarnation = peer->incarnation,
				   .seq = peer->seq,
				   .age = now - peer->heard_at,
				   .state_version = peer->state_version };
}

static struct peer_news full_news(const struct peer *peer, hm_time now)
{
	struct peer_news n = short_news(peer, now);

	n.full = true;
	n.instance = peer->instance;
	n.zone = peer->zone;
	n.leaving = peer->announced_exit;
	n.stopped = !peer->alive && peer->announced_exit;
	n.platform_ok = peer->platform_ok;
	n.issues_tokens = peer->issues_tokens;
	n.features = peer->features;
	n.capacity = peer->capacity;
	memcpy(n.address, peer->address, sizeof(n.address));
	return n;
}

static struct digest *new_digest(uint32_t capacity)
{
	struct digest *d = calloc(1, sizeof(*d));

	if (d)
		d->news = calloc(capacity + 1, sizeof(*d->news));
	if (!d || !d->news)
		abort();
	return d;
}

static void send_digest(struct proxy *p, uint64_t to, hm_time now,
			struct proxy_output *out)
{
	struct digest *d = new_digest(peers_count(p->peers));
	const struct peer *peer;
	uint32_t i;

	proxy_fill_heartbeat(p, &d->heartbeat, now);
	for (i = 0; (peer = peers_at(p->peers, i)); i++)
		if (peer->alive && d->count < DIGEST_MAX)
			d->news[d->count++] = short_news(peer, now);
	proxy_send(p, to, MSG_DIGEST, out)->digest = d;
}

static int compare_incarnations(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

/*
 * The live instances of a zone in the order of their incarnations, with this
 * one in its own zone. The caller frees the list.
 */
static uint64_t *zone_ring(const struct proxy *p, uint16_t zone,
			   uint32_t *count)
{
	uint64_t *ring = malloc((peers_count(p->peers) + 1) * sizeof(*ring));
	const struct peer *peer;
	uint32_t i, n = 0;

	if (!ring)
		abort();
	if (zone == p->options.core.zone)
		ring[n++] = p->options.core.incarnation;
	for (i = 0; (peer = peers_at(p->peers, i)); i++)
		if (peer->alive && peer->zone == zone)
			ring[n++] = peer->incarnation;
	qsort(ring, n, sizeof(*ring), compare_incarnations);
	*count = n;
	return ring;
}

static uint32_t own_index(const struct proxy *p, const uint64_t *ring,
			  uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count && ring[i] != p->options.core.incarnation; i++)
		;
	return i;
}

/*
 * Sends to instances of the own zone that are 1, 2, 4, ... places ahead in the
 * ring, in turn. News reach all of a zone within few rounds, and each instance
 * keeps connections to few others; random peers would need them to all.
 */
static uint32_t send_in_zone(struct proxy *p, uint32_t round, hm_time now,
			     struct proxy_output *out)
{
	uint32_t count, self, steps = 0, i;
	uint64_t *ring = zone_ring(p, p->options.core.zone, &count);

	self = own_index(p, ring, count);
	while ((1u << steps) < count)
		steps++;
	for (i = 0; i < OWN_ZONE_TARGETS && i < steps; i++) {
		uint32_t step = (round * OWN_ZONE_TARGETS + i) % steps;

		send_digest(p, ring[(self + (1u << step)) % count], now, out);
	}
	free(ring);
	return self;
}

/* Sends to the instance at the same place of another zone, in turn. */
static void send_to_zone(struct proxy *p, uint32_t turn, uint32_t self,
			 hm_time now, struct proxy_output *out)
{
	uint16_t zones = p->options.core.zone_count, zone;
	uint32_t count;
	uint64_t *ring;

	if (zones < 2)
		return;
	zone = (uint16_t)((p->options.core.zone + 1 + turn % (zones - 1u)) %
			  zones);
	ring = zone_ring(p, zone, &count);
	if (count)
		send_digest(p, ring[self % count], now, out);
	free(ring);
}

static void send_round(struct proxy *p, hm_time now, struct proxy_output *out)
{
	uint32_t i, round = ++p->gossip.rounds;
	bool few = peers_count(p->peers) < FEW_PEERS;
	uint32_t self = send_in_zone(p, round, now, out);

	if (round % OTHER_ZONE_ROUNDS == 0)
		send_to_zone(p, round / OTHER_ZONE_ROUNDS, self, now, out);
	for (i = 0; i < (few ? FEW_PEERS : 1); i++)
		if (few || round % ANY_ROUNDS == 0)
			send_digest(p, PEER_ANY, now, out);
}

void gossip_tick(struct proxy *p, hm_time now, struct proxy_output *out)
{
	check_mode(p, out);
	if (!p->gossip.on || now < p->gossip.round_at)
		return;
	p->gossip.round_at = now + ROUND_EVERY;
	send_round(p, now, out);
}

hm_time gossip_heartbeat_every(const struct proxy *p)
{
	return p->gossip.on ? CONTACT_EVERY : p->options.core.heartbeat_every;
}

static void learn_address(const struct peer_news *n, struct proxy_output *out)
{
	struct proxy_action *a = proxy_action(out, PROXY_LEARN_PEER);

	a->learned.incarnation = n->incarnation;
	memcpy(a->learned.address, n->address, sizeof(n->address));
}

static void request_full(struct proxy *p, uint64_t from, struct digest *lacking,
			 struct proxy_output *out)
{
	if (lacking->count) {
		proxy_send(p, from, MSG_DIGEST_REQUEST, out)->digest = lacking;
		return;
	}
	free(lacking->news);
	free(lacking);
}

void gossip_take(struct proxy *p, const struct message *m, bool first,
		 hm_time now, struct proxy_output *out)
{
	struct digest *lacking = new_digest(m->digest->count);
	uint32_t i;

	for (i = 0; i < m->digest->count; i++) {
		const struct peer_news *n = &m->digest->news[i];

		switch (peers_news(p->peers, n, now)) {
		case NEWS_TAKEN:
			break;
		case NEWS_ADDED:
			learn_address(n, out);
			break;
		case NEWS_LACKS_FULL:
			lacking->news[lacking->count++].incarnation =
				n->incarnation;
			break;
		}
	}
	request_full(p, m->from, lacking, out);
	/* A peer that has started or is back knows few others. */
	if (first)
		send_digest(p, m->from, now, out);
}

void gossip_answer(struct proxy *p, const struct message *m, hm_time now,
		   struct proxy_output *out)
{
	struct digest *d = new_digest(m->digest->count);
	const struct peer *peer;
	uint32_t i;

	proxy_fill_heartbeat(p, &d->heartbeat, now);
	for (i = 0; i < m->digest->count; i++) {
		peer = peers_find(p->peers, m->digest->news[i].incarnation);
		if (peer)
			d->news[d->count++] = full_news(peer, now);
	}
	proxy_send(p, m->from, MSG_DIGEST, out)->digest = d;
}
