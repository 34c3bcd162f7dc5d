/**
 * @file session.h
 * One client connection of a stand-in member. Input and output are in
 * session.c, messages in messages.c, statements and transactions in
 * statement.c, control functions in control_fn.c.
 */
#ifndef SESSION_H
#define SESSION_H

#include "node.h"

enum stage {
	STAGE_STARTUP,
	/** waits for the end of the time that accepting a connection takes */
	STAGE_ACCEPT,
	STAGE_IDLE, /**< ready for the next message */
	/** waits for the end of the time that the statement takes */
	STAGE_RUN,
	STAGE_LOCK /**< waits for the write lock */
};

/** State of the transaction, as ReadyForQuery reports it. */
enum tx_status { TX_IDLE = 'I', TX_OPEN = 'T', TX_FAILED = 'E' };

struct session {
	struct node *node;
	int fd;
	uint32_t pid;
	uint32_t secret;
	/** incarnation of the connected instance, 0: another kind of client */
	uint64_t incarnation;
	bool control; /**< opened for control functions */
	bool closed;  /**< to be freed by node_tick() */
	bool silent;  /**< input and output are discarded */
	hm_time silent_at;
	/** the silent session has ended; its socket stays open */
	bool abandoned;

	enum stage stage;
	hm_time due; /**< time when STAGE_ACCEPT or STAGE_RUN ends */
	GByteArray *in;
	GByteArray *build; /**< output that is not queued yet */
	GQueue out;	   /**< of struct chunk */

	char *sql; /**< current statement */
	char **params;
	uint32_t param_count;
	bool described; /**< send the row description */
	bool simple;	/**< simple query protocol */
	bool skipping;	/**< ignores messages after an error, up to Sync */
	bool writes;

	enum tx_status tx;
	bool read_only;
	bool rolled_back;      /**< the member rolled the transaction back */
	bool implicit;	       /**< wrote without BEGIN; commits at Sync */
	GPtrArray *statements; /**< writes of the transaction, for the log */
};

/** Creates a session, which owns @a fd. */
struct session *session_new(struct node *n, int fd, uint32_t pid);
void session_free(struct session *s);
/** Reads input and processes it. */
void session_readable(struct session *s, hm_time now);
/** Processes input and due work, and sends due output. */
void session_process(struct session *s, hm_time now);
/** Time when session_process() is needed next. */
hm_time session_due(const struct session *s, hm_time now);
/** True when the socket should be watched for writing. */
bool session_wants_write(const struct session *s, hm_time now);
/** Rolls back, releases the write lock and closes the connection. */
void session_close(struct session *s);
/** Sends a FATAL error and closes the session. */
void session_fatal(struct session *s, const char *sqlstate,
		   const char *message);
/** Ends the current statement with an error. */
void session_error(struct session *s, const char *sqlstate, const char *message,
		   hm_time now);
/**
 * Queues the complete answer to the current statement.
 * @param effect the fault lose_answer may replace this answer by a disconnect
 */
void session_answered(struct session *s, bool effect, hm_time now);

/** Queues the built output; it is sent after the answer delay. */
void session_queue_output(struct session *s, hm_time now);
void session_clear_params(struct session *s);

/** Handles a startup message; false when it is incomplete or malformed. */
bool session_startup(struct session *s, hm_time now);
/** Sends the messages that end the startup. */
void session_finish_startup(struct session *s, hm_time now);
/** Handles the next message; false when it is incomplete or malformed. */
bool session_message(struct session *s, hm_time now);

/** Starts the current statement. */
void statement_start(struct session *s, hm_time now);
/**
 * Runs the statement, after the time that it takes has passed or the write lock
 * became free.
 */
void statement_perform(struct session *s, hm_time now);
/** Commits writes made without BEGIN; false when the commit failed. */
bool statement_sync(struct session *s, hm_time now);
/** Ends a running or waiting statement with an error. */
void statement_cancel(struct session *s, hm_time now);
/** Rolls back the transaction and releases the write lock. */
void statement_rollback(struct session *s, hm_time now);
/** Rolls back the open write transaction of @a n, if there is one. */
void statement_rollback_writer(struct node *n, hm_time now);

/** Outcome of control_fn_run(); NONE if the SQL is no control function. */
enum control_fn { CONTROL_FN_NONE, CONTROL_FN_DONE, CONTROL_FN_ERROR };

/**
 * Runs a control function, "SELECT hm_...(...)".
 * @param row receives the answer as JSON text
 * @param effect set to whether the function may change state
 */
enum control_fn control_fn_run(struct session *s, const char *sql, GString *row,
			       bool *effect, hm_time now);

#endif
