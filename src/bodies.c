/** @file bodies.c Store of statement and answer bodies by ID. */
#include "bodies.h"

/** A stored body. */
struct body_entry {
	GBytes *bytes;
	hm_time until;
};

struct bodies {
	GHashTable *entries; /**< ID to struct body_entry */
	uint64_t last_id;    /**< ID assigned last */
};

static void entry_free(gpointer p)
{
	struct body_entry *e = p;

	g_bytes_unref(e->bytes);
	g_free(e);
}

struct bodies *bodies_new(void)
{
	struct bodies *b = g_new0(struct bodies, 1);

	b->entries = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   entry_free);
	return b;
}

void bodies_free(struct bodies *b)
{
	if (!b)
		return;
	g_hash_table_destroy(b->entries);
	g_free(b);
}

uint64_t bodies_put(struct bodies *b, GBytes *bytes, hm_time until)
{
	struct body_entry *e = g_new(struct body_entry, 1);
	uint64_t *id = g_new(uint64_t, 1);

	e->bytes = g_bytes_ref(bytes);
	e->until = until;
	*id = ++b->last_id;
	g_hash_table_insert(b->entries, id, e);
	return *id;
}

GBytes *bodies_get(const struct bodies *b, uint64_t id)
{
	const struct body_entry *e = g_hash_table_lookup(b->entries, &id);

	return e ? e->bytes : NULL;
}

void bodies_drop(struct bodies *b, uint64_t id)
{
	g_hash_table_remove(b->entries, &id);
}

static gboolean is_expired(gpointer key, gpointer value, gpointer arg)
{
	const struct body_entry *e = value;
	const hm_time *now = arg;

	(void)key;
	return e->until <= *now;
}

void bodies_expire(struct bodies *b, hm_time now)
{
	g_hash_table_foreach_remove(b->entries, is_expired, &now);
}

uint32_t bodies_count(const struct bodies *b)
{
	return g_hash_table_size(b->entries);
}
