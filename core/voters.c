/** @file voters.c Sets of voters. */
#include "voters.h"

#include <stdio.h>

int voters_find(const struct voters *v, hm_id endpoint, uint64_t started)
{
	uint32_t i;

	for (i = 0; i < v->count; i++)
		if (v->list[i].endpoint == endpoint &&
		    v->list[i].started == started)
			return (int)i;
	return -1;
}

bool voters_update(struct voters *held, const struct voters *from)
{
	if (!voters_known(from) ||
	    store_version_compare(from->at, held->at) <= 0)
		return false;
	*held = *from;
	return true;
}

bool voter_record_add(struct voter_record *r, hm_id endpoint, uint64_t started,
		      const char *name, const char *address)
{
	struct voters *v = &r->voters;
	struct voter_contact *c;

	if (v->count == VOTERS_MAX)
		return false;
	c = &r->contacts[v->count];
	v->list[v->count++] = (struct voter){ endpoint, started };
	snprintf(c->name, sizeof(c->name), "%s", name);
	snprintf(c->address, sizeof(c->address), "%s", address);
	return true;
}

void voter_record_remove(struct voter_record *r, uint32_t index)
{
	uint32_t last = --r->voters.count;

	r->voters.list[index] = r->voters.list[last];
	r->contacts[index] = r->contacts[last];
}
