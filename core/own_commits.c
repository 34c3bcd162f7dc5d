/** @file own_commits.c Commits of one session, by service. */
#include "own_commits.h"

#include <stdlib.h>

static struct own_commit *find(const struct own_commits *o, hm_id service)
{
	uint32_t i;

	for (i = 0; i < o->count; i++)
		if (o->list[i].service == service)
			return &o->list[i];
	return NULL;
}

static struct own_commit *drop_oldest(struct own_commits *o)
{
	struct own_commit *oldest = &o->list[0];
	uint32_t i;

	for (i = 1; i < o->count; i++)
		if (o->list[i].acknowledged_at < oldest->acknowledged_at)
			oldest = &o->list[i];
	if (oldest->acknowledged_at > o->dropped_at)
		o->dropped_at = oldest->acknowledged_at;
	return oldest;
}

static struct own_commit *append(struct own_commits *o)
{
	o->list = realloc(o->list, (o->count + 1) * sizeof(*o->list));
	if (!o->list)
		abort();
	return &o->list[o->count++];
}

void own_commits_clear(struct own_commits *o)
{
	free(o->list);
	*o = (struct own_commits){ 0 };
}

void own_commits_add(struct own_commits *o, const struct own_commit *c)
{
	struct own_commit *to = find(o, c->service);

	if (!to)
		to = o->count == OWN_COMMITS_MAX ? drop_oldest(o) : append(o);
	*to = *c;
}

const struct own_commit *own_commits_find(const struct own_commits *o,
					  hm_id service)
{
	return find(o, service);
}

bool own_commits_dropped(const struct own_commits *o, hm_id service,
			 hm_time since)
{
	return o->dropped_at && o->dropped_at >= since && !find(o, service);
}
