/** @file rate_issue.c Issues a zone's share of a rate at the zone's owner. */
#include "rate_state.h"

/* Upper limit of the lifetime of a grant. */
#define GRANT_VALID_MAX (250 * HM_MS)
/* A new owner waits this many times peer_silent before it issues tokens. */
#define TAKEOVER_WAIT_FACTOR 2

/*
 * Smallest reserve, in tokens. Small buckets fill and empty all the time, and
 * each change is a call to the store for few tokens.
 */
#define RESERVE_MIN 4

/*
 * Time for which a new owner waits before it issues tokens. When a link stops
 * delivering messages, the instances at its ends regard each other as dead and
 * both become owner. Within this wait the link is replaced and they receive
 * messages from each other again, so that the share is not issued twice. A new
 * process has new links only; it waits for start_wait, or for peer_silent when
 * that is 0.
 */
static hm_time takeover_wait(const struct rate *r)
{
	return r->options->peer_silent * TAKEOVER_WAIT_FACTOR;
}

/*
 * Splits @a total into @a count nearly equal integers with that sum and returns
 * the one with @a index.
 */
static uint32_t share_of(uint32_t total, uint32_t index, uint32_t count)
{
	uint64_t end = (uint64_t)total * (index + 1) / count;

	return (uint32_t)(end - (uint64_t)total * index / count);
}

/*
 * Number of zones that issue tokens of a contract: fewer than all where a
 * share would fall below one request per second or a burst of two.
 */
static uint32_t issuing_zones(const struct contract *c, uint16_t zone_count)
{
	uint32_t n = zone_count;

	if (n > c->rate)
		n = c->rate;
	if (n > c->burst / 2)
		n = c->burst / 2;
	return n ? n : 1;
}

void rate_share_of(const struct contract *c, uint16_t zone, uint16_t zone_count,
		   struct rate_share *out)
{
	uint32_t n = issuing_zones(c, zone_count);
	uint32_t first = (uint32_t)(c->account % zone_count);
	uint32_t index = (zone + zone_count - first) % zone_count;
	int64_t half;

	*out = (struct rate_share){ 0 };
	if (index >= n)
		return;
	out->rate = share_of(c->rate, index, n);
	out->burst = share_of(c->burst, index, n);
	if (!out->rate || out->burst < 2)
		return;
	half = out->burst * TOKEN / 2;
	out->valid = half / out->rate;
	if (out->valid > GRANT_VALID_MAX)
		out->valid = GRANT_VALID_MAX;
}

int64_t rate_capacity(const struct rate_share *share)
{
	return share->burst * TOKEN - share->rate * share->valid;
}

uint32_t rate_reserve_size(const struct rate_share *share)
{
	uint32_t tokens = (uint32_t)(rate_capacity(share) / 2 / TOKEN);

	return tokens < RESERVE_MIN ? 0 : tokens;
}

/*
 * Gives up ownership after a pause of this process.
 * Peers take over the accounts of an instance from which they have received no
 * message for longer than peer_silent. An instance that did not run for half of
 * that time gives up its ownership before they do, and waits like a new owner.
 */
void rate_detect_pause(struct rate *r, hm_time now)
{
	uint32_t i;

	if (now - r->last_at > r->options->peer_silent / 2) {
		r->issue_after = now + takeover_wait(r);
		for (i = 0; i < r->count; i++) {
			r->list[i].owned = false;
			r->list[i].generation = UINT64_MAX;
		}
	}
	if (now > r->last_at)
		r->last_at = now;
}

/*
 * Whether the previous owner may still issue tokens because it does not know
 * that this instance took over. A peer that announced its exit issues none.
 */
static bool old_owner_may_issue(const struct rate *r, uint64_t owner)
{
	const struct peer *peer = peers_find(r->peers, owner);

	if (!owner || owner == r->options->incarnation)
		return false;
	return !peer || !peer->announced_exit;
}

/*
 * A new owner does not know whether the store still has a reserve of this
 * bucket that another instance may claim.
 */
static void begin_ownership(const struct rate *r, struct quota *q,
			    uint64_t last)
{
	const struct peer *peer = peers_find(r->peers, last);
	struct bucket_reserve *b = &q->reserve;

	b->half_until = r->reserves ? HM_NEVER : 0;
	b->round = 0;
	b->full_since = HM_NEVER;
	b->previous = peer && !b->skipped ? peer->instance : 0;
	b->first = !last;
}

void rate_update_owner(const struct rate *r, struct quota *q, hm_time now)
{
	uint64_t generation = peers_generation(r->peers);
	uint64_t last = q->owner;

	if (q->generation == generation)
		return;
	q->generation = generation;
	q->owner = peers_owner(r->peers, q->account, r->options->zone, false);
	if (q->owner != r->options->incarnation) {
		q->reserve.skipped |= last && q->owner != last &&
				      last != r->options->incarnation;
		q->owned = false;
		q->first_owner = false;
		return;
	}
	if (q->owned)
		return;
	q->owned = true;
	q->level = 0;
	begin_ownership(r, q, last);
	q->first_owner = !last && now < r->issue_after;
	q->filled_at = now > r->issue_after ? now : r->issue_after;
	if (old_owner_may_issue(r, last) &&
	    q->filled_at < now + takeover_wait(r))
		q->filled_at = now + takeover_wait(r);
}

/*
 * Whether all instances of this zone started together with this process. A
 * peer that issued tokens already when it was first heard started earlier and
 * may have issued the tokens of the time in which this process waited.
 */
bool rate_zone_started_together(const struct rate *r)
{
	const struct peer *peer;
	uint32_t i;

	for (i = 0; (peer = peers_at(r->peers, i)); i++)
		if (peer->zone == r->options->zone && peer->issued_tokens)
			return false;
	return true;
}

