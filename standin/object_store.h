/**
 * @file object_store.h Stand-in for the object store of the users' platform and
 * for the platform's promote call, on one loopback port: lists, watches, single
 * reads, conditional writes. The store can be restored to an older revision.
 * Each restore raises the store's era, a number that tells apart the changes
 * before and after a restore, because later changes use the lost revision
 * numbers again.
 */
#ifndef OBJECT_STORE_H
#define OBJECT_STORE_H

#include "line_members.h"
#include "object_history.h"

struct object_store;

/** Starts the store; promote calls go to @a members. NULL on failure. */
struct object_store *object_store_new(struct line_members *members);
void object_store_free(struct object_store *s);
const char *object_store_address(const struct object_store *s);
/** Writes an object unconditionally; @a spec is JSON text. */
void object_store_put(struct object_store *s, const char *kind,
		      const char *name, const char *spec);
/**
 * Writes an object whose spec is @a raw, returned byte for byte in each answer;
 * it need not be valid JSON.
 */
void object_store_put_raw(struct object_store *s, const char *kind,
			  const char *name, const char *raw);
/** Limits the objects on a page of a list, 0: no limit. */
void object_store_set_page(struct object_store *s, size_t objects);
/** Deletes an object; watches get a tombstone. */
void object_store_remove(struct object_store *s, const char *kind,
			 const char *name);
/** While @a muted, watches report no events and end as if nothing changed. */
void object_store_mute_watches(struct object_store *s, bool muted);
/** The connections that are open get no answer any more; new ones work. */
void object_store_silence_connections(struct object_store *s);
/** While @a down, every call is answered with status 503. */
void object_store_set_down(struct object_store *s, bool down);
/**
 * Delays the answers to lists and reads whose path contains @a path, until this
 * function is called again; NULL delays none. A delayed answer shows the state
 * at the time of its request.
 */
void object_store_delay_reads(struct object_store *s, const char *path);
/** Whether an answer is being delayed. */
bool object_store_has_delayed(struct object_store *s);
/** Highest fencing token of all promote calls so far. */
uint64_t object_store_token(struct object_store *s);
uint64_t object_store_revision(struct object_store *s);
/** Restores the store to a revision; later writes are lost. */
void object_store_restore(struct object_store *s, uint64_t revision);
/**
 * Repeats the writes of the operator and the members that restores have lost,
 * in the given order.
 */
void object_store_rewrite_external(struct object_store *s,
				   enum external_order order);

#endif
