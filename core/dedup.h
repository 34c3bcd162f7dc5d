/**
 * @file dedup.h
 * Orders that a home has taken, so that a repeated order is answered again
 * and never run again. An order is known by request, attempt and endpoint.
 */
#ifndef DEDUP_H
#define DEDUP_H

#include "core.h"
#include "table.h"

#define DEDUP_MAX 65536

/** One order and, once it ended, its result. */
struct served {
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
	struct served *list;
	uint32_t capacity;
	uint32_t count;
	uint32_t cursor; /**< where the last search for a free place ended */
	struct table by_id;
	bool disabled; /**< mutation tests: GUARD_DEDUP is off */
};

void dedup_free(struct dedup_table *l);
/** NULL when the order was never taken, or is forgotten. */
struct served *dedup_find(struct dedup_table *l, struct rid id,
			  uint32_t attempt, hm_id endpoint);
/** As dedup_find(), for an order that arrives: it must not run again. */
struct served *dedup_find_repeat(struct dedup_table *l, struct rid id,
				 uint32_t attempt, hm_id endpoint);
/** NULL when DEDUP_MAX orders are remembered. */
struct served *dedup_add(struct dedup_table *l, struct rid id, uint32_t attempt,
			 hm_id endpoint);
/** Forgets what ended and is past its time. */
void dedup_expire(struct dedup_table *l, hm_time now);

#endif
