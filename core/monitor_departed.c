/** @file monitor_departed.c Departed members and commits only they may have. */
#include "monitor_state.h"

#include <stdio.h>

static void drop(struct monitor *k, uint32_t index)
{
	k->departed[index] = k->departed[--k->departed_count];
}

void departed_add(struct monitor *k, const struct monitored_member *m)
{
	struct departed *d;

	if (k->departed_count == DEPARTED_MAX)
		drop(k, 0); /* the oldest, or one that drop() put there */
	d = &k->departed[k->departed_count++];
	*d = (struct departed){ .endpoint = m->spec.endpoint,
				.order = ++k->order };
	d->was_primary = k->primary ? k->primary == m->spec.endpoint
				    : m->spec.registered_primary;
	snprintf(d->name, sizeof(d->name), "%s", m->spec.name);
}

void departed_remove(struct monitor *k, hm_id endpoint)
{
	uint32_t i = k->departed_count;

	while (i-- > 0)
		if (k->departed[i].endpoint == endpoint)
			drop(k, i);
}

void departed_note_primary(struct monitor *k,
			   const struct monitored_member *primary)
{
	uint32_t i;

	for (i = 0; i < k->departed_count; i++)
		if (!k->departed[i].needed.term &&
		    k->departed[i].order < primary->primary_order)
			k->departed[i].needed = primary->primary_pos;
}

void departed_note_received(struct monitor *k, struct log_pos received)
{
	uint32_t i = k->departed_count;

	while (i-- > 0)
		if (k->departed[i].needed.term &&
		    log_pos_compare(received, k->departed[i].needed) >= 0)
			drop(k, i);
}

bool departed_block_promotion(const struct monitor *k)
{
	uint32_t i;

	for (i = 0; i < k->departed_count; i++)
		if (!k->departed[i].was_primary)
			return true;
	return false;
}
