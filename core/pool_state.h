/**
 * @file pool_state.h
 * Internals of a pool, shared by pool.c (events and deadlines), pool_submit.c
 * (admission of statements), pool_withdraw.c (members that evacuate or hang),
 * pool_job.c (queued statements and results),
 * pool_commit.c (commits that wait for their confirmation),
 * pool_change.c (commits acknowledged during a change of primary),
 * pool_dispatch.c (choice of the next statement and its connection),
 * pool_capacity.c (accounts that share the connections),
 * pool_pace.c (few connections after the creation),
 * pool_setup.c (setup of a connection), pool_prepared.c (its prepared
 * statements) and pool_conn.c (commands and replies).
 */
#ifndef POOL_STATE_H
#define POOL_STATE_H

#include "cold_limit.h"
#include "conn_backoff.h"
#include "conn_queue.h"
#include "fair_queue.h"
#include "pool.h"
#include "restart_pace.h"
#include "text_digest.h"

/*
 * Most commands in flight on a connection: one for each value of a session, and
 * a few more.
 */
#define EXPECT_MAX (SESSION_VALUES_MAX + 16)
/** Longest name of a prepared statement at a member, with its NUL. */
#define PREPARED_NAME_BYTES 24

/* Retry delay when there is no better estimate. */
#define DEFAULT_RETRY (50 * HM_MS)
/*
 * Time limit of the commands that set up a connection for a statement, and of
 * rollbacks. A connection that exceeds it is closed.
 */
#define SETUP_TIMEOUT (500 * HM_MS)
/* Delay after a failed connect; doubles with each further failure. */
#define CONNECT_BACKOFF_FIRST (100 * HM_MS)
#define CONNECT_BACKOFF_MAX (1 * HM_SEC)
/*
 * Delay after the member refused a connection at its limit. The member counts
 * a closed connection until it notices the close.
 */
#define CONNECTION_LIMIT_PAUSE (50 * HM_MS)
/*
 * After this time a member that was at its connection limit may accept a
 * connection again.
 */
#define FULL_COUNT_VALID (150 * HM_MS)
/* A statement is refused when its primary check takes longer. */
#define PRIMARY_CHECK_TIMEOUT (400 * HM_MS)
/*
 * Retry delay after a primary check without confirmation: half the duration of
 * a short primary change.
 */
#define UNCONFIRMED_RETRY (150 * HM_MS)
/*
 * Connections of a member that its pool leaves free for the service monitor and
 * for an instance that takes the member over.
 */
#define RESERVED_CONNECTIONS 2

enum conn_phase {
	PHASE_CONNECTING,
	PHASE_IDLE,
	PHASE_SETUP,	/**< setup commands sent, or a primary check pending */
	PHASE_RUNNING,	/**< statement sent */
	PHASE_IN_TX,	/**< transaction open, no statement running */
	PHASE_ROLLBACK, /**< rollback sent */
	PHASE_CLOSED
};

/** What a command was sent for, which decides how its reply is handled. */
enum expect {
	EXPECT_SETUP, /**< on failure the connection is closed */
	EXPECT_BEGIN, /**< on failure the statement is refused */
	/**
	 * ROLLBACK after a BEGIN that only checks the role of the member;
	 * result ignored
	 */
	EXPECT_CHECK_END,
	EXPECT_STATEMENT,
	EXPECT_ROLLBACK
};

/** A statement that is prepared on a connection. */
struct conn_prepared {
	struct text_digest text; /**< of the text without its arguments */
	bool writes;
	char name[PREPARED_NAME_BYTES]; /**< at the member */
	uint64_t last_use; /**< number of the connection's EXECUTE */
};

/** A statement that is queued or running at a pool. */
struct job {
	struct run_request *run;
	uint64_t reply_to;
	struct queue_item item;
	bool scheduled;	 /**< taken from the queue; its charge is not final */
	uint64_t ticket; /**< ticket of the primary check, 0: none is needed */
	/** STMT_EXECUTE that has a connection: the statement that it runs. */
	struct conn_prepared prepared;
	hm_time started_at;
};

