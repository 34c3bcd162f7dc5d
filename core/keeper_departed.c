/** @file keeper_departed.c Members that are gone, and what they may have had. */
#include "keeper_state.h"

#include <stdio.h>

static void drop(struct keeper *k, uint32_t index)
{
	k->departed[index] = k->departed[--k->departed_count];
}

void departed_add(struct keeper *k, const struct kept_member *m)
{
	struct departed *d;

	if (k->departed_count == DEPARTED_MAX)
		drop(k, 0); /* the one missed for the longest time */
	d = &k->departed[k->departed_count++];
	*d = (struct departed){ .endpoint = m->spec.endpoint,
				.order = ++k->order };
	d->was_primary = k->primary ? k->primary == m->spec.endpoint
				    : m->spec.says_primary;
	snprintf(d->name, sizeof(d->name), "%s", m->spec.name);
}

void departed_back(struct keeper *k, hm_id endpoint)
{
	uint32_t i = k->departed_count;

	while (i-- > 0)
		if (k->departed[i].endpoint == endpoint)
			drop(k, i);
}

void departed_lead(struct keeper *k, const struct kept_member *primary)
{
	uint32_t i;

	for (i = 0; i < k->departed_count; i++)
		if (!k->departed[i].needed.term &&
		    k->departed[i].order < primary->lead_order)
			k->departed[i].needed = primary->lead_at;
}

void departed_received(struct keeper *k, struct log_pos received)
{
	uint32_t i = k->departed_count;

	while (i-- > 0)
		if (k->departed[i].needed.term &&
		    log_pos_compare(received, k->departed[i].needed) >= 0)
			drop(k, i);
}

bool departed_matter(const struct keeper *k)
{
	uint32_t i;

	for (i = 0; i < k->departed_count; i++)
		if (!k->departed[i].was_primary)
			return true;
	return false;
}
