/**
 * @file names.h
 * IDs derived from names, hashes of API keys, and a map from IDs back to names
 * for log lines.
 */
#ifndef NAMES_H
#define NAMES_H

#include "../core/types.h"

/** ID of a name: a hash of the name, the same in all instances and never 0. */
hm_id name_id(const char *name);
/** Hash of a client's API key; the key itself is not stored anywhere. */
struct key_id key_hash(const char *key, size_t bytes);
/** Writes a key hash as 32 hexadecimal digits and a NUL. */
void key_text(struct key_id key, char out[33]);
/** Parses the text form written by key_text(); false if malformed. */
bool key_parse(const char *text, struct key_id *out);
/** A random non-zero number, for incarnations and random seeds. */
uint64_t random_id(void);

/** Map from ID to name. Not thread-safe. */
struct names;
struct names *names_new(void);
void names_free(struct names *n);
void names_add(struct names *n, const char *name);
/** Another name with the ID of @a name that was added before; NULL: none. */
const char *names_conflict(const struct names *n, const char *name);
/** Name of @a id; "-" for 0, "?" if unknown. */
const char *names_find(const struct names *n, hm_id id);

#endif
