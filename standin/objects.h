/**
 * @file objects.h
 * Objects of the stand-in platform. One version counter counts the changes of
 * all objects. Changes are conditional. Stale reads show the state before the
 * last change.
 */
#ifndef OBJECTS_H
#define OBJECTS_H

#include "../src/object.h"

struct objects;

/** Version for an unconditional change. */
#define OBJECTS_ANY UINT64_MAX

struct objects *objects_new(void);
void objects_free(struct objects *o);
/** Version of the last change. */
uint64_t objects_version(const struct objects *o);
/**
 * Sets or deletes one object if its version is @a if_version; 0 means that the
 * object must not exist.
 * @param value borrowed, NULL to delete
 * @return false when the condition does not hold
 */
bool objects_change(struct objects *o, const char *kind, const char *name,
		    uint64_t if_version, json_t *value);
/**
 * JSON of one object as a new reference, NULL when it does not exist.
 * @param stale as before the last change of any object
 */
json_t *objects_get(const struct objects *o, const char *kind, const char *name,
		    bool stale);
/** Like objects_get(), but returns also a deleted object, marked as deleted. */
json_t *objects_get_with_deleted(const struct objects *o, const char *kind,
				 const char *name);
/** JSON list of the objects of @a kind that exist, as a new reference. */
json_t *objects_list(const struct objects *o, const char *kind, bool stale);
/**
 * JSON list of the objects changed or deleted after version @a from, in order
 * of version, as a new reference; NULL when there are none.
 */
json_t *objects_changed_since(const struct objects *o, const char *kind,
			      uint64_t from);

#endif
