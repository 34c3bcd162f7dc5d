/**
 * @file rate_demand.c
 * Demand for rate tokens by urgency level: what is reserved for more urgent
 * statements, and what is kept for the least urgent ones.
 */
#include "rate_state.h"

/* Averaging time of arrivals at an instance and of demand at an owner. */
#define DEMAND_WINDOW (1 * HM_SEC)
/* Time that an instance reserves tokens for. */
#define RESERVE_LOCAL (50 * HM_MS)
/*
 * Time that an owner reserves tokens for: longer, since they have to last until
 * requests of all instances arrive.
 */
#define RESERVE_OWNER (100 * HM_MS)
/* Less than this part of a token is no demand to reserve tokens for. */
#define RESERVE_MIN (TOKEN / 100)
/* After a partial grant or a refusal, tokens are scarce for this time. */
#define SCARCE_FOR (1 * HM_SEC)
/*
 * A level counts as requesting for this time after a request: longer than the
 * pause between the requests of an instance that gets too few tokens.
 */
#define REQUESTING_FOR (200 * HM_MS)
/* The least urgent requesting level gets one of so many tokens. */
#define FLOOR_DIVISOR 16

int64_t rate_decay_get(struct rate_decay *d, hm_time window, hm_time now)
{
	hm_time dt = now - d->at;
	int64_t loss;

	if (dt >= window) {
		d->rate = 0;
		d->at = now;
		return 0;
	}
	/* Too short a time would be rounded to no loss each time. */
	loss = dt > 0 ? d->rate * dt / window : 0;
	if (loss) {
		d->rate -= loss;
		d->at = now;
	}
	return d->rate;
}

void rate_decay_add(struct rate_decay *d, hm_time window, uint32_t count,
		    hm_time now)
{
	rate_decay_get(d, window, now);
	d->rate += count * TOKEN * HM_SEC / window;
	d->at = now;
}

/* Rate of the demand of all levels more urgent than @a level. */
static int64_t rate_above(const struct rate_decay *list, uint32_t level,
			  hm_time now)
{
	int64_t sum = 0;
	uint32_t i;

	for (i = 0; i < level; i++) {
		struct rate_decay d = list[i];

		sum += rate_decay_get(&d, DEMAND_WINDOW, now);
	}
	return sum;
}

int64_t rate_arriving(const struct quota *q, uint32_t level, hm_time now)
{
	return rate_above(q->arrived, level, now);
}

void rate_note_scarce(struct quota *q, hm_time now)
{
	q->scarce_until = now + SCARCE_FOR;
}

void rate_note_wanted(struct quota *q, uint32_t level, uint32_t count,
		      hm_time now)
{
	rate_decay_add(&q->wanted.rate[level], DEMAND_WINDOW, count, now);
	q->wanted.until[level] = now + REQUESTING_FOR;
}

void rate_note_arrival(const struct rate *r, struct quota *q, uint32_t level,
		       hm_time now)
{
	if (r->level_count <= 1)
		return;
	rate_decay_add(&q->arrived[level], DEMAND_WINDOW, 1, now);
	if (q->owned)
		rate_note_wanted(q, level, 1, now);
}

int64_t rate_local_reserve(const struct rate *r, const struct quota *q,
			   uint32_t level, hm_time now)
{
	int64_t expected;

	if (r->level_count <= 1 || q->scarce_until <= now)
		return 0;
	expected = rate_above(q->arrived, level, now) * RESERVE_LOCAL / HM_SEC;
	/*
	 * Rounded to the nearest, not up: a granted token that is kept for a
	 * rare statement would expire unused.
	 */
	return (expected + TOKEN / 2) / TOKEN;
}

/*
 * Part of the bucket reserved for more urgent levels. It is rounded up, since
 * only whole tokens are granted, and tokens in the bucket do not expire; but a
 * full bucket always has a token for other levels.
 */
