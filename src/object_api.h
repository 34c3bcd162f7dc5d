/**
 * @file object_api.h
 * Blocking calls to the platform's object API. An object_api is used by one
 * thread; only object_api_cancel() and object_api_calls() may be called from
 * others.
 */
#ifndef OBJECT_API_H
#define OBJECT_API_H

#include "object.h"

struct object_api;

/** Outcome of a call. */
enum api_outcome {
	API_OK,
	API_NOT_FOUND,	 /**< the object does not exist */
	API_CONFLICT,	 /**< another version is stored; nothing changed */
	API_UNAVAILABLE, /**< not served; a change did not take effect */
	/** no usable reply; a change may have taken effect */
	API_OUTCOME_UNKNOWN,
	API_INVALID /**< malformed reply, or the request was refused */
};

/** Creates a client of the object API at @a address, "IP:port". */
struct object_api *object_api_new(const char *address);
void object_api_free(struct object_api *api);
/** Aborts the running call and all later ones. Callable from any thread. */
void object_api_cancel(struct object_api *api);
/** Number of calls made so far. Callable from any thread. */
uint64_t object_api_calls(const struct object_api *api);

/**
 * The calls below return by the time @a until. @a out is set only on API_OK,
 * and the caller clears it then.
 */
enum api_outcome object_api_get(struct object_api *api, const char *kind,
				const char *name, hm_time until,
				struct object *out);
enum api_outcome object_api_list(struct object_api *api, const char *kind,
				 hm_time until, struct object_list *out);
/**
 * Waits for changes after version @a from. The list is empty when none came
 * within @a wait.
 */
enum api_outcome object_api_watch(struct object_api *api, const char *kind,
				  uint64_t from, hm_time wait, hm_time until,
				  struct object_list *out);
/**
 * Updates an object, or deletes it when @a value is NULL, if its version is
 * still @a if_version. Sends one request. *version receives the new version on
 * API_OK; on API_CONFLICT it is the stored version, 0 when unknown.
 */
enum api_outcome object_api_change(struct object_api *api, const char *kind,
				   const char *name, uint64_t if_version,
				   const json_t *value, hm_time until,
				   uint64_t *version);
/** GET of @a path; *json receives a new reference to the reply, or NULL. */
enum api_outcome object_api_read(struct object_api *api, const char *path,
				 hm_time until, json_t **json);
/**
 * Reads the instance list of the platform; gives its items as a new reference.
 */
enum api_outcome object_api_instances(struct object_api *api, hm_time until,
				      json_t **out);

/**
 * Like object_api_change(), but when a reply is lost it reads the object to
 * find the outcome, and repeats the change where this can't overwrite another
 * client's change. API_CONFLICT also means that the change took effect and
 * was overwritten. API_OUTCOME_UNKNOWN means that the outcome could not be
 * found by @a until.
 */
enum api_outcome object_api_change_retry(struct object_api *api,
					 const char *kind, const char *name,
					 uint64_t if_version,
					 const json_t *value,
					 hm_time call_limit, hm_time until,
					 uint64_t *version);

#endif
