/**
 * @file test_rate.c
 * Several instances in memory on a bus that delays, loses, repeats and cuts:
 * what they admit together never exceeds the contract in any window.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "../core/admit.h"
#include "../core/rng.h"
#include "suite.h"

#define ZONES 4
#define INSTANCES 7
#define STEP (500)
#define BEAT (100 * HM_MS)
#define ACCOUNT 77
#define TOKEN ((int64_t)1000000)
#define POST_MAX 65536
#define PATIENCE (2 * HM_SEC)

/* Exact bucket of the contract; also draws the line for callers. */
struct bucket {
	uint32_t rate, burst;
	int64_t level;
	hm_time at;
};

static void bucket_fill(struct bucket *b, hm_time now)
{
	b->level += b->rate * (now - b->at);
	b->at = now;
	if (b->level > b->burst * TOKEN)
		b->level = b->burst * TOKEN;
}

static bool bucket_take(struct bucket *b, hm_time now)
{
	bucket_fill(b, now);
	if (b->level < TOKEN)
		return false;
	b->level -= TOKEN;
	return true;
}

struct node {
	struct core_options options;
	struct peers *peers;
	struct rate *rate;
	struct admit *admit;
	uint64_t seq;
	hm_time offset; /* of its clock */
	hm_time beat_at;
	hm_time tick_at;
	hm_time paused_until;
	hm_time down_until;
	bool up;
	bool leaving;
};

struct post {
	struct message message;
	hm_time at;
	uint32_t from, to;
	uint64_t life; /* receiver, 0 for whoever is there */
};

struct fleet {
	struct node nodes[INSTANCES];
	struct post *posts;
	uint32_t post_count;
	struct rng rng;
	hm_time now;
	uint64_t lives;
	uint32_t cut; /* zones that hear only themselves, by bit */
	uint32_t mute_from, mute_to; /* a link that went silent */
	hm_time mute_until;
	uint32_t loss_percent;
	hm_time step;
	hm_time far_delay; /* between zones */
	struct contract contract;
	struct bucket limit; /* of the contract, checked at each admission */
	uint64_t admitted, refused, offered;
	uint64_t over; /* admissions beyond the contract */
};

static uint16_t zone_of(uint32_t i)
{
	return (uint16_t)(i / 2);
}

