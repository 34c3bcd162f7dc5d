/** @file engine.c SQL of a stand-in member on in-memory SQLite. */
#include "engine.h"

#include <sqlite3.h>
#include <stdlib.h>
#include <string.h>

/*
 * The progress handler runs every PROGRESS_STEPS steps of the SQLite virtual
 * machine; a statement is interrupted after PROGRESS_CHECKS of these calls.
 */
#define PROGRESS_STEPS 1000000
#define PROGRESS_CHECKS 200

#define VFS_NAME "member"

#define TYPE_INT8 20
#define TYPE_TEXT 25
#define TYPE_FLOAT8 701

struct engine {
	sqlite3 *reader;
	sqlite3 *writer;
	bool internal;	 /**< SQL of this module: the authorizer allows all */
	uint32_t checks; /**< progress calls of the running statement */
};

/** SQLSTATE by extended SQLite result code. */
static const struct {
	int code;
	const char *sqlstate;
} sqlstates_by_code[] = {
	{ SQLITE_CONSTRAINT_UNIQUE, "23505" },
	{ SQLITE_CONSTRAINT_PRIMARYKEY, "23505" },
	{ SQLITE_CONSTRAINT_ROWID, "23505" },
	{ SQLITE_CONSTRAINT_NOTNULL, "23502" },
	{ SQLITE_CONSTRAINT_FOREIGNKEY, "23503" },
	{ SQLITE_CONSTRAINT_CHECK, "23514" },
	{ SQLITE_INTERRUPT, "57014" },
	{ SQLITE_AUTH, "42501" },
	{ SQLITE_FULL, "53100" },
	{ SQLITE_NOMEM, "53200" },
	{ SQLITE_MISMATCH, "22P02" },
	{ SQLITE_TOOBIG, "54000" },
};

/** SQLSTATE by error message, for result codes that are not listed above. */
static const struct {
	const char *text;
	const char *sqlstate;
} sqlstates_by_message[] = {
	{ "no such table", "42P01" },	 { "no such column", "42703" },
	{ "no such function", "42883" }, { "already exists", "42P07" },
	{ "not authorized", "42501" },	 { "syntax error", "42601" },
	{ "incomplete input", "42601" },
};

static const char *sqlstate_of(sqlite3 *db)
{
	int code = sqlite3_extended_errcode(db);
	const char *text = sqlite3_errmsg(db);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(sqlstates_by_code); i++)
		if (sqlstates_by_code[i].code == code ||
		    sqlstates_by_code[i].code == (code & 0xff))
			return sqlstates_by_code[i].sqlstate;
	for (i = 0; i < G_N_ELEMENTS(sqlstates_by_message); i++)
		if (strstr(text, sqlstates_by_message[i].text))
			return sqlstates_by_message[i].sqlstate;
	return (code & 0xff) == SQLITE_CONSTRAINT ? "23000" : "XX000";
}

void engine_result_fail(struct engine_result *r, const char *sqlstate,
			const char *message)
{
	g_strlcpy(r->sqlstate, sqlstate, sizeof(r->sqlstate));
	g_free(r->message);
	r->message = g_strdup(message);
}

static void fail_db(struct engine_result *r, sqlite3 *db)
{
	engine_result_fail(r, sqlstate_of(db), sqlite3_errmsg(db));
}

static bool is_forbidden_function(const char *name)
{
	return !g_ascii_strcasecmp(name, "random") ||
	       !g_ascii_strcasecmp(name, "randomblob") ||
	       !g_ascii_strcasecmp(name, "load_extension");
}

/*
 * SQLite's authorizer: denies what would not replay equally on replicas (random
 * values) and what would change the state of the two SQLite connections that
 * all sessions share.
 */
