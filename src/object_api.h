/**
 * @file object_api.h
 * Blocking calls of the platform's object API. One object_api belongs to one
 * thread; object_api_cancel() alone may be called from another.
 */
#ifndef OBJECT_API_H
#define OBJECT_API_H

#include "object.h"

struct object_api;

/** What became of a call. */
enum api_outcome {
	API_OK,
	API_NOT_FOUND,	 /**< no such object */
	API_CONFLICT,	 /**< the condition does not hold, nothing changed */
	API_UNAVAILABLE, /**< not answered, and a change did not take effect */
	API_OUTCOME_UNKNOWN, /**< not answered; a change may have taken effect */
	API_INVALID	     /**< answered with something malformed */
};

/** @a address "IP:port". */
struct object_api *object_api_new(const char *address);
void object_api_free(struct object_api *api);
/** Ends the running call and all later ones. Any thread. */
void object_api_cancel(struct object_api *api);
/** Calls made so far. Any thread. */
uint64_t object_api_calls(const struct object_api *api);

/**
 * The calls below end by the time @a until. @a out is set on API_OK alone,
 * and then to be cleared by the caller.
 */
enum api_outcome object_api_get(struct object_api *api, const char *kind,
				const char *name, hm_time until,
				struct object *out);
enum api_outcome object_api_list(struct object_api *api, const char *kind,
				 hm_time until, struct object_list *out);
/** Changes after version @a from; none when @a wait passed without one. */
enum api_outcome object_api_watch(struct object_api *api, const char *kind,
				  uint64_t from, hm_time wait, hm_time until,
				  struct object_list *out);
/**
 * One conditional update or, with @a value NULL, delete. On API_OK *version
 * is the new version.
 */
enum api_outcome object_api_change(struct object_api *api, const char *kind,
				   const char *name, uint64_t if_version,
				   const json_t *value, hm_time until,
				   uint64_t *version);
/** JSON answer to GET @a path, a new reference or NULL. */
enum api_outcome object_api_read(struct object_api *api, const char *path,
				 hm_time until, json_t **json);
/** Items of the instance list, a new reference. */
enum api_outcome object_api_instances(struct object_api *api, hm_time until,
				      json_t **out);

/**
 * Like object_api_change(), but finds out what became of a lost answer by
 * reading back, and repeats the change where that cannot overwrite a change
 * of somebody else. API_CONFLICT also when the change took effect and was
 * overwritten; API_OUTCOME_UNKNOWN when that cannot be told by @a until.
 */
enum api_outcome object_api_change_retry(struct object_api *api,
					 const char *kind, const char *name,
					 uint64_t if_version,
					 const json_t *value,
					 hm_time call_limit, hm_time until,
					 uint64_t *version);

#endif
