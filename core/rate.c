/** @file rate.c Accounts with their limits, and the use of their tokens. */
#include "rate_state.h"

#include <stdlib.h>
#include <string.h>

#include "grow.h"

#define USAGE_WINDOW (200 * HM_MS) /* averaging time of the usage rate */
/* Once statements waited this long, rate_retry_at() assumes a lower rate. */
#define QUEUE_OLD (300 * HM_MS)
/* Part of the rate that statements of a level get at least. */
#define LEVEL_RATE_DIVISOR 16

struct rate *rate_new(const struct core_options *options,
		      const struct peers *peers, hm_time now)
{
	struct rate *r = calloc(1, sizeof(*r));

	if (!r)
		return NULL;
	r->options = options;
	r->peers = peers;
	r->level_count = 1;
	r->last_at = now;
	r->reach.reached = 1;
	r->issue_after = now + (options->start_wait ? options->start_wait
						    : options->peer_silent);
	return r;
}

void rate_free(struct rate *r)
{
	uint32_t i;

	if (!r)
		return;
	for (i = 0; i < r->count; i++) {
		free(r->list[i].sources);
		free(r->list[i].contract);
	}
	free(r->list);
	table_free(&r->by_account);
	free(r);
}

struct quota *rate_find(const struct rate *r, hm_id account)
{
	uint32_t h = table_get(&r->by_account, account);

	if (h == TABLE_NONE || !r->list[h].live)
		return NULL;
	return &r->list[h];
}

static struct quota *add(struct rate *r, hm_id account)
{
	struct quota *q;
	uint32_t i;

	r->list = grow_list(r->list, r->count, &r->capacity, sizeof(*r->list));
	if (!table_put(&r->by_account, account, r->count))
		abort();
	q = &r->list[r->count++];
	*q = (struct quota){ .account = account };
	q->sources = calloc(r->options->zone_count, sizeof(*q->sources));
	q->contract = malloc(sizeof(*q->contract));
	if (!q->sources || !q->contract)
		abort();
	q->generation = UINT64_MAX;
	for (i = 0; i < PRIORITY_LEVELS; i++)
		q->waiting_since[i] = HM_NEVER;
	return q;
}

void rate_set_contract(struct rate *r, const struct contract *c, hm_time now)
{
	uint32_t h = table_get(&r->by_account, c->account);
	struct quota *q = h == TABLE_NONE ? NULL : &r->list[h];

	if (!q && c->withdrawn)
		return;
	if (!q)
		q = add(r, c->account);
	if (q->live)
		rate_refill(r, q, now);
	q->live = !c->withdrawn;
	q->granted_count = q->live ? q->granted_count : 0;
	*q->contract = *c;
	q->rate = c->rate;
	q->share = (struct rate_share){ 0 };
	q->reserve.capacity = 0;
	if (q->live)
		rate_share_of(c, r->options->zone, r->options->zone_count,
			      &q->share);
	if (q->level > rate_capacity(&q->share))
		q->level = rate_capacity(&q->share);
}

void rate_drop_expired(struct quota *q, hm_time now)
{
	uint32_t i = q->granted_count;

	while (i-- > 0)
		if (q->granted[i].expires_at <= now || !q->granted[i].tokens)
			q->granted[i] = q->granted[--q->granted_count];
}

/*
 * Adds granted tokens to the account's batches. When no batch is free, the
 * tokens go to the batch that expires first, and the earlier of the two expiry
 * times holds for both.
 */
void rate_add_batch(struct quota *q, uint32_t tokens, hm_time expires_at)
{
	struct token_batch *soonest = q->granted;
	uint32_t i;

	if (q->granted_count < BATCHES_MAX) {
		q->granted[q->granted_count++] =
			(struct token_batch){ tokens, expires_at };
		return;
	}
	for (i = 1; i < q->granted_count; i++)
		if (q->granted[i].expires_at < soonest->expires_at)
			soonest = &q->granted[i];
	soonest->tokens += tokens;
	if (soonest->expires_at > expires_at)
		soonest->expires_at = expires_at;
}

