/** @file names.c IDs derived from names, and hashes of API keys. */
#include "names.h"

#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#define KEY_HASH_BYTES 16

/* Hash key for API keys; other uses of the hash function have other keys. */
static const unsigned char key_domain[] = "hyssopmount caller key";

struct names {
	GHashTable *by_id;
};

hm_id name_id(const char *name)
{
	hm_id id = XXH64(name, strlen(name), 0);

	return id ? id : 1;
}

static uint64_t load_big_endian(const unsigned char *p)
{
	uint64_t n = 0;
	int i;

	for (i = 0; i < 8; i++)
		n = n << 8 | p[i];
	return n;
}

struct key_id key_hash(const char *key, size_t bytes)
{
	unsigned char hash[KEY_HASH_BYTES];
	struct key_id id;

	crypto_generichash(hash, sizeof(hash), (const unsigned char *)key,
			   bytes, key_domain, sizeof(key_domain) - 1);
	id.hi = load_big_endian(hash);
	id.lo = load_big_endian(hash + 8);
	return id;
}

void key_text(struct key_id key, char out[33])
{
	snprintf(out, 33,
		 "%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x", key.hi,
		 key.lo);
}

static bool parse_digits(const char *text, uint64_t *out)
{
	uint64_t n = 0;
	int i, digit;

	for (i = 0; i < 16; i++) {
		digit = g_ascii_xdigit_value(text[i]);
		if (digit < 0)
			return false;
		n = n << 4 | (unsigned int)digit;
	}
	*out = n;
	return true;
}

bool key_parse(const char *text, struct key_id *out)
{
	return strlen(text) == 32 && parse_digits(text, &out->hi) &&
	       parse_digits(text + 16, &out->lo);
}

uint64_t random_id(void)
{
	uint64_t n = 0;

	while (!n)
		randombytes_buf(&n, sizeof(n));
	return n;
}

struct names *names_new(void)
{
	struct names *n = g_new0(struct names, 1);

	n->by_id = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					 g_free);
	return n;
}

void names_free(struct names *n)
{
	if (!n)
		return;
	g_hash_table_destroy(n->by_id);
	g_free(n);
}

void names_add(struct names *n, const char *name)
{
	hm_id id = name_id(name);

	if (!g_hash_table_contains(n->by_id, &id))
		g_hash_table_insert(n->by_id, g_memdup2(&id, sizeof(id)),
				    g_strdup(name));
}

const char *names_conflict(const struct names *n, const char *name)
{
	hm_id id = name_id(name);
	const char *other = g_hash_table_lookup(n->by_id, &id);

	return other && strcmp(other, name) != 0 ? other : NULL;
}

const char *names_find(const struct names *n, hm_id id)
{
	const char *name = id ? g_hash_table_lookup(n->by_id, &id) : "-";

	return name ? name : "?";
}
