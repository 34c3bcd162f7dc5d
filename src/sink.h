/**
 * @file sink.h
 * Callback that receives the events for an instance. It is called on the
 * thread of the instance's event loop.
 */
#ifndef SINK_H
#define SINK_H

#include "../core/core.h"

struct sink {
	void (*event)(void *owner, const struct event *event);
	void *owner;
};

static inline void sink_event(const struct sink *s, const struct event *e)
{
	s->event(s->owner, e);
}

#endif
