/**
 * @file group_members.h
 * Inside of a group, shared by group.c and route.c only.
 */
#ifndef GROUP_MEMBERS_H
#define GROUP_MEMBERS_H

#include "circuit.h"
#include "group.h"

/** Samples at full pace, then as many that are farther apart. */
#define SAMPLES_RECENT 32
#define SAMPLES_COARSE 32
#define SAMPLES_COARSE_EVERY HM_SEC

/** Where the primary was at a local time. */
struct sample {
	hm_time asked_at;
	struct log_pos at;
};

struct samples {
	uint32_t next;
	uint32_t count;
	struct sample list[SAMPLES_RECENT];
};

/** What is known of one member, by its index in the specification. */
struct group_member {
	bool heard; /**< report holds a state, if an old one */
	struct state_report report;
	hm_time heard_at;
	bool age_grows;	    /**< the last reports showed a growing age */
	uint64_t owner;	    /**< life that reported it */
	hm_time leaving_at; /**< first seen leaving, 0 for not */
	struct circuit circuit;
};

struct group {
	struct database_spec spec;
	uint16_t zone;
	uint32_t guards_off;
	uint32_t generation; /**< of the set of members */
	uint64_t term;	     /**< newest term that had a primary */
	hm_id primary;	     /**< primary of that term */
	struct lineage lineage;
	uint64_t confirmed;   /**< newest term proved by a sample */
	hm_time confirmed_at; /**< newest question of such a sample */
	hm_time evidence_valid;
	hm_time confirmation_wanted_at; /**< a route missed a proof */
	struct samples recent;
	struct samples coarse;
	struct group_member members[ENDPOINTS_MAX];
};

/** Index of a member, ENDPOINTS_MAX when it is none. */
uint32_t group_index(const struct group *g, hm_id endpoint);

#endif
