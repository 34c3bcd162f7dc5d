/** @file evacuation.c Evacuated zones, by reports of the store and of peers. */
#include "evacuation.h"

/* Time in which the operator's lost writes are repeated after a restore. */
#define KEEP_TIME (6 * HM_SEC)

/*
 * Updates @a since; true if the evacuated zones differ from @a before.
 * @param r the report by which they changed, NULL for none
 */
static bool note_change(struct evacuation *e, zone_set before,
			const struct evacuation_report *r, hm_time now)
{
	zone_set zones = evacuation_zones(e);
	uint16_t z;

	for (z = 0; z < ZONES_MAX; z++) {
		if (!(zones & zone_bit(z)))
			e->since[z] = 0;
		else if (!e->since[z])
			e->since[z] = now - (r ? r->age[z] : 0);
	}
	return zones != before;
}

static void take_newer(struct evacuation *e, const struct evacuation_report *r,
		       hm_time now)
{
	bool restored = evacuation_known(e) && r->at.era > e->at.era;

	if (restored && evacuation_zones(e) & ~r->requested) {
		e->kept = evacuation_zones(e);
		e->kept_until = now + KEEP_TIME;
	}
	e->requested = r->requested;
	e->kept &= ~e->requested;
	e->at = r->at;
}

/*
 * Takes requests that a peer keeps from an earlier era, of which this instance
 * may not have heard.
 */
static void take_kept(struct evacuation *e, const struct evacuation_report *r,
		      hm_time now)
{
	zone_set new = r->kept & ~evacuation_zones(e);

	if (r->at.era != e->at.era || !new || r->kept_for <= 0)
		return;
	if (!e->kept || e->kept_until < now + r->kept_for)
		e->kept_until = now + r->kept_for;
	e->kept |= new;
}

bool evacuation_take(struct evacuation *e, const struct evacuation_report *r,
		     hm_time now)
{
	zone_set before = evacuation_zones(e);

	if (!r->at.revision)
		return false;
	if (store_version_compare(r->at, e->at) > 0)
		take_newer(e, r, now);
	take_kept(e, r, now);
	return note_change(e, before, r, now);
}

bool evacuation_tick(struct evacuation *e, hm_time now)
{
	zone_set before = evacuation_zones(e);

	if (!e->kept || now < e->kept_until)
		return false;
	e->kept = 0;
	return note_change(e, before, NULL, now);
}

struct evacuation_report evacuation_report(const struct evacuation *e,
					   hm_time now)
{
	struct evacuation_report r = { .at = e->at, .requested = e->requested };
	uint16_t z;

	for (z = 0; z < ZONES_MAX; z++)
		if (e->since[z])
			r.age[z] = now - e->since[z];
	if (e->kept && now < e->kept_until) {
		r.kept = e->kept;
		r.kept_for = e->kept_until - now;
	}
	return r;
}
