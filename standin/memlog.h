/**
 * @file memlog.h
 * What a stand-in member keeps across restarts: its log, the term that it
 * promised, its role and the member it follows. No I/O and no clock.
 *
 * A promotion appends an empty record, so the first record of a term marks
 * where it began, and two logs that hold the same (term, position) are the
 * same up to there.
 */
#ifndef MEMLOG_H
#define MEMLOG_H

#include <glib.h>

#include "../core/types.h"

/** One statement with its text parameters; NULL entries are SQL NULL. */
struct memlog_statement {
	char *sql;
	int64_t clock; /**< time that it sees: Julian day in milliseconds */
	uint32_t count;
	char **params;
};

/** One committed write transaction; shared by the logs that hold it. */
struct memlog_record {
	uint32_t refs;
	struct log_pos at;
	hm_time committed_at;
	GPtrArray *statements; /**< of struct memlog_statement */
};

/** Gives up one reference. */
void memlog_record_unref(void *record);

struct memlog {
	enum endpoint_role role;
	uint64_t promised;
	uint64_t promised_by;
	hm_id following;    /**< member to replicate from, 0 for none */
	GPtrArray *records; /**< position p is at index p - 1 */
	GArray *begin;	    /**< of struct log_pos: where each term began */
};

/** Copies a statement. */
struct memlog_statement *memlog_statement_new(const char *sql, int64_t clock,
					      char *const *params,
					      uint32_t count);
void memlog_statement_free(void *statement);

/** An empty log of term 1. */
void memlog_open(struct memlog *l);
void memlog_close(struct memlog *l);

/** Term and position of the last record. */
struct log_pos memlog_last_pos(const struct memlog *l);
/** The newest LINEAGE_MAX terms. */
void memlog_lineage(const struct memlog *l, struct lineage *out);
/** True while the member may commit: primary, and not fenced above. */
bool memlog_writable(const struct memlog *l);

/** Appends a record; takes @a statements, a GPtrArray with a free function. */
void memlog_append(struct memlog *l, GPtrArray *statements, hm_time now);
/** Promises a term; false when it is refused. */
bool memlog_fence(struct memlog *l, uint64_t term, uint64_t requester);
/** Becomes primary of a promised term; false when it is refused. */
bool memlog_promote(struct memlog *l, uint64_t term, uint64_t requester,
		    hm_time now);
/** Becomes a replica of @a target; false when it is refused. */
bool memlog_follow(struct memlog *l, uint64_t term, uint64_t requester,
		   hm_id target);

/** True when records of @a from may be taken over. */
bool memlog_accepts(const struct memlog *l, const struct memlog *from);
/** Next record to be taken from @a from, NULL when there is none. */
struct memlog_record *memlog_next(const struct memlog *l,
				  const struct memlog *from);
/**
 * Cuts off the tail that the log of @a from contradicts.
 * @return whether there was one
 */
bool memlog_rewind(struct memlog *l, const struct memlog *from);
/** Appends a record of another log, and promises its term to nobody. */
void memlog_append_record(struct memlog *l, struct memlog_record *record);

#endif