static bool take_granted(struct quota *q, hm_time now)
{
	struct token_batch *soonest = NULL;
	uint32_t i;

	rate_drop_expired(q, now);
	for (i = 0; i < q->granted_count; i++)
		if (!soonest || q->granted[i].expires_at < soonest->expires_at)
			soonest = &q->granted[i];
	if (!soonest)
		return false;
	soonest->tokens--;
	return true;
}

/* Level by which a statement is served. */
static uint32_t level_of(const struct rate *r, uint32_t level)
{
	return level < r->level_count ? level : r->level_count - 1;
}

void rate_set_levels(struct rate *r, uint32_t count)
{
	r->level_count = count < PRIORITY_LEVELS ? count : PRIORITY_LEVELS;
	if (!r->level_count)
		r->level_count = 1;
}

uint32_t rate_level_count(const struct rate *r)
{
	return r->level_count;
}

uint32_t rate_waiting(const struct quota *q)
{
	uint32_t sum = 0, i;

	for (i = 0; i < PRIORITY_LEVELS; i++)
		sum += q->waiting[i];
	return sum;
}

void rate_decay_usage(struct quota *q, hm_time now)
{
	hm_time dt = now - q->usage_at;
	uint32_t i;

	if (dt >= USAGE_WINDOW)
		q->usage_rate = 0;
	else if (dt > 0)
		q->usage_rate -= q->usage_rate * dt / USAGE_WINDOW;
	q->usage_at = now;
	for (i = 0; i < PRIORITY_LEVELS; i++)
		rate_decay_get(&q->used[i], USAGE_WINDOW, now);
}

static int64_t granted_tokens(struct quota *q, hm_time now)
{
	int64_t sum = 0;
	uint32_t i;

	rate_drop_expired(q, now);
	for (i = 0; i < q->granted_count; i++)
		sum += q->granted[i].tokens;
	return sum;
}

/* Whether a token is available here for @a use. */
static bool can_take(const struct rate *r, struct quota *q, struct rate_use use,
		     hm_time now)
{
	int64_t granted = granted_tokens(q, now);
	int64_t own;

	if (granted && r->level_count <= 1)
		return true;
	own = rate_available(r, q, now) / TOKEN;
	if (!use.floor &&
	    granted + own <= rate_local_reserve(r, q, use.level, now))
		return false;
	return granted || rate_issuable(r, q, use.level, now) >= TOKEN;
}

/* Takes a token that can_take() found. */
static bool take(struct rate *r, struct quota *q, uint32_t level, hm_time now)
{
	if (take_granted(q, now))
		return true;
	if (!rate_take_own(r, q, now))
		return false;
	rate_issued(r, q, level, 1, now);
	return true;
}

bool rate_take(struct rate *r, hm_id account, struct rate_use use, hm_time now)
{
	struct quota *q = rate_find(r, account);

	rate_detect_pause(r, now);
	if (!q)
		return false;
	use.level = level_of(r, use.level);
	if (!can_take(r, q, use, now) || !take(r, q, use.level, now)) {
		if (q->owned)
			rate_note_scarce(q, now);
		return false;
	}
	if (q->waiting[use.level])
		q->waiting[use.level]--;
	rate_decay_usage(q, now);
	q->usage_rate += TOKEN * HM_SEC / USAGE_WINDOW;
	rate_decay_add(&q->used[use.level], USAGE_WINDOW, 1, now);
	return true;
}

void rate_arrival(struct rate *r, hm_id account, uint32_t level, hm_time now)
{
	struct quota *q = rate_find(r, account);

	if (q)
		rate_note_arrival(r, q, level_of(r, level), now);
}

void rate_refused(struct rate *r, hm_id account, hm_time now)
{
	struct quota *q = rate_find(r, account);

	if (q)
		rate_note_scarce(q, now);
}

void rate_demand(struct rate *r, hm_id account,
		 const uint32_t waiting[PRIORITY_LEVELS], hm_time now,
		 struct actions *actions)
{
	struct quota *q = rate_find(r, account);
	uint32_t i;

