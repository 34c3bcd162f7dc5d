/** @file token_walk.c Fencing tokens of a store restored from copies. */
#include "token_walk.h"

#include "../core/fencing.h"

static uint64_t object_era(const struct token_walk *w, uint64_t era)
{
	return w->no_era ? 0 : era;
}

void token_walk_restore(struct token_walk *w, struct rng *rng)
{
	uint64_t era = w->store.era;

	if (rng_below(rng, 2) || era + 1 == TOKEN_ERAS) {
		w->copy = w->store;
		return;
	}
	w->store = w->copy;
	w->store.era = era + 1;
	w->restores++;
}

static void monitor_reads(struct token_walk *w, struct token_monitor *k)
{
	uint64_t at = object_era(w, w->store.era);

	*k = (struct token_monitor){ .has_read = true,
				     .era = w->store.era,
				     .newest = w->store.newest[at],
				     .revision = w->store.revision[at] };
}

/*
 * Applies the token write of a monitor. A write sent before a restore may be
 * applied late, after the restore.
 */
static void monitor_writes(struct token_walk *w, struct token_monitor *k)
{
	uint64_t at = object_era(w, k->era);
	uint64_t token = fencing_next(k->newest, at);
	bool late = k->era != w->store.era;

	k->has_read = false;
	if (w->store.revision[at] != k->revision)
		return;
	w->store.newest[at] = token;
	w->store.revision[at] = ++w->store.newest_revision;
	if (!late || w->no_era)
		k->token = token;
}

/*
 * Makes the promote call of a monitor if its token is still the newest in the
 * store, and returns whether it did. The monitor looks that up because the
 * receiver checks no tokens. Counts broken rules in @a w.
 */
static bool monitor_calls(struct token_walk *w, struct token_monitor *k)
{
	uint64_t at = object_era(w, fencing_era(k->token));
	uint64_t token = k->token;

	k->token = 0;
	if (!fencing_is_newest(token, w->store.newest[at],
			       object_era(w, w->store.era)))
		return false;
	w->calls++;
	w->broken += token < w->newest_used ||
		     (token == w->newest_used &&
		      w->used_by != (uint64_t)(k - w->monitors));
	w->newest_used = token;
	w->used_by = (uint64_t)(k - w->monitors);
	return true;
}

bool token_walk_step(struct token_walk *w, struct rng *rng)
{
	struct token_monitor *k = &w->monitors[rng_below(rng, TOKEN_MONITORS)];

	if (k->token)
		return monitor_calls(w, k);
	if (k->has_read)
		monitor_writes(w, k);
	else
		monitor_reads(w, k);
	return false;
}
