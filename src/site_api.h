/**
 * @file site_api.h
 * Interface to a platform's calls and documents as a table of functions, with
 * one implementation per platform. Calls block until the answer or until the
 * deadline @a until.
 */
#ifndef SITE_API_H
#define SITE_API_H

#include <jansson.h>

#include "../core/proxy.h"
#include "http_call.h"
#include "spec.h"

/** Kinds of objects in the platform's store. */
enum store_kind {
	STORE_CONFIG,	   /**< the configuration, one object */
	STORE_MEMBERS,	   /**< one per member, written by the member itself */
	STORE_INSTANCES,   /**< one per instance of the proxy: its address */
	STORE_TOKENS,	   /**< per service and era: the newest fencing token */
	STORE_EVACUATIONS, /**< one per evacuated zone, named like the zone */
	STORE_RESERVES,	   /**< one per instance of the proxy: token reserves */
	STORE_KIND_COUNT
};

enum store_outcome {
	STORE_OK,
	STORE_NOT_FOUND, /**< no such object */
	STORE_CONFLICT,	 /**< not the expected revision; nothing changed */
	/** the store has discarded the events after that revision */
	STORE_HISTORY_DISCARDED,
	STORE_UNAVAILABLE, /**< refused or not answered; nothing changed */
	/** not answered; the change may still be made later */
	STORE_OUTCOME_UNKNOWN
};

/** Size of an object name: a name, a dot and a number. */
#define OBJECT_NAME_BYTES (NAME_BYTES + 24)

/** One object, or a change of one in the result of a watch. */
struct store_object {
	char name[OBJECT_NAME_BYTES];
	/** revision of the object, and era of the store when it answered */
	struct store_version at;
	bool gone;     /**< the object was deleted */
	json_t *value; /**< owned, NULL when gone or unreadable */
};

/** Objects of one kind at one version of the store. */
struct store_objects {
	struct store_object *list;
	size_t count;
	struct store_version at;
};

/**
 * Each answer contains the era of the store, 0 for a store without eras. This
 * includes the answers STORE_NOT_FOUND to a read and STORE_HISTORY_DISCARDED to
 * a watch.
 */
struct site_api {
	/**
	 * Reads all objects of a kind. With @a stale the answer costs the store
	 * less, but may be seconds old.
	 */
	enum store_outcome (*list)(struct http_client *http,
				   enum store_kind kind, bool stale,
				   hm_time until, struct store_objects *out);
	/**
	 * Waits up to @a wait for changes after revision @a from; the list is
	 * empty when there are none.
	 */
	enum store_outcome (*watch)(struct http_client *http,
				    enum store_kind kind, uint64_t from,
				    hm_time wait, hm_time until,
				    struct store_objects *out);
	enum store_outcome (*read)(struct http_client *http,
				   enum store_kind kind, const char *name,
				   hm_time until, struct store_object *out);
	/**
	 * Creates an object (@a revision 0), or replaces it when its revision
	 * is @a revision.
	 * @a at receives the era of the answer, and the object's new revision,
	 * 0 unless the answer states it.
	 */
	enum store_outcome (*write)(struct http_client *http,
				    enum store_kind kind, const char *name,
				    uint64_t revision, const json_t *value,
				    hm_time until, struct store_version *at);
	/** Asks the platform to make @a endpoint the primary of @a service. */
	enum promote_outcome (*promote)(struct http_client *http,
					const char *holder, const char *service,
					const char *endpoint, uint64_t token,
					hm_time until);
	/**
	 * Parses the configuration.
	 * @return NULL, with a static error text in *fault, when it is invalid
	 */
	struct site_config *(*parse_config)(const json_t *value,
					    struct zone_names zones,
					    const char **fault);
	/** Parses one member's entry; false when it is not a usable member. */
	bool (*parse_member)(const char *name, const json_t *value,
			     struct zone_names zones, struct site_member *out);
};

void store_object_clear(struct store_object *o);
void store_objects_clear(struct store_objects *o);

#endif
