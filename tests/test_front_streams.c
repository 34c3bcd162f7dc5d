/**
 * @file test_front_streams.c
 * Each caller gets the whole answer to its own request, whatever the order of
 * the answers, also with many requests on one HTTP/2 connection.
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

/** One of the requests on the shared connection. */
struct stream {
	CURL *curl;
	char *body;
	char *mark; /**< occurs in this request alone */
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
	s->mark = g_strdup_printf("mark-%d-end", number);
	s->body = g_strdup_printf("{\"database\":\"rota\",\"sql\":\"%s\","
				  "\"mode\":\"read\"}",
				  s->mark);
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
	g_free(s->mark);
}

/* The answer holds the mark of this request once, and all of its bytes. */
static void stream_end(struct stream *s, CURLM *multi, size_t padding)
{
	const char *at = strstr(s->answer->str, s->mark);
	long connects = 0;

	ck_assert_msg(at != NULL, "%s", s->mark);
	ck_assert_ptr_null(strstr(at + 1, "mark-"));
	ck_assert_uint_gt(s->answer->len, padding);
	ck_assert(g_str_has_suffix(s->answer->str, "\"]}"));
	curl_easy_getinfo(s->curl, CURLINFO_NUM_CONNECTS, &connects);
	ck_assert_int_eq(connects, 0);
	stream_drop(s, multi);
}

struct echoer {
	struct world *world;
	uint64_t seed;
};

static gpointer echo_all(gpointer arg)
{
	struct echoer *e = arg;

	bool seen = world_seen(e->world, CALLS + 1);

	world_echo(e->world, e->seed, PADDING);
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
	struct world *w;
	struct echoer e = { .seed = (uint64_t)_i + 1 };
	struct stream first, streams[CALLS];
	struct curl_slist *headers;
	CURLM *multi;
	GThread *thread;
	char *url;
	int i;

	world_settings(&s);
	tls_files_make(&s);
	w = world_new(&s);
	e.world = w;
	multi = curl_multi_init();
	curl_multi_setopt(multi, CURLMOPT_PIPELINING, CURLPIPE_MULTIPLEX);
	headers = curl_slist_append(NULL, "Authorization: Bearer k");
	url = g_strdup_printf("https://%s/v1/statement",
			      world_address(w, false));
	/* curl shares a connection once it knows its protocol. */
	stream_start(&first, multi, url, headers, CALLS);
	perform(multi);
	world_hold(w);
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
	world_free(w);
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

/* Reads until @a text occurred @a times, or the connection ended. */
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

/* Requests sent ahead on one connection are answered one after another. */
START_TEST(http1_requests_sent_ahead)
{
	struct settings s;
	struct world *w;
	const char *first;
	char *text;
	int fd;

	world_settings(&s);
	w = world_new(&s);
	world_hold(w);
	fd = world_connect(w);
	send_raw(fd, 1);
	send_raw(fd, 2);
	ck_assert(world_seen(w, 1));
	world_echo(w, 1, 0);
	ck_assert(world_seen(w, 2));
	world_echo(w, 1, 0);
	text = read_until(fd, "\"]}", 2);
	first = strstr(text, "sql\\\":\\\"1");
	ck_assert_ptr_nonnull(first);
	ck_assert_ptr_nonnull(strstr(first, "sql\\\":\\\"2"));
	g_free(text);
	close(fd);
	world_free(w);
}
END_TEST

/* A connection that is open when the stop begins is not cut. */
START_TEST(open_connection_is_served_while_stopping)
{
	struct settings s;
	struct world *w;
	char *text;
	int fd;

	world_settings(&s);
	w = world_new(&s);
	world_hold(w);
	fd = world_connect(w);
	send_raw(fd, 1);
	ck_assert(world_seen(w, 1));
	world_echo(w, 1, 0);
	text = read_until(fd, "\"]}", 1);
	ck_assert_ptr_nonnull(strstr(text, "Connection: keep-alive"));
	g_free(text);
	world_stop_front(w);
	send_raw(fd, 2);
	ck_assert(world_seen(w, 2));
	world_echo(w, 1, 0);
	text = read_until(fd, "never", 1);
	ck_assert_msg(strstr(text, "Connection: close") != NULL, "%s", text);
	ck_assert_ptr_nonnull(strstr(text, "sql\\\":\\\"2"));
	g_free(text);
	close(fd);
	world_free(w);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("cross");

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, http2_answers_out_of_order, 0, 3);
	tcase_add_test(tc, http1_requests_sent_ahead);
	tcase_add_test(tc, open_connection_is_served_while_stopping);
	return suite_run("cross", tc);
}
