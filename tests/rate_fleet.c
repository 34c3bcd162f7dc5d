/** @file rate_fleet.c Instances that share a rate, on a bus with faults. */
#include "rate_fleet.h"

#include <check.h>
#include <stdlib.h>

#define CORE_BEAT (100 * HM_MS)
#define PROXY_BEAT (300 * HM_MS)
#define POST_MAX 65536

static void bucket_fill(struct rate_bucket *b, hm_time now)
{
	b->level += b->rate * (now - b->at);
	b->at = now;
	if (b->level > b->burst * RATE_TOKEN)
		b->level = b->burst * RATE_TOKEN;
}

bool rate_bucket_take(struct rate_bucket *b, hm_time now)
{
	bucket_fill(b, now);
	if (b->level < RATE_TOKEN)
		return false;
	b->level -= RATE_TOKEN;
	return true;
}

static uint16_t zone_of(uint32_t i)
{
	return (uint16_t)(i / 2);
}

static void node_start(struct rate_fleet *f, uint32_t i)
{
	struct rate_node *n = &f->nodes[i];
	hm_time now;

	n->options = (struct core_options){ .instance = i + 1,
					    .incarnation = ++f->lives,
					    .zone = zone_of(i),
					    .zone_count = RATE_ZONES,
					    .peer_silent = HM_SEC,
					    .start_wait = f->start_wait,
					    .isolated_grace = 10 * HM_SEC };
	n->offset = (hm_time)rng_below(&f->rng, 1000000 * HM_SEC);
	now = f->now + n->offset;
	n->peers = peers_new(&n->options, now);
	n->rate = rate_new(&n->options, n->peers, now);
	n->admit = admit_new(n->rate);
	rate_contract(n->rate, &f->contract, now);
	n->seq = 0;
	n->beat_at = n->tick_at = f->now;
	n->up = true;
	n->leaving = false;
	n->paused_until = 0;
	/* Connections opened anew work. */
	if (f->mute_from == i || f->mute_to == i)
		f->mute_until = 0;
}

void rate_node_stop(struct rate_node *n)
{
	if (!n->up)
		return;
	admit_free(n->admit);
	rate_free(n->rate);
	peers_free(n->peers);
	n->up = false;
}

struct rate_fleet *rate_fleet_new(uint64_t seed, uint32_t rate, uint32_t burst,
				  hm_time start_wait)
{
	struct rate_fleet *f = calloc(1, sizeof(*f));
	uint32_t i;

	f->posts = malloc(POST_MAX * sizeof(*f->posts));
	f->rng.state = seed;
	f->step = RATE_STEP;
	f->far_delay = 1500;
	f->start_wait = start_wait;
	f->beat_every = start_wait ? PROXY_BEAT : CORE_BEAT;
	f->contract = (struct contract){ .account = RATE_ACCOUNT,
					 .version = 1,
					 .rate = rate,
					 .burst = burst,
					 .weight = 1 };
	f->limit = (struct rate_bucket){ rate, burst, burst * RATE_TOKEN, 0 };
	for (i = 0; i < RATE_INSTANCES; i++)
		node_start(f, i);
	return f;
}

void rate_fleet_free(struct rate_fleet *f)
{
	uint32_t i;

	for (i = 0; i < RATE_INSTANCES; i++)
		rate_node_stop(&f->nodes[i]);
	free(f->posts);
	free(f);
}

static bool linked(const struct rate_fleet *f, uint32_t a, uint32_t b)
{
	uint16_t za = zone_of(a), zb = zone_of(b);

	if (f->now < f->mute_until && f->mute_from == a && f->mute_to == b)
		return false;
	return za == zb || !((f->cut >> za | f->cut >> zb) & 1);
}

