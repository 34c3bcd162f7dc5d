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
void front_free(struct front *f);
/** Answers a request; the result's body is dropped from the bodies. */
void front_answer(struct front *f, const struct result *result);
/** Takes no new connection; answers still go out. */
void front_stop(struct front *f);
/** Requests without an answer. */
uint32_t front_open(const struct front *f);

#endif
