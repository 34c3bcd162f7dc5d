/** @file front_fixture.c Front with a scripted instance, and an HTTP client. */
#include "front_fixture.h"

#include <check.h>
#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../core/rng.h"
#include "../src/address.h"

#define WAIT_LIMIT (5 * G_TIME_SPAN_SECOND)
#define WORLD_ACCOUNT 5
#define POLL_US 1000
#define CALL_LIMIT_S 20L

/** A statement without an answer, and its body. */
struct held {
	struct rid id;
	char *body;
};

struct world {
	struct settings settings;
	struct loop *loop;
	struct bodies *bodies;
	struct front *front;
	GThread *thread;
	char callers[ADDRESS_BYTES];
	char operators[ADDRESS_BYTES];
	GMutex lock; /* of all below */
	struct result plan;
	char *plan_body;
	bool hold;
	struct statement last;
	char *last_body;
	GArray *held;  /* of struct held */
	uint64_t life; /* of the answer, 0 for that of the request */
	uint32_t open;
	uint64_t echo_seed;
	size_t echo_padding;
	uint32_t seen;
	uint32_t gone;
	uint32_t tasks; /* posted to the loop and done */
	hm_id account;
};

void world_settings(struct settings *s)
{
	settings_default(s);
	strcpy(s->instance, "a");
	strcpy(s->listen_callers, "127.0.0.1:0");
	strcpy(s->listen_operators, "127.0.0.1:0");
	memset(s->token_secret, 7, sizeof(s->token_secret));
	s->core.incarnation = 1;
	s->body_limit = 2048;
	s->header_limit = 4096;
	s->parameter_limit = 4;
}

/* On the loop's thread, with the lock held. */
static void answer_last(struct world *w)
{
	struct result r = w->plan;
	GBytes *body;

	r.id = w->last.id;
	if (w->life)
		r.id.incarnation = w->life;
	if (!r.database)
		r.database = w->last.database;
	if (w->plan_body) {
		body = g_bytes_new(w->plan_body, strlen(w->plan_body));
		r.body = bodies_put(w->bodies, body, loop_now() + HM_SEC);
		g_bytes_unref(body);
	}
	if (r.retry_at)
		r.retry_at += loop_now();
	g_mutex_unlock(&w->lock);
	front_answer(w->front, &r);
	g_mutex_lock(&w->lock);
}

static void hold(struct world *w, struct rid id)
{
	struct held h = { id, g_strdup(w->last_body) };

	g_array_append_val(w->held, h);
}

static void on_statement(void *owner, const struct statement *s)
{
	struct world *w = owner;
	GBytes *body = bodies_get(w->bodies, s->body);

	g_mutex_lock(&w->lock);
	w->last = *s;
	g_free(w->last_body);
	w->last_body = body ? g_strndup(g_bytes_get_data(body, NULL),
					g_bytes_get_size(body))
			    : g_strdup("");
	w->seen++;
	if (w->hold)
		hold(w, s->id);
	else
		answer_last(w);
	g_mutex_unlock(&w->lock);
}

static void on_gone(void *owner, struct rid id)
{
	struct world *w = owner;

	(void)id;
	g_mutex_lock(&w->lock);
	w->gone++;
	g_mutex_unlock(&w->lock);
}

static hm_id on_account(void *owner, struct key_id key)
{
	struct world *w = owner;
	hm_id account;

	(void)key;
	g_mutex_lock(&w->lock);
	account = w->account;
	g_mutex_unlock(&w->lock);
	return account;
}

