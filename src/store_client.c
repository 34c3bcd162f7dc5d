/** @file store_client.c Store calls that drop answers of earlier eras. */
#include "store_client.h"

#include "log.h"

static void log_dropped_answer(uint64_t era, uint64_t newest)
{
	char eras[2][24];

	g_snprintf(eras[0], sizeof(eras[0]), "%" G_GUINT64_FORMAT, era);
	g_snprintf(eras[1], sizeof(eras[1]), "%" G_GUINT64_FORMAT, newest);
	log_event(G_LOG_LEVEL_INFO, "store_answer_dropped", "era", eras[0],
		  "newest", eras[1], NULL);
}

bool store_era_observe(struct store_era *e, uint64_t era)
{
	uint64_t newest = atomic_load(&e->newest);

	while (era > newest)
		if (atomic_compare_exchange_weak(&e->newest, &newest, era))
			return true;
	return era == newest;
}

uint64_t store_era_newest(const struct store_era *e)
{
	return atomic_load(&e->newest);
}

/*
 * Whether an answer is of the newest known era. True also when the store gave
 * no answer, since there is no era to compare then.
 */
static bool is_current(struct store_client *c, enum store_outcome outcome,
		       uint64_t era)
{
	if (outcome == STORE_UNAVAILABLE || outcome == STORE_OUTCOME_UNKNOWN ||
	    store_era_observe(c->era, era))
		return true;
	log_dropped_answer(era, store_era_newest(c->era));
	return false;
}

/* Outcome of a list or a watch; frees an answer of an earlier era. */
static enum store_outcome objects_outcome(struct store_client *c,
					  enum store_outcome outcome,
					  struct store_objects *out)
{
	if (is_current(c, outcome, out->at.era))
		return outcome;
	store_objects_clear(out);
	return STORE_UNAVAILABLE;
}

enum store_outcome store_client_list(struct store_client *c,
				     enum store_kind kind, bool stale,
				     hm_time until, struct store_objects *out)
{
	return objects_outcome(
		c, c->api->list(c->http, kind, stale, until, out), out);
}

enum store_outcome store_client_watch(struct store_client *c,
				      enum store_kind kind, uint64_t from,
				      hm_time wait, hm_time until,
				      struct store_objects *out)
{
	return objects_outcome(
		c, c->api->watch(c->http, kind, from, wait, until, out), out);
}

enum store_outcome store_client_read(struct store_client *c,
				     enum store_kind kind, const char *name,
				     hm_time until, struct store_object *out)
{
	enum store_outcome outcome =
		c->api->read(c->http, kind, name, until, out);

	if (is_current(c, outcome, out->at.era))
		return outcome;
	store_object_clear(out);
	return STORE_UNAVAILABLE;
}

enum store_outcome store_client_write(struct store_client *c,
				      enum store_kind kind, const char *name,
				      uint64_t revision, const json_t *value,
				      hm_time until, struct store_version *at)
{
	enum store_outcome outcome =
		c->api->write(c->http, kind, name, revision, value, until, at);

	return is_current(c, outcome, at->era) ? outcome
					       : STORE_OUTCOME_UNKNOWN;
}
