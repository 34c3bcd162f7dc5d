/**
 * @file site_feed.h
 * Reads the platform's store on threads of its own: the configuration and the
 * members by list and watch, the addresses of instances now and then. What
 * was read is delivered on the loop, and kept to be shared with peers.
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
	struct store_era *era;	   /**< of the store, borrowed */
	struct zone_names zones;
	const char *instance;	  /**< own name */
	const char *peer_address; /**< own address for peers */
	hm_time call_limit;
	hm_time watch_wait;
	hm_time list_every; /**< pace of reading the addresses of instances */
	uint64_t seed;
	/** Addresses of all instances, on the loop's thread. */
	void (*addresses)(void *owner, const char (*list)[ADDRESS_BYTES],
			  uint32_t count);
	void *owner;
};

struct site_feed *site_feed_new(struct loop *loop,
				const struct site_feed_options *options,
				struct proxy_sink sink);
/** Ends running calls and the threads. */
void site_feed_free(struct site_feed *f);
/** A document that is in force, NULL when there is none; borrowed. */
const char *site_feed_document(const struct site_feed *f,
			       enum document_kind kind,
			       struct store_version *version);
/** A document that a peer sent. */
void site_feed_take(struct site_feed *f, const struct document *document);
/** How a feed reads the store. */
struct feed_schedule {
	hm_time poll_at;      /**< asks whether anything changed then */
	hm_time batch_window; /**< between two watches, for events of members */
	bool watches;	      /**< members, or is told of changes by peers */
};

void site_feed_set_schedule(struct site_feed *f,
			    const struct feed_schedule *pace);
uint64_t site_feed_calls(const struct site_feed *f);

#endif
