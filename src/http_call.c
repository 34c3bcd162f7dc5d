/** @file http_call.c HTTP calls with libcurl. */
#include "http_call.h"

#include <curl/curl.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "log.h"
#include "loop.h"

#define POLL_MAX_MS 1000
#define REPLY_MAX_BYTES (64 * 1024 * 1024)

struct http_client {
	char *base; /**< "http://IP:port" */
	CURLM *multi;
	CURL *easy;
	atomic_bool cancelled;
	atomic_ulong calls;
	bool abandoned; /**< the call ended without a complete reply */
};

static void init_curl(void)
{
	static gsize done;

	if (!g_once_init_enter(&done))
		return;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	g_once_init_leave(&done, 1);
}

struct http_client *http_client_new(const char *address)
{
	struct http_client *c = g_new0(struct http_client, 1);

	init_curl();
	c->base = g_strdup_printf("http://%s", address);
	c->multi = curl_multi_init();
	c->easy = curl_easy_init();
	return c;
}

void http_client_free(struct http_client *c)
{
	if (!c)
		return;
	curl_easy_cleanup(c->easy);
	curl_multi_cleanup(c->multi);
	g_free(c->base);
	g_free(c);
}

void http_client_cancel(struct http_client *c)
{
	atomic_store(&c->cancelled, true);
	curl_multi_wakeup(c->multi);
}

bool http_client_cancelled(const struct http_client *c)
{
	return atomic_load(&c->cancelled);
}

uint64_t http_client_calls(const struct http_client *c)
{
	return atomic_load(&c->calls);
}

static size_t on_body(char *bytes, size_t size, size_t count, void *arg)
{
	GString *text = arg;
	size_t total = size * count;

	if (text->len + total > REPLY_MAX_BYTES)
		return 0;
	g_string_append_len(text, bytes, (gssize)total);
	return total;
}

/* True when the transfer has ended, with its result in *code. */
static bool transfer_ended(struct http_client *c, CURLcode *code)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(c->multi, &left))) {
		if (message->msg != CURLMSG_DONE)
			continue;
		*code = message->data.result;
		return true;
	}
	return false;
}

/* Runs the transfer until it ends, until the deadline, or until cancelled. */
static bool run_transfer(struct http_client *c, hm_time until)
{
	CURLcode code = CURLE_OK;
	hm_time left;
	int running;

	for (;;) {
		curl_multi_perform(c->multi, &running);
		if (transfer_ended(c, &code))
			return code == CURLE_OK;
		left = until - loop_now();
		if (left <= 0 || atomic_load(&c->cancelled))
			return false;
		curl_multi_poll(c->multi, NULL, 0,
				(int)MIN(left / HM_MS + 1, POLL_MAX_MS), NULL);
	}
}

/*
 * Closes the socket, and resets the connection after an abandoned call, which
 * must not take effect later: its request bytes may still be in the send
 * buffer, delayed by a network partition, and a reset discards them.
 */
static int close_socket(void *arg, curl_socket_t fd)
{
	const struct linger reset = { .l_onoff = 1 };
	const struct http_client *c = arg;

	if (c->abandoned &&
	    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset)))
		log_event(G_LOG_LEVEL_WARNING, "http_no_reset", NULL);
	return close(fd);
}

static void prepare(struct http_client *c, const char *method, const char *path,
		    const char *body, GString *into)
{
	char *url = g_strconcat(c->base, path, NULL);

	curl_easy_reset(c->easy);
	curl_easy_setopt(c->easy, CURLOPT_URL, url);
	curl_easy_setopt(c->easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(c->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(c->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c->easy, CURLOPT_CLOSESOCKETFUNCTION, close_socket);
	curl_easy_setopt(c->easy, CURLOPT_CLOSESOCKETDATA, c);
	curl_easy_setopt(c->easy, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(c->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(c->easy, CURLOPT_WRITEDATA, into);
	if (body)
		curl_easy_setopt(c->easy, CURLOPT_POSTFIELDS, body);
	/*
	 * When a reused connection breaks, libcurl may send the request again.
	 * A call that changes something must not run twice.
	 */
	if (strcmp(method, "GET") != 0)
		curl_easy_setopt(c->easy, CURLOPT_FRESH_CONNECT, 1L);
	g_free(url);
}

static struct curl_slist *header_list(const char *const *headers)
{
	struct curl_slist *list = NULL;

	for (; headers && *headers; headers++)
		list = curl_slist_append(list, *headers);
	return list;
}

void http_call(struct http_client *c, const char *method, const char *path,
	       const char *const *headers, const char *body, hm_time until,
	       struct http_reply *reply)
{
	struct curl_slist *list = header_list(headers);
	curl_off_t connected = 0;

	*reply = (struct http_reply){ .text = g_string_new(NULL) };
	prepare(c, method, path, body, reply->text);
	curl_easy_setopt(c->easy, CURLOPT_HTTPHEADER, list);
	atomic_fetch_add(&c->calls, 1);
	curl_multi_add_handle(c->multi, c->easy);
	reply->answered = run_transfer(c, until);
	curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &reply->status);
	curl_easy_getinfo(c->easy, CURLINFO_PRETRANSFER_TIME_T, &connected);
	reply->sent = connected > 0;
	c->abandoned = !reply->answered;
	curl_multi_remove_handle(c->multi, c->easy);
	c->abandoned = false;
	curl_slist_free_all(list);
}

const char *http_client_header(const struct http_client *c, const char *name)
{
	struct curl_header *header;

	if (curl_easy_header(c->easy, name, 0, CURLH_HEADER, -1, &header))
		return NULL;
	return header->value;
}

void http_reply_clear(struct http_reply *reply)
{
	if (reply->text)
		g_string_free(reply->text, TRUE);
	reply->text = NULL;
}
