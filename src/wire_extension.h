/**
 * @file wire_extension.h
 * Codec of the extension of a message between instances, a frame of its own
 * after the packed message. It contains the fields that were added after
 * version 8 of the wire format, so that builds of different age understand each
 * other: a build skips the fields that it does not know, and one of version 8
 * ignores the frame. Each field is packed as its key, the number of its values
 * and the values, all of them non-negative integers.
 */
#ifndef WIRE_EXTENSION_H
#define WIRE_EXTENSION_H

#include <glib.h>

#include "../core/message.h"

/**
 * Packs the fields of @a m that differ from their default value; NULL if there
 * is none. The caller owns the result.
 */
GBytes *wire_extension_write(const struct message *m);
/**
 * Sets the fields that an extension contains in a message that was unpacked
 * before.
 * @return false if the extension is malformed; fields before the malformed one
 * are set
 */
bool wire_extension_read(const void *data, size_t bytes, struct message *m);

#endif
