/**
 * @file peer.h
 * Links to the other instances over ZeroMQ. Bounded queues: what does not
 * fit is dropped and counted. A link whose peer no longer hears this
 * instance is replaced.
 */
#ifndef PEER_H
#define PEER_H

#include "bodies.h"
#include "loop.h"
#include "sink.h"

struct peer_links;

struct peer_links *peer_links_new(struct loop *loop, const char *listen,
				  uint64_t life, struct bodies *bodies,
				  struct sink sink);
void peer_links_free(struct peer_links *p);
/** Known addresses of other instances; links to others are closed. */
void peer_links_addresses(struct peer_links *p,
			  const char (*addresses)[ADDRESS_BYTES],
			  uint32_t count);
/** Sends to the life @a to, or to all when it is 0. */
void peer_links_send(struct peer_links *p, uint64_t to,
		     const struct message *m);
uint64_t peer_links_dropped(const struct peer_links *p);

#endif
