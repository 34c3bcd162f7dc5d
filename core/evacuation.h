/**
 * @file evacuation.h
 * Evacuated zones: an operator asks that no statements be sent to the members
 * of a zone until the request is withdrawn. The store holds the requests; each
 * instance passes on in its heartbeats what it knows of them. A request stays
 * in force until a newer version of the store lacks it. After the store was
 * restored from an older copy, a request that the copy lacks stays in force for
 * the time in which the operator's write is repeated.
 */
#ifndef EVACUATION_H
#define EVACUATION_H

#include "types.h"

/** What the store or a peer says about evacuated zones. */
struct evacuation_report {
	struct store_version at; /**< revision 0: nothing is known */
	zone_set requested;	 /**< by the store at version @a at */
	/** By an earlier era of the store only, in force until then. */
	zone_set kept;
	hm_time kept_for; /**< remaining time of @a kept */
	/** For each evacuated zone: longest time since the request was made. */
	hm_time age[ZONES_MAX];
};

/** The evacuations in force at an instance; all zero is a valid start. */
struct evacuation {
	struct store_version at;
	zone_set requested;
	zone_set kept;
	hm_time kept_until;
	/** Earliest time of each zone's request, 0: not evacuated. */
	hm_time since[ZONES_MAX];
};

/** Whether any report has been taken; until then nothing is known. */
static inline bool evacuation_known(const struct evacuation *e)
{
	return e->at.revision != 0;
}

/** All zones that are evacuated. */
static inline zone_set evacuation_zones(const struct evacuation *e)
{
	return e->requested | e->kept;
}

/**
 * Takes a report, unless a newer one was taken before.
 * @return whether the evacuated zones have changed
 */
bool evacuation_take(struct evacuation *e, const struct evacuation_report *r,
		     hm_time now);
/** Ends the time of kept requests; returns as evacuation_take(). */
bool evacuation_tick(struct evacuation *e, hm_time now);
/** What this instance knows, for its peers. */
struct evacuation_report evacuation_report(const struct evacuation *e,
					   hm_time now);

#endif
