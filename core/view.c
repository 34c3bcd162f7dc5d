/** @file view.c Samples of a primary's position and views of its members. */
#include "view.h"

#include <string.h>

static void add_sample(struct service_state *v, hm_time asked_at,
		       struct log_pos at)
{
	if (v->sample_count &&
	    v->samples[v->sample_count - 1].asked_at >= asked_at)
		return;
	if (v->sample_count == VIEW_SAMPLES) {
		memmove(v->samples, v->samples + 1,
			(VIEW_SAMPLES - 1) * sizeof(v->samples[0]));
		v->sample_count--;
	}
	v->samples[v->sample_count++] = (struct view_sample){ asked_at, at };
}

void view_take(struct service_state *v, const struct service_view *from,
	       hm_time now)
{
	if (from->term < v->latest.term)
		return;
	if (from->seq && from->seq == v->seq) {
		v->waiting = false;
		if (from->sample.term)
			add_sample(v, v->asked_at, from->sample);
	}
	v->latest = *from;
	v->heard_at = now;
}

bool view_floor(const struct service_state *v, hm_time max_age, hm_time now,
		struct log_pos *out)
{
	uint32_t i;

	for (i = 0; i < v->sample_count; i++) {
		if (v->samples[i].asked_at < now - max_age)
			continue;
		*out = v->samples[i].at;
		return true;
	}
	return false;
}

const struct member_view *view_member(const struct service_state *v,
				      hm_id endpoint)
{
	uint32_t i;

	for (i = 0; i < v->latest.count; i++)
		if (v->latest.members[i].endpoint == endpoint)
			return &v->latest.members[i];
	return NULL;
}
