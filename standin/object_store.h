/**
 * @file object_store.h
 * Stand-in for the store of the users' platform and for its promote call, on
 * one port of loopback: lists, watches, single reads, conditional writes. It
 * can come back from an older copy: its era rises, revisions are given again.
 */
#ifndef OBJECT_STORE_H
#define OBJECT_STORE_H

#include "line_members.h"
#include "object_history.h"

struct object_store;

/** Promote calls go to @a members; NULL when it cannot listen. */
struct object_store *object_store_new(struct line_members *members);
void object_store_free(struct object_store *s);
const char *object_store_address(const struct object_store *s);
/** Writes an object without condition; @a spec is JSON text. */
void object_store_put(struct object_store *s, const char *kind,
		      const char *name, const char *spec);
/** Removes an object, which leaves a tombstone for watches. */
void object_store_remove(struct object_store *s, const char *kind,
			 const char *name);
/** Watches hear nothing while @a deaf, and end as if nothing had happened. */
void object_store_mute_watches(struct object_store *s, bool deaf);
/** Refuses all calls while @a down. */
void object_store_set_down(struct object_store *s, bool down);
/** Lists and reads of @a path are made and answered later; NULL: now. */
void object_store_delay_reads(struct object_store *s, const char *path);
/** Whether an answer is held back so. */
bool object_store_has_delayed(struct object_store *s);
/** Highest token of a promote call so far. */
uint64_t object_store_token(struct object_store *s);
uint64_t object_store_revision(struct object_store *s);
/** Comes back from the copy of a revision; what was written since is gone. */
void object_store_restore(struct object_store *s, uint64_t revision);
/** What the operator and the members wrote is written again. */
void object_store_rewrite_external(struct object_store *s,
				   enum external_order order);

#endif
