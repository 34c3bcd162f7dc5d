/** @file seq_clock.c Age of statements by the receiver's message numbers. */
#include "seq_clock.h"

#define MARK_EVERY (200 * HM_MS)
#define PAUSE_MIN (1 * HM_SEC)

static void add_mark(struct seq_clock *sc, uint64_t seq, hm_time at)
{
	sc->marks[sc->next].seq = seq;
	sc->marks[sc->next].at = at;
	sc->next = (sc->next + 1) % SEQ_CLOCK_MARKS;
	if (sc->count < SEQ_CLOCK_MARKS)
		sc->count++;
}

static const struct seq_clock_mark *newest_mark(const struct seq_clock *sc)
{
	if (!sc->count)
		return NULL;
	return &sc->marks[(sc->next + SEQ_CLOCK_MARKS - 1) % SEQ_CLOCK_MARKS];
}

void seq_clock_step(struct seq_clock *sc, uint64_t next_seq, hm_time now)
{
	const struct seq_clock_mark *newest = newest_mark(sc);

	if (sc->stepped_at && now - sc->stepped_at >= PAUSE_MIN)
		add_mark(sc, next_seq, sc->stepped_at);
	else if (!newest || now - newest->at >= MARK_EVERY)
		add_mark(sc, next_seq, now);
	sc->stepped_at = now;
}

bool seq_clock_is_stale(const struct seq_clock *sc, uint64_t received_seq,
			hm_time now)
{
	uint64_t oldest_valid = 0;
	uint32_t i;

	for (i = 0; i < sc->count; i++)
		if (now - sc->marks[i].at >= FORWARD_AGE_MAX &&
		    sc->marks[i].seq > oldest_valid)
			oldest_valid = sc->marks[i].seq;
	return received_seq < oldest_valid;
}
