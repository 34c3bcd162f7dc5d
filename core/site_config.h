/**
 * @file site_config.h
 * The configuration of an installation (routes, services and accounts) and
 * the list of its database members. Each of the two documents is immutable
 * and is replaced as a whole by a newer version.
 */
#ifndef SITE_CONFIG_H
#define SITE_CONFIG_H

#include "table.h"
#include "types.h"

/** Consistency guarantee for reads on a route. */
enum consistency {
	CONSISTENT_PRIMARY, /**< sees every commit acknowledged before it */
	CONSISTENT_BOUNDED, /**< sees every commit older than max_age */
	/** Like CONSISTENT_BOUNDED, and sees the commits of its own session. */
	CONSISTENT_SESSION,
	CONSISTENCY_COUNT
};

/** A route: how requests for one database name are served. */
struct route_spec {
	hm_id database; /**< identifier of the database name in requests */
	hm_id service;
	enum consistency consistency;
	bool open;		 /**< accepts clients without a valid key */
	uint32_t priority;	 /**< 0 is the most urgent */
	uint32_t level;		 /**< rank of the priority, see priority.h */
	hm_time statement_limit; /**< longest execution of one statement */
	hm_time target;		 /**< target latency of an operation */
	hm_time max_age; /**< greatest age of data that a read returns */
	zone_set barred; /**< zones that must not see its statements */
};

/** A service: a replicated database with one primary and its replicas. */
struct service_spec {
	hm_id service;
	char name[NAME_BYTES];
	uint32_t connections; /**< limit per member, over all instances */
	/** Number of replicas that must receive a commit to acknowledge it. */
	uint32_t sync_replicas;
	hm_time cold_time; /**< a member is cold for this time after its start */
	double cold_per_s; /**< statements for a cold member, 0: no limit */
};

/** A key of an account. */
struct account_key {
	struct key_id key;
	hm_id account;
	bool shared; /**< another account lists it too: it identifies none */
};

/** How a document reached this instance. */
enum document_source {
	FROM_LIST,  /**< a list, at the start or after the history was lost */
	FROM_WATCH, /**< a watch of the store */
	FROM_POLL,  /**< a poll that found the store changed */
	FROM_READ,  /**< a read, since no peer had sent a copy */
	FROM_PEER,  /**< a copy of a peer's document */
	DOCUMENT_SOURCE_COUNT
};

/** The configuration of an installation. */
struct site_config {
	uint64_t version;
	enum document_source source;
	hm_time idle_limit; /**< idle transactions are ended after this time */
	struct route_spec *routes;
	uint32_t route_count;
	struct service_spec *services;
	uint32_t service_count;
	/** Without their keys, which are in @a keys, as they have no limit. */
	struct contract *accounts;
	/** Zones that must not see an account's statements, as @a accounts. */
	zone_set *account_barred;
	uint32_t account_count;
	struct account_key *keys;
	uint32_t key_count;
	uint32_t key_capacity;
	uint32_t level_count;	  /**< levels in use; 1: all routes are alike */
	struct table by_database; /**< index in @a routes by database */
	struct table by_account;  /**< index in @a accounts by account */
	struct table by_key;	  /**< index in @a keys by a part of the key */
};

/** A member of a service, as registered in the store by the member. */
struct site_member {
	hm_id endpoint;
	char name[NAME_BYTES]; /**< unique, never reused */
	hm_id service;
	char service_name[NAME_BYTES];
	char address[ADDRESS_BYTES];
	uint16_t zone;
	uint32_t slots; /**< number of concurrent statements */
	bool leaving;	/**< will stop soon, gets no new work */
	/** It was not leaving before, by this instance's clock. */
	hm_time leaving_since;
	/** The member's entry, which may be outdated, says it is primary. */
	bool registered_primary;
	uint64_t started;      /**< start time, differs after a restart */
	hm_time cold_for;      /**< rest of its cold time, by its entry */
	hm_time cold_until;    /**< by this instance's clock, 0: never cold */
	hm_time missing_since; /**< when its entry disappeared, 0: present */
	/**
	 * Earliest time of the request to evacuate the member's zone, 0: there
	 * is none.
	 */
	hm_time evacuated_since;
};

/** All members at one version of the store. */
struct site_members {
	struct store_version at;
	struct site_member *list;
	uint32_t count;
};

/** Whether a member gets no new work, or only as long as it is primary. */
static inline bool site_member_retires(const struct site_member *m)
{
	return m->leaving || m->evacuated_since;
}

/**
 * Whether the member's zone is evacuated for longer than @a limit, so that
 * nothing may be sent to it.
 */
static inline bool site_member_is_evacuated(const struct site_member *m,
					    hm_time limit, hm_time now)
{
	return m->evacuated_since && now - m->evacuated_since > limit;
}

void site_config_free(struct site_config *c);
/**
 * Builds the indexes of routes and accounts, and gives routes their levels;
 * call once all are set.
 */
void site_config_index(struct site_config *c);
/** Adds a key of an account. */
void site_config_add_key(struct site_config *c, hm_id account,
			 struct key_id key);
/** Account that a key identifies, 0: none, or more than one lists it. */
hm_id site_account_by_key(const struct site_config *c, struct key_id key);
/** Number of keys of an account. */
uint32_t site_account_keys(const struct site_config *c, hm_id account);
/** Returns the route of a database name, NULL when there is none. */
const struct route_spec *site_route(const struct site_config *c,
				    hm_id database);
/** Zones that must not see the statements of @a account, 0: it has none. */
zone_set site_account_barred(const struct site_config *c, hm_id account);
const struct service_spec *site_service(const struct site_config *c,
					hm_id service);
/**
 * Whether a member restarted between two of its entries. After a restart a
 * member does not know what it reported before.
 */
bool site_member_restarted(const struct site_member *before,
			   const struct site_member *after);
void site_members_free(struct site_members *m);
/** Appends a copy of an entry. */
void site_members_add(struct site_members *m, const struct site_member *entry);
const struct site_member *site_members_find(const struct site_members *m,
					    hm_id endpoint);

#endif
