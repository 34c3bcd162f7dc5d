/**
 * @file loop_delay.h
 * Whether an instance is busy, by how late its ticks are. A busy instance owns
 * fewer keys.
 */
#ifndef LOOP_DELAY_H
#define LOOP_DELAY_H

#include "types.h"

/** All zero is a valid start. */
struct loop_delay {
	hm_time due;	    /**< of the next tick, 0: none yet */
	hm_time average_us; /**< average delay, which decays over 1 s */
	hm_time late_since; /**< 0: not late */
	hm_time changed_at; /**< last change of @a busy, 0: none yet */
	bool busy;
};

/**
 * Takes the time of a tick that is due every @a interval.
 * @return whether @a busy has changed
 */
bool loop_delay_tick(struct loop_delay *d, hm_time interval, hm_time now);

#endif
