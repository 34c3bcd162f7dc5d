/** @file request.c Parses and validates request bodies. */
#include "request.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fields.h"
#include "names.h"

#define MODE_BYTES 8
#define DURATION_MAX_MS 86400000
#define REAL_BYTES 32

/* Body fields of fixed size, read by fields_read(); not sql and params. */
struct raw {
	char database[NAME_BYTES];
	char mode[MODE_BYTES];
	char transaction[TX_TEXT_BYTES];
	bool idempotent;
	hm_time max_age;
	hm_time wait;
};

#define AT(member) offsetof(struct raw, member)

static const struct field statement_fields[] = {
	{ .path = "database",
	  .kind = FIELD_NAME,
	  .at = AT(database),
	  .most = NAME_BYTES - 1,
	  .required = true },
	{ .path = "sql", .kind = FIELD_OTHER, .required = true },
	{ .path = "params", .kind = FIELD_OTHER },
	{ .path = "mode",
	  .kind = FIELD_TEXT,
	  .at = AT(mode),
	  .most = MODE_BYTES - 1,
	  .required = true },
	{ .path = "idempotent", .kind = FIELD_BOOL, .at = AT(idempotent) },
	{ .path = "max_age_ms",
	  .kind = FIELD_MS,
	  .at = AT(max_age),
	  .most = DURATION_MAX_MS },
	{ .path = "deadline_ms",
	  .kind = FIELD_MS,
	  .at = AT(wait),
	  .least = 1,
	  .most = DURATION_MAX_MS },
	{ .path = "transaction",
	  .kind = FIELD_TEXT,
	  .at = AT(transaction),
	  .most = TX_TEXT_BYTES - 1 },
};

static const struct field begin_fields[] = {
	{ .path = "database",
	  .kind = FIELD_NAME,
	  .at = AT(database),
	  .most = NAME_BYTES - 1,
	  .required = true },
	{ .path = "deadline_ms",
	  .kind = FIELD_MS,
	  .at = AT(wait),
	  .least = 1,
	  .most = DURATION_MAX_MS },
};

static const struct field end_fields[] = {
	{ .path = "deadline_ms",
	  .kind = FIELD_MS,
	  .at = AT(wait),
	  .least = 1,
	  .most = DURATION_MAX_MS },
};

#define COUNT_OF(list) (sizeof(list) / sizeof((list)[0]))

void tx_text(struct tx_id tx, hm_id database, char out[TX_TEXT_BYTES])
{
	snprintf(out, TX_TEXT_BYTES,
		 "%016" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER
		 "x-%016" G_GINT64_MODIFIER "x-%016" G_GINT64_MODIFIER "x",
		 tx.id.incarnation, tx.id.seq, tx.endpoint, database);
}

/*
 * Parses 1 to 16 hexadecimal digits that end at @a stop, or at @a end if
 * @a stop is NUL. Returns the rest of the text, NULL if malformed.
 */
static const char *parse_group(const char *p, const char *end, char stop,
			       uint64_t *out)
{
	int digits = 0, digit;

	for (*out = 0; p < end && *p != stop; p++) {
		digit = g_ascii_xdigit_value(*p);
		if (digit < 0 || ++digits > 16)
			return NULL;
		*out = *out << 4 | (unsigned int)digit;
	}
	if (!digits || (stop && p == end))
		return NULL;
	return stop ? p + 1 : p;
}

bool tx_parse(const char *text, size_t bytes, struct tx_id *tx, hm_id *database)
{
	const char *end = text + bytes;
	const char *p = text;

	memset(tx, 0, sizeof(*tx));
	if (bytes >= TX_TEXT_BYTES)
		return false;
	if (!(p = parse_group(p, end, '-', &tx->id.incarnation)) ||
	    !(p = parse_group(p, end, '-', &tx->id.seq)) ||
	    !(p = parse_group(p, end, '-', &tx->endpoint)) ||
	    !(p = parse_group(p, end, '\0', database)))
		return false;
	return p == end && tx->id.seq && tx->endpoint && *database;
}

static bool refuse(struct refusal *why, enum error error, const char *format,
		   long long limit)
{
	why->error = error;
	snprintf(why->text, sizeof(why->text), format, limit);
	return false;
}

static bool check_params(const json_t *params, const struct settings *settings,
			 struct fault *fault, struct refusal *why)
{
	const json_t *item;
	char path[32];
	size_t i;

	if (!params)
		return true;
	if (!json_is_array(params))
		return fault_value(fault, "$.params", params, "an array");
	if (json_array_size(params) > settings->parameter_limit)
		return refuse(why, ERR_TOO_LARGE,
			      "body: $.params: at most %lld are allowed",
			      settings->parameter_limit);
	for (i = 0; i < json_array_size(params); i++) {
		item = json_array_get(params, i);
		if (!json_is_array(item) && !json_is_object(item))
			continue;
		snprintf(path, sizeof(path), "$.params[%zu]", i);
		return fault_value(fault, path, item,
				   "null, true, false, a number or text");
	}
	return true;
}

/*
 * Precision for writing the real numbers in @a params: 15 digits if all of them
 * read back as the same numbers, else 17. jansson has one precision per text.
 */
static size_t real_digits(const json_t *params)
{
	char text[REAL_BYTES];
	size_t i;

	for (i = 0; i < json_array_size(params); i++) {
		const json_t *item = json_array_get(params, i);

		if (!json_is_real(item))
			continue;
		g_ascii_formatd(text, sizeof(text), "%.15g",
				json_real_value(item));
		if (g_ascii_strtod(text, NULL) != json_real_value(item))
			return 17;
	}
	return 15;
}

