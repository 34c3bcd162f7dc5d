/** @file promoter.c Takes fencing tokens and sends promote calls. */
#include "promoter.h"

#include <string.h>

#include "../core/fencing.h"
#include "log.h"
#include "names.h"

#define THREADS_MAX 3
#define RETRY_PAUSE (30 * HM_MS)
/*
 * Longest time for the store to confirm that a token is the newest. After a
 * slower answer the promote call is not sent, since another instance may have
 * taken a newer token meanwhile.
 */
#define NEWEST_VALID (100 * HM_MS)

struct promoter {
	struct loop *loop;
	struct promoter_options options;
	struct proxy_sink sink;
	GThreadPool *threads;
	bool stopping;
};

/* One action and its result, passed to a worker thread and back. */
struct job {
	struct promoter *promoter;
	enum proxy_action_kind kind;
	hm_id service;
	char service_name[NAME_BYTES];
	char endpoint[NAME_BYTES];
	uint64_t token;
	bool taken;
	enum promote_outcome outcome;
};

static void on_done(void *arg)
{
	struct job *job = arg;
	struct proxy_event event = { 0 };

	if (job->kind == PROXY_TAKE_TOKEN) {
		event.kind = PROXY_TOKEN;
		event.token.service = job->service;
		event.token.taken = job->taken;
		event.token.token = job->token;
	} else {
		event.kind = PROXY_PROMOTED;
		event.promoted.service = job->service;
		event.promoted.token = job->token;
		event.promoted.outcome = job->outcome;
	}
	if (!job->promoter->stopping)
		proxy_sink_event(&job->promoter->sink, &event);
	g_free(job);
}

static uint64_t token_of(const struct store_object *o)
{
	return (uint64_t)json_integer_value(json_object_get(o->value, "token"));
}

static bool has_nonce(const struct store_object *o, uint64_t nonce)
{
	char text[24];
	const char *found =
		json_string_value(json_object_get(o->value, "nonce"));

	g_snprintf(text, sizeof(text), "%016" G_GINT64_MODIFIER "x", nonce);
	return found && !strcmp(found, text);
}

static json_t *token_value(const struct promoter *p, uint64_t token,
			   uint64_t nonce)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%016" G_GINT64_MODIFIER "x", nonce);
	return json_pack("{s:s, s:I, s:s}", "holder", p->options.instance,
			 "token", (json_int_t)token, "nonce", text);
}

/*
 * Name of the object that holds the tokens of a service in one era of the store
 * (the era rises when the store is restored from a copy). Each era has its own
 * object. So a write of an earlier era that the store executes late cannot
 * overwrite a token of the new era, whose object may have the revision that the
 * write expects.
 */
static void object_name(const struct job *job, uint64_t era,
			char name[OBJECT_NAME_BYTES])
{
	if (era)
		g_snprintf(name, OBJECT_NAME_BYTES, "%s.%" G_GUINT64_FORMAT,
			   job->service_name, era);
	else
		g_strlcpy(name, job->service_name, OBJECT_NAME_BYTES);
}

static struct store_client store_client_of(const struct promoter *p,
					   struct http_client *http)
{
	return (struct store_client){ p->options.api, http, p->options.era };
}

/*
 * One attempt: reads the newest token of the era and writes the next one, on
 * condition that the object's revision has not changed. The token counts only
 * when the era of the answer is still the same. When the answer to an earlier
 * write was lost, the write is recognized by its nonce.
 */
static bool take_once(struct job *job, struct store_client *store,
		      uint64_t nonce, hm_time until)
{
	uint64_t era = store_era_newest(store->era), answer_era = 0;
	char name[OBJECT_NAME_BYTES];
	enum store_outcome outcome;
	struct store_object current;
	bool taken = false;
	json_t *value;

	object_name(job, era, name);
	outcome = store_client_read(store, STORE_TOKENS, name, until, &current);
	if ((outcome != STORE_OK && outcome != STORE_NOT_FOUND) ||
	    current.at.era != era)
		goto out;
	job->token = token_of(&current);
	taken = has_nonce(&current, nonce);
	if (taken)
		goto out;
	job->token = fencing_next(job->token, era);
	if (!job->token)
		goto out;
	value = token_value(job->promoter, job->token, nonce);
	outcome = store_client_write(store, STORE_TOKENS, name,
				     current.at.revision, value, until,
				     &answer_era);
	taken = outcome == STORE_OK && answer_era == era;
	json_decref(value);
out:
	store_object_clear(&current);
	return taken;
}

