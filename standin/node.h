/**
 * @file node.h
 * One stand-in member: its log and database, its sessions, its owner and its
 * active faults. One thread runs all nodes of a set.
 */
#ifndef NODE_H
#define NODE_H

#include <glib.h>

#include "engine.h"
#include "member.h"
#include "memlog.h"

struct session;

struct node {
	hm_id database;
	struct endpoint_spec spec;
	struct member_options options;
	struct member_faults faults;
	GPtrArray *peers; /**< all nodes of the database group, borrowed */
	int listener;

	struct memlog log;
	struct engine *engine;
	GQueue checkpoints; /**< of struct checkpoint, oldest first */
	/** incarnation of the instance that owns the member, 0 for none */
	uint64_t owner;
	hm_time owner_seen_at; /**< time of the owner's last statement */
	hm_time paused_at;

	GPtrArray *sessions;
	/** session that holds the write lock, NULL for none */
	struct session *writer;
	GQueue waiting; /**< sessions waiting for the write lock */
	uint32_t next_pid;
	uint32_t running; /**< statements that run or wait for the lock */
	uint32_t connections_max;
	uint32_t running_max;
	uint64_t statements;
};

/** Listens on the address of @a spec; NULL on failure. */
struct node *node_new(hm_id database, const struct endpoint_spec *spec,
		      const struct member_options *options, GPtrArray *peers);
void node_free(struct node *n);

/** Accepts one connection; closes it under the faults cut_all and dead. */
void node_accept(struct node *n);
/** Runs due work: sessions, replication, freeing of closed sessions. */
void node_tick(struct node *n, hm_time now);
/** Time when node_tick() is needed next; HM_NEVER while paused. */
hm_time node_due(const struct node *n, hm_time now);
void node_set_faults(struct node *n, const struct member_faults *faults,
		     hm_time now);

/** Fills @a out with the state that the control functions report. */
void node_state(const struct node *n, hm_time now, struct endpoint_state *out);
/**
 * Sets the owner if it is @a expected or already @a incarnation, and closes the
 * connections of other incarnations.
 */
bool node_set_owner(struct node *n, uint64_t incarnation, uint64_t expected,
		    hm_time now);
/** Makes the node follow @a target, see memlog_follow(); false when refused. */
bool node_follow(struct node *n, uint64_t term, uint64_t requester,
		 hm_id target, hm_time now);
/** Number of sessions that count against the connection limit. */
uint32_t node_connections(const struct node *n);
/** Node of @a endpoint in the same database group, NULL when there is none. */
struct node *node_peer(const struct node *n, hm_id endpoint);
/** Session by process number, NULL when there is none. */
struct session *node_session(const struct node *n, uint32_t pid);
/** Runs and commits one SQL statement without a session, for test data. */
bool node_sql(struct node *n, const char *sql, hm_time now);

#endif
