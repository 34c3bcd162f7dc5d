/**
 * @file model_world.h
 * State of a simulation, shared by model.c (instances, network, platform),
 * model_faults.c, model_member.c (endpoints) and model_load.c (clients).
 */
#ifndef MODEL_WORLD_H
#define MODEL_WORLD_H

#include <glib.h>

#include "../core/rng.h"
#include "model.h"
#include "schedule.h"

#define MODEL_MEMBERS 3
#define MODEL_ZONES_MAX 8
#define NO_MEMBER UINT32_MAX

struct world;

/**
 * One committed write in the log of a member. Its log position is its index
 * in the log plus 1.
 */
struct model_record {
	uint64_t term;
	uint64_t write; /**< ID of the write, unique in a run */
	hm_time committed_at;
};

/** One member of a database group. */
struct model_member {
	struct world *world;
	const struct database_spec *database;
	const struct endpoint_spec *spec;
	uint32_t group; /**< index of the database */
	bool dead;
	bool cut_peers;
	hm_time lag;
	enum endpoint_role role;
	uint64_t promised;
	uint64_t promised_by;
	GArray *log; /* struct model_record */
	struct lineage lineage;
	/**
	 * index in the group of the member that this one replicates; or
	 * NO_MEMBER
	 */
	uint32_t follows;
	uint64_t owner;
	hm_time owner_seen_at;
	uint32_t running;
	GQueue waiting;	   /* struct model_job */
	GHashTable *conns; /* set of conn_key(): open connections */
};

struct model_instance {
	struct world *world;
	uint32_t index;
	void *server; /* NULL while the instance is down */
	struct core_options options;
	hm_time paused_until;
	uint32_t starts;
	struct actions actions;
};

struct model_request;

struct world {
	struct model_plan plan;
	struct model_results results;
	struct schedule schedule;
	struct rng rng;
	struct database_spec databases[4];
	struct model_member members[4][MODEL_MEMBERS];
	struct model_instance instances[MODEL_INSTANCES_MAX];
	bool zone_cut[MODEL_ZONES_MAX]; /**< isolated from all other zones */
	hm_time zone_cut_since[MODEL_ZONES_MAX]; /**< 0: never cut */
	hm_time zone_healed_at[MODEL_ZONES_MAX];
	bool platform_down;
	/**
	 * By index of the fault: the member that was primary of group 0 when
	 * the fault began.
	 */
	uint32_t fault_members[MODEL_FAULTS_MAX];
	struct contract contracts[MODEL_ACCOUNTS_MAX];
	uint64_t next_write;
	struct load_generator *load;
};

/** Starts an instance with a new incarnation, or stops it as if killed. */
void world_start_instance(struct world *w, uint32_t index);
void world_stop_instance(struct world *w, uint32_t index);
/**
 * Delivers a contract to every instance that reaches the platform. @a arg is
 * the index of its account.
 */
void world_publish_contract(void *owner, void *arg);
/** Schedules the start and the end of every fault of the plan. */
void faults_plan(struct world *w);
/**
 * Delay of one message between two zones, with a uniform jitter of up to a
 * tenth.
 */
hm_time world_delay(struct world *w, uint32_t from_zone, uint32_t to_zone);
bool world_is_cut(const struct world *w, uint32_t zone, uint32_t other);
/**
 * Delivers an event to an instance, after the pause if it is paused. Drops
 * the event if the instance is down or was restarted since its start number
 * @a starts.
 */
void world_event(struct world *w, uint32_t instance, uint32_t starts,
		 const struct event *e);
/** Random number with an exponential distribution. */
hm_time world_exponential(struct world *w, hm_time mean);

void member_init(struct world *w, uint32_t group, uint32_t index);
void member_free(struct model_member *m);
void member_kill(struct model_member *m);
void member_revive(struct model_member *m);
void member_connect(struct model_member *m, uint32_t instance, uint64_t conn);
void member_execute(struct model_member *m, uint32_t instance, uint64_t conn,
		    const struct statement *s);
void member_close(struct model_member *m, uint32_t instance, uint64_t conn);
void member_reset(struct model_member *m, uint32_t instance, uint64_t conn);
void member_control(struct model_member *m, uint32_t instance,
		    const struct control *step);
/** Replicates the log of a group; called every few milliseconds. */
void group_replicate(struct world *w, uint32_t group);
/** Index of the primary with the newest term, or NO_MEMBER. */
uint32_t group_newest_primary(const struct world *w, uint32_t group);
/**
 * Whether the log of a member has @a write at position @a pos. @a visible is
 * the length of the log that counts.
 */
bool member_has_write(const struct model_member *m, uint64_t pos,
		      uint64_t write, uint64_t visible);

struct load_generator *load_new(struct world *w);
void load_free(struct load_generator *l);
void load_answer(struct load_generator *l, uint32_t instance,
		 const struct result *r);
/** Ends all requests that an instance received, without an answer. */
void load_instance_died(struct load_generator *l, uint32_t instance);
/**
 * Records that the request with number @a seq was admitted by the rate limit of
 * its account.
 */
void load_admitted(struct load_generator *l, uint64_t seq);
/**
 * Records that a statement starts at a member. Returns the body of its result:
 * for a read, the BODY_ flags of model_load.c.
 */
uint64_t load_executed(struct load_generator *l, const struct statement *s,
		       const struct model_member *m, uint64_t visible);
/** Records that a member committed a write. */
void load_committed(struct load_generator *l, const struct statement *s,
		    uint64_t write, uint64_t pos);
void load_finish(struct load_generator *l);

#endif
