/** @file view.c Stores views of a service and samples of its primary. */
#include "view.h"

#include <string.h>

static void add_sample(struct service_state *v, hm_time requested_at,
		       struct log_pos at)
{
	if (v->sample_count &&
	    v->samples[v->sample_count - 1].requested_at >= requested_at)
		return;
	if (v->sample_count == VIEW_SAMPLES) {
		memmove(v->samples, v->samples + 1,
			(VIEW_SAMPLES - 1) * sizeof(v->samples[0]));
		v->sample_count--;
	}
	v->samples[v->sample_count++] =
		(struct view_sample){ requested_at, at };
}

void view_update(struct service_state *v, const struct service_view *from,
		 hm_time now)
{
	if (voters_update(&v->voters, &from->voters))
		v->committed = from->committed;
	if (from->term < v->latest.term)
		return;
	if (from->seq && from->seq == v->seq) {
		v->waiting = false;
		if (from->sample.term)
			add_sample(v, v->requested_at, from->sample);
	}
	v->latest = *from;
	v->received_at = now;
}

bool view_min_position(const struct service_state *v, hm_time max_age,
		       hm_time now, struct log_pos *out)
{
	uint32_t i;

	for (i = 0; i < v->sample_count; i++) {
		if (v->samples[i].requested_at < now - max_age)
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
