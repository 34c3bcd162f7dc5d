/**
 * @file token_claim.c
 * Claims of recorded reserves, and the settlement after which the capacity of a
 * bucket is no longer halved.
 *
 * A settlement reads all objects of the zone. It writes each object from which
 * a reserve is claimed, and each one whose instance may have recorded a reserve
 * of the account by a write that the store has not executed yet: the new
 * revision makes such a write fail. Tokens that others claimed before expire
 * within CLAIM_VALID; until then the capacity remains half.
 */
#include "token_reserve_state.h"

#include <stdlib.h>

#include "grow.h"

/*
 * A new process leaves this time to others that start at the same time, to
 * claim what their own objects contain.
 */
#define FIRST_ROUND_AFTER (4 * HM_SEC)

static bool is_unsettled(const struct quota *q)
{
	return q->live && q->owned && q->reserve.half_until == HM_NEVER;
}

bool claim_round_due(const struct token_reserve *t, hm_time now)
{
	const struct rate *r = t->rate;
	uint32_t i;

	for (i = 0; i < r->count; i++)
		if (is_unsettled(&r->list[i]) &&
		    (!r->list[i].reserve.first ||
		     now - t->started_at >= FIRST_ROUND_AFTER))
			return true;
	return false;
}

void claim_begin_round(struct token_reserve *t, struct proxy_output *out)
{
	struct rate *r = t->rate;
	uint32_t i;

	t->round++;
	t->settling = true;
	for (i = 0; i < r->count; i++)
		if (is_unsettled(&r->list[i]))
			r->list[i].reserve.round = t->round;
	reserve_call(t, STEP_LIST, RESERVE_LIST, NULL, out);
}

static bool in_round(const struct token_reserve *t, const struct quota *q)
{
	return is_unsettled(q) && q->reserve.round == t->round;
}

/* Whether an account of the settlement may have been issued by @a instance. */
static bool may_have_issued(const struct token_reserve *t, hm_id instance)
{
	bool together = rate_zone_started_together(t->rate);
	uint32_t i;

	for (i = 0; i < t->rate->count; i++) {
		const struct quota *q = &t->rate->list[i];
		const struct bucket_reserve *b = &q->reserve;

		if (!in_round(t, q))
			continue;
		if (b->previous ? b->previous == instance
				: !b->first || !together)
			return true;
	}
	return false;
}

static bool has_claim(const struct token_reserve *t,
		      const struct reserve_object *o)
{
	const struct quota *q;
	uint32_t i;

	for (i = 0; i < o->count; i++) {
		q = rate_find(t->rate, o->entries[i].account);
		if (q && in_round(t, q))
			return true;
	}
	return false;
}

static bool is_of_live_process(const struct token_reserve *t,
			       const struct reserve_object *o)
{
	const struct peer *peer = peers_find(t->peers, o->incarnation);

	return peer && peer->alive && peer->instance == o->instance;
}

/*
 * Whether the settlement has to write an object. It need not if a live process
 * of its instance has written it, so that no write of an earlier process can
 * take effect.
 */
static bool must_write(const struct token_reserve *t, uint64_t era,
		       const struct reserve_object *o)
{
	if (o->instance == t->options->instance || o->zone != t->options->zone)
		return false;
	return o->era != era || !is_of_live_process(t, o) || has_claim(t, o) ||
	       may_have_issued(t, o->instance);
}

void claim_listed(struct token_reserve *t, const struct reserve_answer *a)
{
	uint32_t i;

	for (i = 0; i < a->count; i++) {
		if (!must_write(t, a->era, &a->list[i]))
			continue;
		t->queue = grow_list(t->queue, t->queue_count,
				     &t->queue_capacity, sizeof(*t->queue));
		t->queue[t->queue_count++] = reserve_object_copy(&a->list[i]);
	}
}

static void end_round(struct token_reserve *t, hm_time now)
{
	uint32_t i;

	for (i = 0; i < t->rate->count; i++) {
		struct quota *q = &t->rate->list[i];

		if (!in_round(t, q))
			continue;
		q->reserve.half_until = now + CLAIM_VALID;
		q->reserve.skipped = false;
	}
	t->settling = false;
}

static void clear_removal(struct token_reserve *t)
{
	reserve_object_clear(&t->removal.found);
	reserve_object_clear(&t->removal.claimed);
	t->removal.sequence = 0;
}

void claim_abort(struct token_reserve *t)
{
	while (t->queue_count)
		reserve_object_clear(&t->queue[--t->queue_count]);
	clear_removal(t);
	t->removing = false;
	t->settling = false;
}

/* Takes over an object; reserves of another era are void. */
static void set_found(struct token_reserve *t,
		      const struct reserve_object *found)
{
	struct reserve_object copy = reserve_object_copy(found);

	clear_removal(t);
	if (copy.era != t->era || copy.zone != t->options->zone)
		copy.count = 0;
	t->removal.found = copy;
}

