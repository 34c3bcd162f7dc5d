/** @file test_front_lifecycle.c Callers that go away, stops, limits, late answers. */
#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../src/token.h"
#include "front_fixture.h"
#include "suite.h"

#define BODY "{\"database\":\"rota\",\"sql\":\"s\",\"mode\":\"read\"}"

static int call_status(struct world *w, bool http2)
{
	struct call c = { .path = "/v1/statement",
			  .key = "k",
			  .body = BODY,
			  .http2 = http2 };

	world_call(w, &c);
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

static const GThreadFunc callers[] = { call_http1, call_http2 };

START_TEST(stop_finishes_open_requests)
{
	struct result plan = { .execution = EXEC_RUN };
	struct settings s;
	struct world *w;
	GThread *caller;
	struct call late = { .path = "/health" };

	world_settings(&s);
	w = world_new(&s);
	world_plan(w, &plan, NULL);
	world_hold(w);
	caller = g_thread_new("caller", callers[_i], w);
	ck_assert(world_seen(w, 1));
	world_stop_front(w);
	world_call(w, &late);
	ck_assert_int_eq(late.status, 0);
	world_release(w);
	ck_assert_int_eq(GPOINTER_TO_INT(g_thread_join(caller)), 200);
	call_clear(&late);
	world_free(w);
}
END_TEST

START_TEST(free_answers_what_is_open)
{
	struct settings s;
	struct world *w;
	GThread *caller;

	world_settings(&s);
	w = world_new(&s);
	world_hold(w);
	caller = g_thread_new("caller", callers[_i], w);
	ck_assert(world_seen(w, 1));
	world_free(w);
	ck_assert_int_eq(GPOINTER_TO_INT(g_thread_join(caller)), 504);
}
END_TEST

#define WRITE "{\"database\":\"rota\",\"sql\":\"s\",\"mode\":\"write\"}"

/* Session token that a write is answered with, a new string. */
static gpointer call_write(gpointer arg)
{
	struct call c = { .path = "/v1/statement", .key = "k", .body = WRITE };
	char *token;

	world_call(arg, &c);
	token = call_header(&c, "session-token");
	call_clear(&c);
	return token;
}

START_TEST(lost_write_makes_session_unsure)
{
	struct settings s;
	struct token t;
	struct world *w;
	GThread *caller;
	char *text;

	world_settings(&s);
	w = world_new(&s);
	world_hold(w);
	caller = g_thread_new("caller", call_write, w);
	ck_assert(world_seen(w, 1));
	world_free(w);
	text = g_thread_join(caller);
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

/* The end of a caller is noticed although more of its bytes wait unread. */
START_TEST(tells_that_caller_is_gone)
{
	struct settings s;
	struct world *w;
	int fd;

	world_settings(&s);
	w = world_new(&s);
	world_hold(w);
	fd = world_connect(w);
	send_raw(fd);
	send_raw(fd);
	ck_assert(world_seen(w, 1));
	close(fd);
	ck_assert(world_gone(w, 1));
	world_free(w);
}
END_TEST

/* Answers of requests on one connection keep to their own streams. */
START_TEST(late_answer_of_gone_caller_is_dropped)
{
	struct result plan = { .execution = EXEC_RUN };
	struct settings s;
	struct world *w;
	GThread *caller;
	int fd;

	world_settings(&s);
	w = world_new(&s);
	world_plan(w, &plan, "{\"rows\":[]}");
	world_hold(w);
	fd = world_connect(w);
	send_raw(fd);
	ck_assert(world_seen(w, 1));
	close(fd);
	ck_assert(world_gone(w, 1));
	world_release(w);
	caller = g_thread_new("caller", call_http2, w);
	ck_assert(world_seen(w, 2));
	world_release(w);
	g_thread_join(caller);
	world_free(w);
}
END_TEST

/* The end of an HTTP/2 stream is the end of its caller. */
START_TEST(tells_that_stream_is_gone)
{
	struct call c = { .path = "/v1/statement",
			  .key = "k",
			  .body = BODY,
			  .http2 = true,
			  .limit_ms = 200 };
	struct settings s;
	struct world *w;

	world_settings(&s);
	w = world_new(&s);
	world_hold(w);
	world_call(w, &c);
	ck_assert_int_eq(c.status, 0);
	ck_assert(world_gone(w, 1));
	call_clear(&c);
	world_free(w);
}
END_TEST

/* The same number of another life is another request. */
START_TEST(answer_of_another_life_is_dropped)
{
	struct result plan = { .execution = EXEC_RUN };
	struct settings s;
	struct world *w;
	GThread *caller;

	world_settings(&s);
	w = world_new(&s);
	world_plan(w, &plan, NULL);
	world_hold(w);
	caller = g_thread_new("caller", call_http1, w);
	ck_assert(world_seen(w, 1));
	world_answer_from(w, s.core.incarnation + 1);
	ck_assert_uint_eq(world_open(w), 1);
	world_answer_from(w, s.core.incarnation);
	ck_assert_int_eq(GPOINTER_TO_INT(g_thread_join(caller)), 200);
	world_free(w);
}
END_TEST

/* Beyond the limit a connection waits until another one ends. */
START_TEST(connections_are_limited)
{
	struct call status = { .path = "/status", .operators = true };
	struct settings s;
	struct world *w;
	int first, second;

	world_settings(&s);
	s.connection_limit = 1;
	w = world_new(&s);
	first = world_connect(w);
	send_raw(first);
	ck_assert(world_seen(w, 1));
	second = world_connect(w);
	send_raw(second);
	world_call(w, &status);
	ck_assert_int_eq(status.status, 200);
	call_clear(&status);
	send_raw(first);
	ck_assert(world_seen(w, 2));
	ck_assert_int_eq(world_count(w), 2);
	close(first);
	ck_assert(world_seen(w, 3));
	close(second);
	world_free(w);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("front_life");

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, stop_finishes_open_requests, 0, 2);
	tcase_add_loop_test(tc, free_answers_what_is_open, 0, 2);
	tcase_add_test(tc, lost_write_makes_session_unsure);
	tcase_add_test(tc, tells_that_caller_is_gone);
	tcase_add_test(tc, late_answer_of_gone_caller_is_dropped);
	tcase_add_test(tc, tells_that_stream_is_gone);
	tcase_add_test(tc, answer_of_another_life_is_dropped);
	tcase_add_test(tc, connections_are_limited);
	return suite_run("front_life", tc);
}
