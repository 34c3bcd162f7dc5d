/**
 * @file object.h
 * Objects of the platform's API as typed values: strict parsing and writing.
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

/** Objects of one kind as of @a version. */
struct object_list {
	uint64_t version;
	size_t count;
	struct object *items; /**< owned */
};

/** Letters, digits, '.', '_' and '-', so that a path needs no escapes. */
bool object_name_valid(const char *name);
/**
 * Parses an OBJECT of the protocol.
 * @param fault receives "path: found, allowed" when false is returned; @a out
 * is empty then
 */
bool object_parse(const json_t *json, struct object *out,
		  char fault[OBJECT_FAULT_BYTES]);
/** New reference. */
json_t *object_json(const struct object *o);
/** Frees what the object owns and zeroes it. */
void object_clear(struct object *o);

/** Parses {"version", "items"}; same errors as object_parse(). */
bool object_list_parse(const json_t *json, struct object_list *out,
		       char fault[OBJECT_FAULT_BYTES]);
void object_list_clear(struct object_list *l);

#endif