static GBytes *statement_body(const json_t *root)
{
	json_t *params = json_object_get(root, "params");
	json_t *body = json_object();
	size_t flags = JSON_COMPACT | JSON_REAL_PRECISION(real_digits(params));
	char *text;

	json_object_set(body, "sql", json_object_get(root, "sql"));
	if (params)
		json_object_set(body, "params", params);
	else
		json_object_set_new(body, "params", json_array());
	text = json_dumps(body, flags);
	json_decref(body);
	return g_bytes_new_with_free_func(text, strlen(text), free, text);
}

static bool parse_mode(struct request *r, const struct raw *raw,
		       const json_t *root, struct fault *fault)
{
	const json_t *mode = json_object_get(root, "mode");

	if (!strcmp(raw->mode, "read"))
		r->op = OP_READ;
	else if (!strcmp(raw->mode, "write"))
		r->op = OP_WRITE;
	else
		return fault_value(fault, "$.mode", mode,
				   "\"read\" or \"write\"");
	if (r->op == OP_WRITE && raw->max_age)
		return fault_value(fault, "$.max_age_ms",
				   json_object_get(root, "max_age_ms"),
				   "0 or nothing with mode \"write\"");
	r->max_age = raw->max_age;
	/* A read can be repeated unless the client declares otherwise. */
	r->idempotent = json_object_get(root, "idempotent") ? raw->idempotent
							    : r->op == OP_READ;
	return true;
}

/*
 * Checks the fields of a statement in a transaction. Such statements all run at
 * the endpoint of the transaction and are never repeated, so they cannot be
 * idempotent or accept older data of another endpoint.
 */
static bool parse_transaction(struct request *r, const struct raw *raw,
			      const json_t *root, struct fault *fault)
{
	const json_t *tx = json_object_get(root, "transaction");

	if (!tx)
		return true;
	if (!tx_parse(raw->transaction, strlen(raw->transaction), &r->tx,
		      &r->tx_database))
		return fault_value(fault, "$.transaction", tx,
				   "a transaction ID from /v1/transaction");
	if (r->tx_database != name_id(r->database))
		return fault_value(fault, "$.database",
				   json_object_get(root, "database"),
				   "the database of the transaction");
	if (raw->max_age)
		return fault_value(fault, "$.max_age_ms",
				   json_object_get(root, "max_age_ms"),
				   "0 or nothing within a transaction");
	r->idempotent = false;
	return true;
}

static bool parse_statement(struct request *r, const struct raw *raw,
			    const json_t *root, const struct settings *settings,
			    struct fault *fault, struct refusal *why)
{
	const json_t *sql = json_object_get(root, "sql");

	if (!json_is_string(sql) || !json_string_length(sql))
		return fault_value(fault, "$.sql", sql,
				   "text that is not empty");
	if (!check_params(json_object_get(root, "params"), settings, fault,
			  why) ||
	    !parse_mode(r, raw, root, fault) ||
	    !parse_transaction(r, raw, root, fault))
		return false;
	r->body = statement_body(root);
	return true;
}

static bool read_fields(enum op op, const json_t *root, struct raw *raw,
			struct fault *fault)
{
	switch (op) {
	case OP_READ:
	case OP_WRITE:
		return fields_read(statement_fields, COUNT_OF(statement_fields),
				   root, raw, fault);
	case OP_BEGIN:
		return fields_read(begin_fields, COUNT_OF(begin_fields), root,
				   raw, fault);
	case OP_COMMIT:
	case OP_ROLLBACK:
		break;
	}
	return fields_read(end_fields, COUNT_OF(end_fields), root, raw, fault);
}

static void set_deadline(struct request *r, const struct raw *raw,
			 const struct settings *settings, hm_time now)
{
	hm_time wait = raw->wait ? raw->wait : settings->deadline_default;

	r->deadline = now + MIN(wait, settings->deadline_limit);
}

/*
 * Parses the body as JSON. Commit and rollback require no field: there an empty
 * body counts as {}.
 */
static json_t *load_body(enum op op, const char *text, size_t bytes,
			 struct fault *fault)
{
	json_error_t error;
	json_t *root;

	if (!bytes && (op == OP_COMMIT || op == OP_ROLLBACK))
		return json_object();
	root = json_loadb(text, bytes, JSON_REJECT_DUPLICATES, &error);
	if (!root)
		fault_syntax(fault, &error);
	return root;
}

bool request_parse(struct request *r, enum op op, const char *text,
		   size_t bytes, const struct settings *settings, hm_time now,
		   struct refusal *why)
{
	struct fault fault = { .file = "body", .text = why->text };
	struct raw raw = { 0 };
	json_t *root;
	bool ok;

	memset(r, 0, sizeof(*r));
	r->op = op;
	why->error = ERR_BAD_REQUEST;
	why->text[0] = '\0';
	if (bytes > settings->body_limit)
		return refuse(why, ERR_TOO_LARGE,
			      "body: more than %lld bytes are not allowed",
			      settings->body_limit);
	root = load_body(op, text, bytes, &fault);
	if (!root)
		return false;
	ok = read_fields(op, root, &raw, &fault);
	snprintf(r->database, sizeof(r->database), "%s", raw.database);
	if (ok && (op == OP_READ || op == OP_WRITE))
		ok = parse_statement(r, &raw, root, settings, &fault, why);
	if (ok)
		set_deadline(r, &raw, settings, now);
	json_decref(root);
	return ok;
}
