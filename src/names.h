/**
 * @file names.h
 * Identifiers from names, hashes of keys, and the reverse map for logs.
 */
#ifndef NAMES_H
#define NAMES_H

#include "../core/types.h"

/** Stable identifier of a name, never 0. */
hm_id name_id(const char *name);
/** Hash of a caller's key; the key is not kept. */
struct key_id key_hash(const char *key, size_t bytes);
/** Writes 32 hexadecimal digits and a NUL. */
void key_text(struct key_id key, char out[33]);
/** Parses 32 hexadecimal digits. */
bool key_parse(const char *text, struct key_id *out);
/** A random non-zero number for lives and seeds. */
uint64_t random_id(void);

/** Map from identifier to name. Not shared between threads. */
struct names;
struct names *names_new(void);
void names_free(struct names *n);
void names_learn(struct names *n, const char *name);
/** Name of @a id; "-" for 0, "?" when unknown. */
const char *names_find(const struct names *n, hm_id id);

#endif