static void post(struct rate_fleet *f, uint32_t from, uint32_t to,
		 uint64_t life, const struct message *m)
{
	hm_time delay = zone_of(from) == zone_of(to) ? 200 : f->far_delay;
	uint32_t copies = 1;

	if (rng_below(&f->rng, 100) < f->loss_percent)
		copies = (uint32_t)rng_below(&f->rng, 3);
	while (copies-- > 0 && f->post_count < POST_MAX) {
		struct rate_post *p = &f->posts[f->post_count++];

		if (f->loss_percent)
			delay += (hm_time)rng_below(&f->rng, 20 * HM_MS);
		*p = (struct rate_post){ *m, f->now + delay, from, to, life };
	}
}

static void perform(struct rate_fleet *f, uint32_t i, struct actions *actions)
{
	struct rate_node *n = &f->nodes[i];
	uint32_t to;
	size_t k;

	for (k = 0; k < actions->count; k++) {
		struct action *act = &actions->list[k];

		act->send.message.from = n->options.incarnation;
		act->send.message.seq = ++n->seq;
		for (to = 0; to < RATE_INSTANCES; to++)
			if (f->nodes[to].up &&
			    f->nodes[to].options.incarnation == act->send.to)
				post(f, i, to, act->send.to,
				     &act->send.message);
	}
	actions_free(actions);
}

static void note_admitted(struct rate_fleet *f)
{
	f->admitted++;
	if (!rate_bucket_take(&f->limit, f->now)) {
		f->limit.level -= RATE_TOKEN;
		f->over++;
	}
}

static void collect(struct rate_fleet *f, struct rate_node *n)
{
	struct admit_left left;

	while (admit_next(n->admit, f->now + n->offset, &left))
		if (left.passed)
			note_admitted(f);
		else
			f->refused++;
}

void rate_fleet_ask(struct rate_fleet *f, uint32_t i)
{
	struct rate_node *n = &f->nodes[i];
	struct statement s = { .account = RATE_ACCOUNT };
	struct actions actions = { 0 };
	hm_time now = f->now + n->offset;
	hm_time retry_at = 0;

	f->offered++;
	s.id.seq = f->offered;
	s.deadline = now + RATE_PATIENCE;
	switch (admit_push(n->admit, &s, now, &retry_at, &actions)) {
	case ADMIT_PASS:
		note_admitted(f);
		break;
	case ADMIT_REFUSE:
		ck_assert_int_gt(retry_at, now);
		f->refused++;
		break;
	case ADMIT_WAIT:
		break;
	}
	perform(f, i, &actions);
}

static void deliver(struct rate_fleet *f, struct rate_post *p)
{
	struct rate_node *n = &f->nodes[p->to];
	struct actions actions = { 0 };

	if (!n->up || !linked(f, p->from, p->to))
		return;
	if (p->life && p->life != n->options.incarnation)
		return;
	peers_message(n->peers, &p->message, f->now + n->offset);
	rate_message(n->rate, &p->message, f->now + n->offset, &actions);
	perform(f, p->to, &actions);
	collect(f, n);
}

static void beat(struct rate_fleet *f, uint32_t i)
{
	struct rate_node *n = &f->nodes[i];
	struct message m = { .kind = MSG_HEARTBEAT };
	uint32_t to;

	m.from = n->options.incarnation;
	m.seq = ++n->seq;
	m.heartbeat.instance = n->options.instance;
	m.heartbeat.zone = n->options.zone;
	m.heartbeat.leaving = n->leaving;
	m.heartbeat.issues_tokens = rate_mints(n->rate, f->now + n->offset);
	for (to = 0; to < RATE_INSTANCES; to++)
		if (to != i)
			post(f, i, to, 0, &m);
	n->beat_at = f->now + f->beat_every;
}

bool rate_node_runs(const struct rate_fleet *f, const struct rate_node *n)
{
	return n->up && n->paused_until <= f->now;
}

