/**
 * @file pg_control.h
 * Sends control commands to endpoints: over one persistent connection for
 * each endpoint, which is opened again after it broke, or over a connection
 * that is opened for a single command.
 */
#ifndef PG_CONTROL_H
#define PG_CONTROL_H

#include "driver.h"

struct pg_control;

struct pg_control *pg_control_new(const struct driver_host *host);
void pg_control_free(struct pg_control *c);
/** Sends a command; exactly one EV_STATE follows. */
void pg_control_send(struct pg_control *c, const struct control *step,
		     const struct database_spec *database,
		     const struct endpoint_spec *endpoint);
/** The statement to cancel: the one that the server process @a pid runs. */
struct pg_cancel {
	uint64_t conn; /**< connection number, passed on to pg_cancel_ended */
	int pid;       /**< server process of that connection */
	const char *database;
	const struct endpoint_spec *endpoint;
};

/**
 * Called when a cancel has ended. @a answered is false if the server has not
 * answered: the cancel may still arrive later.
 */
typedef void (*pg_cancel_ended)(void *arg, uint64_t conn, bool answered);

/** Cancels what a server process runs; always calls @a ended once. */
void pg_control_cancel(struct pg_control *c, const struct pg_cancel *cancel,
		       pg_cancel_ended ended, void *arg);
/** Closes the control connection of an endpoint after its last reply. */
void pg_control_close(struct pg_control *c, hm_id endpoint);

#endif
