/** @file feed.c Threads that watch and list the platform and write status. */
#include "feed.h"

#include <glib.h>
#include <stdatomic.h>

#include "../core/rng.h"
#include "log.h"
#include "loop.h"
#include "platform.h"
#include "publish.h"

#define BACKOFF_MIN (50 * HM_MS)
#define BACKOFF_MAX (2 * HM_SEC)
#define JITTER_DIVISOR 8 /* intervals are shortened by up to 1/8 */
/*
 * The thread that reads lists does so in rounds, one at each interval.
 * Contracts that are not watched are listed once in this many rounds.
 */
#define UNWATCHED_LIST_ROUNDS 12

/** A thread with its own connection to the platform. */
struct reader {
	struct feed *feed;
	const char *kind; /**< kind that it watches; NULL: it reads lists */
	struct object_api *api;
	struct rng rng;
	hm_time backoff;
	uint64_t from; /**< version up to which a watch has read changes */
	/** the watching thread has read a list, so that @a from is valid */
	bool listed;
	GThread *thread;
};

enum {
	READ_CONTRACTS,
	READ_DATABASES,
	READ_EVACUATIONS,
	READ_LISTS,
	READER_COUNT
};

struct feed {
	struct feed_options options;
	struct publish *publish;
	struct reader readers[READER_COUNT];
	GMutex lock; /**< guards the fields below */
	GCond changed;
	bool stopping;
	bool watching;
	bool published; /**< a status object waits to be written */
};

void feed_item_free(struct feed_item *item)
{
	if (!item)
		return;
	object_list_clear(&item->list);
	json_decref(item->instances);
	g_free(item);
}

static void deliver_health(struct feed *f, bool ok)
{
	struct feed_item *item = g_new0(struct feed_item, 1);

	item->type = FEED_HEALTH;
	item->ok = ok;
	f->options.deliver(f->options.owner, item);
}

static void deliver_objects(struct reader *r, const char *kind, bool complete,
			    const struct object_list *list)
{
	struct feed_item *item = g_new0(struct feed_item, 1);

	item->type = FEED_OBJECTS;
	item->kind = kind;
	item->complete = complete;
	item->list = *list;
	r->feed->options.deliver(r->feed->options.owner, item);
}

static bool is_stopping(struct feed *f)
{
	bool stopping;

	g_mutex_lock(&f->lock);
	stopping = f->stopping;
	g_mutex_unlock(&f->lock);
	return stopping;
}

/*
 * Waits until the time @a until or the stop. Returns early when a status
 * object is published and @a wake_on_publish is set.
 */
static void wait_until(struct feed *f, hm_time until, bool wake_on_publish)
{
	gint64 end = g_get_monotonic_time() + until - loop_now();

	g_mutex_lock(&f->lock);
	while (!f->stopping && !(wake_on_publish && f->published))
		if (!g_cond_wait_until(&f->changed, &f->lock, end))
			break;
	g_mutex_unlock(&f->lock);
}

static hm_time with_jitter(struct reader *r, hm_time interval)
{
	uint64_t spread = (uint64_t)(interval / JITTER_DIVISOR) + 1;

	return interval - (hm_time)rng_below(&r->rng, spread);
}

static void back_off(struct reader *r)
{
	hm_time wait = r->backoff ? r->backoff : BACKOFF_MIN;

	r->backoff = MIN(wait * 2, BACKOFF_MAX);
	wait = wait / 2 + (hm_time)rng_below(&r->rng, (uint64_t)wait);
	wait_until(r->feed, loop_now() + wait, false);
}

static void handle_failure(struct reader *r, const char *call)
{
	if (is_stopping(r->feed))
		return;
	log_event(G_LOG_LEVEL_WARNING, "platform_failed", "call", call, "kind",
		  r->kind, NULL);
	deliver_health(r->feed, false);
	back_off(r);
}

/*
 * Reads and delivers the list of objects of @a kind; stores its version in
 * *version.
 */
static bool read_list(struct reader *r, const char *kind, uint64_t *version)
{
	hm_time until = loop_now() + r->feed->options.call_limit;
	struct object_list list;

	if (object_api_list(r->api, kind, until, &list) != API_OK)
		return false;
	*version = list.version;
	deliver_objects(r, kind, true, &list);
	return true;
}

static void start_from_list(struct reader *r)
{
	if (!read_list(r, r->kind, &r->from)) {
		handle_failure(r, "list");
		return;
	}
	r->backoff = 0;
	r->listed = true;
	deliver_health(r->feed, true);
}

/*
 * Handles a failed watch; the list is read again next. A watch that reached its
 * time limit is not reported as a failure of the platform: the read of the list
 * shows whether it failed.
 */
static void handle_watch_failure(struct reader *r, hm_time until)
{
	r->listed = false;
	if (loop_now() < until)
		handle_failure(r, "watch");
	else
		log_event(G_LOG_LEVEL_WARNING, "watch_silent", "kind", r->kind,
			  NULL);
}

static void watch_once(struct reader *r)
{
	const struct feed_options *o = &r->feed->options;
	hm_time begin = loop_now();
	hm_time until = begin + o->watch_wait + o->call_limit;
	struct object_list list;
	bool early;

	if (object_api_watch(r->api, r->kind, r->from, o->watch_wait, until,
			     &list) != API_OK) {
		handle_watch_failure(r, until);
		return;
	}
	/*
	 * An empty reply long before the time limit would cause a busy loop, so
	 * the next watch is delayed.
	 */
	early = !list.count && loop_now() - begin < o->watch_wait / 2;
	r->from = MAX(r->from, list.version);
	deliver_objects(r, r->kind, false, &list);
	deliver_health(r->feed, true);
	if (early)
		back_off(r);
	else
		r->backoff = 0;
}

