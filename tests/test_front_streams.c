/**
 * @file test_front_streams.c
 * Each client gets the complete answer to its own request, in whatever order
 * the requests are answered, also with many requests on one HTTP/2 connection.
 */
#include <check.h>
#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "front_fixture.h"
#include "suite.h"
#include "tls_files.h"

#define CALLS 24
#define PADDING 300000
#define READ_BYTES 65536
#define WAIT_MS 50

/** A request on the shared connection. */
struct stream {
	CURL *curl;
	char *body;
	char *marker; /**< text that only this request contains */
	GString *answer;
};

static size_t collect(char *data, size_t size, size_t count, void *out)
{
	g_string_append_len(out, data, (gssize)(size * count));
	return size * count;
}

static void stream_start(struct stream *s, CURLM *multi, const char *url,
			 struct curl_slist *headers, int number)
{
	s->marker = g_strdup_printf("mark-%d-end", number);
	s->body = g_strdup_printf("{\"database\":\"rota\",\"sql\":\"%s\","
				  "\"mode\":\"read\"}",
				  s->marker);
	s->answer = g_string_new(NULL);
	s->curl = curl_easy_init();
	curl_easy_setopt(s->curl, CURLOPT_URL, url);
	curl_easy_setopt(s->curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(s->curl, CURLOPT_POSTFIELDS, s->body);
	curl_easy_setopt(s->curl, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_2TLS);
	curl_easy_setopt(s->curl, CURLOPT_SSL_VERIFYPEER, 0L);
	curl_easy_setopt(s->curl, CURLOPT_SSL_VERIFYHOST, 0L);
	curl_easy_setopt(s->curl, CURLOPT_PIPEWAIT, 1L);
	curl_easy_setopt(s->curl, CURLOPT_WRITEFUNCTION, collect);
	curl_easy_setopt(s->curl, CURLOPT_WRITEDATA, s->answer);
	curl_multi_add_handle(multi, s->curl);
}

static void stream_drop(struct stream *s, CURLM *multi)
{
	curl_multi_remove_handle(multi, s->curl);
	curl_easy_cleanup(s->curl);
	g_string_free(s->answer, TRUE);
	g_free(s->body);
	g_free(s->marker);
}

/* Checks that the answer is complete and contains only its own marker. */
static void stream_end(struct stream *s, CURLM *multi, size_t padding)
{
	const char *at = strstr(s->answer->str, s->marker);
	long connects = 0;

	ck_assert_msg(at != NULL, "%s", s->marker);
	ck_assert_ptr_null(strstr(at + 1, "mark-"));
	ck_assert_uint_gt(s->answer->len, padding);
	ck_assert(g_str_has_suffix(s->answer->str, "\"]}"));
	curl_easy_getinfo(s->curl, CURLINFO_NUM_CONNECTS, &connects);
	ck_assert_int_eq(connects, 0);
	stream_drop(s, multi);
}

/** Arguments of echo_all(). */
struct echo_args {
	struct front_fixture *fixture;
	uint64_t seed;
};

static gpointer echo_all(gpointer arg)
{
	struct echo_args *e = arg;

	bool seen = front_fixture_wait_statements(e->fixture, CALLS + 1);

	front_fixture_echo_deferred(e->fixture, e->seed, PADDING);
	return GINT_TO_POINTER(seen);
}

static void perform(CURLM *multi)
{
	int running = 1;

	while (running) {
		ck_assert_int_eq(curl_multi_perform(multi, &running), CURLM_OK);
		curl_multi_wait(multi, NULL, 0, WAIT_MS, NULL);
	}
}

START_TEST(http2_answers_out_of_order)
{
	struct settings s;
	struct front_fixture *f;
	struct echo_args e = { .seed = (uint64_t)_i + 1 };
	struct stream first, streams[CALLS];
	struct curl_slist *headers;
	CURLM *multi;
	GThread *thread;
	char *url;
	int i;

	front_fixture_settings(&s);
	tls_files_make(&s);
	f = front_fixture_new(&s);
	e.fixture = f;
	multi = curl_multi_init();
	curl_multi_setopt(multi, CURLMOPT_PIPELINING, CURLPIPE_MULTIPLEX);
	headers = curl_slist_append(NULL, "Authorization: Bearer k");
	url = g_strdup_printf("https://%s/v1/statement",
			      front_fixture_address(f, false));
	/*
	 * curl sends several requests on one connection only after it has
	 * negotiated HTTP/2, so a first request runs alone.
	 */
	stream_start(&first, multi, url, headers, CALLS);
	perform(multi);
	front_fixture_defer(f);
	for (i = 0; i < CALLS; i++)
		stream_start(&streams[i], multi, url, headers, i);
	thread = g_thread_new("echo", echo_all, &e);
	perform(multi);
	ck_assert_msg(g_thread_join(thread) != NULL, "not all were seen");
	for (i = 0; i < CALLS; i++)
		stream_end(&streams[i], multi, PADDING);
	stream_drop(&first, multi);
	curl_multi_cleanup(multi);
	curl_slist_free_all(headers);
	g_free(url);
	front_fixture_free(f);
	tls_files_remove(&s);
}
END_TEST

#define RAW_REQUEST                                             \
	"POST /v1/statement HTTP/1.1\r\nHost: a\r\n"            \
	"Authorization: Bearer k\r\nContent-Length: 45\r\n\r\n" \
	"{\"database\":\"rota\",\"sql\":\"%d\",\"mode\":\"read\"}\r\n"

static void send_raw(int fd, int number)
{
	char *text = g_strdup_printf(RAW_REQUEST, number);

	ck_assert_int_eq(send(fd, text, strlen(text), 0), strlen(text));
	g_free(text);
}

/*
 * Reads until @a text was received @a times times or the connection is closed;
 * returns all that was read.
 */
static char *read_until(int fd, const char *text, guint times)
{
	GString *got = g_string_new(NULL);
	char part[READ_BYTES];
	ssize_t n = 1;
	guint seen = 0;

	while (n > 0 && seen < times) {
		const char *at = got->str;

		n = recv(fd, part, sizeof(part), 0);
		if (n > 0)
			g_string_append_len(got, part, n);
		for (seen = 0, at = got->str; (at = strstr(at, text)); at++)
			seen++;
	}
	return g_string_free(got, FALSE);
}

/* Pipelined HTTP/1 requests are answered one after another. */
START_TEST(http1_pipelined_requests)
{
	struct settings s;
	struct front_fixture *f;
	const char *first;
	char *text;
	int fd;

	front_fixture_settings(&s);
	f = front_fixture_new(&s);
	front_fixture_defer(f);
	fd = front_fixture_connect(f);
	send_raw(fd, 1);
	send_raw(fd, 2);
	ck_assert(front_fixture_wait_statements(f, 1));
	front_fixture_echo_deferred(f, 1, 0);
	ck_assert(front_fixture_wait_statements(f, 2));
	front_fixture_echo_deferred(f, 1, 0);
	text = read_until(fd, "\"]}", 2);
	first = strstr(text, "sql\\\":\\\"1");
	ck_assert_ptr_nonnull(first);
	ck_assert_ptr_nonnull(strstr(first, "sql\\\":\\\"2"));
	g_free(text);
	close(fd);
	front_fixture_free(f);
}
END_TEST

/* Requests on connections opened before the shutdown are still answered. */
START_TEST(open_connection_is_served_during_shutdown)
{
	struct settings s;
	struct front_fixture *f;
	char *text;
	int fd;

	front_fixture_settings(&s);
	f = front_fixture_new(&s);
	front_fixture_defer(f);
	fd = front_fixture_connect(f);
	send_raw(fd, 1);
	ck_assert(front_fixture_wait_statements(f, 1));
	front_fixture_echo_deferred(f, 1, 0);
	text = read_until(fd, "\"]}", 1);
	ck_assert_ptr_nonnull(strstr(text, "Connection: keep-alive"));
	g_free(text);
	front_fixture_stop(f);
	send_raw(fd, 2);
	ck_assert(front_fixture_wait_statements(f, 2));
	front_fixture_echo_deferred(f, 1, 0);
	text = read_until(fd, "never", 1);
	ck_assert_msg(strstr(text, "Connection: close") != NULL, "%s", text);
	ck_assert_ptr_nonnull(strstr(text, "sql\\\":\\\"2"));
	g_free(text);
	close(fd);
	front_fixture_free(f);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("front_streams");

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, http2_answers_out_of_order, 0, 3);
	tcase_add_test(tc, http1_pipelined_requests);
	tcase_add_test(tc, open_connection_is_served_during_shutdown);
	return suite_run("front_streams", tc);
}
