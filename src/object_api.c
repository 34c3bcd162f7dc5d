/** @file object_api.c Calls to the platform's object API over HTTP. */
#include "object_api.h"

#include <glib.h>
#include <string.h>

#include "http_call.h"
#include "loop.h"

#define RETRY_PAUSE (50 * HM_MS)

#define HTTP_OK 200
#define HTTP_NOT_FOUND 404
#define HTTP_CONFLICT 409
#define HTTP_TOO_MANY 429
#define HTTP_CLIENT_ERROR 400
#define HTTP_SERVER_ERROR 500

struct object_api {
	struct http_client *http;
};

struct object_api *object_api_new(const char *address)
{
	struct object_api *api = g_new0(struct object_api, 1);

	api->http = http_client_new(address);
	return api;
}

void object_api_free(struct object_api *api)
{
	if (!api)
		return;
	http_client_free(api->http);
	g_free(api);
}

void object_api_cancel(struct object_api *api)
{
	http_client_cancel(api->http);
}

uint64_t object_api_calls(const struct object_api *api)
{
	return http_client_calls(api->http);
}

static enum api_outcome outcome_of(const struct http_reply *r)
{
	if (!r->answered)
		return r->sent ? API_OUTCOME_UNKNOWN : API_UNAVAILABLE;
	switch (r->status) {
	case HTTP_OK:
		return API_OK;
	case HTTP_NOT_FOUND:
		return API_NOT_FOUND;
	case HTTP_CONFLICT:
		return API_CONFLICT;
	case HTTP_TOO_MANY:
		return API_UNAVAILABLE;
	default:
		break;
	}
	/* After a server error a change may or may not have taken effect. */
	if (r->status >= HTTP_CLIENT_ERROR && r->status < HTTP_SERVER_ERROR)
		return API_INVALID;
	return API_OUTCOME_UNKNOWN;
}

/* Makes a call. *json receives a new reference to the reply's JSON, or NULL. */
static enum api_outcome call_json(struct object_api *api, const char *method,
				  const char *path, const char *body,
				  hm_time until, json_t **json)
{
	enum api_outcome outcome;
	struct http_reply reply;

	http_call(api->http, method, path, NULL, body, until, &reply);
	outcome = outcome_of(&reply);
	*json = NULL;
	if (outcome == API_OK || outcome == API_CONFLICT)
		*json = json_loadb(reply.text->str, reply.text->len, 0, NULL);
	if (outcome == API_OK && !*json)
		outcome = API_OUTCOME_UNKNOWN;
	http_reply_clear(&reply);
	return outcome;
}

/*
 * Reads @a path. A read changes nothing, so a lost reply gives API_UNAVAILABLE
 * and never API_OUTCOME_UNKNOWN.
 */
enum api_outcome object_api_read(struct object_api *api, const char *path,
				 hm_time until, json_t **json)
{
	enum api_outcome o = call_json(api, "GET", path, NULL, until, json);

	return o == API_OUTCOME_UNKNOWN ? API_UNAVAILABLE : o;
}

enum api_outcome object_api_get(struct object_api *api, const char *kind,
				const char *name, hm_time until,
				struct object *out)
{
	char *path = g_strdup_printf("/objects/%s/%s", kind, name);
	char fault[OBJECT_FAULT_BYTES];
	enum api_outcome outcome;
	json_t *json;

	outcome = object_api_read(api, path, until, &json);
	if (outcome == API_OK && !object_parse(json, out, fault))
		outcome = API_INVALID;
	json_decref(json);
	g_free(path);
	return outcome;
}

static enum api_outcome read_list(struct object_api *api, const char *path,
				  hm_time until, struct object_list *out)
{
	char fault[OBJECT_FAULT_BYTES];
	enum api_outcome outcome;
	json_t *json;

	outcome = object_api_read(api, path, until, &json);
	if (outcome == API_OK && !object_list_parse(json, out, fault))
		outcome = API_INVALID;
	json_decref(json);
	return outcome;
}

enum api_outcome object_api_list(struct object_api *api, const char *kind,
				 hm_time until, struct object_list *out)
{
	char *path = g_strdup_printf("/objects/%s", kind);
	enum api_outcome outcome = read_list(api, path, until, out);

	g_free(path);
	return outcome;
}

enum api_outcome object_api_watch(struct object_api *api, const char *kind,
				  uint64_t from, hm_time wait, hm_time until,
				  struct object_list *out)
{
	enum api_outcome outcome;
	char *path;

	path = g_strdup_printf("/objects/%s?watch=1&from=%" G_GUINT64_FORMAT
			       "&wait_ms=%" G_GINT64_FORMAT,
			       kind, from, wait / HM_MS);
	outcome = read_list(api, path, until, out);
	g_free(path);
	return outcome;
}

static char *put_body(uint64_t if_version, const json_t *value)
{
	json_t *body = json_pack("{s:I, s:O}", "if_version",
				 (json_int_t)if_version, "value", value);
	char *text = json_dumps(body, JSON_COMPACT);

	json_decref(body);
	return text;
}

static enum api_outcome send_change(struct object_api *api, const char *kind,
				    const char *name, uint64_t if_version,
				    const json_t *value, hm_time until,
				    json_t **json)
{
	char *body = value ? put_body(if_version, value) : NULL;
	enum api_outcome outcome;
	char *path;

	if (value)
		path = g_strdup_printf("/objects/%s/%s", kind, name);
	else
		path = g_strdup_printf("/objects/%s/%s?if_version="
				       "%" G_GUINT64_FORMAT,
				       kind, name, if_version);
	outcome = call_json(api, value ? "PUT" : "DELETE", path, body, until,
			    json);
	g_free(path);
	free(body);
	return outcome;
}

