/**
 * @file ingress.h
 * Client requests at the instance that received them, from arrival to answer.
 * A request passes a chain of filters: authenticate, permit, admit, route.
 */
#ifndef INGRESS_H
#define INGRESS_H

#include "state.h"

struct ingress *ingress_new(void);
void ingress_free(struct ingress *e);
/** Handles EV_REQUEST. */
void ingress_request(struct core *c, const struct statement *s, hm_time now,
		     struct actions *actions);
/** Handles EV_CLIENT_GONE. */
void ingress_client_gone(struct core *c, struct rid id, hm_time now,
			 struct actions *actions);
/** Handles MSG_RESULT. */
void ingress_result(struct core *c, const struct result *r, uint64_t from,
		    hm_time now, struct actions *actions);
/**
 * Takes the result of verify_reconfirm(): an acknowledgement that was confirmed
 * again, or an unknown outcome.
 */
void ingress_confirmed(struct core *c, const struct result *r, hm_time now,
		       struct actions *actions);
/** Continues requests that have received a rate token of their account. */
void ingress_admitted(struct core *c, hm_time now, struct actions *actions);
/**
 * Checks the deadlines of all requests, retries those that wait, and handles
 * those whose statement is at an owner that has died.
 */
void ingress_tick(struct core *c, hm_time now, struct actions *actions);
/** Number of unanswered requests. */
uint32_t ingress_count(const struct core *c);

#endif
