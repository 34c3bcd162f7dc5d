/** @file rate_request.c Requests tokens from the owners of all zones. */
#include "rate_state.h"

#include <string.h>

#define REQUEST_TIMEOUT (100 * HM_MS) /* an unanswered request has failed */
#define RETRY_DELAY_MIN (5 * HM_MS) /* pause after a grant of too few tokens */
#define RETRY_DELAY_MAX (50 * HM_MS)
#define BACKOFF_MAX (1 * HM_SEC) /* longest pause after missing answers */
#define PREFETCH (50 * HM_MS)	 /* time ahead that tokens are requested for */
/*
 * The owner reserves tokens for a level once it knows of its demand. Therefore
 * only so many grants of too few tokens in a row mean that an owner has none
 * for statements that are more urgent than others.
 */
#define URGENT_ATTEMPTS 3

/* Ends unanswered requests; the pause after each doubles up to the limit. */
static void expire_requests(struct rate *r, struct quota *q, hm_time now)
{
	uint16_t zone;
	uint32_t i;

	for (zone = 0; zone < r->options->zone_count; zone++) {
		struct source *s = &q->sources[zone];

		if (!s->seq || now - s->requested_at < REQUEST_TIMEOUT)
			continue;
		s->seq = 0;
		s->requested = 0;
		s->backoff = s->backoff ? s->backoff * 2 : REQUEST_TIMEOUT;
		if (s->backoff > BACKOFF_MAX)
			s->backoff = BACKOFF_MAX;
		for (i = 0; i < PRIORITY_LEVELS; i++) {
			s->wanted[i] = 0;
			s->retry_after[i] = now + s->backoff;
			s->failures[i] = URGENT_ATTEMPTS;
		}
	}
}

/* Unused tokens at this instance. */
static int64_t held_tokens(const struct rate *r, struct quota *q, hm_time now)
{
	int64_t held = 0;
	uint32_t i;

	rate_drop_expired(q, now);
	for (i = 0; i < q->granted_count; i++)
		held += q->granted[i].tokens;
	held += rate_available(r, q, now) / TOKEN;
	return held;
}

/*
 * Tokens to request for each level: those for waiting statements and the usage
 * within PREFETCH, less the tokens that are requested. The tokens held here
 * count for the most urgent levels first, which get them first.
 */
static void find_shortage(const struct rate *r, struct quota *q, hm_time now,
			  int64_t needed[PRIORITY_LEVELS])
{
	int64_t held = held_tokens(r, q, now), usage = 0, before = 0;
	uint32_t i, k;

	rate_decay_usage(q, now);
	for (i = 0; i < PRIORITY_LEVELS && i < r->level_count; i++) {
		int64_t sum, covered;

		usage += r->level_count > 1 ? q->used[i].rate : q->usage_rate;
		sum = usage * PREFETCH / HM_SEC / TOKEN;
		needed[i] = q->waiting[i] + sum - before;
		before = sum;
		for (k = 0; k < r->options->zone_count; k++)
			needed[i] -= q->sources[k].wanted[i];
		covered = needed[i] < held ? needed[i] : held;
		if (covered <= 0)
			continue;
		needed[i] -= covered;
		held -= covered;
	}
}

static void send_request(struct rate *r, struct quota *q, uint16_t zone,
			 uint64_t owner, const uint32_t wanted[PRIORITY_LEVELS],
			 hm_time now, struct actions *actions)
{
	struct message *m = actions_send(actions, owner, MSG_RATE_REQUEST);
	struct source *s = &q->sources[zone];
	uint32_t i;

	s->seq = ++r->next_seq;
	s->requested = 0;
	s->requested_at = now;
	for (i = 0; i < PRIORITY_LEVELS; i++) {
		s->wanted[i] = wanted[i];
		s->requested += wanted[i];
		if (r->level_count > 1)
			m->rate.wanted[i] = wanted[i];
	}
	m->rate.nonce.incarnation = r->options->incarnation;
	m->rate.nonce.seq = s->seq;
	m->rate.account = q->account;
	m->rate.tokens = s->requested;
	m->rate.contract_version = q->contract->version;
}

