/** @file promoter.c Fencing tokens and promote calls. */
#include "promoter.h"

#include <string.h>

#include "../core/fencing.h"
#include "log.h"
#include "names.h"

#define THREADS_MOST 3
#define RETRY_PAUSE (30 * HM_MS)
/* A call leaves this soon after its token was seen to be the newest. */
#define NEWEST_VALID (100 * HM_MS)

struct promoter {
	struct loop *loop;
	struct promoter_options options;
	struct proxy_sink sink;
	GThreadPool *threads;
	bool stopping;
};

/* One action on its way through a thread and back. */
struct errand {
	struct promoter *duty;
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
	struct errand *e = arg;
	struct proxy_event event = { 0 };

	if (e->kind == PROXY_TAKE_TOKEN) {
		event.kind = PROXY_TOKEN;
		event.token.service = e->service;
		event.token.taken = e->taken;
		event.token.token = e->token;
	} else {
		event.kind = PROXY_PROMOTED;
		event.promoted.service = e->service;
		event.promoted.token = e->token;
		event.promoted.outcome = e->outcome;
	}
	if (!e->duty->stopping)
		proxy_sink_event(&e->duty->sink, &event);
	g_free(e);
}

static uint64_t token_of(const struct store_object *o)
{
	return (uint64_t)json_integer_value(json_object_get(o->value, "token"));
}

static bool is_mine(const struct store_object *o, uint64_t nonce)
{
	char text[24];
	const char *held =
		json_string_value(json_object_get(o->value, "nonce"));

	g_snprintf(text, sizeof(text), "%016" G_GINT64_MODIFIER "x", nonce);
	return held && !strcmp(held, text);
}

static json_t *token_value(const struct promoter *d, uint64_t token,
			   uint64_t nonce)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%016" G_GINT64_MODIFIER "x", nonce);
	return json_pack("{s:s, s:I, s:s}", "holder", d->options.instance,
			 "token", (json_int_t)token, "nonce", text);
}

/*
 * Tokens of each era lie in an object of their own, so that a write which is
 * carried out late, in another history, cannot meet its condition there.
 */
static void object_name(const struct errand *e, uint64_t era,
			char name[OBJECT_NAME_BYTES])
{
	if (era)
		g_snprintf(name, OBJECT_NAME_BYTES, "%s.%" G_GUINT64_FORMAT,
			   e->service_name, era);
	else
		g_strlcpy(name, e->service_name, OBJECT_NAME_BYTES);
}

static struct store_client store_client_of(const struct promoter *d,
					   struct http_client *http)
{
	return (struct store_client){ d->options.api, http, d->options.era };
}

/*
 * One round: reads the newest token of the era and writes the next one on
 * condition that it still is, and that the era is. A write whose answer was
 * lost is found by its nonce.
 */
static bool take_once(struct errand *e, struct store_client *store,
		      uint64_t nonce, hm_time until)
{
	uint64_t era = store_era_newest(store->era), told = 0;
	char name[OBJECT_NAME_BYTES];
	enum store_outcome outcome;
	struct store_object held;
	bool mine = false;
	json_t *value;

	object_name(e, era, name);
	outcome = store_client_read(store, STORE_DUTIES, name, until, &held);
	if ((outcome != STORE_OK && outcome != STORE_MISSING) ||
	    held.at.era != era)
		goto out;
	e->token = token_of(&held);
	mine = is_mine(&held, nonce);
	if (mine)
		goto out;
	e->token = fencing_next(e->token, era);
	if (!e->token)
		goto out;
	value = token_value(e->duty, e->token, nonce);
	outcome = store_client_write(store, STORE_DUTIES, name,
				     held.at.revision, value, until, &told);
	mine = outcome == STORE_OK && told == era;
	json_decref(value);
out:
	store_object_clear(&held);
	return mine;
}

static void take_token(struct errand *e)
{
	struct promoter *d = e->duty;
	struct http_client *http = http_client_new(d->options.store_address);
	struct store_client store = store_client_of(d, http);
	hm_time until = loop_now() + d->options.token_limit;
	uint64_t nonce = random_id();

	while (!e->taken && loop_now() < until && !d->stopping) {
		e->taken = take_once(
			e, &store, nonce,
			MIN(until, loop_now() + d->options.call_limit));
		if (!e->taken)
			g_usleep((gulong)RETRY_PAUSE);
	}
	http_client_free(http);
}

