/** @file fair_queue.c Accounts, queues and charges of a fair queue. */
#include "fair_queue_state.h"

#include <stdlib.h>

#define INITIAL_COST (5 * HM_MS) /* estimate before the first statement */
#define COST_WINDOW 8		 /* statements that a cost is averaged over */
#define LOW_COST_RISE 8		 /* a low estimate rises by 1/8 at most */
/* How long a level counts as active after a statement of it arrived. */
#define ACTIVE_SPAN HM_SEC
/*
 * Most slot time that the floor owes. More builds up only while no statement of
 * the least urgent level may start, and would then delay urgent ones.
 */
#define OWED_MAX (100 * HM_MS)

struct fair_queue *fair_queue_new(void)
{
	return calloc(1, sizeof(struct fair_queue));
}

void fair_queue_set_levels(struct fair_queue *fq, uint32_t levels)
{
	if (fq->level_count != levels)
		fq->levels_seen = 0;
	fq->level_count = levels;
}

void fair_queue_set_slots(struct fair_queue *fq, uint32_t slots)
{
	fq->slots = slots;
}

static void free_queue(struct queue *q)
{
	struct queue_node *p = q->first;

	while (p) {
		struct queue_node *next = p->next;

		free(p);
		p = next;
	}
}

static void free_flow(struct flow *f)
{
	uint32_t i, k;

	for (i = 0; i < PRIORITY_LEVELS; i++) {
		for (k = 0; f->levels[i] && k < QUEUE_CLASSES; k++)
			free_queue(&f->levels[i]->queues[k]);
		free(f->levels[i]);
	}
	free(f);
}

void fair_queue_free(struct fair_queue *fq)
{
	uint32_t i;

	if (!fq)
		return;
	for (i = 0; i < fq->flow_count; i++)
		free_flow(fq->flows[i]);
	free(fq->flows);
	table_free(&fq->by_account);
	free(fq);
}

struct flow *flow_find(const struct fair_queue *fq, hm_id account)
{
	uint32_t h = table_get(&fq->by_account, account);

	return h == TABLE_NONE ? NULL : fq->flows[h];
}

static struct flow *add_flow(struct fair_queue *fq, hm_id account)
{
	struct flow *f = calloc(1, sizeof(*f));

	if (fq->flow_count == fq->flow_capacity) {
		uint32_t capacity =
			fq->flow_capacity ? fq->flow_capacity * 2 : 16;
		struct flow **flows =
			realloc(fq->flows, capacity * sizeof(void *));

		if (!flows)
			abort();
		fq->flows = flows;
		fq->flow_capacity = capacity;
	}
	if (!f || !table_put(&fq->by_account, account, fq->flow_count))
		abort();
	f->account = account;
	fq->flows[fq->flow_count++] = f;
	return f;
}

static struct flow_level *flow_at(struct flow *f, uint32_t level)
{
	struct flow_level *v = f->levels[level];
	uint32_t k;

	if (v)
		return v;
	v = calloc(1, sizeof(*v));
	if (!v)
		abort();
	for (k = 0; k < QUEUE_CLASSES; k++) {
		v->queues[k].last = &v->queues[k].first;
		v->queues[k].cost = INITIAL_COST;
	}
	f->levels[level] = v;
	return v;
}

/*
 * An account with few statements would take long to learn their cost by itself,
 * so until its first one has ended it is taken from the other accounts.
 */
static void start_cost(const struct fair_queue *fq, struct queue *q,
		       uint32_t level, enum queue_class class)
{
	if (has_levels(fq) && !q->low_cost && fq->typical[level][class])
		q->cost = fq->typical[level][class];
}

static void count_item(struct fair_queue *fq, struct flow *f, struct queue *q,
		       const struct queue_item *item)
{
	q->count++;
	f->count++;
	fq->count++;
	fq->class_count[item->class]++;
	fq->waiting[item->statement.level]++;
}