static const char *on_name(void *owner, hm_id id)
{
	(void)owner;
	if (id == WORLD_ACCOUNT)
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

static gpointer carry(gpointer arg)
{
	struct world *w = arg;

	loop_run(w->loop);
	front_free(w->front);
	bodies_free(w->bodies);
	loop_free(w->loop);
	return NULL;
}

struct world *world_new(const struct settings *settings)
{
	struct world *w = g_new0(struct world, 1);
	struct front_hooks hooks = { .request = on_statement,
				     .client_gone = on_gone,
				     .account = on_account,
				     .name = on_name,
				     .metrics = on_metrics,
				     .status = on_status,
				     .owner = w };
	char fault[SETTINGS_FAULT_BYTES] = "";

	curl_global_init(CURL_GLOBAL_DEFAULT);
	w->settings = *settings;
	w->held = g_array_new(FALSE, FALSE, sizeof(struct held));
	w->account = WORLD_ACCOUNT;
	w->loop = loop_new();
	w->bodies = bodies_new();
	w->front = front_new(w->loop, &w->settings, w->bodies, &hooks, fault);
	ck_assert_msg(w->front != NULL, "%s", fault);
	front_address(w->front, false, w->callers);
	front_address(w->front, true, w->operators);
	w->thread = g_thread_new("front", carry, w);
	return w;
}

void world_free(struct world *w)
{
	guint i;

	loop_stop(w->loop);
	g_thread_join(w->thread);
	g_free(w->plan_body);
	for (i = 0; i < w->held->len; i++)
		g_free(g_array_index(w->held, struct held, i).body);
	g_array_free(w->held, TRUE);
	g_free(w->last_body);
	g_free(w);
}

void world_plan(struct world *w, const struct result *plan, const char *body)
{
	g_mutex_lock(&w->lock);
	w->plan = *plan;
	g_free(w->plan_body);
	w->plan_body = g_strdup(body);
	w->hold = false;
	g_mutex_unlock(&w->lock);
}

void world_hold(struct world *w)
{
	g_mutex_lock(&w->lock);
	w->hold = true;
	g_mutex_unlock(&w->lock);
}

void world_account(struct world *w, hm_id account)
{
	g_mutex_lock(&w->lock);
	w->account = account;
	g_mutex_unlock(&w->lock);
}

bool world_last(struct world *w, struct statement *out)
{
	g_mutex_lock(&w->lock);
	*out = w->last;
	g_mutex_unlock(&w->lock);
	return out->id.seq != 0;
}

char *world_body(struct world *w)
{
	char *text;

	g_mutex_lock(&w->lock);
	text = g_strdup(w->last_body);
	g_mutex_unlock(&w->lock);
	return text;
}

static bool wait_count(struct world *w, const uint32_t *count, uint32_t least)
{
	gint64 until = g_get_monotonic_time() + WAIT_LIMIT;
	bool reached = false;

	while (!reached && g_get_monotonic_time() < until) {
		g_mutex_lock(&w->lock);
		reached = *count >= least;
		g_mutex_unlock(&w->lock);
		g_usleep(POLL_US);
	}
	return reached;
}

bool world_gone(struct world *w, uint32_t count)
{
	return wait_count(w, &w->gone, count);
}

bool world_seen(struct world *w, uint32_t count)
{
	return wait_count(w, &w->seen, count);
}

uint32_t world_count(struct world *w)
{
	uint32_t seen;

	g_mutex_lock(&w->lock);
	seen = w->seen;
	g_mutex_unlock(&w->lock);
	return seen;
}

static void task_done(struct world *w)
{
	g_mutex_lock(&w->lock);
	w->tasks++;
	g_mutex_unlock(&w->lock);
}

static void run_release(void *arg)
{
	struct world *w = arg;

	g_mutex_lock(&w->lock);
	answer_last(w);
	g_mutex_unlock(&w->lock);
	task_done(w);
}

/* Rows are one text: padding, then the body of the statement. */
static void echo(struct world *w, const struct held *h)
{
	struct result r = { .id = h->id, .execution = EXEC_RUN };
	char *padding = g_strnfill(w->echo_padding, '.');
	char *quoted = g_strescape(h->body, NULL);
	char *text = g_strdup_printf("[\"%s%s\"]", padding, quoted);
	GBytes *body = g_bytes_new_take(text, strlen(text));

	r.body = bodies_put(w->bodies, body, loop_now() + HM_SEC);
	front_answer(w->front, &r);
	g_bytes_unref(body);
	g_free(quoted);
	g_free(padding);
}

static void run_echo(void *arg)
{
	struct world *w = arg;
	struct rng rng = { w->echo_seed };
	struct held *h;
	guint at;

	while (w->held->len > 0) {
		at = (guint)rng_below(&rng, w->held->len);
		h = &g_array_index(w->held, struct held, at);
		echo(w, h);
		g_free(h->body);
		g_array_remove_index(w->held, at);
	}
	task_done(w);
}

static void run_stop(void *arg)
{
	struct world *w = arg;

	front_stop(w->front);
	task_done(w);
}

/* Runs a call on the loop's thread and waits for its end. */
static void run_there(struct world *w, loop_call call)
{
	uint32_t before;

	g_mutex_lock(&w->lock);
	before = w->tasks;
	g_mutex_unlock(&w->lock);
	loop_post(w->loop, call, w);
	ck_assert(wait_count(w, &w->tasks, before + 1));
}

void world_release(struct world *w)
{
	run_there(w, run_release);
}

void world_echo(struct world *w, uint64_t seed, size_t padding)
{
	w->echo_seed = seed;
	w->echo_padding = padding;
	run_there(w, run_echo);
}

void world_answer_from(struct world *w, uint64_t life)
{
	w->life = life;
	run_there(w, run_release);
	w->life = 0;
}

static void run_open(void *arg)
{
	struct world *w = arg;

	w->open = front_open_requests(w->front);
	task_done(w);
}

uint32_t world_open(struct world *w)
{
	run_there(w, run_open);
	return w->open;
}

void world_stop_front(struct world *w)
{
	run_there(w, run_stop);
}

const char *world_address(const struct world *w, bool operators)
{
	return operators ? w->operators : w->callers;
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

void world_call(struct world *w, struct call *c)
{
	struct curl_slist *headers = call_headers(c);
	CURL *curl = curl_easy_init();
	char *url = g_strdup_printf("%s://%s%s", c->tls ? "https" : "http",
				    world_address(w, c->operators), c->path);

	c->status = 0;
	c->headers = g_string_new(NULL);
	c->answer = g_string_new(NULL);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT, CALL_LIMIT_S);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	if (c->limit_ms)
		curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, c->limit_ms);
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

int world_connect(const struct world *w)
{
	struct sockaddr_storage ss;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	ck_assert(address_parse(w->callers, &ss));
	ck_assert_int_eq(
		connect(fd, (struct sockaddr *)&ss, address_bytes(&ss)), 0);
	return fd;
}
