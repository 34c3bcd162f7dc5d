/**
 * @file promoter.h
 * Takes fencing tokens from the store and makes the call that replaces a
 * primary, on threads of its own; outcomes are delivered on the loop.
 */
#ifndef DUTY_H
#define DUTY_H

#include "loop.h"
#include "proxy_sink.h"
#include "store_client.h"

struct promoter;

struct promoter_options {
	const struct site_api *api;
	const char *store_address; /**< "IP:port" of the store */
	struct store_era *era;	   /**< of the store, borrowed */
	const char
		*promote_address; /**< "IP:port" that takes the promote call */
	const char *instance;	  /**< own name, the holder */
	bool fenced; /**< that call is refused after one of a newer token */
	hm_time token_limit; /**< a token is taken by then, or is not */
	hm_time call_limit;
};

struct promoter *promoter_new(struct loop *loop,
			      const struct promoter_options *options,
			      struct proxy_sink sink);
void promoter_free(struct promoter *d);
/** PROXY_TAKE_TOKEN and PROXY_PROMOTE. */
void promoter_submit(struct promoter *d, const struct proxy_action *action);

#endif
