/** @file fields.c Strict reading of a JSON object, described by a table. */
#include "fields.h"

#include <arpa/inet.h>
#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "address.h"

#define PATH_TEXT_BYTES 128
#define FOUND_BYTES 96
#define FOUND_TEXT_MAX 48
#define ALLOWED_BYTES 128

bool fault_set(struct fault *fault, const char *path, const char *found,
	       const char *allowed)
{
	snprintf(fault->text, SETTINGS_FAULT_BYTES,
		 "%s: %s: found %s, allowed %s", fault->file, path, found,
		 allowed);
	return false;
}

bool fault_syntax(struct fault *fault, const json_error_t *error)
{
	char found[FOUND_BYTES + JSON_ERROR_TEXT_LENGTH];

	snprintf(found, sizeof(found), "line %d column %d %s", error->line,
		 error->column, error->text);
	return fault_set(fault, "$", found, "a JSON object");
}

json_t *fields_load(const char *text, struct fault *fault)
{
	json_error_t error;
	json_t *root = json_loads(text, JSON_REJECT_DUPLICATES, &error);

	if (!root)
		fault_syntax(fault, &error);
	return root;
}

/* Copies text, with '?' in place of bytes that aren't printable ASCII. */
static void copy_printable(const char *text, char *out, size_t bytes)
{
	size_t i;

	for (i = 0; text[i] && i + 1 < bytes; i++)
		out[i] = g_ascii_isprint(text[i]) ? text[i] : '?';
	out[i] = '\0';
}

void found_text(const json_t *value, char *out, size_t bytes)
{
	char text[FOUND_TEXT_MAX + 1];

	switch (json_typeof(value)) {
	case JSON_OBJECT:
		snprintf(out, bytes, "an object");
		break;
	case JSON_ARRAY:
		snprintf(out, bytes, "an array of %zu", json_array_size(value));
		break;
	case JSON_STRING:
		copy_printable(json_string_value(value), text, sizeof(text));
		snprintf(out, bytes, "\"%s\"", text);
		break;
	case JSON_INTEGER:
		snprintf(out, bytes, "%lld",
			 (long long)json_integer_value(value));
		break;
	case JSON_REAL:
		snprintf(out, bytes, "%.6g", json_real_value(value));
		break;
	case JSON_TRUE:
	case JSON_FALSE:
		snprintf(out, bytes, json_is_true(value) ? "true" : "false");
		break;
	case JSON_NULL:
		snprintf(out, bytes, "null");
		break;
	}
}

bool fault_value(struct fault *fault, const char *path, const json_t *value,
		 const char *allowed)
{
	char found[FOUND_BYTES];

	found_text(value, found, sizeof(found));
	return fault_set(fault, path, found, allowed);
}

bool fault_array(struct fault *fault, const char *path, const json_t *value,
		 size_t least, size_t most)
{
	char allowed[ALLOWED_BYTES];

	snprintf(allowed, sizeof(allowed), "an array of %zu to %zu", least,
		 most);
	if (!json_is_array(value) || json_array_size(value) < least ||
	    json_array_size(value) > most)
		return fault_value(fault, path, value, allowed);
	return true;
}

static bool is_name(const char *text)
{
	size_t i;

	for (i = 0; text[i]; i++)
		if (!g_ascii_isalnum(text[i]) && !strchr("-_.", text[i]))
			return false;
	return i > 0 && i < NAME_BYTES;
}

const char *fault_name(struct fault *fault, const char *path,
		       const json_t *value)
{
	if (json_is_string(value) && is_name(json_string_value(value)))
		return json_string_value(value);
	fault_value(fault, path, value,
		    "a name of 1 to 63 letters, digits, '-', '_' or '.'");
	return NULL;
}

const char *fault_address(struct fault *fault, const char *path,
			  const json_t *value)
{
	struct sockaddr_storage ss;

	if (json_is_string(value) &&
	    address_parse(json_string_value(value), &ss))
		return json_string_value(value);
	fault_value(fault, path, value,
		    "an address \"IP:port\", IPv6 as \"[IP]:port\"");
	return NULL;
}

static bool read_number(const struct field *f, const char *path,
			const json_t *value, void *out, struct fault *fault)
{
	char allowed[ALLOWED_BYTES];
	json_int_t n = json_integer_value(value);
	uint32_t count = (uint32_t)n;
	hm_time time = (hm_time)n * HM_MS;

	snprintf(allowed, sizeof(allowed), "an integer from %lld to %lld",
		 (long long)f->least, (long long)f->most);
	if (!json_is_integer(value) || n < f->least || n > f->most)
		return fault_value(fault, path, value, allowed);
	if (f->kind == FIELD_COUNT)
		memcpy((char *)out + f->at, &count, sizeof(count));
	else
		memcpy((char *)out + f->at, &time, sizeof(time));
	return true;
}

static bool read_text(const struct field *f, const char *path,
		      const json_t *value, void *out, struct fault *fault)
{
	char allowed[ALLOWED_BYTES];
	const char *text = json_string_value(value);

	snprintf(allowed, sizeof(allowed), "text of at most %lld bytes",
		 (long long)f->most);
	if (!text || strlen(text) > (size_t)f->most)
		return fault_value(fault, path, value, allowed);
	strcpy((char *)out + f->at, text);
	return true;
}

