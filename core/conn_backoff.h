/**
 * @file conn_backoff.h
 * When the next connection is attempted after a member refused one at its
 * limit, maybe since it counts the connections of an instance that is gone.
 */
#ifndef CONN_BACKOFF_H
#define CONN_BACKOFF_H

#include "types.h"

/**
 * Delay of connection attempts after a member refused one at its limit. All
 * fields are 0 while the member is not known to be full.
 */
struct conn_backoff {
	bool full;
	uint32_t count;	    /**< connections open at the last refusal */
	hm_time delay;	    /**< used for grow_at */
	hm_time refused_at; /**< time of the last refusal */
	hm_time swap_at;    /**< from then on in place of a closed one */
	hm_time grow_at;    /**< from then on more than @a count */
	/** Until then an idle connection, if any, is closed for a new one. */
	hm_time swap_until;
};
/** @param began when the refused attempt was made */
void conn_backoff_refused(struct conn_backoff *b, uint32_t open, hm_time began,
			  hm_time now);
/** A connection was accepted; @a open are open now. */
void conn_backoff_accepted(struct conn_backoff *b, uint32_t open);

#endif
