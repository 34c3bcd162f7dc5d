/**
 * @file front.h
 * The callers' side: HTTP/1.1 and HTTP/2 on h2o, JSON bodies, session
 * tokens, and the routes of operators on a listener of their own.
 */
#ifndef FRONT_H
#define FRONT_H

#include "bodies.h"
#include "loop.h"
#include "settings.h"

struct front;

/** What the front asks of its instance, on the loop's thread. */
struct front_hooks {
	/** A parsed request; its body is in the bodies of the instance. */
	void (*request)(void *owner, const struct statement *statement);
	void (*gone)(void *owner, struct rid id);
	/**
	 * Account whose live contract holds @a key, 0 for none. Session tokens
	 * are bound to it; when the hook is NULL, to the key instead.
	 */
	hm_id (*account)(void *owner, struct key_id key);
	/** Borrowed name of an endpoint, NULL hook or text for none. */
	const char *(*name)(void *owner, hm_id id);
	/** New string: metrics in text exposition format. */
	char *(*metrics)(void *owner);
	/** New string: status as JSON. */
	char *(*status)(void *owner);
	void *owner;
};

/** NULL with a line in @a fault when a listener cannot be opened. */
struct front *front_new(struct loop *loop, const struct settings *settings,
			struct bodies *bodies, const struct front_hooks *hooks,
			char fault[SETTINGS_FAULT_BYTES]);
/** Answers what is open as of unknown outcome and closes all connections. */
void front_free(struct front *f);
/** Answers a request; the result's body is dropped from the bodies. */
void front_answer(struct front *f, const struct result *result);
/**
 * Takes no new connection of callers; requests on open ones are still taken
 * and answered, each with the advice to close the connection.
 */
void front_stop(struct front *f);
/** Address that a listener is bound to, for port 0. */
void front_address(const struct front *f, bool operators,
		   char out[ADDRESS_BYTES]);
/** Requests without an answer. */
uint32_t front_open(const struct front *f);

#endif
