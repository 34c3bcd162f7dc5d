/**
 * @file member_link.h
 * Connections to members. The core identifies each by a number that it chose.
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
/** Performs PROXY_CONNECT, PROXY_COMMAND and PROXY_CLOSE_MEMBER. */
void member_links_perform(struct member_links *l,
			  const struct proxy_action *action);
/** Sends the commands that were added since the last call. */
void member_links_flush(struct member_links *l);

#endif
