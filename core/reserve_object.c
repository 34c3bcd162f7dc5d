/** @file reserve_object.c The reserves that an object in the store contains. */
#include "reserve_object.h"

#include <stdlib.h>

#include "grow.h"

void reserve_object_add(struct reserve_object *o, hm_id account,
			uint32_t tokens)
{
	o->entries = grow_list(o->entries, o->count, &o->capacity,
			       sizeof(*o->entries));
	o->entries[o->count++] = (struct reserve_entry){ account, tokens };
}

uint32_t reserve_object_tokens(const struct reserve_object *o, hm_id account)
{
	uint32_t i;

	for (i = 0; i < o->count; i++)
		if (o->entries[i].account == account)
			return o->entries[i].tokens;
	return 0;
}

struct reserve_object reserve_object_copy(const struct reserve_object *o)
{
	struct reserve_object copy = *o;
	uint32_t i;

	copy.entries = NULL;
	copy.count = copy.capacity = 0;
	for (i = 0; i < o->count; i++)
		reserve_object_add(&copy, o->entries[i].account,
				   o->entries[i].tokens);
	return copy;
}

void reserve_object_clear(struct reserve_object *o)
{
	free(o->entries);
	*o = (struct reserve_object){ 0 };
}
