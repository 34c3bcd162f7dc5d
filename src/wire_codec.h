/**
 * @file wire_codec.h
 * One description of a message serves both directions: a table of functions
 * either packs a field or unpacks it. Shared by wire.c and wire_run.c.
 */
#ifndef WIRE_CODEC_H
#define WIRE_CODEC_H

#include <msgpack.h>

#include "../core/message.h"
#include "bodies.h"

struct wire_codec;

struct wire_table {
	void (*number)(struct wire_codec *c, uint64_t *v);
	void (*text)(struct wire_codec *c, char *text, size_t bytes);
	void (*body)(struct wire_codec *c, uint64_t *id, hm_time until);
	/** Bytes on the heap, NULL stays NULL. */
	void (*bytes)(struct wire_codec *c, char **data, uint32_t *bytes);
};

struct wire_codec {
	const struct wire_table *table;
	hm_time now;
	bool failed;
	/* writing */
	msgpack_packer packer;
	const struct bodies *held;
	bool body_missing;
	/* reading */
	const char *data;
	size_t bytes;
	size_t offset;
	msgpack_unpacked item;
	struct bodies *bodies;
	uint64_t stored; /**< body to drop when the message is malformed */
};

extern const struct wire_table wire_writer;
extern const struct wire_table wire_reader;

void code_u64(struct wire_codec *c, uint64_t *v);
void code_u32(struct wire_codec *c, uint32_t *v);
void code_count(struct wire_codec *c, uint32_t *v, uint32_t limit);
void code_u16(struct wire_codec *c, uint16_t *v);
void code_bool(struct wire_codec *c, bool *v);
/** A duration, kept as it is. */
void code_span(struct wire_codec *c, hm_time *v);
/** A deadline: remaining time on the wire; 0 and HM_NEVER stay. */
void code_deadline(struct wire_codec *c, hm_time *v);
void code_rid(struct wire_codec *c, struct rid *id);
void code_mark(struct wire_codec *c, struct log_pos *m);
void code_store_version(struct wire_codec *c, struct store_version *v);
void code_tx(struct wire_codec *c, struct tx_id *tx);
/** A text on the heap, NULL stays NULL. */
void code_string(struct wire_codec *c, char **text);

/** A value of an enum below @a limit. */
#define CODE_ENUM(c, field, limit)                           \
	do {                                                 \
		uint32_t value_ = (uint32_t)(field);         \
		code_count(c, &value_, (uint32_t)(limit)-1); \
		(field) = value_;                            \
	} while (0)

#endif
