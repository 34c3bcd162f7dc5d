/** @file admit.c Queues of statements that wait for a rate token. */
#include "admit.h"

#include <stdlib.h>

#include "admit_line.h"
#include "table.h"

/*
 * A queued statement is refused early when even this many times the expected
 * rate would not give it a token before its deadline.
 */
#define GIVE_UP_FACTOR 2

/* One of so many tokens goes to the least urgent waiting level. */
#define FLOOR_DIVISOR 16

struct queue {
	hm_id account;
	struct line lines[PRIORITY_LEVELS];
	uint32_t count;
	uint64_t arrived; /* number of the newest statement */
	/* The newest statement of each level that got a token. */
	uint64_t served[PRIORITY_LEVELS];
	/*
	 * Tokens that more urgent levels took since the least urgent one got
	 * its last token. Tokens count also while none of that level waits, as
	 * its statements are refused at once while the rate is used up.
	 */
	uint32_t since_floor;
};

struct admit {
	struct rate *rate;
	struct queue *queues;
	uint32_t queue_count;
	uint32_t queue_capacity;
	struct table by_account;
	struct waiter *expired; /* removed from their queues, to be refused */
	uint32_t cursor;	/* queue that admit_next() served last */
	uint32_t waiting;
};

struct admit *admit_new(struct rate *rate)
{
	struct admit *a = calloc(1, sizeof(*a));

	if (a)
		a->rate = rate;
	return a;
}

void admit_free(struct admit *a)
{
	uint32_t i, k;

	if (!a)
		return;
	for (i = 0; i < a->queue_count; i++)
		for (k = 0; k < PRIORITY_LEVELS; k++)
			waiters_free(a->queues[i].lines[k].first);
	waiters_free(a->expired);
	free(a->queues);
	table_free(&a->by_account);
	free(a);
}

/* Queue of an account, added when there is none. */
static struct queue *queue_of(struct admit *a, hm_id account)
{
	uint32_t h = table_get(&a->by_account, account);

	if (h != TABLE_NONE)
		return &a->queues[h];
	if (a->queue_count == a->queue_capacity) {
		uint32_t capacity =
			a->queue_capacity ? a->queue_capacity * 2 : 16;
		struct queue *queues =
			realloc(a->queues, capacity * sizeof(*queues));

		if (!queues)
			abort();
		a->queues = queues;
		a->queue_capacity = capacity;
	}
	if (!table_put(&a->by_account, account, a->queue_count))
		abort();
	a->queues[a->queue_count++] = (struct queue){ .account = account };
	return &a->queues[a->queue_count - 1];
}

/* Level by which a statement is queued. */
static uint32_t level_of(const struct admit *a, const struct statement *s)
{
	return rate_level_count(a->rate) > 1 ? priority_level(s->level) : 0;
}

static struct waiter *unlink_after(struct admit *a, struct queue *q,
				   struct line *line, struct waiter *before)
{
	q->count--;
	a->waiting--;
	return line_unlink_after(line, before);
}

static void insert(struct admit *a, struct queue *q, const struct statement *s)
{
	struct line *line = &q->lines[level_of(a, s)];
	struct waiter *last = line->last;

	if (rate_level_count(a->rate) > 1)
		last = line_place(line, s->deadline);
	line_insert_after(line, last, s)->number = q->arrived;
	q->count++;
	a->waiting++;
}

/* The least urgent level with waiting statements; 0 if none wait. */
static uint32_t least_waiting(const struct queue *q)
{
	uint32_t level = PRIORITY_LEVELS - 1;

	while (level && !q->lines[level].count)
		level--;
	return level;
}

/* Whether the next token is for a level less urgent than others that wait. */
static bool floor_due(const struct admit *a, const struct queue *q)
{
	return rate_level_count(a->rate) > 1 &&
	       q->since_floor >= FLOOR_DIVISOR - 1 && least_waiting(q);
}

