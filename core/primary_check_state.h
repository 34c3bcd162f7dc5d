/**
 * @file primary_check_state.h
 * Internals of a primary check, shared by primary_check.c (the term of the
 * primary, connections) and primary_check_commit.c (commits).
 */
#ifndef PRIMARY_CHECK_STATE_H
#define PRIMARY_CHECK_STATE_H

#include "primary_check.h"
#include "probe_conn.h"
#include "term_check.h"

/**
 * What a pending command is for. CHECK_PRIMARY begins a read-write transaction,
 * which only a primary accepts; CHECK_PRIMARY_END rolls it back.
 */
enum check_command {
	CHECK_PRIMARY,
	CHECK_PRIMARY_END,
	CHECK_STATUS,
	CHECK_COMMIT /**< status that shows whether a commit was received */
};

/** Pause between two lines of one kind on a member. */
#define CHECK_LOG_EVERY HM_SEC

struct checked_member {
	struct site_member spec;
	struct probe_conn probe;
	uint64_t primary_order; /**< number of the last CHECK_PRIMARY */
	uint64_t status_order;	/**< number of the last CHECK_STATUS */
	struct term_report reported;
	/** The log up to here has been received, by its last replies. */
	struct log_pos received;
	/**
	 * The same by its replies over connections to the life that @a spec
	 * names, for certain.
	 */
	struct log_pos proved;
	/**
	 * A list of members of this time or later tells which life the
	 * connection is to, unless it is the first one.
	 */
	hm_time life_shown_at;
	bool life_known; /**< the connection is to the life in @a spec */
	bool connected_before;
	struct log_pos commit;	     /**< asked for in the last CHECK_COMMIT */
	hm_time commit_requested_at; /**< 0: there is no reply to await */
	/** How long it took to show the last commit, COMMIT_LATE if it did not. */
	hm_time commit_delay;
	bool registered;
	hm_time log_cut_after;	  /**< no line on its connection before */
	hm_time log_shrank_after; /**< no line on its log before */
};

struct primary_check {
	hm_id endpoint; /**< the primary, which is not probed */
	struct primary_check_deps deps;
	uint32_t sync_replicas;
	struct checked_member others[ENDPOINTS_MAX];
	uint32_t count;
	/** Logical clock: counts tickets, probes and restarts of members. */
	uint64_t order;
	uint64_t newest_ticket;
	hm_time ticket_at; /**< when the newest ticket was issued */
	uint64_t probed;   /**< number of the newest probe */
	hm_time probed_at; /**< when the newest probe was sent */
	/** Number of the newest probe whose replies confirmed the term. */
	uint64_t confirmed;
	/**
	 * Since when tickets have waited without a new confirmation; 0: no
	 * ticket waits.
	 */
	hm_time unconfirmed_since;
};

/** Opens the connections to members that have none. */
void check_connect_members(struct primary_check *c, hm_time now,
			   struct proxy_output *out);
/**
 * Records the position in a reply, which has been received: by a status, else
 * the end of the log that the member has applied.
 */
void check_note_received(struct checked_member *m, const struct member_reply *r,
			 hm_time now, struct proxy_output *out);
/** Handles the reply to CHECK_COMMIT. */
void check_commit_replied(struct checked_member *m,
			  const struct member_reply *r, hm_time now,
			  struct proxy_output *out);
#endif
