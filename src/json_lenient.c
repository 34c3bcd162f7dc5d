/** @file json_lenient.c Leaves out the JSON values that cannot be parsed. */
#include "json_lenient.h"

#include <stdbool.h>
#include <string.h>

/*
 * Values that are nested more deeply count as values that cannot be parsed.
 * Below the limit of Jansson, so that a value that was parsed can also be
 * written as a part of another document.
 */
#define NESTING_MAX 512

/** The rest of a text. */
struct cursor {
	const char *at;
	const char *end;
};

/** A value within a text. */
struct span {
	const char *at;
	size_t bytes;
	unsigned int nesting; /**< levels of objects and arrays in it */
};

static void skip_space(struct cursor *c)
{
	while (c->at < c->end && strchr(" \t\r\n", *c->at) && *c->at)
		c->at++;
}

/* Skips one character if it is @a expected. */
static bool skip_char(struct cursor *c, char expected)
{
	skip_space(c);
	if (c->at == c->end || *c->at != expected)
		return false;
	c->at++;
	return true;
}

/* Skips a string, up to its closing quote; false when there is none. */
static bool skip_string(struct cursor *c)
{
	for (c->at++; c->at < c->end; c->at++) {
		if (*c->at == '"') {
			c->at++;
			return true;
		}
		if (*c->at == '\\')
			c->at++;
	}
	c->at = c->end;
	return false;
}

/* Skips an object or array; false when it is not closed. */
static bool skip_container(struct cursor *c, unsigned int *nesting)
{
	unsigned int open = 0;

	while (c->at < c->end) {
		char ch = *c->at;

		if (ch == '"') {
			if (!skip_string(c))
				return false;
			continue;
		}
		c->at++;
		if (ch == '{' || ch == '[') {
			if (++open > *nesting)
				*nesting = open;
		} else if ((ch == '}' || ch == ']') && !--open) {
			return true;
		}
	}
	return false;
}

static void skip_scalar(struct cursor *c)
{
	while (c->at < c->end && (!*c->at || !strchr(",:]} \t\r\n", *c->at)))
		c->at++;
}

/* Finds the next value and skips it; false when there is none. */
static bool next_value(struct cursor *c, struct span *out)
{
	bool closed = true;

	skip_space(c);
	*out = (struct span){ .at = c->at };
	if (c->at == c->end)
		return false;
	if (*c->at == '"')
		closed = skip_string(c);
	else if (*c->at == '{' || *c->at == '[')
		closed = skip_container(c, &out->nesting);
	else
		skip_scalar(c);
	out->bytes = (size_t)(c->at - out->at);
	return closed && out->bytes;
}

static json_t *parse(const struct span *s)
{
	if (s->nesting > NESTING_MAX)
		return NULL;
	return json_loadb(s->at, s->bytes, JSON_DECODE_ANY, NULL);
}

/* What is left of a container after its opening bracket. */
static struct cursor inside(const struct span *s)
{
	return (struct cursor){ s->at + 1, s->at + s->bytes };
}

static json_t *load(const struct span *s, unsigned int levels,
		    unsigned int *dropped);

static json_t *load_object(const struct span *s, unsigned int levels,
			   unsigned int *dropped)
{
	struct cursor c = inside(s);
	json_t *object = json_object(), *name, *value;
	struct span key, member;
	bool first = true;

	while (!skip_char(&c, '}')) {
		if ((!first && !skip_char(&c, ',')) || !next_value(&c, &key) ||
		    !skip_char(&c, ':') || !next_value(&c, &member)) {
			json_decref(object);
			return NULL;
		}
		name = parse(&key);
		value = load(&member, levels, dropped);
		if (!json_is_string(name) || !value ||
		    json_object_set(object, json_string_value(name), value))
			++*dropped;
		json_decref(name);
		json_decref(value);
		first = false;
	}
	return object;
}

static json_t *load_array(const struct span *s, unsigned int levels,
			  unsigned int *dropped)
{
	struct cursor c = inside(s);
	json_t *array = json_array(), *value;
	struct span element;
	bool first = true;

	while (!skip_char(&c, ']')) {
		if ((!first && !skip_char(&c, ',')) ||
		    !next_value(&c, &element)) {
			json_decref(array);
			return NULL;
		}
		value = load(&element, levels, dropped);
		if (!value || json_array_append_new(array, value))
			++*dropped;
		first = false;
	}
	return array;
}

/* Returns NULL for a value that is to be left out. */
static json_t *load(const struct span *s, unsigned int levels,
		    unsigned int *dropped)
{
	json_t *json = parse(s);

	if (json || !levels)
		return json;
	if (*s->at == '{')
		return load_object(s, levels - 1, dropped);
	if (*s->at == '[')
		return load_array(s, levels - 1, dropped);
	return NULL;
}

json_t *json_lenient_load(const char *text, size_t bytes, unsigned int levels,
			  unsigned int *dropped)
{
	struct cursor c = { text, text + bytes };
	struct span whole;

	*dropped = 0;
	if (!next_value(&c, &whole))
		return NULL;
	skip_space(&c);
	return c.at == c.end ? load(&whole, levels, dropped) : NULL;
}
