/** @file token_walk.c Keepers and the tokens of a store that goes back. */
#include "token_walk.h"

#include "../core/fencing.h"

static uint64_t era_of_object(const struct token_walk *w, uint64_t era)
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

static void keeper_reads(struct token_walk *w, struct token_monitor *k)
{
	uint64_t at = era_of_object(w, w->store.era);

	*k = (struct token_monitor){ .has_read = true,
				     .era = w->store.era,
				     .newest = w->store.newest[at],
				     .revision = w->store.revision[at] };
}

/* Also one that was sent before a drill is carried out: late. */
static void keeper_writes(struct token_walk *w, struct token_monitor *k)
{
	uint64_t at = era_of_object(w, k->era);
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

/* Looked up first, where nobody checks tokens. */
static bool keeper_calls(struct token_walk *w, struct token_monitor *k)
{
	uint64_t at = era_of_object(w, fencing_era(k->token));
	uint64_t token = k->token;

	k->token = 0;
	if (!fencing_is_newest(token, w->store.newest[at],
			       era_of_object(w, w->store.era)))
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
		return keeper_calls(w, k);
	if (k->has_read)
		keeper_writes(w, k);
	else
		keeper_reads(w, k);
	return false;
}
