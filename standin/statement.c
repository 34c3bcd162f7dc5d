/**
 * @file statement.c
 * Statements and transactions of a stand-in member. Before its first write, a
 * transaction reads committed data. The first write takes the write lock of
 * the member, which the transaction keeps until it ends.
 */
#include <string.h>

#include "pgproto.h"
#include "session.h"

static bool writable(const struct node *n)
{
	return memlog_writable(&n->log);
}

#define NOT_PRIMARY "25006", "the member is not the primary"

static void refuse_write(struct session *s, hm_time now)
{
	session_error(s, NOT_PRIMARY, now);
}

/* Resumes the waiting sessions in order, until one takes the lock. */
static void unlock(struct node *n, hm_time now)
{
	struct session *next;

	n->writer = NULL;
	while (!n->writer && (next = g_queue_pop_head(&n->waiting)) != NULL) {
		statement_perform(next, now);
		session_process(next, now);
	}
}

static bool lock(struct session *s)
{
	struct node *n = s->node;

	if (n->writer == s)
		return true;
	if (!engine_begin(n->engine))
		return false;
	n->writer = s;
	return true;
}

static GPtrArray *statements_new(void)
{
	return g_ptr_array_new_with_free_func(memlog_statement_free);
}

/* Adds a write to the log record of the transaction. */
static void add_write(struct session *s, struct memlog_statement *write)
{
	if (!s->statements)
		s->statements = statements_new();
	g_ptr_array_add(s->statements, write);
}

static void discard_writes(struct session *s)
{
	if (s->statements)
		g_ptr_array_unref(s->statements);
	s->statements = NULL;
}

void statement_rollback(struct session *s, hm_time now)
{
	struct node *n = s->node;

	discard_writes(s);
	g_queue_remove(&n->waiting, s);
	if (n->writer != s)
		return;
	engine_rollback(n->engine);
	unlock(n, now);
}

void statement_rollback_writer(struct node *n, hm_time now)
{
	struct session *s = n->writer;

	if (!s)
		return;
	s->rolled_back = true;
	statement_rollback(s, now);
}

/* Commits the writes of the session; on failure, @a out has the error. */
static bool commit(struct session *s, struct engine_result *out, hm_time now)
{
	struct node *n = s->node;

	if (s->rolled_back || (n->writer == s && !writable(n))) {
		engine_result_fail(out, NOT_PRIMARY);
		statement_rollback(s, now);
		return false;
	}
	if (n->writer != s)
		return true;
	if (!engine_commit(n->engine, out)) {
		statement_rollback(s, now);
		return false;
	}
	if (!engine_publish(n->engine, s->statements))
		g_error("cannot publish a commit of %s", n->spec.name);
	memlog_append(&n->log, s->statements, now);
	s->statements = NULL;
	unlock(n, now);
	return true;
}

static void end_transaction(struct session *s)
{
	s->implicit = false;
	s->tx = TX_IDLE;
	s->read_only = false;
	s->rolled_back = false;
}

static void complete(struct session *s, const char *tag, bool effect,
		     hm_time now)
{
	pg_write_complete(s->build, tag);
	session_answered(s, effect, now);
}

static void run_begin(struct session *s, hm_time now)
{
	char *upper = g_ascii_strup(s->sql, -1);

	if (s->tx == TX_IDLE) {
		s->tx = TX_OPEN;
		s->implicit = false;
		s->read_only = strstr(upper, "READ ONLY") != NULL;
	}
	g_free(upper);
	complete(s, "BEGIN", false, now);
}

static void run_rollback(struct session *s, hm_time now)
{
	statement_rollback(s, now);
	end_transaction(s);
	complete(s, "ROLLBACK", false, now);
}

