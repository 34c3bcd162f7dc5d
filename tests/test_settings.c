/** @file test_settings.c Settings: strict parsing, defaults, error texts. */
#include <check.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "../src/address.h"
#include "../src/names.h"
#include "../src/settings.h"
#include "script.h"
#include "suite.h"

static const char base[] =
	"{\"instance\":\"a\",\"zone\":\"north\","
	"\"zones\":[\"north\",\"south\"],"
	"\"listen\":{\"callers\":\"127.0.0.1:8080\","
	"\"peers\":\"127.0.0.1:8081\",\"operators\":\"127.0.0.1:8082\"},"
	"\"platform\":\"127.0.0.1:9000\",\"token_secret\":"
	"\"000102030405060708090a0b0c0d0e0f"
	"101112131415161718191a1b1c1d1e1f\"}";

/*
 * Returns the JSON object that contains the field at @a path; sets *name to the
 * name of the field.
 */
static json_t *parent_of(json_t *root, char *path, char **name)
{
	char *dot = strchr(path, '.');
	json_t *section;

	*name = path;
	if (!dot)
		return root;
	*dot = '\0';
	*name = dot + 1;
	section = json_object_get(root, path);
	if (!section) {
		section = json_object();
		json_object_set_new(root, path, section);
	}
	return section;
}

/*
 * Returns valid settings with the one change that @a line states:
 * "set PATH=JSON" or "drop PATH".
 */
static json_t *changed(const char *line)
{
	json_t *root = json_loads(base, 0, NULL);
	char **words = g_strsplit(line, " ", 2);
	char *equals = strchr(words[1], '=');
	json_t *value, *parent;
	char *name;

	if (equals)
		*equals = '\0';
	parent = parent_of(root, words[1], &name);
	if (equals) {
		value = json_loads(equals + 1, JSON_DECODE_ANY, NULL);
		ck_assert_msg(value != NULL, "%s", line);
		json_object_set_new(parent, name, value);
	} else {
		json_object_del(parent, name);
	}
	g_strfreev(words);
	return root;
}

static void command(void *context, const char *line, GString *out)
{
	char fault[SETTINGS_FAULT_BYTES];
	struct settings s;
	char *text;
	json_t *root = NULL;

	(void)context;
	if (g_str_has_prefix(line, "text ")) {
		text = strdup(line + strlen("text "));
	} else {
		root = changed(line);
		text = json_dumps(root, 0);
	}
	if (settings_parse(&s, "a.json", text, fault))
		g_string_append(out, "valid\n");
	else
		g_string_append_printf(out, "%s\n", fault);
	json_decref(root);
	free(text);
}

START_TEST(scripted)
{
	char *fault = script_run("tests/scripts/settings.txt", command, NULL);

	ck_assert_msg(!fault, "%s", fault);
}
END_TEST

START_TEST(defaults_are_filled_in)
{
	char fault[SETTINGS_FAULT_BYTES];
	struct settings s;

	ck_assert_msg(settings_parse(&s, "a.json", base, fault), "%s", fault);
	ck_assert_str_eq(s.instance, "a");
	ck_assert_str_eq(s.listen_operators, "127.0.0.1:8082");
	ck_assert_uint_eq(s.zone_count, 2);
	ck_assert_uint_eq(s.core.zone, 0);
	ck_assert_uint_eq(s.core.zone_count, 2);
	ck_assert(s.core.instance == name_id("a"));
	ck_assert(s.core.incarnation != 0);
	ck_assert_uint_eq(s.token_secret[1], 1);
	ck_assert_uint_eq(s.token_secret[31], 31);
	ck_assert(s.core.heartbeat_every > 0);
	ck_assert_str_eq(s.log_level, "info");
}
END_TEST

START_TEST(incarnations_differ)
{
	struct settings a, b;

	settings_default(&a);
	settings_default(&b);
	ck_assert(a.core.incarnation != b.core.incarnation);
}
END_TEST

START_TEST(unreadable_file)
{
	char fault[SETTINGS_FAULT_BYTES];
	struct settings s;

	ck_assert(!settings_read(&s, "tests/none.json", fault));
	ck_assert_str_eq(fault, "tests/none.json: $: found No such file or "
				"directory, allowed a readable file up to "
				"1 MB");
}
END_TEST

static const char *const examples[] = {
	"examples/settings-library-unit.json",
	"examples/settings-tangle-and-twinkle.json",
};

START_TEST(example_is_valid)
{
	char fault[SETTINGS_FAULT_BYTES];
	struct settings s;

	ck_assert_msg(settings_read(&s, examples[_i], fault), "%s", fault);
}
END_TEST

static const struct {
	const char *text;
	bool ok;
} addresses[] = {
	{ "127.0.0.1:80", true },      { "[::1]:80", true },
	{ "0.0.0.0:0", true },	       { "127.0.0.1:65535", true },
	{ "127.0.0.1:65536", false },  { "127.0.0.1:", false },
	{ "127.0.0.1", false },	       { "localhost:80", false },
	{ "::1:80", false },	       { "[::1:80", false },
	{ "[127.0.0.1]:80", false },   { ":80", false },
	{ "127.0.0.1:8o", false },     { "127.0.0.1:-1", false },
	{ "127.0.0.1:000080", false }, { "", false },
};

START_TEST(address_text)
{
	struct sockaddr_storage ss;

	ck_assert_msg(address_parse(addresses[_i].text, &ss) ==
			      addresses[_i].ok,
		      "%s", addresses[_i].text);
}
END_TEST

START_TEST(key_hashes)
{
	struct key_id a = key_hash("key-1", 5), b;
	char text[33];

	key_text(a, text);
	ck_assert_ptr_null(strstr(text, "key-1"));
	ck_assert(key_parse(text, &b));
	ck_assert(key_equal(a, b));
	b = key_hash("key-2", 5);
	ck_assert(!key_equal(a, b));
	ck_assert(!key_parse("00", &b));
	ck_assert(!key_parse("0000000000000000000000000000000g", &b));
}
END_TEST

START_TEST(names_are_found)
{
	struct names *n = names_new();

	names_add(n, "rota");
	names_add(n, "rota");
	ck_assert_str_eq(names_find(n, name_id("rota")), "rota");
	ck_assert_str_eq(names_find(n, 0), "-");
	ck_assert_str_eq(names_find(n, 77), "?");
	names_free(n);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("settings");

	tcase_add_test(tc, scripted);
	tcase_add_test(tc, defaults_are_filled_in);
	tcase_add_test(tc, incarnations_differ);
	tcase_add_test(tc, unreadable_file);
	tcase_add_loop_test(tc, example_is_valid, 0,
			    (int)G_N_ELEMENTS(examples));
	tcase_add_loop_test(tc, address_text, 0, (int)G_N_ELEMENTS(addresses));
	tcase_add_test(tc, key_hashes);
	tcase_add_test(tc, names_are_found);
	return suite_run("settings", tc);
}
