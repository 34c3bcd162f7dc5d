/** @file rate.c Minting at owners, drawing and holding tokens elsewhere. */
#include "rate.h"

#include <stdlib.h>
#include <string.h>

#include "table.h"

#define TOKEN ((int64_t)1000000) /* levels are in millionths of a token */
#define GRANT_VALID_MAX (250 * HM_MS)
#define ASK_LIMIT (100 * HM_MS) /* a question without answer failed */
#define DRY_MIN (5 * HM_MS)	/* pause before a dry source is asked again */
#define DRY_MAX (50 * HM_MS)
#define SILENT_MAX (1 * HM_SEC) /* same for a source that does not answer */
#define PREFETCH (50 * HM_MS)	/* tokens are held for this much demand */
#define PACE_SPAN (200 * HM_MS) /* memory of the measured pace */
#define LINE_OLD (300 * HM_MS)	/* after this the pace tells the drain rate */
#define HELD_MAX 16
#define TAKEOVER_SILENCES 2 /* wait of a new owner, in peer_silent */

/* Tokens of one grant. */
struct held {
	uint32_t tokens;
	hm_time expires_at;
};

/* Owner of one zone, as seen by one account's asker. */
struct source {
	uint64_t seq; /* of the question in flight, 0 for none */
	uint32_t asked;
	hm_time asked_at;
	hm_time dry_until;
	hm_time silence; /* length of the next pause after no answer */
};

struct quota {
	hm_id account;
	bool live;
	uint32_t rate;
	struct rate_part part; /* minted by this zone */
	uint64_t generation;   /* of the peers when ownership was decided */
	uint64_t owner;	       /* last one known, 0 for none */
	bool owned;
	int64_t level;
	hm_time filled_at;
	bool since_start; /* nobody owned it before this process did */
	struct held held[HELD_MAX];
	uint32_t held_count;
	struct source *sources; /* one per zone */
	struct contract *contract;
	int64_t pace; /* millionths of a token taken per second */
	hm_time paced_at;
	uint32_t waiting;
	hm_time waiting_since; /* HM_NEVER when nothing waits */
};

struct rate {
	const struct core_options *options;
	const struct peers *peers;
	struct quota *list;
	uint32_t count;
	uint32_t room;
	struct table by_account;
	uint64_t next_seq;
	hm_time last_at;
	hm_time mint_after; /* this instance owns nothing before */
};

/*
 * Two instances that do not hear each other because a link went silent hear
 * each other again, over a new link, before either mints for the other. The
 * links of a new process are new: it waits for peer_silent only, or for as
 * long as the options say.
 */
static hm_time takeover_wait(const struct rate *r)
{
	return r->options->peer_silent * TAKEOVER_SILENCES;
}

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

static uint32_t share(uint32_t total, uint32_t index, uint32_t count)
{
	uint64_t upto = (uint64_t)total * (index + 1) / count;

	return (uint32_t)(upto - (uint64_t)total * index / count);
}

/* Fewer zones mint when a part would fall below one request per second. */
static uint32_t minting_zones(const struct contract *c, uint16_t zone_count)
{
	uint32_t n = zone_count;

	if (n > c->rate)
		n = c->rate;
	if (n > c->burst / 2)
		n = c->burst / 2;
	return n ? n : 1;
}

void rate_part_of(const struct contract *c, uint16_t zone, uint16_t zone_count,
		  struct rate_part *out)
{
	uint32_t n = minting_zones(c, zone_count);
	uint32_t first = (uint32_t)(c->account % zone_count);
	uint32_t index = (zone + zone_count - first) % zone_count;
	int64_t half;

	*out = (struct rate_part){ 0 };
	if (index >= n)
		return;
	out->rate = share(c->rate, index, n);
	out->burst = share(c->burst, index, n);
	if (!out->rate || out->burst < 2)
		return;
	half = out->burst * TOKEN / 2;
	out->valid = half / out->rate;
	if (out->valid > GRANT_VALID_MAX)
		out->valid = GRANT_VALID_MAX;
}

static int64_t capacity(const struct rate_part *part)
{
	return part->burst * TOKEN - part->rate * part->valid;
}

static struct quota *find(const struct rate *r, hm_id account)
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

/*
 * Others take over what is silent for longer than peer_silent. An instance
 * that did not run for half of it gives up first and begins anew.
 */
static void notice_pause(struct rate *r, hm_time now)
{
	uint32_t i;

	if (now - r->last_at > r->options->peer_silent / 2) {
		r->mint_after = now + takeover_wait(r);
		for (i = 0; i < r->count; i++) {
			r->list[i].owned = false;
			r->list[i].generation = UINT64_MAX;
		}
	}
	if (now > r->last_at)
		r->last_at = now;
}

/* Whether the last owner may still mint without knowing of this one. */
static bool may_have_rival(const struct rate *r, uint64_t owner)
{
	const struct peer *peer = peers_find(r->peers, owner);

	if (!owner || owner == r->options->life)
		return false;
	return !peer || !peer->gave_up;
}

static void decide_ownership(const struct rate *r, struct quota *q, hm_time now)
{
	uint64_t generation = peers_generation(r->peers);
	uint64_t last = q->owner;

	if (q->generation == generation)
		return;
	q->generation = generation;
	q->owner = peers_owner(r->peers, q->account, r->options->zone, false);
	if (q->owner != r->options->life) {
		q->owned = false;
		q->since_start = false;
		return;
	}
	if (q->owned)
		return;
	q->owned = true;
	q->level = 0;
	q->since_start = !last && now < r->mint_after;
	q->filled_at = now > r->mint_after ? now : r->mint_after;
	if (may_have_rival(r, last) && q->filled_at < now + takeover_wait(r))
		q->filled_at = now + takeover_wait(r);
}