/*
 * Sends one change. After API_OK or API_CONFLICT, *stored is the platform's
 * current object, or has version 0 when the reply did not contain it. The
 * caller clears *stored.
 */
static enum api_outcome change_once(struct object_api *api, const char *kind,
				    const char *name, uint64_t if_version,
				    const json_t *value, hm_time until,
				    struct object *stored)
{
	char fault[OBJECT_FAULT_BYTES];
	enum api_outcome outcome;
	json_t *json;

	*stored = (struct object){ 0 };
	outcome = send_change(api, kind, name, if_version, value, until, &json);
	if (json && !object_parse(json, stored, fault)) {
		object_clear(stored);
		outcome = outcome == API_OK ? API_OUTCOME_UNKNOWN : outcome;
	}
	json_decref(json);
	return outcome;
}

enum api_outcome object_api_change(struct object_api *api, const char *kind,
				   const char *name, uint64_t if_version,
				   const json_t *value, hm_time until,
				   uint64_t *version)
{
	enum api_outcome outcome;
	struct object stored;

	outcome =
		change_once(api, kind, name, if_version, value, until, &stored);
	*version = stored.version;
	object_clear(&stored);
	return outcome;
}

enum api_outcome object_api_instances(struct object_api *api, hm_time until,
				      json_t **out)
{
	enum api_outcome outcome;
	json_t *json, *items;

	outcome = object_api_read(api, "/instances", until, &json);
	items = json_object_get(json, "items");
	if (outcome == API_OK && !json_is_array(items))
		outcome = API_INVALID;
	if (outcome == API_OK)
		*out = json_incref(items);
	json_decref(json);
	return outcome;
}

/** A change that is repeated until its outcome is known. */
struct change_retry {
	struct object_api *api;
	const char *kind;
	const char *name;
	uint64_t if_version;
	const json_t *value; /**< NULL for a delete */
	hm_time call_limit;
	hm_time until;
	struct object stored;
};

static hm_time call_deadline(const struct change_retry *s)
{
	return MIN(loop_now() + s->call_limit, s->until);
}

/* Sleeps before the next call; false when cancelled or out of time. */
static bool pause_before_retry(const struct change_retry *s)
{
	if (http_client_cancelled(s->api->http) ||
	    loop_now() + RETRY_PAUSE >= s->until)
		return false;
	g_usleep((gulong)RETRY_PAUSE);
	return true;
}

/*
 * Outcome of a change whose reply was lost, when the object does not exist
 * now.
 */
static enum api_outcome outcome_without_object(const struct change_retry *s)
{
	if (!s->value)
		return API_OK;
	/*
	 * A creation either failed or was followed by a delete; the two can't
	 * be told apart.
	 */
	return s->if_version ? API_CONFLICT : API_OUTCOME_UNKNOWN;
}

/*
 * Outcome of a change whose reply was lost, from the object that the platform
 * has now. API_NOT_FOUND: the change has not taken effect so far.
 */
static enum api_outcome outcome_from_stored(const struct change_retry *s)
{
	if (s->stored.deleted)
		return outcome_without_object(s);
	if (s->stored.version <= s->if_version)
		return API_NOT_FOUND;
	if (s->value && json_equal(s->stored.value, s->value))
		return API_OK;
	return API_CONFLICT;
}

static enum api_outcome read_back(struct change_retry *s)
{
	enum api_outcome outcome;

	do {
		object_clear(&s->stored);
		outcome = object_api_get(s->api, s->kind, s->name,
					 call_deadline(s), &s->stored);
		if (outcome == API_OK)
			return outcome_from_stored(s);
		if (outcome == API_NOT_FOUND)
			return outcome_without_object(s);
	} while (pause_before_retry(s));
	return API_OUTCOME_UNKNOWN;
}

static enum api_outcome change_again(struct change_retry *s)
{
	object_clear(&s->stored);
	return change_once(s->api, s->kind, s->name, s->if_version, s->value,
			   call_deadline(s), &s->stored);
}

/* Finds the outcome of a change that was sent and whose reply was lost. */
static enum api_outcome resolve_outcome(struct change_retry *s)
{
	enum api_outcome outcome;

	do {
		outcome = read_back(s);
		if (outcome != API_NOT_FOUND)
			return outcome;
		/*
		 * The read may have been stale. Repeating the change is safe:
		 * the platform compares the version with its newest one.
		 */
		outcome = change_again(s);
		if (outcome == API_CONFLICT && s->stored.version)
			return outcome_from_stored(s);
		if (outcome == API_OK)
			return API_OK;
	} while (pause_before_retry(s));
	return API_OUTCOME_UNKNOWN;
}

static enum api_outcome change_until_known(struct change_retry *s)
{
	enum api_outcome outcome;

	do {
		outcome = change_again(s);
		if (outcome == API_OUTCOME_UNKNOWN)
			return resolve_outcome(s);
		if (outcome != API_UNAVAILABLE)
			return outcome;
	} while (pause_before_retry(s));
	return API_UNAVAILABLE;
}

enum api_outcome object_api_change_retry(struct object_api *api,
					 const char *kind, const char *name,
					 uint64_t if_version,
					 const json_t *value,
					 hm_time call_limit, hm_time until,
					 uint64_t *version)
{
	struct change_retry s = { .api = api,
				  .kind = kind,
				  .name = name,
				  .if_version = if_version,
				  .value = value,
				  .call_limit = call_limit,
				  .until = until };
	enum api_outcome outcome = change_until_known(&s);

	*version = s.stored.version;
	object_clear(&s.stored);
	return outcome;
}
