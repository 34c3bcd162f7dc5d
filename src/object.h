/**
 * @file object.h
 * Objects of the platform's API: strict parsing from JSON, and writing.
 */
#ifndef OBJECT_H
#define OBJECT_H

#include <jansson.h>

#include "../core/types.h"

#define OBJECT_NAME_BYTES 128
#define OBJECT_FAULT_BYTES 256

struct object {
	char kind[NAME_BYTES];
	char name[OBJECT_NAME_BYTES];
	uint64_t version;
	bool deleted;
	json_t *value; /**< owned; NULL when deleted */
};

/** Objects of one kind, as the platform had them at @a version. */
struct object_list {
	uint64_t version;
	size_t count;
	struct object *items; /**< owned */
};

/**
 * True for a nonempty name of letters, digits, '.', '_' and '-' that doesn't
 * begin with '.'. Such a name needs no escapes in a URL path.
 */
bool object_name_valid(const char *name);
/**
 * Parses an OBJECT of the protocol described in platform.h. Returns false, with
 * @a out empty, when the JSON is invalid.
 * @param fault receives the error text "PATH: found X, allowed Y" then
 */
bool object_parse(const json_t *json, struct object *out,
		  char fault[OBJECT_FAULT_BYTES]);
/** The object as JSON, as a new reference that the caller owns. */
json_t *object_json(const struct object *o);
/** Releases the value and zeroes the object. */
void object_clear(struct object *o);

/**
 * Parses a list {"version", "items"} of objects; reports errors as
 * object_parse() does.
 */
bool object_list_parse(const json_t *json, struct object_list *out,
		       char fault[OBJECT_FAULT_BYTES]);
void object_list_clear(struct object_list *l);

#endif
