/**
 * @file conns.h
 * Connections of one executor to its endpoint and the transactions that are
 * pinned to them. A closed connection stays in the table for a while, because
 * the endpoint counts it until it notices that the connection was closed.
 */
#ifndef CONNS_H
#define CONNS_H

#include "fair_queue.h"

enum conn_state {
	CONN_CONNECTING,
	CONN_IDLE,
	CONN_RUNNING,
	CONN_RESET_DUE, /**< to be reset once a statement slot is free */
	CONN_RESETTING,
	CONN_CLOSED /**< the endpoint may still count it */
};

/** Transaction that is open on a connection; id.seq is 0 if there is none. */
struct conn_tx {
	struct rid id;
	struct rid begin; /**< request that opened the transaction */
	hm_id account;
	struct key_id key;
	hm_time idle_until;
	bool queued; /**< its next statement is in the queue */
};

struct conn {
	uint64_t number;
	enum conn_state state;
	/** When the state ends or exceeds its time limit. */
	hm_time expires_at;
	bool cancelled; /**< the running statement was cancelled */
	bool had_slot;	/**< it used a statement slot when it was closed */
	hm_time last_reply_at; /**< last reply on the connection */
	hm_time started_at;
	struct queue_item item; /**< the running statement */
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
/** Connection by number, NULL when there is none or it is closed. */
struct conn *conns_find(const struct conns *c, uint64_t number);
/** Connection of a transaction, NULL when the transaction has ended. */
struct conn *conns_of_tx(const struct conns *c, struct rid tx);
/** An idle connection without transaction, NULL when there is none. */
struct conn *conns_idle(const struct conns *c);
/** Number of connections in @a state. */
uint32_t conns_count(const struct conns *c, enum conn_state state);
/** Number of connections that use a statement slot of the endpoint. */
uint32_t conns_slots_used(const struct conns *c);
/** Number of open transactions of @a account, or of all accounts if 0. */
uint32_t conns_transactions(const struct conns *c, hm_id account);

#endif
