/**
 * @file driver.h
 * Table of functions through which an instance reaches endpoints. Results
 * come back as EV_CONNECTED, EV_CLOSED, EV_DONE and EV_STATE, never from
 * inside a call of the table.
 */
#ifndef DRIVER_H
#define DRIVER_H

#include "bodies.h"
#include "loop.h"
#include "sink.h"

/** What a driver needs to work; borrowed for its life. */
struct driver_host {
	struct loop *loop;
	struct bodies *bodies;
	struct sink sink;
	uint64_t incarnation;  /**< of this instance, shown to endpoints */
	hm_time connect_limit; /**< longest time to open a connection */
	hm_time control_limit; /**< longest control step */
	uint32_t rows_limit;   /**< rows per answer */
	uint32_t answer_bytes; /**< bytes per answer */
};

struct driver_state;

struct driver {
	const char *name;
	struct driver_state *(*open)(const struct driver_host *host);
	void (*shutdown)(struct driver_state *d);
	/** Opens connection number @a conn; numbers are never reused. */
	void (*connect)(struct driver_state *d, uint64_t conn,
			const struct database_spec *database,
			const struct endpoint_spec *endpoint);
	/**
	 * Runs a statement; one at a time per connection. EV_DONE carries the
	 * mark read before it (lower bound of what it saw) and after it.
	 */
	void (*execute)(struct driver_state *d, uint64_t conn,
			const struct statement *statement);
	/** Asks the endpoint to cancel; EV_DONE still comes. */
	void (*cancel)(struct driver_state *d, uint64_t conn);
	/** Rolls back and clears session state; EV_DONE with id 0 follows. */
	void (*reset)(struct driver_state *d, uint64_t conn);
	/** Closes at once; no further event of this connection follows. */
	void (*close)(struct driver_state *d, uint64_t conn);
	/**
	 * Control step on a connection kept for control, or a new one for
	 * CONTROL_PROBE_NEW_CONN; always ends with one EV_STATE.
	 */
	void (*control)(struct driver_state *d, const struct control *step,
			const struct database_spec *database,
			const struct endpoint_spec *endpoint);
	/** The endpoint is no longer held: close its control connection. */
	void (*forget)(struct driver_state *d, hm_id endpoint);
};

/** PostgreSQL through libpq. */
extern const struct driver driver_pg;

#endif
