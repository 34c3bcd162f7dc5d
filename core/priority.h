/**
 * @file priority.h
 * Urgency levels of operations. The configuration gives each route a priority,
 * any number, 0 for the most urgent. Its level is the rank of that priority
 * among the priorities of all routes, so that queues and messages work with a
 * few small numbers.
 */
#ifndef PRIORITY_H
#define PRIORITY_H

#include <stdint.h>

/** Number of levels; level 0 is the most urgent. */
#define PRIORITY_LEVELS 4

/** Limits a level that came from another instance. */
static inline uint32_t priority_level(uint64_t level)
{
	return level < PRIORITY_LEVELS ? (uint32_t)level : PRIORITY_LEVELS - 1;
}

#endif
