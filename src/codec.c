/** @file codec.c Writes and reads the fields of JSON objects. */
#include "codec.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define HEX_DIGITS_MAX 16

struct key_numbers {
	GHashTable *by_key; /**< struct key_id to number */
};

static guint hash_key(gconstpointer data)
{
	const struct key_id *key = data;

	return (guint)(key->hi ^ key->lo);
}

static gboolean equal_keys(gconstpointer a, gconstpointer b)
{
	return key_equal(*(const struct key_id *)a, *(const struct key_id *)b);
}

struct key_numbers *key_numbers_new(void)
{
	struct key_numbers *k = g_new0(struct key_numbers, 1);

	k->by_key = g_hash_table_new_full(hash_key, equal_keys, g_free, NULL);
	return k;
}

void key_numbers_free(struct key_numbers *k)
{
	if (!k)
		return;
	g_hash_table_unref(k->by_key);
	g_free(k);
}

/*
 * Number that replaces a key hash: 1 for the first hash seen, then counting up;
 * 0 for the empty hash. Without @a k, @a key is a number already, stored in
 * key.lo.
 */
static uint64_t key_number(struct key_numbers *k, struct key_id key)
{
	uint64_t number;

	if (!k || (!key.hi && !key.lo))
		return key.lo;
	number = (uint64_t)GPOINTER_TO_SIZE(
		g_hash_table_lookup(k->by_key, &key));
	if (number)
		return number;
	number = g_hash_table_size(k->by_key) + 1;
	g_hash_table_insert(k->by_key, g_memdup2(&key, sizeof(key)),
			    GSIZE_TO_POINTER(number));
	return number;
}

void codec_fault(const struct codec *c, const char *name, const char *fault)
{
	if (!c->state->fault[0])
		snprintf(c->state->fault, CODEC_FAULT_BYTES, "%s: %s", name,
			 fault);
}

/* Value of a field to read, NULL if absent. */
static const json_t *get(const struct codec *c, const char *name)
{
	return json_object_get(c->json, name);
}

void codec_bool(struct codec *c, const char *name, bool *value)
{
	const json_t *json = get(c, name);

	if (c->state->writing) {
		if (*value)
			json_object_set_new(c->json, name, json_true());
		return;
	}
	*value = json_is_true(json);
	if (json && !json_is_boolean(json))
		codec_fault(c, name, "not true or false");
}

/* Reads or writes an integer; reading checks its range. */
static void integer(struct codec *c, const char *name, json_int_t *value,
		    json_int_t low, json_int_t high)
{
	const json_t *json = get(c, name);

	if (c->state->writing) {
		if (*value)
			json_object_set_new(c->json, name,
					    json_integer(*value));
		return;
	}
	*value = json_integer_value(json);
	if (json && !json_is_integer(json))
		codec_fault(c, name, "not a whole number");
	else if (*value < low || *value > high)
		codec_fault(c, name, "out of range");
}

void codec_u32(struct codec *c, const char *name, uint32_t *value)
{
	json_int_t n = *value;

	integer(c, name, &n, 0, UINT32_MAX);
	*value = (uint32_t)n;
}

void codec_u16(struct codec *c, const char *name, uint16_t *value)
{
	json_int_t n = *value;

	integer(c, name, &n, 0, UINT16_MAX);
	*value = (uint16_t)n;
}

void codec_u64(struct codec *c, const char *name, uint64_t *value)
{
	json_int_t n = (json_int_t)*value;

	integer(c, name, &n, INT64_MIN, INT64_MAX);
	*value = (uint64_t)n;
}

void codec_time(struct codec *c, const char *name, hm_time *value)
{
	json_int_t n = *value;

	integer(c, name, &n, INT64_MIN, INT64_MAX);
	*value = n;
}

static bool parse_hex(const char *text, uint64_t *out)
{
	size_t digits = strlen(text);

	*out = g_ascii_strtoull(text, NULL, 16);
	return digits && digits <= HEX_DIGITS_MAX &&
	       strspn(text, "0123456789abcdef") == digits;
}

void codec_id(struct codec *c, const char *name, uint64_t *value)
{
	const json_t *json = get(c, name);
	char text[HEX_DIGITS_MAX + 1];

	if (c->state->writing) {
		snprintf(text, sizeof(text), "%" G_GINT64_MODIFIER "x", *value);
		if (*value)
			json_object_set_new(c->json, name, json_string(text));
		return;
	}
	*value = 0;
	if (json && (!json_is_string(json) ||
		     !parse_hex(json_string_value(json), value)))
		codec_fault(c, name, "not hexadecimal digits");
}

void codec_text(struct codec *c, const char *name, char *out, size_t capacity)
{
	const json_t *json = get(c, name);

	if (c->state->writing) {
		if (out[0])
			json_object_set_new(c->json, name, json_string(out));
		return;
	}
	memset(out, 0, capacity);
	if (!json)
		return;
	if (json_is_string(json) && json_string_length(json) < capacity)
		memcpy(out, json_string_value(json), json_string_length(json));
	else
		codec_fault(c, name, "not a text of the allowed length");
}

void codec_enum(struct codec *c, const char *name, int *value,
		const char *const *names, int count)
{
	const char *word;
	int i;

	if (c->state->writing) {
		if (*value > 0 && *value < count)
			json_object_set_new(c->json, name,
					    json_string(names[*value]));
		return;
	}
	*value = 0;
	if (!get(c, name))
		return;
	word = json_string_value(get(c, name));
	for (i = 0; word && i < count; i++) {
		if (!strcmp(word, names[i])) {
			*value = i;
			return;
		}
	}
	codec_fault(c, name, "not one of the known words");
}

void codec_key(struct codec *c, const char *name, struct key_id *key)
{
	uint64_t number = key->lo;

	if (c->state->writing)
		number = key_number(c->state->keys, *key);
	codec_u64(c, name, &number);
	if (!c->state->writing)
		*key = (struct key_id){ .lo = number };
}

struct codec codec_object(struct codec *c, const char *name)
{
	struct codec inner = { c->state, NULL };

	if (c->state->writing) {
		inner.json = json_object();
		json_object_set_new(c->json, name, inner.json);
		return inner;
	}
	inner.json = json_object_get(c->json, name);
	if (inner.json && !json_is_object(inner.json)) {
		codec_fault(c, name, "not an object");
		inner.json = NULL;
	}
	return inner;
}

struct codec codec_array(struct codec *c, const char *name, uint32_t *count,
			 uint32_t capacity)
{
	struct codec array = { c->state, NULL };

	if (c->state->writing) {
		array.json = json_array();
		json_object_set_new(c->json, name, array.json);
		return array;
	}
	*count = 0;
	array.json = json_object_get(c->json, name);
	if (!array.json)
		return array;
	if (json_is_array(array.json) &&
	    json_array_size(array.json) <= capacity)
		*count = (uint32_t)json_array_size(array.json);
	else
		codec_fault(c, name, "not an array of the allowed length");
	return array;
}

struct codec codec_item(struct codec *array, uint32_t index)
{
	struct codec item = { array->state, NULL };

	if (array->state->writing) {
		item.json = json_object();
		json_array_append_new(array->json, item.json);
		return item;
	}
	item.json = json_array_get(array->json, index);
	if (!json_is_object(item.json)) {
		codec_fault(array, "item", "not an object");
		item.json = NULL;
	}
	return item;
}