	rate_detect_pause(r, now);
	if (!q)
		return;
	memset(q->waiting, 0, sizeof(q->waiting));
	for (i = 0; i < PRIORITY_LEVELS; i++)
		q->waiting[level_of(r, i)] += waiting[i];
	for (i = 0; i < PRIORITY_LEVELS; i++) {
		if (!q->waiting[i])
			q->waiting_since[i] = HM_NEVER;
		else if (q->waiting_since[i] == HM_NEVER)
			q->waiting_since[i] = now;
		if (q->waiting[i] && q->owned)
			rate_note_wanted(q, i, 0, now);
	}
	rate_request_tokens(r, q, now, actions);
}

bool rate_exhausted(struct rate *r, hm_id account, uint32_t level, hm_time now)
{
	struct quota *q = rate_find(r, account);
	uint16_t zone;

	if (!q)
		return true;
	level = level_of(r, level);
	if (can_take(r, q, (struct rate_use){ .level = level }, now))
		return false;
	for (zone = 0; zone < r->options->zone_count; zone++)
		if (!rate_source_exhausted(r, q, zone, level, now))
			return false;
	return true;
}

/*
 * Rate at which a level gets tokens here, when more urgent statements continue
 * to arrive at their average rate.
 */
static int64_t level_rate(const struct quota *q, uint32_t level, int64_t rate,
			  hm_time now)
{
	int64_t least = rate / LEVEL_RATE_DIVISOR;

	rate -= rate_arriving(q, level, now);
	return rate > least ? rate : least;
}

/* Whether statements of a level, or more urgent ones, waited for QUEUE_OLD. */
static bool waits_long(const struct quota *q, uint32_t level, hm_time now)
{
	uint32_t i;

	for (i = 0; i <= level; i++)
		if (q->waiting_since[i] != HM_NEVER &&
		    now - q->waiting_since[i] > QUEUE_OLD)
			return true;
	return false;
}

/*
 * Estimates when the last waiting statement gets a token.
 * Assumes that the waiting statements get tokens at the contract's whole rate,
 * the most urgent first. Once statements have waited for QUEUE_OLD, assumes
 * only an equal share of that rate per instance. In both cases the rate is at
 * least the measured one. The least urgent waiting level gets at least its
 * floor.
 */
hm_time rate_retry_at(const struct rate *r, hm_id account, uint32_t level,
		      uint32_t waiting, hm_time now)
{
	const struct quota *q = rate_find(r, account);
	uint64_t ahead = waiting;
	hm_time wait, floor_wait;
	int64_t rate;
	uint32_t i;

	if (!q)
		return HM_NEVER;
	level = level_of(r, level);
	rate = q->rate * TOKEN;
	if (waits_long(q, level, now))
		rate /= peers_count(r->peers) + 1;
	if (rate < q->usage_rate)
		rate = q->usage_rate;
	if (!level)
		return now + waiting * TOKEN * HM_SEC / rate;
	for (i = 0; i < level; i++)
		ahead += q->waiting[i];
	wait = (hm_time)ahead * TOKEN * HM_SEC /
	       level_rate(q, level, rate, now);
	for (i = level + 1; i < PRIORITY_LEVELS; i++)
		if (q->waiting[i])
			return now + wait;
	floor_wait =
		LEVEL_RATE_DIVISOR * (hm_time)waiting * TOKEN * HM_SEC / rate;
	return now + (wait < floor_wait ? wait : floor_wait);
}

void rate_message(struct rate *r, const struct message *m, hm_time now,
		  struct actions *actions)
{
	rate_detect_pause(r, now);
	if (m->kind == MSG_RATE_REQUEST)
		rate_answer_request(r, m, now, actions);
	else if (m->kind == MSG_RATE_GRANT)
		rate_receive_grant(r, m, now, actions);
}

struct zone_reach rate_reach(const struct rate *r)
{
	return r->reach;
}

void rate_tick(struct rate *r, hm_time now, struct actions *actions)
{
	uint32_t i;

	rate_detect_pause(r, now);
	rate_update_reach(r, now);
	for (i = 0; i < r->count; i++) {
		struct quota *q = &r->list[i];

		rate_update_owner(r, q, now);
		if (q->live && (rate_waiting(q) || q->usage_rate >= TOKEN))
			rate_request_tokens(r, q, now, actions);
	}
}
