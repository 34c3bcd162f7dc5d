/**
 * @file own_commits.h
 * Commits of one session that were acknowledged to it: the newest of each
 * service, so that a read at a replica of a service sees the session's own
 * commits there, whichever services its route has visited in between.
 */
#ifndef OWN_COMMITS_H
#define OWN_COMMITS_H

#include "run.h"

/** Services of which a commit is kept. */
#define OWN_COMMITS_MAX 8

/** The newest commit of a session at one service. */
struct own_commit {
	hm_id service;
	struct log_pos at;
	hm_time acknowledged_at;
	char request[REQUEST_ID_BYTES]; /**< request ID from the client */
};

/** All zero for none. */
struct own_commits {
	struct own_commit *list; /**< owned */
	uint32_t count;
	/** When the newest commit that is not kept was acknowledged; 0: none. */
	hm_time dropped_at;
};

void own_commits_clear(struct own_commits *o);
/**
 * Adds a commit; it replaces the one of the same service. A list that is full
 * drops its oldest commit.
 */
void own_commits_add(struct own_commits *o, const struct own_commit *c);
/** The commit of a service that is kept, NULL for none. */
const struct own_commit *own_commits_find(const struct own_commits *o,
					  hm_id service);
/**
 * Whether a commit that was acknowledged at @a since or later may be missing
 * from the list for @a service.
 */
bool own_commits_dropped(const struct own_commits *o, hm_id service,
			 hm_time since);

#endif
