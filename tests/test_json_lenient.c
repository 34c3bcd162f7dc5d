/**
 * @file test_json_lenient.c
 * What is left of JSON text of which single values cannot be parsed.
 */
#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "../src/json_lenient.h"
#include "suite.h"

/* @a left is NULL when the text is refused. */
static const struct {
	const char *text;
	unsigned int levels;
	const char *left;
	unsigned int dropped;
} rows[] = {
	/* Whole texts. */
	{ "{\"a\":[1,2],\"b\":\"x\"}", 0, "{\"a\":[1,2],\"b\":\"x\"}", 0 },
	{ " [1, 2] ", 3, "[1,2]", 0 },
	{ "\"x\"", 1, "\"x\"", 0 },
	/* One value is left out, with the element that is at the last level. */
	{ "[1,1e400,2]", 0, NULL, 0 },
	{ "[1,1e400,2]", 1, "[1,2]", 1 },
	{ "[1,12345678901234567890]", 1, "[1]", 1 },
	{ "{\"a\":\"\\u0000\",\"b\":2}", 1, "{\"b\":2}", 1 },
	{ "{\"a\":\"\\ud800\",\"b\":2}", 1, "{\"b\":2}", 1 },
	{ "{\"a\":\"\xff\",\"b\":2}", 1, "{\"b\":2}", 1 },
	{ "{\"a\\u0000\":1,\"b\":2}", 1, "{\"b\":2}", 1 },
	{ "{\"a\":[{\"b\":1e400,\"c\":3}]}", 1, "{}", 1 },
	{ "{\"a\":[{\"b\":1e400,\"c\":3}]}", 2, "{\"a\":[]}", 1 },
	{ "{\"a\":[{\"b\":1e400,\"c\":3}]}", 3, "{\"a\":[{\"c\":3}]}", 1 },
	{ "{\"a\":[1e400,{}],\"b\":1e400}", 3, "{\"a\":[{}]}", 2 },
	/* Brackets and quotes within strings. */
	{ "{\"a\":\"]}\\\"\\\\\",\"b\":1e400}", 1, "{\"a\":\"]}\\\"\\\\\"}",
	  1 },
	{ "{\"a\":\"\\u0000]}\\\"\",\"b\":[\"]\"]}", 1, "{\"b\":[\"]\"]}", 1 },
	/* Texts that are no JSON, also beside such a value. */
	{ "", 3, NULL, 0 },
	{ "  ", 3, NULL, 0 },
	{ "1e400", 3, NULL, 0 },
	{ "[1e400", 3, NULL, 0 },
	{ "[1e400 2]", 3, NULL, 0 },
	{ "[1e400,]", 3, NULL, 0 },
	{ "[1e400}", 3, NULL, 0 },
	{ "{\"a\":1e400", 3, NULL, 0 },
	{ "{\"a\" 1e400}", 3, NULL, 0 },
	{ "{\"a\":1e400,}", 3, NULL, 0 },
	{ "{\"a\":\"\\u0000", 3, NULL, 0 },
	{ "[1e400] x", 3, NULL, 0 },
	{ "[1e400,\"\\", 3, NULL, 0 },
};

START_TEST(values_that_cannot_be_parsed_are_left_out)
{
	unsigned int dropped;
	/* No byte follows the text, so that reading beyond it is noticed. */
	size_t bytes = strlen(rows[_i].text);
	char *text = g_memdup2(rows[_i].text, bytes);
	json_t *json =
		json_lenient_load(text, bytes, rows[_i].levels, &dropped);
	char *left =
		json ? json_dumps(json, JSON_COMPACT | JSON_ENCODE_ANY) : NULL;

	if (rows[_i].left) {
		ck_assert_pstr_eq(left, rows[_i].left);
		ck_assert_uint_eq(dropped, rows[_i].dropped);
	} else {
		ck_assert_ptr_null(json);
	}
	free(left);
	json_decref(json);
	g_free(text);
}
END_TEST

/* Returns {"a": [[...]], "b": 2} with @a depth arrays. */
static char *nested(guint depth)
{
	char *open = g_strnfill(depth, '['), *close = g_strnfill(depth, ']');
	char *text = g_strconcat("{\"a\":", open, close, ",\"b\":2}", NULL);

	g_free(open);
	g_free(close);
	return text;
}

/* What was parsed can be written again as a part of a deeper document. */
START_TEST(deeply_nested_value_is_left_out)
{
	static const guint depths[] = { 100, 510, 600, 2040, 2100, 100000 };
	unsigned int dropped;
	json_t *json, *within;
	char *text, *dumped;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(depths); i++) {
		text = nested(depths[i]);
		json = json_lenient_load(text, strlen(text), 1, &dropped);
		ck_assert_ptr_nonnull(json);
		ck_assert_uint_eq(dropped, depths[i] > 512);
		ck_assert_int_eq(json_integer_value(json_object_get(json, "b")),
				 2);
		within = json_pack("{s:{s:{s:o}}}", "x", "y", "z", json);
		dumped = json_dumps(within, JSON_COMPACT);
		ck_assert_ptr_nonnull(dumped);
		free(dumped);
		json_decref(within);
		g_free(text);
	}
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("json_lenient");

	tcase_add_loop_test(tc, values_that_cannot_be_parsed_are_left_out, 0,
			    sizeof(rows) / sizeof(rows[0]));
	tcase_add_test(tc, deeply_nested_value_is_left_out);
	return suite_run("json_lenient", tc);
}
