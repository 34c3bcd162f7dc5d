/** @file spec.c Strict parsing of contracts and database groups from JSON. */
#include "spec.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "../core/contracts.h"
#include "address.h"
#include "names.h"
#include "object.h"

#define LABEL_BYTES 64
#define RATE_MAX 1000000
#define BURST_MAX 1000000
#define WEIGHT_MAX 1000
#define TRANSACTIONS_MAX 100000
#define AGE_MS_MAX 86400000
#define SLOTS_MAX 1024
#define CONNECTIONS_MAX 65535

/* Writes the error text to @a fault; always returns false. */
__attribute__((format(printf, 2, 3))) static bool fail(char *fault,
						       const char *format, ...)
{
	va_list args;

	va_start(args, format);
	vsnprintf(fault, SPEC_FAULT_BYTES, format, args);
	va_end(args);
	return false;
}

static const char *type_name(const json_t *value)
{
	static const char *const names[] = {
		[JSON_OBJECT] = "an object", [JSON_ARRAY] = "an array",
		[JSON_STRING] = "a string",  [JSON_INTEGER] = "an integer",
		[JSON_REAL] = "a fraction",  [JSON_TRUE] = "true",
		[JSON_FALSE] = "false",	     [JSON_NULL] = "null",
	};

	return value ? names[json_typeof(value)] : "nothing";
}

static bool is_one_of(const char *word, const char *const *words)
{
	for (; *words; words++)
		if (!strcmp(word, *words))
			return true;
	return false;
}

/* Fails unless @a value is an object with no fields but the listed ones. */
static bool check_fields(char *fault, const char *path, const json_t *value,
			 const char *const *fields)
{
	json_t *object = (json_t *)value;
	void *at;

	if (!json_is_object(value))
		return fail(fault, "%s: found %s, allowed is an object", path,
			    type_name(value));
	for (at = json_object_iter(object); at;
	     at = json_object_iter_next(object, at))
		if (!is_one_of(json_object_iter_key(at), fields))
			return fail(fault,
				    "%s.%.64s: found an unknown field, "
				    "allowed are the documented ones",
				    path, json_object_iter_key(at));
	return true;
}

static bool read_number(char *fault, const char *path, const json_t *object,
			const char *field, json_int_t min, json_int_t max,
			json_int_t *out)
{
	const json_t *value = json_object_get(object, field);

	if (!json_is_integer(value))
		return fail(fault, "%s.%s: found %s, allowed is an integer",
			    path, field, type_name(value));
	*out = json_integer_value(value);
	if (*out >= min && *out <= max)
		return true;
	return fail(fault,
		    "%s.%s: found %" JSON_INTEGER_FORMAT
		    ", allowed are %" JSON_INTEGER_FORMAT
		    " to %" JSON_INTEGER_FORMAT,
		    path, field, *out, min, max);
}

static bool read_count(char *fault, const char *path, const json_t *object,
		       const char *field, uint32_t min, uint32_t max,
		       uint32_t *out)
{
	json_int_t n = 0;

	if (!read_number(fault, path, object, field, min, max, &n))
		return false;
	*out = (uint32_t)n;
	return true;
}

/* Reads an optional boolean, false by default. */
static bool read_flag(char *fault, const char *path, const json_t *object,
		      const char *field, bool *out)
{
	const json_t *value = json_object_get(object, field);

	*out = json_is_true(value);
	if (!value || json_is_boolean(value))
		return true;
	return fail(fault, "%s.%s: found %s, allowed is true or false", path,
		    field, type_name(value));
}

static bool read_text(char *fault, const char *path, const json_t *object,
		      const char *field, size_t size, const char **out)
{
	const json_t *value = json_object_get(object, field);

	*out = json_string_value(value);
	if (!*out)
		return fail(fault, "%s.%s: found %s, allowed is a string", path,
			    field, type_name(value));
	if (**out && strlen(*out) < size)
		return true;
	return fail(fault, "%s.%s: found %zu bytes, allowed are 1 to %zu", path,
		    field, strlen(*out), size - 1);
}

static bool copy_name(char *fault, const char *path, const char *name,
		      char out[NAME_BYTES])
{
	if (!object_name_valid(name) || strlen(name) >= NAME_BYTES)
		return fail(fault,
			    "%s: found a malformed name, allowed are "
			    "up to %d letters, digits, '.', '_', '-'",
			    path, NAME_BYTES - 1);
	memcpy(out, name, strlen(name) + 1);
	return true;
}

static bool read_contract_database(char *fault, const char *name,
				   const json_t *value,
				   struct contract_database *out)
{
	static const char *const fields[] = { "max_age_ms", NULL };
	char path[NAME_BYTES + 16];
	json_int_t age = 0;

	if (!copy_name(fault, "databases", name, out->name))
		return false;
	snprintf(path, sizeof(path), "databases.%s", out->name);
	if (!check_fields(fault, path, value, fields))
		return false;
	if (json_object_get(value, "max_age_ms") &&
	    !read_number(fault, path, value, "max_age_ms", 0, AGE_MS_MAX, &age))
		return false;
	out->database = name_id(out->name);
	out->max_age = age * HM_MS;
	return true;
}

