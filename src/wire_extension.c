/** @file wire_extension.c Fields added after version 8, by a table. */
#include "wire_extension.h"

#include <msgpack.h>

/* Keys on the wire; a key is never used again for another field. */
enum extension_key {
	EXTENSION_FEATURES = 1,
	EXTENSION_RUN_LEVEL = 2,
	EXTENSION_TOKENS_WANTED = 3,
	EXTENSION_RUN_LOAD = 4
};

/** One field: in which message it is, and how it is packed. */
struct extension_field {
	enum extension_key key;
	enum message_kind kind;
	bool (*is_set)(const struct message *m);
	void (*pack)(msgpack_packer *k, const struct message *m);
	/** Returns false, and leaves the message as it is, on a bad value. */
	bool (*unpack)(const msgpack_object *o, struct message *m);
};

static bool read_number(const msgpack_object *o, uint64_t *out)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	*out = o->via.u64;
	return true;
}

/*
 * Reads a list of numbers. A newer build may send more of them than this one
 * knows; those are skipped.
 */
static bool read_list(const msgpack_object *o, uint64_t *out, uint32_t count)
{
	uint32_t i;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size < count)
		return false;
	for (i = 0; i < count; i++)
		if (!read_number(&o->via.array.ptr[i], &out[i]))
			return false;
	return true;
}

static bool features_set(const struct message *m)
{
	return m->heartbeat.features != 0;
}

static void pack_features(msgpack_packer *k, const struct message *m)
{
	msgpack_pack_uint64(k, m->heartbeat.features);
}

static bool unpack_features(const msgpack_object *o, struct message *m)
{
	return read_number(o, &m->heartbeat.features);
}

static bool run_level_set(const struct message *m)
{
	return m->run->level != 0;
}

static void pack_run_level(msgpack_packer *k, const struct message *m)
{
	msgpack_pack_uint32(k, m->run->level);
}

static bool unpack_run_level(const msgpack_object *o, struct message *m)
{
	uint64_t level;

	if (!read_number(o, &level))
		return false;
	m->run->level = priority_level(level);
	return true;
}

static bool tokens_wanted_set(const struct message *m)
{
	uint32_t i;

	for (i = 0; i < PRIORITY_LEVELS; i++)
		if (m->rate.wanted[i])
			return true;
	return false;
}

static void pack_tokens_wanted(msgpack_packer *k, const struct message *m)
{
	uint32_t i;

	msgpack_pack_array(k, PRIORITY_LEVELS);
	for (i = 0; i < PRIORITY_LEVELS; i++)
		msgpack_pack_uint32(k, m->rate.wanted[i]);
}

static bool unpack_tokens_wanted(const msgpack_object *o, struct message *m)
{
	uint64_t list[PRIORITY_LEVELS];
	uint32_t i;

	if (!read_list(o, list, PRIORITY_LEVELS))
		return false;
	for (i = 0; i < PRIORITY_LEVELS; i++)
		m->rate.wanted[i] = (uint32_t)MIN(list[i], UINT32_MAX);
	return true;
}

static bool run_load_set(const struct message *m)
{
	return m->ran->load.known;
}

static void pack_run_load(msgpack_packer *k, const struct message *m)
{
	const struct run_load *l = &m->ran->load;
	uint32_t i;

	msgpack_pack_array(k, PRIORITY_LEVELS + 1);
	msgpack_pack_uint64(k, (uint64_t)MAX(l->connection_wait, 0));
	for (i = 0; i < PRIORITY_LEVELS; i++)
		msgpack_pack_uint64(k, (uint64_t)MAX(l->wait[i], 0));
}

static bool unpack_run_load(const msgpack_object *o, struct message *m)
{
	uint64_t list[PRIORITY_LEVELS + 1];
	uint32_t i;

	if (!read_list(o, list, PRIORITY_LEVELS + 1))
		return false;
	m->ran->load.known = true;
	m->ran->load.connection_wait = (hm_time)MIN(list[0], INT64_MAX);
	for (i = 0; i < PRIORITY_LEVELS; i++)
		m->ran->load.wait[i] = (hm_time)MIN(list[i + 1], INT64_MAX);
	return true;
}

static const struct extension_field fields[] = {
	{ EXTENSION_FEATURES, MSG_HEARTBEAT, features_set, pack_features,
	  unpack_features },
	{ EXTENSION_RUN_LEVEL, MSG_RUN, run_level_set, pack_run_level,
	  unpack_run_level },
	{ EXTENSION_TOKENS_WANTED, MSG_RATE_REQUEST, tokens_wanted_set,
	  pack_tokens_wanted, unpack_tokens_wanted },
	{ EXTENSION_RUN_LOAD, MSG_RUN_RESULT, run_load_set, pack_run_load,
	  unpack_run_load },
};

#define FIELDS (sizeof(fields) / sizeof(fields[0]))

GBytes *wire_extension_write(const struct message *m)
{
	msgpack_sbuffer buffer;
	msgpack_packer k;
	uint32_t set = 0;
	GBytes *bytes;
	size_t i;

	for (i = 0; i < FIELDS; i++)
		set += fields[i].kind == m->kind && fields[i].is_set(m);
	if (!set)
		return NULL;
	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&k, &buffer, msgpack_sbuffer_write);
	msgpack_pack_map(&k, set);
	for (i = 0; i < FIELDS; i++) {
		if (fields[i].kind != m->kind || !fields[i].is_set(m))
			continue;
		msgpack_pack_uint32(&k, fields[i].key);
		fields[i].pack(&k, m);
	}
	bytes = g_bytes_new(buffer.data, buffer.size);
	msgpack_sbuffer_destroy(&buffer);
	return bytes;
}

/* Sets the field that an entry names; unknown ones are skipped. */
static bool read_entry(const msgpack_object_kv *entry, struct message *m)
{
	uint64_t key;
	size_t i;

	if (!read_number(&entry->key, &key))
		return false;
	for (i = 0; i < FIELDS; i++)
		if (fields[i].key == key && fields[i].kind == m->kind)
			return fields[i].unpack(&entry->val, m);
	return true;
}

bool wire_extension_read(const void *data, size_t bytes, struct message *m)
{
	msgpack_unpacked item;
	size_t offset = 0;
	bool ok;
	uint32_t i;

	msgpack_unpacked_init(&item);
	ok = msgpack_unpack_next(&item, data, bytes, &offset) ==
		     MSGPACK_UNPACK_SUCCESS &&
	     offset == bytes && item.data.type == MSGPACK_OBJECT_MAP;
	for (i = 0; ok && i < item.data.via.map.size; i++)
		ok = read_entry(&item.data.via.map.ptr[i], m);
	msgpack_unpacked_destroy(&item);
	return ok;
}
