/**
 * @file failover.h
 * Orders the change of primary of one group: suspects, fences a majority,
 * picks the log furthest along by (term, position), promotes, and makes the
 * others follow. Members arbitrate, so two orderers cannot both succeed, and
 * the platform is not needed. Each step may be lost, repeated or late.
 */
#ifndef FAILOVER_H
#define FAILOVER_H

#include "group.h"
#include "peers.h"

struct failover;

struct failover *failover_new(const struct core_options *options,
			      const struct peers *peers, struct group *group,
			      hm_time now);
void failover_free(struct failover *f);

/** Home of each endpoint, as known here; set before ticks. */
void failover_set_owner(struct failover *f, hm_id endpoint, uint64_t life);
/** Reports of all members, broadcasts and answers to control steps. */
void failover_report(struct failover *f, const struct state_report *r,
		     uint64_t from, hm_time now, struct actions *actions);
void failover_tick(struct failover *f, hm_time now, struct actions *actions);
/** Number of promotions that this instance completed. */
uint64_t failover_promotions(const struct failover *f);
/** Stops ordering new promotions; a started one is finished. */
void failover_stop(struct failover *f);

#endif
