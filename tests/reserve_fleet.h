/**
 * @file reserve_fleet.h
 * Instances of one zone with token reserves on a simulated store. What they
 * issue together is checked against an exact bucket of each account.
 */
#ifndef RESERVE_FLEET_H
#define RESERVE_FLEET_H

#include "../core/rng.h"
#include "../core/token_reserve.h"
#include "rate_fleet.h"

#define FLEET_NODES 3
#define FLEET_ACCOUNTS 3
#define FLEET_STEP (5 * HM_MS)
#define WRITES_MAX 64

/** What happens to the next calls. */
enum call_fate {
	FATE_OK,
	FATE_ANSWER_LOST, /**< carried out, no answer */
	FATE_LATE,	  /**< a write is carried out later, no answer */
	FATE_LOST,	  /**< not carried out */
	FATE_COUNT
};

struct fleet_node {
	struct core_options options;
	struct peers *peers;
	struct rate *rate;
	struct token_reserve *reserve;
	struct proxy_output out;
	struct reserve_call call; /* in flight, when answer_at is set */
	hm_time answer_at;
	bool answered;
	uint64_t seq;
	hm_time offset, heartbeat_at, tick_at;
	hm_time down_until, paused_until, cut_until, store_cut_until;
	bool up;
	bool old_build; /* does not look for reserves */
};

/** A write on its way to the store. */
struct fleet_write {
	struct reserve_object object;
	hm_time at;
};

struct fleet_store {
	struct reserve_object objects[FLEET_NODES];
	uint64_t era, revision;
};

struct reserve_fleet {
	struct fleet_node nodes[FLEET_NODES];
	struct fleet_store store, copy;
	struct fleet_write writes[WRITES_MAX];
	uint32_t write_count;
	struct contract contract;
	struct rate_bucket limits[FLEET_ACCOUNTS];
	struct rng rng;
	hm_time now;
	hm_time cut_after; /* no other fault of a link before */
	hm_time start_at;  /* of the newest process */
	uint64_t last_incarnation;
	bool reserves; /* the switch */
	bool random;   /* fates of calls */
	enum call_fate fate;
	hm_time late; /* delay of FATE_LATE */
	bool down;    /* the store */
	uint64_t issued, over, claimed, lost;
};

struct reserve_fleet *reserve_fleet_new(uint64_t seed, bool reserves);
void reserve_fleet_free(struct reserve_fleet *f);
void reserve_fleet_run(struct reserve_fleet *f, hm_time span);
void reserve_fleet_stop(struct reserve_fleet *f, uint32_t node, hm_time span);
bool reserve_fleet_runs(const struct reserve_fleet *f, uint32_t node);
/** Issues up to @a most tokens at one node; returns how many. */
uint32_t reserve_fleet_take(struct reserve_fleet *f, uint32_t node,
			    hm_id account, uint32_t most);
/** Keeps a copy of the store, or restores it as a new era. */
void reserve_fleet_copy(struct reserve_fleet *f);
void reserve_fleet_restore(struct reserve_fleet *f);

#endif
