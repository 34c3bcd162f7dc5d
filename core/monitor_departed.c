/** @file monitor_departed.c Departed members and commits only they may have. */
#include "monitor_state.h"

#include <stdio.h>

static void drop(struct monitor *k, uint32_t index)
{
	k->departed[index] = k->departed[--k->departed_count];
}

bool departed_is_missing(const struct monitor *k, const struct departed *d)
{
	return d->log_lost || !choice_has_successor(k, d->address, d->started);
}

uint32_t departed_missing_logs(const struct monitor *k)
{
	uint32_t i, n = 0;

	for (i = 0; i < k->departed_count; i++)
		n += departed_is_missing(k, &k->departed[i]);
	return n;
}

/*
 * A departed member whose log is not missing, else any: so many missing logs
 * prevent a promotion also without one of them.
 */
static uint32_t first_to_forget(const struct monitor *k)
{
	uint32_t i;

	for (i = 0; i < k->departed_count; i++)
		if (!departed_is_missing(k, &k->departed[i]))
			return i;
	return 0;
}

void departed_add(struct monitor *k, const struct monitored_member *m,
		  bool log_lost)
{
	struct departed *d;

	if (k->departed_count == DEPARTED_MAX)
		drop(k, first_to_forget(k));
	d = &k->departed[k->departed_count++];
	*d = (struct departed){ .endpoint = m->spec.endpoint,
				.started = m->spec.started,
				.log_lost = log_lost,
				.order = ++k->order };
	snprintf(d->name, sizeof(d->name), "%s", m->spec.name);
	snprintf(d->address, sizeof(d->address), "%s", m->spec.address);
}

void departed_registered(struct monitor *k, const struct site_member *spec)
{
	uint32_t i = k->departed_count;

	while (i-- > 0) {
		struct departed *d = &k->departed[i];

		if (d->endpoint != spec->endpoint)
			continue;
		if (d->started == spec->started && !d->log_lost)
			drop(k, i);
		else
			d->log_lost = true;
	}
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
