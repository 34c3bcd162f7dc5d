/**
 * @file types.h
 * Plain values shared by the decision modules: times, identifiers, log
 * positions, contracts and database groups.
 */
#ifndef TYPES_H
#define TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Microseconds on the monotonic clock of this instance. */
typedef int64_t hm_time;

/** 64-bit hash of a name, stable over all instances; 0 means none. */
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

/** Position @a pos in the log of a database group, written under @a term. */
struct log_pos {
	uint64_t term;
	uint64_t pos;
};

/**
 * A state of the platform's store. When the store comes back from an older
 * copy its era rises, and revisions are given out again.
 */
struct store_version {
	uint64_t era;
	uint64_t revision;
};

/**
 * The newest terms of a log, oldest first. Term begin[i].term starts after
 * position begin[i].pos; the last entry is the term being written.
 */
struct lineage {
	uint32_t count;
	struct log_pos begin[LINEAGE_MAX];
};

/** Identifies a request or a transaction over all lives of all instances. */
struct rid {
	uint64_t
		incarnation; /**< life of the instance that issued the number */
	uint64_t seq;
};

/** 128-bit hash of a caller's key. */
struct key_id {
	uint64_t hi;
	uint64_t lo;
};

/** What one account may do on one database. */
struct contract_database {
	hm_id database;
	char name[NAME_BYTES];
	hm_time max_age; /**< oldest age a read may ask for, 0 for none */
};

/** The contract of one client account, the source of all its limits. */
struct contract {
	hm_id account;
	char name[NAME_BYTES];
	uint64_t version;      /**< platform version, grows with every change */
	bool withdrawn;	       /**< tombstone: the account has no rights */
	bool serve_isolated;   /**< go on while the zone hears nobody else */
	uint32_t rate;	       /**< requests per second over all instances */
	uint32_t burst;	       /**< requests */
	uint32_t weight;       /**< share of slot time when slots are short */
	uint32_t transactions; /**< open transactions at each endpoint */
	uint32_t database_count;
	struct contract_database databases[CONTRACT_DATABASES_MAX];
	uint32_t key_count;
	struct key_id keys[CONTRACT_KEYS_MAX];
};

/** One member of a database group, as configured. */
struct endpoint_spec {
	hm_id endpoint;
	char name[NAME_BYTES];
	char address[ADDRESS_BYTES]; /**< "IP:port", opaque to decisions */
	uint16_t zone;
	bool leaving;	      /**< gets no new work */
	uint32_t slots;	      /**< statements at once */
	uint32_t connections; /**< connections at once */
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
 * What an endpoint said about itself in one control exchange. All fields
 * were read by the endpoint in one step.
 */
struct endpoint_state {
	hm_id database;
	hm_id endpoint;
	bool reachable; /**< false: no answer, other fields are void */
	bool refused;	/**< the ordered step was refused by the endpoint */
	enum endpoint_role role;
	uint64_t promised;	/**< no older term is written or followed */
	uint64_t promised_by;	/**< life of the orderer of that term */
	struct log_pos at;	/**< last log record: its term, its position */
	struct lineage lineage; /**< of the log that ends at @a at */
	uint64_t owner;		/**< life that holds the endpoint, 0 for none */
	hm_time owner_idle;	/**< since the holder was last heard */
};

enum op { OP_READ, OP_WRITE, OP_BEGIN, OP_COMMIT, OP_ROLLBACK };

/** Whether a statement ran; answers state it and it must be true. */
enum execution { EXEC_NOT_RUN, EXEC_RUN, EXEC_UNKNOWN };

/** A transaction: the life of its home and a number there. */
struct tx_id {
	struct rid id; /**< id.seq 0 means no transaction */
	hm_id endpoint;
};

/** One statement on its way to an endpoint. Copied by value. */
struct statement {
	struct rid id;
	uint32_t attempt; /**< grows when it is sent anew after a refusal */
	enum op op;
	bool idempotent;
	bool unsure;	   /**< the session has a write of unknown outcome */
	hm_id account;	   /**< set by authentication */
	struct key_id key; /**< hash; the key itself stays outside */
	hm_id database;
	struct log_pos floor; /**< session has written or seen this */
	hm_time max_age;      /**< accepted age of the data read, 0 for none */
	hm_time deadline;     /**< on the clock of the instance holding it */
	struct tx_id tx;      /**< transaction that it belongs to */
	uint64_t body;	      /**< SQL and parameters, owned by the caller */
	uint32_t body_bytes;  /**< size of the body, for limits */
};

static inline bool rid_equal(struct rid a, struct rid b)
{
	return a.incarnation == b.incarnation && a.seq == b.seq;
}

static inline bool key_equal(struct key_id a, struct key_id b)
{
	return a.hi == b.hi && a.lo == b.lo;
}

/** Orders marks by term, then position: <0, 0, >0. */
static inline int log_pos_compare(struct log_pos a, struct log_pos b)
{
	if (a.term != b.term)
		return a.term < b.term ? -1 : 1;
	if (a.pos != b.pos)
		return a.pos < b.pos ? -1 : 1;
	return 0;
}

/** Orders states by era, then revision: <0, 0, >0. */
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
