/** @file pg_body.c JSON bodies and state rows of the PostgreSQL driver. */
#include "pg_body.h"

#include <jansson.h>
#include <string.h>

#define TYPE_BOOL 16
#define TYPE_INT8 20
#define TYPE_INT2 21
#define TYPE_INT4 23
#define TYPE_FLOAT4 700
#define TYPE_FLOAT8 701

static char *param_text(const json_t *v)
{
	char number[G_ASCII_DTOSTR_BUF_SIZE];

	switch (json_typeof(v)) {
	case JSON_NULL:
		return NULL;
	case JSON_STRING:
		return g_strdup(json_string_value(v));
	case JSON_TRUE:
		return g_strdup("1");
	case JSON_FALSE:
		return g_strdup("0");
	case JSON_INTEGER:
		return g_strdup_printf("%" JSON_INTEGER_FORMAT,
				       json_integer_value(v));
	case JSON_REAL:
		return g_strdup(g_ascii_dtostr(number, sizeof(number),
					       json_real_value(v)));
	default:
		return json_dumps(v, JSON_COMPACT);
	}
}

bool pg_query_parse(GBytes *body, struct pg_query *out)
{
	gsize bytes;
	const char *text = g_bytes_get_data(body, &bytes);
	json_t *j = json_loadb(text, bytes, 0, NULL);
	const char *sql = json_string_value(json_object_get(j, "sql"));
	const json_t *params = json_object_get(j, "params");
	int i;

	memset(out, 0, sizeof(*out));
	if (!sql) {
		json_decref(j);
		return false;
	}
	out->sql = g_strdup(sql);
	out->count = (int)json_array_size(params);
	out->params = g_new0(char *, (gsize)out->count + 1);
	for (i = 0; i < out->count; i++)
		out->params[i] = param_text(json_array_get(params, (size_t)i));
	json_decref(j);
	return true;
}

void pg_query_clear(struct pg_query *q)
{
	int i;

	for (i = 0; i < q->count; i++)
		g_free(q->params[i]);
	g_free(q->params);
	g_free(q->sql);
	memset(q, 0, sizeof(*q));
}

/* End of a block comment; these nest. */
static const char *skip_block(const char *at)
{
	uint32_t depth = 0;

	do {
		if (at[0] == '/' && at[1] == '*')
			depth++;
		if (at[0] == '*' && at[1] == '/')
			depth--;
		at += (at[0] == '/' && at[1] == '*') ||
				      (at[0] == '*' && at[1] == '/')
			      ? 2
			      : 1;
	} while (depth && *at);
	return at;
}

static const char *skip_blanks(const char *at)
{
	for (;;) {
		at += strspn(at, " \t\r\n\f\v;(");
		if (g_str_has_prefix(at, "--"))
			at += strcspn(at, "\r\n");
		else if (g_str_has_prefix(at, "/*"))
			at = skip_block(at);
		else
			return at;
	}
}

bool pg_query_allowed(const char *sql)
{
	static const char *const refused[] = {
		"abort",   "attach",   "begin",	   "call",	"checkpoint",
		"close",   "cluster",  "commit",   "copy",	"deallocate",
		"declare", "detach",   "discard",  "do",	"end",
		"execute", "fetch",    "listen",   "load",	"lock",
		"move",	   "notify",   "pragma",   "prepare",	"reassign",
		"release", "reset",    "rollback", "savepoint", "set",
		"start",   "unlisten", "vacuum",   NULL
	};
	const char *at = skip_blanks(sql);
	char *word = g_ascii_strdown(
		at, (gssize)strspn(at, G_CSET_A_2_Z G_CSET_a_2_z "_"));
	bool allowed = *word && !g_strv_contains(refused, word);

	g_free(word);
	return allowed;
}

static bool numeric(Oid type)
{
	return type == TYPE_INT8 || type == TYPE_INT4 || type == TYPE_INT2 ||
	       type == TYPE_FLOAT4 || type == TYPE_FLOAT8;
}

static json_t *value_number(const char *text)
{
	json_t *j = json_loads(text, JSON_DECODE_ANY, NULL);

	if (json_is_number(j))
		return j;
	json_decref(j);
	return json_string(text);
}

static json_t *value_text(const char *text)
{
	json_t *j = json_string(text);
	char *valid;

	if (j)
		return j;
	valid = g_utf8_make_valid(text, -1);
	j = json_string(valid);
	g_free(valid);
	return j;
}

static json_t *value(const PGresult *r, int row, int column)
{
	const char *text = PQgetvalue(r, row, column);
	Oid type = PQftype(r, column);

	if (PQgetisnull(r, row, column))
		return json_null();
	if (numeric(type))
		return value_number(text);
	if (type == TYPE_BOOL)
		return json_boolean(text[0] == 't');
	return value_text(text);
}