static int authorize(void *arg, int code, const char *first, const char *second,
		     const char *third, const char *fourth)
{
	const struct engine *e = arg;

	(void)first;
	(void)third;
	(void)fourth;
	if (e->internal)
		return SQLITE_OK;
	switch (code) {
	case SQLITE_ATTACH:
	case SQLITE_DETACH:
	case SQLITE_PRAGMA:
	case SQLITE_TRANSACTION:
	case SQLITE_SAVEPOINT:
	case SQLITE_CREATE_TEMP_TABLE:
	case SQLITE_CREATE_TEMP_VIEW:
	case SQLITE_CREATE_TEMP_TRIGGER:
	case SQLITE_CREATE_TEMP_INDEX:
		return SQLITE_DENY;
	case SQLITE_FUNCTION:
		return is_forbidden_function(second) ? SQLITE_DENY : SQLITE_OK;
	default:
		return SQLITE_OK;
	}
}

static int progress(void *arg)
{
	struct engine *e = arg;

	return ++e->checks > PROGRESS_CHECKS;
}

/*
 * Time that SQLite sees. A replay must see the time of the original execution,
 * not the current time.
 */
static _Thread_local sqlite3_int64 statement_clock;

static int read_statement_clock(sqlite3_vfs *vfs, sqlite3_int64 *out)
{
	(void)vfs;
	*out = statement_clock;
	return SQLITE_OK;
}

static void *register_vfs(void *unused)
{
	static sqlite3_vfs vfs;

	(void)unused;
	vfs = *sqlite3_vfs_find(NULL);
	vfs.zName = VFS_NAME;
	vfs.pNext = NULL;
	vfs.xCurrentTimeInt64 = read_statement_clock;
	sqlite3_vfs_register(&vfs, 0);
	return NULL;
}

int64_t engine_clock(void)
{
	sqlite3_vfs *vfs = sqlite3_vfs_find(NULL);
	sqlite3_int64 now = 0;

	vfs->xCurrentTimeInt64(vfs, &now);
	return now;
}

static sqlite3 *connection_new(struct engine *e)
{
	const int flags = SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE |
			  SQLITE_OPEN_MEMORY | SQLITE_OPEN_NOMUTEX;
	static GOnce once = G_ONCE_INIT;
	sqlite3 *db = NULL;

	g_once(&once, register_vfs, NULL);
	if (sqlite3_open_v2(":memory:", &db, flags, VFS_NAME) != SQLITE_OK)
		goto fail;
	sqlite3_extended_result_codes(db, 1);
	if (sqlite3_exec(db, "PRAGMA foreign_keys = on", NULL, NULL, NULL) !=
	    SQLITE_OK)
		goto fail;
	sqlite3_set_authorizer(db, authorize, e);
	sqlite3_progress_handler(db, PROGRESS_STEPS, progress, e);
	return db;
fail:
	sqlite3_close(db);
	return NULL;
}

struct engine *engine_new(void)
{
	struct engine *e = g_new0(struct engine, 1);

	e->writer = connection_new(e);
	e->reader = connection_new(e);
	if (e->writer && e->reader)
		return e;
	engine_free(e);
	return NULL;
}

void engine_free(struct engine *e)
{
	sqlite3_close(e->reader);
	sqlite3_close(e->writer);
	g_free(e);
}

static sqlite3 *connection(const struct engine *e, bool writer)
{
	return writer ? e->writer : e->reader;
}

/* Accepts one statement only, as the extended query protocol does. */
static sqlite3_stmt *prepare(sqlite3 *db, const char *sql,
			     struct engine_result *out)
{
	sqlite3_stmt *stmt = NULL;
	const char *tail = "";

	if (sqlite3_prepare_v2(db, sql, -1, &stmt, &tail) != SQLITE_OK) {
		fail_db(out, db);
		return NULL;
	}
	if (!stmt) {
		engine_result_fail(out, "42601", "empty statement");
		return NULL;
	}
	if (tail[strspn(tail, " \t\r\n;")]) {
		engine_result_fail(out, "42601", "more than one statement");
		sqlite3_finalize(stmt);
		return NULL;
	}
	return stmt;
}

enum engine_kind engine_kind(struct engine *e, bool writer, const char *sql,
			     struct engine_result *out)
{
	sqlite3_stmt *stmt = prepare(connection(e, writer), sql, out);
	bool reads;

