/**
 * @file session.h
 * One client connection of a stand-in member: bytes in session.c, messages in
 * messages.c, statements and transactions in statement.c, control functions in
 * control_fn.c.
 */
#ifndef SESSION_H
#define SESSION_H

#include "node.h"

enum stage {
	STAGE_STARTUP,
	STAGE_ACCEPT, /**< pays the cost of a connection */
	STAGE_IDLE,   /**< takes the next message */
	STAGE_RUN,    /**< pays the cost of a statement */
	STAGE_LOCK    /**< waits for the write lock */
};

/** State of the transaction, as ReadyForQuery tells it. */
enum tx_status { TX_IDLE = 'I', TX_OPEN = 'T', TX_FAILED = 'E' };

struct session {
	struct node *node;
	int fd;
	uint32_t pid;
	uint32_t secret;
	uint64_t
		incarnation; /**< of the instance that opened it, 0 for others */
	bool control;	     /**< opened for control steps */
	bool closed;	     /**< to be dropped by node_tick() */
	bool silent;	     /**< no byte passes any more */
	hm_time silent_at;
	bool abandoned; /**< silent and given up by the server */

	enum stage stage;
	hm_time due; /**< end of the cost being paid */
	GByteArray *in;
	GByteArray *build; /**< answer to the statement at hand */
	GQueue out;	   /**< of struct chunk, in order */

	char *sql; /**< statement at hand */
	char **params;
	uint32_t param_count;
	bool described; /**< the client wants the row description */
	bool simple;	/**< came as a simple query */
	bool skipping;	/**< after an error, up to Sync */
	bool writes;

	enum tx_status tx;
	bool read_only;
	bool rolled_back;      /**< the member rolled it back */
	bool implicit;	       /**< wrote without BEGIN, up to Sync */
	GPtrArray *statements; /**< writes of the transaction, for the log */
};

/** Takes over @a fd. */
struct session *session_new(struct node *n, int fd, uint32_t pid);
void session_free(struct session *s);
/** Reads what came and works on it. */
void session_readable(struct session *s, hm_time now);
/** Works on all that is due, and sends what may be sent. */
void session_process(struct session *s, hm_time now);
/** When session_process() is needed next. */
hm_time session_due(const struct session *s, hm_time now);
/** True when the socket should be watched for writing. */
bool session_wants_write(const struct session *s, hm_time now);
/** Rolls back, frees the lock, drops the connection. */
void session_close(struct session *s);
/** The same after a FATAL error was sent. */
void session_fatal(struct session *s, const char *sqlstate,
		   const char *message);
/** Ends the statement at hand with an error. */
void session_error(struct session *s, const char *sqlstate, const char *message,
		   hm_time now);
/** The answer to the statement at hand is complete. */
void session_answered(struct session *s, bool effect, hm_time now);

/** Hands what was built to the client, after the delay of answers. */
void session_queue_output(struct session *s, hm_time now);
void session_clear_params(struct session *s);

/** Takes the first message; false when it is not there yet. */
bool session_startup(struct session *s, hm_time now);
/** Lets the client in. */
void session_finish_startup(struct session *s, hm_time now);
/** Takes the next message; false when it is not there yet. */
bool session_message(struct session *s, hm_time now);

/** Starts the statement at hand. */
void statement_start(struct session *s, hm_time now);
/** The cost is paid, or the lock is free: performs it. */
void statement_perform(struct session *s, hm_time now);
/** Commits what was written without BEGIN; false when that failed. */
bool statement_sync(struct session *s, hm_time now);
/** Ends a statement that is running or waiting, with an error. */
void statement_cancel(struct session *s, hm_time now);
/** Gives up the transaction and the write lock. */
void statement_rollback(struct session *s, hm_time now);
/** Rolls back the open write transaction of @a n, whoever has it. */
void statement_rollback_writer(struct node *n, hm_time now);

/** Whether a text was a control function, and how it went. */
enum control_fn { CONTROL_FN_NONE, CONTROL_FN_DONE, CONTROL_FN_ERROR };

/**
 * Runs "SELECT hm_...(...)", the control functions.
 * @param row receives the text to be answered
 * @param effect set when the step changes state
 */
enum control_fn control_fn_run(struct session *s, const char *sql, GString *row,
			       bool *effect, hm_time now);

#endif
