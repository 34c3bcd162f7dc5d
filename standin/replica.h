/**
 * @file replica.h
 * Replication of a stand-in member from the one that it follows: records
 * arrive after the lag while both are linked; a tail that the source's log
 * contradicts is cut off first, and the database made anew without it.
 */
#ifndef REPLICA_H
#define REPLICA_H

#include "node.h"

/** Takes over what has arrived. */
void replica_pull(struct node *n, hm_time now);
/** When the next record arrives, HM_NEVER when none does. */
hm_time replica_due(const struct node *n);
/** Keeps a copy of the database now and then, to be rewound to. */
void replica_checkpoint(struct node *n);
void replica_free_checkpoints(struct node *n);

#endif
