/** @file rate.c Tokens drawn from the owners of all zones, and held. */
#include "rate_state.h"

#include <stdlib.h>
#include <string.h>

#define ASK_LIMIT (100 * HM_MS) /* a question without answer failed */
#define DRY_MIN (5 * HM_MS)	/* pause before a dry source is asked again */
#define DRY_MAX (50 * HM_MS)
#define SILENT_MAX (1 * HM_SEC) /* same for a source that does not answer */
#define PREFETCH (50 * HM_MS)	/* tokens are held for this much demand */
#define PACE_SPAN (200 * HM_MS) /* memory of the measured pace */
#define LINE_OLD (300 * HM_MS)	/* after this the pace tells the drain rate */

struct rate *rate_new(const struct core_options *options,
		      const struct peers *peers, hm_time now)
{
	struct rate *r = calloc(1, sizeof(*r));

	if (!r)
		return NULL;
	r->options = options;
	r->peers = peers;
	r->last_at = now;
	r->mint_after = now + (options->start_wait ? options->start_wait
						   : options->peer_silent);
	return r;
}

void rate_free(struct rate *r)
{
	uint32_t i;

	if (!r)
		return;
	for (i = 0; i < r->count; i++) {
		free(r->list[i].sources);
		free(r->list[i].contract);
	}
	free(r->list);
	table_free(&r->by_account);
	free(r);
}

struct quota *rate_find(const struct rate *r, hm_id account)
{
	uint32_t h = table_get(&r->by_account, account);

	if (h == TABLE_NONE || !r->list[h].live)
		return NULL;
	return &r->list[h];
}

static struct quota *add(struct rate *r, hm_id account)
{
	struct quota *q;

	if (r->count == r->room) {
		uint32_t room = r->room ? r->room * 2 : 16;

		q = realloc(r->list, room * sizeof(*q));
		if (!q)
			abort();
		r->list = q;
		r->room = room;
	}
	if (!table_put(&r->by_account, account, r->count))
		abort();
	q = &r->list[r->count++];
	*q = (struct quota){ .account = account };
	q->sources = calloc(r->options->zone_count, sizeof(*q->sources));
	q->contract = malloc(sizeof(*q->contract));
	if (!q->sources || !q->contract)
		abort();
	q->generation = UINT64_MAX;
	q->waiting_since = HM_NEVER;
	return q;
}

void rate_contract(struct rate *r, const struct contract *c, hm_time now)
{
	uint32_t h = table_get(&r->by_account, c->account);
	struct quota *q = h == TABLE_NONE ? NULL : &r->list[h];

	if (!q && c->withdrawn)
		return;
	if (!q)
		q = add(r, c->account);
	if (q->live)
		rate_mint(r, q, now);
	q->live = !c->withdrawn;
	q->held_count = q->live ? q->held_count : 0;
	*q->contract = *c;
	q->rate = c->rate;
	q->part = (struct rate_part){ 0 };
	if (q->live)
		rate_part_of(c, r->options->zone, r->options->zone_count,
			     &q->part);
	if (q->level > rate_capacity(&q->part))
		q->level = rate_capacity(&q->part);
}

static void drop_expired(struct quota *q, hm_time now)
{
	uint32_t i = q->held_count;

	while (i-- > 0)
		if (q->held[i].expires_at <= now || !q->held[i].tokens)
			q->held[i] = q->held[--q->held_count];
}

/* A full list merges into the entry that expires first, to be safe. */
static void hold(struct quota *q, uint32_t tokens, hm_time expires_at)
{
	struct held *first = q->held;
	uint32_t i;

	if (q->held_count < HELD_MAX) {
		q->held[q->held_count++] = (struct held){ tokens, expires_at };
		return;
	}
	for (i = 1; i < q->held_count; i++)
		if (q->held[i].expires_at < first->expires_at)
			first = &q->held[i];
	first->tokens += tokens;
	if (first->expires_at > expires_at)
		first->expires_at = expires_at;
}

