/**
 * @file member.h
 * Stand-in for a database group: members that speak the part of the
 * PostgreSQL protocol that libpq uses, each over an in-memory SQLite, with
 * an asynchronous log. One thread carries all members of a set.
 */
#ifndef MEMBER_H
#define MEMBER_H

#include "../core/types.h"

struct members;

/** Faults of one member; all off when zeroed. */
struct member_faults {
	bool cut_peers;	  /**< cut off from the other members */
	bool cut_all;	  /**< refuses and drops every connection */
	bool paused;	  /**< reads and writes nothing, keeps connections */
	bool dead;	  /**< killed; state stays as on disk */
	bool silent;	  /**< open connections go silent, new ones work */
	bool lose_answer; /**< drops the connection after the effect */
	hm_time lag;	  /**< of the log shipped to this member */
	hm_time answer_delay; /**< delay of every answer */
};

/** What a member did so far, for tests. */
struct member_stats {
	uint32_t connections;
	uint32_t connections_max;
	uint32_t running_max; /**< statements at once */
	uint64_t statements;
	struct endpoint_state state;
};

struct member_options {
	hm_time connect_cost;	/**< time to accept a connection */
	hm_time statement_cost; /**< slot time of a statement */
	hm_time lag;
	hm_time keepalive; /**< a silent connection is ended, 0: 5 s */
};

/**
 * Listens on the address of every endpoint of every database; port 0 takes a
 * free one, see members_database(). NULL when an address is taken.
 */
struct members *members_new(const struct database_spec *databases,
			    uint32_t count,
			    const struct member_options *options);
/** Copies database number @a index with the addresses in use. */
void members_database(const struct members *m, uint32_t index,
		      struct database_spec *out);
/** Starts the thread. */
void members_start(struct members *m);
void members_free(struct members *m);
/** Callable from any thread. */
void members_set_faults(struct members *m, hm_id endpoint,
			const struct member_faults *faults);
void members_stats(struct members *m, hm_id endpoint, struct member_stats *out);
/**
 * Runs one SQL statement at a member outside any session, for seeding.
 * @return false when it failed or the member may not write
 */
bool members_sql(struct members *m, hm_id endpoint, const char *sql);

#endif
