/**
 * @file restart_pace.h
 * How many connections a new pool opens while its member may still count those
 * of a previous owner. The rest stays free for the service monitor and the
 * primary checks, without which no read can be served.
 */
#ifndef RESTART_PACE_H
#define RESTART_PACE_H

#include "types.h"

struct restart_pace {
	bool starting;
	/** All instances started together, so that members count old connections. */
	bool together;
	bool logged; /**< event=pool_starting was logged */
	hm_time created_at;
	hm_time quiet_since; /**< creation, or the last refusal at the limit */
	hm_time hold_until;  /**< no additional connection until then */
	uint64_t refused;    /**< connections refused at the limit */
	uint64_t reassigned; /**< given to another account while starting */
};

void restart_pace_begin(struct restart_pace *s, hm_time now);
/**
 * Whether the pool has ceased to start now.
 * @param confirmed a view with a confirmed primary is held
 */
bool restart_pace_ends(struct restart_pace *s, bool confirmed, hm_time now);
/** Records that the member refused a connection at its limit. */
void restart_pace_refused(struct restart_pace *s, hm_time now);
/**
 * Connections that a starting pool may have open.
 * @param slots of the member
 * @param open connections that are open now
 * @param held of these, those in use for longer than RESTART_PACE_HELD
 */
uint32_t restart_pace_most(const struct restart_pace *s, uint32_t slots,
			   uint32_t open, uint32_t held, hm_time now);
/**
 * Connections per second that become free at a starting pool with @a open
 * connections, as long as none has been measured.
 */
uint32_t restart_pace_rate(uint32_t open);

/**
 * A connection in use for so long without a pause is inside a transaction and
 * not available to other accounts.
 */
#define RESTART_PACE_HELD (50 * HM_MS)

#endif
