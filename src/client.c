/** @file client.c Blocking client of the HTTP interface, on libcurl. */
#include "client.h"

#include <curl/curl.h>
#include <glib.h>
#include <string.h>

#define CALL_LIMIT_MS 20000L

struct client {
	CURL *curl;
	char address[ADDRESS_BYTES];
	char authorization[256];
	char token[TOKEN_TEXT_BYTES];
	bool sent; /* a send of the current request has begun */
	double retry_after_s;
	GString *received;
};

struct client *client_new(const char *address, const char *key)
{
	struct client *c = g_new0(struct client, 1);

	c->curl = curl_easy_init();
	c->received = g_string_new(NULL);
	g_strlcpy(c->address, address, sizeof(c->address));
	if (key)
		g_snprintf(c->authorization, sizeof(c->authorization),
			   "Authorization: Bearer %s", key);
	return c;
}

void client_free(struct client *c)
{
	if (!c)
		return;
	curl_easy_cleanup(c->curl);
	g_string_free(c->received, TRUE);
	g_free(c);
}

void client_set_address(struct client *c, const char *address)
{
	g_strlcpy(c->address, address, sizeof(c->address));
}

static size_t on_data(char *data, size_t size, size_t count, void *arg)
{
	struct client *c = arg;

	g_string_append_len(c->received, data, (gssize)(size * count));
	return size * count;
}

/*
 * Copies the value of a header line that begins with @a name, which ends with
 * the colon.
 */
static bool header_value(const char *line, size_t bytes, const char *name,
			 char *out, size_t size)
{
	size_t used = strlen(name);
	char *text;

	if (bytes <= used || g_ascii_strncasecmp(line, name, used) != 0)
		return false;
	text = g_strndup(line + used, bytes - used);
	g_strlcpy(out, g_strstrip(text), size);
	g_free(text);
	return true;
}

static size_t on_header(char *line, size_t size, size_t count, void *arg)
{
	struct client *c = arg;
	char number[32];

	header_value(line, size * count, "session-token:", c->token,
		     sizeof(c->token));
	if (header_value(line, size * count, "retry-after:", number,
			 sizeof(number)))
		c->retry_after_s = g_ascii_strtod(number, NULL);
	return size * count;
}

static struct curl_slist *headers(const struct client *c)
{
	struct curl_slist *list = NULL;
	char token[TOKEN_TEXT_BYTES + 16];

	list = curl_slist_append(list, "Content-Type: application/json");
	list = curl_slist_append(list, "Expect:");
	if (c->authorization[0])
		list = curl_slist_append(list, c->authorization);
	if (c->token[0]) {
		g_snprintf(token, sizeof(token), "Session-Token: %s", c->token);
		list = curl_slist_append(list, token);
	}
	return list;
}

static void parse_answer(const struct client *c, struct client_answer *out)
{
	json_t *error;
	const char *text;

	out->body = json_loadb(c->received->str, c->received->len, 0, NULL);
	out->retry_after_s = c->retry_after_s;
	error = json_object_get(out->body, "error");
	text = json_string_value(json_object_get(error, "code"));
	g_strlcpy(out->code, text ? text : "ok", sizeof(out->code));
	text = json_string_value(json_object_get(error, "execution"));
	g_strlcpy(out->execution, text ? text : "", sizeof(out->execution));
}

/*
 * Called before each send of a request; aborts the second send of the same one.
 * libcurl repeats a request when a reused connection is closed before the
 * reply, but the first send may have been executed.
 */
static int on_send(void *arg, char *to, char *from, int to_port, int from_port)
{
	struct client *c = arg;
	bool again = c->sent;

	(void)to;
	(void)from;
	(void)to_port;
	(void)from_port;
	c->sent = true;
	return again ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

/* Performs a call; @a body NULL means GET. */
static void perform(struct client *c, const char *path, const char *body,
		    struct client_answer *out)
{
	char url[ADDRESS_BYTES + 256];
	struct curl_slist *list = headers(c);
	long status = 0;
	CURLcode done;

	memset(out, 0, sizeof(*out));
	g_string_truncate(c->received, 0);
	c->retry_after_s = 0;
	c->sent = false;
	g_snprintf(url, sizeof(url), "http://%s%s", c->address, path);
	curl_easy_setopt(c->curl, CURLOPT_URL, url);
	curl_easy_setopt(c->curl, CURLOPT_HTTPHEADER, list);
	curl_easy_setopt(c->curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c->curl, CURLOPT_TIMEOUT_MS, CALL_LIMIT_MS);
	curl_easy_setopt(c->curl, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(c->curl, CURLOPT_WRITEDATA, c);
	curl_easy_setopt(c->curl, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(c->curl, CURLOPT_HEADERDATA, c);
	curl_easy_setopt(c->curl, CURLOPT_PREREQFUNCTION, on_send);
	curl_easy_setopt(c->curl, CURLOPT_PREREQDATA, c);
	if (body)
		curl_easy_setopt(c->curl, CURLOPT_COPYPOSTFIELDS, body);
	else
		curl_easy_setopt(c->curl, CURLOPT_HTTPGET, 1L);
	done = curl_easy_perform(c->curl);
	if (done == CURLE_OK)
		curl_easy_getinfo(c->curl, CURLINFO_RESPONSE_CODE, &status);
	curl_slist_free_all(list);
	out->status = (int)status;
	if (status)
		parse_answer(c, out);
	else
		g_strlcpy(out->code,
			  done == CURLE_COULDNT_CONNECT && !c->sent
				  ? "no_connection"
				  : "no_answer",
			  sizeof(out->code));
}

void client_post(struct client *c, const char *path, json_t *body,
		 struct client_answer *out)
{
	char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;

	perform(c, path, text ? text : "{}", out);
	g_free(text);
}

void client_get(struct client *c, const char *path, struct client_answer *out)
{
	perform(c, path, NULL, out);
}

static void set_text(json_t *object, const char *name, const char *value)
{
	if (value)
		json_object_set_new(object, name, json_string(value));
}

static void set_number(json_t *object, const char *name, int value)
{
	if (value)
		json_object_set_new(object, name, json_integer(value));
}

void client_statement(struct client *c, const struct client_statement *s,
		      struct client_answer *out)
{
	json_t *body = json_object();

	set_text(body, "database", s->database);
	set_text(body, "sql", s->sql);
	set_text(body, "mode", s->mode);
	set_text(body, "transaction", s->transaction);
	set_number(body, "max_age_ms", s->max_age_ms);
	set_number(body, "deadline_ms", s->deadline_ms);
	if (s->idempotent)
		json_object_set_new(body, "idempotent", json_true());
	if (s->parameter)
		json_object_set_new(body, "params",
				    json_pack("[s]", s->parameter));
	client_post(c, "/v1/statement", body, out);
	json_decref(body);
}

void client_answer_free(struct client_answer *a)
{
	json_decref(a->body);
	a->body = NULL;
}

json_int_t client_number(const struct client_answer *a, json_int_t missing)
{
	json_t *result = json_object_get(a->body, "result");
	json_t *row = json_array_get(json_object_get(result, "rows"), 0);
	json_t *cell = json_array_get(row, 0);

	if (json_is_integer(cell))
		return json_integer_value(cell);
	if (json_is_string(cell))
		return g_ascii_strtoll(json_string_value(cell), NULL, 10);
	return missing;
}
