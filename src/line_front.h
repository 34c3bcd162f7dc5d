/** @file line_front.h Clients' sessions over the line protocol. */
#ifndef LINE_FRONT_H
#define LINE_FRONT_H

#include "line_protocol.h"
#include "loop.h"
#include "proxy_sink.h"

struct line_front;

/** Opens the listener. @return NULL with errno set on failure */
struct line_front *line_front_new(struct loop *loop, const char *address,
				  uint32_t connection_limit,
				  const struct line_protocol *protocol,
				  struct proxy_sink sink);
void line_front_free(struct line_front *f);
/** Performs the actions PROXY_ANSWER and PROXY_CLOSE_CLIENT. */
void line_front_perform(struct line_front *f,
			const struct proxy_action *action);
/** Sends answers, then reads the next request of each answered client. */
void line_front_flush(struct line_front *f);
/** Number of connected clients. */
uint32_t line_front_count(const struct line_front *f);

#endif
