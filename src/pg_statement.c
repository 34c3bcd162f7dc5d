/** @file pg_statement.c Pipeline and outcome of one statement. */
#include "pg_statement.h"

#include <string.h>

#define STATE_SQL "SELECT hm_state()"
#define RESET_SQL "DISCARD ALL"

/* Purpose of a query in the pipeline. */
enum part {
	PART_BEFORE,
	PART_BEGIN,
	PART_STATEMENT,
	PART_END,
	PART_AFTER,
	PART_RESET
};

void pg_statement_begin(struct pg_statement *s, struct rid id, enum op op)
{
	memset(s, 0, sizeof(*s));
	s->busy = true;
	s->id = id;
	s->op = op;
}

void pg_statement_clear(struct pg_statement *s)
{
	pg_rows_clear(&s->rows);
	if (s->body)
		g_bytes_unref(s->body);
	memset(s, 0, sizeof(*s));
}

const char *pg_statement_sql(enum op op)
{
	switch (op) {
	case OP_BEGIN:
		return "BEGIN";
	case OP_COMMIT:
		return "COMMIT";
	case OP_ROLLBACK:
		return "ROLLBACK";
	default:
		return NULL;
	}
}

static bool add(struct pg_statement *s, struct pg_link *link, enum part part,
		const char *sql)
{
	s->parts[s->count++] = (uint8_t)part;
	return pg_link_query(link, sql, 0, NULL, false);
}

/* Adds a group of one query. */
static bool add_group(struct pg_statement *s, struct pg_link *link,
		      enum part part, const char *sql)
{
	return add(s, link, part, sql) && pg_link_sync(link);
}

static bool add_statement(struct pg_statement *s, struct pg_link *link,
			  const struct pg_query *q)
{
	if (!q)
		return add_group(s, link, PART_STATEMENT,
				 pg_statement_sql(s->op));
	s->parts[s->count++] = PART_STATEMENT;
	return pg_link_query(link, q->sql, q->count,
			     (const char *const *)q->params, true) &&
	       pg_link_sync(link);
}

/*
 * Adds a read outside of a transaction: it runs in a read-only transaction of
 * its own.
 */
static bool add_read(struct pg_statement *s, struct pg_link *link,
		     const struct pg_query *q)
{
	return add(s, link, PART_BEGIN, "BEGIN READ ONLY") &&
	       add_statement(s, link, q) &&
	       add_group(s, link, PART_END, "ROLLBACK");
}

/*
 * Whether the connection is outside of a transaction after the statement. Then
 * another session may use it, so that the session state must be reset.
 */
static bool frees_connection(const struct pg_statement *s)
{
	if (s->op == OP_COMMIT || s->op == OP_ROLLBACK)
		return true;
	return s->op != OP_BEGIN && !s->in_transaction;
}

void pg_statement_send(struct pg_statement *s, struct pg_link *link,
		       const struct pg_query *q)
{
	bool ok;

	s->sent = true;
	s->in_transaction = pg_link_in_transaction(link);
	ok = add_group(s, link, PART_BEFORE, STATE_SQL);
	if (s->op == OP_READ && !s->in_transaction)
		ok = ok && add_read(s, link, q);
	else
		ok = ok && add_statement(s, link, q);
	ok = ok && add_group(s, link, PART_AFTER, STATE_SQL);
	if (ok && frees_connection(s))
		add_group(s, link, PART_RESET, RESET_SQL);
}

void pg_statement_send_reset(struct pg_statement *s, struct pg_link *link)
{
	s->sent = true;
	if (add_group(s, link, PART_END, "ROLLBACK"))
		add_group(s, link, PART_STATEMENT, RESET_SQL);
}

static void set_outcome(struct pg_statement *s, enum completion done,
			GBytes *body)
{
	s->ended = true;
	s->done = done;
	if (s->body)
		g_bytes_unref(s->body);
	s->body = body;
}

