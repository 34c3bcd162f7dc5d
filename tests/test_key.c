/**
 * @file test_key.c
 * Tests that a client's API key appears neither in the log, the metrics, the
 * status nor the answers, and is not sent to endpoints.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../src/log.h"
#include "front_fixture.h"
#include "suite.h"

#define KEY "k7Zq-secret-Wx93"
#define TEXT_BYTES (4 * 1024 * 1024)
#define BODY "{\"database\":\"rota\",\"sql\":\"s\",\"mode\":\"read\"}"

static const struct {
	const char *path;
	const char *body;
	const char *token;
	bool http2;
} calls[] = {
	{ "/v1/statement", BODY, NULL, false },
	{ "/v1/statement", BODY, NULL, true },
	{ "/v1/statement", BODY, "forged", false },
	{ "/v1/statement", "{", NULL, false },
	{ "/v1/statement", "{\"colour\":1}", NULL, false },
	{ "/v1/transaction", "{\"database\":\"rota\"}", NULL, false },
	{ "/v1/transaction/1-2-3-4/commit", "", NULL, false },
	{ "/v1/transaction/x/commit", "", NULL, false },
	{ "/v1/nothing", BODY, NULL, false },
	{ "/health", NULL, NULL, false },
	{ "/v1/api", NULL, NULL, false },
};

/*
 * Requests with the key in a wrong place: their own answers may contain it, but
 * not the log, the metrics or the status.
 */
static const struct {
	const char *path;
	const char *body;
	const char *token;
} misplaced[] = {
	{ "/v1/statement",
	  "{\"database\":\"rota\",\"sql\":\"s\",\"mode\":\"" KEY "\"}", NULL },
	{ "/v1/statement", "{\"" KEY "\":1}", NULL },
	{ "/v1/statement", KEY, NULL },
	{ "/v1/statement", BODY, KEY },
	{ "/v1/transaction/" KEY "/commit", "", NULL },
	{ "/v1/" KEY, BODY, NULL },
	{ "/health?key=" KEY, NULL, NULL },
};

static void assert_absent(const char *text, const char *where)
{
	ck_assert_msg(!strstr(text, KEY), "%s: %s", where, text);
}

static void good_calls(struct front_fixture *f)
{
	size_t i;
	char *body;

	for (i = 0; i < G_N_ELEMENTS(calls); i++) {
		struct call c = { .path = calls[i].path,
				  .key = KEY,
				  .body = calls[i].body,
				  .token = calls[i].token,
				  .http2 = calls[i].http2 };

		front_fixture_call(f, &c);
		ck_assert_int_ne(c.status, 0);
		assert_absent(c.answer->str, c.path);
		assert_absent(c.headers->str, c.path);
		call_clear(&c);
	}
	body = front_fixture_last_body(f);
	assert_absent(body, "body of the statement");
	g_free(body);
}

static void bad_calls(struct front_fixture *f)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(misplaced); i++) {
		struct call c = { .path = misplaced[i].path,
				  .key = KEY,
				  .body = misplaced[i].body,
				  .token = misplaced[i].token };

		front_fixture_call(f, &c);
		ck_assert_int_ne(c.status, 0);
		call_clear(&c);
	}
}

static void operators_calls(struct front_fixture *f)
{
	struct call metrics = { .path = "/metrics", .operators = true };
	struct call status = { .path = "/status", .operators = true };

	front_fixture_call(f, &metrics);
	ck_assert_int_eq(metrics.status, 200);
	assert_absent(metrics.answer->str, "metrics");
	front_fixture_call(f, &status);
	ck_assert_int_eq(status.status, 200);
	assert_absent(status.answer->str, "status");
	call_clear(&metrics);
	call_clear(&status);
}

START_TEST(key_is_not_disclosed)
{
	char *text = g_malloc0(TEXT_BYTES);
	FILE *file = tmpfile();
	struct settings s;
	struct front_fixture *f;

	log_open("debug", fileno(file));
	front_fixture_settings(&s);
	f = front_fixture_new(&s);
	good_calls(f);
	bad_calls(f);
	operators_calls(f);
	front_fixture_free(f);
	log_close();
	rewind(file);
	ck_assert_uint_lt(fread(text, 1, TEXT_BYTES, file), TEXT_BYTES);
	ck_assert_ptr_nonnull(strstr(text, "event=answer"));
	assert_absent(text, "log");
	fclose(file);
	g_free(text);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("key");

	tcase_add_test(tc, key_is_not_disclosed);
	return suite_run("key", tc);
}
