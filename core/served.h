/**
 * @file served.h
 * Orders that a home has taken, so that a repeated order is answered again
 * and never run again. An order is known by request, attempt and endpoint.
 */
#ifndef SERVED_H
#define SERVED_H

#include "core.h"
#include "table.h"

#define SERVED_MAX 65536

/** One order and, once it ended, its result. */
struct served {
	struct rid id;
	uint32_t attempt;
	hm_id endpoint;
	bool used;
	bool ended;
	uint64_t reply_to;
	hm_time forget_at;
	struct result result;
};

struct served_list {
	struct served *list;
	uint32_t room;
	uint32_t count;
	uint32_t cursor; /**< where the last search for a free place ended */
	struct table by_id;
	bool forgetful; /**< mutation tests: GUARD_ONCE is off */
};

void served_free(struct served_list *l);
/** NULL when the order was never taken, or is forgotten. */
struct served *served_find(struct served_list *l, struct rid id,
			   uint32_t attempt, hm_id endpoint);
/** As served_find(), for an order that arrives: it must not run again. */
struct served *served_repeated(struct served_list *l, struct rid id,
			       uint32_t attempt, hm_id endpoint);
/** NULL when SERVED_MAX orders are remembered. */
struct served *served_add(struct served_list *l, struct rid id,
			  uint32_t attempt, hm_id endpoint);
/** Forgets what ended and is past its time. */
void served_expire(struct served_list *l, hm_time now);

#endif
