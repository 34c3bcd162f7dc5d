/** @file proxy_sink.h Callback that receives the events for a proxy. */
#ifndef PROXY_SINK_H
#define PROXY_SINK_H

#include "../core/proxy.h"

/** Called on the event loop's thread; @a event is borrowed for the call. */
struct proxy_sink {
	void (*event)(void *owner, const struct proxy_event *event);
	void *owner;
};

static inline void proxy_sink_event(const struct proxy_sink *s,
				    const struct proxy_event *e)
{
	s->event(s->owner, e);
}

#endif
