/**
 * @file site_config.h
 * What an installation is configured to be: the routes that callers ask for,
 * the services behind them, the accounts, and the members that serve. Both
 * documents are replaced as a whole by a newer version, never changed.
 */
#ifndef SITE_CONFIG_H
#define SITE_CONFIG_H

#include "table.h"
#include "types.h"

/** What a read on a route is promised. */
enum consistency {
	CONSISTENT_PRIMARY, /**< all that was acknowledged before it */
	CONSISTENT_BOUNDED, /**< all that is older than the route's max_age */
	CONSISTENT_SESSION, /**< the same, and all writes of its session */
	CONSISTENCY_COUNT
};

/** How requests for one database name are served. */
struct route_spec {
	hm_id database; /**< identifier of the name that callers use */
	hm_id service;
	enum consistency consistency;
	bool open; /**< serves callers without a known key */
	uint32_t priority;
	hm_time statement_limit; /**< longest run of one statement */
	hm_time target;		 /**< latency wanted for an operation */
	hm_time max_age;	 /**< of data that a read may see */
};

/** A replicated database: one primary and its replicas. */
struct service_spec {
	hm_id service;
	char name[NAME_BYTES];
	uint32_t connections;	/**< at each member, of all instances */
	uint32_t sync_replicas; /**< hold a commit before it is answered */
};

/** The configuration of an installation. */
struct site_config {
	uint64_t version;
	hm_time idle_transaction; /**< a transaction idle so long is ended */
	struct route_spec *routes;
	uint32_t route_count;
	struct service_spec *services;
	uint32_t service_count;
	struct contract *accounts;
	uint32_t account_count;
	struct table by_database; /**< index of a route */
};

/** A member of a service, as it registered itself. */
struct site_member {
	hm_id endpoint;
	char name[NAME_BYTES]; /**< its own identifier, never used again */
	hm_id service;
	char service_name[NAME_BYTES];
	char address[ADDRESS_BYTES];
	uint16_t zone;
	uint32_t slots;	       /**< statements that it runs at once */
	bool leaving;	       /**< ends soon, takes no new work */
	bool says_primary;     /**< its own belief, may be out of date */
	uint64_t started;      /**< tells two lives of one member apart */
	hm_time missing_since; /**< its entry is gone, 0: it is there */
};

/** All members, at one state of the store. */
struct site_members {
	struct store_version at;
	struct site_member *list;
	uint32_t count;
};

void site_config_free(struct site_config *c);
/** Builds the index of routes; call once all routes are set. */
void site_config_index(struct site_config *c);
/** Route of a database name, NULL when there is none. */
const struct route_spec *site_route(const struct site_config *c,
				    hm_id database);
const struct service_spec *site_service(const struct site_config *c,
					hm_id service);
/**
 * Whether two entries of one member are of different lives: what it said in
 * the one it does not know in the other.
 */
bool site_member_reborn(const struct site_member *before,
			const struct site_member *after);
void site_members_free(struct site_members *m);
/** Appends a copy of an entry. */
void site_members_add(struct site_members *m, const struct site_member *entry);
const struct site_member *site_members_find(const struct site_members *m,
					    hm_id endpoint);

#endif