static void take_token(struct job *job)
{
	struct promoter *p = job->promoter;
	struct http_client *http = http_client_new(p->options.store_address);
	struct store_client store = store_client_of(p, http);
	hm_time until = loop_now() + p->options.token_limit;
	uint64_t nonce = random_id();

	while (!job->taken && loop_now() < until && !p->stopping) {
		job->taken = take_once(
			job, &store, nonce,
			MIN(until, loop_now() + p->options.call_limit));
		if (!job->taken)
			g_usleep((gulong)RETRY_PAUSE);
	}
	http_client_free(http);
}

/* State of a token before its promote call is sent. */
enum token_state { TOKEN_NEWEST, TOKEN_OLDER, TOKEN_UNKNOWN };

static enum token_state look_up_token(const struct job *job)
{
	const struct promoter_options *o = &job->promoter->options;
	struct http_client *http = http_client_new(o->store_address);
	struct store_client store = store_client_of(job->promoter, http);
	uint64_t era = fencing_era(job->token);
	hm_time requested_at = loop_now();
	enum token_state state = TOKEN_UNKNOWN;
	char name[OBJECT_NAME_BYTES];
	enum store_outcome outcome;
	struct store_object current;

	object_name(job, era, name);
	outcome = store_client_read(&store, STORE_TOKENS, name,
				    requested_at + o->call_limit, &current);
	if ((outcome == STORE_OK || outcome == STORE_NOT_FOUND) &&
	    !fencing_is_newest(job->token, token_of(&current), current.at.era))
		state = TOKEN_OLDER;
	else if (outcome == STORE_OK &&
		 loop_now() - requested_at <= NEWEST_VALID)
		state = TOKEN_NEWEST;
	store_object_clear(&current);
	http_client_free(http);
	return state;
}

/*
 * Whether the promote call may be sent; sets the outcome of the job if not.
 * Where the platform does not refuse calls with an older token, the token must
 * be known to be the newest: another monitor may have taken a newer one while
 * this one paused the replicas.
 */
static bool may_call(struct job *job)
{
	static const enum promote_outcome outcomes[] = {
		[TOKEN_OLDER] = PROMOTE_REJECTED,
		[TOKEN_UNKNOWN] = PROMOTE_REFUSED,
	};
	enum token_state state = job->promoter->options.fenced
					 ? TOKEN_NEWEST
					 : look_up_token(job);
	char token[24];

	if (state == TOKEN_NEWEST)
		return true;
	job->outcome = outcomes[state];
	g_snprintf(token, sizeof(token), "%" G_GUINT64_FORMAT, job->token);
	log_event(G_LOG_LEVEL_INFO, "promote_withheld", "service",
		  job->service_name, "token", token, "reason",
		  state == TOKEN_OLDER ? "older_token" : "store", NULL);
	return false;
}

static void promote(struct job *job)
{
	struct promoter *p = job->promoter;
	struct http_client *http;

	if (!may_call(job))
		return;
	http = http_client_new(p->options.promote_address);
	job->outcome = p->options.api->promote(
		http, p->options.instance, job->service_name, job->endpoint,
		job->token, loop_now() + p->options.call_limit);
	http_client_free(http);
}

static void run(gpointer data, gpointer unused)
{
	struct job *job = data;

	(void)unused;
	if (job->kind == PROXY_TAKE_TOKEN)
		take_token(job);
	else
		promote(job);
	loop_post(job->promoter->loop, on_done, job);
}

struct promoter *promoter_new(struct loop *loop,
			      const struct promoter_options *options,
			      struct proxy_sink sink)
{
	struct promoter *p = g_new0(struct promoter, 1);

	p->loop = loop;
	p->options = *options;
	p->sink = sink;
	p->threads = g_thread_pool_new(run, p, THREADS_MAX, FALSE, NULL);
	return p;
}

void promoter_free(struct promoter *p)
{
	if (!p)
		return;
	p->stopping = true;
	g_thread_pool_free(p->threads, TRUE, TRUE);
	loop_drain(p->loop);
	g_free(p);
}

void promoter_submit(struct promoter *p, const struct proxy_action *a)
{
	struct job *job = g_new0(struct job, 1);

	job->promoter = p;
	job->kind = a->kind;
	job->service = a->duty.id;
	job->token = a->duty.token;
	g_strlcpy(job->service_name, a->duty.service,
		  sizeof(job->service_name));
	g_strlcpy(job->endpoint, a->duty.endpoint, sizeof(job->endpoint));
	g_thread_pool_push(p->threads, job, NULL);
}