/* What is known of a token before its call is made. */
enum token_state { TOKEN_NEWEST, TOKEN_OLDER, TOKEN_UNKNOWN };

static enum token_state look_up_token(const struct errand *e)
{
	const struct promoter_options *o = &e->duty->options;
	struct http_client *http = http_client_new(o->store_address);
	struct store_client store = store_client_of(e->duty, http);
	uint64_t era = fencing_era(e->token);
	hm_time asked_at = loop_now();
	enum token_state state = TOKEN_UNKNOWN;
	char name[OBJECT_NAME_BYTES];
	enum store_outcome outcome;
	struct store_object held;

	object_name(e, era, name);
	outcome = store_client_read(&store, STORE_DUTIES, name,
				    asked_at + o->call_limit, &held);
	if ((outcome == STORE_OK || outcome == STORE_MISSING) &&
	    !fencing_is_newest(e->token, token_of(&held), held.at.era))
		state = TOKEN_OLDER;
	else if (outcome == STORE_OK && loop_now() - asked_at <= NEWEST_VALID)
		state = TOKEN_NEWEST;
	store_object_clear(&held);
	http_client_free(http);
	return state;
}

/*
 * Where nobody refuses an older token than was seen, it is not sent: another
 * keeper may have taken a newer one while this one held the members.
 */
static bool may_call(struct errand *e)
{
	static const enum promote_outcome outcomes[] = {
		[TOKEN_OLDER] = PROMOTE_REJECTED,
		[TOKEN_UNKNOWN] = PROMOTE_REFUSED,
	};
	enum token_state state =
		e->duty->options.fenced ? TOKEN_NEWEST : look_up_token(e);
	char token[24];

	if (state == TOKEN_NEWEST)
		return true;
	e->outcome = outcomes[state];
	g_snprintf(token, sizeof(token), "%" G_GUINT64_FORMAT, e->token);
	log_event(G_LOG_LEVEL_INFO, "promote_withheld", "service",
		  e->service_name, "token", token, "reason",
		  state == TOKEN_OLDER ? "older_token" : "store", NULL);
	return false;
}

static void promote(struct errand *e)
{
	struct promoter *d = e->duty;
	struct http_client *http;

	if (!may_call(e))
		return;
	http = http_client_new(d->options.promote_address);
	e->outcome = d->options.api->promote(
		http, d->options.instance, e->service_name, e->endpoint,
		e->token, loop_now() + d->options.call_limit);
	http_client_free(http);
}

static void run(gpointer data, gpointer unused)
{
	struct errand *e = data;

	(void)unused;
	if (e->kind == PROXY_TAKE_TOKEN)
		take_token(e);
	else
		promote(e);
	loop_post(e->duty->loop, on_done, e);
}

struct promoter *promoter_new(struct loop *loop,
			      const struct promoter_options *options,
			      struct proxy_sink sink)
{
	struct promoter *d = g_new0(struct promoter, 1);

	d->loop = loop;
	d->options = *options;
	d->sink = sink;
	d->threads = g_thread_pool_new(run, d, THREADS_MOST, FALSE, NULL);
	return d;
}

void promoter_free(struct promoter *d)
{
	if (!d)
		return;
	d->stopping = true;
	g_thread_pool_free(d->threads, TRUE, TRUE);
	loop_drain(d->loop);
	g_free(d);
}

void promoter_submit(struct promoter *d, const struct proxy_action *a)
{
	struct errand *e = g_new0(struct errand, 1);

	e->duty = d;
	e->kind = a->kind;
	e->service = a->duty.id;
	e->token = a->duty.token;
	g_strlcpy(e->service_name, a->duty.service, sizeof(e->service_name));
	g_strlcpy(e->endpoint, a->duty.endpoint, sizeof(e->endpoint));
	g_thread_pool_push(d->threads, e, NULL);
}
