/** @file token_object.c Fencing token and voters of a service as JSON. */
#include "token_object.h"

#include <string.h>

#include "names.h"

static void nonce_text(uint64_t nonce, char text[24])
{
	g_snprintf(text, 24, "%016" G_GINT64_MODIFIER "x", nonce);
}

uint64_t token_object_token(const struct store_object *o)
{
	return (uint64_t)json_integer_value(json_object_get(o->value, "token"));
}

bool token_object_has_nonce(const struct store_object *o, uint64_t nonce)
{
	const char *found =
		json_string_value(json_object_get(o->value, "nonce"));
	char text[24];

	nonce_text(nonce, text);
	return found && !strcmp(found, text);
}

static bool read_voter(const json_t *json, struct voter_record *out)
{
	const char *id = json_string_value(json_object_get(json, "id"));
	const char *address =
		json_string_value(json_object_get(json, "address"));
	const json_t *started = json_object_get(json, "started");

	return id && id[0] && strlen(id) < NAME_BYTES && address &&
	       strlen(address) < ADDRESS_BYTES && json_is_integer(started) &&
	       voter_record_add(out, name_id(id),
				(uint64_t)json_integer_value(started), id,
				address);
}

bool token_object_read_voters(const json_t *value, struct store_version at,
			      struct voter_record *out)
{
	const json_t *list = json_object_get(value, "voters");
	size_t i;

	memset(out, 0, sizeof(*out));
	for (i = 0; i < json_array_size(list); i++)
		if (!read_voter(json_array_get(list, i), out))
			break;
	if (i < json_array_size(list))
		memset(out, 0, sizeof(*out));
	out->voters.at = at;
	out->token =
		(uint64_t)json_integer_value(json_object_get(value, "token"));
	out->voters.term =
		(uint64_t)json_integer_value(json_object_get(value, "term"));
	out->committed = json_is_true(json_object_get(value, "committed"));
	out->changing = json_is_true(json_object_get(value, "changing"));
	return out->voters.count > 0;
}

json_t *token_object_value(const char *holder, uint64_t token, uint64_t nonce)
{
	char text[24];

	nonce_text(nonce, text);
	return json_pack("{s:s, s:I, s:s}", "holder", holder, "token",
			 (json_int_t)token, "nonce", text);
}

json_t *token_object_with_voters(const json_t *value,
				 const struct voter_record *r)
{
	json_t *copy = value ? json_copy((json_t *)value) : json_object();
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < r->voters.count; i++)
		json_array_append_new(
			list,
			json_pack("{s:s, s:s, s:I}", "id", r->contacts[i].name,
				  "address", r->contacts[i].address, "started",
				  (json_int_t)r->voters.list[i].started));
	json_object_set_new(copy, "voters", list);
	json_object_set_new(copy, "term",
			    json_integer((json_int_t)r->voters.term));
	json_object_set_new(copy, "committed", json_boolean(r->committed));
	json_object_set_new(copy, "changing", json_boolean(r->changing));
	return copy;
}
