/**
 * @file feed.h
 * Threads that read the platform: one watches contracts, one watches database
 * groups, one reads lists at a fixed pace and writes status objects. A watch
 * that does not answer in time is replaced after a new read of the list, and
 * the lists of each round catch what a watch missed.
 */
#ifndef FEED_H
#define FEED_H

#include "object_api.h"

struct feed;

/** What a thread read, owned by the receiver. */
struct feed_item {
	enum {
		FEED_OBJECTS,	/**< @a list of @a kind */
		FEED_INSTANCES, /**< @a instances */
		FEED_HEALTH	/**< @a ok tells whether calls are answered */
	} type;
	const char *kind; /**< static */
	bool complete;	  /**< all live objects of the kind, not changes */
	struct object_list list;
	json_t *instances;
	bool ok;
};

void feed_item_free(struct feed_item *item);

struct feed_options {
	const char *address;
	hm_time call_limit;
	hm_time watch_wait;
	hm_time list_every;
	uint64_t seed;
	bool watch; /**< watch contracts, else read their list now and then */
	/** Called on threads of the feed; takes over @a item. */
	void (*deliver)(void *owner, struct feed_item *item);
	void *owner;
};

/** Starts the threads. */
struct feed *feed_new(const struct feed_options *options);
/** Ends running calls and the threads. */
void feed_free(struct feed *f);
void feed_watch(struct feed *f, bool watch);
/**
 * Publishes a status object, best effort. Of two values with the same name
 * the one with the higher @a rank stays, which the value holds as integer
 * @a rank_field. Takes over the reference to @a value.
 */
void feed_publish(struct feed *f, const char *name, const char *rank_field,
		  uint64_t rank, json_t *value);
/** Calls made so far. */
uint64_t feed_calls(const struct feed *f);

#endif
