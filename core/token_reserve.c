/** @file token_reserve.c Keeps the reserves of this instance in the store. */
#include "token_reserve_state.h"

#include <stdlib.h>

/* Time within which a new process claims what its object contains. */
#define START_LIMIT (3 * HM_SEC)
#define START_RETRY (100 * HM_MS)
#define RETRY (1 * HM_SEC)
#define FULL_FOR (2 * HM_SEC) /* a bucket gets a reserve after that time */
#define RAISE_INTERVAL (10 * HM_SEC)
/*
 * A reserve is lowered when less than an eighth of the capacity remains above
 * it, since the store takes some time to acknowledge that.
 */
#define LOWER_PART 8

struct token_reserve *token_reserve_new(const struct core_options *options,
					struct rate *rate,
					const struct peers *peers, hm_time now)
{
	struct token_reserve *t = calloc(1, sizeof(*t));

	if (!t)
		return NULL;
	t->options = options;
	t->rate = rate;
	t->peers = peers;
	t->started_at = now;
	t->raised_at = now - RAISE_INTERVAL;
	t->may_claim = true;
	rate->reserves = true;
	return t;
}

void token_reserve_free(struct token_reserve *t)
{
	if (!t)
		return;
	claim_abort(t);
	free(t->queue);
	free(t->claims);
	free(t);
}

void token_reserve_get(const struct token_reserve *t,
		       struct token_reserve_counters *out)
{
	uint32_t i;

	*out = (struct token_reserve_counters){ 0 };
	if (!t)
		return;
	*out = t->counters;
	for (i = 0; i < t->rate->count; i++)
		out->recorded += t->rate->list[i].reserve.recorded > 0;
}

void reserve_call(struct token_reserve *t, enum reserve_step step,
		  enum reserve_call_kind kind,
		  const struct reserve_object *content,
		  struct proxy_output *out)
{
	struct reserve_call *call = calloc(1, sizeof(*call));

	if (!call)
		abort();
	call->kind = kind;
	call->object.instance = t->options->instance;
	if (content)
		call->object = reserve_object_copy(content);
	proxy_action(out, PROXY_RESERVE)->reserve = call;
	t->step = step;
}

void reserve_delay(struct token_reserve *t, hm_time now)
{
	bool starts = !t->started && now - t->started_at < START_LIMIT;

	t->call_at = now + (starts ? START_RETRY : RETRY);
}

/* The largest reserve of a bucket that may be in force in the store. */
static uint32_t largest(const struct bucket_reserve *b)
{
	return b->recorded > b->unconfirmed ? b->recorded : b->unconfirmed;
}

/*
 * Subtracts a reserve that another instance may have claimed. The capacity is
 * lower by as much until the claimed tokens have expired.
 */
static uint32_t lose(struct quota *q, hm_time now)
{
	uint32_t tokens = largest(&q->reserve);

	q->level -= tokens * TOKEN;
	if (q->level < 0)
		q->level = 0;
	if (tokens && q->reserve.half_until < now + CLAIM_VALID)
		q->reserve.half_until = now + CLAIM_VALID;
	q->reserve.recorded = 0;
	q->reserve.unconfirmed = 0;
	return tokens ? 1 : 0;
}

static void log_lost(struct token_reserve *t, uint32_t lost, const char *reason,
		     struct proxy_output *out)
{
	t->counters.lost += lost;
	if (lost)
		proxy_log(out, "event=token_reserve_lost accounts=%u reason=%s",
			  lost, reason);
}

/*
 * A reserve of the earlier era may have been claimed before the store was
 * restored, so its tokens are not used here either.
 */
void reserve_restart(struct token_reserve *t, uint64_t era, hm_time now,
		     struct proxy_output *out)
{
	uint32_t i, lost = 0;

	claim_abort(t);
	for (i = 0; i < t->rate->count; i++)
		lost += lose(&t->rate->list[i], now);
	log_lost(t, lost, "era", out);
	t->started = false;
	t->may_claim = false;
	t->revision = 0;
	t->era = era;
}

static void update_full_since(const struct token_reserve *t, struct quota *q,
			      hm_time now)
{
	int64_t capacity = rate_capacity(&q->share);
	struct bucket_reserve *b = &q->reserve;

	if (!q->live || !rate_refill(t->rate, q, now) ||
	    q->level < capacity / 4 * 3 || now < b->half_until || b->claimed)
		b->full_since = HM_NEVER;
	else if (b->full_since == HM_NEVER)
		b->full_since = now;
}

/* Reserve that the store is to have of a bucket. */
static uint32_t wanted_reserve(const struct token_reserve *t,
			       const struct quota *q, hm_time now)
{
	const struct bucket_reserve *b = &q->reserve;
	int64_t capacity = rate_capacity(&q->share);

	if (!q->live || !q->owned || largest(b) > rate_reserve_size(&q->share))
		return 0;
	if (largest(b))
		return q->level - largest(b) * TOKEN < capacity / LOWER_PART
			       ? 0
			       : b->recorded;
	if (now - t->raised_at < RAISE_INTERVAL || b->full_since == HM_NEVER ||
	    now - b->full_since < FULL_FOR)
		return 0;
	return rate_reserve_size(&q->share);
}

