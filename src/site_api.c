/** @file site_api.c Frees objects read from a store. */
#include "site_api.h"

#include <stdlib.h>

void store_object_clear(struct store_object *o)
{
	json_decref(o->value);
	*o = (struct store_object){ 0 };
}

void store_objects_clear(struct store_objects *o)
{
	size_t i;

	for (i = 0; i < o->count; i++)
		store_object_clear(&o->list[i]);
	g_free(o->list);
	*o = (struct store_objects){ 0 };
}
