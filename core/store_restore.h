/**
 * @file store_restore.h
 * Check of member entries after the platform's store was restored from an
 * older copy. Such a copy lists members that have departed since, lists some
 * leaving members as ready, and contains entries from before a member's
 * restart. An outdated entry is withheld for the time in which its member
 * could write a new entry, or the store could remove the entry again.
 */
#ifndef STORE_RESTORE_H
#define STORE_RESTORE_H

#include "site_config.h"

/** Number of departed members that are remembered, the newest ones. */
#define RESTORE_DEPARTED_MAX 64

struct departed_member {
	hm_id endpoint;
	uint64_t started;
};

struct store_restore {
	struct departed_member departed[RESTORE_DEPARTED_MAX];
	/**
	 * Number of members ever recorded. @a departed is a ring buffer, in
	 * which the newest overwrite the oldest.
	 */
	uint32_t departed_count;
	struct site_members withheld; /**< outdated entries, not in use */
	hm_time filter_until; /**< outdated entries are withheld until then */
};

void store_restore_free(struct store_restore *r);
/** Remembers a member whose entry has been missing for too long. */
void store_restore_departed(struct store_restore *r,
			    const struct site_member *m);
/** Starts withholding entries: the store was restored from an older copy. */
void store_restore_begin(struct store_restore *r, hm_time now);
/**
 * Compares a new list with @a known, the one in force or NULL. Moves outdated
 * entries from @a list to @a r. Sets the leaving flag of every member that
 * was leaving before and has not restarted since.
 */
void store_restore_filter(struct store_restore *r,
			  const struct site_members *known,
			  struct site_members *list, hm_time now);
/**
 * When the filter time is over, adds the withheld entries to @a list, except
 * those whose member has another entry there.
 * @return whether the list has changed
 */
bool store_restore_settle(struct store_restore *r, struct site_members *list,
			  hm_time now);

#endif
