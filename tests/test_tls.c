/** @file test_tls.c Clients over TLS, with the protocol chosen by ALPN. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "front_fixture.h"
#include "suite.h"
#include "tls_files.h"

#define BODY "{\"database\":\"rota\",\"sql\":\"s\",\"mode\":\"read\"}"

static void assert_served(struct front_fixture *f, bool http2)
{
	struct call c = { .path = "/v1/statement",
			  .key = "k",
			  .body = BODY,
			  .tls = true,
			  .http2 = http2 };

	front_fixture_call(f, &c);
	ck_assert_int_eq(c.status, 200);
	ck_assert(g_str_has_prefix(c.headers->str,
				   http2 ? "HTTP/2" : "HTTP/1.1"));
	call_clear(&c);
}

START_TEST(serves_both_protocols)
{
	struct call cleartext = { .path = "/health" };
	struct settings s;
	struct front_fixture *f;

	front_fixture_settings(&s);
	tls_files_make(&s);
	f = front_fixture_new(&s);
	assert_served(f, false);
	assert_served(f, true);
	front_fixture_call(f, &cleartext);
	ck_assert_int_eq(cleartext.status, 0);
	call_clear(&cleartext);
	front_fixture_free(f);
	tls_files_remove(&s);
}
END_TEST

static char *start_fault(const struct settings *s)
{
	char fault[SETTINGS_FAULT_BYTES] = "";
	struct front_hooks hooks = { 0 };
	struct loop *loop = loop_new();
	struct bodies *bodies = bodies_new();
	struct front *f = front_new(loop, s, bodies, &hooks, fault);

	ck_assert_ptr_null(f);
	bodies_free(bodies);
	loop_free(loop);
	return g_strdup(fault);
}

START_TEST(invalid_files_are_reported)
{
	struct settings good, s;
	char *fault;

	front_fixture_settings(&good);
	tls_files_make(&good);
	s = good;
	strcpy(s.tls_key, s.tls_certificate);
	fault = start_fault(&s);
	ck_assert_msg(strstr(fault, "allowed a PEM certificate") != NULL, "%s",
		      fault);
	g_free(fault);
	tls_files_remove(&good);
}
END_TEST

START_TEST(address_in_use_is_reported)
{
	struct settings s;
	struct front_fixture *f;
	char *fault;

	front_fixture_settings(&s);
	f = front_fixture_new(&s);
	strcpy(s.listen_clients, front_fixture_address(f, false));
	fault = start_fault(&s);
	ck_assert_msg(g_str_has_prefix(fault, "$.listen.callers: 127.0.0.1:"),
		      "%s", fault);
	g_free(fault);
	front_fixture_free(f);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("tls");

	tcase_set_timeout(tc, 30);
	tcase_add_test(tc, serves_both_protocols);
	tcase_add_test(tc, invalid_files_are_reported);
	tcase_add_test(tc, address_in_use_is_reported);
	return suite_run("tls", tc);
}
