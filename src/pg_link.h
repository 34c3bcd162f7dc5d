/**
 * @file pg_link.h
 * One libpq connection in pipeline mode on an event loop. Results are
 * delivered in order through callbacks, which are never called from inside a
 * function of this module.
 */
#ifndef PG_LINK_H
#define PG_LINK_H

#include <libpq-fe.h>

#include "loop.h"

struct pg_link;

struct pg_link_events {
	void (*ready)(void *arg);
	/**
	 * Called with a result of query number @a query, counted from 0 since
	 * the last idle().
	 */
	void (*result)(void *arg, uint32_t query, const PGresult *result);
	/** Called when all queries sent so far have their results. */
	void (*idle)(void *arg);
	/**
	 * Called when the connection failed or ended; the link must be freed
	 * then.
	 */
	void (*broken)(void *arg);
};

/** Database server to connect to. */
struct pg_target {
	const char *address; /**< "IP:port" */
	const char *database;
	const char *application; /**< application_name for the server */
};

/**
 * Starts to connect and never returns NULL; a failure is reported by
 * broken(). The connection must be ready by @a deadline.
 */
struct pg_link *pg_link_new(struct loop *l, const struct pg_target *target,
			    hm_time deadline,
			    const struct pg_link_events *events, void *arg);
/** Closes at once, without a callback. May be called from a callback. */
void pg_link_free(struct pg_link *link);
bool pg_link_ready(const struct pg_link *link);
/** Whether the link is ready; also detects a close not yet noticed. */
bool pg_link_usable(struct pg_link *link);
/**
 * Puts a query with text parameters into the pipeline.
 * @param by_row deliver each row as its own result, to bound memory
 */
bool pg_link_query(struct pg_link *link, const char *sql, int count,
		   const char *const *params, bool by_row);
/**
 * Ends a group of queries. When a query of a group fails, the server does not
 * run the rest of the group.
 */
bool pg_link_sync(struct pg_link *link);
/** Whether no results are pending. */
bool pg_link_idle(const struct pg_link *link);
/** Whether a transaction was open as of the last result. */
bool pg_link_in_transaction(const struct pg_link *link);
/** Process ID of the server process. */
int pg_link_pid(const struct pg_link *link);

#endif
