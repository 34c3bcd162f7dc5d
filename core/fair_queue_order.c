/**
 * @file fair_queue_order.c
 * Choice of the next statement of a fair queue: by virtual time alone, or by
 * urgency first if there are levels.
 */
#include "fair_queue_state.h"

#define LONG_COST (50 * HM_MS) /* a statement this long delays others */
/*
 * A less urgent statement of this length keeps off the last free slot, where
 * an urgent one would wait longer for it than its own few milliseconds of work.
 */
#define LAST_SLOT_COST (20 * HM_MS)

/* What a choice depends on. */
struct order {
	uint32_t allowed;
	bool last;	  /* the last free slot is given away */
	bool is_floor;	  /* only the least urgent level, by its floor */
	uint32_t from;	  /* most urgent level to be considered */
	uint64_t weights; /* of the accounts with queued statements */
	hm_time now;
};

uint64_t queued_weights(const struct fair_queue *fq)
{
	uint64_t weights = 0;
	uint32_t i;

	for (i = 0; i < fq->flow_count; i++)
		if (fq->flows[i]->count)
			weights += fq->flows[i]->weight;
	return weights;
}

uint32_t least_waiting(const struct fair_queue *fq)
{
	uint32_t level = PRIORITY_LEVELS - 1;

	while (level && !fq->waiting[level])
		level--;
	return level;
}

/*
 * Whether an account used more slot time than its fair share for statements of
 * @a level and of more urgent ones. Its less urgent use does not count, since
 * that displaces nobody and must not make its urgent statements late.
 */
static bool exceeds_share(const struct fair_queue *fq, const struct flow *f,
			  uint32_t level, uint64_t weights, hm_time now)
{
	uint64_t share = (uint64_t)fq->slots * USE_SPAN * f->weight;

	return (uint64_t)flow_use(f, level, now) * weights > share;
}

uint32_t flow_served_level(const struct fair_queue *fq, const struct flow *f,
			   uint32_t level, uint64_t weights, hm_time now)
{
	uint32_t least = least_waiting(fq);

	if (!has_levels(fq) || level >= least ||
	    !exceeds_share(fq, f, level, weights, now))
		return level;
	return least;
}

/* Queue of the class to be served next at a level, NULL: none is allowed. */
static struct queue *next_queue(struct flow_level *v, uint32_t allowed)
{
	struct queue *best = NULL;
	uint32_t k;

	if (allowed & 1U << QUEUE_TX && v->queues[QUEUE_TX].count)
		return &v->queues[QUEUE_TX];
	for (k = 0; k < QUEUE_CLASSES; k++) {
		struct queue *q = &v->queues[k];

		if (!(allowed & 1U << k) || !q->count)
			continue;
		if (!best || q->used < best->used)
			best = q;
	}
	return best;
}

/*
 * Whether an account must leave the last free slot to others: its long
 * statements occupy all busy slots while the other accounts use at least one
 * slot on average. Otherwise these would all wait for the long statements.
 */
static bool leaves_last_slot(const struct fair_queue *fq, const struct flow *f,
			     const struct queue *q, hm_time now)
{
	hm_time others = 0;
	uint32_t i;

	if (!f->running || f->running < fq->running || q->cost < LONG_COST)
		return false;
	for (i = 0; i < fq->flow_count; i++)
		if (fq->flows[i] != f)
			others += flow_use(fq->flows[i], PRIORITY_LEVELS - 1,
					   now);
	return others >= USE_SPAN;
}

/* Whether statements of @a level take less than half of @a cost. */
static bool is_shorter(const struct fair_queue *fq, uint32_t level,
		       hm_time cost)
{
	uint32_t k;

	for (k = 0; k < QUEUE_CLASSES; k++)
		if (fq->typical[level][k] && fq->typical[level][k] < cost / 2)
			return true;
	return false;
}

/*
 * Whether a long statement of @a level leaves the last free slot to more urgent
 * ones, which arrived in the last second. Among statements of about the same
 * length a slot kept free costs more than the wait that it saves. With a single
 * slot the long ones would not run at all.
 */
static bool leaves_urgent_slot(const struct fair_queue *fq, uint32_t level,
			       const struct queue *q, hm_time now)
{
	uint32_t i;

	if (fq->slots < 2 || q->cost < LAST_SLOT_COST)
		return false;
	for (i = 0; i < level; i++)
		if (now < fq->active_until[i] && is_shorter(fq, i, q->cost))
			return true;
	return false;
}

static bool is_tx(const struct queue_choice *c)
{
	return c->queue == &c->at->queues[QUEUE_TX];
}

static bool may_start(const struct fair_queue *fq, const struct order *o,
		      const struct queue_choice *c)
{
	if (!o->last)
		return true;
	if (leaves_last_slot(fq, c->flow, c->queue, o->now))
		return false;
	return o->is_floor || is_tx(c) ||
	       !leaves_urgent_slot(fq, c->level, c->queue, o->now);
}

