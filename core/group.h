/**
 * @file group.h
 * State of one database group as known to one instance: terms, positions and
 * lineage of its members, the age of each replica's data, and the choice of
 * the member that runs a statement.
 *
 * Ages are computed without comparing the clocks of two machines: a sample is
 * a position of the confirmed primary, and the local time at which it was
 * requested. Data of a replica that has reached the position is no older than
 * the time since that request.
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
/** Sets a new configuration; members still in it keep their known state. */
void group_set_spec(struct group *g, const struct database_spec *spec);
const struct database_spec *group_database(const struct group *g);
/**
 * Number that rises whenever the members, and thereby their indexes, change:
 * an endpoint_set from before is then invalid.
 */
uint32_t group_generation(const struct group *g);

/**
 * Stores the report of an endpoint. @a asked_at is a local time before which
 * the endpoint cannot have made the report: when the control command was sent,
 * or 0 when unknown, as for a broadcast.
 */
void group_report(struct group *g, const struct state_report *r, uint64_t from,
		  hm_time asked_at, hm_time now);

/**
 * Primary of the newest term seen; 0 for none, or when that member has promised
 * a later term.
 */
hm_id group_primary(const struct group *g, hm_time now);
uint64_t group_term(const struct group *g);
/** Lineage of the primary's log in the newest term seen. */
const struct lineage *group_lineage(const struct group *g);
/** Latest state of a member, NULL before its first report. */
const struct endpoint_state *group_state(const struct group *g, hm_id endpoint);
/** Number of members that form a majority of the configured ones. */
uint32_t group_majority(const struct group *g);
/** Incarnation that owns @a endpoint by the latest report, 0 for none. */
uint64_t group_owner(const struct group *g, hm_id endpoint);
/** Whether @a endpoint is known to have been the primary of @a term. */
bool group_is_primary(const struct group *g, hm_id endpoint, uint64_t term);
/**
 * Whether @a term can no longer have a majority, because too many members have
 * promised later terms.
 */
bool group_superseded(const struct group *g, uint64_t term);

/**
 * Adds a confirmed sample: the primary replied with the state @a primary to a
 * probe sent at @a asked_at, and a majority replied to probes sent no earlier
 * that they had promised no later term.
 */
void group_add_sample(struct group *g, hm_time asked_at,
		      const struct endpoint_state *primary);
/** Whether a sample has confirmed the newest term seen. */
bool group_confirmed(const struct group *g);
/**
 * Sets how long a confirmation excludes the promotion of another member,
 * counted from the sending of its probes.
 */
void group_set_confirmation_valid(struct group *g, hm_time confirmation_valid);
/**
 * Time until which no term later than the newest one seen can have a primary,
 * because a majority confirmed the newest one.
 */
hm_time group_confirmed_until(const struct group *g);
/**
 * Whether a statement could not run within the last 100 ms because the newest
 * term was not confirmed.
 */
bool group_wants_confirmation(const struct group *g, hm_time now);
/**
 * When the probe was sent whose reply gave the newest sample; 0 before the
 * first sample.
 */
hm_time group_last_sample_at(const struct group *g);

/** Same as lineage_reach() unless GUARD_LINEAGE is switched off. */
enum reach group_reach(const struct group *g, const struct lineage *lineage,
		       struct log_pos have, struct log_pos want);

/** The member chosen for a statement, and why. */
struct route {
	hm_id endpoint;	    /**< 0: no member can run it now */
	enum error error;   /**< endpoint 0: error to return at the deadline */
	hm_time wait_until; /**< endpoint 0: time of the next attempt, 0: answer
				 with @a error at once */
	const char *reason; /**< static string for the log line */
	bool replica;
	struct log_pos new_floor; /**< ERR_WRITE_LOST: last position of the
				     session's history that still exists */
};

/** Set of members already tried for a request: bit i is member index i. */
typedef uint32_t endpoint_set;

/**
 * Chooses the member for a statement. For ERR_WRITE_LOST with wait_until 0 the
 * caller must answer at once that the statement was not run, and replace the
 * session's floor by new_floor.
 */
struct route group_route(struct group *g, const struct statement *s,
			 endpoint_set tried, hm_time now);
/** Bit of an endpoint in an endpoint_set; 0 when @a endpoint is no member. */
endpoint_set group_bit(const struct group *g, hm_id endpoint);
/** Reports the outcome of an attempt to the endpoint's circuit breaker. */
void group_record_attempt(struct group *g, hm_id endpoint, bool ok,
			  hm_time now);

/**
 * Maximum age of data that contains the log up to @a at, computed from samples
 * of the confirmed primary. HM_NEVER when @a at reaches no known sample.
 */
hm_time group_age(const struct group *g, struct log_pos at, hm_time now);

#endif
