/** @file publish.c Writes status objects; the highest rank wins. */
#include "publish.h"

#include <glib.h>

#include "loop.h"
#include "platform.h"

#define WRITE_ATTEMPTS 3

/** A status object that waits to be written. */
struct pending {
	char *name;
	char *rank_field;
	uint64_t rank;
	json_t *value;
};

struct publish {
	GMutex lock;
	GHashTable *pending; /**< by name */
};

static void free_pending(gpointer data)
{
	struct pending *w = data;

	json_decref(w->value);
	g_free(w->rank_field);
	g_free(w->name);
	g_free(w);
}

struct publish *publish_new(void)
{
	struct publish *p = g_new0(struct publish, 1);

	g_mutex_init(&p->lock);
	p->pending = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   free_pending);
	return p;
}

void publish_free(struct publish *p)
{
	if (!p)
		return;
	g_hash_table_unref(p->pending);
	g_mutex_clear(&p->lock);
	g_free(p);
}

/*
 * Queues @a w and takes ownership of it. Frees it instead when an object of the
 * same name with the same or a higher rank waits.
 */
static void put(struct publish *p, struct pending *w)
{
	struct pending *other;

	g_mutex_lock(&p->lock);
	other = g_hash_table_lookup(p->pending, w->name);
	if (other && other->rank >= w->rank)
		free_pending(w);
	else
		g_hash_table_replace(p->pending, w->name, w);
	g_mutex_unlock(&p->lock);
}

void publish_put(struct publish *p, const char *name, const char *rank_field,
		 uint64_t rank, json_t *value)
{
	struct pending *w = g_new0(struct pending, 1);

	w->name = g_strdup(name);
	w->rank_field = g_strdup(rank_field);
	w->rank = rank;
	w->value = value;
	put(p, w);
}

static uint64_t stored_rank(const struct pending *w,
			    const struct object *stored)
{
	const json_t *rank = json_object_get(stored->value, w->rank_field);
	json_int_t n = json_integer_value(rank);

	return n > 0 ? (uint64_t)n : 0;
}

/* Reads and writes once; API_OK also when the stored rank isn't lower. */
static enum api_outcome write_once(const struct pending *w,
				   struct object_api *api, hm_time call_limit)
{
	hm_time until = loop_now() + call_limit;
	enum api_outcome outcome;
	struct object stored = { 0 };
	uint64_t version;

	outcome = object_api_get(api, KIND_STATUS, w->name, until, &stored);
	if (outcome != API_OK && outcome != API_NOT_FOUND)
		return outcome;
	if (outcome == API_OK && stored_rank(w, &stored) >= w->rank)
		goto done;
	outcome = object_api_change_retry(
		api, KIND_STATUS, w->name, stored.version, w->value, call_limit,
		loop_now() + 2 * call_limit, &version);
done:
	object_clear(&stored);
	return outcome;
}

static bool write_pending(const struct pending *w, struct object_api *api,
			  hm_time call_limit)
{
	enum api_outcome outcome;
	int attempts = 0;

	do {
		outcome = write_once(w, api, call_limit);
	} while (outcome == API_CONFLICT && ++attempts < WRITE_ATTEMPTS);
	return outcome == API_OK;
}

/* Removes all waiting objects; the caller owns them. */
static GList *take_all(struct publish *p)
{
	GList *all;

	g_mutex_lock(&p->lock);
	all = g_hash_table_get_values(p->pending);
	g_hash_table_steal_all(p->pending);
	g_mutex_unlock(&p->lock);
	return all;
}

bool publish_flush(struct publish *p, struct object_api *api,
		   hm_time call_limit)
{
	GList *all = take_all(p), *at;
	bool ok = true;

	for (at = all; at; at = at->next) {
		struct pending *w = at->data;

		/* After a failure, the rest is put back for the next flush. */
		ok = ok && write_pending(w, api, call_limit);
		if (ok)
			free_pending(w);
		else
			put(p, w);
	}
	g_list_free(all);
	return ok;
}
