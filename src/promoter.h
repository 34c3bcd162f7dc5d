/**
 * @file promoter.h
 * Takes fencing tokens from the store and makes the promote call, by which the
 * platform replaces a primary. Both run on worker threads; results are
 * delivered on the event loop's thread.
 */
#ifndef PROMOTER_H
#define PROMOTER_H

#include "loop.h"
#include "proxy_sink.h"
#include "store_client.h"

struct promoter;

struct promoter_options {
	const struct site_api *api;
	const char *store_address; /**< "IP:port" of the store */
	struct store_era *era;	   /**< newest known era, borrowed */
	/** "IP:port" to which the promote call is sent. */
	const char *promote_address;
	const char *instance; /**< own name, written as the token's holder */
	/** whether the platform refuses promote calls with an older token */
	bool fenced;
	hm_time token_limit; /**< longest time to take a token, with retries */
	hm_time call_limit;  /**< timeout of one call */
};

struct promoter *promoter_new(struct loop *loop,
			      const struct promoter_options *options,
			      struct proxy_sink sink);
void promoter_free(struct promoter *p);
/**
 * Starts PROXY_TAKE_TOKEN or PROXY_PROMOTE; the result is the event
 * PROXY_TOKEN or PROXY_PROMOTED.
 */
void promoter_submit(struct promoter *p, const struct proxy_action *action);

#endif