/* Moves the reserves of the settlement's accounts to @a claimed. */
static void select_claimed(struct token_reserve *t)
{
	struct reserve_object *o = &t->removal.found;
	uint32_t i = o->count;

	while (i-- > 0) {
		const struct quota *q =
			rate_find(t->rate, o->entries[i].account);

		if (!q || !in_round(t, q))
			continue;
		reserve_object_add(&t->removal.claimed, o->entries[i].account,
				   o->entries[i].tokens);
		o->entries[i] = o->entries[--o->count];
	}
}

void claim_own(struct token_reserve *t, const struct reserve_object *found)
{
	uint32_t i;

	set_found(t, found);
	t->removal.found.instance = t->options->instance;
	if (t->may_claim && found->incarnation != t->options->incarnation)
		for (i = 0; i < t->removal.found.count; i++)
			reserve_object_add(&t->removal.claimed,
					   t->removal.found.entries[i].account,
					   t->removal.found.entries[i].tokens);
	t->removal.found.count = 0;
}

void claim_send(struct token_reserve *t, enum reserve_step step, hm_time now,
		struct proxy_output *out)
{
	struct reserve_object *o = &t->removal.found;

	if (!t->removal.sequence) {
		t->removal.sequence = ++t->sequence;
		t->removal.sent_at = now;
	}
	o->era = t->era;
	o->zone = t->options->zone;
	o->incarnation = t->options->incarnation;
	o->sequence = t->removal.sequence;
	reserve_call(t, step, RESERVE_WRITE, o, out);
}

bool claim_took_effect(const struct token_reserve *t,
		       const struct reserve_object *read)
{
	return read->incarnation == t->options->incarnation &&
	       read->sequence == t->removal.sequence && read->era == t->era;
}

void claim_keep(struct token_reserve *t, bool own, struct proxy_output *out)
{
	const struct reserve_object *o = &t->removal.claimed;
	uint64_t tokens = 0;
	uint32_t i;

	for (i = 0; i < o->count; i++) {
		t->claims = grow_list(t->claims, t->claim_count,
				      &t->claim_capacity, sizeof(*t->claims));
		t->claims[t->claim_count++] = (struct claim){
			.account = o->entries[i].account,
			.tokens = o->entries[i].tokens,
			.until = t->removal.sent_at + CLAIM_VALID,
			.own = own,
		};
		tokens += o->entries[i].tokens;
	}
	t->counters.claims += o->count;
	t->counters.claimed += tokens;
	if (o->count)
		proxy_log(out,
			  "event=token_reserve_claimed accounts=%u tokens=%llu"
			  " of=%016llx",
			  o->count, (unsigned long long)tokens,
			  (unsigned long long)t->removal.found.instance);
	clear_removal(t);
}

void claim_next(struct token_reserve *t, hm_time now, struct proxy_output *out)
{
	if (!t->removing) {
		if (!t->queue_count) {
			end_round(t, now);
			return;
		}
		set_found(t, &t->queue[--t->queue_count]);
		reserve_object_clear(&t->queue[t->queue_count]);
		select_claimed(t);
		t->removing = true;
	}
	claim_send(t, STEP_CLAIM, now, out);
}

void claim_answer(struct token_reserve *t, const struct reserve_answer *a,
		  hm_time now, struct proxy_output *out)
{
	const struct reserve_object *read = a->list;
	struct reserve_object created = { .zone = t->options->zone };

	if (!a->count && t->removal.found.revision) { /* it was deleted */
		created.instance = t->removal.found.instance;
		set_found(t, &created);
	} else if (!a->count) {
		reserve_delay(t, now);
	} else if (claim_took_effect(t, read)) {
		claim_keep(t, false, out);
		t->removing = false;
	} else if (read->revision > t->removal.found.revision) {
		set_found(t, read);
		select_claimed(t);
	} else {
		reserve_delay(t, now);
	}
}

/* Gives a claim to its bucket, at most half of the capacity in force now. */
static void apply(struct token_reserve *t, const struct claim *c,
		  struct quota *q)
{
	uint32_t most = rate_reserve_size(&q->share);
	struct bucket_reserve *b = &q->reserve;
	bool own = c->own && (!b->claimed || b->claimed_own);

	if (c->own && !rate_zone_started_together(t->rate))
		return;
	if (b->claimed && b->claimed_until > c->until)
		b->claimed_until = c->until;
	else if (!b->claimed)
		b->claimed_until = c->until;
	b->claimed_own = own;
	b->claimed += c->tokens;
	if (b->claimed > most)
		b->claimed = most;
}

void claim_apply(struct token_reserve *t, hm_time now)
{
	uint32_t i = t->claim_count;

	while (i-- > 0) {
		struct claim c = t->claims[i];
		struct quota *q = rate_find(t->rate, c.account);

		if (!q && now < c.until)
			continue;
		t->claims[i] = t->claims[--t->claim_count];
		if (q && now < c.until)
			apply(t, &c, q);
	}
}
