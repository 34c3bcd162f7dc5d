/** @file site_feed.c Delivers the store's documents on the loop's thread. */
#include "site_feed_state.h"

#include <string.h>

#include "json_lenient.h"
#include "log.h"

/*
 * Levels of a document above the parts that are left out when they cannot be
 * parsed: fields of a route or an account, and entries of members.
 */
static const unsigned int document_levels[DOCUMENT_KIND_COUNT] = {
	[DOCUMENT_CONFIG] = 3,
	[DOCUMENT_MEMBERS] = 2,
};

/* Caches a document for peers, unless the cached one is as new. */
static void cache_document(struct cached_document *cache, const json_t *json,
			   struct store_version version)
{
	if (store_version_compare(version, cache->version) <= 0)
		return;
	free(cache->text);
	cache->text = json_dumps(json, JSON_COMPACT);
	cache->version = version;
}

static void handle_config(struct site_feed *f, const json_t *json,
			  enum document_source source)
{
	struct proxy_event e = { .kind = PROXY_CONFIG };
	const char *fault;

	e.config = f->options.api->parse_config(json, f->options.zones, &fault);
	if (!e.config) {
		log_event(G_LOG_LEVEL_WARNING, "config_refused", "fault", fault,
			  NULL);
		return;
	}
	e.config->source = source;
	cache_document(&f->documents[DOCUMENT_CONFIG], json,
		       (struct store_version){ 0, e.config->version });
	proxy_sink_event(&f->sink, &e);
}

static void add_member(struct site_feed *f, struct site_members *m,
		       const char *name, const json_t *value)
{
	struct site_member *to = &m->list[m->count];

	if (f->options.api->parse_member(name, value, f->options.zones, to))
		m->count++;
	else
		log_event(G_LOG_LEVEL_INFO, "member_ignored", "member", name,
			  NULL);
}

static uint64_t read_number(const json_t *json, const char *name)
{
	return (uint64_t)json_integer_value(json_object_get(json, name));
}

/*
 * Takes the members from a document {"era": E, "revision": R, "members": {NAME:
 * ENTRY, ...}}.
 */
static void handle_members(struct site_feed *f, const json_t *json)
{
	struct proxy_event e = { .kind = PROXY_MEMBERS };
	json_t *members = json_object_get(json, "members");
	const char *name;
	json_t *value;

	if (!json_is_object(members))
		return;
	e.members = g_new0(struct site_members, 1);
	e.members->at.era = read_number(json, "era");
	e.members->at.revision = read_number(json, "revision");
	e.members->list =
		g_new0(struct site_member, json_object_size(members) + 1);
	json_object_foreach(members, name, value)
		add_member(f, e.members, name, value);
	cache_document(&f->documents[DOCUMENT_MEMBERS], json, e.members->at);
	proxy_sink_event(&f->sink, &e);
}

static void handle_document(struct site_feed *f, const struct delivery *d)
{
	if (d->kind == DOCUMENT_CONFIG)
		handle_config(f, d->json, d->source);
	else
		handle_members(f, d->json);
}

static void handle_addresses(struct site_feed *f, const struct delivery *d)
{
	const json_t *json = d->json;
	size_t n = json_array_size(json), i;
	char(*list)[ADDRESS_BYTES] = g_malloc0((n + 1) * ADDRESS_BYTES);

	for (i = 0; i < n; i++)
		g_strlcpy(list[i], json_string_value(json_array_get(json, i)),
			  ADDRESS_BYTES);
	f->options.addresses(f->options.owner,
			     (const char(*)[ADDRESS_BYTES])list, (uint32_t)n);
	g_free(list);
}

static void handle_health(struct site_feed *f, const struct delivery *d)
{
	struct proxy_event e = { .kind = PROXY_STORE, .store_ok = d->ok };

	proxy_sink_event(&f->sink, &e);
}

static void handle_read(struct site_feed *f, const struct delivery *d)
{
	struct proxy_event e = { .kind = PROXY_STORE_READ,
				 .read_at = d->read_at };

	proxy_sink_event(&f->sink, &e);
}

static void handle_evacuations(struct site_feed *f, const struct delivery *d)
{
	struct proxy_event e = { .kind = PROXY_EVACUATION,
				 .evacuation = &d->evacuation };

	proxy_sink_event(&f->sink, &e);
}

static void (*const handlers[])(struct site_feed *f,
				const struct delivery *d) = {
	[DELIVER_DOCUMENT] = handle_document,
	[DELIVER_ADDRESSES] = handle_addresses,
	[DELIVER_HEALTH] = handle_health,
	[DELIVER_READ] = handle_read,
	[DELIVER_EVACUATIONS] = handle_evacuations,
};