static bool read_bool(const struct field *f, const char *path,
		      const json_t *value, void *out, struct fault *fault)
{
	bool flag = json_is_true(value);

	if (!json_is_boolean(value))
		return fault_value(fault, path, value, "true or false");
	memcpy((char *)out + f->at, &flag, sizeof(flag));
	return true;
}

static bool read_checked(const struct field *f, const char *path,
			 const json_t *value, void *out, struct fault *fault)
{
	const char *text = f->kind == FIELD_NAME
				   ? fault_name(fault, path, value)
				   : fault_address(fault, path, value);

	if (!text)
		return false;
	return read_text(f, path, value, out, fault);
}

/* Reads hexadecimal text; the error text never contains the secret. */
static bool read_secret(const struct field *f, const char *path,
			const json_t *value, void *out, struct fault *fault)
{
	const char *text = json_string_value(value);
	char allowed[ALLOWED_BYTES];
	size_t length = 0;

	snprintf(allowed, sizeof(allowed), "text of %lld hexadecimal digits",
		 (long long)f->most * 2);
	if (!text)
		return fault_value(fault, path, value, allowed);
	if (strlen(text) != (size_t)f->most * 2 ||
	    sodium_hex2bin((unsigned char *)out + f->at, (size_t)f->most, text,
			   strlen(text), NULL, &length, NULL) ||
	    length != (size_t)f->most)
		return fault_set(fault, path, "something else", allowed);
	return true;
}

static bool read_field(const struct field *f, const char *path,
		       const json_t *value, void *out, struct fault *fault)
{
	switch (f->kind) {
	case FIELD_TEXT:
		return read_text(f, path, value, out, fault);
	case FIELD_NAME:
	case FIELD_ADDRESS:
		return read_checked(f, path, value, out, fault);
	case FIELD_COUNT:
	case FIELD_MS:
		return read_number(f, path, value, out, fault);
	case FIELD_SECRET:
		return read_secret(f, path, value, out, fault);
	case FIELD_BOOL:
		return read_bool(f, path, value, out, fault);
	case FIELD_OTHER:
		break;
	}
	return true;
}

static const struct field *find_field(const struct field *fields, size_t count,
				      const char *path)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (!strcmp(fields[i].path, path))
			return &fields[i];
	return NULL;
}

/* Whether the table has fields inside an object at @a path. */
static bool is_section(const struct field *fields, size_t count,
		       const char *path)
{
	size_t bytes = strlen(path);
	size_t i;

	for (i = 0; i < count; i++)
		if (!strncmp(fields[i].path, path, bytes) &&
		    fields[i].path[bytes] == '.')
			return true;
	return false;
}

static bool fail_unknown_field(struct fault *fault, const char *path)
{
	char shown[PATH_TEXT_BYTES];

	copy_printable(path, shown, sizeof(shown));
	return fault_set(fault, shown, "an unknown field", "known fields only");
}

/* Reads the members of one object; @a prefix is "" or "section.". */
static bool read_object(const struct field *fields, size_t count,
			const char *prefix, const json_t *object, void *out,
			struct fault *fault)
{
	char path[PATH_TEXT_BYTES];
	const struct field *f;
	const char *key;
	json_t *value;
	void *iter = json_object_iter((json_t *)object);

	for (; iter; iter = json_object_iter_next((json_t *)object, iter)) {
		key = json_object_iter_key(iter);
		value = json_object_iter_value(iter);
		snprintf(path, sizeof(path), "$.%s%s", prefix, key);
		f = find_field(fields, count, path + 2);
		if (f) {
			if (!read_field(f, path, value, out, fault))
				return false;
			continue;
		}
		if (*prefix || !is_section(fields, count, path + 2))
			return fail_unknown_field(fault, path);
		if (!json_is_object(value))
			return fault_value(fault, path, value, "an object");
		snprintf(path, sizeof(path), "%s.", key);
		if (!read_object(fields, count, path, value, out, fault))
			return false;
	}
	return true;
}

/* The value at path "a" or "a.b", NULL when absent. */
static const json_t *value_at(const json_t *root, const char *path)
{
	const char *dot = strchr(path, '.');
	char section[PATH_TEXT_BYTES];

	if (!dot)
		return json_object_get(root, path);
	snprintf(section, sizeof(section), "%.*s", (int)(dot - path), path);
	return json_object_get(json_object_get(root, section), dot + 1);
}

static bool check_required(const struct field *fields, size_t count,
			   const json_t *root, struct fault *fault)
{
	char path[PATH_TEXT_BYTES];
	size_t i;

	for (i = 0; i < count; i++) {
		if (!fields[i].required || value_at(root, fields[i].path))
			continue;
		snprintf(path, sizeof(path), "$.%s", fields[i].path);
		return fault_set(fault, path, "nothing",
				 "a value, the field is required");
	}
	return true;
}

bool fields_read(const struct field *fields, size_t count, const json_t *root,
		 void *out, struct fault *fault)
{
	if (!json_is_object(root))
		return fault_value(fault, "$", root, "an object");
	return read_object(fields, count, "", root, out, fault) &&
	       check_required(fields, count, root, fault);
}
