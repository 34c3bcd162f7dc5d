/**
 * @file fair_queue_cost.c
 * Estimates of a fair queue: cost of what is queued and expected waits.
 */
#include "fair_queue_state.h"

#define USE_SCALE 1024

hm_time flow_level_use(const struct flow *f, uint32_t level, hm_time now)
{
	const struct flow_level *v = f->levels[level];
	hm_time dt = v ? now - v->recent_at : USE_SPAN;

	if (dt >= USE_SPAN || v->recent < 0)
		return 0;
	return v->recent - v->recent * dt / USE_SPAN;
}

hm_time flow_use(const struct flow *f, uint32_t level, hm_time now)
{
	hm_time use = 0;
	uint32_t i;

	for (i = 0; i <= level; i++)
		use += flow_level_use(f, i, now);
	return use;
}

static hm_time queue_cost(const struct queue *q)
{
	return q->count * q->cost;
}

/* Expected slot time of the account's queued statements at @a level. */
static hm_time level_cost(const struct flow *f, uint32_t level)
{
	const struct flow_level *v = f->levels[level];
	hm_time cost = 0;
	uint32_t k;

	for (k = 0; v && k < QUEUE_CLASSES; k++)
		cost += queue_cost(&v->queues[k]);
	return cost;
}

static hm_time queued_cost(const struct flow *f)
{
	hm_time cost = 0;
	uint32_t i;

	for (i = 0; i < PRIORITY_LEVELS; i++)
		cost += level_cost(f, i);
	return cost;
}

static struct flow *longest_flow(const struct fair_queue *fq)
{
	struct flow *longest = NULL;
	hm_time most = 0;
	uint32_t i;

	for (i = 0; i < fq->flow_count; i++) {
		struct flow *f = fq->flows[i];
		hm_time cost;

		if (!f->count)
			continue;
		cost = queued_cost(f) * WEIGHT_SCALE / f->weight;
		if (longest && cost <= most)
			continue;
		longest = f;
		most = cost;
	}
	return longest;
}

/*
 * Longest queue of an account. Statements of open transactions are not evicted:
 * finishing a transaction frees a connection.
 */
static struct queue *longest_queue(const struct flow *f)
{
	struct queue *q = NULL;
	uint32_t i, k;

	for (i = 0; i < PRIORITY_LEVELS; i++)
		for (k = 0; f->levels[i] && k < QUEUE_TX; k++)
			if (!q || f->levels[i]->queues[k].count > q->count)
				q = &f->levels[i]->queues[k];
	return q;
}

static struct queue_node **newest(struct queue *q)
{
	struct queue_node **link = &q->first;

	while ((*link)->next)
		link = &(*link)->next;
	return link;
}

bool fair_queue_evict(struct fair_queue *fq, hm_id exempt,
		      struct queue_item *out)
{
	struct flow *f = longest_flow(fq);
	struct queue *q;

	if (!f || f->account == exempt)
		return false;
	q = longest_queue(f);
	if (!q || !q->count)
		return false;
	queue_remove(fq, f, q, newest(q), out);
	return true;
}

hm_time fair_queue_backlog(const struct fair_queue *fq, uint32_t slots)
{
	hm_time cost = 0;
	uint32_t i;

	for (i = 0; i < fq->flow_count; i++)
		cost += queued_cost(fq->flows[i]);
	return cost / (slots ? slots : 1);
}

hm_time fair_queue_low_cost(const struct fair_queue *fq, hm_id account,
			    enum queue_class class)
{
	const struct flow *f = flow_find(fq, account);

	return f && f->levels[0] ? f->levels[0]->queues[class].low_cost : 0;
}

/*
 * Number of slots that the recent use of the other accounts, up to @a level,
 * leaves to @a own, but at least the share that its weight gives it; in units
 * of 1 / USE_SCALE slots.
 */
