/** @file pgproto.c Server side of the PostgreSQL protocol. */
#include "pgproto.h"

#include <arpa/inet.h>
#include <string.h>

#define MESSAGE_LIMIT (64 * 1024 * 1024)
#define LENGTH_BYTES 4

static uint32_t load_u32(const uint8_t *at)
{
	uint32_t v;

	memcpy(&v, at, sizeof(v));
	return ntohl(v);
}

enum pg_next pg_next(const GByteArray *in, bool first, struct pg_message *out)
{
	uint32_t head = first ? 0 : 1;
	uint32_t length;

	if (in->len < head + LENGTH_BYTES)
		return PG_INCOMPLETE;
	length = load_u32(in->data + head);
	if (length < LENGTH_BYTES || length > MESSAGE_LIMIT)
		return PG_MALFORMED;
	if (in->len < head + length)
		return PG_INCOMPLETE;
	out->type = first ? 0 : in->data[0];
	out->body = in->data + head + LENGTH_BYTES;
	out->bytes = length - LENGTH_BYTES;
	out->total_bytes = head + length;
	return PG_MESSAGE;
}

struct pg_reader pg_reader(const struct pg_message *m)
{
	struct pg_reader r = { m->body, m->body + m->bytes, false };

	return r;
}

static bool has_bytes(struct pg_reader *r, size_t bytes)
{
	if ((size_t)(r->end - r->at) < bytes)
		r->truncated = true;
	return !r->truncated;
}

uint32_t pg_read_u32(struct pg_reader *r)
{
	uint32_t v;

	if (!has_bytes(r, sizeof(v)))
		return 0;
	v = load_u32(r->at);
	r->at += sizeof(v);
	return v;
}

uint16_t pg_read_u16(struct pg_reader *r)
{
	uint16_t v;

	if (!has_bytes(r, sizeof(v)))
		return 0;
	memcpy(&v, r->at, sizeof(v));
	r->at += sizeof(v);
	return ntohs(v);
}

const char *pg_read_text(struct pg_reader *r)
{
	const char *text = (const char *)r->at;
	const uint8_t *nul;

	if (r->truncated)
		return "";
	nul = memchr(r->at, 0, (size_t)(r->end - r->at));
	if (!nul) {
		r->truncated = true;
		return "";
	}
	r->at = nul + 1;
	return text;
}

char *pg_read_bytes(struct pg_reader *r, uint32_t bytes)
{
	char *text;

	if (!has_bytes(r, bytes))
		return NULL;
	text = g_strndup((const char *)r->at, bytes);
	r->at += bytes;
	return text;
}

static void put_u32(GByteArray *out, uint32_t v)
{
	v = htonl(v);
	g_byte_array_append(out, (const guint8 *)&v, sizeof(v));
}

static void put_u16(GByteArray *out, uint16_t v)
{
	v = htons(v);
	g_byte_array_append(out, (const guint8 *)&v, sizeof(v));
}

static void put_text(GByteArray *out, const char *text)
{
	g_byte_array_append(out, (const guint8 *)text, strlen(text) + 1);
}

/* Writes the type and an empty length; returns the offset of the length. */
static guint put_head(GByteArray *out, char type)
{
	g_byte_array_append(out, (const guint8 *)&type, 1);
	put_u32(out, 0);
	return out->len - LENGTH_BYTES;
}

static void put_length(GByteArray *out, guint head)
{
	uint32_t length = htonl(out->len - head);

	memcpy(out->data + head, &length, sizeof(length));
}

void pg_write_auth_ok(GByteArray *out)
{
	guint head = put_head(out, 'R');

	put_u32(out, 0);
	put_length(out, head);
}

void pg_write_parameter(GByteArray *out, const char *name, const char *value)
{
	guint head = put_head(out, 'S');

	put_text(out, name);
	put_text(out, value);
	put_length(out, head);
}

void pg_write_key(GByteArray *out, uint32_t pid, uint32_t secret)
{
	guint head = put_head(out, 'K');

	put_u32(out, pid);
	put_u32(out, secret);
	put_length(out, head);
}

void pg_write_ready(GByteArray *out, char status)
{
	guint head = put_head(out, 'Z');

	g_byte_array_append(out, (const guint8 *)&status, 1);
	put_length(out, head);
}

void pg_write_empty(GByteArray *out, char type)
{
	put_length(out, put_head(out, type));
}

void pg_write_columns(GByteArray *out, char *const *names,
		      const uint32_t *types, uint32_t count)
{
	guint head = put_head(out, 'T');
	uint32_t i;

	put_u16(out, (uint16_t)count);
	for (i = 0; i < count; i++) {
		put_text(out, names[i]);
		put_u32(out, 0);
		put_u16(out, 0);
		put_u32(out, types[i]);
		put_u16(out, UINT16_MAX);
		put_u32(out, UINT32_MAX);
		put_u16(out, 0);
	}
	put_length(out, head);
}

void pg_write_row(GByteArray *out, char *const *values, uint32_t count)
{
	guint head = put_head(out, 'D');
	uint32_t i;
	size_t bytes;

	put_u16(out, (uint16_t)count);
	for (i = 0; i < count; i++) {
		if (!values[i]) {
			put_u32(out, UINT32_MAX);
			continue;
		}
		bytes = strlen(values[i]);
		put_u32(out, (uint32_t)bytes);
		g_byte_array_append(out, (const guint8 *)values[i],
				    (guint)bytes);
	}
	put_length(out, head);
}

void pg_write_complete(GByteArray *out, const char *tag)
{
	guint head = put_head(out, 'C');

	put_text(out, tag);
	put_length(out, head);
}

static void put_field(GByteArray *out, char code, const char *text)
{
	g_byte_array_append(out, (const guint8 *)&code, 1);
	put_text(out, text);
}

void pg_write_error(GByteArray *out, const char *severity, const char *sqlstate,
		    const char *message)
{
	guint head = put_head(out, 'E');

	put_field(out, 'S', severity);
	put_field(out, 'V', severity);
	put_field(out, 'C', sqlstate);
	put_field(out, 'M', message);
	g_byte_array_append(out, (const guint8 *)"", 1);
	put_length(out, head);
}
