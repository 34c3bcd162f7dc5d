/**
 * @file rate_fleet.h
 * Simulation of several instances that share a rate, on a network that delays,
 * loses and repeats messages and can isolate zones. All that the instances
 * admit together is checked against an exact token bucket of the contract.
 */
#ifndef RATE_FLEET_H
#define RATE_FLEET_H

#include "../core/admit.h"
#include "../core/rng.h"

#define RATE_ZONES 4
#define RATE_INSTANCES 7
#define RATE_STEP (500)
#define RATE_PATIENCE (2 * HM_SEC)
#define RATE_ACCOUNT 77
#define RATE_TOKEN ((int64_t)1000000)

/*
 * Exact token bucket. One checks the admissions against the contract, a second
 * one limits the requests that clients send.
 */
struct rate_bucket {
	uint32_t rate, burst;
	int64_t level;
	hm_time at;
};

struct rate_node {
	struct core_options options;
	struct peers *peers;
	struct rate *rate;
	struct admit *admit;
	uint64_t seq;
	hm_time offset; /* of the instance's clock to fleet time */
	hm_time heartbeat_at;
	hm_time tick_at;
	hm_time paused_until;
	hm_time down_until;
	bool up;
	bool leaving;
};

/* A message in transit. */
struct rate_packet {
	struct message message;
	hm_time at;
	uint32_t from, to;
	uint64_t incarnation; /* of the receiver, 0 for any */
};

struct rate_fleet {
	struct rate_node nodes[RATE_INSTANCES];
	struct rate_packet *packets;
	uint32_t packet_count;
	struct rng rng;
	hm_time now;
	uint64_t last_incarnation;
	uint32_t cut;	/* bit set of isolated zones */
	uint32_t alone; /* bit set of instances that reach no other one */
	/* link between two instances that loses all messages */
	uint32_t mute_from, mute_to;
	hm_time mute_until;
	uint32_t loss_percent;
	hm_time step;	    /* of simulated time */
	hm_time far_delay;  /* message delay between zones */
	hm_time start_wait; /* core_options.start_wait of each instance */
	hm_time heartbeat_every;
	struct contract contract;
	uint32_t level_count; /* urgency levels in use, for rate_set_levels() */
	uint32_t offer_level; /* level of the requests that are sent */
	hm_time patience;     /* of a request, until its deadline */
	bool refuses_at_once; /* as sessions: when no token is expected soon */
	uint32_t old_builds;  /* instances that know no levels, as bits */
	uint64_t admitted_at[PRIORITY_LEVELS];
	struct rate_bucket limit; /* of the contract, checked per admission */
	uint64_t admitted, refused, offered;
	uint64_t over; /* admissions beyond the contract's rate and burst */
};

/**
 * Creates a fleet whose instances are started. With a @a start_wait (see
 * core_options) they send heartbeats at the slower interval of a proxy.
 */
struct rate_fleet *rate_fleet_new(uint64_t seed, uint32_t rate, uint32_t burst,
				  hm_time start_wait);
void rate_fleet_free(struct rate_fleet *f);
/** Advances the time by one step and runs all that is due. */
void rate_fleet_step(struct rate_fleet *f);
/** Takes a token from the bucket; returns false when it has none. */
bool rate_bucket_take(struct rate_bucket *b, hm_time now);
/** Sets the urgency levels that are in use at instances of the new build. */
void rate_fleet_levels(struct rate_fleet *f, uint32_t count);
/** Sends a request to instance @a i. */
void rate_fleet_request(struct rate_fleet *f, uint32_t i);
/**
 * Sends the requests of one step at a mean of per_second: @a skew percent to
 * instance 0, the others to a random instance.
 */
void rate_fleet_offer(struct rate_fleet *f, uint32_t per_second, uint32_t skew);
/** Injects a random fault, or ends a network partition. */
void rate_fleet_fault(struct rate_fleet *f);
/** Stops all instances of a bit set of zones; they restart within @a spread. */
void rate_fleet_restart(struct rate_fleet *f, uint32_t zones, hm_time spread);
/** Stops an instance without notice to its peers. */
void rate_node_stop(struct rate_node *n);
/** Whether an instance is up and not paused. */
bool rate_node_runs(const struct rate_fleet *f, const struct rate_node *n);

#endif