struct pool_conn {
	uint64_t number;
	enum conn_phase phase;
	hm_id account;
	struct job *job;
	uint64_t reported_term; /**< term in the last reply of the setup */
	struct rid tx;		/**< open transaction, seq 0 for none */
	hm_time idle_until;	/**< PHASE_IN_TX: rolled back then */
	hm_time since;		/**< begin of the phase */
	hm_time busy_since;	/**< in use without a pause; 0: it is not */
	enum error setup_error; /**< first error of the setup */
	bool state_unknown; /**< session values may differ from the record */
	bool rollback_due;  /**< roll back when the running statement ends */
	enum expect expect[EXPECT_MAX];
	uint32_t expect_count;
	/** Session values set on the connection. */
	struct session_value *values;
	uint32_t value_count;
	struct conn_prepared *prepared;
	uint32_t prepared_count;
	uint64_t prepared_names; /**< names that were given so far */
	uint64_t executes;
};

struct pool_result {
	uint64_t reply_to;
	struct run_result *result;
};

/** Which replicas were asked whether they have received a commit. */
enum commit_asked { ASKED_NONE, ASKED_ONE, ASKED_ALL };

/** A commit that completed at the member and is not confirmed yet. */
struct held_commit {
	uint64_t reply_to;
	struct run_result *result;
	hm_time held_since;
	hm_time until; /**< its outcome is unknown then */
	enum commit_asked asked;
};

struct pool {
	struct pool_deps deps;
	struct site_member member;
	uint32_t connection_limit; /**< of the member, over all instances */
	struct cold_limit cold;
	hm_time cold_time; /**< after its start the member is cold so long */
	struct fair_queue *queue;
	struct primary_check *check;
	struct job **jobs; /**< queued jobs by handle; NULL: handle is free */
	uint32_t job_capacity;
	/**
	 * Scheduled job that waits for a connection; NULL if
	 * capacity_is_shared().
	 */
	struct job *conn_waiter;
	struct pool_conn *conns;
	uint32_t conn_count;
	uint32_t conn_capacity;
	uint32_t running; /**< jobs that occupy a statement slot */
	/** Last reply of the member, or since when a slot is in use. */
	hm_time progress_at;
	uint32_t full_count; /**< open connections at the last refusal */
	hm_time full_until;  /**< until then full_count is the limit */
	hm_time connect_after;
	hm_time connect_backoff;
	bool down; /**< the last connect failed */
	uint64_t displaced;
	uint64_t confirmed_in_change;
	uint32_t change_commits; /**< those of the present change */
	/* Used only if capacity_is_shared(): */
	struct conn_queue *conn_queue;
	struct conn_backoff backoff;
	struct restart_pace pace;
	struct conn_choice choice; /**< valid during a dispatch */
	bool choice_valid;
	struct conn_counts conn_counts;
	struct held_commit *commits;
	uint32_t commit_count;
	uint32_t commit_capacity;
	struct pool_result *results;
	uint32_t result_first;
	uint32_t result_count;
	uint32_t result_capacity;
};

/** Whether the member's zone is evacuated and nothing may be sent there now. */
bool pool_is_evacuated(const struct pool *p, hm_time now);

/**
 * Whether the member has stopped to answer with all slots in use, so that what
 * waits for a slot cannot expect one in time.
 */
bool pool_is_stalled(const struct pool *p, hm_time now);
/** Refuses what has waited too long for a member that is stalled. */
void pool_refuse_stalled(struct pool *p, hm_time now);
/**
 * When nothing may be sent to an evacuated member: refuses all statements that
 * were not sent, and closes all connections but those that run one. Open
 * transactions are rolled back.
 */
void pool_evacuate(struct pool *p, hm_time now, struct proxy_output *out);

/** Ends a job with an error that does not come from the member. */
void job_refuse(struct pool *p, struct job *j, enum error error,
		enum execution execution, hm_time retry_at, hm_time now);
