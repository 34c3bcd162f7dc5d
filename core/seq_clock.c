/** @file seq_clock.c Age of statements by the receiver's message numbers. */
#include "seq_clock.h"

#define MARK_EVERY (200 * HM_MS)
#define PAUSE_MIN (1 * HM_SEC)

static void add_mark(struct seq_clock *f, uint64_t seq, hm_time at)
{
	f->marks[f->next].seq = seq;
	f->marks[f->next].at = at;
	f->next = (f->next + 1) % SEQ_CLOCK_MARKS;
	if (f->count < SEQ_CLOCK_MARKS)
		f->count++;
}

static const struct seq_clock_mark *newest_mark(const struct seq_clock *f)
{
	if (!f->count)
		return NULL;
	return &f->marks[(f->next + SEQ_CLOCK_MARKS - 1) % SEQ_CLOCK_MARKS];
}

void seq_clock_step(struct seq_clock *f, uint64_t next_seq, hm_time now)
{
	const struct seq_clock_mark *newest = newest_mark(f);

	if (f->stepped_at && now - f->stepped_at >= PAUSE_MIN)
		add_mark(f, next_seq, f->stepped_at);
	else if (!newest || now - newest->at >= MARK_EVERY)
		add_mark(f, next_seq, now);
	f->stepped_at = now;
}

bool seq_clock_is_stale(const struct seq_clock *f, uint64_t received_seq,
			hm_time now)
{
	uint64_t oldest_valid = 0;
	uint32_t i;

	for (i = 0; i < f->count; i++)
		if (now - f->marks[i].at >= FORWARD_AGE_MAX &&
		    f->marks[i].seq > oldest_valid)
			oldest_valid = f->marks[i].seq;
	return received_seq < oldest_valid;
}
