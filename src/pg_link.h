/**
 * @file pg_link.h
 * One libpq connection on an event loop, in pipeline mode. Queries are put
 * into a pipeline; results come back in order as events, never from inside a
 * call of this module.
 */
#ifndef PG_LINK_H
#define PG_LINK_H

#include <libpq-fe.h>

#include "loop.h"

struct pg_link;

struct pg_link_events {
	void (*ready)(void *arg);
	/** One result of the query with number @a query since the last idle. */
	void (*result)(void *arg, uint32_t query, const PGresult *result);
	/** All queries sent so far were answered. */
	void (*idle)(void *arg);
	/** The connection failed or ended; free the link. */
	void (*broken)(void *arg);
};

/** What to connect to. */
struct pg_target {
	const char *address; /**< "IP:port" */
	const char *database;
	const char *application; /**< shown to the server */
};

/**
 * Starts to connect; never NULL, failures come as broken(). @a deadline
 * limits the time to connect.
 */
struct pg_link *pg_link_new(struct loop *l, const struct pg_target *target,
			    hm_time deadline,
			    const struct pg_link_events *events, void *arg);
/** Closes at once; no event follows. Callable from inside an event. */
void pg_link_free(struct pg_link *link);
bool pg_link_ready(const struct pg_link *link);
/** Looks for an end of the connection that was not noticed yet. */
bool pg_link_usable(struct pg_link *link);
/**
 * Puts a query with text parameters into the pipeline.
 * @param by_row deliver a result for each row, so that none grows large
 */
bool pg_link_query(struct pg_link *link, const char *sql, int count,
		   const char *const *params, bool by_row);
/** Ends a group of queries; a failed query fails the rest of its group. */
bool pg_link_sync(struct pg_link *link);
/** True when no answer is awaited. */
bool pg_link_idle(const struct pg_link *link);
/** Transaction state as of the last answer. */
bool pg_link_in_transaction(const struct pg_link *link);
/** Number of the server's process. */
int pg_link_pid(const struct pg_link *link);

#endif
