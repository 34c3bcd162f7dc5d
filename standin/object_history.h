/**
 * @file object_history.h
 * Objects of a stand-in store and the changes that made them what they are,
 * so that the store can come back from an older copy. Not thread safe.
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
	json_t *spec; /**< NULL when it is gone */
};

/** In which order the outside writes that were lost are repeated. */
enum external_order { EXTERNAL_IN_ORDER, EXTERNAL_REVERSED };

struct object_history *history_new(void);
void history_free(struct object_history *h);
uint64_t history_revision(const struct object_history *h);
uint64_t history_era(const struct object_history *h);
/** NULL when there is none or it is gone. */
const struct stored_object *history_find(const struct object_history *h,
					 const char *kind, const char *name);
/**
 * Writes or, without @a spec, removes an object. @a external: by the operator
 * or a member, who write again what is lost.
 */
const struct stored_object *history_put(struct object_history *h,
					const char *kind, const char *name,
					json_t *spec, bool external);
/** New references: one object, all of a kind, what changed after @a from. */
json_t *history_object(const struct stored_object *o);
json_t *history_list(const struct object_history *h, const char *kind);
json_t *history_events(const struct object_history *h, const char *kind,
		       uint64_t from);
/** Back to the copy of @a revision: later changes are lost, a new era begins. */
void history_restore(struct object_history *h, uint64_t revision);
/** The outside writes lost since, each once. */
void history_rewrite_external(struct object_history *h,
			      enum external_order order);

#endif
