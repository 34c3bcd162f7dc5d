/**
 * @file pg_body.h
 * Bodies of statements and answers: JSON on the instance's side, libpq
 * parameters, results and state rows on the endpoint's side.
 */
#ifndef PG_BODY_H
#define PG_BODY_H

#include <glib.h>
#include <libpq-fe.h>

#include "../core/types.h"

/** SQL with text parameters; NULL entries are SQL NULL. */
struct pg_query {
	char *sql;
	int count;
	char **params;
};

/** False when @a body is no statement; nothing is to be cleared then. */
bool pg_query_parse(GBytes *body, struct pg_query *out);
void pg_query_clear(struct pg_query *q);
/**
 * Statements that would end or change what the connection is used for, such
 * as COMMIT or SET, are refused: operations stand for them.
 */
bool pg_query_allowed(const char *sql);

/** JSON answer that grows by results; over its limits rows are dropped. */
struct pg_rows {
	GString *text; /**< NULL before the first result */
	uint32_t rows;
	bool over; /**< a limit was passed */
};

/** Limits of an answer; 0 for none. */
struct pg_rows_limit {
	uint32_t rows;
	uint32_t bytes;
};

/** Adds the columns, once, and the rows of a result. */
void pg_rows_add(struct pg_rows *rows, const PGresult *r,
		 struct pg_rows_limit limit);
/** Adds the last result and ends the answer; NULL when it was too large. */
GBytes *pg_rows_end(struct pg_rows *rows, const PGresult *last,
		    struct pg_rows_limit limit);
void pg_rows_clear(struct pg_rows *rows);
/** JSON error body. */
GBytes *pg_body_error(const char *sqlstate, const char *message);
/** JSON error body of a failed result. */
GBytes *pg_body_failure(const PGresult *r);

/** True for an error that is the end of the connection, not an answer. */
bool pg_ends_connection(const PGresult *r);
/** Reads the row of a control function; false when it is none. */
bool pg_state_parse(const PGresult *r, struct endpoint_state *out);

#endif