/** Ends a job with the member's reply. */
void job_answer(struct pool *p, struct job *j, const struct member_reply *reply,
		enum session_state state, hm_time now);
void job_free(struct job *j);
/** Queues a result for pool_next_result(). */
void result_add(struct pool *p, uint64_t reply_to, struct run_result *r);
void job_queue(struct pool *p, struct job *j, hm_time now);
/** Puts a scheduled job back in front of its queue. */
void job_requeue(struct pool *p, struct job *j, hm_time now);
/**
 * Refuses, as not run, the jobs for which @a ends returns true among the
 * queued ones and the one that waits for a connection.
 */
void jobs_end(struct pool *p,
	      bool (*ends)(const struct job *j, const void *context),
	      const void *context, enum error error, hm_time now);
/** The same for all of them. */
void jobs_end_all(struct pool *p, enum error error, hm_time now);
/** Refuses the job that has waited too long for a connection. */
void job_expire_conn_waiter(struct pool *p, hm_time now);
/** Expected wait of a new statement of the request's account and level. */
hm_time job_wait(const struct pool *p, const struct run_request *o,
		 hm_time now);
/**
 * Refuses, as not run, queued statements that are less urgent than @a by and
 * can no longer start in time.
 */
void jobs_displace(struct pool *p, const struct run_request *by, hm_time now,
		   struct proxy_output *out);

/** Whether a result has to wait until replicas are known to have a commit. */
bool commit_must_wait(const struct pool *p, const struct run_result *r);
/** Holds such a result, until @a deadline at most. */
void commit_hold(struct pool *p, uint64_t reply_to, struct run_result *r,
		 hm_time deadline, hm_time now);
/** Releases what is confirmed or overdue, and asks for new commits. */
void commits_check(struct pool *p, hm_time now, struct proxy_output *out);
/** The same, and asks again for all that wait. */
void commits_tick(struct pool *p, hm_time now, struct proxy_output *out);
/** Releases all with an unknown outcome. */
void commits_give_up(struct pool *p, hm_time now, struct proxy_output *out);
void commits_free(struct pool *p);
/** Counts an acknowledged commit, and logs it, while a change runs. */
void change_note_confirmed(struct pool *p, const struct run_result *r,
			   hm_time now, struct proxy_output *out);
/** Logs how many commits were acknowledged during a change that has ended. */
void change_tick(struct pool *p, struct proxy_output *out);

/** Starts a job on an idle connection, or on that of its transaction. */
void conn_start(struct pool *p, struct pool_conn *c, struct job *j, hm_time now,
		struct proxy_output *out);
void conn_set_phase(struct pool_conn *c, enum conn_phase phase, hm_time now);
/**
 * Queues a command on the connection and records what kind of command its reply
 * will belong to.
 * @return the command, in which the caller fills in the arguments
 */
struct member_command *conn_command(struct pool_conn *c, enum expect expect,
				    enum member_command_kind kind,
				    struct proxy_output *out);

/** Sends commands that set the session's values on the connection. */
void conn_apply_values(struct pool *p, struct pool_conn *c,
		       const struct run_request *o, struct proxy_output *out);
/**
 * Prepares the statement that the connection's job executes, unless the
 * connection has it already. A connection with SESSION_PREPARED_MAX statements
 * drops the least recently used one.
 */
void conn_apply_prepared(const struct pool *p, struct pool_conn *c,
			 struct proxy_output *out);
/**
 * Minimum log position that the member must have for a read. Returns false
 * when no sample of the primary's position is recent enough.
 */
bool conn_find_floor(const struct pool *p, const struct run_request *o,
		     hm_time now, struct log_pos *floor);
/** Opens the transaction, or checks by a BEGIN that the member is a primary. */
void conn_begin(struct pool *p, struct pool_conn *c,
		const struct run_request *o, struct log_pos floor,
		struct proxy_output *out);