static json_t *row_json(const PGresult *r, int row)
{
	json_t *j = json_array();
	int i;

	for (i = 0; i < PQnfields(r); i++)
		json_array_append_new(j, value(r, row, i));
	return j;
}

static GBytes *dump(json_t *j)
{
	char *text = json_dumps(j, JSON_COMPACT);

	json_decref(j);
	return g_bytes_new_with_free_func(text, strlen(text), free, text);
}

static json_t *rows_json(const PGresult *r)
{
	json_t *columns = json_array();
	json_t *rows = json_array();
	gint64 affected = g_ascii_strtoll(PQcmdTuples((PGresult *)r), NULL, 10);
	int i;

	for (i = 0; i < PQnfields(r); i++)
		json_array_append_new(columns, value_text(PQfname(r, i)));
	for (i = 0; i < PQntuples(r); i++)
		json_array_append_new(rows, row_json(r, i));
	return json_pack("{s:o, s:o, s:I}", "columns", columns, "rows", rows,
			 "affected", (json_int_t)affected);
}

GBytes *pg_body_rows(const PGresult *r, uint32_t rows, uint32_t bytes)
{
	GBytes *body;

	if (rows && (uint32_t)PQntuples(r) > rows)
		return NULL;
	if (bytes && PQresultMemorySize(r) / 4 > bytes)
		return NULL;
	body = dump(rows_json(r));
	if (!bytes || g_bytes_get_size(body) <= bytes)
		return body;
	g_bytes_unref(body);
	return NULL;
}

GBytes *pg_body_error(const char *sqlstate, const char *message)
{
	json_t *j = json_object();

	json_object_set_new(j, "sqlstate", value_text(sqlstate));
	json_object_set_new(j, "message", value_text(message));
	return dump(j);
}

GBytes *pg_body_failure(const PGresult *r)
{
	const char *state = PQresultErrorField(r, PG_DIAG_SQLSTATE);
	const char *message = PQresultErrorField(r, PG_DIAG_MESSAGE_PRIMARY);

	return pg_body_error(state ? state : "08006",
			     message ? message : "no message");
}

bool pg_ends_connection(const PGresult *r)
{
	const char *severity =
		PQresultErrorField(r, PG_DIAG_SEVERITY_NONLOCALIZED);

	if (PQresultStatus(r) != PGRES_FATAL_ERROR)
		return false;
	return !severity || !strcmp(severity, "FATAL") ||
	       !strcmp(severity, "PANIC");
}

static uint64_t hex_field(const json_t *j, const char *name)
{
	const char *text = json_string_value(json_object_get(j, name));

	return text ? g_ascii_strtoull(text, NULL, 16) : 0;
}

static struct mark mark_json(const json_t *j)
{
	struct mark m = {
		(uint64_t)json_integer_value(json_array_get(j, 0)),
		(uint64_t)json_integer_value(json_array_get(j, 1)),
	};

	return m;
}

static void read_lineage(const json_t *j, struct lineage *out)
{
	size_t i, count = json_array_size(j);
	size_t skip = count > LINEAGE_MAX ? count - LINEAGE_MAX : 0;

	out->count = (uint32_t)(count - skip);
	for (i = 0; i < out->count; i++)
		out->begin[i] = mark_json(json_array_get(j, skip + i));
}

static void read_state(const json_t *j, struct endpoint_state *out)
{
	const char *role = json_string_value(json_object_get(j, "role"));

	out->reachable = true;
	out->refused = json_is_true(json_object_get(j, "refused"));
	out->role = !g_strcmp0(role, "primary") ? ROLE_PRIMARY : ROLE_REPLICA;
	out->promised =
		(uint64_t)json_integer_value(json_object_get(j, "promised"));
	out->promised_by = hex_field(j, "promised_by");
	out->at = mark_json(json_object_get(j, "at"));
	read_lineage(json_object_get(j, "lineage"), &out->lineage);
	out->home = hex_field(j, "home");
	out->home_idle = json_integer_value(json_object_get(j, "home_idle"));
}

bool pg_state_parse(const PGresult *r, struct endpoint_state *out)
{
	json_t *j;

	if (PQresultStatus(r) != PGRES_TUPLES_OK || PQntuples(r) != 1 ||
	    PQnfields(r) != 1)
		return false;
	j = json_loads(PQgetvalue(r, 0, 0), 0, NULL);
	if (!j)
		return false;
	read_state(j, out);
	json_decref(j);
	return true;
}
