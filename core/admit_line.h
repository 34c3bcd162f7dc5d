/**
 * @file admit_line.h
 * Statements of one urgency level that wait for a rate token, as a list.
 */
#ifndef ADMIT_LINE_H
#define ADMIT_LINE_H

#include "types.h"

struct waiter {
	struct statement statement;
	uint64_t number; /**< counts the statements of the account */
	struct waiter *next;
};

/** Statements of one level, the next one to be served first. */
struct line {
	struct waiter *first;
	struct waiter *last;
	uint32_t count;
};

/** Frees a waiter and all after it; NULL is allowed. */
void waiters_free(struct waiter *w);
/**
 * Unlinks the waiter after @a before, the first one if that is NULL; the caller
 * owns it.
 */
struct waiter *line_unlink_after(struct line *line, struct waiter *before);
/**
 * Waiter after which a statement belongs in order of deadlines, then of
 * arrival; NULL for the first place.
 */
struct waiter *line_place(const struct line *line, hm_time deadline);
/**
 * Adds a waiter after @a before, as the first one if that is NULL. Aborts when
 * out of memory.
 */
struct waiter *line_insert_after(struct line *line, struct waiter *before,
				 const struct statement *s);
/** Finds a waiter, NULL for none; *before is the one before it or NULL. */
struct waiter *line_find(const struct line *line, struct rid id,
			 struct waiter **before);

#endif