bool admit_exhausted(const struct admit *a, const struct statement *s,
		     hm_time now)
{
	uint32_t h = table_get(&a->by_account, s->account);
	const struct queue *q = h == TABLE_NONE ? NULL : &a->queues[h];
	uint32_t level = level_of(a, s);

	if (!rate_exhausted(a->rate, s->account, level, now))
		return false;
	return !q || !level || q->since_floor < FLOOR_DIVISOR - 1 ||
	       q->lines[level].count || least_waiting(q) > level;
}

/* Takes a token for statement @a number of a level. */
static bool take(struct admit *a, struct queue *q, uint32_t level, bool floor,
		 uint64_t number, hm_time now)
{
	struct rate_use use = { .level = level, .floor = floor };

	if (!rate_take(a->rate, q->account, use, now))
		return false;
	if (q->served[level] < number)
		q->served[level] = number;
	if (floor || level + 1 >= rate_level_count(a->rate))
		q->since_floor = 0;
	else if (q->since_floor < FLOOR_DIVISOR)
		q->since_floor++;
	return true;
}

static void state_demand(struct admit *a, const struct queue *q, hm_time now,
			 struct actions *actions)
{
	uint32_t waiting[PRIORITY_LEVELS], i;

	for (i = 0; i < PRIORITY_LEVELS; i++)
		waiting[i] = q->lines[i].count;
	rate_demand(a->rate, q->account, waiting, now, actions);
}

/* Whether statements wait that get a token before a new one of a level. */
static bool others_first(const struct admit *a, const struct queue *q,
			 uint32_t level)
{
	uint32_t i;

	for (i = 0; i <= level; i++)
		if (q->lines[i].count)
			return true;
	return floor_due(a, q);
}

enum admit_outcome admit_push(struct admit *a, const struct statement *s,
			      hm_time now, hm_time *retry_at,
			      struct actions *actions)
{
	struct queue *q = queue_of(a, s->account);
	uint32_t level = level_of(a, s);
	hm_time expected;

	q->arrived++;
	rate_arrival(a->rate, s->account, level, now);
	if (!others_first(a, q, level) &&
	    take(a, q, level, false, q->arrived, now)) {
		state_demand(a, q, now, actions);
		return ADMIT_PASS;
	}
	expected = rate_retry_at(a->rate, s->account, level,
				 q->lines[level].count + 1, now);
	if (expected > s->deadline) {
		rate_refused(a->rate, s->account, now);
		*retry_at = expected == HM_NEVER ? 0 : expected;
		return ADMIT_REFUSE;
	}
	insert(a, q, s);
	state_demand(a, q, now, actions);
	return ADMIT_WAIT;
}

static bool drop_from(struct admit *a, struct queue *q, struct rid id)
{
	struct waiter *before;
	uint32_t i;

	for (i = 0; i < PRIORITY_LEVELS; i++)
		if (line_find(&q->lines[i], id, &before)) {
			free(unlink_after(a, q, &q->lines[i], before));
			return true;
		}
	return false;
}

bool admit_drop(struct admit *a, struct rid id)
{
	uint32_t i;

	for (i = 0; i < a->queue_count; i++)
		if (drop_from(a, &a->queues[i], id))
			return true;
	return false;
}

static bool overtaken(const struct admit *a, const struct queue *q,
		      const struct waiter *w, uint32_t *by_level)
{
	uint32_t level = level_of(a, &w->statement), i;

	for (i = 0; i < level; i++)
		if (q->served[i] > w->number) {
			*by_level = i;
			return true;
		}
	return false;
}

/* Fills in the result of a waiter that left its queue, and frees it. */
static void finish(struct admit *a, struct waiter *w, bool admitted,
		   hm_time now, struct admit_result *out)
{
	const struct statement *s = &w->statement;
	hm_time at = rate_retry_at(a->rate, s->account, s->level, 1, now);

	*out = (struct admit_result){ .statement = *s, .admitted = admitted };
	if (!admitted) {
		rate_refused(a->rate, s->account, now);
		out->overtaken = overtaken(a, queue_of(a, s->account), w,
					   &out->by_level);
	}
	if (!admitted && at != HM_NEVER)
		out->retry_at = at;
	free(w);
}