/* Open transactions first, by level, by virtual time, by arrival. */
static bool precedes(const struct queue_choice *a, uint32_t rank_a,
		     const struct queue_choice *b, uint32_t rank_b)
{
	if (rank_a != rank_b)
		return rank_a < rank_b;
	if (a->flow->virtual_time != b->flow->virtual_time)
		return a->flow->virtual_time < b->flow->virtual_time;
	return a->queue->first->item.queued_at <
	       b->queue->first->item.queued_at;
}

/* Classes of which statements of an account may be taken. */
static uint32_t allowed_of(const struct fair_queue *fq, const struct flow *f,
			   const struct order *o)
{
	uint32_t i, in_tx = 0;

	for (i = 0; i < PRIORITY_LEVELS; i++)
		if (f->levels[i])
			in_tx += f->levels[i]->queues[QUEUE_TX].count;
	if (f->count == in_tx || !fq->allows ||
	    fq->allows(fq->allows_context, f->account, o->now))
		return o->allowed;
	return o->allowed & 1U << QUEUE_TX;
}

static void choose_in_flow(const struct fair_queue *fq, const struct order *o,
			   struct flow *f, struct queue_choice *best,
			   uint32_t *best_rank)
{
	uint32_t rank, allowed = allowed_of(fq, f, o);
	struct queue_choice c = { .flow = f };

	for (c.level = o->from; c.level < PRIORITY_LEVELS; c.level++) {
		c.at = f->levels[c.level];
		c.queue = c.at ? next_queue(c.at, allowed) : NULL;
		if (!c.queue || !may_start(fq, o, &c))
			continue;
		rank = flow_served_level(fq, f, c.level, o->weights, o->now);
		if (!is_tx(&c))
			rank += PRIORITY_LEVELS;
		if (best->flow && !precedes(&c, rank, best, *best_rank))
			continue;
		*best = c;
		*best_rank = rank;
	}
}

static struct queue_choice choose_by_level(const struct fair_queue *fq,
					   const struct order *o)
{
	struct queue_choice best = { 0 };
	uint32_t rank = 0, i;

	for (i = 0; i < fq->flow_count; i++)
		if (fq->flows[i]->count)
			choose_in_flow(fq, o, fq->flows[i], &best, &rank);
	return best;
}

/*
 * The floor: while the least urgent waiting level is owed slot time, it gets
 * the slot that a more urgent statement would get, the last one included.
 */
static bool choose_with_floor(const struct fair_queue *fq, struct order *o,
			      struct queue_choice *out)
{
	struct queue_choice least;

	*out = choose_by_level(fq, o);
	if (!out->flow)
		return false;
	o->from = least_waiting(fq);
	if (out->level >= o->from)
		return true;
	out->floor = FLOOR_PASSED;
	if (fq->owed <= 0)
		return true;
	o->is_floor = true;
	least = choose_by_level(fq, o);
	if (!least.flow)
		return true;
	*out = least;
	out->floor = FLOOR_GIVEN;
	return true;
}

/* Queue of an account to be served next when levels are ignored. */
static bool choose_class(struct flow *f, uint32_t allowed,
			 struct queue_choice *out)
{
	struct queue_choice c = { .flow = f };

	*out = c;
	for (c.level = 0; c.level < PRIORITY_LEVELS; c.level++) {
		c.at = f->levels[c.level];
		c.queue = c.at ? next_queue(c.at, allowed) : NULL;
		if (!c.queue)
			continue;
		if (!out->queue || (is_tx(&c) && !is_tx(out)))
			*out = c;
	}
	return out->queue;
}

/* With levels in use, open transactions precede those of other accounts. */
static bool precedes_by_account(const struct fair_queue *fq,
				const struct queue_choice *a,
				const struct queue_choice *b)
{
	if (fq->level_count > 1 && is_tx(a) != is_tx(b))
		return is_tx(a);
	return a->flow->virtual_time < b->flow->virtual_time;
}

static bool choose_by_account(const struct fair_queue *fq,
			      const struct order *o, struct queue_choice *out)
{
	struct queue_choice c;
	uint32_t i;

	*out = (struct queue_choice){ 0 };
	for (i = 0; i < fq->flow_count; i++) {
		struct flow *f = fq->flows[i];

		if (!f->count || !choose_class(f, allowed_of(fq, f, o), &c) ||
		    (o->last && leaves_last_slot(fq, f, c.queue, o->now)))
			continue;
		if (!out->flow || precedes_by_account(fq, &c, out))
			*out = c;
	}
	return out->flow;
}

bool queue_choose(const struct fair_queue *fq, uint32_t allowed, bool last,
		  hm_time now, struct queue_choice *out)
{
	struct order o = { .allowed = allowed, .last = last, .now = now };

	if (!has_levels(fq))
		return choose_by_account(fq, &o, out);
	o.weights = queued_weights(fq);
	return choose_with_floor(fq, &o, out);
}
