/**
 * @file object_history.h
 * Objects of a stand-in store with the history of their changes, from which
 * the store can be restored to an older revision. Not thread safe.
 */
#ifndef OBJECT_HISTORY_H
#define OBJECT_HISTORY_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct object_history;

/** An object, borrowed until the next change. */
struct stored_object {
	char *kind;
	char *name;
	uint64_t revision;
	json_t *spec; /**< NULL for a deleted object */
};

/** Order in which lost external writes are written again. */
enum external_order { EXTERNAL_IN_ORDER, EXTERNAL_REVERSED };

struct object_history *history_new(void);
void history_free(struct object_history *h);
uint64_t history_revision(const struct object_history *h);
uint64_t history_era(const struct object_history *h);
/** Returns an object; NULL when it does not exist or is deleted. */
const struct stored_object *history_find(const struct object_history *h,
					 const char *kind, const char *name);
/**
 * Writes an object, or deletes it if @a spec is NULL.
 * @param external true for a write of the operator or a member, who repeat it
 * after a restore has lost it
 */
const struct stored_object *history_put(struct object_history *h,
					const char *kind, const char *name,
					json_t *spec, bool external);
/** JSON of one object, as a new reference. */
json_t *history_object(const struct stored_object *o);
/** JSON list of all objects of a kind, as a new reference. */
json_t *history_list(const struct object_history *h, const char *kind);
/** JSON array of the objects changed after @a from, as a new reference. */
json_t *history_events(const struct object_history *h, const char *kind,
		       uint64_t from);
/**
 * Restores the state at @a revision. Later changes are lost and the era, which
 * counts the restores, rises.
 */
void history_restore(struct object_history *h, uint64_t revision);
/**
 * Repeats the external writes that restores have lost, each once, in the given
 * order.
 */
void history_rewrite_external(struct object_history *h,
			      enum external_order order);

#endif