/** Sends a rollback; its reply makes the connection idle. */
void conn_roll_back(struct pool_conn *c, hm_time now, struct proxy_output *out);
/**
 * Closes a connection. Its job fails: with unknown outcome if the statement was
 * sent, as not run otherwise.
 */
void conn_drop(struct pool *p, struct pool_conn *c, enum error error,
	       hm_time now, struct proxy_output *out);
struct pool_conn *conn_open(struct pool *p, hm_id account, const char *who,
			    hm_time now, struct proxy_output *out);
struct pool_conn *conn_find(const struct pool *p, uint64_t number);
struct pool_conn *conn_of_tx(const struct pool *p, struct rid tx);
/** Continues the statements whose primary check has a result. */
void conns_resume_setup(struct pool *p, hm_time now, struct proxy_output *out);
/** Refuses the statement of a connection whose primary check timed out. */
void conn_primary_check_timeout(struct pool *p, struct pool_conn *c,
				hm_time now, struct proxy_output *out);
void conn_replied(struct pool *p, struct pool_conn *c,
		  const struct member_reply *reply, hm_time now,
		  struct proxy_output *out);
/** Clears the record of the session state on a connection. */
void conn_clear_session(struct pool_conn *c);
/** Removes closed connections from the table. */
void conns_sweep(struct pool *p);

/**
 * Whether accounts wait for connections in turn (conn_queue.h). The functions
 * below have no effect otherwise.
 */
bool capacity_is_shared(const struct pool *p);
/**
 * Whether a statement of the account can start, on an idle connection or on one
 * that may be opened for it now. @a context is the pool.
 */
bool capacity_allows(void *context, hm_id account, hm_time now);
/**
 * Chooses the account that gets the next connection, unless choice_valid, and
 * updates which ones wait.
 */
void capacity_choose(struct pool *p, hm_time now);
/** Opens a connection for the account of a statement; NULL: it has to wait. */
struct pool_conn *capacity_open(struct pool *p, const struct run_request *o,
				hm_time now, struct proxy_output *out);
/** Logs the accounts whose statements lack nothing but a connection. */
void capacity_mark_waiting(struct pool *p, hm_time now,
			   struct proxy_output *out);
/** Expected wait for a connection of an account that has none here. */
hm_time capacity_wait(const struct pool *p, uint32_t level, hm_time now);
/**
 * The same for a statement; 0 if its account has a connection.
 * @param queued it is among the queued ones, else it is new
 */
hm_time capacity_wait_of(const struct pool *p, const struct run_request *o,
			 bool queued, hm_time now);
/**
 * Logs the begin of the starting state (restart_pace.h), and ends it when it is
 * over.
 */
void pace_check(struct pool *p, hm_time now, struct proxy_output *out);
/** Lowers the room of a pool that is starting. */
void pace_limit_room(const struct pool *p, struct conn_room *room, hm_time now);
/**
 * Connections per second expected to become free at a starting pool, which has
 * measured too little yet; 0 if it is not starting or has no connection.
 */
uint32_t pace_rate(const struct pool *p);
/** Records a new statement, before it is queued. */
void capacity_use(struct pool *p, const struct run_request *o, hm_time now);
/** Records that the member accepted a connection; it is still connecting. */
void capacity_opened(struct pool *p, const struct pool_conn *c, hm_time now);
/** Records that the member refused a connection at its limit. */
void capacity_refused(struct pool *p, const struct pool_conn *c, hm_time now);
/**
 * After such a refusal: refuses the queued statements that can no longer get a
 * connection in time.
 */
void capacity_refuse_hopeless(struct pool *p, hm_time now);
/** Records whether a connection that was in use is free after a dispatch. */
void capacity_used(struct pool *p, uint64_t conn, hm_time now);
/** Whether a spare connection is used too often to close it. */
bool capacity_keeps_spare(const struct pool *p, const struct pool_conn *c,
			  hm_time now);

/** Starts queued jobs while slots and connections are free. */
void pool_dispatch(struct pool *p, hm_time now, struct proxy_output *out);

#endif
