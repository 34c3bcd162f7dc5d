/** @file store_readers.c Which instances watch and poll the store, and when. */
#include "proxy_state.h"

/*
 * Each change in the store wakes every watcher and costs one call per watcher,
 * so only a few instances of each zone watch. The others see a newer version in
 * the next heartbeat of a watcher and request the document from it. Copies of a
 * large configuration to all others would fill the watchers' network links:
 * these read it from the store.
 */
#define WATCHERS_PER_ZONE 2
/* From this number of routes and accounts on, some 64 KiB. */
#define CONFIG_LARGE 256
/* What a watch has not delivered for this time is read from the store. */
#define WATCH_OVERDUE (500 * HM_MS)
/*
 * A copy that no peer has sent for this time is read there, too: in time for a
 * change that only a poll found, which is announced up to 1.8 s late.
 */
#define COPY_OVERDUE (1 * HM_SEC)
/* The same for members, whose changes take effect over seconds. */
#define MEMBERS_OVERDUE (2 * HM_SEC)
#define READ_EVERY (1 * HM_SEC)
/* Time to receive the peers' heartbeats: one interval plus network delay. */
#define WATCH_AFTER (500 * HM_MS)
/*
 * A watch may miss changes for seconds without an error. Reading the store's
 * revision is cheap and shows whether anything changed. One instance polls
 * it for all. If that instance does not, the others poll in turn, soon enough
 * for a change to be in force within 3 s (2.3 s plus a heartbeat).
 */
#define POLL_EVERY (1500 * HM_MS)
/* Where operators evacuate zones: their requests are found by polls alone. */
#define POLL_EVERY_EVACUATIONS (1000 * HM_MS)
#define POLL_TURNS 2
#define POLL_SPREAD (10 * HM_MS) /* between the turns after POLL_TURNS */
/*
 * Members change in groups, for example when a new release is rolled out. A
 * pause between two watches delivers their events in one answer. Each event
 * wakes all watchers, so the pause grows with their number. Its maximum is
 * short compared with a drain.
 */
#define BATCH_PER_WATCHER (45 * HM_MS)
#define BATCH_MAX (750 * HM_MS)

bool proxy_watches_store(const struct proxy *p, hm_time now)
{
	const struct core_options *o = &p->options.core;
	const struct peer *peer;
	uint32_t i, earlier = 0;

	/* The start has just read all lists. */
	if (now - p->started_at < WATCH_AFTER)
		return false;
	for (i = 0; (peer = peers_at(p->peers, i)); i++)
		earlier += peer->alive && !peer->announced_exit &&
			   peer->platform_ok && peer->zone == o->zone &&
			   peer->incarnation < o->incarnation;
	return earlier < WATCHERS_PER_ZONE;
}

/* The start read all lists, which counts as a poll. */
hm_time proxy_last_read(const struct proxy *p)
{
	return p->store_read_at > p->started_at ? p->store_read_at
						: p->started_at;
}

hm_time proxy_poll_at(const struct proxy *p)
{
	hm_time turn;
	const struct peer *peer;
	uint32_t i, turns, rank = 0;

	for (i = 0; (peer = peers_at(p->peers, i)); i++)
		rank += peer->alive &&
			peer->incarnation < p->options.core.incarnation;
	turns = rank < POLL_TURNS ? rank : POLL_TURNS;
	turn = turns * p->timing->poll_turn + (rank - turns) * POLL_SPREAD;
	if (turn > p->timing->poll_turn_max)
		turn = p->timing->poll_turn_max;
	return proxy_last_read(p) + turn +
	       (p->options.evacuation_limit ? POLL_EVERY_EVACUATIONS
					    : POLL_EVERY);
}

hm_time proxy_batch_window(const struct proxy *p)
{
	const struct core_options *o = &p->options.core;
	uint32_t max_watchers = WATCHERS_PER_ZONE * o->zone_count;
	uint32_t instances = peers_count(p->peers) + 1;
	hm_time time = BATCH_PER_WATCHER *
		       (instances < max_watchers ? instances : max_watchers);

	return time < BATCH_MAX ? time : BATCH_MAX;
}

/*
 * The time of one read is taken once. A heartbeat's delay makes it seem later,
 * and if instances told each other the latest time that they know, each round
 * of heartbeats would add to it: in a busy fleet no read would ever seem due.
 */
