/**
 * @file group_members.h
 * Internals of a group, shared only by group.c and route.c.
 */
#ifndef GROUP_MEMBERS_H
#define GROUP_MEMBERS_H

#include "circuit.h"
#include "group.h"

/**
 * A group keeps the most recent samples, and as many older ones that are
 * SAMPLES_COARSE_EVERY apart.
 */
#define SAMPLES_RECENT 32
#define SAMPLES_COARSE 32
#define SAMPLES_COARSE_EVERY HM_SEC

/** Log position of the primary, and the local time when it was requested. */
struct sample {
	hm_time requested_at;
	struct log_pos at;
};

struct samples {
	uint32_t next;
	uint32_t count;
	struct sample list[SAMPLES_RECENT];
};

/** State of one member, stored at its index in the specification. */
struct group_member {
	bool heard; /**< a report of the member has been stored in report */
	struct state_report report;
	hm_time heard_at;
	bool age_grows; /**< the last report's age exceeded the one before */
	uint64_t owner; /**< incarnation that owns the member, 0: unknown */
	/** When the member was first seen leaving; 0 if it is not leaving. */
	hm_time leaving_at;
	struct circuit circuit;
};

struct group {
	struct database_spec spec;
	uint16_t zone;
	uint32_t guards_off;
	uint32_t generation; /**< incremented when the set of members changes */
	uint64_t term;	     /**< newest term with a known primary */
	hm_id primary;	     /**< primary of that term */
	struct lineage lineage;
	uint64_t confirmed; /**< newest term confirmed by a sample */
	/** When the probe was sent that gave the newest sample of that term. */
	hm_time confirmed_at;
	hm_time confirmation_valid;
	hm_time confirmation_wanted_at; /**< when a statement last
					lacked a confirmation */
	struct samples recent;
	struct samples coarse;
	struct group_member members[ENDPOINTS_MAX];
};

/** Index of a member, ENDPOINTS_MAX when @a endpoint is no member. */
uint32_t group_index(const struct group *g, hm_id endpoint);

#endif
