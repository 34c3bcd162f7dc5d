/**
 * @file pg_statement.h
 * One statement at a PostgreSQL server: the pipeline of queries that runs it,
 * and its outcome.
 */
#ifndef PG_STATEMENT_H
#define PG_STATEMENT_H

#include "../core/core.h"
#include "pg_body.h"
#include "pg_link.h"

#define PG_QUERIES_MAX 6

/** All zero while nothing runs; see pg_statement_clear(). */
struct pg_statement {
	bool busy;
	bool sent; /**< the statement may have reached the server */
	struct rid id;
	enum op op;
	bool in_transaction; /**< a transaction was open before the statement */
	uint32_t count;
	uint8_t parts[PG_QUERIES_MAX]; /**< purpose of each query */
	bool ended;		       /**< the outcome is known */
	enum completion done;
	GBytes *body;	     /**< rows or error */
	bool dirty;	     /**< the reset of the session failed */
	struct pg_rows rows; /**< rows received so far */
	struct endpoint_state before;
	struct endpoint_state after;
};

/** Marks the statement as started; nothing is sent yet. */
void pg_statement_begin(struct pg_statement *s, struct rid id, enum op op);
void pg_statement_clear(struct pg_statement *s);
/** SQL of a transaction operation; NULL if the client sends the SQL. */
const char *pg_statement_sql(enum op op);
/** Sends the statement; @a q is NULL for a transaction operation. */
void pg_statement_send(struct pg_statement *s, struct pg_link *link,
		       const struct pg_query *q);
/** Sends a rollback and a reset of the session instead of a statement. */
void pg_statement_send_reset(struct pg_statement *s, struct pg_link *link);
/** Processes one result of a query. */
void pg_statement_result(struct pg_statement *s, uint32_t query,
			 const PGresult *r, struct pg_rows_limit limit);
/** Fills in the log positions and the lineage of an EV_DONE. */
void pg_statement_positions(const struct pg_statement *s, struct event *e);

#endif