/* Sends the own object if a reserve is to change or is not confirmed. */
static void write_changes(struct token_reserve *t, hm_time now,
			  struct proxy_output *out)
{
	struct reserve_object o = { .instance = t->options->instance,
				    .revision = t->revision,
				    .era = t->era,
				    .zone = t->options->zone,
				    .incarnation = t->options->incarnation };
	bool changed = false, raised = false;
	uint32_t i;

	for (i = 0; i < t->rate->count; i++) {
		struct quota *q = &t->rate->list[i];
		uint32_t want = wanted_reserve(t, q, now);

		changed |=
			want != q->reserve.recorded || q->reserve.unconfirmed;
		if (want)
			reserve_object_add(&o, q->account, want);
	}
	for (i = 0; changed && i < o.count; i++) {
		struct bucket_reserve *b =
			&rate_find(t->rate, o.entries[i].account)->reserve;

		raised |= o.entries[i].tokens > b->recorded;
		if (b->unconfirmed < o.entries[i].tokens)
			b->unconfirmed = o.entries[i].tokens;
	}
	if (raised)
		t->raised_at = now;
	o.sequence = t->sequence + 1;
	if (changed) {
		t->sequence++;
		reserve_call(t, STEP_WRITE, RESERVE_WRITE, &o, out);
	}
	reserve_object_clear(&o);
}

/*
 * Takes the reserves from the own object. Since its revision has changed, no
 * earlier write of this process can take effect any more.
 */
static void take_recorded(struct token_reserve *t,
			  const struct reserve_object *o, hm_time now,
			  struct proxy_output *out)
{
	bool own = o->incarnation == t->options->incarnation;
	uint32_t i, tokens, lost = 0;

	for (i = 0; i < t->rate->count; i++) {
		struct quota *q = &t->rate->list[i];

		tokens = reserve_object_tokens(o, q->account);
		if (!tokens && !own)
			lost += lose(q, now);
		q->reserve.recorded = tokens;
		q->reserve.unconfirmed = 0;
	}
	t->revision = o->revision;
	log_lost(t, lost, "claimed", out);
	if (own)
		proxy_log(out,
			  "event=token_reserve_written accounts=%u"
			  " revision=%llu",
			  o->count, (unsigned long long)o->revision);
}

static void write_answer(struct token_reserve *t,
			 const struct reserve_answer *a, hm_time now,
			 struct proxy_output *out)
{
	if (!a->count || a->list->era != t->era)
		reserve_restart(t, a->era, now, out);
	else if (a->list->revision > t->revision)
		take_recorded(t, a->list, now, out);
	else
		reserve_delay(t, now);
}

static void start_write_answer(struct token_reserve *t,
			       const struct reserve_answer *a, hm_time now,
			       struct proxy_output *out)
{
	if (a->count && claim_took_effect(t, a->list)) {
		t->started = true;
		t->may_claim = false;
		t->revision = a->list->revision;
		claim_keep(t, true, out);
	} else if (a->count && a->list->revision != t->removal.found.revision) {
		claim_own(t, a->list);
	} else {
		reserve_delay(t, now);
	}
}

/* Reads the own object, or writes it once that was read. */
static void start(struct token_reserve *t, hm_time now,
		  struct proxy_output *out)
{
	t->may_claim = t->may_claim && now - t->started_at < START_LIMIT;
	if (!t->may_claim && !t->removal.sequence)
		t->removal.claimed.count = 0;
	if (t->removal.found.instance)
		claim_send(t, STEP_START_WRITE, now, out);
	else
		reserve_call(t, STEP_START_READ, RESERVE_READ, NULL, out);
}

void token_reserve_answer(struct token_reserve *t,
			  const struct reserve_answer *a, hm_time now,
			  struct proxy_output *out)
{
	static const struct reserve_object none;
	enum reserve_step step = t->step;

	t->step = STEP_NONE;
	rate_detect_pause(t->rate, now);
	if (!a->ok) {
		reserve_delay(t, now);
		return;
	}
	if (step == STEP_START_READ) {
		t->era = a->era;
		claim_own(t, a->count ? a->list : &none);
	} else if (a->era != t->era) {
		reserve_restart(t, a->era, now, out);
	} else if (step == STEP_START_WRITE) {
		start_write_answer(t, a, now, out);
	} else if (step == STEP_WRITE) {
		write_answer(t, a, now, out);
	} else if (step == STEP_LIST) {
		claim_listed(t, a);
	} else {
		claim_answer(t, a, now, out);
	}
	token_reserve_tick(t, t->era, now, out);
}

void token_reserve_tick(struct token_reserve *t, uint64_t era, hm_time now,
			struct proxy_output *out)
{
	uint32_t i;

	claim_apply(t, now);
	for (i = 0; i < t->rate->count; i++)
		update_full_since(t, &t->rate->list[i], now);
	if (t->step != STEP_NONE || now < t->call_at)
		return;
	if (t->started && era > t->era)
		reserve_restart(t, era, now, out);
	if (!t->started) {
		start(t, now, out);
		return;
	}
	write_changes(t, now, out);
	if (t->step != STEP_NONE)
		return;
	if (t->settling)
		claim_next(t, now, out);
	else if (claim_round_due(t, now))
		claim_begin_round(t, out);
}
