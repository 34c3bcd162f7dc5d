/**
 * @file seq_clock.h
 * Tells orders that were on their way for long from those just sent, without
 * comparing clocks: an order names the newest message of the receiver that
 * its sender had heard, and the receiver knows when it sent which number.
 */
#ifndef SEQ_CLOCK_H
#define SEQ_CLOCK_H

#include "types.h"

/** Older orders are void; homes remember what ended for longer than this. */
#define FORWARD_AGE_MAX (3 * HM_SEC)
#define SEQ_CLOCK_MARKS 32

/** Messages numbered @a seq and up were sent at @a at or later. */
struct seq_clock_mark {
	uint64_t seq;
	hm_time at;
};

/** All zero: no order is void. */
struct seq_clock {
	struct seq_clock_mark marks[SEQ_CLOCK_MARKS];
	uint32_t next;
	uint32_t count;
	hm_time stepped_at;
};

/**
 * Call on every step, with the number that the next message will get. Marks
 * are set at a pace, and after a pause of the instance: what was heard
 * before it may be as old as the pause is long.
 */
void seq_clock_step(struct seq_clock *f, uint64_t next_seq, hm_time now);
/** Whether an order whose sender had heard number @a received_seq is void. */
bool seq_clock_is_stale(const struct seq_clock *f, uint64_t received_seq,
			hm_time now);

#endif
