/** @file admit.c Queues of statements that wait for a rate token. */
#include "admit.h"

#include <stdlib.h>

#include "table.h"

/*
 * A queued statement is refused early when even this many times the expected
 * rate would not give it a token before its deadline.
 */
#define GIVE_UP_FACTOR 2

struct waiter {
	struct statement statement;
	struct waiter *next;
};

struct queue {
	hm_id account;
	struct waiter *first;
	struct waiter **tail; /* link that the next waiter is stored in */
	uint32_t count;
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

static void free_waiters(struct waiter *w)
{
	while (w) {
		struct waiter *next = w->next;

		free(w);
		w = next;
	}
}

void admit_free(struct admit *a)
{
	uint32_t i;

	if (!a)
		return;
	for (i = 0; i < a->queue_count; i++)
		free_waiters(a->queues[i].first);
	free_waiters(a->expired);
	free(a->queues);
	table_free(&a->by_account);
	free(a);
}

/*
 * Queues may move in memory when one is added. The tail of an empty queue
 * points into the queue itself and has to be set again.
 */
static void relink(struct admit *a)
{
	uint32_t i;

	for (i = 0; i < a->queue_count; i++)
		if (!a->queues[i].first)
			a->queues[i].tail = &a->queues[i].first;
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
	relink(a);
	return &a->queues[a->queue_count - 1];
}

/* Unlinks the waiter that *link points to. */
static struct waiter *unlink_waiter(struct admit *a, struct queue *q,
				    struct waiter **link)
{
	struct waiter *w = *link;

	*link = w->next;
	if (!w->next)
		q->tail = link;
	q->count--;
	a->waiting--;
	return w;
}

static void append(struct admit *a, struct queue *q, const struct statement *s)
{
	struct waiter *w = malloc(sizeof(*w));

	if (!w)
		abort();
	*w = (struct waiter){ .statement = *s };
	*q->tail = w;
	q->tail = &w->next;
	q->count++;
	a->waiting++;
}

enum admit_outcome admit_push(struct admit *a, const struct statement *s,
			      hm_time now, hm_time *retry_at,
			      struct actions *actions)
{
	struct queue *q = queue_of(a, s->account);
	hm_time expected;

	if (!q->count && rate_take(a->rate, s->account, now)) {
		rate_demand(a->rate, s->account, 0, now, actions);
		return ADMIT_PASS;
	}
	expected = rate_retry_at(a->rate, s->account, q->count + 1, now);
	if (expected > s->deadline) {
		*retry_at = expected == HM_NEVER ? 0 : expected;
		return ADMIT_REFUSE;
	}
	append(a, q, s);
	rate_demand(a->rate, s->account, q->count, now, actions);
	return ADMIT_WAIT;
}

static bool drop_from(struct admit *a, struct queue *q, struct rid id)
{
	struct waiter **link = &q->first;

	for (; *link; link = &(*link)->next)
		if (rid_equal((*link)->statement.id, id)) {
			free(unlink_waiter(a, q, link));
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

/* Fills in the result of a waiter that left its queue, and frees it. */
static void finish(const struct admit *a, struct waiter *w, bool admitted,
		   hm_time now, struct admit_result *out)
{
	hm_time at = rate_retry_at(a->rate, w->statement.account, 1, now);

	*out = (struct admit_result){ .statement = w->statement,
				      .admitted = admitted };
	if (!admitted && at != HM_NEVER)
		out->retry_at = at;
	free(w);
}

static bool queue_next(struct admit *a, struct queue *q, hm_time now,
		       struct admit_result *out)
{
	bool expired, admitted;

	if (!q->first)
		return false;
	expired = q->first->statement.deadline <= now ||
		  rate_retry_at(a->rate, q->account, 1, now) == HM_NEVER;
	admitted = !expired && rate_take(a->rate, q->account, now);
	if (!expired && !admitted)
		return false;
	finish(a, unlink_waiter(a, q, &q->first), admitted, now, out);
	return true;
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

/*
 * Moves the waiters that are not expected to get a token before their deadline
 * (see GIVE_UP_FACTOR) to a->expired, to be refused.
 */
static void expire_waiters(struct admit *a, struct queue *q, hm_time now)
{
	hm_time one = rate_retry_at(a->rate, q->account, 1, now);
	struct waiter **link = &q->first;
	hm_time ahead = 0;

	if (one == HM_NEVER)
		return;
	while (*link) {
		hm_time remaining = (*link)->statement.deadline - now;
		struct waiter *w;

		ahead += one - now;
		if (ahead / GIVE_UP_FACTOR <= remaining) {
			link = &(*link)->next;
			continue;
		}
		ahead -= one - now;
		w = unlink_waiter(a, q, link);
		w->next = a->expired;
		a->expired = w;
	}
}

void admit_tick(struct admit *a, hm_time now, struct actions *actions)
{
	uint32_t i;

	for (i = 0; i < a->queue_count; i++) {
		struct queue *q = &a->queues[i];

		if (q->count)
			expire_waiters(a, q, now);
		rate_demand(a->rate, q->account, q->count, now, actions);
	}
}

uint32_t admit_waiting(const struct admit *a)
{
	return a->waiting;
}
