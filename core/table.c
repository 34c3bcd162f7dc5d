/** @file table.c Hash table with linear probing and backward-shift deletion. */
#include "table.h"

#include <stdlib.h>

#define TABLE_CAPACITY_FIRST 16

static uint64_t hash(uint64_t x)
{
	x ^= x >> 33;
	x *= 0xff51afd7ed558ccdULL;
	x ^= x >> 33;
	x *= 0xc4ceb9fe1a85ec53ULL;
	x ^= x >> 33;
	return x;
}

static uint32_t find_index(const struct table *t, uint64_t key)
{
	uint32_t i = (uint32_t)hash(key) & (t->capacity - 1);

	while (t->values[i] != TABLE_NONE && t->keys[i] != key)
		i = (i + 1) & (t->capacity - 1);
	return i;
}

static bool grow(struct table *t)
{
	struct table grown = { 0 };
	uint32_t i;

	grown.capacity = t->capacity ? t->capacity * 2 : TABLE_CAPACITY_FIRST;
	grown.keys = malloc(grown.capacity * sizeof(*grown.keys));
	grown.values = malloc(grown.capacity * sizeof(*grown.values));
	if (!grown.keys || !grown.values) {
		table_free(&grown);
		return false;
	}
	for (i = 0; i < grown.capacity; i++)
		grown.values[i] = TABLE_NONE;
	for (i = 0; i < t->capacity; i++)
		if (t->values[i] != TABLE_NONE)
			table_put(&grown, t->keys[i], t->values[i]);
	table_free(t);
	*t = grown;
	return true;
}

void table_free(struct table *t)
{
	free(t->keys);
	free(t->values);
	*t = (struct table){ 0 };
}

uint32_t table_get(const struct table *t, uint64_t key)
{
	if (!t->capacity)
		return TABLE_NONE;
	return t->values[find_index(t, key)];
}

bool table_put(struct table *t, uint64_t key, uint32_t value)
{
	uint32_t i;

	if (t->count * 4 >= t->capacity * 3 && !grow(t))
		return false;
	i = find_index(t, key);
	if (t->values[i] == TABLE_NONE) {
		t->keys[i] = key;
		t->count++;
	}
	t->values[i] = value;
	return true;
}

void table_remove(struct table *t, uint64_t key)
{
	uint32_t mask = t->capacity - 1;
	uint32_t hole, i;

	if (!t->capacity)
		return;
	hole = find_index(t, key);
	if (t->values[hole] == TABLE_NONE)
		return;
	t->count--;
	for (i = (hole + 1) & mask; t->values[i] != TABLE_NONE;
	     i = (i + 1) & mask) {
		uint32_t ideal = (uint32_t)hash(t->keys[i]) & mask;

		if (((i - ideal) & mask) < ((i - hole) & mask))
			continue;
		t->keys[hole] = t->keys[i];
		t->values[hole] = t->values[i];
		hole = i;
	}
	t->values[hole] = TABLE_NONE;
}
