/** @file front_fixture.c HTTP front end with a fake instance and a client. */
#include "front_fixture.h"

#include <check.h>
#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../core/rng.h"
#include "../src/address.h"

#define WAIT_LIMIT (5 * G_TIME_SPAN_SECOND)
#define FIXTURE_ACCOUNT 5
#define POLL_US 1000
#define CALL_LIMIT_S 20L

/** A statement that has not been answered yet, and its body. */
struct deferred {
	struct rid id;
	char *body;
};

struct front_fixture {
	struct settings settings;
	struct loop *loop;
	struct bodies *bodies;
	struct front *front;
	GThread *thread;
	char client_address[ADDRESS_BYTES];
	char operator_address[ADDRESS_BYTES];
	GMutex lock; /* protects all fields below */
	/* result of every statement; its body is result_body */
	struct result result;
	char *result_body;
	bool defer; /* statements are not answered */
	struct statement last;
	char *last_body;
	GArray *deferred; /* of struct deferred */
	/* incarnation in the ID of an answer, 0: that of the request */
	uint64_t incarnation;
	uint32_t open;
	uint64_t echo_seed;
	size_t echo_padding;
	uint32_t seen;	      /* number of statements received */
	uint32_t disconnects; /* disconnects reported */
	uint32_t tasks;	      /* finished calls on the loop's thread */
	hm_id account;
};

void front_fixture_settings(struct settings *s)
{
	settings_default(s);
	strcpy(s->instance, "a");
	strcpy(s->listen_clients, "127.0.0.1:0");
	strcpy(s->listen_operators, "127.0.0.1:0");
	memset(s->token_secret, 7, sizeof(s->token_secret));
	s->core.incarnation = 1;
	s->body_limit = 2048;
	s->header_limit = 4096;
	s->parameter_limit = 4;
}

/* Runs on the loop's thread; the calling function has taken the lock. */
static void answer_last(struct front_fixture *f)
{
	struct result r = f->result;
	GBytes *body;

	r.id = f->last.id;
	if (f->incarnation)
		r.id.incarnation = f->incarnation;
	if (!r.database)
		r.database = f->last.database;
	if (f->result_body) {
		body = g_bytes_new(f->result_body, strlen(f->result_body));
		r.body = bodies_put(f->bodies, body, loop_now() + HM_SEC);
		g_bytes_unref(body);
	}
	if (r.retry_at)
		r.retry_at += loop_now();
	g_mutex_unlock(&f->lock);
	front_answer(f->front, &r);
	g_mutex_lock(&f->lock);
}

static void defer(struct front_fixture *f, struct rid id)
{
	struct deferred d = { id, g_strdup(f->last_body) };

	g_array_append_val(f->deferred, d);
}

static void on_statement(void *owner, const struct statement *s)
{
	struct front_fixture *f = owner;
	GBytes *body = bodies_get(f->bodies, s->body);

	g_mutex_lock(&f->lock);
	f->last = *s;
	g_free(f->last_body);
	f->last_body = body ? g_strndup(g_bytes_get_data(body, NULL),
					g_bytes_get_size(body))
			    : g_strdup("");
	f->seen++;
	if (f->defer)
		defer(f, s->id);
	else
		answer_last(f);
	g_mutex_unlock(&f->lock);
}

static void on_client_gone(void *owner, struct rid id)
{
	struct front_fixture *f = owner;

	(void)id;
	g_mutex_lock(&f->lock);
	f->disconnects++;
	g_mutex_unlock(&f->lock);
}

static hm_id on_account(void *owner, struct key_id key)
{
	struct front_fixture *f = owner;
	hm_id account;

	(void)key;
	g_mutex_lock(&f->lock);
	account = f->account;
	g_mutex_unlock(&f->lock);
	return account;
}

static const char *on_name(void *owner, hm_id id)
{
	(void)owner;
	if (id == FIXTURE_ACCOUNT)
		return "payroll";
	return id == 9 ? "north" : NULL;
}

static char *on_metrics(void *owner)
{
	(void)owner;
	return g_strdup("instance_metric 1\n");
}

static char *on_status(void *owner)
{
	(void)owner;
	return g_strdup("{\"instance\":\"a\"}");
}

static gpointer run_loop(gpointer arg)
{
	struct front_fixture *f = arg;

	loop_run(f->loop);
	front_free(f->front);
	bodies_free(f->bodies);
	loop_free(f->loop);
	return NULL;
}

struct front_fixture *front_fixture_new(const struct settings *settings)
{
	struct front_fixture *f = g_new0(struct front_fixture, 1);
	struct front_hooks hooks = { .request = on_statement,
				     .client_gone = on_client_gone,
				     .account = on_account,
				     .name = on_name,
				     .metrics = on_metrics,
				     .status = on_status,
				     .owner = f };
	char fault[SETTINGS_FAULT_BYTES] = "";

