/** @file fresh.c Age of orders by the receiver's own message numbers. */
#include "fresh.h"

#define MARK_EVERY (200 * HM_MS)
#define PAUSE_LEAST (1 * HM_SEC)

static void add_mark(struct fresh *f, uint64_t seq, hm_time at)
{
	f->marks[f->next].seq = seq;
	f->marks[f->next].at = at;
	f->next = (f->next + 1) % FRESH_MARKS;
	if (f->count < FRESH_MARKS)
		f->count++;
}

static const struct fresh_mark *newest_mark(const struct fresh *f)
{
	if (!f->count)
		return NULL;
	return &f->marks[(f->next + FRESH_MARKS - 1) % FRESH_MARKS];
}

void fresh_step(struct fresh *f, uint64_t next_seq, hm_time now)
{
	const struct fresh_mark *newest = newest_mark(f);

	if (f->stepped_at && now - f->stepped_at >= PAUSE_LEAST)
		add_mark(f, next_seq, f->stepped_at);
	else if (!newest || now - newest->at >= MARK_EVERY)
		add_mark(f, next_seq, now);
	f->stepped_at = now;
}

bool fresh_is_void(const struct fresh *f, uint64_t heard, hm_time now)
{
	uint64_t least = 0;
	uint32_t i;

	for (i = 0; i < f->count; i++)
		if (now - f->marks[i].at >= FRESH_LIMIT &&
		    f->marks[i].seq > least)
			least = f->marks[i].seq;
	return heard < least;
}
