/**
 * @file owner.h
 * Endpoints owned by this instance: taking and handing over ownership, probes,
 * and the statements that any instance forwards here, with their results.
 */
#ifndef OWNER_H
#define OWNER_H

#include "state.h"

struct owner *owner_new(void);
void owner_free(struct owner *o);
/**
 * Handles MSG_STATEMENT. A repeated message gets the same result again; its
 * statement is not run again.
 */
void owner_statement(struct core *c, const struct statement_forward *forward,
		     uint64_t from, hm_time now, struct actions *actions);
/** Handles MSG_ABANDON: the sender no longer waits for statement @a id. */
void owner_abandon(struct core *c, struct rid id, hm_time now,
		   struct actions *actions);
/** Handles MSG_CONTROL: a control command for an endpoint owned here. */
void owner_control(struct core *c, const struct control *cmd, hm_time now,
		   struct actions *actions);
/** Handles EV_STATE: an endpoint's reply to the control command @a nonce. */
void owner_state(struct core *c, struct rid nonce,
		 const struct endpoint_state *state, hm_time now,
		 struct actions *actions);
/** Handles EV_CONNECTED, EV_CLOSED and EV_DONE of a connection. */
void owner_event(struct core *c, const struct event *e, hm_time now,
		 struct actions *actions);
void owner_tick(struct core *c, hm_time now, struct actions *actions);
/** Sends the results that are ready; call it after every event. */
void owner_flush(struct core *c, hm_time now, struct actions *actions);
/**
 * Takes or gives up an endpoint after a state report that names incarnation
 * @a reported_owner as the owner of member @a m.
 */
void owner_update(struct core *c, struct database *d, struct member *m,
		  uint64_t reported_owner, hm_time now,
		  struct actions *actions);
/** Number of endpoints that this instance owns. */
uint32_t owner_count(const struct core *c);

#endif
