/**
 * @file failover.h
 * Failover of one database group. The instance that runs it is the coordinator:
 * it suspects the primary, fences a majority of the members under a new term,
 * promotes the fenced member with the most advanced log by (term, position) and
 * makes the others follow it. A member promises a term to one coordinator only,
 * so two coordinators cannot both succeed, and the platform is not needed. Each
 * control command may be lost, repeated or late.
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

/**
 * Sets which instance owns an endpoint: @a incarnation is that instance's
 * incarnation. Call it for every endpoint before each failover_tick().
 */
void failover_set_owner(struct failover *f, hm_id endpoint,
			uint64_t incarnation);
/**
 * Handles a state report that arrived from incarnation @a from: a broadcast or
 * the reply to a control command.
 */
void failover_report(struct failover *f, const struct state_report *r,
		     uint64_t from, hm_time now, struct actions *actions);
/** Starts a failover if there is cause for one, or continues the one begun. */
void failover_tick(struct failover *f, hm_time now, struct actions *actions);
/** Number of promotions that this instance completed. */
uint64_t failover_promotions(const struct failover *f);
/** Starts no more failovers; one that has begun to fence is finished. */
void failover_stop(struct failover *f);

#endif
