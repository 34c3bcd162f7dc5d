/** @file turns.c Start-time fair queueing over accounts. */
#include "turns.h"

#include <stdlib.h>

#include "table.h"

#define WEIGHT_SCALE 1024
#define COST_FIRST (5 * HM_MS) /* expected slot time before any was seen */
#define COST_MEMORY 8	       /* statements that an average looks back on */
#define LEAST_RISE 8	       /* a low estimate rises by this part of it */
#define USE_SPAN HM_SEC	       /* memory of the slot time used lately */
#define USE_SCALE 1024
#define LONG_COST (50 * HM_MS) /* statements that others feel the wait of */

struct place {
	struct turn turn;
	struct place *next;
};

struct queue {
	struct place *first;
	struct place **last;
	uint32_t count;
	hm_time used;  /* slot time charged to this class */
	hm_time cost;  /* expected slot time of one statement */
	hm_time least; /* low estimate: falls at once, rises slowly */
};

struct flow {
	hm_id account;
	uint32_t weight;
	uint32_t count;
	uint32_t running;
	int64_t virtual_time; /* slot time charged, over the weight */
	hm_time class_time;   /* slot time of the class that was served last */
	hm_time recent;	      /* slot time of late, decays over USE_SPAN */
	hm_time recent_at;
	struct queue queues[TURN_CLASSES];
};

struct turns {
	struct flow **flows;
	uint32_t flow_count;
	uint32_t flow_room;
	struct table by_account;
	int64_t virtual_time; /* of the account that was served last */
	uint32_t count;
	uint32_t running;
	uint32_t class_count[TURN_CLASSES];
};

struct turns *turns_new(void)
{
	return calloc(1, sizeof(struct turns));
}

static void free_flow(struct flow *f)
{
	uint32_t k;

	for (k = 0; k < TURN_CLASSES; k++) {
		struct place *p = f->queues[k].first;

		while (p) {
			struct place *next = p->next;

			free(p);
			p = next;
		}
	}
	free(f);
}

void turns_free(struct turns *t)
{
	uint32_t i;

	if (!t)
		return;
	for (i = 0; i < t->flow_count; i++)
		free_flow(t->flows[i]);
	free(t->flows);
	table_free(&t->by_account);
	free(t);
}

static struct flow *find(const struct turns *t, hm_id account)
{
	uint32_t h = table_get(&t->by_account, account);

	return h == TABLE_NONE ? NULL : t->flows[h];
}

static struct flow *add_flow(struct turns *t, hm_id account)
{
	struct flow *f = calloc(1, sizeof(*f));
	uint32_t k;

	if (t->flow_count == t->flow_room) {
		uint32_t room = t->flow_room ? t->flow_room * 2 : 16;
		struct flow **flows = realloc(t->flows, room * sizeof(void *));

		if (!flows)
			abort();
		t->flows = flows;
		t->flow_room = room;
	}
	if (!f || !table_put(&t->by_account, account, t->flow_count))
		abort();
	f->account = account;
	for (k = 0; k < TURN_CLASSES; k++) {
		f->queues[k].last = &f->queues[k].first;
		f->queues[k].cost = COST_FIRST;
	}
	t->flows[t->flow_count++] = f;
	return f;
}

void turns_push(struct turns *t, const struct turn *turn)
{
	struct flow *f = find(t, turn->statement.account);
	struct place *p = malloc(sizeof(*p));
	struct queue *q;

	if (!p)
		abort();
	if (!f)
		f = add_flow(t, turn->statement.account);
	q = &f->queues[turn->class];
	f->weight = turn->weight;
	if (!f->count && f->virtual_time < t->virtual_time)
		f->virtual_time = t->virtual_time;
	/* What was empty starts level: it saved nothing up meanwhile. */
	if (!q->count && q->used < f->class_time)
		q->used = f->class_time;
	*p = (struct place){ .turn = *turn };
	*q->last = p;
	q->last = &p->next;
	q->count++;
	f->count++;
	t->count++;
	t->class_count[turn->class]++;
}

