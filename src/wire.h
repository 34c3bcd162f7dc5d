/**
 * @file wire.h
 * Codec of messages between instances: msgpack, versioned, with the bodies
 * of statements and answers. Deadlines travel as remaining time.
 */
#ifndef WIRE_H
#define WIRE_H

#include "../core/message.h"
#include "bodies.h"

#define WIRE_VERSION 2
#define WIRE_BYTES_MAX (8 * 1024 * 1024)

/** New bytes; deadlines are taken relative to @a now. */
GBytes *wire_write(const struct message *m, const struct bodies *bodies,
		   hm_time now);
/**
 * Parses a message. A contract inside is allocated for the caller, bodies
 * are stored in @a bodies.
 * @return false when malformed; nothing is allocated then.
 */
bool wire_read(const void *data, size_t bytes, struct message *m,
	       struct bodies *bodies, hm_time now);

#endif
