/**
 * @file home.h
 * The home of one endpoint: the only instance that opens connections to it.
 * Holds its connections, statement slots, open transactions and a fair queue
 * over client accounts. Cost is slot time, weights come from contracts.
 */
#ifndef HOME_H
#define HOME_H

#include "contracts.h"
#include "core.h"

struct home;

/**
 * @a contracts, @a options and @a next_conn are borrowed for the life of the
 * home. Connections are numbered by ++*next_conn, a counter shared by all
 * homes of one core, so that a number is never used twice in a life.
 */
struct home *home_new(const struct core_options *options,
		      const struct contracts *contracts,
		      const struct database_spec *database,
		      const struct endpoint_spec *endpoint, uint64_t *next_conn,
		      hm_time now);
/** Closes nothing by itself: call home_close() first. */
void home_free(struct home *h);

/** The endpoint's limits or its leaving flag may have changed. */
void home_spec(struct home *h, const struct endpoint_spec *endpoint);

/** A statement that ended at this home, in whatever way. */
struct home_ended {
	struct statement statement;
	hm_id endpoint;
	uint64_t reply_to; /**< life of the entry instance */
	enum error error;  /**< ERR_NONE: a database answer came */
	enum execution execution;
	hm_time retry_at;
	hm_time started_at; /**< when it was sent to the endpoint */
	hm_time ended_at;
	struct log_pos before;
	struct log_pos after;
	struct lineage lineage;
	struct tx_id tx;
	uint64_t body;
};

/**
 * Queues a statement, or refuses it (then home_next_ended() yields it).
 * A repeated submission of a statement that is here is ignored.
 */
void home_submit(struct home *h, const struct statement *s, uint64_t reply_to,
		 hm_time now, struct actions *actions);
/** The caller is gone: unqueue, cancel, or roll back its transaction. */
void home_abandon(struct home *h, struct rid id, hm_time now,
		  struct actions *actions);
/** EV_CONNECTED, EV_CLOSED and EV_DONE; true when @a conn is held here. */
bool home_event(struct home *h, const struct event *e, hm_time now,
		struct actions *actions);
/** Deadlines, idle transactions, withdrawn keys, new dispatches. */
void home_tick(struct home *h, hm_time now, struct actions *actions);
/** Next ended statement; false when there is none. */
bool home_next_ended(struct home *h, struct home_ended *out);

/** Writes are held in the queue, unsent, while @a held. */
void home_hold_writes(struct home *h, bool held);
/** Rolls back and ends everything as on loss of the endpoint. */
void home_close(struct home *h, hm_time now, struct actions *actions);

struct home_load {
	uint32_t queued;
	uint32_t running;
	uint32_t free_slots;
	uint32_t connections;
	uint32_t transactions;
	hm_time wait; /**< expected wait of a new statement */
};
void home_load(const struct home *h, hm_time now, struct home_load *out);

#endif
