/** @file store_watch.c Threads that list, watch and poll the store. */
#include "site_feed_state.h"

#include <string.h>

#include "address.h"
#include "log.h"

/*
 * Shortest and longest pause after a failed call. All instances share the rate
 * limit of the store.
 */
#define PAUSE_FIRST (50 * HM_MS)
#define PAUSE_MAX (800 * HM_MS)
/* Shortest time from the start of one poll to the next. */
#define POLL_PAUSE (1000 * HM_MS)
/* Pauses are split into sleeps of this length, to end soon when stopped. */
#define PAUSE_SLICE (100 * HM_MS)

static void deliver_health(struct site_feed *f, bool ok)
{
	struct delivery d = { .what = DELIVER_HEALTH, .ok = ok };

	feed_deliver(f, &d);
}

static void sleep_until(const struct watcher *w, hm_time until)
{
	while (loop_now() < until && !http_client_cancelled(w->http))
		g_usleep((gulong)MIN(until - loop_now() + 1, PAUSE_SLICE));
}

static void pause_calls(struct watcher *w)
{
	w->pause = CLAMP(w->pause * 2, PAUSE_FIRST, PAUSE_MAX);
	sleep_until(w, loop_now() + w->pause / 2 +
			       (hm_time)rng_below(&w->rng, (uint64_t)w->pause));
}

static hm_time call_until(const struct watcher *w)
{
	return loop_now() + w->feed->options.call_limit;
}

static void deliver_config(struct watcher *w, enum document_source source)
{
	json_t *value = g_hash_table_lookup(w->objects, "main");
	struct delivery d = { .what = DELIVER_DOCUMENT,
			      .kind = DOCUMENT_CONFIG,
			      .source = source };

	if (!value)
		return;
	d.json = json_incref(value);
	feed_deliver(w->feed, &d);
}

static void deliver_members(struct watcher *w)
{
	json_t *members = json_object();
	struct delivery d = { .what = DELIVER_DOCUMENT,
			      .kind = DOCUMENT_MEMBERS };
	gpointer name, value;
	GHashTableIter at;

	g_hash_table_iter_init(&at, w->objects);
	while (g_hash_table_iter_next(&at, &name, &value))
		json_object_set(members, name, value);
	d.json = json_pack("{s:I, s:I, s:o}", "era", (json_int_t)w->newest.era,
			   "revision", (json_int_t)w->newest.revision,
			   "members", members);
	feed_deliver(w->feed, &d);
}

static void apply_object(struct watcher *w, const struct store_object *o)
{
	if (o->gone || !o->value)
		g_hash_table_remove(w->objects, o->name);
	else
		g_hash_table_replace(w->objects, g_strdup(o->name),
				     json_incref(o->value));
	if (store_version_compare(o->at, w->newest) > 0)
		w->newest = o->at;
}

static void apply_objects(struct watcher *w,
			  const struct store_objects *objects,
			  enum document_source source)
{
	size_t i;

	if (source != FROM_WATCH) {
		g_hash_table_remove_all(w->objects);
		/*
		 * The version of the list itself, not of its newest object:
		 * only that one reflects deleted objects.
		 */
		if (store_version_compare(objects->at, w->newest) > 0)
			w->newest = objects->at;
	}
	for (i = 0; i < objects->count; i++)
		apply_object(w, &objects->list[i]);
	if (w->kind == STORE_CONFIG)
		deliver_config(w, source);
	else
		deliver_members(w);
}

static struct store_client store_client_of(const struct watcher *w,
					   struct http_client *http)
{
	const struct site_feed_options *o = &w->feed->options;

	return (struct store_client){ o->api, http, o->era };
}

/*
 * Reads and delivers a full list. Returns the version from which to watch, or
 * zero when the store does not answer.
 */
static struct store_version list_all(struct watcher *w,
				     struct http_client *http,
				     enum document_source source)
{
	struct store_client store = store_client_of(w, http);
	struct store_version from = { 0 };
	struct store_objects objects;

	if (store_client_list(&store, w->kind, false, call_until(w),
			      &objects) != STORE_OK)
		return from;
	from = objects.at;
	apply_objects(w, &objects, source);
	store_objects_clear(&objects);
	return from;
}

/*
 * Reads and delivers the zones that operators want evacuated. *at receives the
 * version of the store; false when it does not answer.
 */
static bool list_evacuations(struct watcher *w, struct store_version *at)
{
	struct store_client store = store_client_of(w, w->http);
	struct delivery d = { .what = DELIVER_EVACUATIONS };
	struct store_objects objects;
	uint16_t zone;
	size_t i;

	if (store_client_list(&store, STORE_EVACUATIONS, false, call_until(w),
			      &objects) != STORE_OK)
		return false;
	for (i = 0; i < objects.count; i++) {
		if (zone_names_find(w->feed->options.zones,
				    objects.list[i].name, &zone))
			d.evacuation.requested |= zone_bit(zone);
		else
			log_event(G_LOG_LEVEL_WARNING, "evacuation_ignored",
				  "zone", objects.list[i].name, "reason",
				  "no such zone", NULL);
	}
	*at = d.evacuation.at = objects.at;
	store_objects_clear(&objects);
	feed_deliver(w->feed, &d);
	return true;
}