static void run_commit(struct session *s, hm_time now)
{
	bool wrote = s->node->writer == s;
	struct engine_result r = { 0 };
	bool committed;

	if (s->tx == TX_FAILED) {
		run_rollback(s, now);
		return;
	}
	committed = commit(s, &r, now);
	end_transaction(s);
	if (committed)
		complete(s, "COMMIT", wrote, now);
	else
		session_error(s, r.sqlstate, r.message, now);
	engine_result_clear(&r);
}

static void run_set(struct session *s, hm_time now)
{
	complete(s, "SET", false, now);
}

static void run_discard(struct session *s, hm_time now)
{
	if (s->tx != TX_IDLE) {
		session_error(s, "25001", "a transaction is open", now);
		return;
	}
	complete(s, "DISCARD ALL", false, now);
}

/** Statements that are not passed to SQLite, by their first word. */
static const struct {
	const char *word;
	void (*run)(struct session *s, hm_time now);
} commands[] = {
	{ "BEGIN", run_begin },	      { "START", run_begin },
	{ "COMMIT", run_commit },     { "END", run_commit },
	{ "ROLLBACK", run_rollback }, { "ABORT", run_rollback },
	{ "DISCARD", run_discard },   { "SET", run_set },
};

static bool run_command(struct session *s, hm_time now)
{
	const char *at = s->sql + strspn(s->sql, " \t\r\n");
	size_t i, bytes = strcspn(at, " \t\r\n;");

	for (i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (strlen(commands[i].word) != bytes ||
		    g_ascii_strncasecmp(at, commands[i].word, bytes) != 0)
			continue;
		commands[i].run(s, now);
		return true;
	}
	return false;
}

static void answer_text(struct session *s, char *text, bool effect, hm_time now)
{
	char *name = "state";
	uint32_t type = 25;

	if (s->described)
		pg_write_columns(s->build, &name, &type, 1);
	pg_write_row(s->build, &text, 1);
	complete(s, "SELECT 1", effect, now);
}

static bool run_control_fn(struct session *s, hm_time now)
{
	GString *row = g_string_new(NULL);
	bool effect = false;
	enum control_fn outcome = control_fn_run(s, s->sql, row, &effect, now);

	if (outcome == CONTROL_FN_ERROR)
		session_error(s, "22023", "wrong arguments", now);
	if (outcome == CONTROL_FN_DONE && s->incarnation == s->node->owner)
		s->node->owner_seen_at = now;
	if (outcome == CONTROL_FN_DONE)
		answer_text(s, row->str, effect, now);
	g_string_free(row, true);
	return outcome != CONTROL_FN_NONE;
}

static void write_tag(struct session *s, const struct engine_result *r)
{
	const char *at = s->sql + strspn(s->sql, " \t\r\n");
	size_t bytes = strcspn(at, " \t\r\n;");
	char *word = g_ascii_strup(at, (gssize)bytes);
	char tag[64];

	if (!r->wrote)
		g_snprintf(tag, sizeof(tag), "SELECT %u", r->rows->len);
	else if (!strcmp(word, "INSERT") || !strcmp(word, "REPLACE"))
		g_snprintf(tag, sizeof(tag), "INSERT 0 %" G_GUINT64_FORMAT,
			   r->affected);
	else if (!strcmp(word, "UPDATE") || !strcmp(word, "DELETE"))
		g_snprintf(tag, sizeof(tag), "%s %" G_GUINT64_FORMAT, word,
			   r->affected);
	else
		g_snprintf(tag, sizeof(tag), "%.20s", word);
	pg_write_complete(s->build, tag);
	g_free(word);
}

static void answer_rows(struct session *s, const struct engine_result *r)
{
	uint32_t i;

	if (s->described && r->column_count)
		pg_write_columns(s->build, r->columns, r->types,
				 r->column_count);
	else if (s->described && !s->simple)
		pg_write_empty(s->build, 'n');
	for (i = 0; i < r->rows->len; i++)
		pg_write_row(s->build, r->rows->pdata[i], r->column_count);
	write_tag(s, r);
}

/*
 * Commits a transaction that began without BEGIN: it ends at the client's next
 * Sync message.
 */
