/** @file store_readers.c Who reads the store for all instances, and when. */
#include "proxy_state.h"

/*
 * A watch wakes all who wait at each change, and is a call for each of them.
 * Members change often, and their list is short: a few of each zone watch
 * them, the others hear of a newer list by the next heartbeat of any of them,
 * and ask for it. The configuration changes seldom and may be large: to hand
 * it to all others fills the links of the few.
 */
#define WATCHERS_A_ZONE 2
/* Peers are heard by then: a heartbeat, and the way here. */
#define WATCH_AFTER (500 * HM_MS)
/*
 * A watch may be deaf for seconds without a sign. The revision of the store
 * is cheap to read, and tells whether there is anything to be read again. One
 * instance asks for all: the others take their turns when it has not done so,
 * soon enough for a change to be in force within 3 s (2.3 s and a heartbeat).
 */
#define POLL_EVERY (1500 * HM_MS)
#define POLL_TURN (400 * HM_MS) /* a heartbeat, and the call */
#define POLL_TURNS 2
#define POLL_SPREAD (10 * HM_MS) /* of all those whose turn comes last */
#define POLL_TURN_MOST (1200 * HM_MS)
/*
 * Members register and change in groups, at a start or a release: the events
 * of a moment come in one answer. More watchers wait longer, as each event
 * wakes all of them, and no longer than is still early in a drain.
 */
#define GATHER_EACH (45 * HM_MS)
#define GATHER_MOST (750 * HM_MS)

bool proxy_watches(const struct proxy *p, hm_time now)
{
	const struct core_options *o = &p->options.core;
	const struct peer *peer;
	uint32_t i, before = 0;

	/* The lists of the start have just been read. */
	if (now - p->started_at < WATCH_AFTER)
		return false;
	for (i = 0; (peer = peers_at(p->peers, i)); i++)
		before += peer->alive && !peer->gave_up && peer->platform_ok &&
			  peer->zone == o->zone && peer->life < o->incarnation;
	return before < WATCHERS_A_ZONE;
}

hm_time proxy_poll_at(const struct proxy *p)
{
	hm_time from = p->store_read_at, turn;
	const struct peer *peer;
	uint32_t i, turns, rank = 0;

	for (i = 0; (peer = peers_at(p->peers, i)); i++)
		rank += peer->alive && peer->life < p->options.core.incarnation;
	turns = rank < POLL_TURNS ? rank : POLL_TURNS;
	turn = turns * POLL_TURN + (rank - turns) * POLL_SPREAD;
	if (turn > POLL_TURN_MOST)
		turn = POLL_TURN_MOST;
	/* The lists of the start have just read everything. */
	if (from < p->started_at)
		from = p->started_at;
	return from + POLL_EVERY + turn;
}

hm_time proxy_gather_time(const struct proxy *p)
{
	const struct core_options *o = &p->options.core;
	uint32_t most = WATCHERS_A_ZONE * o->zone_count;
	uint32_t all = peers_count(p->peers) + 1;
	hm_time time = GATHER_EACH * (all < most ? all : most);

	return time < GATHER_MOST ? time : GATHER_MOST;
}

void proxy_store_read(struct proxy *p, hm_time read_at)
{
	if (read_at > p->store_read_at)
		p->store_read_at = read_at;
}