static void node_step(struct rate_fleet *f, uint32_t i)
{
	struct rate_node *n = &f->nodes[i];
	struct actions actions = { 0 };
	hm_time now = f->now + n->offset;

	if (!n->up && n->down_until <= f->now)
		node_start(f, i);
	if (!rate_node_runs(f, n) || n->tick_at > f->now)
		return;
	n->tick_at = f->now + CORE_TICK;
	if (n->beat_at <= f->now)
		beat(f, i);
	peers_tick(n->peers, now);
	rate_tick(n->rate, now, &actions);
	admit_tick(n->admit, now, &actions);
	perform(f, i, &actions);
	collect(f, n);
}

/* Messages to a paused node wait; the order among due ones is kept. */
static void deliver_due(struct rate_fleet *f)
{
	uint32_t count = f->post_count;
	uint32_t kept = 0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		struct rate_post p = f->posts[i];
		struct rate_node *n = &f->nodes[p.to];

		if (p.at > f->now || (n->up && !rate_node_runs(f, n)))
			f->posts[kept++] = p;
		else
			deliver(f, &p);
	}
	for (; i < f->post_count; i++)
		f->posts[kept++] = f->posts[i];
	f->post_count = kept;
}

void rate_fleet_step(struct rate_fleet *f)
{
	uint32_t i;

	f->now += f->step;
	for (i = 0; i < RATE_INSTANCES; i++)
		node_step(f, i);
	deliver_due(f);
}

/* One direction of a link in a zone; it is replaced within 1.5 s. */
static void mute(struct rate_fleet *f)
{
	if (f->now < f->mute_until + 2 * HM_SEC)
		return;
	f->mute_from = (uint32_t)rng_below(&f->rng, RATE_INSTANCES - 1);
	f->mute_to = f->mute_from ^ 1;
	f->mute_until = f->now + 1500 * HM_MS;
}

/* Power is lost in a zone, or all of it is killed. */
void rate_fleet_restart(struct rate_fleet *f, uint32_t zones, hm_time spread)
{
	uint32_t i;

	for (i = 0; i < RATE_INSTANCES; i++) {
		if (!(zones >> zone_of(i) & 1))
			continue;
		rate_node_stop(&f->nodes[i]);
		f->nodes[i].down_until =
			f->now + (hm_time)rng_below(&f->rng, (uint64_t)spread);
	}
}

void rate_fleet_fault(struct rate_fleet *f)
{
	struct rate_node *n = &f->nodes[rng_below(&f->rng, RATE_INSTANCES)];

	switch (rng_below(&f->rng, 8)) {
	case 0:
		n->paused_until =
			f->now + (hm_time)rng_below(&f->rng, 5 * HM_SEC);
		break;
	case 1:
		rate_node_stop(n);
		n->down_until = f->now + (hm_time)rng_below(&f->rng, HM_SEC);
		break;
	case 2:
		rate_node_stop(n);
		n->down_until =
			f->now + (hm_time)rng_below(&f->rng, 8 * HM_SEC);
		break;
	case 3:
		f->cut = (uint32_t)rng_below(&f->rng, 1U << RATE_ZONES);
		break;
	case 4:
		f->cut = 0;
		break;
	case 7:
		rate_fleet_restart(
			f, (uint32_t)rng_below(&f->rng, 1U << RATE_ZONES),
			HM_SEC);
		break;
	case 6:
		mute(f);
		break;
	case 5:
		if (n->up)
			peers_leave(n->peers);
		n->leaving = true;
		break;
	}
}

/* Offers requests at a mean of per_second to instances picked by pick. */
void rate_fleet_offer(struct rate_fleet *f, uint32_t per_second, uint32_t skew)
{
	int64_t chance = (int64_t)per_second * f->step;

	while (chance > 0) {
		uint32_t i = 0;

		if ((int64_t)rng_below(&f->rng, HM_SEC) >= chance)
			return;
		if (rng_below(&f->rng, 100) >= skew)
			i = (uint32_t)rng_below(&f->rng, RATE_INSTANCES);
		if (rate_node_runs(f, &f->nodes[i]))
			rate_fleet_ask(f, i);
		chance -= HM_SEC;
	}
}
