/**
 * @file table.h
 * Hash table from 64-bit identifiers to 32-bit handles, open addressing.
 */
#ifndef TABLE_H
#define TABLE_H

#include <stdbool.h>
#include <stdint.h>

#define TABLE_NONE UINT32_MAX

struct table {
	uint64_t *keys;
	uint32_t *values; /**< handles; TABLE_NONE marks an unused entry */
	uint32_t count;
	uint32_t capacity;
};

/** Frees the memory; an all-zero table is empty and valid. */
void table_free(struct table *t);
/** Returns the handle of @a key, TABLE_NONE when absent. */
uint32_t table_get(const struct table *t, uint64_t key);
/** Sets the handle of @a key; false when out of memory. */
bool table_put(struct table *t, uint64_t key, uint32_t value);
/** Removes @a key if present. */
void table_remove(struct table *t, uint64_t key);

#endif
