/**
 * @file types.h
 * Plain data types shared by all modules: times, identifiers, log positions,
 * contracts and database groups.
 *
 * Each start of an instance's process draws a random number, its incarnation,
 * distinct from that of earlier starts of the same instance. Each endpoint (a
 * member of a database group) has one owner: the instance that alone connects
 * to it and runs all statements sent to it.
 */
#ifndef TYPES_H
#define TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "priority.h"

/** Microseconds on the monotonic clock of this instance. */
typedef int64_t hm_time;

/** 64-bit hash of a name, the same at all instances; 0 means none. */
typedef uint64_t hm_id;

#define HM_MS ((hm_time)1000)
#define HM_SEC ((hm_time)1000000)
#define HM_NEVER INT64_MAX

#define NAME_BYTES 64
#define ADDRESS_BYTES 64
#define ENDPOINTS_MAX 7
#define LINEAGE_MAX 8
#define CONTRACT_DATABASES_MAX 16
#define CONTRACT_KEYS_MAX 64
#define ZONES_MAX 32

/**
 * How long a leaving primary may serve until another member is primary, and
 * transactions stay open in an evacuated zone.
 */
#define LEAVING_LIMIT (3 * HM_SEC)

/** A set of zones, one bit per zone number. */
typedef uint32_t zone_set;

static inline zone_set zone_bit(uint16_t zone)
{
	return zone < ZONES_MAX ? (zone_set)1 << zone : 0;
}

/**
 * Position in the log of a database group: record @a pos, written by the
 * primary of @a term. Each new primary of a group starts a higher term.
 */
struct log_pos {
	uint64_t term;
	uint64_t pos;
};

/**
 * Version of the platform's store. When the store is restored from an older
 * copy, its era rises, since the same revision numbers are used again.
 */
struct store_version {
	uint64_t era;
	uint64_t revision;
};

/**
 * The newest terms of a log, oldest first: which term wrote which positions.
 * Term begin[i].term starts after position begin[i].pos; the last entry is the
 * term being written.
 */
struct lineage {
	uint32_t count;
	struct log_pos begin[LINEAGE_MAX];
};

/** Globally unique ID of a request, transaction or control command. */
struct rid {
	uint64_t incarnation; /**< incarnation that assigned @a seq */
	uint64_t seq;
};

/** 128-bit hash of a client's API key. */
struct key_id {
	uint64_t hi;
	uint64_t lo;
};

/** Rights of an account on one database. */
struct contract_database {
	hm_id database;
	char name[NAME_BYTES];
	hm_time max_age; /**< maximum age that a read may accept, 0 for none */
};

/** The contract of one client account: its keys, rights and limits. */
struct contract {
	hm_id account;
	char name[NAME_BYTES];
	uint64_t version; /**< platform version, rises with changes */
	bool withdrawn; /**< contract was deleted: the account has no rights */
	bool serve_isolated;   /**< serve while no other zone can be reached */
	uint32_t rate;	       /**< requests per second over all instances */
	uint32_t burst;	       /**< requests that may arrive at once */
	uint32_t weight;       /**< share of slot time when slots are scarce */
	uint32_t transactions; /**< maximum of open transactions per endpoint */
	uint32_t database_count;
	struct contract_database databases[CONTRACT_DATABASES_MAX];
	uint32_t key_count;
	struct key_id keys[CONTRACT_KEYS_MAX];
};

/** One member of a database group, as configured. */
struct endpoint_spec {
	hm_id endpoint;
	char name[NAME_BYTES];
	char address[ADDRESS_BYTES]; /**< "IP:port", opaque to the core */
	uint16_t zone;
	bool leaving; /**< about to be removed: gets no new work */
	/**
	 * Since when its zone is evacuated, 0: it is not. Such an endpoint
	 * counts as leaving. Set by each instance, not configured.
	 */
	hm_time evacuated_since;
	uint32_t slots;	      /**< maximum of concurrent statements */
	uint32_t connections; /**< maximum of concurrent connections */
};

/** A database group, as configured. */
struct database_spec {
	hm_id database;
	char name[NAME_BYTES];
	uint64_t version;
	uint32_t endpoint_count;
	struct endpoint_spec endpoints[ENDPOINTS_MAX];
};

enum endpoint_role { ROLE_REPLICA, ROLE_PRIMARY };

/**
 * State that an endpoint reported in reply to one control command. The
 * endpoint read all fields atomically.
 */
struct endpoint_state {
	hm_id database;
	hm_id endpoint;
	bool reachable; /**< false: no reply, the other fields are invalid */
	bool refused;	/**< the endpoint refused the control command */
	enum endpoint_role role;
	uint64_t promised; /**< the endpoint accepts no term older than this */
	uint64_t promised_by;	/**< incarnation that requested that promise */
	struct log_pos at;	/**< term and position of the last log record */
	struct lineage lineage; /**< lineage of the log that ends at @a at */
	uint64_t owner; /**< incarnation that owns the endpoint, 0 for none */
	hm_time owner_idle; /**< time since the endpoint last heard its owner */
};

enum op { OP_READ, OP_WRITE, OP_BEGIN, OP_COMMIT, OP_ROLLBACK };

/** Whether a statement ran. Clients rely on it, so it must be correct. */
enum execution { EXEC_NOT_RUN, EXEC_RUN, EXEC_UNKNOWN };

/** A transaction: the incarnation that owns its endpoint, and a number. */
struct tx_id {
	struct rid id; /**< id.seq 0: no transaction */
	hm_id endpoint;
};

/** One statement for an endpoint. Copied by value. */
struct statement {
	struct rid id;
	uint32_t attempt; /**< incremented by each retry */
	enum op op;
	bool idempotent;
	bool unsure;	   /**< the session has a write of unknown outcome */
	hm_id account;	   /**< set by authentication */
	struct key_id key; /**< hash; the API key itself never gets here */
	hm_id database;
	struct log_pos floor; /**< newest position known to the session */
	hm_time max_age;  /**< accepted age of the data read, 0: current data */
	hm_time deadline; /**< on the clock of the instance handling it */
	struct tx_id tx;  /**< transaction of the statement */
	uint32_t level;	  /**< urgency, see priority.h */
	uint64_t body; /**< handle of SQL and parameters, owned by the driver */
	uint32_t body_bytes; /**< size of the body, for size limits */
};

static inline bool rid_equal(struct rid a, struct rid b)
{
	return a.incarnation == b.incarnation && a.seq == b.seq;
}

static inline bool key_equal(struct key_id a, struct key_id b)
{
	return a.hi == b.hi && a.lo == b.lo;
}

/** Compares two positions by term, then pos: <0, 0 or >0. */
static inline int log_pos_compare(struct log_pos a, struct log_pos b)
{
	if (a.term != b.term)
		return a.term < b.term ? -1 : 1;
	if (a.pos != b.pos)
		return a.pos < b.pos ? -1 : 1;
	return 0;
}

/** Compares two versions by era, then revision: <0, 0 or >0. */
static inline int store_version_compare(struct store_version a,
					struct store_version b)
{
	if (a.era != b.era)
		return a.era < b.era ? -1 : 1;
	if (a.revision != b.revision)
		return a.revision < b.revision ? -1 : 1;
	return 0;
}

#endif
