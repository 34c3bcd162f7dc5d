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
#include "../src/names.h"
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
	struct voter_record record; /* of the last event, no voters: none */
};

/* An event and the record that it points to. */
struct taken {
	struct proxy_event event;
	struct voter_record record;
};

static void take_event(void *owner, const struct proxy_event *e)
{
	struct fixture *r = owner;
	struct taken *t = g_new0(struct taken, 1);
	const struct voter_record *record = NULL;

	t->event = *e;
	if (e->kind == PROXY_TOKEN)
		record = e->token.record;
	else if (e->kind == PROXY_VOTERS)
		record = e->voters.record;
	if (record)
		t->record = *record;
	g_async_queue_push(r->events, t);
}

static gpointer run_loop(gpointer loop)
{
	loop_run(loop);
	return NULL;
}

static void perform(struct fixture *r, const struct proxy_action *a)
{
	struct taken *t;

	promoter_submit(r->promoter, a);
	t = g_async_queue_timeout_pop(r->events, WAIT_US);
	ck_assert_ptr_nonnull(t);
	r->last = t->event;
	r->record = t->record;
	g_free(t);
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

/* Writes @a record, NULL: only reads the stored one. */
static void record_voters(struct fixture *r, const struct voter_record *record)
{
	struct proxy_action a = { .kind = PROXY_RECORD_VOTERS };
	struct voter_record copy;

	g_strlcpy(a.duty.service, SERVICE, sizeof(a.duty.service));
	if (record) {
		copy = *record;
		a.duty.record = &copy;
	}
	perform(r, &a);
	ck_assert_int_eq(r->last.kind, PROXY_VOTERS);
}

/* Records i-1 and i-2 as the voters. */
static void record_two_voters(struct fixture *r)
{
	struct voter_record first;

	record_voters(r, NULL);
	first = r->record;
	voter_record_add(&first, name_id("i-1"), 11, "i-1", "10.0.0.1:1");
	voter_record_add(&first, name_id("i-2"), 12, "i-2", "10.0.0.2:1");
	record_voters(r, &first);
	ck_assert_ptr_nonnull(r->last.voters.record);
}

START_TEST(record_is_read_as_it_was_written)
{
	struct voter_record written;
	struct fixture r;

	fixture_open(&r, true);
	record_voters(&r, NULL);
	ck_assert_ptr_nonnull(r.last.voters.record);
	ck_assert(!voters_known(&r.record.voters));
	record_two_voters(&r);
	written = r.record;
	ck_assert_uint_eq(written.voters.count, 2);
	ck_assert(written.voters.at.revision);
	record_voters(&r, NULL);
	ck_assert_mem_eq(&r.record, &written, sizeof(written));
	ck_assert_str_eq(r.record.contacts[1].address, "10.0.0.2:1");
	ck_assert_uint_eq(r.record.voters.list[1].started, 12);
	object_store_set_down(r.store, true);
	record_voters(&r, NULL);
	ck_assert_ptr_null(r.last.voters.record);
	fixture_close(&r);
}
END_TEST

/*
 * Guards against lost commits: a member became a voter after a change of
 * primary had counted the voters. The token and the voters are one object, so
 * a record from before the token was taken is not written.
 */
START_TEST(token_is_taken_with_the_voters)
{
	struct voter_record before;
	struct fixture r;

	fixture_open(&r, true);
	record_two_voters(&r);
	before = r.record;
	ck_assert(!before.changing);
	take_token(&r);
	ck_assert_uint_eq(r.record.voters.count, 2);
	ck_assert(r.record.changing);
	ck_assert_uint_eq(r.record.token, r.last.token.token);
	voter_record_add(&before, name_id("i-3"), 13, "i-3", "10.0.0.3:1");
	record_voters(&r, &before);
	ck_assert_uint_eq(r.record.voters.count, 2);
	ck_assert(r.record.changing);
	before = r.record;
	before.changing = false;
	record_voters(&r, &before);
	ck_assert(!r.record.changing);
	ck_assert_uint_eq(r.record.token, before.token);
	fixture_close(&r);
}
END_TEST

/*
 * Guards against lost commits: a token brought that the service had a commit, and
 * owners acknowledged the first ones while a call with an older token was under
 * way, made when empty logs counted as complete.
 */
START_TEST(token_does_not_bring_the_first_commit)
{
	struct proxy_action a = { .kind = PROXY_TAKE_TOKEN };
	struct voter_record seen;
	struct fixture r;

	fixture_open(&r, true);
	record_two_voters(&r);
	ck_assert(!r.record.committed);
	seen = r.record;
	seen.committed = true;
	a.duty.record = &seen;
	g_strlcpy(a.duty.service, SERVICE, sizeof(a.duty.service));
	perform(&r, &a);
	ck_assert(r.last.token.taken);
	ck_assert(r.record.changing);
	ck_assert(!r.record.committed);
	fixture_close(&r);
}
END_TEST

/* An older build takes a token without a record of voters. */
START_TEST(token_brings_the_first_record)
{
	struct proxy_action a = { .kind = PROXY_TAKE_TOKEN };
	struct voter_record first = { 0 };
	struct fixture r;

	fixture_open(&r, true);
	take_token(&r);
	ck_assert(!voters_known(&r.record.voters));
	voter_record_add(&first, name_id("i-1"), 11, "i-1", "10.0.0.1:1");
	g_strlcpy(a.duty.service, SERVICE, sizeof(a.duty.service));
	a.duty.record = &first;
	perform(&r, &a);
	ck_assert_uint_eq(r.record.voters.count, 1);
	record_voters(&r, NULL);
	ck_assert_uint_eq(r.record.voters.count, 1);
	fixture_close(&r);
}
END_TEST

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

	tcase_add_test(tc, record_is_read_as_it_was_written);
	tcase_add_test(tc, token_is_taken_with_the_voters);
	tcase_add_test(tc, token_does_not_bring_the_first_commit);
	tcase_add_test(tc, token_brings_the_first_record);
	tcase_add_test(tc, older_token_is_not_sent);
	tcase_add_test(tc, token_that_cannot_be_looked_up_is_not_sent);
	tcase_add_test(tc, fenced_call_is_sent_without_lookup);
	tcase_add_test(tc, call_without_an_answer_is_reset);
	return suite_run("promoter", tc);
}
