/**
 * @file test_front_lifecycle.c
 * Disconnects of clients, shutdown, connection limit and late answers.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../src/token.h"
#include "front_fixture.h"
#include "suite.h"

#define BODY "{\"database\":\"rota\",\"sql\":\"s\",\"mode\":\"read\"}"

static int call_status(struct front_fixture *f, bool http2)
{
	struct call c = { .path = "/v1/statement",
			  .key = "k",
			  .body = BODY,
			  .http2 = http2 };

	front_fixture_call(f, &c);
	call_clear(&c);
	return (int)c.status;
}

static gpointer call_http1(gpointer arg)
{
	return GINT_TO_POINTER(call_status(arg, false));
}

static gpointer call_http2(gpointer arg)
{
	return GINT_TO_POINTER(call_status(arg, true));
}

static const GThreadFunc clients[] = { call_http1, call_http2 };

START_TEST(stop_finishes_open_requests)
{
	struct result result = { .execution = EXEC_RUN };
	struct settings s;
	struct front_fixture *f;
	GThread *client;
	struct call late_call = { .path = "/health" };

	front_fixture_settings(&s);
	f = front_fixture_new(&s);
	front_fixture_set_result(f, &result, NULL);
	front_fixture_defer(f);
	client = g_thread_new("client", clients[_i], f);
	ck_assert(front_fixture_wait_statements(f, 1));
	front_fixture_stop(f);
	front_fixture_call(f, &late_call);
	ck_assert_int_eq(late_call.status, 0);
	front_fixture_answer_last(f);
	ck_assert_int_eq(GPOINTER_TO_INT(g_thread_join(client)), 200);
	call_clear(&late_call);
	front_fixture_free(f);
}
END_TEST

START_TEST(free_answers_open_requests)
{
	struct settings s;
	struct front_fixture *f;
	GThread *client;

	front_fixture_settings(&s);
	f = front_fixture_new(&s);
	front_fixture_defer(f);
	client = g_thread_new("client", clients[_i], f);
	ck_assert(front_fixture_wait_statements(f, 1));
	front_fixture_free(f);
	ck_assert_int_eq(GPOINTER_TO_INT(g_thread_join(client)), 504);
}
END_TEST

#define WRITE "{\"database\":\"rota\",\"sql\":\"s\",\"mode\":\"write\"}"

/* Sends a write; returns the session token of its answer, a new string. */
static gpointer call_write(gpointer arg)
{
	struct call c = { .path = "/v1/statement", .key = "k", .body = WRITE };
	char *token;

	front_fixture_call(arg, &c);
	token = call_header(&c, "session-token");
	call_clear(&c);
	return token;
}

START_TEST(lost_write_makes_session_unsure)
{
	struct settings s;
	struct token t;
	struct front_fixture *f;
	GThread *client;
	char *text;

	front_fixture_settings(&s);
	f = front_fixture_new(&s);
	front_fixture_defer(f);
	client = g_thread_new("client", call_write, f);
	ck_assert(front_fixture_wait_statements(f, 1));
	front_fixture_free(f);
	text = g_thread_join(client);
	ck_assert_ptr_nonnull(text);
	ck_assert(token_read(&t, s.token_secret, text, strlen(text)));
	ck_assert_uint_eq(t.count, 1);
	ck_assert(t.entries[0].unsure);
	g_free(text);
}
END_TEST

#define RAW_REQUEST                                             \
	"POST /v1/statement HTTP/1.1\r\nHost: a\r\n"            \
	"Authorization: Bearer k\r\nContent-Length: 45\r\n\r\n" \
	"{\"database\":\"rota\",\"sql\":\"s\",\"mode\":\"read\"}\r\n"

static void send_raw(int fd)
{
	ck_assert_int_eq(send(fd, RAW_REQUEST, strlen(RAW_REQUEST), 0),
			 strlen(RAW_REQUEST));
}

/* A disconnect is noticed even while bytes from that client are unread. */
START_TEST(disconnect_is_reported)
{
	struct settings s;
	struct front_fixture *f;
	int fd;

	front_fixture_settings(&s);
	f = front_fixture_new(&s);
	front_fixture_defer(f);
	fd = front_fixture_connect(f);
	send_raw(fd);
	send_raw(fd);
	ck_assert(front_fixture_wait_statements(f, 1));
	close(fd);
	ck_assert(front_fixture_wait_disconnects(f, 1));
	front_fixture_free(f);
}
END_TEST