	if (!stmt)
		return ENGINE_ERROR;
	reads = sqlite3_stmt_readonly(stmt);
	sqlite3_finalize(stmt);
	return reads ? ENGINE_READ : ENGINE_WRITE;
}

static bool bind_integer(sqlite3_stmt *stmt, int i, const char *text)
{
	char back[32];
	gint64 v;

	if (strlen(text) >= sizeof(back))
		return false;
	v = g_ascii_strtoll(text, NULL, 10);
	g_snprintf(back, sizeof(back), "%" G_GINT64_FORMAT, v);
	if (strcmp(back, text) != 0)
		return false;
	sqlite3_bind_int64(stmt, i, v);
	return true;
}

static bool bind_real(sqlite3_stmt *stmt, int i, const char *text)
{
	char *end;
	double v;

	if (!g_ascii_isdigit(text[text[0] == '-']) || !strchr(text, '.'))
		return false;
	v = g_ascii_strtod(text, &end);
	if (*end)
		return false;
	sqlite3_bind_double(stmt, i, v);
	return true;
}

/*
 * Binds a text parameter. An integer in its shortest form and a decimal number
 * with a point are bound as numbers, all other texts as text.
 */
static void bind_text(sqlite3_stmt *stmt, int i, const char *text)
{
	if (!text) {
		sqlite3_bind_null(stmt, i);
		return;
	}
	if (bind_integer(stmt, i, text) || bind_real(stmt, i, text))
		return;
	sqlite3_bind_text(stmt, i, text, -1, SQLITE_TRANSIENT);
}

static bool bind_all(sqlite3_stmt *stmt, char *const *params, uint32_t count,
		     struct engine_result *out)
{
	int wanted = sqlite3_bind_parameter_count(stmt);
	const char *name;
	int i, n;

	for (i = 1; i <= wanted; i++) {
		name = sqlite3_bind_parameter_name(stmt, i);
		n = name && name[0] == '$' ? atoi(name + 1) : 0;
		if (n < 1 || (uint32_t)n > count) {
			engine_result_fail(out, "42P02",
					   "no value is bound to a parameter");
			return false;
		}
		bind_text(stmt, i, params[n - 1]);
	}
	return true;
}

static uint32_t type_of(int sqlite_type)
{
	switch (sqlite_type) {
	case SQLITE_INTEGER:
		return TYPE_INT8;
	case SQLITE_FLOAT:
		return TYPE_FLOAT8;
	default:
		return TYPE_TEXT;
	}
}

static void copy_columns(sqlite3_stmt *stmt, struct engine_result *out)
{
	uint32_t i;

	out->column_count = (uint32_t)sqlite3_column_count(stmt);
	out->columns = g_new0(char *, out->column_count + 1);
	out->types = g_new0(uint32_t, out->column_count + 1);
	for (i = 0; i < out->column_count; i++) {
		out->columns[i] = g_strdup(sqlite3_column_name(stmt, (int)i));
		out->types[i] = TYPE_TEXT;
	}
}

static void copy_row(sqlite3_stmt *stmt, struct engine_result *out)
{
	char **row = g_new0(char *, out->column_count + 1);
	uint32_t i;
	int type;

	for (i = 0; i < out->column_count; i++) {
		type = sqlite3_column_type(stmt, (int)i);
		if (!out->rows->len)
			out->types[i] = type_of(type);
		if (type != SQLITE_NULL)
			row[i] = g_strdup((const char *)sqlite3_column_text(
				stmt, (int)i));
	}
	g_ptr_array_add(out->rows, row);
}

static bool fetch_rows(sqlite3 *db, sqlite3_stmt *stmt,
		       struct engine_result *out)
{
	int rc;

	while ((rc = sqlite3_step(stmt)) == SQLITE_ROW)
		copy_row(stmt, out);
	if (rc == SQLITE_DONE)
		return true;
	fail_db(out, db);
	return false;
}

bool engine_run(struct engine *e, bool writer, const struct memlog_statement *s,
		struct engine_result *out)
{
	sqlite3 *db = connection(e, writer);
	sqlite3_stmt *stmt = prepare(db, s->sql, out);
	bool ok;

