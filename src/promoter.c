/** @file promoter.c Takes fencing tokens and sends promote calls. */
#include "promoter.h"

#include <string.h>

#include "../core/fencing.h"
#include "log.h"
#include "names.h"
#include "token_object.h"

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
	/** Of its own, so that records do not delay a change of primary. */
	GThreadPool *record_thread;
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
	bool has_record; /* in a result: the store told the record */
	struct voter_record record;
};

static void on_done(void *arg)
{
	struct job *job = arg;
	const struct voter_record *record =
		job->has_record ? &job->record : NULL;
	struct proxy_event event = { 0 };

	if (job->kind == PROXY_TAKE_TOKEN) {
		event.kind = PROXY_TOKEN;
		event.token.service = job->service;
		event.token.taken = job->taken;
		event.token.token = job->token;
		event.token.record = job->taken ? record : NULL;
	} else if (job->kind == PROXY_RECORD_VOTERS) {
		event.kind = PROXY_VOTERS;
		event.voters.service = job->service;
		event.voters.record = record;
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
 * Writes the token object, whose present revision is that of @a current. The
 * record counts only when the era of the answer is still the same; its version
 * is then the one that the write gave it.
 */
static enum store_outcome write_object(struct job *job,
				       struct store_client *store,
				       const struct store_object *current,
				       const char *name, const json_t *value,
				       hm_time until)
{
	json_t *with_record = token_object_with_voters(value, &job->record);
	struct store_version at;
	enum store_outcome outcome;

	outcome = store_client_write(store, STORE_TOKENS, name,
				     current->at.revision, with_record, until,
				     &at);
	json_decref(with_record);
	if (outcome == STORE_OK && at.era != current->at.era)
		outcome = STORE_UNAVAILABLE;
	job->has_record = outcome == STORE_OK && at.revision;
	job->record.voters.at = at;
	return outcome;
}

/*
 * Takes over the stored record, or keeps the job's own if there is none. That
 * there was a commit is not added: a call with an older token may be under way,
 * made when empty logs counted as complete.
 */
static void take_over_record(struct job *job,
			     const struct store_object *current)
{
	struct voter_record stored;

	if (token_object_read_voters(current->value, current->at, &stored))
		job->record = stored;
}

/*
 * One attempt: reads the newest token of the era and writes the next one and
 * that a change of primary runs, on condition that the object's revision has
 * not changed. When the answer to an earlier write was lost, the write is
 * recognized by its nonce.
 */
static bool take_once(struct job *job, struct store_client *store,
		      uint64_t nonce, hm_time until)
{
	uint64_t era = store_era_newest(store->era);
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
	job->token = token_object_token(&current);
	take_over_record(job, &current);
	taken = token_object_has_nonce(&current, nonce);
	job->has_record = taken;
	if (taken) {
		job->record.was_changing = true; /* it may have been */
		goto out;
	}
	job->token = fencing_next(job->token, era);
	if (!job->token)
		goto out;
	job->record.was_changing = job->record.changing;
	job->record.changing = true;
	job->record.token = job->token;
	value = token_object_value(job->promoter->options.instance, job->token,
				   nonce);
	outcome = write_object(job, store, &current, name, value, until);
	taken = outcome == STORE_OK;
	json_decref(value);
out:
	store_object_clear(&current);
	return taken;
}

/*
 * Reads the record. One that the job brings is written first, if the stored one
 * still has the version that it states. Returns false if the store did not
 * answer, or in another era than was known.
 */
static bool record_once(struct job *job, struct store_client *store,
			hm_time until)
{
	struct store_version wanted = job->record.voters.at;
	uint64_t era = store_era_newest(store->era);
	char name[OBJECT_NAME_BYTES];
	enum store_outcome outcome;
	struct store_object current;
	bool answered;

	object_name(job, era, name);
	outcome = store_client_read(store, STORE_TOKENS, name, until, &current);
	answered = (outcome == STORE_OK || outcome == STORE_NOT_FOUND) &&
		   current.at.era == era;
	if (answered && voters_known(&job->record.voters) &&
	    wanted.era == era && wanted.revision == current.at.revision) {
		write_object(job, store, &current, name, current.value, until);
	} else if (answered) {
		token_object_read_voters(current.value, current.at,
					 &job->record);
		job->has_record = true;
	}
	store_object_clear(&current);
	return answered;
}

static void record_voters(struct job *job)
{
	struct promoter *p = job->promoter;
	struct http_client *http = http_client_new(p->options.store_address);
	struct store_client store = store_client_of(p, http);
	hm_time until = loop_now() + p->options.call_limit;
	uint64_t era = store_era_newest(store.era);

	/* The first answer may be the one that tells the era. */
	if (!record_once(job, &store, until) &&
	    store_era_newest(store.era) != era)
		record_once(job, &store, until);
	http_client_free(http);
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
	    !fencing_is_newest(job->token, token_object_token(&current),
			       current.at.era))
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
	else if (job->kind == PROXY_RECORD_VOTERS)
		record_voters(job);
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
	p->record_thread = g_thread_pool_new(run, p, 1, FALSE, NULL);
	return p;
}

void promoter_free(struct promoter *p)
{
	if (!p)
		return;
	p->stopping = true;
	g_thread_pool_free(p->threads, TRUE, TRUE);
	g_thread_pool_free(p->record_thread, TRUE, TRUE);
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
	if (a->duty.record)
		job->record = *a->duty.record;
	g_thread_pool_push(a->kind == PROXY_RECORD_VOTERS ? p->record_thread
							  : p->threads,
			   job, NULL);
}