	curl_global_init(CURL_GLOBAL_DEFAULT);
	f->settings = *settings;
	f->deferred = g_array_new(FALSE, FALSE, sizeof(struct deferred));
	f->account = FIXTURE_ACCOUNT;
	f->loop = loop_new();
	f->bodies = bodies_new();
	f->front = front_new(f->loop, &f->settings, f->bodies, &hooks, fault);
	ck_assert_msg(f->front != NULL, "%s", fault);
	front_address(f->front, false, f->client_address);
	front_address(f->front, true, f->operator_address);
	f->thread = g_thread_new("front", run_loop, f);
	return f;
}

void front_fixture_free(struct front_fixture *f)
{
	guint i;

	loop_stop(f->loop);
	g_thread_join(f->thread);
	g_free(f->result_body);
	for (i = 0; i < f->deferred->len; i++)
		g_free(g_array_index(f->deferred, struct deferred, i).body);
	g_array_free(f->deferred, TRUE);
	g_free(f->last_body);
	g_free(f);
}

void front_fixture_set_result(struct front_fixture *f,
			      const struct result *result, const char *body)
{
	g_mutex_lock(&f->lock);
	f->result = *result;
	g_free(f->result_body);
	f->result_body = g_strdup(body);
	f->defer = false;
	g_mutex_unlock(&f->lock);
}

void front_fixture_defer(struct front_fixture *f)
{
	g_mutex_lock(&f->lock);
	f->defer = true;
	g_mutex_unlock(&f->lock);
}

void front_fixture_set_account(struct front_fixture *f, hm_id account)
{
	g_mutex_lock(&f->lock);
	f->account = account;
	g_mutex_unlock(&f->lock);
}

bool front_fixture_last_statement(struct front_fixture *f,
				  struct statement *out)
{
	g_mutex_lock(&f->lock);
	*out = f->last;
	g_mutex_unlock(&f->lock);
	return out->id.seq != 0;
}

char *front_fixture_last_body(struct front_fixture *f)
{
	char *text;

	g_mutex_lock(&f->lock);
	text = g_strdup(f->last_body);
	g_mutex_unlock(&f->lock);
	return text;
}

static bool wait_count(struct front_fixture *f, const uint32_t *count,
		       uint32_t least)
{
	gint64 until = g_get_monotonic_time() + WAIT_LIMIT;
	bool reached = false;

	while (!reached && g_get_monotonic_time() < until) {
		g_mutex_lock(&f->lock);
		reached = *count >= least;
		g_mutex_unlock(&f->lock);
		g_usleep(POLL_US);
	}
	return reached;
}

bool front_fixture_wait_disconnects(struct front_fixture *f, uint32_t count)
{
	return wait_count(f, &f->disconnects, count);
}

bool front_fixture_wait_statements(struct front_fixture *f, uint32_t count)
{
	return wait_count(f, &f->seen, count);
}

uint32_t front_fixture_statements(struct front_fixture *f)
{
	uint32_t seen;

	g_mutex_lock(&f->lock);
	seen = f->seen;
	g_mutex_unlock(&f->lock);
	return seen;
}

static void task_done(struct front_fixture *f)
{
	g_mutex_lock(&f->lock);
	f->tasks++;
	g_mutex_unlock(&f->lock);
}

static void run_answer_last(void *arg)
{
	struct front_fixture *f = arg;

	g_mutex_lock(&f->lock);
	answer_last(f);
	g_mutex_unlock(&f->lock);
	task_done(f);
}

/* The rows of the answer are one text: padding and the statement's body. */
static void echo(struct front_fixture *f, const struct deferred *d)
{
	struct result r = { .id = d->id, .execution = EXEC_RUN };
	char *padding = g_strnfill(f->echo_padding, '.');
	char *quoted = g_strescape(d->body, NULL);
	char *text = g_strdup_printf("[\"%s%s\"]", padding, quoted);
	GBytes *body = g_bytes_new_take(text, strlen(text));

	r.body = bodies_put(f->bodies, body, loop_now() + HM_SEC);
	front_answer(f->front, &r);
	g_bytes_unref(body);
	g_free(quoted);
	g_free(padding);
}

static void run_echo(void *arg)
{
	struct front_fixture *f = arg;
	struct rng rng = { f->echo_seed };
	struct deferred *d;
	guint at;

	while (f->deferred->len > 0) {
		at = (guint)rng_below(&rng, f->deferred->len);
		d = &g_array_index(f->deferred, struct deferred, at);
		echo(f, d);
		g_free(d->body);
		g_array_remove_index(f->deferred, at);
	}
	task_done(f);
}

