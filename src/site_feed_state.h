/**
 * @file site_feed_state.h
 * Private state of a store feed, shared by site_feed.c (documents, on the event
 * loop's thread) and store_watch.c (threads that call the store).
 */
#ifndef SITE_FEED_STATE_H
#define SITE_FEED_STATE_H

#include <stdatomic.h>

#include "../core/rng.h"
#include "site_feed.h"

/* Reads objects of one kind on one thread. */
struct watcher {
	struct site_feed *feed;
	enum store_kind kind;
	struct http_client *http;
	struct rng rng;
	GThread *thread;
	GHashTable *objects; /* json_t by name; used by this thread only */
	struct store_version newest; /* newest version that was delivered */
	hm_time pause;
};

/*
 * Newest document of a kind (configuration or members) as JSON text, kept to be
 * sent to peers.
 */
struct cached_document {
	char *text;
	/* version of the document; the era is not set for the configuration */
	struct store_version version;
};

struct site_feed {
	struct loop *loop;
	struct site_feed_options options;
	struct proxy_sink sink;
	struct watcher config;
	struct watcher members;
	struct watcher instances;
	/* Used by the thread of the instances watcher, for polls. */
	struct watcher polled[DOCUMENT_KIND_COUNT];
	struct cached_document documents[DOCUMENT_KIND_COUNT];
	bool stopping; /* set before the clients are cancelled */
	_Atomic hm_time poll_at;
	_Atomic hm_time batch_window;
	GMutex lock;   /* protects the fields below and stopping */
	GCond changed; /* signaled when watches or stopping changes */
	bool watches;
	bool reads[DOCUMENT_KIND_COUNT];
};

/* Result of a thread, passed to the loop, which frees it. */
struct delivery {
	struct site_feed *feed;
	enum {
		DELIVER_DOCUMENT,
		DELIVER_ADDRESSES,
		DELIVER_HEALTH,
		DELIVER_READ,
		DELIVER_EVACUATIONS
	} what;
	enum document_kind kind;
	enum document_source source;
	struct evacuation_report evacuation;
	json_t *json;
	bool ok;
	/* time at which the poll began; only for DELIVER_READ */
	hm_time read_at;
};

/** Waits until the store is to be watched; false when the feed stops. */
bool feed_wait_to_watch(struct site_feed *f);
/** Whether a document is to be read now; clears the request. */
bool feed_take_read(struct site_feed *f, enum document_kind kind);
/** Whether this feed watches. */
bool feed_is_watching(struct site_feed *f);
/** Passes a copy of @a d to the loop, which then owns @a d->json. */
void feed_deliver(struct site_feed *f, const struct delivery *d);
/** Initializes a watcher without starting a thread. */
void watcher_init(struct watcher *w, struct site_feed *f, enum store_kind kind);
/**
 * Starts the thread of a watcher. The thread of STORE_INSTANCES registers this
 * instance, lists addresses and polls for changes; others watch their kind.
 */
void watcher_start(struct watcher *w, struct site_feed *f,
		   enum store_kind kind);
void watcher_stop(struct watcher *w);

#endif