/*
 * Makes one watch call. Returns the version from which to continue, or zero
 * when a new list is needed.
 */
static struct store_version watch_once(struct watcher *w,
				       struct store_version from, bool *ok)
{
	const struct site_feed_options *o = &w->feed->options;
	struct store_client store = store_client_of(w, w->http);
	const struct store_version list_again = { 0 };
	struct store_objects objects;
	enum store_outcome outcome;

	/* In another era the same revision may belong to another change. */
	if (store_era_newest(o->era) != from.era) {
		*ok = true;
		return list_again;
	}
	outcome = store_client_watch(
		&store, w->kind, from.revision, o->watch_wait,
		loop_now() + o->watch_wait + o->call_limit, &objects);
	*ok = outcome == STORE_OK || outcome == STORE_HISTORY_DISCARDED;
	if (outcome == STORE_HISTORY_DISCARDED ||
	    (outcome == STORE_OK && objects.at.era != from.era)) {
		store_objects_clear(&objects);
		return list_again;
	}
	if (outcome != STORE_OK)
		return from;
	/*
	 * An interrupted watch may end without the events that it missed. An
	 * answer without events therefore does not advance the version: the
	 * next watch starts from the same one until the store discards it.
	 */
	if (objects.count) {
		from = objects.at;
		apply_objects(w, &objects, FROM_WATCH);
	}
	store_objects_clear(&objects);
	return from;
}

/* Lists and watches one kind; a failed call is repeated after a pause. */
static gpointer watch_thread(gpointer arg)
{
	struct watcher *w = arg;
	bool reported = false, healthy = false, ok;
	/* Members are used only once it is known which zones are evacuated. */
	bool evacuations_due =
		w->kind == STORE_MEMBERS && w->feed->options.evacuations;
	struct store_version from = { 0 }, at;

	while (!http_client_cancelled(w->http)) {
		if (evacuations_due) {
			ok = list_evacuations(w, &at);
			evacuations_due = !ok;
		} else if (from.revision) {
			if (!feed_wait_to_watch(w->feed))
				break;
			from = watch_once(w, from, &ok);
		} else {
			from = list_all(w, w->http, FROM_LIST);
			ok = from.revision != 0;
		}
		if (w->kind == STORE_CONFIG && (!reported || ok != healthy))
			deliver_health(w->feed, ok);
		reported = true;
		healthy = ok;
		if (!ok) {
			pause_calls(w);
			continue;
		}
		w->pause = 0;
		if (w->kind == STORE_MEMBERS)
			sleep_until(
				w, loop_now() +
					   atomic_load(&w->feed->batch_window));
	}
	return NULL;
}

/*
 * Writes this instance's address to the store; true once the store has it,
 * *era is then the era of its answer. Only this instance writes the object.
 */
static bool register_self(struct watcher *w, uint64_t *era)
{
	const struct site_feed_options *o = &w->feed->options;
	struct store_client store = store_client_of(w, w->http);
	json_t *value = json_pack("{s:s}", "address", o->peer_address);
	struct store_object current;
	enum store_outcome outcome;
	struct store_version at;

	outcome = store_client_write(&store, STORE_INSTANCES, o->instance, 0,
				     value, call_until(w), &at);
	if (outcome == STORE_CONFLICT &&
	    store_client_read(&store, STORE_INSTANCES, o->instance,
			      call_until(w), &current) == STORE_OK) {
		outcome = STORE_OK;
		at = current.at;
		if (!json_equal(current.value, value))
			outcome = store_client_write(
				&store, STORE_INSTANCES, o->instance,
				current.at.revision, value, call_until(w), &at);
		store_object_clear(&current);
	}
	json_decref(value);
	*era = at.era;
	return outcome == STORE_OK;
}

/*
 * Registers this instance in the store. Called at the start, and whenever the
 * store's era has changed.
 */
static bool register_again(struct watcher *w, uint64_t *era)
{
	char text[24];

	if (!register_self(w, era))
		return false;
	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, *era);
	log_event(G_LOG_LEVEL_INFO, "registered", "era", text, NULL);
	return true;
}

