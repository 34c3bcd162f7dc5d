/**
 * @file model_world.h
 * Inside of the model, shared by model.c (instances, network, platform,
 * faults), model_member.c (endpoints) and model_load.c (callers).
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

/** One committed write in the log of a member; its position is its index. */
struct model_record {
	uint64_t term;
	uint64_t write; /**< number of the write, unique in a run */
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
	uint32_t follows; /**< index in the group, or NO_MEMBER */
	uint64_t owner;
	hm_time owner_seen_at;
	uint32_t running;
	GQueue waiting;	   /* struct model_job */
	GHashTable *conns; /* conn number to instance index + 1 */
};

struct model_instance {
	struct world *world;
	uint32_t index;
	void *server; /* NULL while it is dead */
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
	bool zone_cut[MODEL_ZONES_MAX];		 /**< cut off from all others */
	hm_time zone_cut_since[MODEL_ZONES_MAX]; /**< last cut, 0: never */
	hm_time zone_healed_at[MODEL_ZONES_MAX];
	bool platform_down;
	uint32_t fault_members[MODEL_FAULTS_MAX]; /**< members of group 0 */
	struct contract contracts[MODEL_ACCOUNTS_MAX];
	uint64_t next_write;
	struct load_generator *load;
};

/** Starts an instance under a new life, or ends it as if killed. */
void world_start_instance(struct world *w, uint32_t index);
void world_stop_instance(struct world *w, uint32_t index);
/** Tells a contract, by index, to every instance that can hear. */
void world_publish_contract(void *owner, void *arg);
/** Plans the faults of the plan. */
void faults_plan(struct world *w);
/** Uniform jitter of up to a tenth is added to every delay. */
hm_time world_delay(struct world *w, uint32_t from_zone, uint32_t to_zone);
bool world_is_cut(const struct world *w, uint32_t zone, uint32_t other);
/** Feeds an event to an instance now, if it lives; waits out a pause. */
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
/** Ships the logs of a group; call every few milliseconds. */
void group_replicate(struct world *w, uint32_t group);
/** Primary of the newest term, or NO_MEMBER. */
uint32_t group_newest_primary(const struct world *w, uint32_t group);
/** Whether the log of a member holds a write at a position. */
bool member_has_write(const struct model_member *m, uint64_t pos,
		      uint64_t write, uint64_t visible);

struct load_generator *load_new(struct world *w);
void load_free(struct load_generator *l);
void load_answer(struct load_generator *l, uint32_t instance,
		 const struct result *r);
/** All requests at an instance end without an answer. */
void load_instance_died(struct load_generator *l, uint32_t instance);
/** A request was let through by the limits of its account. */
void load_admitted(struct load_generator *l, uint64_t seq);
/** A statement begins at a member; returns the body of its result. */
uint64_t load_executed(struct load_generator *l, const struct statement *s,
		       const struct model_member *m, uint64_t visible);
/** A write was committed at a member. */
void load_committed(struct load_generator *l, const struct statement *s,
		    uint64_t write, uint64_t pos);
void load_finish(struct load_generator *l);

#endif
