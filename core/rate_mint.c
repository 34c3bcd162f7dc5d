/** @file rate_mint.c Minting of a zone's part of a rate, at its one owner. */
#include "rate_state.h"

#define GRANT_VALID_MAX (250 * HM_MS)
#define TAKEOVER_SILENCES 2 /* wait of a new owner, in peer_silent */

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

int64_t rate_capacity(const struct rate_part *part)
{
	return part->burst * TOKEN - part->rate * part->valid;
}

/*
 * Others take over what is silent for longer than peer_silent. An instance
 * that did not run for half of it gives up first and begins anew.
 */
void rate_notice_pause(struct rate *r, hm_time now)
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

	if (!owner || owner == r->options->incarnation)
		return false;
	return !peer || !peer->gave_up;
}

void rate_decide_owner(const struct rate *r, struct quota *q, hm_time now)
{
	uint64_t generation = peers_generation(r->peers);
	uint64_t last = q->owner;

	if (q->generation == generation)
		return;
	q->generation = generation;
	q->owner = peers_owner(r->peers, q->account, r->options->zone, false);
	if (q->owner != r->options->incarnation) {
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

bool rate_mint(const struct rate *r, struct quota *q, hm_time now)
{
	int64_t most = rate_capacity(&q->part);

	rate_decide_owner(r, q, now);
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

bool rate_mints(const struct rate *r, hm_time now)
{
	return now >= r->mint_after;
}

bool rate_take_minted(const struct rate *r, struct quota *q, hm_time now)
{
	if (!rate_mint(r, q, now) || q->level < TOKEN)
		return false;
	q->level -= TOKEN;
	return true;
}

void rate_take_want(struct rate *r, const struct message *m, hm_time now,
		    struct actions *actions)
{
	struct quota *q = rate_find(r, m->rate.account);
	struct message *grant = actions_send(actions, m->from, MSG_RATE_GRANT);
	int64_t tokens;

	grant->rate.nonce = m->rate.nonce;
	grant->rate.account = m->rate.account;
	if (!q || !rate_mint(r, q, now) || !q->part.valid)
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
