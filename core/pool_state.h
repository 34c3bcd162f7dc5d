/**
 * @file pool_state.h
 * Inside of a pool, shared by pool.c (statements), pool_conn.c (steps on a
 * connection) and pool_dispatch.c (who goes next, and where).
 */
#ifndef POOL_STATE_H
#define POOL_STATE_H

#include "pool.h"
#include "turns.h"

/* Steps in flight on a connection: the values of a session and a few more. */
#define EXPECT_MAX (SESSION_VALUES_MAX + 16)
#define PREPARED_NAME_BYTES 24

/* Come back after this when nothing better is known. */
#define RETRY_SOON (50 * HM_MS)
/* No answer to a step that takes no slot: the connection is silent. */
#define SETUP_SILENT (500 * HM_MS)
/* After a failed connect the next one waits, twice as long each time. */
#define CONNECT_PAUSE_FIRST (100 * HM_MS)
#define CONNECT_PAUSE_MOST (1 * HM_SEC)
/* The member counts a closed connection until it has noticed. */
#define CONNECTION_LIMIT_PAUSE (50 * HM_MS)
/* A member that was full may have a free connection again after this. */
#define FULL_VALID (150 * HM_MS)
/* A lead that is not proved by then is refused. */
#define LEAD_PROOF_LIMIT (400 * HM_MS)
/* Come back when a lead was not proved: half of a short change of primary. */
#define UNPROVED_RETRY (150 * HM_MS)
/* Connections left to the keeper and to a home that takes over. */
#define CONNECTIONS_SPARED 2

enum conn_phase {
	PHASE_CONNECTING,
	PHASE_IDLE,
	PHASE_SETUP,	/**< what must hold before the statement is sent */
	PHASE_RUNNING,	/**< the statement was sent */
	PHASE_OPEN,	/**< transaction open, its caller thinks */
	PHASE_CLEARING, /**< rolls back */
	PHASE_CLOSED
};

/** What the next reply on a connection answers. */
enum expect {
	EXPECT_SETUP,	 /**< must succeed, or the connection is void */
	EXPECT_BEGIN,	 /**< must succeed, or the statement is not sent */
	EXPECT_LEAD_END, /**< end of the proof, its result is void */
	EXPECT_STATEMENT,
	EXPECT_CLEARED
};

/** A statement at this pool. */
struct job {
	struct run_order *order;
	uint64_t reply_to;
	struct turn turn;
	bool popped;	 /**< the turn was taken and is to be ended */
	uint64_t ticket; /**< of the check that the member leads, 0: none */
	hm_time started_at;
};

struct pool_conn {
	uint64_t number;
	enum conn_phase phase;
	hm_id account;
	struct job *job;
	uint64_t lead_term; /**< told by its last BEGIN */
	struct rid tx;	    /**< open on it, seq 0 for none */
	hm_time idle_until; /**< PHASE_OPEN */
	hm_time since;	    /**< of the phase */
	enum error failed;  /**< a step of the setup failed */
	bool unsound;	    /**< its session state is not known any more */
	bool abandoned;	    /**< rolled back once its statement has ended */
	enum expect expect[EXPECT_MAX];
	uint32_t expect_count;
	struct session_value *values; /**< applied to the connection */
	uint32_t value_count;
	char (*prepared)[PREPARED_NAME_BYTES];
	uint32_t prepared_count;
};

struct pool_ended {
	uint64_t reply_to;
	struct run_result *result;
};

struct pool {
	struct pool_site site;
	struct site_member member;
	uint32_t connections; /**< most, of all instances */
	hm_time leaving_since;
	struct turns *turns;
	struct lead_check *check;
	struct job **jobs; /**< queued, by handle; NULL is free */
	uint32_t job_room;
	struct job *parked; /**< has its turn, waits for a connection */
	struct pool_conn *conns;
	uint32_t conn_count;
	uint32_t conn_room;
	uint32_t running;   /**< jobs that hold a slot */
	uint32_t full_at;   /**< connections here when the member was full */
	hm_time full_until; /**< that counts as the limit until then */
	hm_time connect_after;
	hm_time connect_pause;
	bool down; /**< the last connect failed */
	struct pool_ended *ended;
	uint32_t ended_first;
	uint32_t ended_count;
	uint32_t ended_room;
};

/** Ends a job with a result that it did not get from the member. */
void job_refuse(struct pool *p, struct job *j, enum error error,
		enum execution execution, hm_time retry_at, hm_time now);
/** Ends a job with the member's answer. */
void job_answer(struct pool *p, struct job *j, const struct member_reply *reply,
		enum session_state state, hm_time now);
void job_free(struct job *j);
void job_queue(struct pool *p, struct job *j, hm_time now);
/** Ends queued jobs for which @a ends holds, as not run. */
void jobs_end(struct pool *p,
	      bool (*ends)(const struct job *j, const void *context),
	      const void *context, enum error error, hm_time now);
/** Ends the job that has waited long enough for a connection. */
void job_end_parked(struct pool *p, hm_time now);
hm_time job_wait(const struct pool *p, hm_id account, hm_time now);

/** Starts a job on an idle connection, or on its own transaction. */
void conn_start(struct pool *p, struct pool_conn *c, struct job *j, hm_time now,
		struct proxy_output *out);
void conn_phase(struct pool_conn *c, enum conn_phase phase, hm_time now);
/** Appends a step, and what its reply will be taken for. */
struct member_command *conn_command(struct pool_conn *c, enum expect expect,
				    enum member_command_kind kind,
				    struct proxy_output *out);

/* pool_setup.c */
void conn_apply_values(struct pool *p, struct pool_conn *c,
		       const struct run_order *o, struct proxy_output *out);
void conn_apply_prepared(struct pool_conn *c, const struct run_order *o,
			 struct proxy_output *out);
/** Name under which a connection knows a prepared statement. */
void conn_prepared_name(const struct run_order *o,
			char out[PREPARED_NAME_BYTES]);
/** Position that the log must hold; false when none is known. */
bool conn_find_floor(const struct pool *p, const struct run_order *o,
		     hm_time now, struct log_pos *floor);
/** Opens the transaction, or proves the lead. */
void conn_begin(struct pool *p, struct pool_conn *c, const struct run_order *o,
		struct log_pos floor, struct proxy_output *out);

/** Rolls back; the connection is idle once that is answered. */
void conn_clear(struct pool_conn *c, hm_time now, struct proxy_output *out);
/** Closes a connection; a job on it ends as its phase tells. */
void conn_drop(struct pool *p, struct pool_conn *c, enum error error,
	       hm_time now, struct proxy_output *out);
struct pool_conn *conn_open(struct pool *p, hm_id account, const char *who,
			    hm_time now, struct proxy_output *out);
struct pool_conn *conn_find(const struct pool *p, uint64_t number);
struct pool_conn *conn_of_tx(const struct pool *p, struct rid tx);
/** Statements that waited for the proof that the member leads go on. */
void conns_prove(struct pool *p, hm_time now, struct proxy_output *out);
/** Refuses the statement of a connection whose proof does not come. */
void conn_unproved(struct pool *p, struct pool_conn *c, hm_time now,
		   struct proxy_output *out);
void conn_replied(struct pool *p, struct pool_conn *c,
		  const struct member_reply *reply, hm_time now,
		  struct proxy_output *out);
/** Forgets the session state that a connection was given. */
void conn_forget(struct pool_conn *c);
/** Frees the places of closed connections. */
void conns_sweep(struct pool *p);

/** Sends what slots and connections allow. */
void pool_dispatch(struct pool *p, hm_time now, struct proxy_output *out);

#endif
