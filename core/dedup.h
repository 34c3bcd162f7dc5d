/**
 * @file dedup.h
 * Deduplication table of the forwarded statements that an endpoint's owner has
 * accepted: a repeated statement gets the same result and never runs again.
 * A statement is identified by request, attempt and endpoint.
 */
#ifndef DEDUP_H
#define DEDUP_H

#include "core.h"
#include "table.h"

#define DEDUP_MAX 65536

/** One accepted statement and, once it ended, its result. */
struct dedup_entry {
	struct rid id;
	uint32_t attempt;
	hm_id endpoint;
	bool used;
	bool ended;
	uint64_t reply_to;
	hm_time expires_at;
	struct result result;
};

struct dedup_table {
	struct dedup_entry *list;
	uint32_t capacity;
	uint32_t count;
	uint32_t cursor; /**< where the search for an unused entry starts */
	struct table by_id;
	bool disabled; /**< mutation tests: GUARD_DEDUP is switched off */
};

void dedup_free(struct dedup_table *l);
/**
 * Entry of an accepted statement; NULL when the statement is new or its entry
 * has been removed by dedup_expire().
 */
struct dedup_entry *dedup_find(struct dedup_table *l, struct rid id,
			       uint32_t attempt, hm_id endpoint);
/** Same as dedup_find() for an arriving statement; NULL while disabled. */
struct dedup_entry *dedup_find_repeat(struct dedup_table *l, struct rid id,
				      uint32_t attempt, hm_id endpoint);
/** Adds a statement; NULL when the table has DEDUP_MAX entries. */
struct dedup_entry *dedup_add(struct dedup_table *l, struct rid id,
			      uint32_t attempt, hm_id endpoint);
/** Removes entries that have ended and expired. */
void dedup_expire(struct dedup_table *l, hm_time now);

#endif
