/**
 * @file pg_control.h
 * Control steps at endpoints: one connection kept for each endpoint, opened
 * again when it broke, or one opened for a single step.
 */
#ifndef PG_CONTROL_H
#define PG_CONTROL_H

#include "driver.h"

struct pg_control;

struct pg_control *pg_control_new(const struct driver_host *host);
void pg_control_free(struct pg_control *c);
/** Ends with one EV_STATE. */
void pg_control_send(struct pg_control *c, const struct control *step,
		     const struct database_spec *database,
		     const struct endpoint_spec *endpoint);
/** What is to be canceled. */
struct pg_cancel {
	uint64_t conn; /**< given back when it ended */
	int pid;       /**< server process of that connection */
	const char *database;
	const struct endpoint_spec *endpoint;
};

/**  answered is false when the cancel may still arrive later. */
typedef void (*pg_cancel_ended)(void *arg, uint64_t conn, bool answered);

/** Cancels what a server process runs; always ends with  ended. */
void pg_control_cancel(struct pg_control *c, const struct pg_cancel *cancel,
		       pg_cancel_ended ended, void *arg);
/** Closes the connection of an endpoint once its steps ended. */
void pg_control_forget(struct pg_control *c, hm_id endpoint);

#endif
