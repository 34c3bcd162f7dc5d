/**
 * @file bodies.h
 * Store for the bodies of statements and answers. The core handles them only
 * by ID and never reads their contents. A body is JSON text:
 *
 *	statement: {"sql": "...", "params": [...]}
 *	answer:    {"columns": [...], "rows": [[...]], "affected": n}
 *	error:     {"sqlstate": "...", "message": "..."}
 *
 * Not thread-safe. Bodies that nobody removes are removed when they expire.
 */
#ifndef BODIES_H
#define BODIES_H

#include <glib.h>

#include "../core/types.h"

struct bodies;

struct bodies *bodies_new(void);
void bodies_free(struct bodies *b);
/**
 * Stores a reference to @a bytes, which expires at @a until; returns the ID of
 * the body, never 0.
 */
uint64_t bodies_put(struct bodies *b, GBytes *bytes, hm_time until);
/** Returns the body with ID @a id, borrowed; NULL if there is none. */
GBytes *bodies_get(const struct bodies *b, uint64_t id);
void bodies_drop(struct bodies *b, uint64_t id);
/** Removes all bodies that have expired by @a now. */
void bodies_expire(struct bodies *b, hm_time now);
uint32_t bodies_count(const struct bodies *b);

#endif