/* An answer after the disconnect is dropped; it reaches no other client. */
START_TEST(answer_after_disconnect_is_dropped)
{
	struct result result = { .execution = EXEC_RUN };
	struct settings s;
	struct front_fixture *f;
	GThread *client;
	int fd;

	front_fixture_settings(&s);
	f = front_fixture_new(&s);
	front_fixture_set_result(f, &result, "{\"rows\":[]}");
	front_fixture_defer(f);
	fd = front_fixture_connect(f);
	send_raw(fd);
	ck_assert(front_fixture_wait_statements(f, 1));
	close(fd);
	ck_assert(front_fixture_wait_disconnects(f, 1));
	front_fixture_answer_last(f);
	client = g_thread_new("client", call_http2, f);
	ck_assert(front_fixture_wait_statements(f, 2));
	front_fixture_answer_last(f);
	g_thread_join(client);
	front_fixture_free(f);
}
END_TEST

/* A cancelled HTTP/2 stream is reported as a disconnect. */
START_TEST(cancelled_stream_is_reported)
{
	struct call c = { .path = "/v1/statement",
			  .key = "k",
			  .body = BODY,
			  .http2 = true,
			  .timeout_ms = 200 };
	struct settings s;
	struct front_fixture *f;

	front_fixture_settings(&s);
	f = front_fixture_new(&s);
	front_fixture_defer(f);
	front_fixture_call(f, &c);
	ck_assert_int_eq(c.status, 0);
	ck_assert(front_fixture_wait_disconnects(f, 1));
	call_clear(&c);
	front_fixture_free(f);
}
END_TEST

/*
 * Sequence numbers repeat after a restart, so an answer is matched by its
 * incarnation too.
 */
START_TEST(answer_to_other_incarnation_is_dropped)
{
	struct result result = { .execution = EXEC_RUN };
	struct settings s;
	struct front_fixture *f;
	GThread *client;

	front_fixture_settings(&s);
	f = front_fixture_new(&s);
	front_fixture_set_result(f, &result, NULL);
	front_fixture_defer(f);
	client = g_thread_new("client", call_http1, f);
	ck_assert(front_fixture_wait_statements(f, 1));
	front_fixture_answer_as(f, s.core.incarnation + 1);
	ck_assert_uint_eq(front_fixture_open_requests(f), 1);
	front_fixture_answer_as(f, s.core.incarnation);
	ck_assert_int_eq(GPOINTER_TO_INT(g_thread_join(client)), 200);
	front_fixture_free(f);
}
END_TEST

/* A connection beyond the limit is accepted once another one is closed. */
START_TEST(connections_are_limited)
{
	struct call status = { .path = "/status", .operators = true };
	struct settings s;
	struct front_fixture *f;
	int first, second;

	front_fixture_settings(&s);
	s.connection_limit = 1;
	f = front_fixture_new(&s);
	first = front_fixture_connect(f);
	send_raw(first);
	ck_assert(front_fixture_wait_statements(f, 1));
	second = front_fixture_connect(f);
	send_raw(second);
	front_fixture_call(f, &status);
	ck_assert_int_eq(status.status, 200);
	call_clear(&status);
	send_raw(first);
	ck_assert(front_fixture_wait_statements(f, 2));
	ck_assert_int_eq(front_fixture_statements(f), 2);
	close(first);
	ck_assert(front_fixture_wait_statements(f, 3));
	close(second);
	front_fixture_free(f);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("front_lifecycle");

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, stop_finishes_open_requests, 0, 2);
	tcase_add_loop_test(tc, free_answers_open_requests, 0, 2);
	tcase_add_test(tc, lost_write_makes_session_unsure);
	tcase_add_test(tc, disconnect_is_reported);
	tcase_add_test(tc, answer_after_disconnect_is_dropped);
	tcase_add_test(tc, cancelled_stream_is_reported);
	tcase_add_test(tc, answer_to_other_incarnation_is_dropped);
	tcase_add_test(tc, connections_are_limited);
	return suite_run("front_lifecycle", tc);
}
