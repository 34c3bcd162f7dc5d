/**
 * @file wire.h
 * Codec of the messages between instances: msgpack with a version number,
 * including the bodies of statements and answers. Deadlines are sent as
 * remaining time, since the instances' clocks differ.
 */
#ifndef WIRE_H
#define WIRE_H

#include "../core/message.h"
#include "bodies.h"

#define WIRE_VERSION 8
#define WIRE_BYTES_MAX (8 * 1024 * 1024)

/** Packs @a m; deadlines are written as time left after @a now. */
GBytes *wire_write(const struct message *m, const struct bodies *bodies,
		   hm_time now);
/**
 * Unpacks a message. Bodies are stored in @a bodies; message_clear() frees what
 * @a m points to.
 * @return false if the message is malformed; nothing stays allocated then.
 */
bool wire_read(const void *data, size_t bytes, struct message *m,
	       struct bodies *bodies, hm_time now);

#endif
