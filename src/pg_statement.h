/**
 * @file pg_statement.h
 * One statement on its way to a PostgreSQL server: the pipeline that it is
 * sent in, and the outcome read from the results.
 */
#ifndef PG_STATEMENT_H
#define PG_STATEMENT_H

#include "../core/core.h"
#include "pg_body.h"
#include "pg_link.h"

#define PG_QUERIES_MAX 6

/** Zeroed while nothing runs; see pg_statement_clear(). */
struct pg_statement {
	bool busy;
	bool sent; /**< a byte of it may have left */
	struct rid id;
	enum op op;
	bool in_transaction; /**< one was open before it */
	uint32_t count;
	uint8_t parts[PG_QUERIES_MAX]; /**< what each query is for */
	bool ended;		       /**< the outcome is known */
	enum completion done;
	GBytes *body;	     /**< rows or error */
	bool dirty;	     /**< the session could not be cleared */
	struct pg_rows rows; /**< received so far */
	struct endpoint_state before;
	struct endpoint_state after;
};

/** Marks the statement as under way, nothing sent yet. */
void pg_statement_begin(struct pg_statement *s, struct rid id, enum op op);
void pg_statement_clear(struct pg_statement *s);
/** SQL of an operation that carries none of its own, else NULL. */
const char *pg_statement_sql(enum op op);
/** Sends it; @a q is NULL for an operation without SQL of its own. */
void pg_statement_send(struct pg_statement *s, struct pg_link *link,
		       const struct pg_query *q);
/** Sends a rollback and a reset of the session in its place. */
void pg_statement_send_reset(struct pg_statement *s, struct pg_link *link);
/** Takes one result of a query. */
void pg_statement_result(struct pg_statement *s, uint32_t query,
			 const PGresult *r, struct pg_rows_limit limit);
/** Fills in the marks and the lineage of an EV_DONE. */
void pg_statement_positions(const struct pg_statement *s, struct event *e);

#endif
