/**
 * @file proxy_fixture.h
 * Test fixture: a single proxy, a service "db" with primary m1 and replica m2,
 * the routes "rota" (CONSISTENT_PRIMARY) and "view" (CONSISTENT_BOUNDED), and
 * the account "acme" with the key "secret". The store's record of voters has
 * the members m1 and m2. Primary checks that the proxy sends to m2 are
 * answered at once with "read only" and its position, and are not part of the
 * recorded text.
 */
#ifndef PROXY_FIXTURE_H
#define PROXY_FIXTURE_H

#include "proxy_text.h"

struct proxy_fixture {
	struct proxy *proxy;
	struct proxy_output out;
	GString *text;
	hm_time now;
	uint64_t version;
	uint32_t rota_priority; /* of the route "rota" */
	uint32_t view_priority; /* of the route "view" */
	uint64_t peer_seq;
	uint32_t sent[MSG_KIND_COUNT]; /* messages to peers in the last step */
	uint64_t replica_conn;	       /* connection of the check to m2 */
	uint64_t primary_pos;	       /* end of the log of m1 */
	uint64_t replica_pos;	       /* m2 has the log up to here */
	bool replica_silent;	       /* m2 replies to no check */
	struct voter_record record;    /* at first m1 and m2 */
	const char *logged; /* prefix of the lines in the log, NULL: none */
	GString *log;
};

/** Starts a proxy that has no configuration and no member list yet. */
void proxy_fixture_start(struct proxy_fixture *r);
/** Starts a proxy, sets configuration and members, and runs it for 3 s. */
void proxy_fixture_open(struct proxy_fixture *r);
void proxy_fixture_close(struct proxy_fixture *r);
/** Passes an event to the proxy and appends its actions to the text. */
void proxy_fixture_step(struct proxy_fixture *r, const struct proxy_event *e);
/** Passes a message from a peer, with the next sequence number set. */
void proxy_fixture_message(struct proxy_fixture *r, struct message *m);
/** Passes ticks to the proxy until @a span has passed. */
void proxy_fixture_run(struct proxy_fixture *r, hm_time span);
/** Applies the next version of the configuration. */
void proxy_fixture_configure(struct proxy_fixture *r, bool with_key,
			     bool with_route, uint32_t rate);
/** Applies a list with primary m1 and replica m2. */
void proxy_fixture_set_members(struct proxy_fixture *r, uint64_t revision);
void proxy_fixture_open_session(struct proxy_fixture *r, uint64_t client,
				const char *database, const char *key);
/** Sends a request on session 1; see proxy_fixture_request_as(). */
void proxy_fixture_request(struct proxy_fixture *r, enum statement_op op,
			   const char *request, const char *name,
			   const char *text);
/** Sends a request on session @a client. */
void proxy_fixture_request_as(struct proxy_fixture *r, uint64_t client,
			      enum statement_op op, const char *request,
			      const char *name, const char *text);
/** Passes a member's reply, or reports that the connection is ready. */
void proxy_fixture_reply(struct proxy_fixture *r, uint64_t conn,
			 enum error error, enum session_state state);
void proxy_fixture_ready(struct proxy_fixture *r, uint64_t conn);
/** Opens session 1 and a connection to m1. @return connection number */
uint64_t proxy_fixture_connect(struct proxy_fixture *r);

#endif
