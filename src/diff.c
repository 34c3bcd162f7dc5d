/** @file diff.c Compares two JSON values path by path. */
#include "diff.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

/** Old and new text of the value at one path, NULL where it is missing. */
struct leaf {
	char *from;
	char *to;
};

static void free_leaf(gpointer data)
{
	struct leaf *p = data;

	g_free(p->from);
	g_free(p->to);
	g_free(p);
}

static gint compare_paths(gconstpointer a, gconstpointer b, gpointer unused)
{
	(void)unused;
	return strcmp(a, b);
}

static void add_leaf(GTree *leaves, const char *path, const json_t *value,
		     bool is_new)
{
	struct leaf *leaf = g_tree_lookup(leaves, path);
	char *dump = json_dumps(value, JSON_ENCODE_ANY | JSON_SORT_KEYS);
	char *text = g_strdup(dump);

	free(dump);
	if (!leaf) {
		leaf = g_new0(struct leaf, 1);
		g_tree_insert(leaves, g_strdup(path), leaf);
	}
	if (is_new)
		leaf->to = text;
	else
		leaf->from = text;
}

static void add_value(GTree *leaves, const char *path, const json_t *value,
		      bool is_new);

static void add_part(GTree *leaves, const char *path, const char *part,
		     const json_t *value, bool is_new)
{
	char *inner = g_strconcat(path, path[0] ? "." : "", part, NULL);

	add_value(leaves, inner, value, is_new);
	g_free(inner);
}

static void add_object(GTree *leaves, const char *path, const json_t *value,
		       bool is_new)
{
	json_t *object = (json_t *)value;
	void *at;

	for (at = json_object_iter(object); at;
	     at = json_object_iter_next(object, at))
		add_part(leaves, path, json_object_iter_key(at),
			 json_object_iter_value(at), is_new);
}

static void add_array(GTree *leaves, const char *path, const json_t *value,
		      bool is_new)
{
	size_t i;

	for (i = 0; i < json_array_size(value); i++) {
		const json_t *item = json_array_get(value, i);
		const char *hash =
			json_string_value(json_object_get(item, "hash"));
		char *part = hash ? g_strdup(hash) : g_strdup_printf("%zu", i);

		add_part(leaves, path, part, item, is_new);
		g_free(part);
	}
}

/* Adds an account key as a single value, its label. */
static void add_key(GTree *leaves, const char *path, const json_t *value,
		    bool is_new)
{
	const json_t *label = json_object_get(value, "label");
	json_t *unlabelled = json_string("unlabelled");

	add_leaf(leaves, path, label ? label : unlabelled, is_new);
	json_decref(unlabelled);
}

static void add_value(GTree *leaves, const char *path, const json_t *value,
		      bool is_new)
{
	if (json_object_get(value, "hash"))
		add_key(leaves, path, value, is_new);
	else if (json_object_size(value))
		add_object(leaves, path, value, is_new);
	else if (json_array_size(value))
		add_array(leaves, path, value, is_new);
	else if (value)
		add_leaf(leaves, path, value, is_new);
}

/** Where a comparison writes its lines, and their number so far. */
struct report {
	GString *out;
	guint lines;
};

static gboolean print_difference(gpointer path, gpointer value, gpointer data)
{
	const struct leaf *leaf = value;
	struct report *report = data;

	if (!g_strcmp0(leaf->from, leaf->to))
		return FALSE;
	g_string_append_printf(
		report->out, "  %s: %s -> %s\n", (const char *)path,
		leaf->from ? leaf->from : "none", leaf->to ? leaf->to : "none");
	report->lines++;
	return FALSE;
}

guint diff_json(const json_t *from, const json_t *to, GString *out)
{
	struct report report = { out, 0 };
	GTree *leaves = g_tree_new_full(compare_paths, NULL, g_free, free_leaf);

	add_value(leaves, "", from, false);
	add_value(leaves, "", to, true);
	g_tree_foreach(leaves, print_difference, &report);
	g_tree_destroy(leaves);
	return report.lines;
}