/* Errors that mean that the server did not run the statement. */
static bool is_not_run_error(const struct pg_statement *s, const char *sqlstate)
{
	/*
	 * For a read, 25006 means that it tried to write in the read-only
	 * transaction that add_read() opened: an error of the statement.
	 */
	if (!g_strcmp0(sqlstate, "25006"))
		return s->op != OP_READ || s->in_transaction;
	return !g_strcmp0(sqlstate, "53300") || !g_strcmp0(sqlstate, "57P03");
}

static void take_failure(struct pg_statement *s, const PGresult *r)
{
	const char *sqlstate = PQresultErrorField(r, PG_DIAG_SQLSTATE);

	/* The outcome stays unknown if the connection ends. */
	if (pg_ends_connection(r))
		return;
	set_outcome(
		s, is_not_run_error(s, sqlstate) ? DONE_REFUSED : DONE_REJECTED,
		pg_body_failure(r));
}

static void take_last_rows(struct pg_statement *s, const PGresult *r,
			   struct pg_rows_limit limit)
{
	GBytes *body = pg_rows_end(&s->rows, r, limit);

	if (body)
		set_outcome(s, DONE_OK, body);
	else
		set_outcome(s, DONE_REJECTED,
			    pg_body_error("54000", "the statement was run; its "
						   "result exceeds the limit"));
}

/*
 * Whether the result of a COMMIT means a rollback: a server answers the COMMIT
 * of a failed transaction with ROLLBACK.
 */
static bool rolled_back(const struct pg_statement *s, const PGresult *r)
{
	return s->op == OP_COMMIT &&
	       strcmp(PQcmdStatus((PGresult *)r), "COMMIT") != 0;
}

static void take_statement(struct pg_statement *s, const PGresult *r,
			   struct pg_rows_limit limit)
{
	switch (PQresultStatus(r)) {
	case PGRES_SINGLE_TUPLE:
		pg_rows_add(&s->rows, r, limit);
		return;
	case PGRES_TUPLES_OK:
	case PGRES_COMMAND_OK:
	case PGRES_EMPTY_QUERY:
		if (rolled_back(s, r))
			set_outcome(s, DONE_REJECTED,
				    pg_body_error("40000", "the transaction "
							   "was rolled back"));
		else
			take_last_rows(s, r, limit);
		return;
	case PGRES_FATAL_ERROR:
		take_failure(s, r);
		return;
	default:
		return;
	}
}

void pg_statement_result(struct pg_statement *s, uint32_t query,
			 const PGresult *r, struct pg_rows_limit limit)
{
	if (!s->busy || query >= s->count)
		return;
	switch ((enum part)s->parts[query]) {
	case PART_BEFORE:
		pg_state_parse(r, &s->before);
		break;
	case PART_AFTER:
		pg_state_parse(r, &s->after);
		break;
	case PART_STATEMENT:
		take_statement(s, r, limit);
		break;
	case PART_BEGIN:
	case PART_END:
		if (PQresultStatus(r) == PGRES_FATAL_ERROR && !s->ended)
			take_failure(s, r);
		break;
	case PART_RESET:
		s->dirty |= PQresultStatus(r) != PGRES_COMMAND_OK;
		break;
	}
}

/*
 * Whether the log of @a after still contains position @a m. If not, the member
 * was rewound meanwhile, and @a m is no lower bound of what was read.
 */
static bool log_contains(const struct endpoint_state *after, struct log_pos m)
{
	uint32_t i;

	if (log_pos_compare(after->at, m) < 0)
		return false;
	for (i = 0; i < after->lineage.count; i++)
		if (after->lineage.begin[i].term > m.term)
			return m.pos <= after->lineage.begin[i].pos;
	return true;
}

void pg_statement_positions(const struct pg_statement *s, struct event *e)
{
	e->done.lineage =
		s->after.reachable ? s->after.lineage : s->before.lineage;
	if (!s->after.reachable)
		return;
	e->done.after = s->after.at;
	if (s->before.reachable && log_contains(&s->after, s->before.at))
		e->done.before = s->before.at;
}
