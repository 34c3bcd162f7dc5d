/**
 * @file member_link.h
 * Connections to members, by the numbers that the decisions gave them.
 */
#ifndef MEMBER_LINK_H
#define MEMBER_LINK_H

#include "line_protocol.h"
#include "loop.h"
#include "proxy_sink.h"

struct member_links;

struct member_links *member_links_new(struct loop *loop,
				      const struct line_protocol *protocol,
				      struct proxy_sink sink);
void member_links_free(struct member_links *l);
/** PROXY_CONNECT, PROXY_COMMAND, PROXY_CLOSE_MEMBER. */
void member_links_perform(struct member_links *l,
			  const struct proxy_action *action);
/** Sends what was written since the last call. */
void member_links_flush(struct member_links *l);

#endif
