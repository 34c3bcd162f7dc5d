/**
 * @file peers_state.h
 * Internals of the membership, shared by peers.c and peers_owner.c only.
 */
#ifndef PEERS_STATE_H
#define PEERS_STATE_H

#include "owner_choice.h"
#include "peers.h"
#include "table.h"

#define LISTED_LEAVING_MAX 64

struct peer_entry {
	struct peer peer;
	uint64_t replaced_by; /* newer incarnation of the instance, or 0 */
	bool stopped;
	bool announced_leaving; /* its own heartbeat says it is leaving */
	hm_time full_wanted_at; /* its features are asked for again then */
};

struct peers {
	const struct core_options *options;
	struct peer_entry *list;
	uint32_t count;
	uint32_t capacity;
	struct table by_incarnation;
	hm_id listed_leaving[LISTED_LEAVING_MAX];
	uint32_t listed_leaving_count;
	hm_time other_zone_at; /* last message of a peer of another zone */
	hm_time platform_at;   /* last answer of the platform */
	uint64_t generation;
	struct owner_choice *choice;
	struct peer self;
	bool platform_ok;
	bool leaving;
};

#endif