static bool take_held(struct quota *q, hm_time now)
{
	struct held *first = NULL;
	uint32_t i;

	drop_expired(q, now);
	for (i = 0; i < q->held_count; i++)
		if (!first || q->held[i].expires_at < first->expires_at)
			first = &q->held[i];
	if (!first)
		return false;
	first->tokens--;
	return true;
}

/* Pace of an account: each take adds 1/PACE_SPAN, which decays. */
static void decay_pace(struct quota *q, hm_time now)
{
	hm_time dt = now - q->paced_at;

	if (dt >= PACE_SPAN)
		q->pace = 0;
	else if (dt > 0)
		q->pace -= q->pace * dt / PACE_SPAN;
	q->paced_at = now;
}

bool rate_take(struct rate *r, hm_id account, hm_time now)
{
	struct quota *q = rate_find(r, account);

	rate_notice_pause(r, now);
	if (!q)
		return false;
	if (!take_held(q, now) && !rate_take_minted(r, q, now))
		return false;
	if (q->waiting)
		q->waiting--;
	decay_pace(q, now);
	q->pace += TOKEN * HM_SEC / PACE_SPAN;
	return true;
}

static void expire_questions(struct rate *r, struct quota *q, hm_time now)
{
	uint16_t zone;

	for (zone = 0; zone < r->options->zone_count; zone++) {
		struct source *s = &q->sources[zone];

		if (!s->seq || now - s->asked_at < ASK_LIMIT)
			continue;
		s->seq = 0;
		s->asked = 0;
		s->silence = s->silence ? s->silence * 2 : ASK_LIMIT;
		if (s->silence > SILENT_MAX)
			s->silence = SILENT_MAX;
		s->dry_until = now + s->silence;
	}
}

/* Tokens that are lacking for those in line and the demand just ahead. */
static int64_t lacking(const struct rate *r, struct quota *q, hm_time now)
{
	int64_t lack = q->waiting;
	uint32_t i;

	decay_pace(q, now);
	lack += q->pace * PREFETCH / HM_SEC / TOKEN;
	drop_expired(q, now);
	for (i = 0; i < q->held_count; i++)
		lack -= q->held[i].tokens;
	if (rate_mint(r, q, now))
		lack -= q->level / TOKEN;
	for (i = 0; i < r->options->zone_count; i++)
		lack -= q->sources[i].asked;
	return lack;
}

static void ask(struct rate *r, struct quota *q, uint16_t zone, uint64_t owner,
		uint32_t tokens, hm_time now, struct actions *actions)
{
	struct message *m = actions_send(actions, owner, MSG_RATE_REQUEST);
	struct source *s = &q->sources[zone];

	s->seq = ++r->next_seq;
	s->asked = tokens;
	s->asked_at = now;
	m->rate.nonce.incarnation = r->options->incarnation;
	m->rate.nonce.seq = s->seq;
	m->rate.account = q->account;
	m->rate.tokens = tokens;
	m->rate.contract_version = q->contract->version;
}

/* Asks the owner of one zone; returns the number of tokens asked for. */
static int64_t ask_zone(struct rate *r, struct quota *q, uint16_t zone,
			int64_t lack, hm_time now, struct actions *actions)
{
	struct source *s = &q->sources[zone];
	struct rate_part part;
	uint64_t owner;

	if (s->seq || s->dry_until > now)
		return 0;
	rate_part_of(q->contract, zone, r->options->zone_count, &part);
	owner = peers_owner(r->peers, q->account, zone, false);
	if (!part.valid || !owner || owner == r->options->incarnation)
		return 0;
	if (lack > part.burst)
		lack = part.burst;
	ask(r, q, zone, owner, (uint32_t)lack, now, actions);
	return lack;
}

static void draw(struct rate *r, struct quota *q, hm_time now,
		 struct actions *actions)
{
	uint16_t zone_count = r->options->zone_count;
	int64_t lack;
	uint16_t i;

	expire_questions(r, q, now);
	lack = lacking(r, q, now);
	for (i = 0; i < zone_count && lack > 0; i++) {
		uint16_t zone = (r->options->zone + i) % zone_count;

		lack -= ask_zone(r, q, zone, lack, now, actions);
	}
}

