/**
 * @file conns.h
 * Connections of one home to its endpoint and the transactions pinned to
 * them. A closed connection is kept for a while, since the endpoint may
 * notice its end late and counts it until then.
 */
#ifndef CONNS_H
#define CONNS_H

#include "fair_queue.h"

enum conn_state {
	CONN_CONNECTING,
	CONN_IDLE,
	CONN_RUNNING,
	CONN_RESET_DUE, /**< waits for a slot to be reset */
	CONN_RESETTING,
	CONN_CLOSED /**< until the endpoint must have noticed */
};

/** A transaction; id.seq 0 for none. */
struct conn_tx {
	struct rid id;
	struct rid begin; /**< request that opened it */
	hm_id account;
	struct key_id key;
	hm_time idle_until;
	bool queued; /**< its next statement waits in the queue */
};

struct conn {
	uint64_t number;
	enum conn_state state;
	hm_time expires_at;    /**< when the state is overdue or over */
	bool cancelled;	       /**< the running statement was cancelled */
	bool had_slot;	       /**< closed while it used a slot */
	hm_time last_reply_at; /**< the endpoint last spoke on it */
	hm_time started_at;
	struct queue_item item; /**< running statement */
	struct conn_tx tx;
};

struct conns {
	struct conn *list;
	uint32_t count;
	uint32_t capacity;
};

void conns_free(struct conns *c);
struct conn *conns_add(struct conns *c, uint64_t number);
void conns_remove(struct conns *c, struct conn *conn);
/** Open connection of that number, NULL when there is none. */
struct conn *conns_find(const struct conns *c, uint64_t number);
/** Connection that holds the transaction, NULL when it is gone. */
struct conn *conns_of_tx(const struct conns *c, struct rid tx);
/** An idle connection without transaction, NULL when there is none. */
struct conn *conns_idle(const struct conns *c);
uint32_t conns_count(const struct conns *c, enum conn_state state);
/** Connections that use a statement slot of the endpoint. */
uint32_t conns_slots_used(const struct conns *c);
/** Open transactions of @a account, or of all when it is 0. */
uint32_t conns_transactions(const struct conns *c, hm_id account);

#endif