static int64_t slots_left(const struct fair_queue *fq, const struct flow *own,
			  uint32_t slots, uint32_t level, hm_time now)
{
	uint64_t weights = own->weight;
	hm_time others = 0;
	int64_t fair, rest;
	uint32_t i;

	for (i = 0; i < fq->flow_count; i++) {
		const struct flow *f = fq->flows[i];
		hm_time recent = flow_use(f, level, now);

		if (f == own || (!f->count && !recent))
			continue;
		weights += f->weight;
		others += recent;
	}
	fair = (int64_t)(slots * USE_SCALE * (uint64_t)own->weight / weights);
	rest = slots * USE_SCALE - others * USE_SCALE / USE_SPAN;
	if (rest < fair)
		rest = fair;
	return rest > 0 ? rest : 1;
}

hm_time fair_queue_wait(const struct fair_queue *fq, hm_id account,
			uint32_t slots, hm_time now)
{
	const struct flow *own = flow_find(fq, account);

	if (!own || !own->count)
		return 0;
	return queued_cost(own) * USE_SCALE /
	       slots_left(fq, own, slots, PRIORITY_LEVELS - 1, now);
}

/* Where a statement would be in the order of the queue. */
struct place {
	const struct flow *own; /* NULL: an account with nothing queued */
	uint32_t level;		/* level by which it is served */
	int64_t start;		/* virtual time at which its turn comes */
	uint64_t weights;
	hm_time now;
};

/* Costs of an account's queued statements relative to a place. */
struct cost_split {
	hm_time before; /* served before it in any case */
	hm_time equal;	/* of its level, hence by virtual time */
	uint32_t equal_count;
};

static struct cost_split split_costs(const struct fair_queue *fq,
				     const struct flow *f,
				     const struct place *at)
{
	struct cost_split s = { 0 };
	uint32_t i, k, served;

	for (i = 0; i < PRIORITY_LEVELS; i++) {
		if (!f->levels[i])
			continue;
		served = has_levels(fq)
				 ? flow_served_level(fq, f, i, at->weights,
						     at->now)
				 : at->level;
		for (k = 0; k < QUEUE_CLASSES; k++) {
			const struct queue *q = &f->levels[i]->queues[k];

			if (has_levels(fq) &&
			    (k == QUEUE_TX || served < at->level)) {
				s.before += queue_cost(q);
			} else if (served == at->level) {
				s.equal += queue_cost(q);
				s.equal_count += q->count;
			}
		}
	}
	return s;
}

/*
 * Cost of the other accounts' statements that are served before @a at. An
 * account of the same level is served until its virtual time has passed that of
 * the statement.
 */
static hm_time cost_before(const struct fair_queue *fq, const struct place *at)
{
	hm_time cost = 0, turn;
	uint32_t i;

	for (i = 0; i < fq->flow_count; i++) {
		const struct flow *f = fq->flows[i];
		struct cost_split s;

		if (f == at->own || !f->count)
			continue;
		s = split_costs(fq, f, at);
		cost += s.before;
		if (!s.equal_count || f->virtual_time > at->start)
			continue;
		turn = (at->start - f->virtual_time) * f->weight /
			       WEIGHT_SCALE +
		       s.equal / s.equal_count;
		cost += turn < s.equal ? turn : s.equal;
	}
	return cost;
}

/*
 * Slots that the recent use of more urgent levels leaves, but at least the
 * floor; in units of 1 / USE_SCALE slots.
 */
static int64_t level_slots(const struct fair_queue *fq, uint32_t level,
			   hm_time now)
{
	int64_t all = (int64_t)fq->slots * USE_SCALE, rest = all;
	uint32_t i;

	for (i = 0; has_levels(fq) && level && i < fq->flow_count; i++)
		rest -= flow_use(fq->flows[i], level - 1, now) * USE_SCALE /
			USE_SPAN;
	if (rest < all / FLOOR_PARTS)
		rest = all / FLOOR_PARTS;
	return rest > 0 ? rest : 1;
}

/* Expected wait until @a cost of statements has been served before a place. */
static hm_time wait_for(const struct fair_queue *fq, const struct place *at,
			hm_time cost)
{
	cost += cost_before(fq, at);
	return cost * USE_SCALE / level_slots(fq, at->level, at->now);
}