static bool read_addresses(struct watcher *w, bool stale)
{
	struct store_client store = store_client_of(w, w->http);
	struct delivery d = { .what = DELIVER_ADDRESSES };
	struct store_objects objects;
	const char *address;
	size_t i;

	if (store_client_list(&store, STORE_INSTANCES, stale, call_until(w),
			      &objects) != STORE_OK)
		return false;
	d.json = json_array();
	for (i = 0; i < objects.count; i++) {
		address = json_string_value(
			json_object_get(objects.list[i].value, "address"));
		if (address && strlen(address) < ADDRESS_BYTES &&
		    address_can_connect(address))
			json_array_append_new(d.json, json_string(address));
		else
			log_event(G_LOG_LEVEL_WARNING, "instance_ignored",
				  "instance", objects.list[i].name, NULL);
	}
	store_objects_clear(&objects);
	feed_deliver(w->feed, &d);
	return true;
}

/*
 * Reads the version of the store by a list of the kind with the fewest objects.
 * Where operators evacuate zones, these are listed, which reads them as well.
 */
static bool read_version(struct watcher *w, struct store_version *at)
{
	struct store_client store = store_client_of(w, w->http);
	struct store_objects objects;

	if (w->feed->options.evacuations)
		return list_evacuations(w, at);
	if (store_client_list(&store, STORE_TOKENS, false, call_until(w),
			      &objects) != STORE_OK)
		return false;
	*at = objects.at;
	store_objects_clear(&objects);
	return true;
}

/*
 * Lists the documents when the store has changed since version @a seen; false
 * when the store does not answer.
 */
static bool poll_store(struct watcher *w, struct store_version *seen)
{
	struct store_version at;
	int kind;

	if (!read_version(w, &at))
		return false;
	if (!store_version_compare(at, *seen))
		return true;
	for (kind = 0; kind < DOCUMENT_KIND_COUNT; kind++)
		if (!list_all(&w->feed->polled[kind], w->http, FROM_POLL)
			     .revision)
			return false;
	*seen = at;
	return true;
}

/*
 * When the instances thread next lists addresses (read_at), and before which
 * time it does not poll the store for changes (poll_after).
 */
struct poll_schedule {
	hm_time read_at;
	hm_time poll_after;
};

static bool poll_due(const struct watcher *w, const struct poll_schedule *s)
{
	return loop_now() >= MAX(s->poll_after, atomic_load(&w->feed->poll_at));
}

static void poll_now(struct watcher *w, struct poll_schedule *s,
		     struct store_version *seen)
{
	struct delivery d = { .what = DELIVER_READ, .read_at = loop_now() };

	/*
	 * After DELIVER_READ the loop sets poll_at to the time of the next
	 * poll. A poll that failed is repeated after POLL_PAUSE.
	 */
	s->poll_after = d.read_at + POLL_PAUSE;
	if (poll_store(w, seen))
		feed_deliver(w->feed, &d);
}

/* Lists the documents that no peer has sent. */
static void read_documents(struct watcher *w)
{
	int kind;

	for (kind = 0; kind < DOCUMENT_KIND_COUNT; kind++)
		if (feed_take_read(w->feed, kind))
			list_all(&w->feed->polled[kind], w->http, FROM_READ);
}

/* Registers this instance, lists addresses and polls for changes. */
static gpointer instances_thread(gpointer arg)
{
	struct watcher *w = arg;
	hm_time every = w->feed->options.list_every;
	bool registered = false, read = false, ok;
	struct store_version seen = { 0 };
	struct poll_schedule s = { 0 };
	/* era of the store when this instance's entry was last seen there */
	uint64_t era = 0;

	while (!http_client_cancelled(w->http)) {
		/* A store restored from an older copy may lack the entry. */
		if (!registered ||
		    era != store_era_newest(w->feed->options.era))
			registered = register_again(w, &era);
		if (registered && loop_now() >= s.read_at) {
			ok = read_addresses(w, read);
			read |= ok;
			/* Else the thread that watches reports it. */
			if (!feed_is_watching(w->feed))
				deliver_health(w->feed, ok);
			s.read_at = loop_now() + (ok ? every : PAUSE_MAX);
		}
		if (poll_due(w, &s))
			poll_now(w, &s, &seen);
		else
			read_documents(w);
		g_usleep(registered ? PAUSE_SLICE : PAUSE_FIRST);
	}
	return NULL;
}

void watcher_init(struct watcher *w, struct site_feed *f, enum store_kind kind)
{
	w->feed = f;
	w->kind = kind;
	w->rng.state = f->options.seed + kind;
	w->objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   (GDestroyNotify)json_decref);
}

void watcher_start(struct watcher *w, struct site_feed *f, enum store_kind kind)
{
	watcher_init(w, f, kind);
	w->http = http_client_new(f->options.store_address);
	w->thread = g_thread_new(
		"site-feed",
		kind == STORE_INSTANCES ? instances_thread : watch_thread, w);
}

void watcher_stop(struct watcher *w)
{
	http_client_cancel(w->http);
	g_thread_join(w->thread);
	http_client_free(w->http);
	g_hash_table_unref(w->objects);
}
