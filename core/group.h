/**
 * @file group.h
 * View of one database group: terms, positions and lineage of its members,
 * the age of each replica's data, and the choice of a member for a read.
 *
 * Ages never compare clocks: a sample (asked_at, position) of the confirmed
 * primary bounds the age of any replica that has reached the position.
 */
#ifndef GROUP_H
#define GROUP_H

#include "core.h"
#include "lineage.h"
#include "message.h"

struct group;

struct group *group_new(const struct database_spec *spec, uint16_t zone,
			uint32_t guards_off);
void group_free(struct group *g);
/** Takes a changed configuration; known states of kept members stay. */
void group_set_spec(struct group *g, const struct database_spec *spec);
const struct database_spec *group_database(const struct group *g);
/** Grows when the members change, and with them their indices. */
uint32_t group_generation(const struct group *g);

/**
 * Takes a report of an endpoint. @a asked_at is the local time before which
 * the report cannot have been made: when the question left here, or for a
 * broadcast the last time known to precede it (0 when there is none).
 */
void group_report(struct group *g, const struct state_report *r, uint64_t from,
		  hm_time asked_at, hm_time now);

/** Endpoint that is primary of the newest term seen, 0 for none. */
hm_id group_primary(const struct group *g, hm_time now);
uint64_t group_term(const struct group *g);
/** Lineage of the newest term seen. */
const struct lineage *group_lineage(const struct group *g);
/** Latest state of a member, NULL when it was never heard. */
const struct endpoint_state *group_state(const struct group *g, hm_id endpoint);
/** Majority of the configured members. */
uint32_t group_majority(const struct group *g);
/** Life that last reported @a endpoint as its home, 0 for none. */
uint64_t group_owner(const struct group *g, hm_id endpoint);
/** Whether @a endpoint is known to have been the primary of @a term. */
bool group_is_primary(const struct group *g, hm_id endpoint, uint64_t term);
/** Whether members too many for @a term to go on are bound to later terms. */
bool group_superseded(const struct group *g, uint64_t term);

/**
 * Takes a proved sample: @a primary answered a question sent at @a asked_at,
 * and a majority answered questions sent no earlier that its term stood.
 */
void group_add_sample(struct group *g, hm_time asked_at,
		      const struct endpoint_state *primary);
/** Whether the newest term seen was ever proved by a sample. */
bool group_confirmed(const struct group *g);
/** How long after its question a proof rules out a later promotion. */
void group_set_evidence_valid(struct group *g, hm_time evidence_valid);
/** Until when no later term than the newest one seen can have a primary. */
hm_time group_confirmed_until(const struct group *g);
/** A route waits for a proof that the newest term stands. */
bool group_wants_confirmation(const struct group *g, hm_time now);
/** When the question of the newest sample was sent, 0 for never. */
hm_time group_last_sample_at(const struct group *g);

/** Whether a log holds all up to @a want; honours the guards. */
enum reach group_reach(const struct group *g, const struct lineage *lineage,
		       struct log_pos have, struct log_pos want);

/** Where a statement should go, and why. */
struct route {
	hm_id endpoint;	    /**< 0: nowhere now */
	enum error error;   /**< when nowhere: what to answer at last */
	hm_time wait_until; /**< when nowhere: try again by then; 0: at once */
	const char *reason; /**< static text for the log line */
	bool replica;
	struct log_pos
		new_floor; /**< ERR_WRITE_LOST: what is left of the session */
};

/** Members not to be tried again for this request, by bit of index. */
typedef uint32_t endpoint_set;

/**
 * Chooses the member for a statement. With ERR_WRITE_LOST and wait_until 0
 * the request is to be answered at once: it was not run, and the answer
 * replaces the session mark by @a reset.
 */
struct route group_route(struct group *g, const struct statement *s,
			 endpoint_set tried, hm_time now);
/** Bit of an endpoint for endpoint_set, 0 when it is no member. */
endpoint_set group_bit(const struct group *g, hm_id endpoint);
/** An attempt at an endpoint ended; feeds its circuit. */
void group_record_attempt(struct group *g, hm_id endpoint, bool ok,
			  hm_time now);

/**
 * Largest age of the data that a log position shows, judged by samples of
 * the confirmed primary. HM_NEVER when no sample is old enough.
 */
hm_time group_age(const struct group *g, struct log_pos at, hm_time now);

#endif
