/** @file peers.c Membership and ownership. */
#include "peers.h"

#include <stdlib.h>
#include <string.h>

#include "table.h"

/* A peer that is dead for this many silences is forgotten. */
#define FORGET_SILENCES 60
#define LISTED_LEAVING_MAX 64

struct member {
	struct peer peer;
	uint64_t replaced_by; /* newer life of the same instance */
	bool stopped;
	bool told_leaving; /* by its own heartbeat */
};

struct peers {
	const struct core_options *options;
	struct member *list;
	uint32_t count;
	uint32_t room;
	struct table by_life;
	hm_id listed_leaving[LISTED_LEAVING_MAX];
	uint32_t listed_leaving_count;
	hm_time other_zone_at; /* a peer of another zone was heard */
	hm_time platform_at;
	uint64_t generation;
	bool platform_ok;
	bool leaving;
};

struct peers *peers_new(const struct core_options *options, hm_time now)
{
	struct peers *p = calloc(1, sizeof(*p));

	if (!p)
		return NULL;
	p->options = options;
	p->other_zone_at = now;
	p->platform_at = now;
	return p;
}

void peers_free(struct peers *p)
{
	if (!p)
		return;
	table_free(&p->by_life);
	free(p->list);
	free(p);
}

static struct member *find(const struct peers *p, uint64_t life)
{
	uint32_t h = table_get(&p->by_life, life);

	return h == TABLE_NONE ? NULL : &p->list[h];
}

static bool listed_as_leaving(const struct peers *p, hm_id instance)
{
	uint32_t i;

	for (i = 0; i < p->listed_leaving_count; i++)
		if (p->listed_leaving[i] == instance)
			return true;
	return false;
}

static void set_alive(struct peers *p, struct member *m, bool alive)
{
	if (m->peer.alive == alive)
		return;
	m->peer.alive = alive;
	p->generation++;
}

static void set_leaving(struct peers *p, struct member *m)
{
	bool leaving =
		m->told_leaving || listed_as_leaving(p, m->peer.instance);

	if (m->peer.leaving == leaving)
		return;
	m->peer.leaving = leaving;
	p->generation++;
}

static void replace_older_lives(struct peers *p, const struct member *newer)
{
	uint32_t i;

	for (i = 0; i < p->count; i++) {
		struct member *m = &p->list[i];

		if (m == newer || m->peer.instance != newer->peer.instance)
			continue;
		m->replaced_by = newer->peer.life;
		set_alive(p, m, false);
	}
}

static struct member *add(struct peers *p, const struct message *m)
{
	struct member *added;

	if (p->count == p->room) {
		uint32_t room = p->room ? p->room * 2 : 16;
		struct member *list = realloc(p->list, room * sizeof(*list));

		if (!list)
			abort();
		p->list = list;
		p->room = room;
	}
	if (!table_put(&p->by_life, m->from, p->count))
		abort();
	added = &p->list[p->count++];
	*added = (struct member){ 0 };
	added->peer.life = m->from;
	added->peer.instance = m->heartbeat.instance;
	added->peer.zone = m->heartbeat.zone;
	added->peer.minted = m->heartbeat.issues_tokens;
	replace_older_lives(p, added);
	return added;
}

/* A life whose successor lives is void, whatever still arrives from it. */
static bool is_void(const struct peers *p, const struct member *m)
{
	const struct member *newer;

	if (m->stopped)
		return true;
	newer = m->replaced_by ? find(p, m->replaced_by) : NULL;
	return newer && newer->peer.alive;
}

static void take_heartbeat(struct peers *p, struct member *member,
			   const struct heartbeat *h)
{
	member->told_leaving |= h->leaving;
	member->stopped = h->stopped;
	member->peer.gave_up = member->told_leaving || member->stopped;
	member->peer.platform_ok = h->platform_ok;
	member->peer.config_version = h->config_version;
	member->peer.config_digest = h->config_digest;
	set_leaving(p, member);
}

void peers_message(struct peers *p, const struct message *m, hm_time now)
{
	struct member *member = find(p, m->from);

	if (m->from == p->options->incarnation)
		return;
	if (!member && m->kind != MSG_HEARTBEAT)
		return;
	if (!member)
		member = add(p, m);
	if (is_void(p, member) || m->seq <= member->peer.seq)
		return;
	member->peer.seq = m->seq;
	member->peer.heard_at = now;
	member->replaced_by = 0;
	if (m->kind == MSG_HEARTBEAT)
		take_heartbeat(p, member, &m->heartbeat);
	set_alive(p, member, !member->stopped);
	if (member->peer.zone != p->options->zone)
		p->other_zone_at = now;
}

