/** @file recent_count.h Number of events in the last second. */
#ifndef RECENT_COUNT_H
#define RECENT_COUNT_H

#include "types.h"

#define RECENT_STEPS 10

/** An all-zero one is empty and valid. */
struct recent_count {
	uint32_t events[RECENT_STEPS]; /**< by time modulo 1 s */
	int64_t step;		       /**< newest step in @a events */
};

void recent_count_add(struct recent_count *r, hm_time now);
/** Events in the last 0.9 to 1 s. */
uint32_t recent_count_get(const struct recent_count *r, hm_time now);

#endif
