/** @file conn_backoff.c Delay of connection attempts at a full member. */
#include "conn_backoff.h"

/* The member counts a closed connection until it notices the close. */
#define BACKOFF_FIRST (50 * HM_MS)
#define BACKOFF_MAX (400 * HM_MS)
/* After this time a full member may accept another connection again. */
#define SWAP_SPAN (150 * HM_MS)

void conn_backoff_refused(struct conn_backoff *b, uint32_t open, hm_time began,
			  hm_time now)
{
	/* Attempts made at the same time are refused together. */
	if (!b->full)
		b->delay = BACKOFF_FIRST;
	else if (began > b->refused_at)
		b->delay =
			b->delay * 2 < BACKOFF_MAX ? b->delay * 2 : BACKOFF_MAX;
	b->full = true;
	b->count = open;
	b->refused_at = now;
	b->swap_at = now + BACKOFF_FIRST;
	b->grow_at = now + b->delay;
	b->swap_until = now + SWAP_SPAN;
}

void conn_backoff_accepted(struct conn_backoff *b, uint32_t open)
{
	if (open > b->count)
		*b = (struct conn_backoff){ 0 };
}
