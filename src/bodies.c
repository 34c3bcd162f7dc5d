/** @file bodies.c Store of statement and answer bodies by number. */
#include "bodies.h"

struct held {
	GBytes *bytes;
	hm_time until;
};

struct bodies {
	GHashTable *held; /* uint64_t id to struct held */
	uint64_t next;
};

static void held_free(gpointer p)
{
	struct held *h = p;

	g_bytes_unref(h->bytes);
	g_free(h);
}

struct bodies *bodies_new(void)
{
	struct bodies *b = g_new0(struct bodies, 1);

	b->held = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					held_free);
	return b;
}

void bodies_free(struct bodies *b)
{
	if (!b)
		return;
	g_hash_table_destroy(b->held);
	g_free(b);
}

uint64_t bodies_put(struct bodies *b, GBytes *bytes, hm_time until)
{
	struct held *h = g_new(struct held, 1);
	uint64_t *id = g_new(uint64_t, 1);

	h->bytes = g_bytes_ref(bytes);
	h->until = until;
	*id = ++b->next;
	g_hash_table_insert(b->held, id, h);
	return *id;
}

GBytes *bodies_get(const struct bodies *b, uint64_t id)
{
	const struct held *h = g_hash_table_lookup(b->held, &id);

	return h ? h->bytes : NULL;
}

void bodies_drop(struct bodies *b, uint64_t id)
{
	g_hash_table_remove(b->held, &id);
}

static gboolean is_over(gpointer key, gpointer value, gpointer arg)
{
	const struct held *h = value;
	const hm_time *now = arg;

	(void)key;
	return h->until <= *now;
}

void bodies_expire(struct bodies *b, hm_time now)
{
	g_hash_table_foreach_remove(b->held, is_over, &now);
}

uint32_t bodies_count(const struct bodies *b)
{
	return g_hash_table_size(b->held);
}
