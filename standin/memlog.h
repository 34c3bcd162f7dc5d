/**
 * @file memlog.h
 * State that survives a restart of a stand-in member: its log, its promised
 * term, its role and the member that it follows. No I/O, no clock.
 *
 * A promotion appends an empty record, so the first record of a term marks
 * where the term begins. Two logs that contain a record of the same term at
 * the same position are equal up to that position.
 */
#ifndef MEMLOG_H
#define MEMLOG_H

#include <glib.h>

#include "../core/types.h"

/** One statement with its text parameters; NULL entries are SQL NULL. */
struct memlog_statement {
	char *sql;
	/**
	 * time that the SQL functions see as the current one: Julian day in
	 * milliseconds
	 */
	int64_t clock;
	uint32_t count;
	char **params;
};

/** One committed write transaction; shared by the logs that contain it. */
struct memlog_record {
	uint32_t refs;
	struct log_pos at;
	hm_time committed_at;
	GPtrArray *statements; /**< of struct memlog_statement */
};

/**
 * Drops one reference to a struct memlog_record; the last one frees the record.
 */
void memlog_record_unref(void *record);

struct memlog {
	enum endpoint_role role;
	/** promised term: no command of an older one is accepted */
	uint64_t promised;
	uint64_t promised_by; /**< requester of that term, 0: unknown */
	hm_id following;      /**< member to replicate from, 0 for none */
	GPtrArray *records;   /**< position p is at index p - 1 */
	GArray *begin;	      /**< of struct log_pos: where each term began */
};

/** Copies the SQL text and the parameters. */
struct memlog_statement *memlog_statement_new(const char *sql, int64_t clock,
					      char *const *params,
					      uint32_t count);
void memlog_statement_free(void *statement);

/** Initializes an empty log of term 1. */
void memlog_open(struct memlog *l);
void memlog_close(struct memlog *l);

/** Term and position of the last record; position 0 for an empty log. */
struct log_pos memlog_last_pos(const struct memlog *l);
/** Start positions of the newest LINEAGE_MAX terms. */
void memlog_lineage(const struct memlog *l, struct lineage *out);
/** True for a primary that has not promised a term newer than its log's. */
bool memlog_writable(const struct memlog *l);

/**
 * Appends a record in the current term.
 * @param statements with a free function; the record takes ownership
 */
void memlog_append(struct memlog *l, GPtrArray *statements, hm_time now);
/**
 * Promises a term to @a requester.
 * @return false when a newer term is promised, or this one to another requester
 */
bool memlog_fence(struct memlog *l, uint64_t term, uint64_t requester);
/**
 * Becomes the primary of a promised term; a repeated call has no effect.
 * @return false when the term is not promised to @a requester, or the log has
 * records of this term from another member
 */
bool memlog_promote(struct memlog *l, uint64_t term, uint64_t requester,
		    hm_time now);
/**
 * Becomes a replica of @a target and promises the term.
 * @return false when a newer term is promised, or when the member is a primary
 * and its log has reached the term
 */
bool memlog_follow(struct memlog *l, uint64_t term, uint64_t requester,
		   hm_id target);

/**
 * Whether the member is a replica that may replicate from @a from: the last
 * record there is of at least the term promised here.
 */
bool memlog_accepts(const struct memlog *l, const struct memlog *from);
/** Next record to replicate from @a from, NULL when there is none. */
struct memlog_record *memlog_next(const struct memlog *l,
				  const struct memlog *from);
/**
 * Removes the records after the last common position if the two logs diverge.
 * @return whether they diverged
 */
bool memlog_rewind(struct memlog *l, const struct memlog *from);
/**
 * Appends a record of another log. If its term is newer than the promised one,
 * that term becomes the promised one.
 */
void memlog_append_record(struct memlog *l, struct memlog_record *record);

#endif