void peers_listed(struct peers *p, const struct listed_instance *list,
		  uint32_t count, hm_time now)
{
	uint32_t i;

	(void)now;
	p->listed_leaving_count = 0;
	for (i = 0; i < count; i++)
		if (list[i].leaving &&
		    p->listed_leaving_count < LISTED_LEAVING_MAX)
			p->listed_leaving[p->listed_leaving_count++] =
				list[i].instance;
	for (i = 0; i < p->count; i++)
		set_leaving(p, &p->list[i]);
}

/* The last peer moves to the place of the removed one. */
static void forget(struct peers *p, uint32_t index)
{
	table_remove(&p->by_life, p->list[index].peer.life);
	p->list[index] = p->list[--p->count];
	if (index < p->count)
		table_put(&p->by_life, p->list[index].peer.life, index);
}

void peers_tick(struct peers *p, hm_time now)
{
	hm_time silent = p->options->peer_silent;
	uint32_t i = p->count;

	while (i-- > 0) {
		struct member *m = &p->list[i];

		if (now - m->peer.heard_at > silent)
			set_alive(p, m, false);
		if (now - m->peer.heard_at > silent * FORGET_SILENCES)
			forget(p, i);
	}
}

uint32_t peers_count(const struct peers *p)
{
	return p->count;
}

const struct peer *peers_at(const struct peers *p, uint32_t index)
{
	return index < p->count ? &p->list[index].peer : NULL;
}

const struct peer *peers_find(const struct peers *p, uint64_t life)
{
	const struct member *m = find(p, life);

	return m ? &m->peer : NULL;
}

bool peers_alive(const struct peers *p, uint64_t life)
{
	const struct member *m;

	if (life == p->options->incarnation)
		return true;
	m = find(p, life);
	return m && m->peer.alive;
}

bool peers_void(const struct peers *p, uint64_t life)
{
	const struct member *m = find(p, life);

	return m && is_void(p, m);
}

uint64_t peers_generation(const struct peers *p)
{
	return p->generation;
}

static uint64_t rank(hm_id key, hm_id instance)
{
	uint64_t x = key ^ (instance * 0x9e3779b97f4a7c15ULL);

	x = (x ^ (x >> 33)) * 0xff51afd7ed558ccdULL;
	x = (x ^ (x >> 33)) * 0xc4ceb9fe1a85ec53ULL;
	return x ^ (x >> 33);
}

/* Candidates for ownership of a key; the highest rank wins. */
struct contest {
	hm_id key;
	uint16_t zone;
	bool any_zone;
	bool leaving;
	uint64_t best;
	uint64_t life;
};

/* Only what an instance says of itself counts: lists differ between readers. */
static void enter(struct contest *c, const struct peer *peer, bool leaving)
{
	uint64_t r;

	if (!peer->alive || leaving != c->leaving)
		return;
	if (!c->any_zone && peer->zone != c->zone)
		return;
	r = rank(c->key, peer->instance);
	if (c->life && r <= c->best)
		return;
	c->best = r;
	c->life = peer->life;
}

static uint64_t contest_run(const struct peers *p, struct contest c)
{
	struct peer self = {
		.life = p->options->incarnation,
		.instance = p->options->instance,
		.zone = p->options->zone,
		.alive = true,
	};
	uint32_t i;

	enter(&c, &self, p->leaving);
	for (i = 0; i < p->count; i++)
		enter(&c, &p->list[i].peer, p->list[i].told_leaving);
	return c.life;
}

uint64_t peers_owner(const struct peers *p, hm_id key, uint16_t zone,
		     bool anywhere)
{
	struct contest c = { .key = key, .zone = zone };
	uint32_t step;
	uint64_t life = 0;

	for (step = 0; step < 4 && !life; step++) {
		c.any_zone = step & 1;
		c.leaving = step & 2;
		if (!c.any_zone || anywhere)
			life = contest_run(p, c);
	}
	return life;
}

bool peers_isolated(const struct peers *p, hm_time now)
{
	hm_time grace = p->options->isolated_grace;

	if (p->options->zone_count < 2)
		return false;
	return now - p->other_zone_at > grace && now - p->platform_at > grace;
}

void peers_platform(struct peers *p, bool ok, hm_time now)
{
	p->platform_ok = ok;
	if (ok)
		p->platform_at = now;
}

void peers_leave(struct peers *p)
{
	p->leaving = true;
	p->generation++;
}
