/** @file recent_count.c Number of events in the last second. */
#include "recent_count.h"

#define STEP (HM_SEC / RECENT_STEPS)

void recent_count_add(struct recent_count *r, hm_time now)
{
	int64_t step = now / STEP;

	if (step - r->step > RECENT_STEPS)
		r->step = step - RECENT_STEPS;
	while (r->step < step)
		r->events[++r->step % RECENT_STEPS] = 0;
	r->events[r->step % RECENT_STEPS]++;
}

uint32_t recent_count_get(const struct recent_count *r, hm_time now)
{
	int64_t step = now / STEP, i;
	uint32_t n = 0;

	for (i = r->step; i > r->step - RECENT_STEPS && i >= 0; i--)
		if (i > step - RECENT_STEPS)
			n += r->events[i % RECENT_STEPS];
	return n;
}
