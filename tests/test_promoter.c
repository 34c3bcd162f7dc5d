/**
 * @file test_promoter.c
 * Fencing tokens and promote calls against a simulated store: which calls are
 * sent, and that a call without an answer is not executed later.
 */
#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../platform/adapter.h"
#include "../src/http_call.h"
#include "../src/promoter.h"
#include "../standin/object_store.h"
#include "suite.h"

#define SERVICE "rota-db"
#define WAIT_US (10 * G_TIME_SPAN_SECOND)

struct fixture {
	struct line_members *members;
	struct object_store *store;
	struct store_era era;
	struct loop *loop;
	struct promoter *promoter;
	GThread *thread;
	GAsyncQueue *events; /* copies of the delivered events */
	struct proxy_event last;
};

static void take_event(void *owner, const struct proxy_event *e)
{
	struct fixture *r = owner;

	g_async_queue_push(r->events, g_memdup2(e, sizeof(*e)));
}

static gpointer run_loop(gpointer loop)
{
	loop_run(loop);
	return NULL;
}

static void perform(struct fixture *r, const struct proxy_action *a)
{
	struct proxy_event *e;

	promoter_submit(r->promoter, a);
	e = g_async_queue_timeout_pop(r->events, WAIT_US);
	ck_assert_ptr_nonnull(e);
	r->last = *e;
	g_free(e);
}

static void fixture_open(struct fixture *r, bool fenced)
{
	struct proxy_sink sink = { take_event, r };
	struct promoter_options o = { .api = &platform_site,
				      .instance = "proxy-1",
				      .fenced = fenced,
				      .token_limit = HM_SEC,
				      .call_limit = HM_SEC };

	memset(r, 0, sizeof(*r));
	r->members = line_members_new(SERVICE);
	r->store = object_store_new(r->members);
	ck_assert(r->members && r->store);
	r->loop = loop_new();
	o.store_address = object_store_address(r->store);
	o.promote_address = o.store_address;
	o.era = &r->era;
	r->promoter = promoter_new(r->loop, &o, sink);
	r->events = g_async_queue_new();
	r->thread = g_thread_new("loop", run_loop, r->loop);
}

static void fixture_close(struct fixture *r)
{
	loop_stop(r->loop);
	g_thread_join(r->thread);
	promoter_free(r->promoter);
	g_async_queue_unref(r->events);
	loop_free(r->loop);
	object_store_free(r->store);
	line_members_free(r->members);
}

static uint64_t take_token(struct fixture *r)
{
	struct proxy_action a = { .kind = PROXY_TAKE_TOKEN };

	g_strlcpy(a.duty.service, SERVICE, sizeof(a.duty.service));
	perform(r, &a);
	ck_assert_int_eq(r->last.kind, PROXY_TOKEN);
	ck_assert(r->last.token.taken);
	return r->last.token.token;
}

static enum promote_outcome promote(struct fixture *r, const char *endpoint,
				    uint64_t token)
{
	struct proxy_action a = { .kind = PROXY_PROMOTE };

	a.duty.token = token;
	g_strlcpy(a.duty.service, SERVICE, sizeof(a.duty.service));
	g_strlcpy(a.duty.endpoint, endpoint, sizeof(a.duty.endpoint));
	perform(r, &a);
	ck_assert_int_eq(r->last.kind, PROXY_PROMOTED);
	return r->last.promoted.outcome;
}

/*
 * Guards against two primaries where the platform does not check tokens: a
 * monitor is delayed between taking a token and sending its promote call, and
 * another monitor takes a newer token meanwhile.
 */
START_TEST(older_token_is_not_sent)
{
	uint64_t first, second;
	struct fixture r;

	fixture_open(&r, false);
	first = take_token(&r);
	second = take_token(&r);
	ck_assert_uint_gt(second, first);
	ck_assert_int_eq(promote(&r, "i-2", first), PROMOTE_REJECTED);
	ck_assert_int_eq(line_members_primary(r.members), 0);
	ck_assert_int_eq(promote(&r, "i-3", second), PROMOTE_DONE);
	ck_assert_int_eq(line_members_primary(r.members), 2);
	fixture_close(&r);
}
END_TEST

START_TEST(token_that_cannot_be_looked_up_is_not_sent)
{
	uint64_t token;
	struct fixture r;

	fixture_open(&r, false);
	token = take_token(&r);
	object_store_set_down(r.store, true);
	ck_assert_int_eq(promote(&r, "i-2", token), PROMOTE_REFUSED);
	object_store_set_down(r.store, false);
	ck_assert_int_eq(line_members_primary(r.members), 0);
	ck_assert_int_eq(promote(&r, "i-2", token), PROMOTE_DONE);
	fixture_close(&r);
}
END_TEST

START_TEST(fenced_call_is_sent_without_lookup)
{
	uint64_t first;
	struct fixture r;

	fixture_open(&r, true);
	first = take_token(&r);
	take_token(&r);
	/* The simulated platform saw no newer token, so it accepts this one. */
	ck_assert_int_eq(promote(&r, "i-2", first), PROMOTE_DONE);
	fixture_close(&r);
}
END_TEST

/*
 * A call that timed out must not be executed once a network partition ends: its
 * connection is reset, so that data still on its way is discarded.
 */
START_TEST(call_without_an_answer_is_reset)
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	int conn, listener = socket(AF_INET, SOCK_STREAM, 0);
	socklen_t bytes = sizeof(at);
	struct http_client *http;
	struct http_reply reply;
	char address[ADDRESS_BYTES], buffer[1024];
	ssize_t n;

	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert_int_eq(bind(listener, (struct sockaddr *)&at, bytes), 0);
	ck_assert_int_eq(listen(listener, 1), 0);
	getsockname(listener, (struct sockaddr *)&at, &bytes);
	g_snprintf(address, sizeof(address), "127.0.0.1:%u",
		   ntohs(at.sin_port));
	http = http_client_new(address);
	http_call(http, "POST", "/promote", NULL, "{}",
		  loop_now() + 200 * HM_MS, &reply);
	ck_assert(!reply.answered);
	http_reply_clear(&reply);
	conn = accept(listener, NULL, NULL);
	ck_assert_int_ge(conn, 0);
	do
		n = recv(conn, buffer, sizeof(buffer), 0);
	while (n > 0);
	ck_assert_int_eq(n, -1);
	ck_assert_int_eq(errno, ECONNRESET);
	close(conn);
	close(listener);
	http_client_free(http);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("promoter");

	tcase_add_test(tc, older_token_is_not_sent);
	tcase_add_test(tc, token_that_cannot_be_looked_up_is_not_sent);
	tcase_add_test(tc, fenced_call_is_sent_without_lookup);
	tcase_add_test(tc, call_without_an_answer_is_reset);
	return suite_run("promoter", tc);
}
