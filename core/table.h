/**
 * @file table.h
 * Map from 64-bit identifier to 32-bit handle, open addressing.
 */
#ifndef TABLE_H
#define TABLE_H

#include <stdbool.h>
#include <stdint.h>

#define TABLE_NONE UINT32_MAX

struct table {
	uint64_t *keys;
	uint32_t *values; /**< TABLE_NONE marks a free place */
	uint32_t count;
	uint32_t capacity;
};

/** An all-zero table is empty and valid. */
void table_free(struct table *t);
/** Handle of @a key, TABLE_NONE when absent. */
uint32_t table_get(const struct table *t, uint64_t key);
/** Sets the handle of @a key; false when memory is short. */
bool table_put(struct table *t, uint64_t key, uint32_t value);
/** Removes @a key if present. */
void table_remove(struct table *t, uint64_t key);

#endif
