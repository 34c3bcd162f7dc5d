/**
 * @file pg_body.h
 * Converts between the JSON bodies of statements and results and the
 * parameters and results of libpq; parses state reports of endpoints.
 */
#ifndef PG_BODY_H
#define PG_BODY_H

#include <glib.h>
#include <libpq-fe.h>

#include "../core/types.h"

/**
 * A statement: SQL and its parameters as texts. A NULL parameter is SQL NULL.
 */
struct pg_query {
	char *sql;
	int count;
	char **params;
};

/**
 * Parses the JSON body of a statement. Returns false, with nothing to clear, if
 * @a body has no statement.
 */
bool pg_query_parse(GBytes *body, struct pg_query *out);
void pg_query_clear(struct pg_query *q);
/**
 * Whether a client may send this SQL. Statements that control transactions or
 * change the session, such as COMMIT or SET, are not allowed, since the
 * connection is used for other sessions later. There are separate operations
 * for transaction control.
 */
bool pg_query_allowed(const char *sql);

/** JSON result under construction; rows above the limits are dropped. */
struct pg_rows {
	GString *text; /**< NULL before the first result */
	uint32_t rows;
	bool over; /**< a limit was exceeded */
};

/** Limits of a JSON result; 0 for no limit. */
struct pg_rows_limit {
	uint32_t rows;
	uint32_t bytes;
};

/** Adds the rows of a result, and the columns before the first result. */
void pg_rows_add(struct pg_rows *rows, const PGresult *r,
		 struct pg_rows_limit limit);
/**
 * Adds the last result and returns the JSON as a new reference; NULL if a limit
 * was exceeded.
 */
GBytes *pg_rows_end(struct pg_rows *rows, const PGresult *last,
		    struct pg_rows_limit limit);
void pg_rows_clear(struct pg_rows *rows);
/** Writes the JSON body of an error. */
GBytes *pg_body_error(const char *sqlstate, const char *message);
/** Writes the JSON body of the error that a failed result reports. */
GBytes *pg_body_failure(const PGresult *r);

/** Whether the error in a result means that the server ends the connection. */
bool pg_ends_connection(const PGresult *r);
/** Parses the state row of a control function; false if invalid. */
bool pg_state_parse(const PGresult *r, struct endpoint_state *out);

#endif
