/**
 * @file objects.h
 * Objects held by the stand-in platform: one version counter over all of
 * them, conditional changes, and the state before the last change.
 */
#ifndef OBJECTS_H
#define OBJECTS_H

#include "../src/object.h"

struct objects;

/** A change without condition. */
#define OBJECTS_ANY UINT64_MAX

struct objects *objects_new(void);
void objects_free(struct objects *o);
/** Version of the last change. */
uint64_t objects_version(const struct objects *o);
/**
 * Sets or deletes one object if its version is @a if_version, 0 for an
 * object that must not exist.
 * @param value borrowed, NULL to delete
 * @return false when the condition does not hold
 */
bool objects_change(struct objects *o, const char *kind, const char *name,
		    uint64_t if_version, json_t *value);
/** OBJECT as new reference, NULL when absent. */
json_t *objects_get(const struct objects *o, const char *kind, const char *name,
		    bool stale);
/** Like objects_get(), but a deleted object is returned as such. */
json_t *objects_get_with_deleted(const struct objects *o, const char *kind,
				 const char *name);
/** Live objects of @a kind with their version, new reference. */
json_t *objects_list(const struct objects *o, const char *kind, bool stale);
/** Changes and deletes after version @a from, NULL when there are none. */
json_t *objects_changed_since(const struct objects *o, const char *kind,
			      uint64_t from);

#endif
