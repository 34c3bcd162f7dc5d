/**
 * @file rate_fleet.h
 * Several instances in memory on a bus that delays, loses, repeats and cuts.
 * What they admit together is held against an exact bucket of the contract.
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

/* Exact bucket of the contract; also draws the line for callers. */
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
	hm_time offset; /* of its clock */
	hm_time heartbeat_at;
	hm_time tick_at;
	hm_time paused_until;
	hm_time down_until;
	bool up;
	bool leaving;
};

struct rate_packet {
	struct message message;
	hm_time at;
	uint32_t from, to;
	uint64_t incarnation; /* receiver, 0 for whoever is there */
};

struct rate_fleet {
	struct rate_node nodes[RATE_INSTANCES];
	struct rate_packet *packets;
	uint32_t packet_count;
	struct rng rng;
	hm_time now;
	uint64_t last_incarnation;
	uint32_t cut; /* zones that hear only themselves, by bit */
	uint32_t mute_from, mute_to; /* a link that went silent */
	hm_time mute_until;
	uint32_t loss_percent;
	hm_time step;
	hm_time far_delay;  /* between zones */
	hm_time start_wait; /* of instances, 0: peer_silent */
	hm_time heartbeat_every;
	struct contract contract;
	struct rate_bucket
		limit; /* of the contract, checked at each admission */
	uint64_t admitted, refused, offered;
	uint64_t over; /* admissions beyond the contract */
};

/** @a start_wait as in core_options; proxies have one, and beat slower. */
struct rate_fleet *rate_fleet_new(uint64_t seed, uint32_t rate, uint32_t burst,
				  hm_time start_wait);
void rate_fleet_free(struct rate_fleet *f);
void rate_fleet_step(struct rate_fleet *f);
/** Takes a token, when there is one. */
bool rate_bucket_take(struct rate_bucket *b, hm_time now);
/** A request at an instance, with RATE_PATIENCE. */
void rate_fleet_request(struct rate_fleet *f, uint32_t i);
/** Requests at a mean of per_second; @a skew percent at instance 0. */
void rate_fleet_offer(struct rate_fleet *f, uint32_t per_second, uint32_t skew);
void rate_fleet_fault(struct rate_fleet *f);
/** All of some zones, by bit, end and start again within @a spread. */
void rate_fleet_restart(struct rate_fleet *f, uint32_t zones, hm_time spread);
void rate_node_stop(struct rate_node *n);
bool rate_node_runs(const struct rate_fleet *f, const struct rate_node *n);

#endif
