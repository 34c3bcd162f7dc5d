/** @file return_order.c Times at which refused operations are to retry. */
#include "return_order.h"

#include <stdlib.h>
#include <string.h>

#include "run.h"

/*
 * Told times are counted in bins. The ring covers RETURN_MAX and the bin that
 * has begun.
 */
#define BIN (20 * HM_MS)
#define BINS 64
/* Rate while none is known: one operation per bin. */
#define UNKNOWN_RATE ((double)HM_SEC / BIN)
/* Time over which the rate of served operations is averaged. */
#define RATE_WINDOW (2 * HM_SEC)
/* A new average is taken over 100 ms at least. */
#define LEAST_WEIGHT 0.05
/* Too short a time to spread returns over it, even in parts per level. */
#define NARROW (PRIORITY_LEVELS * 2 * BIN)
/* Later times within a bin are this far apart, modulo the bin. */
#define BIN_STEP 12360
/* Queues are kept in sets; a new one replaces the least recently used. */
#define SETS 64
#define WAYS 4
#define TICKET_WITHIN (300 * HM_MS)

/* Decaying average; what lies before its first operation does not count. */
struct served_rate {
	double per_s;
	double weight; /* part of a full average, 0 to 1 */
	hm_time at;    /* of the last served operation */
};

struct return_queue {
	hm_id id;
	hm_time used_at; /* 0: the entry is free */
	struct served_rate rates[PRIORITY_LEVELS];
	int64_t first_bin; /* earlier ones are over */
	uint32_t told[BINS][PRIORITY_LEVELS];
};

struct return_order {
	struct return_queue queues[SETS][WAYS];
};

struct return_order *return_order_new(void)
{
	return calloc(1, sizeof(struct return_order));
}

void return_order_free(struct return_order *o)
{
	free(o);
}

static struct return_queue *queue_of(struct return_order *o, hm_id id,
				     hm_time now)
{
	struct return_queue *set = o->queues[id % SETS];
	struct return_queue *q = &set[0];
	uint32_t i;

	for (i = 0; i < WAYS; i++) {
		if (set[i].used_at && set[i].id == id) {
			set[i].used_at = now;
			return &set[i];
		}
		if (set[i].used_at < q->used_at)
			q = &set[i];
	}
	*q = (struct return_queue){ .id = id, .used_at = now };
	return q;
}

static void decay(struct served_rate *r, hm_time now)
{
	double part = (double)(now - r->at) / RATE_WINDOW;

	if (part > 1)
		part = 1;
	r->per_s *= 1 - part;
	r->weight = r->per_s > 0 ? r->weight * (1 - part) + part : 0;
	r->at = now;
}

/* Operations served per second; 0 if none was lately. */
static double rate_of(struct served_rate r, hm_time now)
{
	decay(&r, now);
	return r.per_s / (r.weight > LEAST_WEIGHT ? r.weight : LEAST_WEIGHT);
}

void return_order_served(struct return_order *o, hm_id queue, uint32_t level,
			 hm_time now)
{
	struct served_rate *r = &queue_of(o, queue, now)->rates[level];

	decay(r, now);
	r->per_s += (double)HM_SEC / RATE_WINDOW;
}

/* Clears the bins that are over. */
static void advance(struct return_queue *q, hm_time now)
{
	int64_t bin = now / BIN;

	if (bin - q->first_bin >= BINS) {
		memset(q->told, 0, sizeof(q->told));
		q->first_bin = bin;
	}
	for (; q->first_bin < bin; q->first_bin++)
		memset(q->told[q->first_bin % BINS], 0, sizeof(q->told[0]));
}

/* Operations of at most @a level that were told this bin. */
static uint32_t told_in(const struct return_queue *q, int64_t bin,
			uint32_t level)
{
	uint32_t count = 0, i;

	for (i = 0; i <= level; i++)
		count += q->told[bin % BINS][i];
	return count;
}

/* Operations of at most @a level that were told a time from @a from on. */
static uint32_t told_from(const struct return_queue *q, hm_time from,
			  uint32_t level)
{
	uint32_t count = 0;
	int64_t bin;

	for (bin = from / BIN; bin < q->first_bin + BINS; bin++)
		count += told_in(q, bin, level);
	return count;
}

/*
 * Time in the bin with the fewest operations, the latest of these bins. For
 * operations that cannot be served by RETURN_MAX: at that limit they would
 * return as one crowd.
 */
static hm_time least_told(const struct return_queue *q, hm_time from,
			  hm_time until)
{
	uint32_t fewest = UINT32_MAX;
	int64_t bin, best = until / BIN - 1;

	for (bin = best; bin > from / BIN; bin--) {
		uint32_t count = told_in(q, bin, PRIORITY_LEVELS - 1);

		if (count >= fewest)
			continue;
		fewest = count;
		best = bin;
	}
	return best * BIN + (hm_time)fewest * BIN_STEP % BIN;
}

/* Time in which those told a time from @a from on are served; bounded. */
static hm_time time_of(const struct return_queue *q, hm_time from,
		       uint32_t level, double rate)
{
	double time = told_from(q, from, level) / rate * HM_SEC;

	return time < 2 * RETURN_MAX ? (hm_time)time : 2 * RETURN_MAX;
}

/*
 * Earliest return of operations that cannot be served by @a latest. More urgent
 * ones come first, but leave each level a part of the time.
 */
static hm_time overflow_from(const struct return_queue *q, hm_time earliest,
			     hm_time latest, uint32_t level, double rate)
{
	hm_time most = (latest - earliest) * level / (level + 1);
	hm_time urgent = level ? time_of(q, earliest, level - 1, rate) : 0;

	return earliest + (urgent < most ? urgent : most);
}

hm_time return_order_next(struct return_order *o, hm_id queue, uint32_t level,
			  hm_time earliest, hm_time now)
{
	struct return_queue *q = queue_of(o, queue, now);
	double rate = rate_of(q->rates[level], now);
	hm_time latest = now + RETURN_MAX, at;

	if (earliest < now + RETURN_MIN)
		earliest = now + RETURN_MIN;
	if (earliest + NARROW >= latest)
		return earliest;
	if (rate <= 0)
		rate = UNKNOWN_RATE;
	advance(q, now);
	at = earliest + time_of(q, earliest, level, rate);
	if (at > latest)
		at = least_told(q,
				overflow_from(q, earliest, latest, level, rate),
				latest);
	q->told[at / BIN % BINS][level]++;
	return at;
}

void return_ticket_set(struct return_ticket *t, hm_id service, const char *text,
		       hm_time at)
{
	char *copy = text_copy(text);

	return_ticket_clear(t);
	*t = (struct return_ticket){ .service = service,
				     .text = copy,
				     .at = at };
}

bool return_ticket_is_due(const struct return_ticket *t, hm_id service,
			  const char *text, hm_time now)
{
	return t->text && t->service == service && !strcmp(t->text, text) &&
	       now - t->at <= TICKET_WITHIN && t->at - now <= TICKET_WITHIN;
}

void return_ticket_clear(struct return_ticket *t)
{
	free(t->text);
	*t = (struct return_ticket){ 0 };
}