/* Whether the first waiter of a level can not be served any more. */
static bool first_expired(const struct admit *a, const struct queue *q,
			  uint32_t level, hm_time now)
{
	const struct waiter *w = q->lines[level].first;

	return w->statement.deadline <= now ||
	       rate_retry_at(a->rate, q->account, level, 1, now) == HM_NEVER;
}

/* Takes the first waiter of a level off its queue if it has a result. */
static bool line_next(struct admit *a, struct queue *q, uint32_t level,
		      bool floor, hm_time now, struct admit_result *out)
{
	struct line *line = &q->lines[level];
	bool expired, admitted;

	if (!line->first)
		return false;
	expired = first_expired(a, q, level, now);
	admitted =
		!expired && take(a, q, level, floor, line->first->number, now);
	if (!expired && !admitted)
		return false;
	finish(a, unlink_after(a, q, line, NULL), admitted, now, out);
	return true;
}

static bool queue_next(struct admit *a, struct queue *q, hm_time now,
		       struct admit_result *out)
{
	uint32_t i;

	if (!q->count)
		return false;
	if (floor_due(a, q) &&
	    line_next(a, q, least_waiting(q), true, now, out))
		return true;
	for (i = 0; i < PRIORITY_LEVELS; i++)
		if (line_next(a, q, i, false, now, out))
			return true;
	return false;
}

bool admit_next(struct admit *a, hm_time now, struct admit_result *out)
{
	struct waiter *w = a->expired;
	uint32_t i;

	if (w) {
		a->expired = w->next;
		finish(a, w, false, now, out);
		return true;
	}
	for (i = 0; i < a->queue_count && a->waiting; i++) {
		a->cursor = (a->cursor + 1) % a->queue_count;
		if (queue_next(a, &a->queues[a->cursor], now, out))
			return true;
	}
	return false;
}

static void set_expired(struct admit *a, struct waiter *w)
{
	w->next = a->expired;
	a->expired = w;
}

/*
 * Moves the waiters of a level that are not expected to get a token before
 * their deadline (see GIVE_UP_FACTOR) to a->expired, to be refused.
 */
static void expire_line(struct admit *a, struct queue *q, uint32_t level,
			hm_time now)
{
	struct line *line = &q->lines[level];
	struct waiter *before = NULL, *w = line->first;
	uint32_t place = 1;

	while (w) {
		struct waiter *next = w->next;
		hm_time at =
			rate_retry_at(a->rate, q->account, level, place, now);

		if (at == HM_NEVER)
			return;
		if ((at - now) / GIVE_UP_FACTOR <=
		    w->statement.deadline - now) {
			before = w;
			place++;
		} else {
			set_expired(a, unlink_after(a, q, line, before));
		}
		w = next;
	}
}

void admit_refuse_exhausted(struct admit *a, hm_id account, hm_time now)
{
	uint32_t h = table_get(&a->by_account, account), i;
	struct queue *q = h == TABLE_NONE ? NULL : &a->queues[h];

	for (i = 0; q && i < PRIORITY_LEVELS; i++) {
		struct line *line = &q->lines[i];
		struct waiter *kept;

		if (!line->first || !rate_exhausted(a->rate, account, i, now))
			continue;
		/* The next token is for the first of the least urgent. */
		kept = floor_due(a, q) && i == least_waiting(q) ? line->first
								: NULL;
		while (kept ? kept->next : line->first)
			set_expired(a, unlink_after(a, q, line, kept));
	}
}

void admit_tick(struct admit *a, hm_time now, struct actions *actions)
{
	uint32_t i, k;

	for (i = 0; i < a->queue_count; i++) {
		struct queue *q = &a->queues[i];

		for (k = 0; k < PRIORITY_LEVELS; k++)
			expire_line(a, q, k, now);
		state_demand(a, q, now, actions);
	}
}

uint32_t admit_waiting(const struct admit *a)
{
	return a->waiting;
}