/* Checks that different databases of a contract have different IDs. */
static bool check_databases(char *fault, const struct contract *c)
{
	uint32_t i, j;

	for (i = 0; i < c->database_count; i++)
		for (j = 0; j < i; j++)
			if (c->databases[i].database ==
			    c->databases[j].database)
				return fail(fault,
					    "databases.%s: found a name with "
					    "the ID of %s, allowed is each "
					    "once",
					    c->databases[i].name,
					    c->databases[j].name);
	return true;
}

static bool read_databases(char *fault, const json_t *value,
			   struct contract *out)
{
	json_t *object = json_object_get(value, "databases");
	void *at;

	if (!json_is_object(object))
		return fail(fault, "databases: found %s, allowed is an object",
			    type_name(object));
	if (json_object_size(object) > CONTRACT_DATABASES_MAX)
		return fail(fault, "databases: found %zu, allowed are up to %d",
			    json_object_size(object), CONTRACT_DATABASES_MAX);
	for (at = json_object_iter(object); at;
	     at = json_object_iter_next(object, at))
		if (!read_contract_database(
			    fault, json_object_iter_key(at),
			    json_object_iter_value(at),
			    &out->databases[out->database_count++]))
			return false;
	return check_databases(fault, out);
}

static bool is_repeated_key(const struct contract *c, struct key_id key)
{
	uint32_t i;

	for (i = 0; i < c->key_count; i++)
		if (key_equal(c->keys[i], key))
			return true;
	return false;
}

static bool read_key(char *fault, size_t index, const json_t *value,
		     struct contract *out)
{
	static const char *const fields[] = { "hash", "label", NULL };
	char path[32];
	const char *text;
	struct key_id key;

	snprintf(path, sizeof(path), "keys[%zu]", index);
	if (!check_fields(fault, path, value, fields))
		return false;
	if (json_object_get(value, "label") &&
	    !read_text(fault, path, value, "label", LABEL_BYTES, &text))
		return false;
	text = json_string_value(json_object_get(value, "hash"));
	if (!text || !key_parse(text, &key))
		return fail(fault,
			    "%s.hash: found %s, allowed are 32 hexadecimal "
			    "digits",
			    path, text ? "another text" : "no text");
	if (is_repeated_key(out, key))
		return fail(fault,
			    "%s.hash: found a repeated hash, allowed is "
			    "each hash once",
			    path);
	out->keys[out->key_count++] = key;
	return true;
}

static bool read_keys(char *fault, const json_t *value, struct contract *out)
{
	const json_t *keys = json_object_get(value, "keys");
	size_t i;

	if (!keys)
		return true;
	if (!json_is_array(keys))
		return fail(fault, "keys: found %s, allowed is an array",
			    type_name(keys));
	if (json_array_size(keys) > CONTRACT_KEYS_MAX)
		return fail(fault, "keys: found %zu, allowed are up to %d",
			    json_array_size(keys), CONTRACT_KEYS_MAX);
	for (i = 0; i < json_array_size(keys); i++)
		if (!read_key(fault, i, json_array_get(keys, i), out))
			return false;
	return true;
}

static bool read_limits(char *fault, const json_t *value, struct contract *out)
{
	const char *path = "contract";

	return read_count(fault, path, value, "rate_per_s", 1, RATE_MAX,
			  &out->rate) &&
	       read_count(fault, path, value, "burst", 1, BURST_MAX,
			  &out->burst) &&
	       read_count(fault, path, value, "weight", 1, WEIGHT_MAX,
			  &out->weight) &&
	       read_count(fault, path, value, "transactions", 0,
			  TRANSACTIONS_MAX, &out->transactions) &&
	       read_flag(fault, path, value, "serve_isolated",
			 &out->serve_isolated);
}

bool spec_contract(const char *name, const json_t *value, uint64_t version,
		   struct contract *out, char fault[SPEC_FAULT_BYTES])
{
	static const char *const fields[] = { "rate_per_s",	"burst",
					      "weight",		"transactions",
					      "databases",	"keys",
					      "serve_isolated", NULL };
	const char *invalid;

	*out = (struct contract){ .version = version };
	if (!copy_name(fault, "account", name, out->name) ||
	    !check_fields(fault, "contract", value, fields) ||
	    !read_limits(fault, value, out) ||
	    !read_databases(fault, value, out) || !read_keys(fault, value, out))
		return false;
	out->account = name_id(out->name);
	invalid = contract_fault(out);
	return invalid ? fail(fault, "contract: %s", invalid) : true;
}

static json_t *databases_json(const struct contract *contract)
{
	json_t *all = json_object();
	uint32_t i;

	for (i = 0; i < contract->database_count; i++) {
		const struct contract_database *d = &contract->databases[i];
		json_int_t age = d->max_age / HM_MS;

		json_object_set_new(all, d->name,
				    json_pack("{s:I}", "max_age_ms", age));
	}
	return all;
}