	if (!stmt)
		return false;
	e->checks = 0;
	statement_clock = s->clock;
	out->rows = g_ptr_array_new();
	out->wrote = !sqlite3_stmt_readonly(stmt);
	copy_columns(stmt, out);
	ok = bind_all(stmt, s->params, s->count, out) &&
	     fetch_rows(db, stmt, out);
	if (ok && out->wrote)
		out->affected = (uint64_t)sqlite3_changes64(db);
	sqlite3_finalize(stmt);
	return ok;
}

void engine_result_clear(struct engine_result *r)
{
	uint32_t i, k;
	char **row;

	for (i = 0; r->rows && i < r->rows->len; i++) {
		row = r->rows->pdata[i];
		for (k = 0; k < r->column_count; k++)
			g_free(row[k]);
		g_free(row);
	}
	if (r->rows)
		g_ptr_array_unref(r->rows);
	g_strfreev(r->columns);
	g_free(r->types);
	g_free(r->message);
	memset(r, 0, sizeof(*r));
}

static bool exec_internal(struct engine *e, sqlite3 *db, const char *sql)
{
	int rc;

	e->internal = true;
	rc = sqlite3_exec(db, sql, NULL, NULL, NULL);
	e->internal = false;
	return rc == SQLITE_OK;
}

bool engine_begin(struct engine *e)
{
	return exec_internal(e, e->writer, "BEGIN IMMEDIATE");
}

bool engine_commit(struct engine *e, struct engine_result *out)
{
	if (exec_internal(e, e->writer, "COMMIT"))
		return true;
	fail_db(out, e->writer);
	return false;
}

void engine_rollback(struct engine *e)
{
	if (!sqlite3_get_autocommit(e->writer))
		exec_internal(e, e->writer, "ROLLBACK");
}

static bool run_all(struct engine *e, bool writer, const GPtrArray *statements)
{
	struct engine_result result = { 0 };
	struct memlog_statement *s;
	bool ok = true;
	guint i;

	for (i = 0; ok && i < statements->len; i++) {
		s = statements->pdata[i];
		ok = engine_run(e, writer, s, &result);
		engine_result_clear(&result);
	}
	return ok;
}

bool engine_publish(struct engine *e, const GPtrArray *statements)
{
	return exec_internal(e, e->reader, "BEGIN") &&
	       run_all(e, false, statements) &&
	       exec_internal(e, e->reader, "COMMIT");
}

bool engine_apply(struct engine *e, const GPtrArray *statements)
{
	struct engine_result result = { 0 };

	if (engine_begin(e) && run_all(e, true, statements) &&
	    engine_commit(e, &result))
		return engine_publish(e, statements);
	engine_result_clear(&result);
	engine_rollback(e);
	return false;
}

struct engine_image {
	unsigned char *bytes;
	sqlite3_int64 count;
};

struct engine_image *engine_image_new(struct engine *e)
{
	struct engine_image *image = g_new0(struct engine_image, 1);

	e->internal = true;
	image->bytes = sqlite3_serialize(e->reader, "main", &image->count, 0);
	e->internal = false;
	if (image->bytes)
		return image;
	g_free(image);
	return NULL;
}

void engine_image_free(struct engine_image *image)
{
	sqlite3_free(image->bytes);
	g_free(image);
}

static bool load(sqlite3 *db, const struct engine_image *image)
{
	const unsigned flags =
		SQLITE_DESERIALIZE_FREEONCLOSE | SQLITE_DESERIALIZE_RESIZEABLE;
	unsigned char *copy = sqlite3_malloc64((sqlite3_uint64)image->count);

	if (!copy)
		return false;
	memcpy(copy, image->bytes, (size_t)image->count);
	return sqlite3_deserialize(db, "main", copy, image->count, image->count,
				   flags) == SQLITE_OK;
}

struct engine *engine_from_image(const struct engine_image *image)
{
	struct engine *e = engine_new();
	bool ok;

	if (!e)
		return NULL;
	e->internal = true;
	ok = load(e->writer, image) && load(e->reader, image);
	e->internal = false;
	if (ok)
		return e;
	engine_free(e);
	return NULL;
}
