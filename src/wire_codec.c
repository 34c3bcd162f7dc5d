/** @file wire_codec.c Packs and unpacks single message fields. */
#include "wire_codec.h"

#include <stdlib.h>
#include <string.h>

/* First bytes of the msgpack types that messages use. */
#define FIXINT_LAST 0x7f
#define FIXSTR_FIRST 0xa0
#define FIXSTR_LAST 0xbf
#define BIN_FIRST 0xc4
#define BIN_LAST 0xc6
#define UINT_FIRST 0xcc
#define UINT_LAST 0xcf
#define STR_FIRST 0xd9
#define STR_LAST 0xdb

static void write_number(struct wire_codec *c, uint64_t *v)
{
	msgpack_pack_uint64(&c->packer, *v);
}

static void write_text(struct wire_codec *c, char *text, size_t bytes)
{
	size_t used = strnlen(text, bytes - 1);

	msgpack_pack_str(&c->packer, used);
	msgpack_pack_str_body(&c->packer, text, used);
}

static void write_body(struct wire_codec *c, uint64_t *id, hm_time until)
{
	GBytes *bytes = *id ? bodies_get(c->source, *id) : NULL;
	size_t size = 0;
	const void *data = bytes ? g_bytes_get_data(bytes, &size) : "";

	(void)until;
	c->body_missing = *id && !bytes;
	msgpack_pack_bin(&c->packer, size);
	msgpack_pack_bin_body(&c->packer, data, size);
}

static void write_bytes(struct wire_codec *c, char **data, uint32_t *bytes)
{
	if (!*data) {
		msgpack_pack_str(&c->packer, 0);
		return;
	}
	msgpack_pack_bin(&c->packer, *bytes);
	msgpack_pack_bin_body(&c->packer, *data, *bytes);
}

const struct wire_table wire_writer = { write_number, write_text, write_body,
					write_bytes };

/*
 * Whether the next item is a number, text or binary. Messages contain no arrays
 * and maps. The msgpack library would allocate memory for any element count
 * that a malformed array states, so these are rejected before it sees them.
 */
static bool is_scalar(const struct wire_codec *c)
{
	uint8_t type;

	if (c->offset >= c->bytes)
		return false;
	type = (uint8_t)c->data[c->offset];
	return type <= FIXINT_LAST ||
	       (type >= FIXSTR_FIRST && type <= FIXSTR_LAST) ||
	       (type >= BIN_FIRST && type <= BIN_LAST) ||
	       (type >= UINT_FIRST && type <= UINT_LAST) ||
	       (type >= STR_FIRST && type <= STR_LAST);
}

/* Reads the next item; if it is not of @a type, sets failed, returns NULL. */
static const msgpack_object *read_item(struct wire_codec *c,
				       msgpack_object_type type)
{
	msgpack_unpack_return got;

	if (c->failed || !is_scalar(c)) {
		c->failed = true;
		return NULL;
	}
	got = msgpack_unpack_next(&c->item, c->data, c->bytes, &c->offset);
	if (got != MSGPACK_UNPACK_SUCCESS || c->item.data.type != type) {
		c->failed = true;
		return NULL;
	}
	return &c->item.data;
}

static void read_number(struct wire_codec *c, uint64_t *v)
{
	const msgpack_object *o;

	o = read_item(c, MSGPACK_OBJECT_POSITIVE_INTEGER);
	*v = o ? o->via.u64 : 0;
}

static void read_text(struct wire_codec *c, char *text, size_t bytes)
{
	const msgpack_object *o = read_item(c, MSGPACK_OBJECT_STR);

	memset(text, 0, bytes);
	if (!o)
		return;
	if (o->via.str.size >= bytes) {
		c->failed = true;
		return;
	}
	if (o->via.str.size)
		memcpy(text, o->via.str.ptr, o->via.str.size);
}

static void read_body(struct wire_codec *c, uint64_t *id, hm_time until)
{
	const msgpack_object *o = read_item(c, MSGPACK_OBJECT_BIN);
	GBytes *bytes;

	*id = 0;
	if (!o || !o->via.bin.size)
		return;
	bytes = g_bytes_new(o->via.bin.ptr, o->via.bin.size);
	*id = bodies_put(c->bodies, bytes, until);
	c->stored = *id;
	g_bytes_unref(bytes);
}

/* Unpacks bytes. NULL is encoded as an empty text, bytes as a binary item. */
static void read_bytes(struct wire_codec *c, char **data, uint32_t *bytes)
{
	bool is_null = c->offset < c->bytes &&
		       (uint8_t)c->data[c->offset] == FIXSTR_FIRST;
	const msgpack_object *o =
		read_item(c, is_null ? MSGPACK_OBJECT_STR : MSGPACK_OBJECT_BIN);

	*data = NULL;
	*bytes = 0;
	if (!o || is_null)
		return;
	*bytes = o->via.bin.size;
	*data = calloc(1, (size_t)*bytes + 1);
	if (!*data)
		abort();
	if (*bytes)
		memcpy(*data, o->via.bin.ptr, *bytes);
}

const struct wire_table wire_reader = { read_number, read_text, read_body,
					read_bytes };

void code_u64(struct wire_codec *c, uint64_t *v)
{
	c->table->number(c, v);
}

void code_u32(struct wire_codec *c, uint32_t *v)
{
	uint64_t n = *v;

	code_u64(c, &n);
	if (n > UINT32_MAX)
		c->failed = true;
	*v = (uint32_t)n;
}

void code_count(struct wire_codec *c, uint32_t *v, uint32_t limit)
{
	code_u32(c, v);
	if (*v <= limit)
		return;
	c->failed = true;
	*v = 0;
}

void code_u16(struct wire_codec *c, uint16_t *v)
{
	uint32_t n = *v;

	code_count(c, &n, UINT16_MAX);
	*v = (uint16_t)n;
}

void code_bool(struct wire_codec *c, bool *v)
{
	uint32_t n = *v;

	code_count(c, &n, 1);
	*v = n;
}

void code_duration(struct wire_codec *c, hm_time *v)
{
	uint64_t n = (uint64_t)*v;

	code_u64(c, &n);
	*v = (hm_time)n;
}

void code_deadline(struct wire_codec *c, hm_time *v)
{
	bool writing = c->table == &wire_writer;
	bool unchanged = !*v || *v == HM_NEVER;
	hm_time left = unchanged ? *v : *v - c->now;

	if (writing && !unchanged && left < 1)
		left = 1;
	code_duration(c, &left);
	if (writing)
		return;
	if (left < 0)
		c->failed = true;
	*v = left && left < HM_NEVER - c->now ? left + c->now : left;
}

void code_rid(struct wire_codec *c, struct rid *id)
{
	code_u64(c, &id->incarnation);
	code_u64(c, &id->seq);
}

void code_log_pos(struct wire_codec *c, struct log_pos *m)
{
	code_u64(c, &m->term);
	code_u64(c, &m->pos);
}

void code_store_version(struct wire_codec *c, struct store_version *v)
{
	code_u64(c, &v->era);
	code_u64(c, &v->revision);
}

void code_tx(struct wire_codec *c, struct tx_id *tx)
{
	code_rid(c, &tx->id);
	code_u64(c, &tx->endpoint);
}

void code_string(struct wire_codec *c, char **text)
{
	uint32_t bytes = *text ? (uint32_t)strlen(*text) : 0;

	c->table->bytes(c, text, &bytes);
	if (*text && strlen(*text) != bytes)
		c->failed = true;
}