static json_t *keys_json(const struct contract *contract)
{
	json_t *all = json_array();
	char text[33];
	uint32_t i;

	for (i = 0; i < contract->key_count; i++) {
		key_text(contract->keys[i], text);
		json_array_append_new(all, json_pack("{s:s}", "hash", text));
	}
	return all;
}

json_t *spec_contract_json(const struct contract *contract)
{
	return json_pack("{s:i, s:i, s:i, s:i, s:b, s:o, s:o}", "rate_per_s",
			 (int)contract->rate, "burst", (int)contract->burst,
			 "weight", (int)contract->weight, "transactions",
			 (int)contract->transactions, "serve_isolated",
			 (int)contract->serve_isolated, "databases",
			 databases_json(contract), "keys", keys_json(contract));
}

bool zone_names_find(struct zone_names zones, const char *name, uint16_t *out)
{
	uint16_t i;

	for (i = 0; i < zones.count; i++) {
		if (!strcmp(zones.names[i], name)) {
			*out = i;
			return true;
		}
	}
	return false;
}

static bool read_zone(char *fault, const char *path, const json_t *value,
		      struct zone_names zones, uint16_t *out)
{
	const char *name;

	if (!read_text(fault, path, value, "zone", NAME_BYTES, &name))
		return false;
	if (zone_names_find(zones, name, out))
		return true;
	return fail(fault,
		    "%s.zone: found %s, allowed are the configured zones", path,
		    name);
}

static bool read_endpoint(char *fault, size_t index, const json_t *value,
			  struct zone_names zones, struct endpoint_spec *out)
{
	static const char *const fields[] = { "name",  "address",     "zone",
					      "slots", "connections", "leaving",
					      NULL };
	char path[32], name_path[48];
	const char *name, *address;
	struct sockaddr_storage parsed;

	snprintf(path, sizeof(path), "endpoints[%zu]", index);
	snprintf(name_path, sizeof(name_path), "%s.name", path);
	if (!check_fields(fault, path, value, fields) ||
	    !read_text(fault, path, value, "name", NAME_BYTES, &name) ||
	    !copy_name(fault, name_path, name, out->name) ||
	    !read_text(fault, path, value, "address", ADDRESS_BYTES,
		       &address) ||
	    !read_zone(fault, path, value, zones, &out->zone) ||
	    !read_count(fault, path, value, "slots", 1, SLOTS_MAX,
			&out->slots) ||
	    !read_count(fault, path, value, "connections", 1, CONNECTIONS_MAX,
			&out->connections) ||
	    !read_flag(fault, path, value, "leaving", &out->leaving))
		return false;
	if (!address_parse(address, &parsed))
		return fail(fault, "%s.address: found %s, allowed is IP:port",
			    path, address);
	memcpy(out->address, address, strlen(address) + 1);
	out->endpoint = name_id(out->name);
	return true;
}

/*
 * Checks that names and addresses are unique in the group, and that each
 * endpoint has at least as many connections as slots.
 */
static bool check_endpoints(char *fault, const struct database_spec *d)
{
	uint32_t i, j;

	for (i = 0; i < d->endpoint_count; i++) {
		const struct endpoint_spec *e = &d->endpoints[i];

		if (e->connections < e->slots)
			return fail(fault,
				    "endpoints[%u].connections: found %u, "
				    "allowed are at least the %u slots",
				    i, e->connections, e->slots);
		for (j = 0; j < i; j++) {
			if (e->endpoint == d->endpoints[j].endpoint &&
			    strcmp(e->name, d->endpoints[j].name) != 0)
				return fail(fault,
					    "endpoints[%u].name: found %s, "
					    "which has the ID of %s, allowed "
					    "is each once",
					    i, e->name, d->endpoints[j].name);
			if (!strcmp(e->name, d->endpoints[j].name) ||
			    !strcmp(e->address, d->endpoints[j].address))
				return fail(fault,
					    "endpoints[%u]: found the name or "
					    "address of endpoints[%u], "
					    "allowed is each once",
					    i, j);
		}
	}
	return true;
}

bool spec_database(const char *name, const json_t *value, uint64_t version,
		   struct zone_names zones, struct database_spec *out,
		   char fault[SPEC_FAULT_BYTES])
{
	static const char *const fields[] = { "endpoints", NULL };
	const json_t *list = json_object_get(value, "endpoints");
	size_t i;

	*out = (struct database_spec){ .version = version };
	if (!copy_name(fault, "database", name, out->name) ||
	    !check_fields(fault, "database", value, fields))
		return false;
	if (!json_is_array(list) || !json_array_size(list) ||
	    json_array_size(list) > ENDPOINTS_MAX)
		return fail(fault,
			    "endpoints: found %s of %zu, allowed is an array "
			    "of 1 to %d",
			    type_name(list), json_array_size(list),
			    ENDPOINTS_MAX);
	for (i = 0; i < json_array_size(list); i++)
		if (!read_endpoint(fault, i, json_array_get(list, i), zones,
				   &out->endpoints[out->endpoint_count++]))
			return false;
	out->database = name_id(out->name);
	return check_endpoints(fault, out);
}