void fair_queue_push(struct fair_queue *fq, const struct queue_item *item)
{
	uint32_t level =
		fq->level_count > 1 ? priority_level(item->statement.level) : 0;
	struct flow *f = flow_find(fq, item->statement.account);
	struct queue_node *p = malloc(sizeof(*p));
	struct flow_level *v;
	struct queue *q;

	if (!p)
		abort();
	if (!f)
		f = add_flow(fq, item->statement.account);
	v = flow_at(f, level);
	fq->levels_seen |= 1U << level;
	q = &v->queues[item->class];
	start_cost(fq, q, level, item->class);
	f->weight = item->weight;
	if (!f->count && f->virtual_time < fq->virtual_time)
		f->virtual_time = fq->virtual_time;
	/* An empty queue earns no credit for slot time that it did not use. */
	if (!q->count && q->used < v->class_time)
		q->used = v->class_time;
	*p = (struct queue_node){ .item = *item };
	p->item.statement.level = level;
	*q->last = p;
	q->last = &p->next;
	count_item(fq, f, q, &p->item);
	fq->active_until[level] = item->queued_at + ACTIVE_SPAN;
}

void queue_remove(struct fair_queue *fq, struct flow *f, struct queue *q,
		  struct queue_node **link, struct queue_item *out)
{
	struct queue_node *p = *link;

	*link = p->next;
	if (!p->next)
		q->last = link;
	q->count--;
	f->count--;
	fq->count--;
	fq->class_count[p->item.class]--;
	fq->waiting[p->item.statement.level]--;
	*out = p->item;
	free(p);
}

/* Counts the floor: a part of what others get, less what it was given. */
static void charge_floor(struct fair_queue *fq, const struct queue_item *item,
			 hm_time cost)
{
	if (item->floor == FLOOR_NONE)
		return;
	fq->owed += cost / FLOOR_PARTS;
	if (item->floor == FLOOR_GIVEN)
		fq->owed -= cost;
	if (fq->owed > OWED_MAX)
		fq->owed = OWED_MAX;
}

static void charge(struct fair_queue *fq, struct flow *f,
		   struct queue_item *item, hm_time cost, hm_time now)
{
	uint32_t level = item->statement.level;
	struct flow_level *v = flow_at(f, level);

	v->recent = flow_level_use(f, level, now) + cost;
	v->recent_at = now;
	v->queues[item->class].used += cost;
	f->virtual_time += cost * WEIGHT_SCALE / f->weight;
	item->charged += cost;
	charge_floor(fq, item, cost);
}

/*
 * Moves the queue's virtual time on when @a f is served: to that of @a f, or
 * where levels come first, to the least of all queued accounts, since an
 * account that is served for its urgency may be far ahead of them.
 */
static void advance(struct fair_queue *fq, const struct flow *f)
{
	int64_t to = f->virtual_time;
	uint32_t i;

	for (i = 0; has_levels(fq) && i < fq->flow_count; i++)
		if (fq->flows[i]->count && fq->flows[i]->virtual_time < to)
			to = fq->flows[i]->virtual_time;
	if (to > fq->virtual_time)
		fq->virtual_time = to;
}

bool fair_queue_pop(struct fair_queue *fq, uint32_t allowed, bool last,
		    hm_time now, struct queue_item *out)
{
	struct queue_choice c;

	if (!fq->count || !queue_choose(fq, allowed, last, now, &c))
		return false;
	advance(fq, c.flow);
	if (c.queue != &c.at->queues[QUEUE_TX] &&
	    c.queue->used > c.at->class_time)
		c.at->class_time = c.queue->used;
	queue_remove(fq, c.flow, c.queue, &c.queue->first, out);
	out->floor = c.floor;
	c.flow->running++;
	fq->running++;
	charge(fq, c.flow, out, c.queue->cost, now);
	return true;
}

void fair_queue_charge(struct fair_queue *fq, struct queue_item *item,
		       hm_time used, hm_time now)
{
	struct flow *f = flow_find(fq, item->statement.account);

	if (f && used > item->charged)
		charge(fq, f, item, used - item->charged, now);
}