static void on_delivery(void *arg)
{
	struct delivery *d = arg;

	/* The sink must not be called once the feed is being freed. */
	if (!d->feed->stopping)
		handlers[d->what](d->feed, d);
	json_decref(d->json);
	g_free(d);
}

void feed_deliver(struct site_feed *f, const struct delivery *d)
{
	struct delivery *copy = g_memdup2(d, sizeof(*d));

	copy->feed = f;
	loop_post(f->loop, on_delivery, copy);
}

struct site_feed *site_feed_new(struct loop *loop,
				const struct site_feed_options *options,
				struct proxy_sink sink)
{
	struct site_feed *f = g_new0(struct site_feed, 1);

	f->loop = loop;
	f->options = *options;
	f->sink = sink;
	f->poll_at = HM_NEVER;
	g_mutex_init(&f->lock);
	g_cond_init(&f->changed);
	watcher_start(&f->config, f, STORE_CONFIG);
	watcher_start(&f->members, f, STORE_MEMBERS);
	watcher_init(&f->polled[DOCUMENT_CONFIG], f, STORE_CONFIG);
	watcher_init(&f->polled[DOCUMENT_MEMBERS], f, STORE_MEMBERS);
	watcher_start(&f->instances, f, STORE_INSTANCES);
	return f;
}

void site_feed_free(struct site_feed *f)
{
	int i;

	if (!f)
		return;
	g_mutex_lock(&f->lock);
	f->stopping = true;
	g_cond_broadcast(&f->changed);
	g_mutex_unlock(&f->lock);
	watcher_stop(&f->config);
	watcher_stop(&f->members);
	watcher_stop(&f->instances);
	loop_drain(f->loop);
	for (i = 0; i < DOCUMENT_KIND_COUNT; i++) {
		free(f->documents[i].text);
		g_hash_table_unref(f->polled[i].objects);
	}
	g_cond_clear(&f->changed);
	g_mutex_clear(&f->lock);
	g_free(f);
}

const char *site_feed_document(const struct site_feed *f,
			       enum document_kind kind,
			       struct store_version *version)
{
	*version = f->documents[kind].version;
	return f->documents[kind].text;
}

void site_feed_take(struct site_feed *f, const struct document *d)
{
	unsigned int dropped;
	json_t *json;

	if (!d->data || store_version_compare(
				d->version, f->documents[d->kind].version) <= 0)
		return;
	json = json_lenient_load(d->data, d->bytes, document_levels[d->kind],
				 &dropped);
	if (json)
		handle_document(f, &(struct delivery){ .kind = d->kind,
						       .source = FROM_PEER,
						       .json = json });
	else
		log_event(G_LOG_LEVEL_WARNING, "document_malformed", NULL);
	json_decref(json);
}

bool feed_wait_to_watch(struct site_feed *f)
{
	bool running;

	g_mutex_lock(&f->lock);
	while (!f->watches && !f->stopping)
		g_cond_wait(&f->changed, &f->lock);
	running = !f->stopping;
	g_mutex_unlock(&f->lock);
	return running;
}

bool feed_take_read(struct site_feed *f, enum document_kind kind)
{
	bool read;

	g_mutex_lock(&f->lock);
	read = f->reads[kind];
	f->reads[kind] = false;
	g_mutex_unlock(&f->lock);
	return read;
}

bool feed_is_watching(struct site_feed *f)
{
	bool watches;

	g_mutex_lock(&f->lock);
	watches = f->watches;
	g_mutex_unlock(&f->lock);
	return watches;
}

void site_feed_set_schedule(struct site_feed *f,
			    const struct feed_schedule *schedule)
{
	static const char *const read_events[DOCUMENT_KIND_COUNT] = {
		[DOCUMENT_CONFIG] = "config_read",
		[DOCUMENT_MEMBERS] = "members_read",
	};
	int kind;

	atomic_store(&f->poll_at, schedule->poll_at);
	atomic_store(&f->batch_window, schedule->batch_window);
	g_mutex_lock(&f->lock);
	if (f->watches != schedule->watches) {
		log_event(G_LOG_LEVEL_INFO, "store_watch", "watches",
			  schedule->watches ? "1" : "0", NULL);
		f->watches = schedule->watches;
		g_cond_broadcast(&f->changed);
	}
	for (kind = 0; kind < DOCUMENT_KIND_COUNT; kind++) {
		if (!schedule->reads[kind])
			continue;
		log_event(G_LOG_LEVEL_INFO, read_events[kind], NULL);
		f->reads[kind] = true;
	}
	g_mutex_unlock(&f->lock);
}

uint64_t site_feed_calls(const struct site_feed *f)
{
	return http_client_calls(f->config.http) +
	       http_client_calls(f->members.http) +
	       http_client_calls(f->instances.http);
}