/* Expected wait of a statement of an account with nothing queued. */
static hm_time share_wait(const struct fair_queue *fq, uint32_t level,
			  hm_time now)
{
	struct place at = { .level = level,
			    .start = fq->virtual_time,
			    .weights = queued_weights(fq),
			    .now = now };

	return fq->count ? wait_for(fq, &at, 0) : 0;
}

void fair_queue_share_waits(const struct fair_queue *fq, hm_time now,
			    hm_time wait[PRIORITY_LEVELS])
{
	uint32_t i;

	for (i = 0; i < PRIORITY_LEVELS; i++)
		wait[i] = i && i >= fq->level_count ? wait[i - 1]
						    : share_wait(fq, i, now);
}

static hm_time longer(hm_time a, hm_time b)
{
	return a > b ? a : b;
}

hm_time fair_queue_level_wait(const struct fair_queue *fq, hm_id account,
			      uint32_t level, hm_time now)
{
	const struct flow *own = flow_find(fq, account);
	struct place at = { .own = own, .now = now };
	struct cost_split s;
	hm_time ahead;

	if (!has_levels(fq))
		return fair_queue_wait(fq, account, fq->slots, now);
	if (!own)
		return share_wait(fq, level, now);
	at.weights = queued_weights(fq) + (own->count ? 0 : own->weight);
	at.level = flow_served_level(fq, own, level, at.weights, now);
	s = split_costs(fq, own, &at);
	at.start = own->virtual_time;
	if (!own->count && at.start < fq->virtual_time)
		at.start = fq->virtual_time;
	at.start += s.equal * WEIGHT_SCALE / own->weight;
	ahead = s.before + s.equal;
	if (!ahead)
		return wait_for(fq, &at, 0);
	return longer(wait_for(fq, &at, ahead),
		      ahead * USE_SCALE /
			      slots_left(fq, own, fq->slots, at.level, now));
}

/*
 * Expected wait of the newest statement of a queue. Of its account's statements
 * of that level only those of its own class count, so that the estimate is
 * rather too low.
 */
static hm_time tail_wait(const struct fair_queue *fq, const struct flow *f,
			 uint32_t level, const struct queue *q, hm_time now)
{
	hm_time before = queue_cost(q) - q->cost;
	struct place at = { .own = f,
			    .weights = queued_weights(fq),
			    .now = now };

	at.level = flow_served_level(fq, f, level, at.weights, now);
	at.start = f->virtual_time + before * WEIGHT_SCALE / f->weight;
	return wait_for(fq, &at, before + split_costs(fq, f, &at).before);
}

/* Finds a statement of @a level at the end of a queue that starts too late. */
static bool take_late(struct fair_queue *fq, uint32_t level, hm_time now,
		      struct queue_item *out, hm_time *wait)
{
	hm_time most = fair_queue_backlog(fq, 1) * USE_SCALE /
		       level_slots(fq, least_waiting(fq), now);
	uint32_t i, k;

	for (i = 0; i < fq->flow_count; i++) {
		struct flow_level *v = fq->flows[i]->levels[level];

		for (k = 0; v && k < QUEUE_TX; k++) {
			struct queue *q = &v->queues[k];
			struct queue_node **link = q->count ? newest(q) : NULL;

			/* None waits longer than for all that is queued. */
			if (!link || now + most <= (*link)->item.start_by)
				continue;
			*wait = tail_wait(fq, fq->flows[i], level, q, now);
			if (now + *wait <= (*link)->item.start_by)
				continue;
			queue_remove(fq, fq->flows[i], q, link, out);
			return true;
		}
	}
	return false;
}

bool fair_queue_displace(struct fair_queue *fq, const struct statement *by,
			 hm_time now, struct queue_item *out, hm_time *wait)
{
	const struct flow *f = flow_find(fq, by->account);
	uint32_t level = priority_level(by->level);

	if (!has_levels(fq) || !f)
		return false;
	level = flow_served_level(
		fq, f, level, queued_weights(fq) + (f->count ? 0 : f->weight),
		now);
	while (++level < PRIORITY_LEVELS)
		if (fq->waiting[level] && take_late(fq, level, now, out, wait))
			return true;
	return false;
}
