/**
 * @file token.c
 * Codec of session tokens. A token consists of version, binding, number of
 * entries, entries and a keyed hash over all of these, as URL-safe base64
 * without padding. Integers are big-endian.
 */
#include "token.h"

#include <sodium.h>
#include <string.h>

#define TOKEN_VERSION 1
#define HEAD_BYTES 10
#define ENTRY_BYTES 25
#define MAC_BYTES 16
#define RAW_BYTES_MAX (HEAD_BYTES + TOKEN_ENTRIES_MAX * ENTRY_BYTES + MAC_BYTES)
#define FLAG_UNSURE 1

static const unsigned char token_domain[] = "hyssopmount session token";

static uint8_t *put_u64(uint8_t *p, uint64_t n)
{
	int i;

	for (i = 7; i >= 0; i--)
		*p++ = (uint8_t)(n >> (8 * i));
	return p;
}

static const uint8_t *get_u64(const uint8_t *p, uint64_t *n)
{
	int i;

	*n = 0;
	for (i = 0; i < 8; i++)
		*n = *n << 8 | *p++;
	return p;
}

static void token_mac(const uint8_t *raw, size_t bytes,
		      const uint8_t secret[SECRET_BYTES],
		      uint8_t mac[MAC_BYTES])
{
	crypto_generichash_state state;

	crypto_generichash_init(&state, secret, SECRET_BYTES, MAC_BYTES);
	crypto_generichash_update(&state, token_domain,
				  sizeof(token_domain) - 1);
	crypto_generichash_update(&state, raw, bytes);
	crypto_generichash_final(&state, mac, MAC_BYTES);
}

static uint8_t *put_entry(uint8_t *p, const struct token_entry *e)
{
	p = put_u64(p, e->database);
	p = put_u64(p, e->floor.term);
	p = put_u64(p, e->floor.pos);
	*p++ = e->unsure ? FLAG_UNSURE : 0;
	return p;
}

static const uint8_t *get_entry(const uint8_t *p, struct token_entry *e)
{
	p = get_u64(p, &e->database);
	p = get_u64(p, &e->floor.term);
	p = get_u64(p, &e->floor.pos);
	e->unsure = *p++ & FLAG_UNSURE;
	return p;
}

void token_write(const struct token *t, const uint8_t secret[SECRET_BYTES],
		 char out[TOKEN_TEXT_BYTES])
{
	uint8_t raw[RAW_BYTES_MAX];
	uint8_t *p = raw;
	uint32_t i;

	*p++ = TOKEN_VERSION;
	p = put_u64(p, t->binding);
	*p++ = (uint8_t)t->count;
	for (i = 0; i < t->count; i++)
		p = put_entry(p, &t->entries[i]);
	token_mac(raw, (size_t)(p - raw), secret, p);
	p += MAC_BYTES;
	sodium_bin2base64(out, TOKEN_TEXT_BYTES, raw, (size_t)(p - raw),
			  sodium_base64_VARIANT_URLSAFE_NO_PADDING);
}

static bool is_authentic(const uint8_t *raw, size_t bytes,
			 const uint8_t secret[SECRET_BYTES])
{
	uint8_t mac[MAC_BYTES];

	token_mac(raw, bytes - MAC_BYTES, secret, mac);
	return !sodium_memcmp(mac, raw + bytes - MAC_BYTES, MAC_BYTES);
}

bool token_read(struct token *t, const uint8_t secret[SECRET_BYTES],
		const char *text, size_t bytes)
{
	uint8_t raw[RAW_BYTES_MAX];
	const uint8_t *p;
	size_t raw_bytes;
	uint32_t i;

	memset(t, 0, sizeof(*t));
	if (sodium_base642bin(raw, sizeof(raw), text, bytes, NULL, &raw_bytes,
			      NULL, sodium_base64_VARIANT_URLSAFE_NO_PADDING))
		return false;
	if (raw_bytes < HEAD_BYTES + MAC_BYTES || raw[0] != TOKEN_VERSION)
		return false;
	if (raw[9] > TOKEN_ENTRIES_MAX ||
	    raw_bytes != HEAD_BYTES + (size_t)raw[9] * ENTRY_BYTES + MAC_BYTES)
		return false;
	if (!is_authentic(raw, raw_bytes, secret))
		return false;
	p = get_u64(raw + 1, &t->binding);
	t->count = *p++;
	for (i = 0; i < t->count; i++)
		p = get_entry(p, &t->entries[i]);
	return true;
}

const struct token_entry *token_find(const struct token *t, hm_id database)
{
	uint32_t i;

	for (i = 0; i < t->count; i++)
		if (t->entries[i].database == database)
			return &t->entries[i];
	return NULL;
}

bool token_has_capacity(const struct token *t, hm_id database)
{
	return t->count < TOKEN_ENTRIES_MAX || token_find(t, database);
}

static struct token_entry *find_or_add_entry(struct token *t, hm_id database)
{
	struct token_entry *e = (struct token_entry *)token_find(t, database);

	if (e || t->count == TOKEN_ENTRIES_MAX)
		return e;
	e = &t->entries[t->count++];
	memset(e, 0, sizeof(*e));
	e->database = database;
	return e;
}

bool token_join(struct token *t, const struct token *other)
{
	const struct token_entry *from;
	struct token_entry *e;
	uint32_t i;

	for (i = 0; i < other->count; i++) {
		from = &other->entries[i];
		e = find_or_add_entry(t, from->database);
		if (!e)
			return false;
		if (log_pos_compare(from->floor, e->floor) > 0)
			e->floor = from->floor;
		e->unsure |= from->unsure;
	}
	return true;
}

static void merge_floor(struct token_entry *e, const struct result *result)
{
	if (result->reset_floor || log_pos_compare(result->at, e->floor) > 0)
		e->floor = result->at;
}

bool token_add_result(struct token *t, const struct result *result)
{
	struct token_entry *e;

	if (!result->database)
		return true;
	if (!result->at.term && !result->unsure && !result->reset_floor)
		return true;
	e = find_or_add_entry(t, result->database);
	if (!e)
		return false;
	merge_floor(e, result);
	if (result->unsure)
		e->unsure = true;
	else if (result->error == ERR_NONE || result->reset_floor)
		e->unsure = false;
	return true;
}
