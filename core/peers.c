/** @file peers.c Membership of instances. */
#include "peers_state.h"

#include <stdlib.h>
#include <string.h>

#include "grow.h"

/* A peer that was not heard for this many times peer_silent is removed. */
#define REMOVE_FACTOR 60
/*
 * A relay of an older build leaves out the features of a peer. Full news are
 * requested again at this interval, until a newer relay states them.
 */
#define FEATURES_EVERY (30 * HM_SEC)

struct peers *peers_new(const struct core_options *options, hm_time now)
{
	struct peers *p = calloc(1, sizeof(*p));

	if (!p)
		return NULL;
	p->options = options;
	p->choice = owner_choice_new();
	if (!p->choice)
		abort();
	p->generation = 1;
	p->self = (struct peer){ .incarnation = options->incarnation,
				 .instance = options->instance,
				 .zone = options->zone,
				 .alive = true };
	p->other_zone_at = now;
	p->platform_at = now;
	return p;
}

void peers_free(struct peers *p)
{
	if (!p)
		return;
	owner_choice_free(p->choice);
	table_free(&p->by_incarnation);
	free(p->list);
	free(p);
}

static struct peer_entry *find(const struct peers *p, uint64_t incarnation)
{
	uint32_t h = table_get(&p->by_incarnation, incarnation);

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

static void set_alive(struct peers *p, struct peer_entry *e, bool alive)
{
	if (e->peer.alive == alive)
		return;
	e->peer.alive = alive;
	p->generation++;
}

static void set_leaving(struct peers *p, struct peer_entry *e)
{
	bool leaving =
		e->announced_leaving || listed_as_leaving(p, e->peer.instance);

	if (e->peer.leaving == leaving)
		return;
	e->peer.leaving = leaving;
	p->generation++;
}

/* Takes what an instance announced of its exit, which is never taken back. */
static void announce_leaving(struct peers *p, struct peer_entry *e,
			     bool leaving)
{
	if (!leaving || e->announced_leaving)
		return;
	e->announced_leaving = true;
	p->generation++;
}

static void set_capacity(struct peers *p, struct peer *peer, uint64_t features,
			 const struct capacity *k)
{
	if (peer->features == features && capacity_equal(&peer->capacity, k))
		return;
	peer->features = features;
	peer->capacity = *k;
	p->generation++;
}

static void replace_older_incarnations(struct peers *p,
				       const struct peer_entry *newer)
{
	uint32_t i;

	for (i = 0; i < p->count; i++) {
		struct peer_entry *e = &p->list[i];

		if (e == newer || e->peer.instance != newer->peer.instance)
			continue;
		e->replaced_by = newer->peer.incarnation;
		set_alive(p, e, false);
	}
}

static struct peer_entry *add(struct peers *p, const struct peer *new)
{
	struct peer_entry *added;