void fair_queue_refund(struct fair_queue *fq, struct queue_item *item,
		       hm_time now)
{
	struct flow *f = flow_find(fq, item->statement.account);

	if (!f)
		return;
	f->running--;
	fq->running--;
	charge(fq, f, item, -item->charged, now);
}

void fair_queue_set_filter(struct fair_queue *fq, queue_filter allows,
			   void *context)
{
	fq->allows = allows;
	fq->allows_context = context;
}

void fair_queue_return(struct fair_queue *fq, struct queue_item *item,
		       hm_time now)
{
	struct queue_node *p = malloc(sizeof(*p));
	struct flow *f = flow_find(fq, item->statement.account);
	struct queue *q;

	if (!p || !f)
		abort();
	fair_queue_refund(fq, item, now);
	item->floor = FLOOR_NONE;
	q = &f->levels[item->statement.level]->queues[item->class];
	*p = (struct queue_node){ .item = *item, .next = q->first };
	if (!q->first)
		q->last = &p->next;
	q->first = p;
	count_item(fq, f, q, item);
}

static void update_low_cost(struct queue *q, hm_time used)
{
	hm_time most = q->low_cost + q->low_cost / LOW_COST_RISE + 1;

	if (!q->low_cost || used < most)
		q->low_cost = used;
	else
		q->low_cost = most;
}

static void update_typical(struct fair_queue *fq, const struct queue_item *item,
			   hm_time used)
{
	hm_time *cost = &fq->typical[item->statement.level][item->class];

	*cost = *cost ? *cost + (used - *cost) / COST_WINDOW : used;
}

void fair_queue_finish(struct fair_queue *fq, struct queue_item *item,
		       hm_time used, bool completed, hm_time now)
{
	struct flow *f = flow_find(fq, item->statement.account);
	struct queue *q;

	if (!f)
		return;
	q = &f->levels[item->statement.level]->queues[item->class];
	f->running--;
	fq->running--;
	charge(fq, f, item, used - item->charged, now);
	if (!completed && used <= q->cost)
		return;
	q->cost += (used - q->cost) / COST_WINDOW;
	if (q->cost < 1)
		q->cost = 1;
	update_low_cost(q, used);
	update_typical(fq, item, used);
}

/* Link to the first statement of an account that matches, NULL for none. */
static struct queue_node **find_match(const struct flow *f, queue_match match,
				      const void *context, struct queue **of)
{
	struct queue_node **link;
	uint32_t i, k;

	for (i = 0; i < PRIORITY_LEVELS; i++)
		for (k = 0; f->levels[i] && k < QUEUE_CLASSES; k++) {
			*of = &f->levels[i]->queues[k];
			for (link = &(*of)->first; *link; link = &(*link)->next)
				if (match(context, &(*link)->item))
					return link;
		}
	return NULL;
}

bool fair_queue_remove(struct fair_queue *fq, queue_match match,
		       const void *context, struct queue_item *out)
{
	struct queue_node **link;
	struct queue *q;
	uint32_t i;

	for (i = 0; i < fq->flow_count && fq->count; i++) {
		if (!fq->flows[i]->count)
			continue;
		link = find_match(fq->flows[i], match, context, &q);
		if (!link)
			continue;
		queue_remove(fq, fq->flows[i], q, link, out);
		return true;
	}
	return false;
}

bool fair_queue_any(const struct fair_queue *fq, queue_match match,
		    const void *context)
{
	struct queue *q;
	uint32_t i;

	for (i = 0; i < fq->flow_count; i++)
		if (fq->flows[i]->count &&
		    find_match(fq->flows[i], match, context, &q))
			return true;
	return false;
}

uint32_t fair_queue_count(const struct fair_queue *fq)
{
	return fq->count;
}

uint32_t fair_queue_count_class(const struct fair_queue *fq,
				enum queue_class class)
{
	return fq->class_count[class];
}
