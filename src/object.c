/** @file object.c JSON parsing and writing of objects of the platform. */
#include "object.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

static bool is_name_byte(char c)
{
	return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
	       (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

bool object_name_valid(const char *name)
{
	size_t i;

	if (!name[0] || name[0] == '.')
		return false;
	for (i = 0; name[i]; i++)
		if (!is_name_byte(name[i]) || i + 1 >= OBJECT_NAME_BYTES)
			return false;
	return true;
}

static bool copy_name(const json_t *json, const char *field, char *out,
		      size_t size, char fault[OBJECT_FAULT_BYTES])
{
	const char *text = json_string_value(json_object_get(json, field));

	if (text && strlen(text) < size && object_name_valid(text)) {
		memcpy(out, text, strlen(text) + 1);
		return true;
	}
	snprintf(fault, OBJECT_FAULT_BYTES,
		 "%s: found %s, allowed is a name of up to %zu bytes", field,
		 text ? "another text" : "no text", size - 1);
	return false;
}

static bool parse_version(const json_t *json, uint64_t *out,
			  char fault[OBJECT_FAULT_BYTES])
{
	const json_t *version = json_object_get(json, "version");

	if (json_is_integer(version) && json_integer_value(version) >= 0) {
		*out = (uint64_t)json_integer_value(version);
		return true;
	}
	snprintf(fault, OBJECT_FAULT_BYTES,
		 "version: found no whole number, allowed are 0 and above");
	return false;
}

bool object_parse(const json_t *json, struct object *out,
		  char fault[OBJECT_FAULT_BYTES])
{
	json_t *value = json_object_get(json, "value");
	bool deleted = json_is_true(json_object_get(json, "deleted"));

	*out = (struct object){ .deleted = deleted };
	if (!copy_name(json, "kind", out->kind, sizeof(out->kind), fault) ||
	    !copy_name(json, "name", out->name, sizeof(out->name), fault) ||
	    !parse_version(json, &out->version, fault))
		return false;
	if (deleted)
		return true;
	if (!json_is_object(value)) {
		snprintf(fault, OBJECT_FAULT_BYTES,
			 "value: found no object, allowed is an object");
		return false;
	}
	out->value = json_incref(value);
	return true;
}

json_t *object_json(const struct object *o)
{
	return json_pack("{s:s, s:s, s:I, s:b, s:O*}", "kind", o->kind, "name",
			 o->name, "version", (json_int_t)o->version, "deleted",
			 (int)o->deleted, "value", o->value);
}

void object_clear(struct object *o)
{
	json_decref(o->value);
	*o = (struct object){ 0 };
}

static bool parse_items(const json_t *items, struct object_list *out,
			char fault[OBJECT_FAULT_BYTES])
{
	char inner[OBJECT_FAULT_BYTES];
	size_t i;

	for (i = 0; i < json_array_size(items); i++) {
		const json_t *item = json_array_get(items, i);

		if (!object_parse(item, &out->items[i], inner)) {
			snprintf(fault, OBJECT_FAULT_BYTES, "items[%zu].%.200s",
				 i, inner);
			return false;
		}
		out->count++;
	}
	return true;
}

bool object_list_parse(const json_t *json, struct object_list *out,
		       char fault[OBJECT_FAULT_BYTES])
{
	const json_t *items = json_object_get(json, "items");

	*out = (struct object_list){ 0 };
	if (!parse_version(json, &out->version, fault))
		return false;
	if (!json_is_array(items)) {
		snprintf(fault, OBJECT_FAULT_BYTES,
			 "items: found no array, allowed is an array");
		return false;
	}
	out->items = g_new0(struct object, json_array_size(items) + 1);
	if (parse_items(items, out, fault))
		return true;
	object_list_clear(out);
	return false;
}

void object_list_clear(struct object_list *l)
{
	size_t i;

	for (i = 0; i < l->count; i++)
		object_clear(&l->items[i]);
	g_free(l->items);
	*l = (struct object_list){ 0 };
}
