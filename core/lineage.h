/**
 * @file lineage.h
 * Compares log positions of different terms. A later term continues the log of
 * an earlier one from the position where the later term began; positions that
 * the earlier term wrote beyond it are lost.
 */
#ifndef LINEAGE_H
#define LINEAGE_H

#include "types.h"

/** Whether a log contains a given position. */
enum reach {
	REACH_OK,     /**< the log contains it */
	REACH_BEHIND, /**< the log may contain it later */
	REACH_LOST    /**< a later term discarded the position */
};

/**
 * Whether a log with @a lineage that ends at @a have contains everything up to
 * @a want. A term older than the oldest one in the lineage counts as lost.
 */
enum reach lineage_reach(const struct lineage *lineage, struct log_pos have,
			 struct log_pos want);

/** Newest term of the lineage, 0 when it is empty. */
uint64_t lineage_term(const struct lineage *l);
/**
 * Term of a log that ends at position @a pos. A term that begins at @a pos
 * counts, although it has no record yet.
 */
uint64_t lineage_term_at(const struct lineage *l, uint64_t pos);
/** Whether @a at belongs to the lineage; ignores where the log ends. */
bool lineage_contains(const struct lineage *l, struct log_pos at);
/**
 * Last position that the lineage has in common with another log, which ends
 * at @a end.
 */
struct log_pos lineage_common_end(const struct lineage *l, struct log_pos end);

#endif