void rate_demand(struct rate *r, hm_id account, uint32_t waiting, hm_time now,
		 struct actions *actions)
{
	struct quota *q = rate_find(r, account);

	rate_notice_pause(r, now);
	if (!q)
		return;
	if (!waiting)
		q->waiting_since = HM_NEVER;
	else if (q->waiting_since == HM_NEVER)
		q->waiting_since = now;
	q->waiting = waiting;
	draw(r, q, now, actions);
}

static bool source_dry(const struct rate *r, const struct quota *q,
		       uint16_t zone, hm_time now)
{
	const struct source *s = &q->sources[zone];
	struct rate_part part;
	uint64_t owner;

	rate_part_of(q->contract, zone, r->options->zone_count, &part);
	owner = peers_owner(r->peers, q->account, zone, false);
	if (!part.valid || !owner || owner == r->options->incarnation)
		return true;
	return !s->seq && s->dry_until > now;
}

bool rate_dry(struct rate *r, hm_id account, hm_time now)
{
	struct quota *q = rate_find(r, account);
	uint16_t zone;

	if (!q)
		return true;
	drop_expired(q, now);
	if (q->held_count || (rate_mint(r, q, now) && q->level >= TOKEN))
		return false;
	for (zone = 0; zone < r->options->zone_count; zone++)
		if (!source_dry(r, q, zone, now))
			return false;
	return true;
}

hm_time rate_retry_at(const struct rate *r, hm_id account, uint32_t waiting,
		      hm_time now)
{
	const struct quota *q = rate_find(r, account);
	int64_t pace;

	if (!q)
		return HM_NEVER;
	pace = q->rate * TOKEN;
	if (q->waiting_since != HM_NEVER && now - q->waiting_since > LINE_OLD)
		pace /= peers_count(r->peers) + 1;
	if (pace < q->pace)
		pace = q->pace;
	return now + waiting * TOKEN * HM_SEC / pace;
}

static struct source *source_of(const struct rate *r, struct quota *q,
				struct rid nonce)
{
	uint16_t zone;

	if (nonce.incarnation != r->options->incarnation || !nonce.seq)
		return NULL;
	for (zone = 0; zone < r->options->zone_count; zone++)
		if (q->sources[zone].seq == nonce.seq)
			return &q->sources[zone];
	return NULL;
}

/* A source that gave less is asked again once it may have the rest. */
static hm_time dry_pause(const struct quota *q, uint32_t missing)
{
	hm_time pause = missing * HM_SEC / q->rate;

	if (pause < DRY_MIN)
		return DRY_MIN;
	return pause > DRY_MAX ? DRY_MAX : pause;
}

static void take_grant(struct rate *r, const struct message *m, hm_time now,
		       struct actions *actions)
{
	struct quota *q = rate_find(r, m->rate.account);
	struct source *s = q ? source_of(r, q, m->rate.nonce) : NULL;
	uint32_t tokens = m->rate.tokens;
	hm_time expires_at;

	if (!s)
		return;
	expires_at = s->asked_at + m->rate.valid;
	if (tokens > s->asked)
		tokens = s->asked;
	if (tokens < s->asked)
		s->dry_until = now + dry_pause(q, s->asked - tokens);
	if (tokens && expires_at > now)
		hold(q, tokens, expires_at);
	s->seq = 0;
	s->asked = 0;
	s->silence = 0;
	draw(r, q, now, actions);
}

void rate_message(struct rate *r, const struct message *m, hm_time now,
		  struct actions *actions)
{
	rate_notice_pause(r, now);
	if (m->kind == MSG_RATE_REQUEST)
		rate_take_want(r, m, now, actions);
	else if (m->kind == MSG_RATE_GRANT)
		take_grant(r, m, now, actions);
}

void rate_tick(struct rate *r, hm_time now, struct actions *actions)
{
	uint32_t i;

	rate_notice_pause(r, now);
	for (i = 0; i < r->count; i++) {
		struct quota *q = &r->list[i];

		rate_decide_owner(r, q, now);
		if (q->live && (q->waiting || q->pace >= TOKEN))
			draw(r, q, now, actions);
	}
}
