/**
 * @file schedule.h
 * Virtual time of the model: calls in order of time, then of insertion.
 */
#ifndef SCHEDULE_H
#define SCHEDULE_H

#include "../core/types.h"

typedef void (*schedule_call)(void *owner, void *arg);
/** Frees the argument of a call that is never performed. */
typedef void (*schedule_drop)(void *arg);

/** Binary heap of calls. An all-zero schedule is empty and valid. */
struct schedule {
	struct schedule_entry *heap;
	size_t count;
	size_t capacity;
	uint64_t next_order;
	hm_time now;
};

/** Drops the calls that are left. */
void schedule_free(struct schedule *s);
/**
 * Plans a call; @a arg is passed on as it is.
 * @param drop for an argument that the call frees, else NULL
 */
void schedule_at(struct schedule *s, hm_time at, schedule_call call,
		 void *owner, void *arg, schedule_drop drop);
/** Performs calls until @a until; now is @a until then. */
void schedule_run(struct schedule *s, hm_time until);

#endif