/*
 * Waits until this reader has a list or a watch to read; false when stopping.
 * Only the watch of contracts is switched off and on, after its first list.
 */
static bool wait_for_watch(struct reader *r)
{
	struct feed *f = r->feed;
	bool stopping;

	g_mutex_lock(&f->lock);
	while (!f->stopping && !f->watching && r->listed &&
	       r == &f->readers[READ_CONTRACTS])
		g_cond_wait(&f->changed, &f->lock);
	stopping = f->stopping;
	g_mutex_unlock(&f->lock);
	return !stopping;
}

static gpointer run_watch(gpointer data)
{
	struct reader *r = data;

	while (wait_for_watch(r)) {
		if (r->listed)
			watch_once(r);
		else
			start_from_list(r);
	}
	return NULL;
}

static bool read_instances(struct reader *r)
{
	hm_time until = loop_now() + r->feed->options.call_limit;
	struct feed_item *item;
	json_t *instances;

	if (object_api_instances(r->api, until, &instances) != API_OK)
		return false;
	item = g_new0(struct feed_item, 1);
	item->type = FEED_INSTANCES;
	item->instances = instances;
	r->feed->options.deliver(r->feed->options.owner, item);
	return true;
}

/*
 * Whether a status was published since the last call of this function; clears
 * the mark.
 */
static bool take_published(struct feed *f)
{
	bool published;

	g_mutex_lock(&f->lock);
	published = f->published;
	f->published = false;
	g_mutex_unlock(&f->lock);
	return published;
}

static bool is_watching(struct feed *f)
{
	bool watching;

	g_mutex_lock(&f->lock);
	watching = f->watching;
	g_mutex_unlock(&f->lock);
	return watching;
}

/*
 * Reads the instance list and, from the second round on, the object lists: at
 * first the watches read these themselves.
 */
static void read_round(struct reader *r, uint64_t round)
{
	bool contracts =
		is_watching(r->feed) || round % UNWATCHED_LIST_ROUNDS == 0;
	uint64_t version;

	if (!read_instances(r) ||
	    (round && !read_list(r, KIND_DATABASE, &version)) ||
	    (round && !read_list(r, KIND_EVACUATION, &version)) ||
	    (round && contracts && !read_list(r, KIND_CONTRACT, &version))) {
		handle_failure(r, "round");
		return;
	}
	r->backoff = 0;
	deliver_health(r->feed, true);
}

static gpointer run_lists(gpointer data)
{
	struct reader *r = data;
	struct feed *f = r->feed;
	hm_time next = 0;
	uint64_t round = 0;

	while (!is_stopping(f)) {
		if (loop_now() >= next) {
			next = loop_now() +
			       with_jitter(r, f->options.list_every);
			read_round(r, round++);
			take_published(f);
			publish_flush(f->publish, r->api,
				      f->options.call_limit);
		} else if (take_published(f)) {
			publish_flush(f->publish, r->api,
				      f->options.call_limit);
		}
		wait_until(f, next, true);
	}
	return NULL;
}

static void start_reader(struct feed *f, int index, const char *kind)
{
	struct reader *r = &f->readers[index];

	r->feed = f;
	r->kind = kind;
	r->rng.state = f->options.seed + (uint64_t)index;
	r->api = object_api_new(f->options.address);
	r->thread = g_thread_new(kind ? kind : "lists",
				 kind ? run_watch : run_lists, r);
}

struct feed *feed_new(const struct feed_options *options)
{
	struct feed *f = g_new0(struct feed, 1);

	f->options = *options;
	f->watching = options->watch;
	f->publish = publish_new();
	g_mutex_init(&f->lock);
	g_cond_init(&f->changed);
	start_reader(f, READ_CONTRACTS, KIND_CONTRACT);
	start_reader(f, READ_DATABASES, KIND_DATABASE);
	start_reader(f, READ_EVACUATIONS, KIND_EVACUATION);
	start_reader(f, READ_LISTS, NULL);
	return f;
}

void feed_free(struct feed *f)
{
	int i;

	if (!f)
		return;
	g_mutex_lock(&f->lock);
	f->stopping = true;
	g_cond_broadcast(&f->changed);
	g_mutex_unlock(&f->lock);
	for (i = 0; i < READER_COUNT; i++)
		object_api_cancel(f->readers[i].api);
	for (i = 0; i < READER_COUNT; i++)
		g_thread_join(f->readers[i].thread);
	for (i = 0; i < READER_COUNT; i++)
		object_api_free(f->readers[i].api);
	publish_free(f->publish);
	g_cond_clear(&f->changed);
	g_mutex_clear(&f->lock);
	g_free(f);
}

void feed_watch(struct feed *f, bool watch)
{
	g_mutex_lock(&f->lock);
	f->watching = watch;
	g_cond_broadcast(&f->changed);
	g_mutex_unlock(&f->lock);
}

void feed_publish(struct feed *f, const char *name, const char *rank_field,
		  uint64_t rank, json_t *value)
{
	publish_put(f->publish, name, rank_field, rank, value);
	g_mutex_lock(&f->lock);
	f->published = true;
	g_cond_broadcast(&f->changed);
	g_mutex_unlock(&f->lock);
}

uint64_t feed_calls(const struct feed *f)
{
	uint64_t calls = 0;
	int i;

	for (i = 0; i < READER_COUNT; i++)
		calls += object_api_calls(f->readers[i].api);
	return calls;
}
