/**
 * @file reserve_store.h
 * Carries out the calls of core/token_reserve.h to the platform's store on a
 * worker thread, one at a time; answers are delivered on the event loop's
 * thread.
 */
#ifndef RESERVE_STORE_H
#define RESERVE_STORE_H

#include "loop.h"
#include "proxy_sink.h"
#include "store_client.h"

struct reserve_store;

struct reserve_store_options {
	const struct site_api *api;
	const char *store_address; /**< "IP:port" of the store */
	struct store_era *era;	   /**< newest known era, borrowed */
	hm_time call_limit;	   /**< timeout of one call */
};

struct reserve_store *reserve_store_new(struct loop *loop,
					const struct reserve_store_options *o,
					struct proxy_sink sink);
/** Waits for the call that is being made. */
void reserve_store_free(struct reserve_store *s);
/** Starts a call, whose answer is the event PROXY_RESERVED. Copies @a call. */
void reserve_store_submit(struct reserve_store *s,
			  const struct reserve_call *call);
/** Number of calls to the store so far. Callable from any thread. */
uint64_t reserve_store_calls(const struct reserve_store *s);

#endif
