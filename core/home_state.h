/**
 * @file home_state.h
 * State of a home and the steps that its parts share: ending statements,
 * closing and resetting connections, sending what may be sent.
 */
#ifndef HOME_STATE_H
#define HOME_STATE_H

#include "conns.h"
#include "home.h"
#include "turns.h"

#define TX_RETRY (200 * HM_MS) /* a transaction may have ended by then */
#define BUSY_RETRY (20 * HM_MS)

struct home {
	const struct core_options *options;
	const struct contracts *contracts;
	hm_id database;
	struct endpoint_spec spec;
	uint64_t *next_conn;
	struct turns *turns;
	struct conns conns;
	struct home_ended *ended;
	uint32_t ended_first;
	uint32_t ended_count;
	uint32_t ended_room;
	uint64_t contract_changes; /* when the keys were last checked */
	hm_time connect_after;
	hm_time connect_pause;
	bool down; /* no connection, and the last attempt failed */
	bool hold_writes;
};

/** A refusal: the error, ERR_NONE for none, and when to come back. */
struct refusal {
	enum error error;
	hm_time retry_at;
};

uint32_t home_slots(const struct home *h);
/** Connections that statements may use. */
uint32_t home_connections_most(const struct home *h);
/** Transactions of an account that are open or opening. */
uint32_t home_transactions_of(const struct home *h, hm_id account);

struct home_ended *home_add_ended(struct home *h, const struct turn *turn,
				  hm_time now);
/** Ends a statement that was never sent. */
void home_end_unsent(struct home *h, const struct turn *turn, enum error error,
		     hm_time retry_at, hm_time now);
/** Ends every queued statement. */
void home_end_queue(struct home *h, enum error error, hm_time retry_at,
		    hm_time now);
/** Ends the running statement of a connection that is dead or overdue. */
void home_end_lost(struct home *h, struct conn *conn, hm_time now);

/** Appends an action that concerns @a conn and its running statement. */
void home_act(const struct home *h, enum action_kind kind,
	      const struct conn *conn, struct actions *actions);
/** Marks a connection closed; the endpoint may count it for a while. */
void home_drop_conn(struct conn *conn, hm_time now);
void home_close_conn(const struct home *h, struct conn *conn, hm_time now,
		     struct actions *actions);
/** Ends the transaction of a connection; it is reset before other use. */
void home_want_reset(struct conn *conn);
/** Cancels what runs on a connection, once. */
void home_cancel(const struct home *h, struct conn *conn, hm_time now,
		 struct actions *actions);

/** Sends what slots and connections allow and opens connections. */
void home_dispatch(struct home *h, hm_time now, struct actions *actions);

#endif