/* Sends a request to the owner of one zone, and reduces what is needed. */
static void request_zone(struct rate *r, struct quota *q, uint16_t zone,
			 int64_t needed[PRIORITY_LEVELS], hm_time now,
			 struct actions *actions)
{
	uint32_t wanted[PRIORITY_LEVELS] = { 0 };
	struct source *s = &q->sources[zone];
	struct rate_share share;
	int64_t sum = 0;
	uint64_t owner;
	uint32_t i;

	if (s->seq)
		return;
	rate_share_of(q->contract, zone, r->options->zone_count, &share);
	owner = peers_owner(r->peers, q->account, zone, false);
	if (!share.valid || !owner || owner == r->options->incarnation)
		return;
	for (i = 0; i < PRIORITY_LEVELS; i++) {
		int64_t part = needed[i];

		if (part <= 0 || s->retry_after[i] > now)
			continue;
		if (part > share.burst - sum)
			part = share.burst - sum;
		wanted[i] = (uint32_t)part;
		sum += part;
	}
	if (!sum)
		return;
	send_request(r, q, zone, owner, wanted, now, actions);
	for (i = 0; i < PRIORITY_LEVELS; i++)
		needed[i] -= wanted[i];
}

void rate_request_tokens(struct rate *r, struct quota *q, hm_time now,
			 struct actions *actions)
{
	uint16_t zone_count = r->options->zone_count;
	int64_t needed[PRIORITY_LEVELS] = { 0 };
	uint16_t i;

	expire_requests(r, q, now);
	find_shortage(r, q, now, needed);
	for (i = 0; i < zone_count; i++)
		request_zone(r, q, (r->options->zone + i) % zone_count, needed,
			     now, actions);
}

bool rate_source_exhausted(const struct rate *r, const struct quota *q,
			   uint16_t zone, uint32_t level, hm_time now)
{
	const struct source *s = &q->sources[zone];
	bool urgent = level + 1 < r->level_count;
	struct rate_share share;
	uint64_t owner;

	rate_share_of(q->contract, zone, r->options->zone_count, &share);
	owner = peers_owner(r->peers, q->account, zone, false);
	if (!share.valid || !owner || owner == r->options->incarnation)
		return true;
	if (s->seq && s->wanted[level])
		return false;
	return s->retry_after[level] > now &&
	       (!urgent || s->failures[level] >= URGENT_ATTEMPTS);
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

/* Time until the tokens missing from a grant are issued, within limits. */
static hm_time retry_delay(const struct quota *q, uint32_t missing)
{
	hm_time delay = missing * HM_SEC / q->rate;

	if (delay < RETRY_DELAY_MIN)
		return RETRY_DELAY_MIN;
	return delay > RETRY_DELAY_MAX ? RETRY_DELAY_MAX : delay;
}

/* Delays the next request for the levels that were not granted in full. */
static void back_off(struct quota *q, struct source *s, uint32_t tokens,
		     hm_time now)
{
	uint32_t i;

	for (i = 0; i < PRIORITY_LEVELS; i++) {
		uint32_t wanted = s->wanted[i];

		if (tokens >= wanted) {
			tokens -= wanted;
			s->failures[i] = wanted ? 0 : s->failures[i];
			continue;
		}
		s->retry_after[i] = now + retry_delay(q, wanted - tokens);
		s->failures[i]++;
		tokens = 0;
	}
}

void rate_receive_grant(struct rate *r, const struct message *m, hm_time now,
			struct actions *actions)
{
	struct quota *q = rate_find(r, m->rate.account);
	struct source *s = q ? source_of(r, q, m->rate.nonce) : NULL;
	uint32_t tokens = m->rate.tokens;
	hm_time expires_at;

	if (!s)
		return;
	expires_at = s->requested_at + m->rate.valid;
	if (tokens > s->requested)
		tokens = s->requested;
	if (tokens < s->requested)
		rate_note_scarce(q, now);
	back_off(q, s, tokens, now);
	if (tokens && expires_at > now)
		rate_add_batch(q, tokens, expires_at);
	s->seq = 0;
	s->requested = 0;
	memset(s->wanted, 0, sizeof(s->wanted));
	s->backoff = 0;
	rate_request_tokens(r, q, now, actions);
}
