/**
 * @file run.h
 * Run requests and their results. A run request is a statement of a session
 * that is sent to the owner of a member, the one instance that holds
 * connections to that member. Both structs own their texts and are sent
 * between instances.
 */
#ifndef RUN_H
#define RUN_H

#include "error.h"
#include "types.h"

#define REQUEST_ID_BYTES 72
/** Number of values that one session may set. */
#define SESSION_VALUES_MAX 112
/** Number of statements that one session, or connection, may prepare. */
#define SESSION_PREPARED_MAX 256

/** Kind of a client request on a session. */
enum statement_op {
	STMT_BEGIN,
	STMT_BEGIN_READ,
	STMT_COMMIT,
	STMT_ROLLBACK,
	STMT_READ,
	STMT_WRITE,
	STMT_SET,
	STMT_PREPARE,
	STMT_EXECUTE,
	STMT_DEALLOCATE,
	STMT_OP_COUNT
};

/** Whether a statement opens, continues or is outside a transaction. */
enum run_scope {
	RUN_SINGLE, /**< not part of a transaction, commits by itself */
	RUN_FIRST,  /**< first statement, opens the transaction */
	RUN_INSIDE, /**< later statement, on the transaction's connection */
	RUN_SCOPE_COUNT
};

/** A named value that a client has set on its session. */
struct session_value {
	char *name;
	char *value;
};

/** Request to run a statement at one member. */
struct run_request {
	struct rid id; /**< issued by the instance that has the session */
	struct rid tx; /**< transaction: ID of the statement that opened it */
	hm_id service;
	hm_id endpoint;
	hm_id account;
	char account_name[NAME_BYTES]; /**< "-" for no account */
	uint32_t weight;
	uint32_t level; /**< urgency, see priority.h */
	enum statement_op op;
	enum run_scope scope;
	bool read_only;	   /**< RUN_FIRST: read-only transaction */
	bool writes;	   /**< may change data, or commits possible changes */
	bool primary_only; /**< only the current primary may run it */
	struct log_pos min_position; /**< must be in the member's log */
	/** The log must contain all commits older than this; 0: no minimum. */
	hm_time max_age;
	hm_time start_by; /**< refused if not started by then */
	hm_time deadline; /**< ended by then, with a result or an error */
	/** The transaction is rolled back after this idle time. */
	hm_time idle_limit;
	char request[REQUEST_ID_BYTES]; /**< request ID from the client */
	char *text;  /**< as received; STMT_EXECUTE: the arguments */
	char *shape; /**< STMT_EXECUTE: the prepared statement, else NULL */
	struct session_value *values;
	uint32_t value_count;
};

/** Transaction state of a session, as reported to the client. */
enum session_state { SESSION_IDLE, SESSION_OPEN, SESSION_FAILED };

/** Load of a member, stated by its owner in each result. */
struct run_load {
	bool known; /**< the owner stated its load */
	/** Expected queue wait of a new statement of each level. */
	hm_time wait[PRIORITY_LEVELS];
	/** Expected wait for a connection of an account that has none. */
	hm_time connection_wait;
};

/** Result of a run request. */
struct run_result {
	struct rid id;
	hm_id endpoint;
	enum error error; /**< ERR_NONE: success */
	enum execution execution;
	enum session_state state; /**< transaction state of the connection */
	struct log_pos at; /**< end of the member's log; term 0: unknown */
	hm_time retry_at;  /**< when to retry, 0: not known */
	hm_time wait;	   /**< expected wait at the owner */
	struct run_load load;
	char *rows; /**< one per line, each ends with a newline */
	uint32_t row_bytes;
	char *signature; /**< signature by the member, NULL for none */
	/* Set only at the owner, not sent: */
	bool commits; /**< success acknowledges a commit of changes */
	char request[REQUEST_ID_BYTES]; /**< request ID from the client */
};

/** Copies to the heap, texts included. Aborts when out of memory. */
struct run_request *run_request_copy(const struct run_request *from);
void run_request_free(struct run_request *o);
struct run_result *run_result_copy(const struct run_result *from);
void run_result_free(struct run_result *r);
/** Changes a success to ERR_OUTCOME_UNKNOWN. */
void run_result_unknown(struct run_result *r);

/** Copies a string; NULL for NULL. Aborts when out of memory. */
char *text_copy(const char *text);
/** Copies @a count values. */
struct session_value *values_copy(const struct session_value *from,
				  uint32_t count);
void values_free(struct session_value *values, uint32_t count);

#endif
