/**
 * @file peer.h
 * Connections ("links") to the other instances over ZeroMQ. Their queues are
 * limited: messages beyond the limit are dropped and counted. A link is
 * replaced when the peer's heartbeats show that it receives nothing from this
 * instance.
 */
#ifndef PEER_H
#define PEER_H

#include "bodies.h"
#include "loop.h"
#include "sink.h"

struct peer_links;

struct peer_links *peer_links_new(struct loop *loop, const char *listen,
				  uint64_t incarnation, struct bodies *bodies,
				  struct sink sink);
void peer_links_free(struct peer_links *p);
/**
 * Sets the addresses of all instances: connects to new ones and closes links
 * to addresses not in the list, except links whose peer still sends echoes.
 */
void peer_links_set_addresses(struct peer_links *p,
			      const char (*addresses)[ADDRESS_BYTES],
			      uint32_t count);
/**
 * Sets whether messages to all go to all known addresses, the default, or only
 * to instances with which other messages than heartbeats and digests were
 * exchanged lately.
 */
void peer_links_set_mesh(struct peer_links *p, bool mesh);
/** Notes the address of an incarnation. */
void peer_links_learn(struct peer_links *p, uint64_t incarnation,
		      const char *address);
/**
 * Sends @a m to incarnation @a to, to all instances if @a to is 0, or to one of
 * the known addresses if it is PEER_ANY.
 */
void peer_links_send(struct peer_links *p, uint64_t to,
		     const struct message *m);
/**
 * Number of messages to peers dropped so far because they could not be sent.
 */
uint64_t peer_links_dropped(const struct peer_links *p);

#endif