/* A peer that was there before this process may have minted meanwhile. */
static bool zone_began_anew(const struct rate *r)
{
	const struct peer *peer;
	uint32_t i;

	for (i = 0; (peer = peers_at(r->peers, i)); i++)
		if (peer->zone == r->options->zone && peer->minted)
			return false;
	return true;
}

/*
 * When all of a zone start together nobody mints until they know one another.
 * What was due in that time is there for the callers who come back at once.
 */
static void mint_since_start(const struct rate *r, struct quota *q, hm_time now)
{
	if (!q->since_start || now < r->mint_after)
		return;
	q->since_start = false;
	if (zone_began_anew(r))
		q->filled_at = r->mint_after - r->options->start_wait;
}

/* Brings ownership and level up to now; true when tokens may be minted. */
static bool mint(const struct rate *r, struct quota *q, hm_time now)
{
	int64_t most = capacity(&q->part);

	decide_ownership(r, q, now);
	if (!q->owned)
		return false;
	mint_since_start(r, q, now);
	if (now > q->filled_at) {
		q->level += q->part.rate * (now - q->filled_at);
		q->filled_at = now;
	}
	if (q->level > most)
		q->level = most;
	return true;
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
		mint(r, q, now);
	q->live = !c->withdrawn;
	q->held_count = q->live ? q->held_count : 0;
	*q->contract = *c;
	q->rate = c->rate;
	q->part = (struct rate_part){ 0 };
	if (q->live)
		rate_part_of(c, r->options->zone, r->options->zone_count,
			     &q->part);
	if (q->level > capacity(&q->part))
		q->level = capacity(&q->part);
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

static bool take_minted(const struct rate *r, struct quota *q, hm_time now)
{
	if (!mint(r, q, now) || q->level < TOKEN)
		return false;
	q->level -= TOKEN;
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

bool rate_mints(const struct rate *r, hm_time now)
{
	return now >= r->mint_after;
}

bool rate_take(struct rate *r, hm_id account, hm_time now)
{
	struct quota *q = find(r, account);

	notice_pause(r, now);
	if (!q)
		return false;
	if (!take_held(q, now) && !take_minted(r, q, now))
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
	if (mint(r, q, now))
		lack -= q->level / TOKEN;
	for (i = 0; i < r->options->zone_count; i++)
		lack -= q->sources[i].asked;
	return lack;
}

static void ask(struct rate *r, struct quota *q, uint16_t zone, uint64_t owner,
		uint32_t tokens, hm_time now, struct actions *actions)
{
	struct message *m = actions_send(actions, owner, MSG_WANT);
	struct source *s = &q->sources[zone];

	s->seq = ++r->next_seq;
	s->asked = tokens;
	s->asked_at = now;
	m->rate.nonce.life = r->options->life;
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
	if (!part.valid || !owner || owner == r->options->life)
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
	struct quota *q = find(r, account);

	notice_pause(r, now);
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
	if (!part.valid || !owner || owner == r->options->life)
		return true;
	return !s->seq && s->dry_until > now;
}

bool rate_dry(struct rate *r, hm_id account, hm_time now)
{
	struct quota *q = find(r, account);
	uint16_t zone;

	if (!q)
		return true;
	drop_expired(q, now);
	if (q->held_count || (mint(r, q, now) && q->level >= TOKEN))
		return false;
	for (zone = 0; zone < r->options->zone_count; zone++)
		if (!source_dry(r, q, zone, now))
			return false;
	return true;
}

hm_time rate_retry_at(const struct rate *r, hm_id account, uint32_t waiting,
		      hm_time now)
{
	const struct quota *q = find(r, account);
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

static void take_want(struct rate *r, const struct message *m, hm_time now,
		      struct actions *actions)
{
	struct quota *q = find(r, m->rate.account);
	struct message *grant = actions_send(actions, m->from, MSG_GRANT);
	int64_t tokens;

	grant->rate.nonce = m->rate.nonce;
	grant->rate.account = m->rate.account;
	if (!q || !mint(r, q, now) || !q->part.valid)
		return;
	tokens = q->level / TOKEN;
	if (tokens > m->rate.tokens)
		tokens = m->rate.tokens;
	if (tokens < 0)
		tokens = 0;
	q->level -= tokens * TOKEN;
	grant->rate.tokens = (uint32_t)tokens;
	grant->rate.valid = q->part.valid;
	grant->rate.contract_version = q->contract->version;
}

static struct source *source_of(const struct rate *r, struct quota *q,
				struct rid nonce)
{
	uint16_t zone;

	if (nonce.life != r->options->life || !nonce.seq)
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
	struct quota *q = find(r, m->rate.account);
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
	notice_pause(r, now);
	if (m->kind == MSG_WANT)
		take_want(r, m, now, actions);
	else if (m->kind == MSG_GRANT)
		take_grant(r, m, now, actions);
}

void rate_tick(struct rate *r, hm_time now, struct actions *actions)
{
	uint32_t i;

	notice_pause(r, now);
	for (i = 0; i < r->count; i++) {
		struct quota *q = &r->list[i];

		decide_ownership(r, q, now);
		if (q->live && (q->waiting || q->pace >= TOKEN))
			draw(r, q, now, actions);
	}
}
