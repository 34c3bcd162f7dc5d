/**
 * @file ownership.h
 * Ownership of endpoints, the part of owner.h that takes them over, probes them
 * and hands them over.
 */
#ifndef OWNERSHIP_H
#define OWNERSHIP_H

#include "state.h"

/** Probes one endpoint; drains it when another instance is to own it. */
void ownership_tick(struct core *c, struct database *d, struct member *m,
		    hm_time now, struct actions *actions);

#endif
