/** @file fair_queue.c Start-time fair queueing over accounts. */
#include "fair_queue.h"

#include <stdlib.h>

#include "table.h"

#define WEIGHT_SCALE 1024
#define INITIAL_COST (5 * HM_MS) /* estimate before the first statement */
#define COST_WINDOW 8		 /* statements that a cost is averaged over */
#define LOW_COST_RISE 8		 /* a low estimate rises by 1/8 at most */
#define USE_SPAN HM_SEC		 /* time in which recent use decays to 0 */
#define USE_SCALE 1024
#define LONG_COST (50 * HM_MS) /* a statement this long delays others */

struct queue_node {
	struct queue_item item;
	struct queue_node *next;
};

struct queue {
	struct queue_node *first;
	struct queue_node **last;
	uint32_t count;
	hm_time used;	  /* slot time charged to this class */
	hm_time cost;	  /* expected slot time of one statement */
	hm_time low_cost; /* low estimate: falls at once, rises slowly */
};

/* The queues of one account, and the slot time that it used. */
struct flow {
	hm_id account;
	uint32_t weight;
	uint32_t count;
	uint32_t running;
	int64_t virtual_time; /* slot time charged, divided by the weight */
	hm_time class_time;   /* slot time charged to the class served last */
	hm_time recent;	      /* recent slot time, decays over USE_SPAN */
	hm_time recent_at;
	struct queue queues[QUEUE_CLASSES];
};

struct fair_queue {
	struct flow **flows;
	uint32_t flow_count;
	uint32_t flow_capacity;
	struct table by_account;
	int64_t virtual_time; /* virtual time of the flow served last */
	uint32_t count;
	uint32_t running;
	uint32_t class_count[QUEUE_CLASSES];
	queue_filter allows; /* NULL: all accounts */
	void *allows_context;
};

struct fair_queue *fair_queue_new(void)
{
	return calloc(1, sizeof(struct fair_queue));
}

