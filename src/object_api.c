/** @file object_api.c Calls of the object API over HTTP. */
#include "object_api.h"

#include <glib.h>
#include <string.h>

#include "http_call.h"
#include "loop.h"

#define SETTLE_PAUSE (50 * HM_MS)

#define HTTP_OK 200
#define HTTP_NOT_FOUND 404
#define HTTP_CONFLICT 409
#define HTTP_TOO_MANY 429
#define HTTP_CLIENT_FAULT 400
#define HTTP_SERVER_FAULT 500

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
	/* Other refusals do not tell whether a change took effect. */
	if (r->status >= HTTP_CLIENT_FAULT && r->status < HTTP_SERVER_FAULT)
		return API_INVALID;
	return API_OUTCOME_UNKNOWN;
}

/* Makes a call; *json is a new reference to the answer, or NULL. */
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

/* A lost answer to a read is no more than an unavailable platform. */
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
 * One change; *held is what the platform holds after API_OK or API_CONFLICT,
 * with version 0 when it did not say, and is to be cleared.
 */
static enum api_outcome change_once(struct object_api *api, const char *kind,
				    const char *name, uint64_t if_version,
				    const json_t *value, hm_time until,
				    struct object *held)
{
	char fault[OBJECT_FAULT_BYTES];
	enum api_outcome outcome;
	json_t *json;

	*held = (struct object){ 0 };
	outcome = send_change(api, kind, name, if_version, value, until, &json);
	if (json && !object_parse(json, held, fault)) {
		object_clear(held);
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
	struct object held;

	outcome = change_once(api, kind, name, if_version, value, until, &held);
	*version = held.version;
	object_clear(&held);
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

/** A change whose outcome is being found out. */
struct settling {
	struct object_api *api;
	const char *kind;
	const char *name;
	uint64_t if_version;
	const json_t *value; /**< NULL for a delete */
	hm_time call_limit;
	hm_time until;
	struct object held;
};

static hm_time call_until(const struct settling *s)
{
	return MIN(loop_now() + s->call_limit, s->until);
}

/* Waits a little; false when no time is left. */
static bool pause_calls(const struct settling *s)
{
	if (http_client_cancelled(s->api->http) ||
	    loop_now() + SETTLE_PAUSE >= s->until)
		return false;
	g_usleep((gulong)SETTLE_PAUSE);
	return true;
}

/* Outcome of a change of unknown fate when no live object is held. */
static enum api_outcome judge_missing(const struct settling *s)
{
	if (!s->value)
		return API_OK;
	/* Created and deleted since, or never created: nobody can tell. */
	return s->if_version ? API_CONFLICT : API_OUTCOME_UNKNOWN;
}

/* Outcome of a change of unknown fate; API_NOT_FOUND: not in effect so far. */
static enum api_outcome judge_held(const struct settling *s)
{
	if (s->held.deleted)
		return judge_missing(s);
	if (s->held.version <= s->if_version)
		return API_NOT_FOUND;
	if (s->value && json_equal(s->held.value, s->value))
		return API_OK;
	return API_CONFLICT;
}

static enum api_outcome read_back(struct settling *s)
{
	enum api_outcome outcome;

	do {
		object_clear(&s->held);
		outcome = object_api_get(s->api, s->kind, s->name,
					 call_until(s), &s->held);
		if (outcome == API_OK)
			return judge_held(s);
		if (outcome == API_NOT_FOUND)
			return judge_missing(s);
	} while (pause_calls(s));
	return API_OUTCOME_UNKNOWN;
}

static enum api_outcome change_again(struct settling *s)
{
	object_clear(&s->held);
	return change_once(s->api, s->kind, s->name, s->if_version, s->value,
			   call_until(s), &s->held);
}

/* The change was sent and its answer lost. */
static enum api_outcome settle_lost(struct settling *s)
{
	enum api_outcome outcome;

	do {
		outcome = read_back(s);
		if (outcome != API_NOT_FOUND)
			return outcome;
		/* A read may be stale, the answer to a change is not. */
		outcome = change_again(s);
		if (outcome == API_CONFLICT && s->held.version)
			return judge_held(s);
		if (outcome == API_OK)
			return API_OK;
	} while (pause_calls(s));
	return API_OUTCOME_UNKNOWN;
}

static enum api_outcome settle(struct settling *s)
{
	enum api_outcome outcome;

	do {
		outcome = change_again(s);
		if (outcome == API_OUTCOME_UNKNOWN)
			return settle_lost(s);
		if (outcome != API_UNAVAILABLE)
			return outcome;
	} while (pause_calls(s));
	return API_UNAVAILABLE;
}

enum api_outcome object_api_change_retry(struct object_api *api,
					 const char *kind, const char *name,
					 uint64_t if_version,
					 const json_t *value,
					 hm_time call_limit, hm_time until,
					 uint64_t *version)
{
	struct settling s = { .api = api,
			      .kind = kind,
			      .name = name,
			      .if_version = if_version,
			      .value = value,
			      .call_limit = call_limit,
			      .until = until };
	enum api_outcome outcome = settle(&s);

	*version = s.held.version;
	object_clear(&s.held);
	return outcome;
}
