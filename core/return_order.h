/**
 * @file return_order.h
 * When refused operations are told to retry. Operations that wait for the same
 * thing (the members of a service, the rate tokens of an account) share a
 * queue; each is told the time by which those ahead of it can have been served,
 * so that clients that were refused together return one after the other.
 * Clients keep that order; nothing is held here.
 */
#ifndef RETURN_ORDER_H
#define RETURN_ORDER_H

#include "priority.h"
#include "types.h"

/** Times from now, between which a client is told to retry. */
#define RETURN_MIN (20 * HM_MS)
#define RETURN_MAX (1 * HM_SEC)

/** All queues; bounded in size. */
struct return_order;

struct return_order *return_order_new(void);
void return_order_free(struct return_order *o);
/** Records that an operation was served. */
void return_order_served(struct return_order *o, hm_id queue, uint32_t level,
			 hm_time now);
/**
 * Time at which an operation that is refused now is to retry.
 * @param earliest time before which a retry is useless, or 0. If that is later
 * than RETURN_MAX from now it is the result.
 */
hm_time return_order_next(struct return_order *o, hm_id queue, uint32_t level,
			  hm_time earliest, hm_time now);

/** What the client of a session was told; all zero for nothing. */
struct return_ticket {
	hm_id service; /**< that refused it */
	char *text;    /**< owned; statement without its request ID */
	hm_time at;
};

/**
 * Records that the client of @a text (copied) was told to retry at @a at by
 * @a service.
 */
void return_ticket_set(struct return_ticket *t, hm_id service, const char *text,
		       hm_time at);
/**
 * Whether @a text returns to the service that refused it, within 300 ms of the
 * time that it was told.
 */
bool return_ticket_is_due(const struct return_ticket *t, hm_id service,
			  const char *text, hm_time now);
void return_ticket_clear(struct return_ticket *t);

#endif
