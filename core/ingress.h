/**
 * @file ingress.h
 * Requests of callers at the instance that received them, from arrival to
 * answer, as a row of filters.
 */
#ifndef INGRESS_H
#define INGRESS_H

#include "state.h"

struct ingress *ingress_new(void);
void ingress_free(struct ingress *e);
/** EV_REQUEST. */
void ingress_request(struct core *c, const struct statement *s, hm_time now,
		     struct actions *actions);
/** EV_CLIENT_GONE. */
void ingress_client_gone(struct core *c, struct rid id, hm_time now,
			 struct actions *actions);
/** MSG_RESULT. */
void ingress_result(struct core *c, const struct result *r, uint64_t from,
		    hm_time now, struct actions *actions);
/** An acknowledgement whose proof was made anew, or could not be. */
void ingress_confirmed(struct core *c, const struct result *r, hm_time now,
		       struct actions *actions);
/** Moves on requests that have got a token of their account. */
void ingress_admitted(struct core *c, hm_time now, struct actions *actions);
/** Deadlines, waiting requests, lost homes. */
void ingress_tick(struct core *c, hm_time now, struct actions *actions);
/** Requests without an answer. */
uint32_t ingress_count(const struct core *c);

#endif
