/**
 * @file error.h
 * All error kinds, and how each kind is answered to clients.
 */
#ifndef ERROR_H
#define ERROR_H

#include "types.h"

enum error {
	ERR_NONE,
	ERR_BAD_REQUEST,
	ERR_TOO_LARGE,
	ERR_NOT_FOUND,
	ERR_UNAUTHENTICATED,
	ERR_FORBIDDEN,
	ERR_BAD_TOKEN,
	ERR_RATE_LIMITED,
	ERR_OVERLOADED,
	ERR_DEADLINE,
	ERR_NO_PRIMARY,
	ERR_NO_ENDPOINT,
	ERR_NOT_CAUGHT_UP,
	ERR_WRITE_LOST,
	ERR_TX_GONE,
	ERR_TX_LIMIT,
	ERR_STATEMENT,
	ERR_OUTCOME_UNKNOWN,
	ERR_ISOLATED,
	ERR_STOPPING,
	ERR_READ_ONLY,	  /**< a write was sent where only reads are served */
	ERR_TIME_LIMIT,	  /**< a statement exceeded its time limit */
	ERR_NO_STATEMENT, /**< no prepared statement has the given name */
	ERR_CONNECTION_LIMIT, /**< the limit of client connections is reached */
	ERR_WRONG_ENDPOINT,   /**< a different member answered at the address */
	ERR_INTERNAL,
	ERR_COUNT
};

enum retry_advice { RETRY_NEVER, RETRY_NOW, RETRY_LATER, RETRY_CHECK_FIRST };

/** How an error kind is answered. */
struct error_answer {
	const char *code; /**< stable code that client programs can match */
	int status;	  /**< HTTP status */
	/** Whether the statement ran, if the result does not say more. */
	enum execution execution;
	enum retry_advice retry;
	const char *text;
};

/** Answer for @a kind, never NULL; unknown kinds map to ERR_INTERNAL. */
const struct error_answer *error_answer(enum error kind);

/** Returns "not run", "run" or "unknown". */
const char *execution_name(enum execution execution);

#endif
