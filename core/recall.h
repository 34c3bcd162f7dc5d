/**
 * @file recall.h
 * What an instance remembers of members when the store comes back from an
 * older copy. The copy names members that have left since, calls some ready
 * that were leaving, and has the entries of earlier lives. Such an entry gets
 * no work until the member could have written again, or been removed again.
 */
#ifndef RECALL_H
#define RECALL_H

#include "site_config.h"

/** Members that left are remembered up to this count, the newest ones. */
#define RECALL_LEFT_MAX 64

struct left_member {
	hm_id endpoint;
	uint64_t started;
};

struct recall {
	struct left_member left[RECALL_LEFT_MAX];
	uint32_t left_count;	  /**< so far; the newest are kept */
	struct site_members held; /**< entries that are not believed yet */
	hm_time doubt_until;	  /**< the copy is doubted until then */
};

void recall_free(struct recall *r);
/** A member is gone: its entry has been missing for too long. */
void recall_left(struct recall *r, const struct site_member *m);
/** The store came back from a copy, as a list first shows @a now. */
void recall_begin(struct recall *r, hm_time now);
/**
 * Compares a new list with the one in force, NULL for none: entries that are
 * older than what is known are taken out and kept here, and what was leaving
 * goes on to leave for the rest of its life.
 */
void recall_filter(struct recall *r, const struct site_members *known,
		   struct site_members *list, hm_time now);
/**
 * Puts back, once the doubt is over, entries that are still in the store and
 * whose member is not in @a list by another one.
 * @return whether the list has changed
 */
bool recall_settle(struct recall *r, struct site_members *list, hm_time now);

#endif
