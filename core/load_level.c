/** @file load_level.c Closes and opens the load levels of a member. */
#include "load_level.h"

/* Consecutive reports above the slack that close a level. */
#define REPORTS_TO_CLOSE 2
/* A wait of more than this many times the slack closes a level at once. */
#define CLOSE_AT_ONCE 2
/* A wait below the slack divided by this opens a level. */
#define OPEN_DIVISOR 2
/* The average execution time moves by this part of the difference. */
#define EXECUTING_DIVISOR 16

static bool is_fresh(const struct load_state *l, uint64_t owner, hm_time now)
{
	return l->reported_at && l->owner == owner &&
	       now - l->reported_at <= LOAD_REPORT_VALID;
}

static void update_level(struct load_level *v, hm_time wait, hm_time slack)
{
	if (slack <= 0 || wait < slack / OPEN_DIVISOR) {
		*v = (struct load_level){ 0 };
		return;
	}
	if (wait <= slack) {
		v->over = 0;
		return;
	}
	v->over++;
	if (v->over >= REPORTS_TO_CLOSE || wait > slack * CLOSE_AT_ONCE)
		v->closed = true;
}

uint32_t load_take_report(struct load_state *l, const struct load_report *r,
			  hm_time now)
{
	bool fresh = is_fresh(l, r->owner, now);
	uint32_t changed = 0, i;

	for (i = 0; i < PRIORITY_LEVELS; i++) {
		struct load_level *v = &l->levels[i];
		bool was = v->closed;

		/* Older reports opened it by their age, see above. */
		if (!fresh)
			*v = (struct load_level){ 0 };
		update_level(v, r->wait[i], r->slack[i]);
		l->wait[i] = r->wait[i];
		l->slack[i] = r->slack[i];
		changed |= (uint32_t)(v->closed != was) << i;
	}
	l->owner = r->owner;
	l->reported_at = now;
	return changed;
}

bool load_is_closed(const struct load_state *l, uint64_t owner, uint32_t level,
		    hm_time now)
{
	return l->levels[level].closed && is_fresh(l, owner, now);
}

hm_time load_wait(const struct load_state *l, uint64_t owner, uint32_t level,
		  hm_time now)
{
	return is_fresh(l, owner, now) ? l->wait[level] : -1;
}

void load_add_executing(struct load_state *l, uint32_t level, hm_time took)
{
	hm_time *average = &l->executing[level];

	if (took < 0)
		took = 0;
	*average += (took - *average) / EXECUTING_DIVISOR;
}

hm_time load_slack(const struct load_state *l, uint32_t level, hm_time target)
{
	hm_time most = target / 2;
	hm_time expected = l->executing[level];

	return target - (expected < most ? expected : most);
}

enum load_verdict load_admit(struct load_state *l, uint64_t owner,
			     uint32_t level, bool returns, hm_time now)
{
	struct load_level *v = &l->levels[level];

	if (!load_is_closed(l, owner, level, now))
		return LOAD_OPEN;
	if (returns && l->wait[level] <= l->slack[level])
		return LOAD_RETURNS;
	return ++v->met % LOAD_PROBE_EVERY ? LOAD_REFUSED : LOAD_PROBE;
}
