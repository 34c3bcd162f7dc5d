/** @file budget.c Retry budgets as token buckets. */
#include "budget.h"

#include <stdlib.h>

#include "rng.h"
#include "table.h"

#define RETRY ((int64_t)1000000) /* levels are in millionths of a retry */
#define EARNED (RETRY / 10)	 /* added by each first attempt */
#define REFILL (RETRY / 2)	 /* added per second */
#define LEVEL_MAX (10 * RETRY)
#define BACKOFF_FIRST (10 * HM_MS)
#define BACKOFF_MAX (1 * HM_SEC)

struct bucket {
	int64_t level;
	hm_time filled_at;
};

struct buckets {
	struct bucket *list;
	uint32_t count;
	uint32_t capacity;
	struct table by_id;
};

struct budget {
	struct buckets accounts;
	struct buckets endpoints;
	struct rng rng;
};

struct budget *budget_new(uint64_t seed)
{
	struct budget *b = calloc(1, sizeof(*b));

	if (b)
		b->rng.state = seed;
	return b;
}

static void free_buckets(struct buckets *b)
{
	free(b->list);
	table_free(&b->by_id);
}

void budget_free(struct budget *b)
{
	if (!b)
		return;
	free_buckets(&b->accounts);
	free_buckets(&b->endpoints);
	free(b);
}

/* Bucket of an ID, refilled up to now; a new bucket is full. */
static struct bucket *bucket_of(struct buckets *b, hm_id id, hm_time now)
{
	uint32_t h = table_get(&b->by_id, id);
	struct bucket *bucket;

	if (h == TABLE_NONE && b->count == b->capacity) {
		uint32_t capacity = b->capacity ? b->capacity * 2 : 16;

		bucket = realloc(b->list, capacity * sizeof(*bucket));
		if (!bucket)
			abort();
		b->list = bucket;
		b->capacity = capacity;
	}
	if (h == TABLE_NONE) {
		h = b->count++;
		if (!table_put(&b->by_id, id, h))
			abort();
		b->list[h] = (struct bucket){ LEVEL_MAX, now };
	}
	bucket = &b->list[h];
	if (now > bucket->filled_at) {
		bucket->level += REFILL * (now - bucket->filled_at) / HM_SEC;
		bucket->filled_at = now;
	}
	if (bucket->level > LEVEL_MAX)
		bucket->level = LEVEL_MAX;
	return bucket;
}

void budget_request(struct budget *b, hm_id account, hm_id endpoint,
		    hm_time now)
{
	bucket_of(&b->accounts, account, now)->level += EARNED;
	bucket_of(&b->endpoints, endpoint, now)->level += EARNED;
}

bool budget_retry(struct budget *b, hm_id account, hm_id endpoint, hm_time now)
{
	struct bucket *of_account = bucket_of(&b->accounts, account, now);
	struct bucket *of_endpoint = bucket_of(&b->endpoints, endpoint, now);

	if (of_account->level < RETRY || of_endpoint->level < RETRY)
		return false;
	of_account->level -= RETRY;
	of_endpoint->level -= RETRY;
	return true;
}

hm_time budget_retry_at(struct budget *b, uint32_t attempt, hm_time now)
{
	hm_time limit = BACKOFF_FIRST;

	while (attempt-- > 1 && limit < BACKOFF_MAX)
		limit *= 2;
	if (limit > BACKOFF_MAX)
		limit = BACKOFF_MAX;
	return now + 1 + (hm_time)rng_below(&b->rng, (uint64_t)limit);
}