static void free_flow(struct flow *f)
{
	uint32_t k;

	for (k = 0; k < QUEUE_CLASSES; k++) {
		struct queue_node *p = f->queues[k].first;

		while (p) {
			struct queue_node *next = p->next;

			free(p);
			p = next;
		}
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

static struct flow *find(const struct fair_queue *fq, hm_id account)
{
	uint32_t h = table_get(&fq->by_account, account);

	return h == TABLE_NONE ? NULL : fq->flows[h];
}

static struct flow *add_flow(struct fair_queue *fq, hm_id account)
{
	struct flow *f = calloc(1, sizeof(*f));
	uint32_t k;

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
	for (k = 0; k < QUEUE_CLASSES; k++) {
		f->queues[k].last = &f->queues[k].first;
		f->queues[k].cost = INITIAL_COST;
	}
	fq->flows[fq->flow_count++] = f;
	return f;
}

void fair_queue_push(struct fair_queue *fq, const struct queue_item *item)
{
	struct flow *f = find(fq, item->statement.account);
	struct queue_node *p = malloc(sizeof(*p));
	struct queue *q;

	if (!p)
		abort();
	if (!f)
		f = add_flow(fq, item->statement.account);
	q = &f->queues[item->class];
	f->weight = item->weight;
	if (!f->count && f->virtual_time < fq->virtual_time)
		f->virtual_time = fq->virtual_time;
	/* An empty queue earns no credit for slot time that it did not use. */
	if (!q->count && q->used < f->class_time)
		q->used = f->class_time;
	*p = (struct queue_node){ .item = *item };
	*q->last = p;
	q->last = &p->next;
	q->count++;
	f->count++;
	fq->count++;
	fq->class_count[item->class]++;
}

/* Unlinks and frees the node that *link points to. */
static void remove_node(struct fair_queue *fq, struct flow *f, struct queue *q,
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
	*out = p->item;
	free(p);
}

static hm_time recent_use(const struct flow *f, hm_time now)
{
	hm_time dt = now - f->recent_at;

	if (dt >= USE_SPAN || f->recent < 0)
		return 0;
	return f->recent - f->recent * dt / USE_SPAN;
}

static void charge(struct flow *f, struct queue_item *item, hm_time cost,
		   hm_time now)
{
	f->recent = recent_use(f, now) + cost;
	f->recent_at = now;
	f->queues[item->class].used += cost;
	f->virtual_time += cost * WEIGHT_SCALE / f->weight;
	item->charged += cost;
}

/* Queue of the class to be served next, NULL when none is allowed. */
static struct queue *next_queue(struct flow *f, uint32_t allowed)
{
	struct queue *best = NULL;
	uint32_t k;

	if (allowed & 1U << QUEUE_TX && f->queues[QUEUE_TX].count)
		return &f->queues[QUEUE_TX];
	for (k = 0; k < QUEUE_CLASSES; k++) {
		struct queue *q = &f->queues[k];

		if (!(allowed & 1U << k) || !q->count)
			continue;
		if (!best || q->used < best->used)
			best = q;
	}
	return best;
}

void fair_queue_set_filter(struct fair_queue *fq, queue_filter allows,
			   void *context)
{
	fq->allows = allows;
	fq->allows_context = context;
}

/* Classes of which statements of the account may be taken. */
static uint32_t allowed_of(const struct fair_queue *fq, const struct flow *f,
			   uint32_t allowed, hm_time now)
{
	if (f->count == f->queues[QUEUE_TX].count || !fq->allows ||
	    fq->allows(fq->allows_context, f->account, now))
		return allowed;
	return allowed & 1U << QUEUE_TX;
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
			others += recent_use(fq->flows[i], now);
	return others >= USE_SPAN;
}

static struct flow *next_flow(const struct fair_queue *fq, uint32_t allowed,
			      bool last, hm_time now)
{
	struct flow *best = NULL;
	uint32_t i;

	for (i = 0; i < fq->flow_count; i++) {
		struct flow *f = fq->flows[i];
		const struct queue *q =
			next_queue(f, allowed_of(fq, f, allowed, now));

		if (!q || (last && leaves_last_slot(fq, f, q, now)))
			continue;
		if (!best || f->virtual_time < best->virtual_time)
			best = f;
	}
	return best;
}

bool fair_queue_pop(struct fair_queue *fq, uint32_t allowed, bool last,
		    hm_time now, struct queue_item *out)
{
	struct flow *f = fq->count ? next_flow(fq, allowed, last, now) : NULL;
	struct queue *q;

	if (!f)
		return false;
	q = next_queue(f, allowed_of(fq, f, allowed, now));
	if (f->virtual_time > fq->virtual_time)
		fq->virtual_time = f->virtual_time;
	if (q != &f->queues[QUEUE_TX] && q->used > f->class_time)
		f->class_time = q->used;
	remove_node(fq, f, q, &q->first, out);
	f->running++;
	fq->running++;
	charge(f, out, q->cost, now);
	return true;
}

void fair_queue_charge(struct fair_queue *fq, struct queue_item *item,
		       hm_time used, hm_time now)
{
	struct flow *f = find(fq, item->statement.account);

	if (f && used > item->charged)
		charge(f, item, used - item->charged, now);
}

void fair_queue_refund(struct fair_queue *fq, struct queue_item *item,
		       hm_time now)
{
	struct flow *f = find(fq, item->statement.account);

	if (!f)
		return;
	f->running--;
	fq->running--;
	charge(f, item, -item->charged, now);
}

void fair_queue_return(struct fair_queue *fq, struct queue_item *item,
		       hm_time now)
{
	struct queue_node *p = malloc(sizeof(*p));
	struct flow *f = find(fq, item->statement.account);
	struct queue *q;

	if (!p || !f)
		abort();
	fair_queue_refund(fq, item, now);
	q = &f->queues[item->class];
	*p = (struct queue_node){ .item = *item, .next = q->first };
	if (!q->first)
		q->last = &p->next;
	q->first = p;
	q->count++;
	f->count++;
	fq->count++;
	fq->class_count[item->class]++;
}

static void update_low_cost(struct queue *q, hm_time used)
{
	hm_time most = q->low_cost + q->low_cost / LOW_COST_RISE + 1;

	if (!q->low_cost || used < most)
		q->low_cost = used;
	else
		q->low_cost = most;
}

void fair_queue_finish(struct fair_queue *fq, struct queue_item *item,
		       hm_time used, bool completed, hm_time now)
{
	struct flow *f = find(fq, item->statement.account);
	struct queue *q;

	if (!f)
		return;
	q = &f->queues[item->class];
	f->running--;
	fq->running--;
	charge(f, item, used - item->charged, now);
	if (!completed && used <= q->cost)
		return;
	q->cost += (used - q->cost) / COST_WINDOW;
	if (q->cost < 1)
		q->cost = 1;
	update_low_cost(q, used);
}

static bool remove_from(struct fair_queue *fq, struct flow *f,
			queue_match match, const void *context,
			struct queue_item *out)
{
	struct queue_node **link;
	uint32_t k;

	for (k = 0; k < QUEUE_CLASSES; k++) {
		struct queue *q = &f->queues[k];

		for (link = &q->first; *link; link = &(*link)->next)
			if (match(context, &(*link)->item)) {
				remove_node(fq, f, q, link, out);
				return true;
			}
	}
	return false;
}

bool fair_queue_remove(struct fair_queue *fq, queue_match match,
		       const void *context, struct queue_item *out)
{
	uint32_t i;

	for (i = 0; i < fq->flow_count && fq->count; i++)
		if (fq->flows[i]->count &&
		    remove_from(fq, fq->flows[i], match, context, out))
			return true;
	return false;
}

static bool any_in(const struct flow *f, queue_match match, const void *context)
{
	const struct queue_node *p;
	uint32_t k;

	for (k = 0; k < QUEUE_CLASSES; k++)
		for (p = f->queues[k].first; p; p = p->next)
			if (match(context, &p->item))
				return true;
	return false;
}

bool fair_queue_any(const struct fair_queue *fq, queue_match match,
		    const void *context)
{
	uint32_t i;

	for (i = 0; i < fq->flow_count; i++)
		if (fq->flows[i]->count && any_in(fq->flows[i], match, context))
			return true;
	return false;
}

static hm_time queued_cost(const struct flow *f)
{
	hm_time cost = 0;
	uint32_t k;

	for (k = 0; k < QUEUE_CLASSES; k++)
		cost += f->queues[k].count * f->queues[k].cost;
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

bool fair_queue_evict(struct fair_queue *fq, hm_id exempt,
		      struct queue_item *out)
{
	struct flow *f = longest_flow(fq);
	struct queue *q = NULL;
	struct queue_node **link;
	uint32_t k;

	if (!f || f->account == exempt)
		return false;
	/*
	 * Statements of open transactions are not evicted: finishing a
	 * transaction frees a connection.
	 */
	for (k = 0; k < QUEUE_TX; k++)
		if (!q || f->queues[k].count > q->count)
			q = &f->queues[k];
	if (!q || !q->count)
		return false;
	for (link = &q->first; (*link)->next; link = &(*link)->next)
		;
	remove_node(fq, f, q, link, out);
	return true;
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
	const struct flow *f = find(fq, account);

	return f ? f->queues[class].low_cost : 0;
}

/*
 * Number of slots that the recent use of the other accounts leaves to @a own,
 * but at least the share that its weight gives it; in units of 1 / USE_SCALE
 * slots.
 */
static int64_t slots_left(const struct fair_queue *fq, const struct flow *own,
			  uint32_t slots, hm_time now)
{
	uint64_t weights = own->weight;
	hm_time others = 0;
	int64_t fair, rest;
	uint32_t i;

	for (i = 0; i < fq->flow_count; i++) {
		const struct flow *f = fq->flows[i];
		hm_time recent = recent_use(f, now);

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
	const struct flow *own = find(fq, account);

	if (!own || !own->count)
		return 0;
	return queued_cost(own) * USE_SCALE / slots_left(fq, own, slots, now);
}
