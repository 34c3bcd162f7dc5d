/**
 * @file replica.h
 * Replication of a stand-in member from the member that it follows. A record
 * arrives after the lag if no fault separates the two. If the logs diverge,
 * the replica first removes its diverging records and rebuilds its database.
 */
#ifndef REPLICA_H
#define REPLICA_H

#include "node.h"

/** Applies the records that have arrived. */
void replica_pull(struct node *n, hm_time now);
/** Time when the next record arrives, HM_NEVER when none does. */
hm_time replica_due(const struct node *n);
/** Copies the database every CHECKPOINT_INTERVAL records, for rebuilds. */
void replica_checkpoint(struct node *n);
void replica_free_checkpoints(struct node *n);

#endif
