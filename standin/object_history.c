/** @file object_history.c Objects with a history of changes and a restore. */
#include "object_history.h"

#include <glib.h>
#include <string.h>

/* One change; the newest change of an object is its present state. */
struct change {
	struct stored_object object;
	bool external;
};

struct object_history {
	GPtrArray *changes; /* in the order of their revisions */
	GPtrArray *lost;    /* external changes lost by a restore, in order */
	GPtrArray *current; /* borrowed: newest change of each object */
	uint64_t revision;
	uint64_t era;
};

static void free_change(gpointer data)
{
	struct change *c = data;

	g_free(c->object.kind);
	g_free(c->object.name);
	json_decref(c->object.spec);
	g_free(c);
}

struct object_history *history_new(void)
{
	struct object_history *h = g_new0(struct object_history, 1);

	h->changes = g_ptr_array_new_with_free_func(free_change);
	h->lost = g_ptr_array_new_with_free_func(free_change);
	h->current = g_ptr_array_new();
	h->era = 1;
	return h;
}

void history_free(struct object_history *h)
{
	g_ptr_array_unref(h->current);
	g_ptr_array_unref(h->lost);
	g_ptr_array_unref(h->changes);
	g_free(h);
}

uint64_t history_revision(const struct object_history *h)
{
	return h->revision;
}

uint64_t history_era(const struct object_history *h)
{
	return h->era;
}

static bool is_named(const struct stored_object *o, const char *kind,
		     const char *name)
{
	return !strcmp(o->kind, kind) && !strcmp(o->name, name);
}

/* Makes a change the present state of its object. */
static void make_current(struct object_history *h, struct change *c)
{
	guint i;

	for (i = 0; i < h->current->len; i++) {
		struct change *old = g_ptr_array_index(h->current, i);

		if (is_named(&old->object, c->object.kind, c->object.name)) {
			h->current->pdata[i] = c;
			return;
		}
	}
	g_ptr_array_add(h->current, c);
}

const struct stored_object *history_find(const struct object_history *h,
					 const char *kind, const char *name)
{
	guint i;

	for (i = 0; i < h->current->len; i++) {
		const struct change *c = g_ptr_array_index(h->current, i);

		if (is_named(&c->object, kind, name))
			return c->object.spec ? &c->object : NULL;
	}
	return NULL;
}

const struct stored_object *history_put(struct object_history *h,
					const char *kind, const char *name,
					json_t *spec, bool external)
{
	struct change *c = g_new0(struct change, 1);

	c->object.kind = g_strdup(kind);
	c->object.name = g_strdup(name);
	c->object.spec = json_incref(spec);
	c->object.revision = ++h->revision;
	c->external = external;
	g_ptr_array_add(h->changes, c);
	make_current(h, c);
	return &c->object;
}

json_t *history_object(const struct stored_object *o)
{
	return json_pack("{s:{s:s, s:I}, s:O?}", "meta", "Name", o->name,
			 "Revision", (json_int_t)o->revision, "spec", o->spec);
}

json_t *history_list(const struct object_history *h, const char *kind)
{
	json_t *items = json_array();
	guint i;

	for (i = 0; i < h->current->len; i++) {
		const struct change *c = g_ptr_array_index(h->current, i);

		if (!strcmp(c->object.kind, kind) && c->object.spec)
			json_array_append_new(items,
					      history_object(&c->object));
	}
	return json_pack("{s:o, s:b, s:I}", "items", items, "HasMore", 0,
			 "AtRev", (json_int_t)h->revision);
}

json_t *history_events(const struct object_history *h, const char *kind,
		       uint64_t from)
{
	json_t *array = json_array();
	guint i;

	for (i = 0; i < h->current->len; i++) {
		const struct change *c = g_ptr_array_index(h->current, i);
		const struct stored_object *o = &c->object;

		if (!strcmp(o->kind, kind) && o->revision > from)
			json_array_append_new(
				array,
				json_pack("{s:b, s:o}", "Tombstone", !o->spec,
					  "Object", history_object(o)));
	}
	return array;
}

void history_restore(struct object_history *h, uint64_t revision)
{
	guint i;

	g_ptr_array_set_size(h->current, 0);
	for (i = 0; i < h->changes->len; i++) {
		struct change *c = g_ptr_array_index(h->changes, i);

		if (c->object.revision <= revision)
			make_current(h, c);
	}
	while (h->changes->len &&
	       ((struct change *)h->changes->pdata[h->changes->len - 1])
			       ->object.revision > revision) {
		struct change *c = g_ptr_array_steal_index(h->changes,
							   h->changes->len - 1);

		if (c->external)
			g_ptr_array_insert(h->lost, 0, c);
		else
			free_change(c);
	}
	h->revision = MIN(h->revision, revision);
	h->era++;
}

void history_rewrite_external(struct object_history *h,
			      enum external_order order)
{
	while (h->lost->len) {
		guint i = order == EXTERNAL_REVERSED ? h->lost->len - 1 : 0;
		struct change *c = g_ptr_array_steal_index(h->lost, i);

		history_put(h, c->object.kind, c->object.name, c->object.spec,
			    true);
		free_change(c);
	}
}