bool statement_sync(struct session *s, hm_time now)
{
	struct engine_result r = { 0 };
	bool committed;

	if (!s->implicit)
		return true;
	committed = commit(s, &r, now);
	end_transaction(s);
	if (!committed)
		session_error(s, r.sqlstate, r.message, now);
	engine_result_clear(&r);
	return committed;
}

static void run_sql(struct session *s, hm_time now)
{
	struct node *n = s->node;
	struct engine_result r = { 0 };
	struct memlog_statement *statement = memlog_statement_new(
		s->sql, engine_clock(), s->params, s->param_count);

	if (!engine_run(n->engine, n->writer == s, statement, &r)) {
		session_error(s, r.sqlstate, r.message, now);
		goto out;
	}
	if (s->writes) {
		add_write(s, statement);
		statement = NULL;
	}
	s->implicit = s->tx == TX_IDLE && n->writer == s;
	if (s->simple && !statement_sync(s, now))
		goto out;
	answer_rows(s, &r);
	session_answered(s, !s->implicit, now);
out:
	if (statement)
		memlog_statement_free(statement);
	engine_result_clear(&r);
}

void statement_perform(struct session *s, hm_time now)
{
	struct node *n = s->node;

	if (s->writes && (s->rolled_back || !writable(n))) {
		s->stage = STAGE_IDLE;
		n->running--;
		refuse_write(s, now);
		return;
	}
	if (s->writes && n->writer && n->writer != s) {
		s->stage = STAGE_LOCK;
		g_queue_push_tail(&n->waiting, s);
		return;
	}
	s->stage = STAGE_IDLE;
	n->running--;
	if (s->writes && !lock(s))
		session_error(s, "58000", "the transaction cannot begin", now);
	else
		run_sql(s, now);
}

void statement_cancel(struct session *s, hm_time now)
{
	if (s->stage != STAGE_RUN && s->stage != STAGE_LOCK)
		return;
	g_queue_remove(&s->node->waiting, s);
	s->stage = STAGE_IDLE;
	s->node->running--;
	session_error(s, "57014", "canceled on request", now);
}

/*
 * Time that a statement takes; longer when more statements run than the member
 * has places for at once.
 */
static hm_time cost(const struct node *n)
{
	uint32_t slots = MAX(n->spec.slots, 1);

	return n->options.statement_cost * MAX(n->running, slots) / slots;
}

/* Checks that the statement may run; otherwise sends the error. */
static bool admit(struct session *s, hm_time now)
{
	struct node *n = s->node;
	struct engine_result r = { 0 };
	enum engine_kind kind;
	bool ok = false;

	if (s->incarnation && n->owner && s->incarnation != n->owner) {
		session_error(s, "57P03", "the member has another owner", now);
		return false;
	}
	if (s->tx == TX_FAILED) {
		session_error(s, "25P02", "the transaction has failed", now);
		return false;
	}
	kind = engine_kind(n->engine, n->writer == s, s->sql, &r);
	s->writes = kind == ENGINE_WRITE;
	if (kind == ENGINE_ERROR)
		session_error(s, r.sqlstate, r.message, now);
	else if (s->writes && s->read_only)
		session_error(s, "25006", "the transaction is read-only", now);
	else if (s->rolled_back || (s->writes && !writable(n)))
		refuse_write(s, now);
	else
		ok = true;
	engine_result_clear(&r);
	return ok;
}

void statement_start(struct session *s, hm_time now)
{
	struct node *n = s->node;

	if (s->incarnation && s->incarnation == n->owner)
		n->owner_seen_at = now;
	n->statements++;
	if (s->tx != TX_FAILED && run_control_fn(s, now))
		return;
	if (run_command(s, now))
		return;
	if (!admit(s, now))
		return;
	n->running++;
	n->running_max = MAX(n->running_max, n->running);
	s->stage = STAGE_RUN;
	s->due = now + cost(n);
}
