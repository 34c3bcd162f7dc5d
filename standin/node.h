/**
 * @file node.h
 * One stand-in member: its log and database, its sessions, its home, and the
 * faults that are switched on. All nodes of a set belong to one thread.
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
	GPtrArray *peers; /**< all nodes of the group, borrowed */
	int listener;

	struct memlog log;
	struct engine *engine;
	GQueue checkpoints;    /**< of struct checkpoint, oldest first */
	uint64_t owner;	       /**< life that holds the member, 0 for none */
	hm_time owner_seen_at; /**< when the holder was last heard */
	hm_time paused_at;

	GPtrArray *sessions;
	struct session *writer; /**< holds the write lock */
	GQueue waiting;		/**< sessions that want the write lock */
	uint32_t next_pid;
	uint32_t running; /**< statements in a slot */
	uint32_t connections_max;
	uint32_t running_max;
	uint64_t statements;
};

/** Listens on the address of @a spec; NULL when it cannot. */
struct node *node_new(hm_id database, const struct endpoint_spec *spec,
		      const struct member_options *options, GPtrArray *peers);
void node_free(struct node *n);

/** Takes one connection in, or drops it when cut off. */
void node_accept(struct node *n);
/** Runs what is due: sessions, replication, dropping of closed sessions. */
void node_tick(struct node *n, hm_time now);
/** When node_tick() is needed next; HM_NEVER while paused. */
hm_time node_due(const struct node *n, hm_time now);
void node_set_faults(struct node *n, const struct member_faults *faults,
		     hm_time now);

/** Everything that the member says about itself, read in one step. */
void node_state(const struct node *n, hm_time now, struct endpoint_state *out);
/** Compare-and-set of the home; ends the sessions of other lives. */
bool node_set_owner(struct node *n, uint64_t incarnation, uint64_t expected,
		    hm_time now);
/** Replicates from @a target; false when the member refuses. */
bool node_follow(struct node *n, uint64_t term, uint64_t requester,
		 hm_id target, hm_time now);
/** Sessions that count against the limit of connections. */
uint32_t node_connections(const struct node *n);
/** Member of the same group, NULL when there is none. */
struct node *node_peer(const struct node *n, hm_id endpoint);
/** Session by process number, NULL when there is none. */
struct session *node_session(const struct node *n, uint32_t pid);
/** Runs one SQL statement outside any session, for seeding. */
bool node_sql(struct node *n, const char *sql, hm_time now);

#endif
