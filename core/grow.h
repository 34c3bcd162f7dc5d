/** @file grow.h Growth of arrays that elements are appended to. */
#ifndef GROW_H
#define GROW_H

#include <stddef.h>
#include <stdint.h>

/**
 * Makes room for one more element; ends the process when out of memory.
 * @param count elements in use
 * @param capacity is updated
 * @param size of an element
 * @return the array, which may have moved
 */
void *grow_list(void *list, uint32_t count, uint32_t *capacity, size_t size);

#endif
