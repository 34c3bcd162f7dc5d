/** @file objects.c Versioned objects of the stand-in platform. */
#include "objects.h"

#include <glib.h>
#include <string.h>

/** Present state of an object and its state before the last change. */
struct object_entry {
	struct object now;
	struct object previous; /**< version 0: did not exist */
};

struct objects {
	GPtrArray *all; /**< of struct object_entry, in order of creation */
	uint64_t version;
};

static void free_entry(gpointer data)
{
	struct object_entry *e = data;

	object_clear(&e->now);
	object_clear(&e->previous);
	g_free(e);
}

struct objects *objects_new(void)
{
	struct objects *o = g_new0(struct objects, 1);

	o->all = g_ptr_array_new_with_free_func(free_entry);
	return o;
}

void objects_free(struct objects *o)
{
	if (!o)
		return;
	g_ptr_array_unref(o->all);
	g_free(o);
}

uint64_t objects_version(const struct objects *o)
{
	return o->version;
}

static struct object_entry *find(const struct objects *o, const char *kind,
				 const char *name)
{
	guint i;

	for (i = 0; i < o->all->len; i++) {
		struct object_entry *e = g_ptr_array_index(o->all, i);

		if (!strcmp(e->now.kind, kind) && !strcmp(e->now.name, name))
			return e;
	}
	return NULL;
}

static bool is_live(const struct object *object)
{
	return object->version && !object->deleted;
}

static struct object_entry *add(struct objects *o, const char *kind,
				const char *name)
{
	struct object_entry *e = g_new0(struct object_entry, 1);

	g_strlcpy(e->now.kind, kind, sizeof(e->now.kind));
	g_strlcpy(e->now.name, name, sizeof(e->now.name));
	g_ptr_array_add(o->all, e);
	return e;
}

bool objects_change(struct objects *o, const char *kind, const char *name,
		    uint64_t if_version, json_t *value)
{
	struct object_entry *e = find(o, kind, name);
	uint64_t version = e && is_live(&e->now) ? e->now.version : 0;

	if (if_version != OBJECTS_ANY && if_version != version)
		return false;
	if (!value && !version)
		return if_version == OBJECTS_ANY;
	if (!e)
		e = add(o, kind, name);
	object_clear(&e->previous);
	e->previous = e->now;
	e->now.version = ++o->version;
	e->now.deleted = !value;
	e->now.value = json_incref(value);
	return true;
}

/* State of an object now or, if @a stale, before the store's last change. */
static const struct object *
entry_state(const struct objects *o, const struct object_entry *e, bool stale)
{
	if (stale && e->now.version == o->version)
		return &e->previous;
	return &e->now;
}

json_t *objects_get(const struct objects *o, const char *kind, const char *name,
		    bool stale)
{
	const struct object_entry *e = find(o, kind, name);
	const struct object *object = e ? entry_state(o, e, stale) : NULL;

	return object && is_live(object) ? object_json(object) : NULL;
}

json_t *objects_get_with_deleted(const struct objects *o, const char *kind,
				 const char *name)
{
	const struct object_entry *e = find(o, kind, name);

	return e ? object_json(&e->now) : NULL;
}

static json_t *list_of(uint64_t version, json_t *items)
{
	return json_pack("{s:I, s:o}", "version", (json_int_t)version, "items",
			 items);
}

json_t *objects_list(const struct objects *o, const char *kind, bool stale)
{
	json_t *items = json_array();
	guint i;

	for (i = 0; i < o->all->len; i++) {
		const struct object_entry *e = g_ptr_array_index(o->all, i);
		const struct object *object = entry_state(o, e, stale);

		if (!strcmp(e->now.kind, kind) && is_live(object))
			json_array_append_new(items, object_json(object));
	}
	return list_of(o->version - (stale && o->version), items);
}

static gint compare_versions(gconstpointer a, gconstpointer b)
{
	const struct object_entry *x = *(struct object_entry *const *)a;
	const struct object_entry *y = *(struct object_entry *const *)b;

	return x->now.version < y->now.version ? -1 : 1;
}

json_t *objects_changed_since(const struct objects *o, const char *kind,
			      uint64_t from)
{
	GPtrArray *changed = g_ptr_array_new();
	json_t *items = json_array();
	guint i;

	for (i = 0; i < o->all->len; i++) {
		struct object_entry *e = g_ptr_array_index(o->all, i);

		if (!strcmp(e->now.kind, kind) && e->now.version > from)
			g_ptr_array_add(changed, e);
	}
	g_ptr_array_sort(changed, compare_versions);
	for (i = 0; i < changed->len; i++) {
		const struct object_entry *e = g_ptr_array_index(changed, i);

		json_array_append_new(items, object_json(&e->now));
	}
	g_ptr_array_unref(changed);
	if (json_array_size(items))
		return list_of(o->version, items);
	json_decref(items);
	return NULL;
}
