/** @file recall.c Members known from before the store came back. */
#include "recall.h"

#include <stdlib.h>

/*
 * A silent member's entry is removed after three status reports (1.2 s each),
 * and a list is 2.3 s old at most.
 */
#define DOUBT_TIME (6 * HM_SEC)

void recall_free(struct recall *r)
{
	free(r->held.list);
	*r = (struct recall){ 0 };
}

void recall_left(struct recall *r, const struct site_member *m)
{
	r->left[r->left_count++ % RECALL_LEFT_MAX] =
		(struct left_member){ m->endpoint, m->started };
}

void recall_begin(struct recall *r, hm_time now)
{
	r->doubt_until = now + DOUBT_TIME;
}

static bool has_left(const struct recall *r, const struct site_member *m)
{
	uint32_t i;

	for (i = 0; i < RECALL_LEFT_MAX && i < r->left_count; i++)
		if (r->left[i].endpoint == m->endpoint &&
		    r->left[i].started >= m->started)
			return true;
	return false;
}

/* Whether more is known of a member than its entry in the copy tells. */
static bool is_outdated(const struct recall *r, const struct site_member *known,
			const struct site_member *m)
{
	return known ? m->started < known->started : has_left(r, m);
}

void recall_filter(struct recall *r, const struct site_members *known,
		   struct site_members *list, hm_time now)
{
	uint32_t i;

	r->held.count = 0;
	for (i = list->count; i-- > 0;) {
		struct site_member *m = &list->list[i];
		const struct site_member *old =
			site_members_find(known, m->endpoint);

		if (now < r->doubt_until && is_outdated(r, old, m)) {
			site_members_add(&r->held, m);
			*m = list->list[--list->count];
		} else if (old && old->leaving && !site_member_reborn(old, m)) {
			m->leaving = true;
		}
	}
}

bool recall_settle(struct recall *r, struct site_members *list, hm_time now)
{
	uint32_t i, before = list ? list->count : 0;

	if (!list || !r->held.count || now < r->doubt_until)
		return false;
	for (i = 0; i < r->held.count; i++)
		if (!site_members_find(list, r->held.list[i].endpoint))
			site_members_add(list, &r->held.list[i]);
	r->held.count = 0;
	return list->count != before;
}
