/**
 * @file holder.h
 * Endpoints held by this instance: taking and handing over, probes,
 * statements sent here by any instance, and their verified answers.
 */
#ifndef HOLDER_H
#define HOLDER_H

#include "state.h"

struct holder *holder_new(void);
void holder_free(struct holder *h);
/** MSG_STATEMENT. A repeated order is answered again, never run again. */
void holder_statement(struct core *c, const struct statement_forward *order,
		      uint64_t from, hm_time now, struct actions *actions);
/** MSG_ABANDON. */
void holder_abandon(struct core *c, struct rid id, hm_time now,
		    struct actions *actions);
/** MSG_CONTROL. */
void holder_control(struct core *c, const struct control *step, hm_time now,
		    struct actions *actions);
/** EV_STATE. */
void holder_state(struct core *c, struct rid nonce,
		  const struct endpoint_state *state, hm_time now,
		  struct actions *actions);
/** EV_CONNECTED, EV_CLOSED, EV_DONE. */
void holder_event(struct core *c, const struct event *e, hm_time now,
		  struct actions *actions);
void holder_tick(struct core *c, hm_time now, struct actions *actions);
/** Sends the answers that are ready; call after every event. */
void holder_flush(struct core *c, hm_time now, struct actions *actions);
/** A broadcast named a life as home of a member of ours. */
void holder_named(struct core *c, struct database *d, struct member *m,
		  uint64_t life, hm_time now, struct actions *actions);
/** Endpoints still held. */
uint32_t holder_count(const struct core *c);

#endif