static void node_start(struct fleet *f, uint32_t i)
{
	struct node *n = &f->nodes[i];
	hm_time now;

	n->options = (struct core_options){ .instance = i + 1,
					    .life = ++f->lives,
					    .zone = zone_of(i),
					    .zone_count = ZONES,
					    .peer_silent = HM_SEC,
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

static void node_stop(struct node *n)
{
	if (!n->up)
		return;
	admit_free(n->admit);
	rate_free(n->rate);
	peers_free(n->peers);
	n->up = false;
}

static struct fleet *fleet_new(uint64_t seed, uint32_t rate, uint32_t burst)
{
	struct fleet *f = calloc(1, sizeof(*f));
	uint32_t i;

	f->posts = malloc(POST_MAX * sizeof(*f->posts));
	f->rng.state = seed;
	f->step = STEP;
	f->far_delay = 1500;
	f->contract = (struct contract){ .account = ACCOUNT,
					 .version = 1,
					 .rate = rate,
					 .burst = burst,
					 .weight = 1 };
	f->limit = (struct bucket){ rate, burst, burst * TOKEN, 0 };
	for (i = 0; i < INSTANCES; i++)
		node_start(f, i);
	return f;
}

static void fleet_free(struct fleet *f)
{
	uint32_t i;

	for (i = 0; i < INSTANCES; i++)
		node_stop(&f->nodes[i]);
	free(f->posts);
	free(f);
}

static bool linked(const struct fleet *f, uint32_t a, uint32_t b)
{
	uint16_t za = zone_of(a), zb = zone_of(b);

	if (f->now < f->mute_until && f->mute_from == a && f->mute_to == b)
		return false;
	return za == zb || !((f->cut >> za | f->cut >> zb) & 1);
}

static void post(struct fleet *f, uint32_t from, uint32_t to, uint64_t life,
		 const struct message *m)
{
	hm_time delay = zone_of(from) == zone_of(to) ? 200 : f->far_delay;
	uint32_t copies = 1;

	if (rng_below(&f->rng, 100) < f->loss_percent)
		copies = (uint32_t)rng_below(&f->rng, 3);
	while (copies-- > 0 && f->post_count < POST_MAX) {
		struct post *p = &f->posts[f->post_count++];

		if (f->loss_percent)
			delay += (hm_time)rng_below(&f->rng, 20 * HM_MS);
		*p = (struct post){ *m, f->now + delay, from, to, life };
	}
}

static void perform(struct fleet *f, uint32_t i, struct actions *actions)
{
	struct node *n = &f->nodes[i];
	uint32_t to;
	size_t k;

	for (k = 0; k < actions->count; k++) {
		struct action *act = &actions->list[k];

		act->send.message.from = n->options.life;
		act->send.message.seq = ++n->seq;
		for (to = 0; to < INSTANCES; to++)
			if (f->nodes[to].up &&
			    f->nodes[to].options.life == act->send.to)
				post(f, i, to, act->send.to,
				     &act->send.message);
	}
	actions_free(actions);
}

static void note_admitted(struct fleet *f)
{
	f->admitted++;
	if (!bucket_take(&f->limit, f->now)) {
		f->limit.level -= TOKEN;
		f->over++;
	}
}

static void collect(struct fleet *f, struct node *n)
{
	struct admit_left left;

	while (admit_next(n->admit, f->now + n->offset, &left))
		if (left.passed)
			note_admitted(f);
		else
			f->refused++;
}

static void offer(struct fleet *f, uint32_t i)
{
	struct node *n = &f->nodes[i];
	struct statement s = { .account = ACCOUNT };
	struct actions actions = { 0 };
	hm_time now = f->now + n->offset;
	hm_time retry_at = 0;

	f->offered++;
	s.id.seq = f->offered;
	s.deadline = now + PATIENCE;
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

static void deliver(struct fleet *f, struct post *p)
{
	struct node *n = &f->nodes[p->to];
	struct actions actions = { 0 };

	if (!n->up || !linked(f, p->from, p->to))
		return;
	if (p->life && p->life != n->options.life)
		return;
	peers_message(n->peers, &p->message, f->now + n->offset);
	rate_message(n->rate, &p->message, f->now + n->offset, &actions);
	perform(f, p->to, &actions);
	collect(f, n);
}

static void beat(struct fleet *f, uint32_t i)
{
	struct node *n = &f->nodes[i];
	struct message m = { .kind = MSG_HEARTBEAT };
	uint32_t to;

	m.from = n->options.life;
	m.seq = ++n->seq;
	m.heartbeat.instance = n->options.instance;
	m.heartbeat.zone = n->options.zone;
	m.heartbeat.leaving = n->leaving;
	for (to = 0; to < INSTANCES; to++)
		if (to != i)
			post(f, i, to, 0, &m);
	n->beat_at = f->now + BEAT;
}

static bool runs(const struct fleet *f, const struct node *n)
{
	return n->up && n->paused_until <= f->now;
}

static void node_step(struct fleet *f, uint32_t i)
{
	struct node *n = &f->nodes[i];
	struct actions actions = { 0 };
	hm_time now = f->now + n->offset;

	if (!n->up && n->down_until <= f->now)
		node_start(f, i);
	if (!runs(f, n) || n->tick_at > f->now)
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
static void deliver_due(struct fleet *f)
{
	uint32_t count = f->post_count;
	uint32_t kept = 0;
	uint32_t i;

	for (i = 0; i < count; i++) {
		struct post p = f->posts[i];
		struct node *n = &f->nodes[p.to];

		if (p.at > f->now || (n->up && !runs(f, n)))
			f->posts[kept++] = p;
		else
			deliver(f, &p);
	}
	for (; i < f->post_count; i++)
		f->posts[kept++] = f->posts[i];
	f->post_count = kept;
}

static void fleet_step(struct fleet *f)
{
	uint32_t i;

	f->now += f->step;
	for (i = 0; i < INSTANCES; i++)
		node_step(f, i);
	deliver_due(f);
}

/* One direction of a link in a zone; it is replaced within 1.5 s. */
static void mute(struct fleet *f)
{
	if (f->now < f->mute_until + 2 * HM_SEC)
		return;
	f->mute_from = (uint32_t)rng_below(&f->rng, INSTANCES - 1);
	f->mute_to = f->mute_from ^ 1;
	f->mute_until = f->now + 1500 * HM_MS;
}

static void random_fault(struct fleet *f)
{
	struct node *n = &f->nodes[rng_below(&f->rng, INSTANCES)];

	switch (rng_below(&f->rng, 7)) {
	case 0:
		n->paused_until =
			f->now + (hm_time)rng_below(&f->rng, 5 * HM_SEC);
		break;
	case 1:
		node_stop(n);
		n->down_until = f->now + (hm_time)rng_below(&f->rng, HM_SEC);
		break;
	case 2:
		node_stop(n);
		n->down_until =
			f->now + (hm_time)rng_below(&f->rng, 8 * HM_SEC);
		break;
	case 3:
		f->cut = (uint32_t)rng_below(&f->rng, 1U << ZONES);
		break;
	case 4:
		f->cut = 0;
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
static void offer_load(struct fleet *f, uint32_t per_second, uint32_t skew)
{
	int64_t chance = (int64_t)per_second * f->step;

	while (chance > 0) {
		uint32_t i = 0;

		if ((int64_t)rng_below(&f->rng, HM_SEC) >= chance)
			return;
		if (rng_below(&f->rng, 100) >= skew)
			i = (uint32_t)rng_below(&f->rng, INSTANCES);
		if (runs(f, &f->nodes[i]))
			offer(f, i);
		chance -= HM_SEC;
	}
}

START_TEST(never_over_contract_under_faults)
{
	static const uint32_t limits[][2] = { { 200, 200 }, { 1, 4 },
					      { 7, 3 },	    { 50, 500 },
					      { 400, 40 },  { 3, 2 },
					      { 5, 1 } };
	uint64_t seed;

	for (seed = 1; seed <= 21; seed++) {
		const uint32_t *l = limits[seed % 7];
		struct fleet *f = fleet_new(seed, l[0], l[1]);
		uint32_t load = l[0] * 3 + 20;

		f->loss_percent = 3;
		f->step = 2000;
		while (f->now < 60 * HM_SEC) {
			fleet_step(f);
			if (!rng_below(&f->rng, 250))
				random_fault(f);
			if (!rng_below(&f->rng, 1500))
				load = (uint32_t)rng_below(&f->rng,
							   l[0] * 5 + 20);
			offer_load(f, load, 50);
		}
		ck_assert_msg(!f->over, "seed %d: %d over contract", (int)seed,
			      (int)f->over);
		ck_assert_uint_gt(f->admitted, 0);
		fleet_free(f);
	}
}
END_TEST

/* All zones cut from each other: a second, an hour, and healed at once. */
START_TEST(cut_zones_share_the_contract)
{
	struct fleet *f = fleet_new(5, 200, 200);
	hm_time hour = 3600 * HM_SEC;
	uint64_t admitted;

	f->cut = (1U << ZONES) - 1;
	while (f->now < 3 * HM_SEC) {
		fleet_step(f);
		offer_load(f, 1000, 0);
	}
	ck_assert_uint_eq(f->over, 0);
	f->step = 20 * HM_MS;
	while (f->now < hour)
		fleet_step(f);
	f->step = STEP;
	admitted = f->admitted;
	while (f->now < hour + 2 * HM_SEC) {
		fleet_step(f);
		offer_load(f, 1000, 0);
	}
	ck_assert_uint_eq(f->over, 0);
	/* Four zones together still give nearly the whole contract. */
	ck_assert_uint_gt(f->admitted - admitted, 2 * 200 * 9 / 10);
	f->cut = 0;
	while (f->now < hour + 6 * HM_SEC) {
		fleet_step(f);
		offer_load(f, 1000, 0);
	}
	ck_assert_uint_eq(f->over, 0);
	fleet_free(f);
}
END_TEST

/* Faults of the figures, each in the middle third of the run. */
enum fault {
	FAULT_NONE,
	FAULT_CRASH,
	FAULT_PAUSE,
	FAULT_CUT,
	FAULT_CUT_BUSY,
	FAULT_COUNT
};
static const char *const fault_names[] = { "steady", "crash", "pause", "cut",
					   "cut_busy" };

/* One instance per fault; the caller's balancer avoids one that is away. */
static void begin_fault(struct fleet *f, enum fault fault)
{
	if (fault == FAULT_CRASH) {
		node_stop(&f->nodes[2]);
		f->nodes[2].down_until = f->now + 5 * HM_SEC;
	} else if (fault == FAULT_PAUSE) {
		f->nodes[2].paused_until = f->now + 5 * HM_SEC;
	} else if (fault == FAULT_CUT) {
		f->cut = 1U << 2;
	} else if (fault == FAULT_CUT_BUSY) {
		f->cut = 1U;
	}
}

struct tally {
	uint64_t offered, refused, fixed_refused;
};

/* All that is offered is inside the contract, so each refusal is wrong. */
static struct tally run_inside(enum fault fault, uint32_t load,
			       hm_time far_delay)
{
	struct fleet *f = fleet_new(9, 200, 200);
	struct bucket callers = f->limit;
	struct bucket fixed[INSTANCES];
	struct tally t = { 0 };
	hm_time end = 60 * HM_SEC;
	bool faulty = false;
	uint32_t i;

	f->far_delay = far_delay;
	for (i = 0; i < INSTANCES; i++)
		fixed[i] = (struct bucket){ 200 / 7, 200 / 7, 28 * TOKEN, 0 };
	while (f->now < 4 * HM_SEC)
		fleet_step(f);
	callers.at = f->now;
	while (f->now < end) {
		uint32_t to = 0;

		fleet_step(f);
		if (!faulty && f->now > end / 3) {
			begin_fault(f, fault);
			faulty = true;
		}
		if (f->now > end * 2 / 3)
			f->cut = 0;
		if (rng_below(&f->rng, HM_SEC) >= (uint64_t)load * f->step)
			continue;
		if (rng_below(&f->rng, 100) >= 90)
			to = (uint32_t)(1 + rng_below(&f->rng, INSTANCES - 1));
		if (!runs(f, &f->nodes[to]))
			to = 3;
		if (!bucket_take(&callers, f->now))
			continue;
		t.fixed_refused += !bucket_take(&fixed[to], f->now);
		offer(f, to);
	}
	while (f->now < end + PATIENCE)
		fleet_step(f);
	ck_assert_uint_eq(f->over, 0);
	ck_assert_uint_eq(f->offered, f->admitted + f->refused);
	t.offered = f->offered;
	t.refused = f->refused;
	fleet_free(f);
	return t;
}

/* Targets: 1 in 10,000 steady, 1 in 1,000 through a fault of the others. */
static void check_tally(const struct tally *t, enum fault fault, uint32_t load)
{
	if (fault == FAULT_NONE)
		ck_assert_uint_le(t->refused * 10000, t->offered);
	else if (fault != FAULT_CUT_BUSY && load == 140)
		ck_assert_uint_le(t->refused * 1000, t->offered);
}

START_TEST(inside_the_rate_is_served)
{
	static const uint32_t loads[] = { 140, 180 };
	hm_time far_delay = _i ? 1500 : 500;
	enum fault fault;
	uint32_t i;

	for (fault = FAULT_NONE; fault < FAULT_COUNT; fault++)
		for (i = 0; i < 2; i++) {
			struct tally t = run_inside(fault, loads[i], far_delay);

			printf("%s delay_us=%d load=%u%% offered=%d "
			       "wrongful=%d fixed=%d\n",
			       fault_names[fault], (int)far_delay, loads[i] / 2,
			       (int)t.offered, (int)t.refused,
			       (int)t.fixed_refused);
			check_tally(&t, fault, loads[i]);
		}
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("rate");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, never_over_contract_under_faults);
	tcase_add_test(tc, cut_zones_share_the_contract);
	tcase_add_loop_test(tc, inside_the_rate_is_served, 0, 2);
	return suite_run("rate", tc);
}
