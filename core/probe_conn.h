/**
 * @file probe_conn.h
 * Probe connection: a connection for status and control commands to a member.
 * Replies arrive in the order of the commands. The user of the connection
 * attaches a tag to each command and gets it back with the reply.
 */
#ifndef PROBE_CONN_H
#define PROBE_CONN_H

#include "proxy.h"

#define PROBE_PENDING_MAX 12

/** Pause before a new connection to a member that refused one. */
#define PROBE_RECONNECT_DELAY (100 * HM_MS)

struct probe_conn {
	uint64_t conn; /**< 0: no connection */
	bool ready;    /**< the connection is open */
	hm_time connect_after;
	hm_time opened_at; /**< when opening it was started */
	/** Since when the next reply is awaited, 0: no command is pending. */
	hm_time waiting_since;
	uint8_t tags[PROBE_PENDING_MAX];
	uint32_t pending; /**< commands without a reply */
};

/** Opens a connection with the number ++*next_conn. */
void probe_conn_open(struct probe_conn *q, const struct site_member *member,
		     uint64_t *next_conn, hm_time now,
		     struct proxy_output *out);
/** Closes the connection, if there is one. */
void probe_conn_close(struct probe_conn *q, struct proxy_output *out);
/** Resets the state after the connection ended; drops pending commands. */
void probe_conn_reset(struct probe_conn *q);
/** Sends a command; false if not ready or too many commands are pending. */
bool probe_conn_send(struct probe_conn *q, uint8_t tag,
		     enum member_command_kind kind, uint64_t term, hm_time now,
		     struct proxy_output *out);
/** Handles a reply: gives the tag of its command; false if none is pending. */
bool probe_conn_replied(struct probe_conn *q, hm_time now, uint8_t *tag);
/** Whether a reply or the opening is overdue by more than @a limit. */
bool probe_conn_timed_out(const struct probe_conn *q, hm_time limit,
			  hm_time now);

#endif
