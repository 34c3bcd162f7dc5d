/** @file store_restore.c Check of member entries after a store restore. */
#include "store_restore.h"

#include <stdlib.h>

/*
 * How long outdated entries are withheld after a restore.
 * The store removes a silent member's entry after three missed status reports
 * (1.2 s each), and the list in force is at most 2.3 s old.
 */
#define FILTER_TIME (6 * HM_SEC)

void store_restore_free(struct store_restore *r)
{
	free(r->withheld.list);
	*r = (struct store_restore){ 0 };
}

void store_restore_departed(struct store_restore *r,
			    const struct site_member *m)
{
	r->departed[r->departed_count++ % RESTORE_DEPARTED_MAX] =
		(struct departed_member){ m->endpoint, m->started };
}

void store_restore_begin(struct store_restore *r, hm_time now)
{
	r->filter_until = now + FILTER_TIME;
}

static bool has_departed(const struct store_restore *r,
			 const struct site_member *m)
{
	uint32_t i;

	for (i = 0; i < RESTORE_DEPARTED_MAX && i < r->departed_count; i++)
		if (r->departed[i].endpoint == m->endpoint &&
		    r->departed[i].started >= m->started)
			return true;
	return false;
}

/* Whether an entry is older than what is known about its member. */
static bool is_outdated(const struct store_restore *r,
			const struct site_member *known,
			const struct site_member *m)
{
	return known ? m->started < known->started : has_departed(r, m);
}

void store_restore_filter(struct store_restore *r,
			  const struct site_members *known,
			  struct site_members *list, hm_time now)
{
	uint32_t i;

	r->withheld.count = 0;
	for (i = list->count; i-- > 0;) {
		struct site_member *m = &list->list[i];
		const struct site_member *old =
			site_members_find(known, m->endpoint);

		if (now < r->filter_until && is_outdated(r, old, m)) {
			site_members_add(&r->withheld, m);
			*m = list->list[--list->count];
		} else if (old && old->leaving &&
			   !site_member_restarted(old, m)) {
			m->leaving = true;
		}
	}
}

bool store_restore_settle(struct store_restore *r, struct site_members *list,
			  hm_time now)
{
	uint32_t i, before = list ? list->count : 0;

	if (!list || !r->withheld.count || now < r->filter_until)
		return false;
	for (i = 0; i < r->withheld.count; i++)
		if (!site_members_find(list, r->withheld.list[i].endpoint))
			site_members_add(list, &r->withheld.list[i]);
	r->withheld.count = 0;
	return list->count != before;
}
