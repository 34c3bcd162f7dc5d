/** @file reply.c Writes answers to clients as JSON. */
#include "reply.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "request.h"

const char *advice_name(enum retry_advice advice)
{
	switch (advice) {
	case RETRY_NEVER:
		return "never";
	case RETRY_NOW:
		return "now";
	case RETRY_LATER:
		return "later";
	case RETRY_CHECK_FIRST:
		break;
	}
	return "check_first";
}

enum retry_advice reply_advice(const struct result *result)
{
	enum retry_advice advice = error_answer(result->error)->retry;

	if (advice == RETRY_NEVER || result->execution == EXEC_NOT_RUN)
		return advice;
	return RETRY_CHECK_FIRST;
}

hm_time reply_retry_ms(hm_time retry_at, hm_time now)
{
	hm_time left = retry_at - now;

	return left <= 0 ? 1 : (left + HM_MS - 1) / HM_MS;
}

/*
 * The text as a JSON string. Invalid UTF-8, which JSON does not allow and which
 * truncation can cause, is replaced.
 */
static json_t *utf8_string(const char *text)
{
	char *valid = g_utf8_make_valid(text, -1);
	json_t *string = json_string(valid);

	g_free(valid);
	return string;
}

static void append_error(json_t *root, const struct reply *r)
{
	const struct result *result = r->result;
	const struct error_answer *answer = error_answer(result->error);
	json_t *error = json_object();

	json_object_set_new(error, "code", json_string(answer->code));
	json_object_set_new(error, "text",
			    utf8_string(r->text ? r->text : answer->text));
	json_object_set_new(error, "execution",
			    json_string(execution_name(result->execution)));
	json_object_set_new(error, "retry",
			    json_string(advice_name(reply_advice(result))));
	if (result->retry_at)
		json_object_set_new(
			error, "retry_after_ms",
			json_integer(reply_retry_ms(result->retry_at, r->now)));
	if (r->body)
		json_object_set_new(error, "database",
				    json_loadb(g_bytes_get_data(r->body, NULL),
					       g_bytes_get_size(r->body), 0,
					       NULL));
	json_object_set_new(root, "error", error);
}

static void append_request(json_t *root, const struct reply *r)
{
	char text[TX_TEXT_BYTES];

	rid_text(r->result->id, text);
	json_object_set_new(root, "request", json_string(text));
	if (r->result->tx.id.seq) {
		tx_text(r->result->tx, r->tx_database, text);
		json_object_set_new(root, "transaction", json_string(text));
	}
	if (r->endpoint)
		json_object_set_new(root, "endpoint", utf8_string(r->endpoint));
}

/*
 * Appends the rows of a result. They are JSON already and can be large, so they
 * are copied unparsed.
 */
static void append_rows(GString *out, GBytes *body)
{
	gsize bytes;
	const char *rows = g_bytes_get_data(body, &bytes);

	g_string_truncate(out, out->len - 1);
	g_string_append(out, ",\"result\":");
	g_string_append_len(out, rows, (gssize)bytes);
	g_string_append_c(out, '}');
}

GString *reply_json(const struct reply *r)
{
	const struct result *result = r->result;
	json_t *root = json_object();
	GString *out;
	char *text;

	append_request(root, r);
	if (result->error != ERR_NONE)
		append_error(root, r);
	else if (r->body && result->age_bound != HM_NEVER)
		json_object_set_new(
			root, "age_bound_ms",
			json_integer((result->age_bound + HM_MS - 1) / HM_MS));
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	out = g_string_new(text);
	free(text);
	if (result->error == ERR_NONE && r->body)
		append_rows(out, r->body);
	return out;
}
