/**
 * @file voters.h
 * Voters of a service: the members whose logs count. A commit is acknowledged
 * once SyncReplicas + 1 voters have it, and a member is promoted only while no
 * more than SyncReplicas voters are loose, that is neither paused nor the member
 * itself, so at least one of the others has the commit. Both hold only if everyone counts over the same members. The
 * voters are therefore recorded in the platform's store, in the object of the
 * service's fencing tokens: a change of primary takes its token and the voters
 * in one conditional write, and no voter is added until that change has ended.
 */
#ifndef VOTERS_H
#define VOTERS_H

#include "types.h"

#define VOTERS_MAX 16

/*
 * When a voter that is silent and has lost its entry may be removed: nobody
 * counts it any more. An owner counts a voter whose entry has disappeared for
 * VOTER_MISSING_GRACE more, and not at all if it was leaving. It does so by a
 * list of members that is at most MEMBERS_CURRENT old, and another instance may
 * have told it 1 s late that it is current. By an older list it counts voters
 * only if one more than needed has the commit, so the removal of any one of
 * them does no harm.
 */
#define MEMBERS_CURRENT (2500 * HM_MS)
#define VOTER_MISSING_GRACE (2500 * HM_MS)
#define VOTER_LEAVING_ENDS (3500 * HM_MS)
#define VOTER_ENDS (VOTER_LEAVING_ENDS + VOTER_MISSING_GRACE)

/*
 * A member that has started again may serve before its entry says so. Its old
 * entry disappears after three intervals of silence (3.6 s), so an entry that is
 * still there after that time is of the life that was there at its begin.
 */
#define VOTER_LIFE_SHOWN (4 * HM_SEC)

/** One life of a member: a member that starts again has an empty log. */
struct voter {
	hm_id endpoint;
	uint64_t started;
};

struct voters {
	struct store_version at; /**< of the record */
	/**
	 * Newest term when the last change of primary ended: no commit of an
	 * earlier one counts.
	 */
	uint64_t term;
	uint32_t count; /**< 0: the voters are not known */
	struct voter list[VOTERS_MAX];
};

/** How a voter is found in the store and on the network. */
struct voter_contact {
	char name[NAME_BYTES];
	char address[ADDRESS_BYTES];
};

/** The record in the store. */
struct voter_record {
	struct voters voters;
	struct voter_contact contacts[VOTERS_MAX]; /**< same index */
	uint64_t token; /**< the newest fencing token */
	bool committed; /**< the service had a commit: an empty log lacks it */
	/** The change of primary that took @a token has not ended. */
	bool changing;
	/** Not stored: an earlier one had not when @a token was taken. */
	bool was_changing;
};

static inline bool voters_known(const struct voters *v)
{
	return v->count != 0;
}

/** Index of a member's life, -1 if it is no voter. */
int voters_find(const struct voters *v, hm_id endpoint, uint64_t started);
static inline bool voters_have(const struct voters *v, hm_id endpoint,
			       uint64_t started)
{
	return voters_find(v, endpoint, started) >= 0;
}

/** Replaces @a held by @a from if that is newer; returns whether it was. */
bool voters_update(struct voters *held, const struct voters *from);
/** Appends a voter; false if there is no room for it. */
bool voter_record_add(struct voter_record *r, hm_id endpoint, uint64_t started,
		      const char *name, const char *address);
/** Removes the voter at @a index; the last one takes its place. */
void voter_record_remove(struct voter_record *r, uint32_t index);

#endif
