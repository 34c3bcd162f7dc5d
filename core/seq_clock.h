/**
 * @file seq_clock.h
 * Detects forwarded statements that were in transit for too long, without
 * comparing clocks of two instances: a statement carries the number of the
 * newest message that its sender had received from this instance, and this
 * instance records when it sent which message number.
 */
#ifndef SEQ_CLOCK_H
#define SEQ_CLOCK_H

#include "types.h"

/**
 * Statements in transit for longer are discarded. The deduplication table of
 * an endpoint's owner keeps ended statements for longer than this.
 */
#define FORWARD_AGE_MAX (3 * HM_SEC)
#define SEQ_CLOCK_MARKS 32

/** Records that messages numbered @a seq and above were sent from @a at on. */
struct seq_clock_mark {
	uint64_t seq;
	hm_time at;
};

/** While all fields are zero, no statement counts as stale. */
struct seq_clock {
	struct seq_clock_mark marks[SEQ_CLOCK_MARKS];
	uint32_t next;
	uint32_t count;
	hm_time stepped_at;
};

/**
 * Records the number of the next message; call on every core step. A mark is
 * set at a fixed interval, and after a pause of the process, because messages
 * received from before the pause may be as old as the pause was long.
 */
void seq_clock_step(struct seq_clock *sc, uint64_t next_seq, hm_time now);
/**
 * Whether a statement is stale: @a received_seq is the number of the newest
 * message that its sender had received from this instance.
 */
bool seq_clock_is_stale(const struct seq_clock *sc, uint64_t received_seq,
			hm_time now);

#endif
