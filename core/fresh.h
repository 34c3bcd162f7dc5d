/**
 * @file fresh.h
 * Tells orders that were on their way for long from those just sent, without
 * comparing clocks: an order names the newest message of the receiver that
 * its sender had heard, and the receiver knows when it sent which number.
 */
#ifndef FRESH_H
#define FRESH_H

#include "types.h"

/** Older orders are void; homes remember what ended for longer than this. */
#define FRESH_LIMIT (3 * HM_SEC)
#define FRESH_MARKS 32

/** Messages numbered @a seq and up were sent at @a at or later. */
struct fresh_mark {
	uint64_t seq;
	hm_time at;
};

/** All zero: no order is void. */
struct fresh {
	struct fresh_mark marks[FRESH_MARKS];
	uint32_t next;
	uint32_t count;
	hm_time stepped_at;
};

/**
 * Call on every step, with the number that the next message will get. Marks
 * are set at a pace, and after a pause of the instance: what was heard
 * before it may be as old as the pause is long.
 */
void fresh_step(struct fresh *f, uint64_t next_seq, hm_time now);
/** Whether an order whose sender had heard number @a heard is void. */
bool fresh_is_void(const struct fresh *f, uint64_t heard, hm_time now);

#endif
