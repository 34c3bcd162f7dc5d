/**
 * @file duty.h
 * Takes fencing tokens from the store and makes the call that replaces a
 * primary, on threads of its own; outcomes are delivered on the loop.
 */
#ifndef DUTY_H
#define DUTY_H

#include "loop.h"
#include "proxy_sink.h"
#include "store_client.h"

struct duty;

struct duty_options {
	const struct site_api *api;
	const char *store;     /**< "IP:port" of the store */
	struct store_era *era; /**< of the store, borrowed */
	const char *calls;     /**< "IP:port" that takes the promote call */
	const char *instance;  /**< own name, the holder */
	bool fenced; /**< that call is refused after one of a newer token */
	hm_time token_limit; /**< a token is taken by then, or is not */
	hm_time call_limit;
};

struct duty *duty_new(struct loop *loop, const struct duty_options *options,
		      struct proxy_sink sink);
void duty_free(struct duty *d);
/** PROXY_TAKE_TOKEN and PROXY_PROMOTE. */
void duty_perform(struct duty *d, const struct proxy_action *action);

#endif