/* Unlinks the place that *link points to. */
static void take_place(struct turns *t, struct flow *f, struct queue *q,
		       struct place **link, struct turn *out)
{
	struct place *p = *link;

	*link = p->next;
	if (!p->next)
		q->last = link;
	q->count--;
	f->count--;
	t->count--;
	t->class_count[p->turn.class]--;
	*out = p->turn;
	free(p);
}

static hm_time recent_use(const struct flow *f, hm_time now)
{
	hm_time dt = now - f->recent_at;

	if (dt >= USE_SPAN || f->recent < 0)
		return 0;
	return f->recent - f->recent * dt / USE_SPAN;
}

static void charge(struct flow *f, struct turn *turn, hm_time cost, hm_time now)
{
	f->recent = recent_use(f, now) + cost;
	f->recent_at = now;
	f->queues[turn->class].used += cost;
	f->virtual_time += cost * WEIGHT_SCALE / f->weight;
	turn->charged += cost;
}

/* Class of the flow whose turn it is, NULL when none may go. */
static struct queue *next_queue(struct flow *f, uint32_t allowed)
{
	struct queue *best = NULL;
	uint32_t k;

	if (allowed & 1U << TURN_TX && f->queues[TURN_TX].count)
		return &f->queues[TURN_TX];
	for (k = 0; k < TURN_CLASSES; k++) {
		struct queue *q = &f->queues[k];

		if (!(allowed & 1U << k) || !q->count)
			continue;
		if (!best || q->used < best->used)
			best = q;
	}
	return best;
}

/*
 * An account that holds all busy slots leaves the last one free while the
 * others fill a slot's worth: else all of them wait for its long statements.
 */
static bool leaves_last_slot(const struct turns *t, const struct flow *f,
			     const struct queue *q, hm_time now)
{
	hm_time others = 0;
	uint32_t i;

	if (!f->running || f->running < t->running || q->cost < LONG_COST)
		return false;
	for (i = 0; i < t->flow_count; i++)
		if (t->flows[i] != f)
			others += recent_use(t->flows[i], now);
	return others >= USE_SPAN;
}

static struct flow *next_flow(const struct turns *t, uint32_t allowed,
			      bool last, hm_time now)
{
	struct flow *best = NULL;
	uint32_t i;

	for (i = 0; i < t->flow_count; i++) {
		struct flow *f = t->flows[i];
		const struct queue *q = next_queue(f, allowed);

		if (!q || (last && leaves_last_slot(t, f, q, now)))
			continue;
		if (!best || f->virtual_time < best->virtual_time)
			best = f;
	}
	return best;
}

bool turns_pop(struct turns *t, uint32_t allowed, bool last, hm_time now,
	       struct turn *out)
{
	struct flow *f = t->count ? next_flow(t, allowed, last, now) : NULL;
	struct queue *q;

	if (!f)
		return false;
	q = next_queue(f, allowed);
	if (f->virtual_time > t->virtual_time)
		t->virtual_time = f->virtual_time;
	if (q != &f->queues[TURN_TX] && q->used > f->class_time)
		f->class_time = q->used;
	take_place(t, f, q, &q->first, out);
	f->running++;
	t->running++;
	charge(f, out, q->cost, now);
	return true;
}

void turns_used(struct turns *t, struct turn *turn, hm_time used, hm_time now)
{
	struct flow *f = find(t, turn->statement.account);

	if (f && used > turn->charged)
		charge(f, turn, used - turn->charged, now);
}

void turns_refund(struct turns *t, struct turn *turn, hm_time now)
{
	struct flow *f = find(t, turn->statement.account);

	if (!f)
		return;
	f->running--;
	t->running--;
	charge(f, turn, -turn->charged, now);
}

static void learn_least(struct queue *q, hm_time used)
{
	hm_time most = q->least + q->least / LEAST_RISE + 1;

	if (!q->least || used < most)
		q->least = used;
	else
		q->least = most;
}

