/**
 * @file codec.h
 * Converts structures to JSON and back. Each function writes one field to a
 * JSON object or reads it from there, so one sequence of calls serves both
 * directions. Fields with the value zero are omitted. Reading records only its
 * first error, and what it read must not be used then.
 */
#ifndef CODEC_H
#define CODEC_H

#include <jansson.h>

#include "../core/types.h"

#define CODEC_FAULT_BYTES 160

/**
 * Table that replaces key hashes by the numbers 1, 2, ... in the order of their
 * first use.
 */
struct key_numbers;
struct key_numbers *key_numbers_new(void);
void key_numbers_free(struct key_numbers *k);

/** State shared by all objects of one write or read. */
struct codec_state {
	bool writing;
	char fault[CODEC_FAULT_BYTES]; /**< first error, empty if none */
	/**
	 * For writing: table that replaces key hashes; NULL if the keys are
	 * numbers already.
	 */
	struct key_numbers *keys;
};

/** A JSON object or array that is written or read. */
struct codec {
	struct codec_state *state;
	json_t *json; /**< borrowed; NULL if absent: its fields read as zero */
};

/** Records an error in field @a name, unless there already is one. */
void codec_fault(const struct codec *c, const char *name, const char *fault);

void codec_bool(struct codec *c, const char *name, bool *value);
void codec_u32(struct codec *c, const char *name, uint32_t *value);
void codec_u16(struct codec *c, const char *name, uint16_t *value);
void codec_u64(struct codec *c, const char *name, uint64_t *value);
void codec_time(struct codec *c, const char *name, hm_time *value);
/** Writes or reads an ID as hexadecimal text. */
void codec_id(struct codec *c, const char *name, uint64_t *value);
void codec_text(struct codec *c, const char *name, char *out, size_t capacity);
/**
 * Writes or reads an enum value as text; names[i], never NULL, is the text of
 * value i.
 */
void codec_enum(struct codec *c, const char *name, int *value,
		const char *const *names, int count);
void codec_key(struct codec *c, const char *name, struct key_id *key);

/** Returns the nested object in field @a name; creates it when writing. */
struct codec codec_object(struct codec *c, const char *name);
/**
 * The nested array in field @a name; created when writing. Reading sets *count
 * to its length, which may be at most @a capacity.
 */
struct codec codec_array(struct codec *c, const char *name, uint32_t *count,
			 uint32_t capacity);
/** Returns object @a index of an array; appends it when writing. */
struct codec codec_item(struct codec *array, uint32_t index);

#endif
