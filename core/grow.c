/** @file grow.c Growth of arrays that elements are appended to. */
#include "grow.h"

#include <stdlib.h>

#define FIRST_CAPACITY 16 /* elements */

void *grow_list(void *list, uint32_t count, uint32_t *capacity, size_t size)
{
	if (count < *capacity)
		return list;
	*capacity = *capacity ? *capacity * 2 : FIRST_CAPACITY;
	list = realloc(list, *capacity * size);
	if (!list)
		abort();
	return list;
}
