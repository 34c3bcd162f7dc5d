/**
 * @file member.h
 * Stand-ins for the members of database groups. They speak the part of the
 * PostgreSQL protocol that libpq uses, run SQL on in-memory SQLite and
 * replicate asynchronously. One thread runs all members of a set.
 */
#ifndef MEMBER_H
#define MEMBER_H

#include "../core/types.h"

struct members;

/** Faults of one member; all off when zeroed. */
struct member_faults {
	bool cut_peers;	  /**< no replication from or to other members */
	bool cut_all;	  /**< closes all connections, also new ones */
	bool paused;	  /**< reads and writes nothing, keeps connections */
	bool dead;	  /**< stopped; log and promised term survive */
	bool silent;	  /**< present connections get no data, new ones work */
	bool lose_answer; /**< runs a statement, then disconnects */
	hm_time lag;	  /**< replication delay, 0: as in member_options */
	hm_time answer_delay; /**< time by which every answer is delayed */
};

/** Counters and state of a member, for tests. */
struct member_stats {
	uint32_t connections;
	uint32_t connections_max; /**< most connections at once */
	uint32_t running_max;	  /**< most statements at once */
	uint64_t statements;
	struct endpoint_state state;
};

struct member_options {
	hm_time connect_cost; /**< time to accept a connection */
	/**
	 * time that a statement occupies one of the member's places for
	 * concurrent statements
	 */
	hm_time statement_cost;
	hm_time lag;	   /**< replication delay */
	hm_time keepalive; /**< closes a silent connection, 0: 5 s */
};

/**
 * Creates a member for every endpoint of every database, listening on its
 * address. Port 0 stands for any free port, which members_database() then
 * shows. The first endpoint of each database is its primary.
 * @return NULL when an address is in use
 */
struct members *members_new(const struct database_spec *databases,
			    uint32_t count,
			    const struct member_options *options);
/** Copies database number @a index with the actual addresses. */
void members_database(const struct members *m, uint32_t index,
		      struct database_spec *out);
/** Starts the thread that runs the members. */
void members_start(struct members *m);
void members_free(struct members *m);
/** Replaces the faults of a member. Callable from any thread. */
void members_set_faults(struct members *m, hm_id endpoint,
			const struct member_faults *faults);
void members_stats(struct members *m, hm_id endpoint, struct member_stats *out);
/**
 * Runs and commits one SQL statement without a session, to set up test data.
 * @return false when the statement failed, the member is not writable or a
 * write transaction is open
 */
bool members_sql(struct members *m, hm_id endpoint, const char *sql);

#endif
