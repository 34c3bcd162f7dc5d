/**
 * @file driver.h
 * Interface of a database driver: the functions through which an instance
 * uses endpoints. Results arrive as EV_CONNECTED, EV_CLOSED, EV_DONE and
 * EV_STATE events, which are never sent from inside a call of a function.
 */
#ifndef DRIVER_H
#define DRIVER_H

#include "bodies.h"
#include "loop.h"
#include "sink.h"

/** Dependencies and limits of a driver; must outlive the driver. */
struct driver_host {
	struct loop *loop;
	struct bodies *bodies;
	struct sink sink;
	/** incarnation of this instance, sent to endpoints */
	uint64_t incarnation;
	hm_time connect_limit; /**< timeout to open a connection */
	hm_time control_limit; /**< timeout of a control command */
	/** largest number of rows per result, 0: no limit */
	uint32_t rows_limit;
	/** largest size of a result in bytes, 0: no limit */
	uint32_t answer_bytes;
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
	 * log positions read before the statement (a lower bound of what the
	 * statement has seen) and after the statement.
	 */
	void (*execute)(struct driver_state *d, uint64_t conn,
			const struct statement *statement);
	/**
	 * Asks the endpoint to cancel the statement that runs on @a conn;
	 * EV_DONE still follows.
	 */
	void (*cancel)(struct driver_state *d, uint64_t conn);
	/**
	 * Rolls back the open transaction and resets the session state of the
	 * connection; EV_DONE with ID 0 follows.
	 */
	void (*reset)(struct driver_state *d, uint64_t conn);
	/** Closes the connection at once; no further event of it follows. */
	void (*close)(struct driver_state *d, uint64_t conn);
	/**
	 * Sends a control command over the control connection of the endpoint,
	 * or over a new connection for CONTROL_PROBE_NEW_CONN. Exactly one
	 * EV_STATE follows.
	 */
	void (*control)(struct driver_state *d, const struct control *step,
			const struct database_spec *database,
			const struct endpoint_spec *endpoint);
	/**
	 * Closes the control connection of an endpoint that this instance no
	 * longer owns.
	 */
	void (*close_control)(struct driver_state *d, hm_id endpoint);
};

/** Driver for PostgreSQL through libpq. */
extern const struct driver driver_pg;

#endif
