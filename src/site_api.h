/**
 * @file site_api.h
 * Calls and documents of a platform as a table of functions: one
 * implementation for each platform. Calls block, and end by their deadline.
 */
#ifndef SITE_API_H
#define SITE_API_H

#include <jansson.h>

#include "../core/proxy.h"
#include "http_call.h"
#include "spec.h"

/** Objects in the platform's store that are read or written. */
enum store_kind {
	STORE_CONFIG,	 /**< the configuration, one object */
	STORE_MEMBERS,	 /**< one for each member, which writes it */
	STORE_INSTANCES, /**< one for each instance of ours: its address */
	STORE_DUTIES,	 /**< one for each service: the newest fencing token */
	STORE_KIND_COUNT
};

enum store_outcome {
	STORE_OK,
	STORE_MISSING,	   /**< no such object */
	STORE_CONFLICT,	   /**< another revision is held; nothing changed */
	STORE_HISTORY,	   /**< a watch from there is not possible any more */
	STORE_UNAVAILABLE, /**< refused or not answered; nothing changed */
	STORE_LOST	   /**< not answered; a change may still be made */
};

/** Room for a name and a number behind it. */
#define OBJECT_NAME_BYTES (NAME_BYTES + 24)

/** One object; an event when it comes from a watch. */
struct store_object {
	char name[OBJECT_NAME_BYTES];
	struct store_version at; /**< its last change; era of the answer */
	bool gone;
	json_t *value; /**< owned, NULL when gone or unreadable */
};

/** Objects of one kind as of a state of the store. */
struct store_objects {
	struct store_object *list;
	size_t count;
	struct store_version at;
};

/**
 * Each answer tells the era of the store, 0 where it has none; a read that
 * finds nothing and a watch of dropped history tell it, too.
 */
struct site_api {
	/** All objects of a kind; @a stale: cheap, may be seconds old. */
	enum store_outcome (*list)(struct http_client *http,
				   enum store_kind kind, bool stale,
				   hm_time until, struct store_objects *out);
	/** What changed after @a from; nothing when @a wait passed. */
	enum store_outcome (*watch)(struct http_client *http,
				    enum store_kind kind, uint64_t from,
				    hm_time wait, hm_time until,
				    struct store_objects *out);
	enum store_outcome (*read)(struct http_client *http,
				   enum store_kind kind, const char *name,
				   hm_time until, struct store_object *out);
	/**
	 * Creates (@a revision 0) or replaces the object of that revision.
	 * @a era receives the era of the answer.
	 */
	enum store_outcome (*write)(struct http_client *http,
				    enum store_kind kind, const char *name,
				    uint64_t revision, const json_t *value,
				    hm_time until, uint64_t *era);
	/** Asks that @a endpoint take over as primary of @a service. */
	enum promote_outcome (*promote)(struct http_client *http,
					const char *holder, const char *service,
					const char *endpoint, uint64_t token,
					hm_time until);
	/**
	 * Parses the configuration. @a key_of hashes a caller's key.
	 * @return NULL with a static text in *fault when it is unreadable
	 */
	struct site_config *(*parse_config)(const json_t *value,
					    const char **fault);
	/** Parses one member's entry; false: it names no member to use. */
	bool (*parse_member)(const char *name, const json_t *value,
			     struct zone_names zones, struct site_member *out);
};

void store_object_clear(struct store_object *o);
void store_objects_clear(struct store_objects *o);

#endif
