/**
 * @file wire_codec.h
 * Codec of single message fields. The same code_*() calls both pack and unpack
 * a message: a table of functions decides the direction. Used by wire.c and
 * wire_run.c.
 */
#ifndef WIRE_CODEC_H
#define WIRE_CODEC_H

#include <msgpack.h>

#include "../core/message.h"
#include "bodies.h"

struct wire_codec;

/** Functions that pack, or unpack, a field of each kind. */
struct wire_table {
	void (*number)(struct wire_codec *c, uint64_t *v);
	void (*text)(struct wire_codec *c, char *text, size_t bytes);
	void (*body)(struct wire_codec *c, uint64_t *id, hm_time until);
	/** Packs or unpacks bytes on the heap; NULL stays NULL. */
	void (*bytes)(struct wire_codec *c, char **data, uint32_t *bytes);
};

/** State of packing or unpacking one message. */
struct wire_codec {
	const struct wire_table *table;
	hm_time now;
	bool failed; /**< the message is malformed */
	/* used for packing only */
	msgpack_packer packer;
	const struct bodies *source;
	bool body_missing; /**< the body to pack is no longer stored */
	/* used for unpacking only */
	const char *data;
	size_t bytes;
	size_t offset;
	msgpack_unpacked item;
	struct bodies *bodies;
	uint64_t stored; /**< body to remove if the message is malformed */
};

extern const struct wire_table wire_writer;
extern const struct wire_table wire_reader;

void code_u64(struct wire_codec *c, uint64_t *v);
void code_u32(struct wire_codec *c, uint32_t *v);
/**
 * Packs or unpacks a number; the message is malformed if the number exceeds @a
 * limit.
 */
void code_count(struct wire_codec *c, uint32_t *v, uint32_t limit);
void code_u16(struct wire_codec *c, uint16_t *v);
void code_bool(struct wire_codec *c, bool *v);
/** Packs or unpacks a duration, unchanged. */
void code_duration(struct wire_codec *c, hm_time *v);
/**
 * Packs a deadline as the time left, or unpacks it; 0 and HM_NEVER are sent
 * unchanged.
 */
void code_deadline(struct wire_codec *c, hm_time *v);
void code_rid(struct wire_codec *c, struct rid *id);
void code_log_pos(struct wire_codec *c, struct log_pos *m);
void code_store_version(struct wire_codec *c, struct store_version *v);
void code_tx(struct wire_codec *c, struct tx_id *tx);
/** Packs or unpacks a text on the heap; NULL stays NULL. */
void code_string(struct wire_codec *c, char **text);

/** An enum field; the message is malformed unless it is below @a limit. */
#define CODE_ENUM(c, field, limit)                           \
	do {                                                 \
		uint32_t value_ = (uint32_t)(field);         \
		code_count(c, &value_, (uint32_t)(limit)-1); \
		(field) = value_;                            \
	} while (0)

#endif
