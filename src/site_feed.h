/**
 * @file site_feed.h
 * Store feed: reads the platform's store on threads of its own. It lists and
 * watches the configuration and the members, and lists the addresses of
 * instances at an interval. Results are delivered on the event loop's thread.
 * The newest documents are cached, to be sent to peers.
 */
#ifndef SITE_FEED_H
#define SITE_FEED_H

#include "loop.h"
#include "proxy_sink.h"
#include "store_client.h"

struct site_feed;

struct site_feed_options {
	const struct site_api *api;
	const char *store_address; /**< "IP:port" */
	struct store_era *era;	   /**< newest known era, borrowed */
	struct zone_names zones;
	const char *instance;	  /**< own name */
	const char *peer_address; /**< own address for peers */
	hm_time call_limit;	  /**< timeout of one call */
	hm_time watch_wait;	  /**< longest wait of the store for changes */
	hm_time list_every; /**< interval of reading instances' addresses */
	/** Whether operators evacuate zones, so that requests to do so are read. */
	bool evacuations;
	uint64_t seed;
	/** Called on the loop's thread with the addresses of all instances. */
	void (*addresses)(void *owner, const char (*list)[ADDRESS_BYTES],
			  uint32_t count);
	void *owner;
};

struct site_feed *site_feed_new(struct loop *loop,
				const struct site_feed_options *options,
				struct proxy_sink sink);
/** Cancels running calls and ends the threads. */
void site_feed_free(struct site_feed *f);
/** Newest document of a kind, NULL when there is none; borrowed. */
const char *site_feed_document(const struct site_feed *f,
			       enum document_kind kind,
			       struct store_version *version);
/** Takes a document from a peer, when it is newer than the cached one. */
void site_feed_take(struct site_feed *f, const struct document *document);
/** When and how a feed reads the store. */
struct feed_schedule {
	hm_time poll_at;      /**< when to check the store for changes */
	hm_time batch_window; /**< pause between watches, to collect events */
	/** whether the feed watches; otherwise peers send changes */
	bool watches;
	bool reads[DOCUMENT_KIND_COUNT]; /**< read the document once */
};

/** Changes the schedule; call on the loop's thread. */
void site_feed_set_schedule(struct site_feed *f,
			    const struct feed_schedule *schedule);
/** Number of calls made to the store. */
uint64_t site_feed_calls(const struct site_feed *f);

#endif