void turns_ended(struct turns *t, struct turn *turn, hm_time used, bool whole,
		 hm_time now)
{
	struct flow *f = find(t, turn->statement.account);
	struct queue *q;

	if (!f)
		return;
	q = &f->queues[turn->class];
	f->running--;
	t->running--;
	charge(f, turn, used - turn->charged, now);
	if (!whole && used <= q->cost)
		return;
	q->cost += (used - q->cost) / COST_MEMORY;
	if (q->cost < 1)
		q->cost = 1;
	learn_least(q, used);
}

static bool remove_from(struct turns *t, struct flow *f, turn_match match,
			const void *context, struct turn *out)
{
	struct place **link;
	uint32_t k;

	for (k = 0; k < TURN_CLASSES; k++) {
		struct queue *q = &f->queues[k];

		for (link = &q->first; *link; link = &(*link)->next)
			if (match(context, &(*link)->turn)) {
				take_place(t, f, q, link, out);
				return true;
			}
	}
	return false;
}

bool turns_remove(struct turns *t, turn_match match, const void *context,
		  struct turn *out)
{
	uint32_t i;

	for (i = 0; i < t->flow_count && t->count; i++)
		if (t->flows[i]->count &&
		    remove_from(t, t->flows[i], match, context, out))
			return true;
	return false;
}

static bool any_in(const struct flow *f, turn_match match, const void *context)
{
	const struct place *p;
	uint32_t k;

	for (k = 0; k < TURN_CLASSES; k++)
		for (p = f->queues[k].first; p; p = p->next)
			if (match(context, &p->turn))
				return true;
	return false;
}

bool turns_any(const struct turns *t, turn_match match, const void *context)
{
	uint32_t i;

	for (i = 0; i < t->flow_count; i++)
		if (t->flows[i]->count && any_in(t->flows[i], match, context))
			return true;
	return false;
}

static hm_time queued_cost(const struct flow *f)
{
	hm_time cost = 0;
	uint32_t k;

	for (k = 0; k < TURN_CLASSES; k++)
		cost += f->queues[k].count * f->queues[k].cost;
	return cost;
}

static struct flow *longest_flow(const struct turns *t)
{
	struct flow *longest = NULL;
	hm_time most = 0;
	uint32_t i;

	for (i = 0; i < t->flow_count; i++) {
		struct flow *f = t->flows[i];
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

bool turns_evict(struct turns *t, hm_id spared, struct turn *out)
{
	struct flow *f = longest_flow(t);
	struct queue *q = NULL;
	struct place **link;
	uint32_t k;

	if (!f || f->account == spared)
		return false;
	/* Statements of open transactions stay; they free a connection. */
	for (k = 0; k < TURN_TX; k++)
		if (!q || f->queues[k].count > q->count)
			q = &f->queues[k];
	if (!q || !q->count)
		return false;
	for (link = &q->first; (*link)->next; link = &(*link)->next)
		;
	take_place(t, f, q, link, out);
	return true;
}

uint32_t turns_count(const struct turns *t)
{
	return t->count;
}

uint32_t turns_count_class(const struct turns *t, enum turn_class class)
{
	return t->class_count[class];
}

hm_time turns_backlog(const struct turns *t, uint32_t slots)
{
	hm_time cost = 0;
	uint32_t i;

	for (i = 0; i < t->flow_count; i++)
		cost += queued_cost(t->flows[i]);
	return cost / (slots ? slots : 1);
}

hm_time turns_least_cost(const struct turns *t, hm_id account,
			 enum turn_class class)
{
	const struct flow *f = find(t, account);

	return f ? f->queues[class].least : 0;
}

/* Slots that others leave to an account, at least its fair share, scaled. */
static int64_t slots_left(const struct turns *t, const struct flow *own,
			  uint32_t slots, hm_time now)
{
	uint64_t weights = own->weight;
	hm_time others = 0;
	int64_t fair, rest;
	uint32_t i;

	for (i = 0; i < t->flow_count; i++) {
		const struct flow *f = t->flows[i];
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

hm_time turns_wait(const struct turns *t, hm_id account, uint32_t slots,
		   hm_time now)
{
	const struct flow *own = find(t, account);

	if (!own || !own->count)
		return 0;
	return queued_cost(own) * USE_SCALE / slots_left(t, own, slots, now);
}
