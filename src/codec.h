/**
 * @file codec.h
 * One description of a structure for both directions: each function writes
 * a field to a JSON object, or reads it from there. Zero values are left
 * out. The first fault of a reading is kept and ends it.
 */
#ifndef CODEC_H
#define CODEC_H

#include <jansson.h>

#include "../core/types.h"

#define CODEC_FAULT_BYTES 160

/** Numbers in place of key hashes, in order of appearance. */
struct key_numbers;
struct key_numbers *key_numbers_new(void);
void key_numbers_free(struct key_numbers *k);

/** State of one writing or reading. */
struct codec_state {
	bool writing;
	char fault[CODEC_FAULT_BYTES]; /**< empty when there is none */
	/** Writing: replaces keys; NULL when keys are numbers already. */
	struct key_numbers *keys;
};

/** One JSON object being written or read. */
struct codec {
	struct codec_state *state;
	json_t *json; /**< borrowed; NULL: absent, all fields are zero */
};

/** Keeps the first fault. */
void codec_fault(const struct codec *c, const char *name, const char *fault);

void codec_flag(struct codec *c, const char *name, bool *value);
void codec_count(struct codec *c, const char *name, uint32_t *value);
void codec_small(struct codec *c, const char *name, uint16_t *value);
void codec_number(struct codec *c, const char *name, uint64_t *value);
void codec_time(struct codec *c, const char *name, hm_time *value);
/** Hexadecimal text. */
void codec_id(struct codec *c, const char *name, uint64_t *value);
void codec_text(struct codec *c, const char *name, char *out, size_t room);
/** A word out of @a names, all of which are set. */
void codec_choice(struct codec *c, const char *name, int *value,
		  const char *const *names, int count);
void codec_key(struct codec *c, const char *name, struct key_id *key);

/** The object @a name inside, created when writing. */
struct codec codec_inner(struct codec *c, const char *name);
/**
 * The array @a name inside. Its length is *count when writing and becomes
 * *count when reading, at most @a most.
 */
struct codec codec_array(struct codec *c, const char *name, uint32_t *count,
			 uint32_t most);
/** Object @a index of an array. */
struct codec codec_item(struct codec *array, uint32_t index);

#endif
