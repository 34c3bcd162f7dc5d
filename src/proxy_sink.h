/** @file proxy_sink.h Where the tasks of a proxy deliver events. */
#ifndef PROXY_SINK_H
#define PROXY_SINK_H

#include "../core/proxy.h"

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