static int64_t owner_reserve(const struct quota *q, uint32_t level, hm_time now)
{
	int64_t capacity = rate_capacity(&q->share);
	int64_t reserve;

	reserve =
		rate_above(q->wanted.rate, level, now) * RESERVE_OWNER / HM_SEC;
	if (reserve < RESERVE_MIN)
		return 0;
	reserve = (reserve + TOKEN - 1) / TOKEN * TOKEN;
	if (reserve > capacity / 2)
		reserve = capacity / 2;
	if (reserve > capacity - TOKEN)
		reserve = capacity - TOKEN;
	return reserve > 0 ? reserve : 0;
}

/*
 * The least urgent level that requests tokens; 0 when no more urgent one does,
 * as nothing needs to be kept for it then.
 */
static uint32_t floor_level(const struct quota *q, hm_time now)
{
	uint32_t least = PRIORITY_LEVELS, first;

	while (least-- > 1)
		if (q->wanted.until[least] > now)
			break;
	if (!least || least == PRIORITY_LEVELS)
		return 0;
	for (first = 0; first < least; first++)
		if (q->wanted.until[first] > now)
			return least;
	return 0;
}

/*
 * Updates the part of the bucket that is kept for the least urgent level, and
 * returns that level, 0 for none.
 */
static uint32_t refill_floor(struct quota *q, hm_time now)
{
	struct rate_wanted *w = &q->wanted;
	int64_t most = rate_capacity(&q->share) / FLOOR_DIVISOR;
	uint32_t least = floor_level(q, now);

	if (most < TOKEN)
		most = TOKEN;
	if (!least || now - w->floor_at > REQUESTING_FOR)
		w->floor = 0;
	else if (now > w->floor_at)
		w->floor += q->share.rate * (now - w->floor_at) / FLOOR_DIVISOR;
	if (w->floor > most)
		w->floor = most;
	w->floor_at = now;
	return least;
}

int64_t rate_issuable(const struct rate *r, struct quota *q, uint32_t level,
		      hm_time now)
{
	int64_t usable = rate_available(r, q, now), rest;
	uint32_t least;

	if (r->level_count <= 1 || q->scarce_until <= now)
		return usable;
	least = refill_floor(q, now);
	rest = usable - owner_reserve(q, level, now);
	if (!least)
		return rest;
	if (level != least)
		return rest - q->wanted.floor;
	if (rest < q->wanted.floor)
		rest = q->wanted.floor;
	return rest < usable ? rest : usable;
}

void rate_issued(const struct rate *r, struct quota *q, uint32_t level,
		 int64_t tokens, hm_time now)
{
	if (r->level_count <= 1 || level != floor_level(q, now))
		return;
	q->wanted.floor -= tokens * TOKEN;
	if (q->wanted.floor < 0)
		q->wanted.floor = 0;
}

/* Whether a request states its tokens by level; older builds do not. */
static bool states_levels(const struct rate_tokens *request)
{
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < PRIORITY_LEVELS; i++)
		sum += request->wanted[i];
	return sum && sum == request->tokens;
}

static int64_t at_most(int64_t available, int64_t wanted)
{
	int64_t tokens = available / TOKEN;

	if (tokens < 0)
		return 0;
	return tokens < wanted ? tokens : wanted;
}

int64_t rate_issue_grant(const struct rate *r, struct quota *q,
			 const struct rate_tokens *request, hm_time now)
{
	int64_t total = at_most(rate_available(r, q, now), request->tokens);
	uint32_t i;

	if (total < request->tokens)
		rate_note_scarce(q, now);
	if (r->level_count <= 1 || !states_levels(request)) {
		rate_spend(q, (uint32_t)total);
		return total;
	}
	for (i = 0; i < PRIORITY_LEVELS; i++)
		if (request->wanted[i])
			rate_note_wanted(q, i, request->wanted[i], now);
	total = 0;
	for (i = 0; i < PRIORITY_LEVELS; i++) {
		int64_t n = at_most(rate_issuable(r, q, i, now),
				    request->wanted[i]);

		rate_spend(q, (uint32_t)n);
		rate_issued(r, q, i, n, now);
		total += n;
	}
	if (total < request->tokens)
		rate_note_scarce(q, now);
	return total;
}