	p->list = grow_list(p->list, p->count, &p->capacity, sizeof(*p->list));
	if (!table_put(&p->by_incarnation, new->incarnation, p->count))
		abort();
	added = &p->list[p->count++];
	*added = (struct peer_entry){ .peer = *new };
	replace_older_incarnations(p, added);
	return added;
}

/*
 * Whether an incarnation has stopped or a newer one of its instance is alive.
 * Messages that still arrive from it are ignored.
 */
static bool is_obsolete(const struct peers *p, const struct peer_entry *e)
{
	const struct peer_entry *newer;

	if (e->stopped)
		return true;
	newer = e->replaced_by ? find(p, e->replaced_by) : NULL;
	return newer && newer->peer.alive;
}

static void take_heartbeat(struct peers *p, struct peer_entry *entry,
			   const struct heartbeat *h)
{
	announce_leaving(p, entry, h->leaving);
	entry->stopped = h->stopped;
	entry->peer.announced_exit = entry->announced_leaving || entry->stopped;
	entry->peer.platform_ok = h->platform_ok;
	entry->peer.config_version = h->config_version;
	entry->peer.config_digest = h->config_digest;
	entry->peer.issues_tokens = h->issues_tokens;
	entry->peer.state_version = h->state_version;
	set_capacity(p, &entry->peer, h->features, &h->capacity);
	memcpy(entry->peer.address, h->address, sizeof(h->address));
	set_leaving(p, entry);
}

/* The heartbeat that a message contains, NULL for none. */
static const struct heartbeat *heartbeat_of(const struct message *m)
{
	if (m->kind == MSG_DIGEST)
		return &m->digest->heartbeat;
	return m->kind == MSG_HEARTBEAT ? &m->heartbeat : NULL;
}

void peers_message(struct peers *p, const struct message *m, hm_time now)
{
	const struct heartbeat *h = heartbeat_of(m);
	struct peer_entry *entry = find(p, m->from);

	if (m->from == p->options->incarnation)
		return;
	if (!entry && !h)
		return;
	if (!entry)
		entry = add(
			p, &(struct peer){ .incarnation = m->from,
					   .instance = h->instance,
					   .zone = h->zone,
					   .issued_tokens = h->issues_tokens });
	if (is_obsolete(p, entry) || m->seq <= entry->peer.seq)
		return;
	entry->peer.seq = m->seq;
	entry->peer.heard_at = now;
	entry->replaced_by = 0;
	if (h)
		take_heartbeat(p, entry, h);
	set_alive(p, entry, !entry->stopped);
	if (entry->peer.zone != p->options->zone)
		p->other_zone_at = now;
}

static void take_full_news(struct peers *p, struct peer_entry *e,
			   const struct peer_news *n)
{
	announce_leaving(p, e, n->leaving);
	e->stopped |= n->stopped;
	e->peer.announced_exit = e->announced_leaving || e->stopped;
	e->peer.platform_ok = n->platform_ok;
	e->peer.issues_tokens = n->issues_tokens;
	e->peer.state_version = n->state_version;
	/* A relay of an older build leaves them out. */
	if (n->features)
		set_capacity(p, &e->peer, n->features, &n->capacity);
	memcpy(e->peer.address, n->address, sizeof(n->address));
	set_leaving(p, e);
}

/* Whether an incarnation of the same instance was heard later. */
static bool has_later_incarnation(const struct peers *p,
				  const struct peer_news *n, hm_time heard_at)
{
	const struct peer *peer;
	uint32_t i;

	for (i = 0; (peer = peers_at(p, i)); i++)
		if (peer->instance == n->instance &&
		    peer->incarnation != n->incarnation &&
		    peer->heard_at >= heard_at)
			return true;
	return n->instance == p->options->instance;
}

/* Whether full news of a known peer are needed. */
static bool lacks_full(struct peer_entry *e, const struct peer_news *n,
		       hm_time now)
{
	if (n->state_version > e->peer.state_version)
		return true;
	if (e->peer.features || n->full || now < e->full_wanted_at)
		return false;
	e->full_wanted_at = now + FEATURES_EVERY;
	return true;
}

enum news_outcome peers_news(struct peers *p, const struct peer_news *n,
			     hm_time now)
{
	struct peer_entry *e = find(p, n->incarnation);
	enum news_outcome outcome = NEWS_TAKEN;
	hm_time heard_at = now - n->age;

	if (n->incarnation == p->options->incarnation ||
	    n->age > p->options->peer_silent)
		return NEWS_TAKEN;
	if (!e && !n->full)
		return NEWS_LACKS_FULL;
	if (!e && has_later_incarnation(p, n, heard_at))
		return NEWS_TAKEN;
	if (!e) {
		e = add(p, &(struct peer){ .incarnation = n->incarnation,
					   .instance = n->instance,
					   .zone = n->zone,
					   .issued_tokens = n->issues_tokens });
		outcome = NEWS_ADDED;
	}
	if (is_obsolete(p, e))
		return NEWS_TAKEN;
	if (n->full && n->state_version >= e->peer.state_version)
		take_full_news(p, e, n);
	else if (lacks_full(e, n, now))
		outcome = NEWS_LACKS_FULL;
	if (n->seq <= e->peer.seq)
		return outcome;
	e->peer.seq = n->seq;
	if (heard_at > e->peer.heard_at)
		e->peer.heard_at = heard_at;
	e->replaced_by = 0;
	set_alive(p, e, !e->stopped);
	return outcome;
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

/* Removes a peer; the last one moves to its index. */
static void remove_peer(struct peers *p, uint32_t index)
{
	table_remove(&p->by_incarnation, p->list[index].peer.incarnation);
	p->list[index] = p->list[--p->count];
	if (index < p->count)
		table_put(&p->by_incarnation, p->list[index].peer.incarnation,
			  index);
}

void peers_tick(struct peers *p, hm_time now)
{
	hm_time limit = p->options->peer_silent;
	uint32_t i = p->count;

	while (i-- > 0) {
		struct peer_entry *e = &p->list[i];

		if (now - e->peer.heard_at > limit)
			set_alive(p, e, false);
		if (now - e->peer.heard_at > limit * REMOVE_FACTOR)
			remove_peer(p, i);
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

struct zone_reach peers_count_zone(const struct peers *p)
{
	struct zone_reach n = { .reached = 1 };
	uint32_t i;

	for (i = 0; i < p->count; i++) {
		const struct peer_entry *e = &p->list[i];

		if (e->peer.zone != p->options->zone ||
		    e->peer.announced_exit || is_obsolete(p, e))
			continue;
		n.reached += e->peer.alive;
		n.silent += !e->peer.alive;
	}
	return n;
}

const struct peer *peers_find(const struct peers *p, uint64_t incarnation)
{
	const struct peer_entry *e = find(p, incarnation);

	return e ? &e->peer : NULL;
}

bool peers_alive(const struct peers *p, uint64_t incarnation)
{
	const struct peer_entry *e;

	if (incarnation == p->options->incarnation)
		return true;
	e = find(p, incarnation);
	return e && e->peer.alive;
}

bool peers_obsolete(const struct peers *p, uint64_t incarnation)
{
	const struct peer_entry *e = find(p, incarnation);

	return e && is_obsolete(p, e);
}

uint64_t peers_generation(const struct peers *p)
{
	return p->generation;
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

void peers_own_capacity(struct peers *p, const struct capacity *k)
{
	set_capacity(p, &p->self, PEER_STATES_CAPACITY, k);
}