static void run_stop(void *arg)
{
	struct front_fixture *f = arg;

	front_stop(f->front);
	task_done(f);
}

/* Runs @a call on the loop's thread and waits until it returns. */
static void run_on_loop(struct front_fixture *f, loop_call call)
{
	uint32_t before;

	g_mutex_lock(&f->lock);
	before = f->tasks;
	g_mutex_unlock(&f->lock);
	loop_post(f->loop, call, f);
	ck_assert(wait_count(f, &f->tasks, before + 1));
}

void front_fixture_answer_last(struct front_fixture *f)
{
	run_on_loop(f, run_answer_last);
}

void front_fixture_echo_deferred(struct front_fixture *f, uint64_t seed,
				 size_t padding)
{
	f->echo_seed = seed;
	f->echo_padding = padding;
	run_on_loop(f, run_echo);
}

void front_fixture_answer_as(struct front_fixture *f, uint64_t incarnation)
{
	f->incarnation = incarnation;
	run_on_loop(f, run_answer_last);
	f->incarnation = 0;
}

static void run_open(void *arg)
{
	struct front_fixture *f = arg;

	f->open = front_open_requests(f->front);
	task_done(f);
}

uint32_t front_fixture_open_requests(struct front_fixture *f)
{
	run_on_loop(f, run_open);
	return f->open;
}

void front_fixture_stop(struct front_fixture *f)
{
	run_on_loop(f, run_stop);
}

const char *front_fixture_address(const struct front_fixture *f, bool operators)
{
	return operators ? f->operator_address : f->client_address;
}

static size_t collect(char *data, size_t size, size_t count, void *out)
{
	g_string_append_len(out, data, (gssize)(size * count));
	return size * count;
}

static struct curl_slist *call_headers(const struct call *c)
{
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");
	char *line;

	if (c->key) {
		line = g_strdup_printf("Authorization: Bearer %s", c->key);
		list = curl_slist_append(list, line);
		g_free(line);
	}
	if (c->token) {
		line = g_strdup_printf("Session-Token: %s", c->token);
		list = curl_slist_append(list, line);
		g_free(line);
	}
	return list;
}

static void set_protocol(CURL *curl, const struct call *c)
{
	long version = CURL_HTTP_VERSION_1_1;

	if (c->http2)
		version = c->tls ? CURL_HTTP_VERSION_2TLS
				 : CURL_HTTP_VERSION_2_PRIOR_KNOWLEDGE;
	curl_easy_setopt(curl, CURLOPT_HTTP_VERSION, version);
	curl_easy_setopt(curl, CURLOPT_SSL_VERIFYPEER, 0L);
	curl_easy_setopt(curl, CURLOPT_SSL_VERIFYHOST, 0L);
}

void front_fixture_call(struct front_fixture *f, struct call *c)
{
	struct curl_slist *headers = call_headers(c);
	CURL *curl = curl_easy_init();
	char *url = g_strdup_printf("%s://%s%s", c->tls ? "https" : "http",
				    front_fixture_address(f, c->operators),
				    c->path);

	c->status = 0;
	c->headers = g_string_new(NULL);
	c->answer = g_string_new(NULL);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT, CALL_LIMIT_S);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	if (c->timeout_ms)
		curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, c->timeout_ms);
	if (c->body)
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, c->body);
	if (c->method)
		curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, c->method);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, collect);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, c->answer);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, c->headers);
	set_protocol(curl, c);
	if (curl_easy_perform(curl) == CURLE_OK)
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &c->status);
	curl_easy_cleanup(curl);
	curl_slist_free_all(headers);
	g_free(url);
}

char *call_header(const struct call *c, const char *name)
{
	char **lines = g_strsplit(c->headers->str, "\r\n", -1);
	size_t bytes = strlen(name);
	char *value = NULL;
	guint i;

	for (i = 0; lines[i] && !value; i++)
		if (!g_ascii_strncasecmp(lines[i], name, bytes) &&
		    lines[i][bytes] == ':')
			value = g_strstrip(g_strdup(lines[i] + bytes + 1));
	g_strfreev(lines);
	return value;
}

void call_clear(struct call *c)
{
	g_string_free(c->headers, TRUE);
	g_string_free(c->answer, TRUE);
}

int front_fixture_connect(const struct front_fixture *f)
{
	struct sockaddr_storage ss;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	ck_assert(address_parse(f->client_address, &ss));
	ck_assert_int_eq(
		connect(fd, (struct sockaddr *)&ss, address_bytes(&ss)), 0);
	return fd;
}
