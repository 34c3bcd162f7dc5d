/**
 * @file front.h
 * HTTP front end: serves clients over HTTP/1.1 and HTTP/2 with JSON bodies and
 * session tokens, and operators on a separate listener. Uses the h2o library.
 */
#ifndef FRONT_H
#define FRONT_H

#include "bodies.h"
#include "loop.h"
#include "settings.h"

struct front;

/** Callbacks into the instance; they run on the event loop's thread. */
struct front_hooks {
	/** Handles a parsed request; its body is in the body store. */
	void (*request)(void *owner, const struct statement *statement);
	/** The client disconnected before request @a id was answered. */
	void (*client_gone)(void *owner, struct rid id);
	/**
	 * Account whose contract in force lists @a key, 0 for none. Session
	 * tokens are bound to the account; without this callback they are bound
	 * to the key instead.
	 */
	hm_id (*account)(void *owner, struct key_id key);
	/**
	 * Name of an endpoint, database or account, borrowed; NULL if unknown.
	 * The callback may be NULL.
	 */
	const char *(*name)(void *owner, hm_id id);
	/**
	 * Returns the metrics in Prometheus' text exposition format, a new
	 * string.
	 */
	char *(*metrics)(void *owner);
	/** Returns the status of the instance as JSON, a new string. */
	char *(*status)(void *owner);
	void *owner;
};

/** Returns NULL and sets @a fault if a listener cannot be opened. */
struct front *front_new(struct loop *loop, const struct settings *settings,
			struct bodies *bodies, const struct front_hooks *hooks,
			char fault[SETTINGS_FAULT_BYTES]);
/**
 * Frees the front end, after it has answered the open requests with
 * outcome_unknown and closed all connections.
 */
void front_free(struct front *f);
/** Answers a request and removes the result's body from the body store. */
void front_answer(struct front *f, const struct result *result);
/**
 * Accepts no new client connections. Requests on open connections are still
 * processed, and their answers ask the client to close the connection.
 */
void front_stop(struct front *f);
/**
 * Writes the address of the operators' listener (@a operators true) or the
 * clients' one, with the actual port where port 0 is configured.
 */
void front_address(const struct front *f, bool operators,
		   char out[ADDRESS_BYTES]);
/** Number of requests that have not been answered yet. */
uint32_t front_open_requests(const struct front *f);

#endif
