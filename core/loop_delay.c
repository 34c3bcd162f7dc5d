/** @file loop_delay.c Detects a busy instance by the delay of its ticks. */
#include "loop_delay.h"

/* Average delay from which on a loop is late. */
#define LATE (50 * HM_MS)
/* Below this it is no longer busy. */
#define IN_TIME (15 * HM_MS)
/* A loop that is late for this time is busy. */
#define BUSY_AFTER (1 * HM_SEC)
#define DECAY (1 * HM_SEC)
/* Members move at most 12 times a minute for each instance. */
#define CHANGE_EVERY (5 * HM_SEC)
/*
 * A single pause of the process counts as at most this delay: the average is
 * then below LATE again after 0.7 s, and the instance not busy.
 */
#define DELAY_MAX (100 * HM_MS)

static void take_delay(struct loop_delay *d, hm_time interval, hm_time now)
{
	hm_time delay = now > d->due ? now - d->due : 0;
	hm_time span = now - (d->due - interval);

	if (delay > DELAY_MAX)
		delay = DELAY_MAX;
	if (span > DECAY)
		span = DECAY;
	d->average_us += (delay - d->average_us) * span / DECAY;
}

static bool wants_change(const struct loop_delay *d, hm_time now)
{
	if (d->busy)
		return d->average_us < IN_TIME;
	return d->late_since && now - d->late_since >= BUSY_AFTER;
}

bool loop_delay_tick(struct loop_delay *d, hm_time interval, hm_time now)
{
	if (d->due)
		take_delay(d, interval, now);
	d->due = now + interval;
	if (d->average_us <= LATE)
		d->late_since = 0;
	else if (!d->late_since)
		d->late_since = now;
	if (!wants_change(d, now) ||
	    (d->changed_at && now - d->changed_at < CHANGE_EVERY))
		return false;
	d->busy = !d->busy;
	d->changed_at = now;
	return true;
}
