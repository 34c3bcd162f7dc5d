/**
 * @file bodies.h
 * Opaque contents of statements and answers, held beside the decisions that
 * see a number only. A body is JSON text:
 *
 *	statement: {"sql": "...", "params": [...]}
 *	answer:    {"columns": [...], "rows": [[...]], "affected": n}
 *	error:     {"sqlstate": "...", "message": "..."}
 *
 * Not shared between threads. Bodies that nobody takes are dropped after a
 * deadline.
 */
#ifndef BODIES_H
#define BODIES_H

#include <glib.h>

#include "../core/types.h"

struct bodies;

struct bodies *bodies_new(void);
void bodies_free(struct bodies *b);
/** Stores @a bytes, takes a reference; never 0. Kept until @a until. */
uint64_t bodies_put(struct bodies *b, GBytes *bytes, hm_time until);
/** Borrowed; NULL when unknown. */
GBytes *bodies_get(const struct bodies *b, uint64_t id);
void bodies_drop(struct bodies *b, uint64_t id);
/** Drops all bodies whose deadline passed. */
void bodies_expire(struct bodies *b, hm_time now);
uint32_t bodies_count(const struct bodies *b);

#endif
