/**
 * @file probe_conn.h
 * A connection on which a member is asked about itself. Its answers come in
 * the order of the questions; what a question was for is the asker's matter.
 */
#ifndef INQUIRY_H
#define INQUIRY_H

#include "proxy.h"

#define PROBE_PENDING_MAX 12

/** Pause before a member that refused a connection is tried again. */
#define PROBE_RECONNECT_DELAY (100 * HM_MS)

struct probe_conn {
	uint64_t conn; /**< 0: none */
	bool ready;    /**< the connection is */
	hm_time connect_after;
	hm_time opened_at;     /**< when the connection was begun */
	hm_time waiting_since; /**< oldest unanswered question, 0 for none */
	uint8_t kinds[PROBE_PENDING_MAX];
	uint32_t pending; /**< questions without an answer */
};

/** Opens a connection numbered after @a next_conn. */
void probe_conn_open(struct probe_conn *q, const struct site_member *member,
		     uint64_t *next_conn, hm_time now,
		     struct proxy_output *out);
/** Closes the connection, if there is one. */
void probe_conn_close(struct probe_conn *q, struct proxy_output *out);
/** The connection has ended: what was asked on it ends with it. */
void probe_conn_reset(struct probe_conn *q);
/** Asks; false when the connection is not ready or too much is open. */
bool probe_conn_send(struct probe_conn *q, uint8_t asked,
		     enum member_command_kind kind, uint64_t term, hm_time now,
		     struct proxy_output *out);
/** What the next answer is for; false when nothing was asked. */
bool probe_conn_replied(struct probe_conn *q, hm_time now, uint8_t *asked);
/** A question, or the opening, has waited for more than @a limit. */
bool probe_conn_timed_out(const struct probe_conn *q, hm_time limit,
			  hm_time now);

#endif
