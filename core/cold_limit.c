/** @file cold_limit.c Token bucket of a cold member. */
#include "cold_limit.h"

/* Share of the limit that one owner uses, so that two owners stay within it. */
#define OWNER_SHARE 0.75
#define BURST 1.0 /* tokens */

bool cold_limit_take(struct cold_limit *c, bool inside, hm_time now,
		     hm_time *retry_at)
{
	double per_s = c->per_s * OWNER_SHARE;
	double needed = inside ? 1.0 - BURST : 1.0;

	if (now >= c->until || per_s <= 0)
		return true;
	/* An owner that takes over starts without a token. */
	if (c->filled_at)
		c->tokens += (double)(now - c->filled_at) * per_s / HM_SEC;
	if (c->tokens > BURST)
		c->tokens = BURST;
	c->filled_at = now;
	if (c->tokens < needed) {
		*retry_at =
			now + (hm_time)((needed - c->tokens) * HM_SEC / per_s);
		return false;
	}
	c->tokens -= 1.0;
	return true;
}
