/** @file dedup.c Table of accepted forwarded statements. */
#include "dedup.h"

#include <stdlib.h>
#include <string.h>

#define DEDUP_CAPACITY_FIRST 64

static uint64_t dedup_key(struct rid id, uint32_t attempt, hm_id endpoint)
{
	uint64_t x = id.incarnation ^ (id.seq * 0x9e3779b97f4a7c15ULL);

	return x ^ endpoint ^ ((uint64_t)attempt << 40);
}

static bool matches(const struct dedup_entry *s, struct rid id,
		    uint32_t attempt, hm_id endpoint)
{
	return rid_equal(s->id, id) && s->attempt == attempt &&
	       s->endpoint == endpoint;
}

void dedup_free(struct dedup_table *l)
{
	table_free(&l->by_id);
	free(l->list);
	*l = (struct dedup_table){ 0 };
}

struct dedup_entry *dedup_find(struct dedup_table *l, struct rid id,
			       uint32_t attempt, hm_id endpoint)
{
	uint64_t key = dedup_key(id, attempt, endpoint);
	uint32_t index = table_get(&l->by_id, key);

	if (index == TABLE_NONE)
		return NULL;
	if (!matches(&l->list[index], id, attempt, endpoint))
		return NULL;
	return &l->list[index];
}

struct dedup_entry *dedup_find_repeat(struct dedup_table *l, struct rid id,
				      uint32_t attempt, hm_id endpoint)
{
	if (l->disabled)
		return NULL;
	return dedup_find(l, id, attempt, endpoint);
}

static bool grow(struct dedup_table *l)
{
	uint32_t capacity =
		l->capacity ? l->capacity * 2 : DEDUP_CAPACITY_FIRST;
	struct dedup_entry *list;

	if (capacity > DEDUP_MAX)
		return false;
	list = realloc(l->list, capacity * sizeof(*list));
	if (!list)
		return false;
	memset(list + l->capacity, 0, (capacity - l->capacity) * sizeof(*list));
	l->list = list;
	l->capacity = capacity;
	return true;
}

struct dedup_entry *dedup_add(struct dedup_table *l, struct rid id,
			      uint32_t attempt, hm_id endpoint)
{
	struct dedup_entry *s;

	if (l->count == l->capacity && !grow(l))
		return NULL;
	while (l->list[l->cursor % l->capacity].used)
		l->cursor++;
	l->cursor %= l->capacity;
	if (!table_put(&l->by_id, dedup_key(id, attempt, endpoint), l->cursor))
		return NULL;
	s = &l->list[l->cursor];
	memset(s, 0, sizeof(*s));
	s->used = true;
	s->id = id;
	s->attempt = attempt;
	s->endpoint = endpoint;
	l->count++;
	return s;
}

void dedup_expire(struct dedup_table *l, hm_time now)
{
	uint32_t i;

	for (i = 0; i < l->capacity; i++) {
		struct dedup_entry *s = &l->list[i];

		if (!s->used || !s->ended || s->expires_at > now)
			continue;
		table_remove(&l->by_id,
			     dedup_key(s->id, s->attempt, s->endpoint));
		s->used = false;
		l->count--;
	}
}
