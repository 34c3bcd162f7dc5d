/**
 * @file feed.h
 * The platform feed: threads that read the platform's object API. One watches
 * contracts, one database groups, one evacuations, and one reads all lists at a
 * fixed interval and writes status objects. A watch without a reply in time is
 * restarted after a new read of the list. The lists that are read at the
 * interval contain changes that a watch missed.
 */
#ifndef FEED_H
#define FEED_H

#include "object_api.h"

struct feed;

/** What a thread read; the receiver owns it. */
struct feed_item {
	enum {
		FEED_OBJECTS,	/**< @a list of @a kind */
		FEED_INSTANCES, /**< @a instances */
		/** @a ok tells whether the platform replies to calls */
		FEED_HEALTH
	} type;
	const char *kind; /**< a static string */
	bool complete;	  /**< @a list has all existing objects, not changes */
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
	/** whether contracts are watched at first, see feed_watch() */
	bool watch;
	/**
	 * Receives what a thread read, called on that thread; takes ownership
	 * of @a item.
	 */
	void (*deliver)(void *owner, struct feed_item *item);
	void *owner;
};

/** Creates a feed and starts its threads. */
struct feed *feed_new(const struct feed_options *options);
/** Aborts running calls, joins the threads and frees the feed. */
void feed_free(struct feed *f);
/**
 * Switches the watch of contracts on or off. While the watch is off, contracts
 * are read only as a list, and only every few intervals of the regular reads.
 */
void feed_watch(struct feed *f, bool watch);
/**
 * Publishes a status object, best effort. @a value has the integer @a rank in
 * its field @a rank_field; of two values with the same name the one with the
 * higher rank stays. Takes ownership of the reference to @a value.
 */
void feed_publish(struct feed *f, const char *name, const char *rank_field,
		  uint64_t rank, json_t *value);
/** Number of calls made to the platform so far. */
uint64_t feed_calls(const struct feed *f);

#endif
