/**
 * @file schedule.h
 * Scheduler of a simulation in virtual time: performs calls in the order of
 * their time, and those of the same time in the order of insertion.
 */
#ifndef SCHEDULE_H
#define SCHEDULE_H

#include "../core/types.h"

typedef void (*schedule_call)(void *owner, void *arg);
/** Frees the argument of a call that was never performed. */
typedef void (*schedule_drop)(void *arg);

/** Binary heap of calls. An all-zero schedule is empty and valid. */
struct schedule {
	struct schedule_entry *heap;
	size_t count;
	size_t capacity;
	uint64_t next_order; /**< insertion number of the next call */
	hm_time now;
};

/** Discards the remaining calls and frees the heap. */
void schedule_free(struct schedule *s);
/**
 * Schedules @a call with @a owner and @a arg. A time in the past counts as now.
 * @param drop frees @a arg if the call is never performed, or NULL
 */
void schedule_at(struct schedule *s, hm_time at, schedule_call call,
		 void *owner, void *arg, schedule_drop drop);
/** Performs all calls up to the time @a until and sets the time to it. */
void schedule_run(struct schedule *s, hm_time until);

#endif
