/**
 * @file inquiry.h
 * A connection on which a member is asked about itself. Its answers come in
 * the order of the questions; what a question was for is the asker's matter.
 */
#ifndef INQUIRY_H
#define INQUIRY_H

#include "proxy.h"

#define INQUIRY_MAX 12

/** Pause before a member that refused a connection is tried again. */
#define INQUIRY_RECONNECT (100 * HM_MS)

struct inquiry {
	uint64_t conn; /**< 0: none */
	bool ready;    /**< the connection is */
	hm_time connect_after;
	hm_time opened_at; /**< when the connection was begun */
	hm_time asked_at;  /**< oldest unanswered question, 0 for none */
	uint8_t asked[INQUIRY_MAX];
	uint32_t count; /**< questions without an answer */
};

/** Opens a connection numbered after @a next_conn. */
void inquiry_connect(struct inquiry *q, const struct site_member *member,
		     uint64_t *next_conn, hm_time now,
		     struct proxy_output *out);
/** Closes the connection, if there is one. */
void inquiry_disconnect(struct inquiry *q, struct proxy_output *out);
/** The connection has ended: what was asked on it ends with it. */
void inquiry_forget(struct inquiry *q);
/** Asks; false when the connection is not ready or too much is open. */
bool inquiry_ask(struct inquiry *q, uint8_t asked,
		 enum member_command_kind kind, uint64_t term, hm_time now,
		 struct proxy_output *out);
/** What the next answer is for; false when nothing was asked. */
bool inquiry_answered(struct inquiry *q, hm_time now, uint8_t *asked);
/** A question, or the opening, has waited for more than @a limit. */
bool inquiry_is_silent(const struct inquiry *q, hm_time limit, hm_time now);

#endif
