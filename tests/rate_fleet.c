/** @file rate_fleet.c Simulated instances that share a rate, with faults. */
#include "rate_fleet.h"

#include <check.h>
#include <stdlib.h>

#define CORE_HEARTBEAT (100 * HM_MS)
#define PROXY_HEARTBEAT (300 * HM_MS)
#define PACKETS_MAX 65536

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

static void set_levels(struct rate_fleet *f, uint32_t i)
{
	bool old = f->old_builds >> i & 1;

	rate_set_levels(f->nodes[i].rate, old ? 1 : f->level_count);
}

void rate_fleet_levels(struct rate_fleet *f, uint32_t count)
{
	uint32_t i;

	f->level_count = count;
	for (i = 0; i < RATE_INSTANCES; i++)
		set_levels(f, i);
}

static void node_start(struct rate_fleet *f, uint32_t i)
{
	struct rate_node *n = &f->nodes[i];
	hm_time now;

	n->options =
		(struct core_options){ .instance = i + 1,
				       .incarnation = ++f->last_incarnation,
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
	rate_set_contract(n->rate, &f->contract, now);
	set_levels(f, i);
	n->seq = 0;
	n->heartbeat_at = n->tick_at = f->now;
	n->up = true;
	n->leaving = false;
	n->paused_until = 0;
	/*
	 * A new process opens new connections, which ends the fault of its
	 * link.
	 */
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

	f->packets = malloc(PACKETS_MAX * sizeof(*f->packets));
	f->rng.state = seed;
	f->step = RATE_STEP;
	f->patience = RATE_PATIENCE;
	f->level_count = 1;
	f->far_delay = 1500;
	f->start_wait = start_wait;
	f->heartbeat_every = start_wait ? PROXY_HEARTBEAT : CORE_HEARTBEAT;
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
	free(f->packets);
	free(f);
}

static bool linked(const struct rate_fleet *f, uint32_t a, uint32_t b)
{
	uint16_t za = zone_of(a), zb = zone_of(b);

	if ((f->alone >> a | f->alone >> b) & 1)
		return false;
	if (f->now < f->mute_until && f->mute_from == a && f->mute_to == b)
		return false;
	return za == zb || !((f->cut >> za | f->cut >> zb) & 1);
}

static void send_message(struct rate_fleet *f, uint32_t from, uint32_t to,
			 uint64_t life, const struct message *m)
{
	hm_time delay = zone_of(from) == zone_of(to) ? 200 : f->far_delay;
	uint32_t copies = 1;

	if (rng_below(&f->rng, 100) < f->loss_percent)
		copies = (uint32_t)rng_below(&f->rng, 3);
	while (copies-- > 0 && f->packet_count < PACKETS_MAX) {
		struct rate_packet *p = &f->packets[f->packet_count++];

		if (f->loss_percent)
			delay += (hm_time)rng_below(&f->rng, 20 * HM_MS);
		*p = (struct rate_packet){ *m, f->now + delay, from, to, life };
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
				send_message(f, i, to, act->send.to,
					     &act->send.message);
	}
	actions_free(actions);
}

static void count_admission(struct rate_fleet *f, uint32_t level)
{
	f->admitted++;
	f->admitted_at[level]++;
	if (!rate_bucket_take(&f->limit, f->now)) {
		f->limit.level -= RATE_TOKEN;
		f->over++;
	}
}

static void collect(struct rate_fleet *f, struct rate_node *n)
{
	struct admit_result result;

	while (admit_next(n->admit, f->now + n->offset, &result))
		if (result.admitted)
			count_admission(f, result.statement.level);
		else
			f->refused++;
}

void rate_fleet_request(struct rate_fleet *f, uint32_t i)
{
	struct rate_node *n = &f->nodes[i];
	struct statement s = { .account = RATE_ACCOUNT,
			       .level = f->offer_level };
	struct actions actions = { 0 };
	hm_time now = f->now + n->offset;
	hm_time retry_at = 0;

	f->offered++;
	s.id.seq = f->offered;
	s.deadline = now + f->patience;
	if (f->refuses_at_once && admit_exhausted(n->admit, &s, now)) {
		rate_refused(n->rate, RATE_ACCOUNT, now);
		f->refused++;
		return;
	}
	switch (admit_push(n->admit, &s, now, &retry_at, &actions)) {
	case ADMIT_PASS:
		count_admission(f, s.level);
		break;
	case ADMIT_REFUSE:
		ck_assert_int_gt(retry_at, now);
		f->refused++;
		break;
	case ADMIT_WAIT:
		if (f->level_count > 1)
			collect(f, n);
		break;
	}
	perform(f, i, &actions);
}

static void deliver(struct rate_fleet *f, struct rate_packet *p)
{
	struct rate_node *n = &f->nodes[p->to];
	struct actions actions = { 0 };

	if (!n->up || !linked(f, p->from, p->to))
		return;
	if (p->incarnation && p->incarnation != n->options.incarnation)
		return;
	peers_message(n->peers, &p->message, f->now + n->offset);
	rate_message(n->rate, &p->message, f->now + n->offset, &actions);
	perform(f, p->to, &actions);
	collect(f, n);
	if (!f->refuses_at_once || p->message.kind != MSG_RATE_GRANT)
		return;
	admit_refuse_exhausted(n->admit, RATE_ACCOUNT, f->now + n->offset);
	collect(f, n);
}

static void send_heartbeats(struct rate_fleet *f, uint32_t i)
{
	struct rate_node *n = &f->nodes[i];
	struct message m = { .kind = MSG_HEARTBEAT };
	uint32_t to;

	m.from = n->options.incarnation;
	m.seq = ++n->seq;
	m.heartbeat.instance = n->options.instance;
	m.heartbeat.zone = n->options.zone;
	m.heartbeat.leaving = n->leaving;
	m.heartbeat.issues_tokens = rate_may_issue(n->rate, f->now + n->offset);
	for (to = 0; to < RATE_INSTANCES; to++)
		if (to != i)
			send_message(f, i, to, 0, &m);
	n->heartbeat_at = f->now + f->heartbeat_every;
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
	if (n->heartbeat_at <= f->now)
		send_heartbeats(f, i);
	peers_tick(n->peers, now);
	rate_tick(n->rate, now, &actions);
	admit_tick(n->admit, now, &actions);
	perform(f, i, &actions);
	collect(f, n);
}

/* Delivers due messages in order; keeps those to a paused instance. */
static void deliver_due(struct rate_fleet *f)
{
	uint32_t count = f->packet_count;
	uint32_t remaining = 0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		struct rate_packet p = f->packets[i];
		struct rate_node *n = &f->nodes[p.to];

		if (p.at > f->now || (n->up && !rate_node_runs(f, n)))
			f->packets[remaining++] = p;
		else
			deliver(f, &p);
	}
	for (; i < f->packet_count; i++)
		f->packets[remaining++] = f->packets[i];
	f->packet_count = remaining;
}

void rate_fleet_step(struct rate_fleet *f)
{
	uint32_t i;

	f->now += f->step;
	for (i = 0; i < RATE_INSTANCES; i++)
		node_step(f, i);
	deliver_due(f);
}

/*
 * One direction of a link within a zone loses all messages, until the link is
 * replaced after 1.5 s.
 */
static void fail_link(struct rate_fleet *f)
{
	if (f->now < f->mute_until + 2 * HM_SEC)
		return;
	f->mute_from = (uint32_t)rng_below(&f->rng, RATE_INSTANCES - 1);
	f->mute_to = f->mute_from ^ 1;
	f->mute_until = f->now + 1500 * HM_MS;
}

/* Models a power failure, or a kill of all processes, in some zones. */
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
		fail_link(f);
		break;
	case 5:
		if (n->up)
			peers_leave(n->peers);
		n->leaving = true;
		break;
	}
}

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
			rate_fleet_request(f, i);
		chance -= HM_SEC;
	}
}
