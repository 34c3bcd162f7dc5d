/**
 * @file loop.h
 * Event loop of one thread: an h2o loop with watched descriptors, timers and
 * calls posted from other threads. All functions except loop_post(),
 * loop_stop() and loop_now() may be called only on the thread that runs the
 * loop.
 */
#ifndef LOOP_H
#define LOOP_H

#include <stdbool.h>

#include "../core/types.h"

struct loop;
struct watch;
struct timer;

typedef void (*loop_call)(void *arg);

struct loop *loop_new(void);
/** Frees the loop; its watches and timers must have been freed. */
void loop_free(struct loop *l);
/** Runs until loop_stop(). */
void loop_run(struct loop *l);
/** Ends loop_run(); callable from any thread. */
void loop_stop(struct loop *l);
/** Runs @a call on the loop's thread; callable from any thread. */
void loop_post(struct loop *l, loop_call call, void *arg);
/** Runs the posted calls now; for use before their arguments are freed. */
void loop_drain(struct loop *l);
/** The underlying h2o_loop_t, for h2o contexts and sockets. */
void *loop_h2o(struct loop *l);
/** CLOCK_BOOTTIME in microseconds; it includes time in suspend. */
hm_time loop_now(void);

/**
 * Watches a duplicate of @a fd, which watch_free() does not close. Calls
 * @a readable whenever bytes can be read, until watch_free().
 */
struct watch *watch_new(struct loop *l, int fd, loop_call readable, void *arg);
/** Calls @a writable once when the descriptor can be written. */
void watch_writable(struct watch *w, loop_call writable);
/** Stops watching; safe inside a callback of the watch. */
void watch_free(struct watch *w);

/** Creates a timer that is not armed. */
struct timer *timer_new(struct loop *l, loop_call call, void *arg);
/** Arms the timer for the time @a at; HM_NEVER disarms it. */
void timer_set(struct timer *t, hm_time at);
void timer_free(struct timer *t);

#endif