/*
 * Adds to the bucket the tokens of the time in which this process waited.
 * When all instances of a zone start together, none issues tokens until they
 * have received messages from each other. Afterwards they also issue the tokens
 * of that wait, since all clients reconnect at once and would otherwise find
 * none.
 */
static void refill_startup_wait(const struct rate *r, struct quota *q,
				hm_time now)
{
	if (!q->first_owner || now < r->issue_after)
		return;
	q->first_owner = false;
	if (rate_zone_started_together(r))
		q->filled_at = r->issue_after - r->options->start_wait;
}

/* The part of a zone's tokens that is issued here. */
static int64_t reached_part(const struct rate *r, int64_t tokens)
{
	return tokens * r->reach.reached / (r->reach.reached + r->reach.silent);
}

static uint32_t reserved_tokens(const struct bucket_reserve *b)
{
	return b->recorded > b->unconfirmed ? b->recorded : b->unconfirmed;
}

/*
 * Capacity of the bucket without the tokens that others may claim, and without
 * those that were claimed here. It grows after the refill up to now, so that
 * the refill of a time with less capacity does not exceed that capacity.
 */
static int64_t update_capacity(const struct rate *r, struct quota *q,
			       hm_time now)
{
	struct bucket_reserve *b = &q->reserve;
	int64_t capacity = rate_capacity(&q->share);
	int64_t reserved = reserved_tokens(b) * TOKEN;
	int64_t last = b->capacity;

	if (now < b->half_until)
		capacity -= rate_reserve_size(&q->share) * TOKEN;
	else if (now < b->claimed_until)
		capacity -= b->claimed * TOKEN;
	/* Reserved tokens are not issued from the bucket. */
	if (capacity > reserved)
		capacity = reserved + reached_part(r, capacity - reserved);
	b->capacity = capacity;
	return last && last < capacity ? last : capacity;
}

bool rate_refill(const struct rate *r, struct quota *q, hm_time now)
{
	int64_t capacity = update_capacity(r, q, now);

	rate_update_owner(r, q, now);
	if (!q->owned)
		return false;
	refill_startup_wait(r, q, now);
	if (now > q->filled_at) {
		q->level +=
			reached_part(r, q->share.rate * (now - q->filled_at));
		q->filled_at = now;
	}
	if (q->level > capacity)
		q->level = capacity;
	return true;
}

void rate_update_reach(struct rate *r, hm_time now)
{
	struct zone_reach reach = peers_count_zone(r->peers);
	uint32_t i;

	if (reach.reached == r->reach.reached &&
	    reach.silent == r->reach.silent)
		return;
	/* The time until now counts by the part that was issued until now. */
	for (i = 0; i < r->count; i++)
		if (r->list[i].live)
			rate_refill(r, &r->list[i], now);
	r->reach = reach;
}

bool rate_may_issue(const struct rate *r, hm_time now)
{
	return now >= r->issue_after;
}

/*
 * Whether all instances of the zone look for reserves. Another one, of an older
 * build or with reserves turned off, may have issued the tokens of a reserve
 * after it took an account over.
 */
static bool zone_knows_reserves(const struct rate *r)
{
	const struct peer *peer;
	uint32_t i;

	for (i = 0; (peer = peers_at(r->peers, i)); i++)
		if (peer->alive && peer->zone == r->options->zone &&
		    !(peer->features & PEER_FEATURE_RESERVES))
			return false;
	return true;
}

static uint32_t claimed_tokens(const struct rate *r, struct quota *q,
			       hm_time now)
{
	struct bucket_reserve *b = &q->reserve;

	if (!b->claimed)
		return 0;
	/* Another instance of the zone may have issued these tokens already. */
	if (now >= b->claimed_until || !zone_knows_reserves(r) ||
	    (b->claimed_own && !rate_zone_started_together(r)))
		b->claimed = 0;
	if (b->claimed > rate_reserve_size(&q->share))
		b->claimed = rate_reserve_size(&q->share);
	return b->claimed;
}

int64_t rate_available(const struct rate *r, struct quota *q, hm_time now)
{
	uint32_t reserve = reserved_tokens(&q->reserve);
	int64_t claimed = claimed_tokens(r, q, now) * TOKEN;

	if (!rate_refill(r, q, now) || q->level < reserve * TOKEN)
		return claimed;
	return claimed + q->level - reserve * TOKEN;
}

void rate_spend(struct quota *q, uint32_t tokens)
{
	uint32_t claimed = q->reserve.claimed;

	if (claimed > tokens)
		claimed = tokens;
	q->reserve.claimed -= claimed;
	q->level -= (tokens - claimed) * TOKEN;
}

bool rate_take_own(const struct rate *r, struct quota *q, hm_time now)
{
	if (rate_available(r, q, now) < TOKEN)
		return false;
	rate_spend(q, 1);
	return true;
}

void rate_answer_request(struct rate *r, const struct message *m, hm_time now,
			 struct actions *actions)
{
	struct quota *q = rate_find(r, m->rate.account);
	struct message *grant = actions_send(actions, m->from, MSG_RATE_GRANT);
	int64_t tokens;

	grant->rate.nonce = m->rate.nonce;
	grant->rate.account = m->rate.account;
	if (!q || !q->share.valid)
		return;
	tokens = rate_available(r, q, now) / TOKEN;
	if (!tokens && !q->owned)
		return;
	tokens = rate_issue_grant(r, q, &m->rate, now);
	grant->rate.tokens = (uint32_t)tokens;
	grant->rate.valid = q->share.valid;
	grant->rate.contract_version = q->contract->version;
}
