/** @file pg_body.c JSON bodies and state reports of PostgreSQL endpoints. */
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

/* Returns the end of a block comment; block comments nest in SQL. */
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

static bool is_numeric(Oid type)
{
	return type == TYPE_INT8 || type == TYPE_INT4 || type == TYPE_INT2 ||
	       type == TYPE_FLOAT4 || type == TYPE_FLOAT8;
}

static const char *skip_digits(const char *at)
{
	return at + strspn(at, "0123456789");
}

/* Whether a text is a valid JSON number. */
static bool json_number(const char *text)
{
	const char *at = text + (*text == '-');
	const char *end = skip_digits(at);

	if (end == at || (*at == '0' && end > at + 1))
		return false;
	if (*end == '.') {
		at = end + 1;
		end = skip_digits(at);
		if (end == at)
			return false;
	}
	if (*end == 'e' || *end == 'E') {
		at = end + 1;
		at += *at == '-' || *at == '+';
		end = skip_digits(at);
		if (end == at)
			return false;
	}
	return !*end;
}

static void append_char(GString *out, char c)
{
	if (c == '"' || c == '\\') {
		g_string_append_c(out, '\\');
		g_string_append_c(out, c);
	} else if ((unsigned char)c < ' ') {
		g_string_append_printf(out, "\\u%04x", (unsigned)c);
	} else {
		g_string_append_c(out, c);
	}
}

static void append_text(GString *out, const char *text)
{
	char *valid = NULL;

	if (!g_utf8_validate(text, -1, NULL))
		text = valid = g_utf8_make_valid(text, -1);
	g_string_append_c(out, '"');
	for (; *text; text++)
		append_char(out, *text);
	g_string_append_c(out, '"');
	g_free(valid);
}

static void append_value(GString *out, const PGresult *r, int row, int column)
{
	const char *text = PQgetvalue(r, row, column);
	Oid type = PQftype(r, column);

	if (PQgetisnull(r, row, column))
		g_string_append(out, "null");
	else if (is_numeric(type) && json_number(text))
		g_string_append(out, text);
	else if (type == TYPE_BOOL)
		g_string_append(out, text[0] == 't' ? "true" : "false");
	else
		append_text(out, text);
}

static void append_row(GString *out, const PGresult *r, int row)
{
	int i;

	g_string_append_c(out, '[');
	for (i = 0; i < PQnfields(r); i++) {
		if (i)
			g_string_append_c(out, ',');
		append_value(out, r, row, i);
	}
	g_string_append_c(out, ']');
}

static void append_columns(GString *out, const PGresult *r)
{
	int i;

	g_string_append(out, "{\"columns\":[");
	for (i = 0; i < PQnfields(r); i++) {
		if (i)
			g_string_append_c(out, ',');
		append_text(out, PQfname(r, i));
	}
	g_string_append(out, "],\"rows\":[");
}

static bool over_limit(const struct pg_rows *rows, struct pg_rows_limit limit)
{
	return (limit.rows && rows->rows > limit.rows) ||
	       (limit.bytes && rows->text->len > limit.bytes);
}

void pg_rows_add(struct pg_rows *rows, const PGresult *r,
		 struct pg_rows_limit limit)
{
	int i;

	if (!rows->text) {
		rows->text = g_string_new(NULL);
		append_columns(rows->text, r);
	}
	for (i = 0; i < PQntuples(r) && !rows->over; i++) {
		if (rows->rows++)
			g_string_append_c(rows->text, ',');
		append_row(rows->text, r, i);
		rows->over = over_limit(rows, limit);
	}
}

GBytes *pg_rows_end(struct pg_rows *rows, const PGresult *last,
		    struct pg_rows_limit limit)
{
	const char *affected = PQcmdTuples((PGresult *)last);
	GString *text;

	pg_rows_add(rows, last, limit);
	if (rows->over)
		return NULL;
	text = rows->text;
	rows->text = NULL;
	g_string_append_printf(text, "],\"affected\":%s}",
			       *affected ? affected : "0");
	return g_string_free_to_bytes(text);
}

void pg_rows_clear(struct pg_rows *rows)
{
	if (rows->text)
		g_string_free(rows->text, true);
	memset(rows, 0, sizeof(*rows));
}

GBytes *pg_body_error(const char *sqlstate, const char *message)
{
	GString *text = g_string_new("{\"sqlstate\":");

	append_text(text, sqlstate);
	g_string_append(text, ",\"message\":");
	append_text(text, message);
	g_string_append_c(text, '}');
	return g_string_free_to_bytes(text);
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

static struct log_pos log_pos_json(const json_t *j)
{
	struct log_pos m = {
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
		out->begin[i] = log_pos_json(json_array_get(j, skip + i));
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
	out->at = log_pos_json(json_object_get(j, "at"));
	read_lineage(json_object_get(j, "lineage"), &out->lineage);
	out->owner = hex_field(j, "home");
	out->owner_idle = json_integer_value(json_object_get(j, "home_idle"));
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
