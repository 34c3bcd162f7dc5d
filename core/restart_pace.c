/** @file restart_pace.c Connections of a pool after its creation. */
#include "restart_pace.h"

/*
 * A member counts the connections of a lost instance for 3 s; the rest allows
 * for the time that it takes to detect the loss.
 */
#define STARTING_MAX (3500 * HM_MS)
/* A member without a refusal for so long has room for its pool. */
#define QUIET (1 * HM_SEC)
/*
 * The same if all instances started together: few connections are tried, so
 * that a member which counts lost ones for 3 s refuses none of them.
 */
#define QUIET_TOGETHER (3 * HM_SEC)
/*
 * After a refusal at the limit. A refused attempt takes the place of one by the
 * service monitor or a primary check, which are repeated after 100 ms.
 */
#define REFUSED_HOLD (200 * HM_MS)
/* A handshake of 12 ms and a statement of 18 ms, as measured in deployment A. */
#define TURN_ASSUMED (30 * HM_MS)

void restart_pace_begin(struct restart_pace *s, hm_time now)
{
	*s = (struct restart_pace){ .starting = true,
				    .created_at = now,
				    .quiet_since = now };
}

bool restart_pace_ends(struct restart_pace *s, bool confirmed, hm_time now)
{
	hm_time quiet = s->together ? QUIET_TOGETHER : QUIET;

	if (!s->starting)
		return false;
	s->starting = now - s->created_at < STARTING_MAX &&
		      !(confirmed && now - s->quiet_since >= quiet);
	return !s->starting;
}

void restart_pace_refused(struct restart_pace *s, hm_time now)
{
	if (!s->starting)
		return;
	s->refused++;
	s->quiet_since = now;
	s->hold_until = now + REFUSED_HOLD;
}

uint32_t restart_pace_most(const struct restart_pace *s, uint32_t slots,
			   uint32_t open, uint32_t held, hm_time now)
{
	uint32_t most = slots + held;

	/* Without any connection nothing could be reassigned. */
	if (now < s->hold_until && open && open < most)
		return open;
	return most;
}

uint32_t restart_pace_rate(uint32_t open)
{
	return (uint32_t)(open * HM_SEC / TURN_ASSUMED);
}
