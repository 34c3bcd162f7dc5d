/**
 * @file run.h
 * A statement of a session on its way to the home of a member, and what came
 * of it. Both own their texts and travel between instances.
 */
#ifndef RUN_H
#define RUN_H

#include "error.h"
#include "types.h"

#define REQUEST_ID_BYTES 72
/** Values that one session may set. */
#define SESSION_VALUES_MAX 112

/** What a caller asks for on its session. */
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

/** Place of a statement in a transaction. */
enum run_scope {
	RUN_SINGLE, /**< a transaction of its own */
	RUN_FIRST,  /**< opens the transaction at the member */
	RUN_INSIDE, /**< on the connection that holds the transaction */
	RUN_SCOPE_COUNT
};

/** A value that a session has set. */
struct session_value {
	char *name;
	char *value;
};

/** A statement for one member. */
struct run_order {
	struct rid id; /**< at the instance that took it in */
	struct rid tx; /**< transaction: id of the statement that opens it */
	hm_id service;
	hm_id endpoint;
	hm_id account;
	char who[NAME_BYTES]; /**< name of the account */
	uint32_t weight;
	enum statement_op op;
	enum run_scope scope;
	bool read_only; /**< RUN_FIRST: transaction that only reads */
	bool writes;	/**< it may change data; a commit: its statements did */
	bool lead;	/**< only a member that leads may answer */
	struct log_pos floor; /**< the log must hold this */
	hm_time max_age;    /**< and all that is older than this; 0: no such */
	hm_time start_by;   /**< not started by then: refuse it */
	hm_time deadline;   /**< ended by then, one way or the other */
	hm_time idle_limit; /**< of the transaction */
	char request[REQUEST_ID_BYTES]; /**< the caller's own id */
	char *text;  /**< as it came; STMT_EXECUTE: what follows the name */
	char *shape; /**< STMT_EXECUTE: what was prepared, else NULL */
	struct session_value *values;
	uint32_t value_count;
};

/** State of a session towards its caller. */
enum session_state { SESSION_IDLE, SESSION_OPEN, SESSION_FAILED };

/** What came of an order. */
struct run_result {
	struct rid id;
	hm_id endpoint;
	enum error error; /**< ERR_NONE: answered in full */
	enum execution execution;
	enum session_state state; /**< of the connection */
	struct log_pos at;	  /**< the member's log, term 0: unknown */
	hm_time retry_at;	  /**< when to come back, 0: not known */
	hm_time wait;		  /**< expected wait at the home */
	char *rows;		  /**< one a line, each ended by a newline */
	uint32_t row_bytes;
	char *signature; /**< proof of the member, NULL for none */
	/* At the home alone: */
	bool commits; /**< success says that changes are kept */
	char request[REQUEST_ID_BYTES]; /**< the caller's own id */
};

/** A copy on the heap that owns its texts. Aborts when memory is short. */
struct run_order *run_order_copy(const struct run_order *from);
void run_order_free(struct run_order *o);
struct run_result *run_result_copy(const struct run_result *from);
void run_result_free(struct run_result *r);

/** Copy of a text, NULL of NULL. Aborts when memory is short. */
char *text_copy(const char *text);
/** Copies @a count values. */
struct session_value *values_copy(const struct session_value *from,
				  uint32_t count);
void values_free(struct session_value *values, uint32_t count);

#endif
