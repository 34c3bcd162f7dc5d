/**
 * @file lineage.h
 * Relation of log positions written under different terms. Position p of a
 * term counts under a later term only up to where that later term began.
 */
#ifndef LINEAGE_H
#define LINEAGE_H

#include "types.h"

/** How a position stands to a session's floor. */
enum reach {
	REACH_OK,
	REACH_BEHIND, /**< may be reached later */
	REACH_LOST    /**< the floor lies on a branch that was cut off */
};

/**
 * Whether a log @a lineage that ends at @a have holds all up to @a want.
 * A term older than the oldest one kept in the lineage counts as lost.
 */
enum reach lineage_reach(const struct lineage *lineage, struct log_pos have,
			 struct log_pos want);

/** Newest term of the lineage, 0 when it is empty. */
uint64_t lineage_term(const struct lineage *l);
/**
 * Term of a log that ends at position @a pos, counting a term from its
 * beginning, before it has a record.
 */
uint64_t lineage_term_at(const struct lineage *l, uint64_t pos);
/** Whether @a at lies on the lineage, however long its log is. */
bool lineage_contains(const struct lineage *l, struct log_pos at);
/** What the lineage kept of a history that ended at @a end. */
struct log_pos lineage_common_end(const struct lineage *l, struct log_pos end);

#endif