void proxy_store_read(struct proxy *p, uint64_t number, hm_time read_at)
{
	if (number <= p->store_reads)
		return;
	p->store_reads = number;
	p->store_read_at = read_at;
}

/* Whether each peer that may run is heard. */
static bool hears_all_peers(const struct proxy *p)
{
	const struct peer *peer;
	uint32_t i;

	for (i = 0; (peer = peers_at(p->peers, i)); i++)
		if (!peer->alive && !peer->announced_exit &&
		    !peers_obsolete(p->peers, peer->incarnation))
			return false;
	return true;
}

/* The list of members is current up to @a at, unless a newer one is known. */
static hm_time limit_current(const struct proxy *p, hm_time at)
{
	hm_time behind = p->behind_since[DOCUMENT_MEMBERS];

	return behind && behind < at ? behind : at;
}

hm_time members_read_at(const struct proxy *p)
{
	return limit_current(p, proxy_last_read(p));
}

hm_time members_current_at(const struct proxy *p, hm_time now)
{
	return limit_current(p, hears_all_peers(p) ? now : proxy_last_read(p));
}

/*
 * After a partition a peer's first heartbeats may be old ones that were held
 * up, and it tells others of a read before it has the list that the read found.
 * What they say counts once the heartbeats of this time have announced no newer
 * list.
 */
#define NEWS_COUNT_AFTER (600 * HM_MS)

void members_note_current(struct proxy *p, hm_time now)
{
	struct members_known *k = &p->members_known;

	if (!hears_all_peers(p))
		k->all_since = 0;
	else if (!k->all_since)
		k->all_since = now;
	/* Not behind_since: an outdated list may have arrived meanwhile. */
	if (store_version_compare(p->newer[DOCUMENT_MEMBERS].version,
				  document_version(p, DOCUMENT_MEMBERS)) > 0) {
		k->heard_at = 0;
	} else if (k->all_since) {
		k->heard_at = 0;
		if (now - k->all_since >= NEWS_COUNT_AFTER)
			k->until = now;
	} else if (!k->heard_at) {
		k->read_at = proxy_last_read(p);
		k->heard_at = now;
	} else if (now - k->heard_at >= NEWS_COUNT_AFTER) {
		k->until = k->until > k->read_at ? k->until : k->read_at;
		k->heard_at = 0;
	}
}

uint32_t config_entries(const struct site_config *c)
{
	return c ? c->route_count + c->account_count : 0;
}

bool config_is_large(const struct proxy *p)
{
	return config_entries(p->config) >= CONFIG_LARGE ||
	       p->newer[DOCUMENT_CONFIG].entries >= CONFIG_LARGE;
}

struct store_version document_version(const struct proxy *p,
				      enum document_kind kind)
{
	struct store_version none = { 0 };

	if (kind == DOCUMENT_MEMBERS)
		return p->members ? p->members->at : none;
	/* A restore of the store does not reset configuration versions. */
	none.revision = p->config ? p->config->version : 0;
	return none;
}

void document_announced(struct proxy *p, enum document_kind kind,
			struct store_version version, uint32_t entries,
			hm_time now)
{
	if (store_version_compare(version, p->newer[kind].version) > 0)
		p->newer[kind] = (struct newer_document){ version, entries };
	if (store_version_compare(version, document_version(p, kind)) > 0 &&
	    !p->behind_since[kind])
		p->behind_since[kind] = now;
}

/* How long an instance waits for a document before it reads the store. */
static hm_time read_wait(const struct proxy *p, enum document_kind kind,
			 hm_time now)
{
	if (kind == DOCUMENT_MEMBERS)
		return MEMBERS_OVERDUE;
	if (!config_is_large(p))
		return COPY_OVERDUE;
	return proxy_watches_store(p, now) ? WATCH_OVERDUE : 0;
}

bool proxy_reads_document(struct proxy *p, enum document_kind kind, hm_time now)
{
	struct store_version have = document_version(p, kind);

	if (!have.revision ||
	    store_version_compare(p->newer[kind].version, have) <= 0 ||
	    now < p->read_after[kind])
		return false;
	/* Not since the newest version: in a series none would be overdue. */
	if (now - p->behind_since[kind] < read_wait(p, kind, now))
		return false;
	p->read_after[kind] = now + READ_EVERY;
	return true;
}
