/** @file schedule.c Priority queue of calls in virtual time. */
#include "schedule.h"

#include <glib.h>
#include <stdlib.h>

struct schedule_entry {
	hm_time at;
	/* number of the insertion: decides between calls of the same time */
	uint64_t order;
	schedule_call call;
	void *owner;
	void *arg;
	schedule_drop drop;
};

static bool is_before(const struct schedule_entry *a,
		      const struct schedule_entry *b)
{
	if (a->at != b->at)
		return a->at < b->at;
	return a->order < b->order;
}

static void swap(struct schedule_entry *a, struct schedule_entry *b)
{
	struct schedule_entry t = *a;

	*a = *b;
	*b = t;
}

static void sift_up(struct schedule *s, size_t i)
{
	while (i && is_before(&s->heap[i], &s->heap[(i - 1) / 2])) {
		swap(&s->heap[i], &s->heap[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
}

static void sift_down(struct schedule *s)
{
	size_t i = 0;

	for (;;) {
		size_t least = i, left = 2 * i + 1, right = left + 1;

		if (left < s->count && is_before(&s->heap[left], &s->heap[i]))
			least = left;
		if (right < s->count &&
		    is_before(&s->heap[right], &s->heap[least]))
			least = right;
		if (least == i)
			return;
		swap(&s->heap[i], &s->heap[least]);
		i = least;
	}
}

void schedule_free(struct schedule *s)
{
	size_t i;

	for (i = 0; i < s->count; i++)
		if (s->heap[i].drop)
			s->heap[i].drop(s->heap[i].arg);
	g_free(s->heap);
	*s = (struct schedule){ 0 };
}

void schedule_at(struct schedule *s, hm_time at, schedule_call call,
		 void *owner, void *arg, schedule_drop drop)
{
	struct schedule_entry *p;

	if (s->count == s->capacity) {
		s->capacity = s->capacity ? s->capacity * 2 : 1024;
		s->heap = g_renew(struct schedule_entry, s->heap, s->capacity);
	}
	p = &s->heap[s->count];
	p->at = at < s->now ? s->now : at;
	p->order = s->next_order++;
	p->call = call;
	p->owner = owner;
	p->arg = arg;
	p->drop = drop;
	sift_up(s, s->count++);
}

void schedule_run(struct schedule *s, hm_time until)
{
	while (s->count && s->heap[0].at <= until) {
		struct schedule_entry p = s->heap[0];

		s->heap[0] = s->heap[--s->count];
		sift_down(s);
		s->now = p.at;
		p.call(p.owner, p.arg);
	}
	s->now = until;
}
