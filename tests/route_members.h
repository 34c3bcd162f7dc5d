/**
 * @file route_members.h
 * The members of the services of a route fixture: what each does with the
 * actions that the proxy addresses to it. Internal to the fixture.
 */
#ifndef ROUTE_MEMBERS_H
#define ROUTE_MEMBERS_H

#include "route_fixture.h"

/** Position at which all logs begin. */
#define ROUTE_FIRST_POSITION 50

/** A reply that is held back. */
struct route_reply {
	uint64_t conn;
	struct member_reply reply;
};

/** Carries out PROXY_CONNECT, PROXY_COMMAND and PROXY_CLOSE_MEMBER. */
void route_members_connect(struct route_fixture *r,
			   const struct proxy_action *a);
void route_members_command(struct route_fixture *r,
			   const struct proxy_action *a);
void route_members_close(struct route_fixture *r, const struct proxy_action *a);
/** Takes the first held reply whose connection is still open; false: none. */
bool route_members_next_held(struct route_fixture *r, struct route_reply *out);

#endif
