/**
 * @file site_feed_state.h
 * Inside of a feed, shared by site_feed.c (documents, on the loop) and
 * store_watch.c (threads that call the store).
 */
#ifndef SITE_FEED_STATE_H
#define SITE_FEED_STATE_H

#include <stdatomic.h>

#include "../core/rng.h"
#include "site_feed.h"

struct watcher {
	struct site_feed *feed;
	enum store_kind kind;
	struct http_client *http;
	struct rng rng;
	GThread *thread;
	GHashTable *objects;	     /* json_t by name; this thread's alone */
	struct store_version newest; /* of what was delivered last */
	hm_time pause;
};

/* Text of a document and its version. */
struct held {
	char *text;
	struct store_version version; /* of a configuration without an era */
};

struct site_feed {
	struct loop *loop;
	struct site_feed_options options;
	struct proxy_sink sink;
	struct watcher config;
	struct watcher members;
	struct watcher instances;
	struct watcher polled[DOCUMENT_KIND_COUNT]; /* on its thread */
	struct held documents[DOCUMENT_KIND_COUNT];
	bool stopping; /* set before the clients are cancelled */
	_Atomic hm_time poll_at;
	_Atomic hm_time batch_window;
	GMutex lock; /* for those that do not watch to wait */
	GCond changed;
	bool watches;
};

/* What a thread hands to the loop; owned by the receiver. */
struct delivery {
	struct site_feed *feed;
	enum {
		DELIVER_DOCUMENT,
		DELIVER_ADDRESSES,
		DELIVER_HEALTH,
		DELIVER_READ
	} what;
	enum document_kind kind;
	json_t *json;
	bool ok;
	hm_time read_at; /* DELIVER_READ: when the store was asked */
};

/** Waits until the feed is to watch; false when it stops. */
bool feed_wait_to_watch(struct site_feed *f);
/** Hands something to the loop; takes over what @a d points to. */
void feed_deliver(struct site_feed *f, const struct delivery *d);
/** Prepares a watcher that another thread uses. */
void watcher_init(struct watcher *w, struct site_feed *f, enum store_kind kind);
/** Starts a thread that watches a kind, or instances and the revision. */
void watcher_start(struct watcher *w, struct site_feed *f,
		   enum store_kind kind);
void watcher_stop(struct watcher *w);

#endif
