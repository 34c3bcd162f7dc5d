/** @file served.c Orders taken by the homes of an instance. */
#include "served.h"

#include <stdlib.h>
#include <string.h>

#define SERVED_ROOM_FIRST 64

static uint64_t order_key(struct rid id, uint32_t attempt, hm_id endpoint)
{
	uint64_t x = id.life ^ (id.seq * 0x9e3779b97f4a7c15ULL);

	return x ^ endpoint ^ ((uint64_t)attempt << 40);
}

static bool is_order(const struct served *s, struct rid id, uint32_t attempt,
		     hm_id endpoint)
{
	return rid_equal(s->id, id) && s->attempt == attempt &&
	       s->endpoint == endpoint;
}

void served_free(struct served_list *l)
{
	table_free(&l->by_id);
	free(l->list);
	*l = (struct served_list){ 0 };
}

struct served *served_find(struct served_list *l, struct rid id,
			   uint32_t attempt, hm_id endpoint)
{
	uint64_t key = order_key(id, attempt, endpoint);
	uint32_t place = table_get(&l->by_id, key);

	if (place == TABLE_NONE)
		return NULL;
	if (!is_order(&l->list[place], id, attempt, endpoint))
		return NULL;
	return &l->list[place];
}

struct served *served_repeated(struct served_list *l, struct rid id,
			       uint32_t attempt, hm_id endpoint)
{
	if (l->forgetful)
		return NULL;
	return served_find(l, id, attempt, endpoint);
}

static bool grow(struct served_list *l)
{
	uint32_t room = l->room ? l->room * 2 : SERVED_ROOM_FIRST;
	struct served *list;

	if (room > SERVED_MAX)
		return false;
	list = realloc(l->list, room * sizeof(*list));
	if (!list)
		return false;
	memset(list + l->room, 0, (room - l->room) * sizeof(*list));
	l->list = list;
	l->room = room;
	return true;
}

struct served *served_add(struct served_list *l, struct rid id,
			  uint32_t attempt, hm_id endpoint)
{
	struct served *s;

	if (l->count == l->room && !grow(l))
		return NULL;
	while (l->list[l->cursor % l->room].used)
		l->cursor++;
	l->cursor %= l->room;
	if (!table_put(&l->by_id, order_key(id, attempt, endpoint), l->cursor))
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

void served_expire(struct served_list *l, hm_time now)
{
	uint32_t i;

	for (i = 0; i < l->room; i++) {
		struct served *s = &l->list[i];

		if (!s->used || !s->ended || s->forget_at > now)
			continue;
		table_remove(&l->by_id,
			     order_key(s->id, s->attempt, s->endpoint));
		s->used = false;
		l->count--;
	}
}
