/**
 * @file proxy_rig.h
 * One proxy by itself, a primary m1 and a replica m2 of the service "db",
 * the routes "rota" (primary) and "view" (bounded), and the account "acme"
 * whose key is "secret". Asked whether it leads, m2 says no at once; these
 * questions are left out of the text.
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
	uint32_t sent[MSG_KIND_COUNT]; /* to peers, by the last step */
	uint64_t asked_conn;	       /* on which m2 is asked who leads */
};

/** A proxy that has just started and knows nothing. */
void rig_start(struct rig *r);
/** One that has run for 3 s with the first configuration and list. */
void rig_open(struct rig *r);
void rig_close(struct rig *r);
/** One event; what the proxy does is appended to the text. */
void rig_step(struct rig *r, const struct proxy_event *e);
/** A message of a peer; its sequence is set here. */
void rig_message(struct rig *r, struct message *m);
/** Ticks until @a span has passed. */
void rig_run(struct rig *r, hm_time span);
/** The next version of the configuration. */
void rig_configure(struct rig *r, bool with_key, bool with_route,
		   uint32_t rate);
void rig_list_members(struct rig *r, uint64_t revision);
void rig_open_session(struct rig *r, uint64_t client, const char *database,
		      const char *key);
/** What session 1 asks; see rig_ask_as. */
void rig_ask(struct rig *r, enum statement_op op, const char *request,
	     const char *name, const char *text);
void rig_ask_as(struct rig *r, uint64_t client, enum statement_op op,
		const char *request, const char *name, const char *text);
/** What a member answers on a connection, or that it took the connection. */
void rig_reply(struct rig *r, uint64_t conn, enum error error,
	       enum session_state state);
void rig_ready(struct rig *r, uint64_t conn);
/** Opens session 1 and a connection to m1 for it. @return its number */
uint64_t rig_warm(struct rig *r);

#endif
