/**
 * @file owner.h
 * Endpoints held by this instance: taking and handing over, probes,
 * statements sent here by any instance, and their verified answers.
 */
#ifndef OWNER_H
#define OWNER_H

#include "state.h"

struct owner *owner_new(void);
void owner_free(struct owner *h);
/** MSG_STATEMENT. A repeated order is answered again, never run again. */
void owner_statement(struct core *c, const struct statement_order *order,
		     uint64_t from, hm_time now, struct actions *actions);
/** MSG_ABANDON. */
void owner_abandon(struct core *c, struct rid id, hm_time now,
		   struct actions *actions);
/** MSG_CONTROL. */
void owner_control(struct core *c, const struct control *step, hm_time now,
		   struct actions *actions);
/** EV_STATE. */
void owner_state(struct core *c, struct rid nonce,
		 const struct endpoint_state *state, hm_time now,
		 struct actions *actions);
/** EV_CONNECTED, EV_CLOSED, EV_DONE. */
void owner_event(struct core *c, const struct event *e, hm_time now,
		 struct actions *actions);
void owner_tick(struct core *c, hm_time now, struct actions *actions);
/** Sends the answers that are ready; call after every event. */
void owner_flush(struct core *c, hm_time now, struct actions *actions);
/** A broadcast named a life as home of a member of ours. */
void owner_update(struct core *c, struct database *d, struct member *m,
		  uint64_t life, hm_time now, struct actions *actions);
/** Endpoints still held. */
uint32_t owner_count(const struct core *c);

#endif
