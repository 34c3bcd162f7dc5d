/**
 * @file proxy_rig.h
 * Test fixture: a single proxy, a service "db" with primary m1 and replica m2,
 * the routes "rota" (CONSISTENT_PRIMARY) and "view" (CONSISTENT_BOUNDED), and
 * the account "acme" with the key "secret". Primary checks that the proxy
 * sends to m2 are answered at once with "read only" and are not part of the
 * recorded text.
 */
#ifndef PROXY_RIG_H
#define PROXY_RIG_H

#include "proxy_text.h"

struct rig {
	struct proxy *proxy;
	struct proxy_output out;
	GString *text;
	hm_time now;
	uint64_t version;
	uint64_t peer_seq;
	uint32_t sent[MSG_KIND_COUNT]; /* messages to peers in the last step */
	uint64_t replica_conn;	       /* connection of the check to m2 */
};

/** Starts a proxy without a configuration and a member list. */
void rig_start(struct rig *r);
/** Starts a proxy, sets configuration and members, and runs it for 3 s. */
void rig_open(struct rig *r);
void rig_close(struct rig *r);
/** Passes an event to the proxy and appends its actions to the text. */
void rig_step(struct rig *r, const struct proxy_event *e);
/** Passes a message from a peer; sets its sequence number. */
void rig_message(struct rig *r, struct message *m);
/** Passes ticks until @a span has passed. */
void rig_run(struct rig *r, hm_time span);
/** Applies the next version of the configuration. */
void rig_configure(struct rig *r, bool with_key, bool with_route,
		   uint32_t rate);
/** Applies a list with primary m1 and replica m2. */
void rig_set_members(struct rig *r, uint64_t revision);
void rig_open_session(struct rig *r, uint64_t client, const char *database,
		      const char *key);
/** Sends a request on session 1; see rig_ask_as(). */
void rig_ask(struct rig *r, enum statement_op op, const char *request,
	     const char *name, const char *text);
/** Sends a request on session @a client. */
void rig_ask_as(struct rig *r, uint64_t client, enum statement_op op,
		const char *request, const char *name, const char *text);
/** Passes a member's reply, or reports that the connection is ready. */
void rig_reply(struct rig *r, uint64_t conn, enum error error,
	       enum session_state state);
void rig_ready(struct rig *r, uint64_t conn);
/** Opens session 1 and a connection to m1. @return connection number */
uint64_t rig_connect(struct rig *r);

#endif
