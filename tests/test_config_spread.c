/**
 * @file test_config_spread.c
 * A zone of instances of which two watch the store, in virtual time: each
 * version of the configuration comes into force at all of them in time.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../core/proxy.h"
#include "../core/rng.h"
#include "../core/site_config.h"
#include "suite.h"

#define INSTANCES 24
#define ROUTES 160
#define VERSIONS_MAX 32
#define START (100 * HM_SEC)
/* A configuration is to be in force 3 s after its acknowledgement. */
#define IN_FORCE_WITHIN (3 * HM_SEC)
/* Time of a read from the store, and of a copy from a peer. */
#define READ_TIME (10 * HM_MS)
#define COPY_TIME (30 * HM_MS)
#define SCHEDULE_EVERY (100 * HM_MS)
#define PACKETS_MAX 4096
/* An instance that is not scheduled, once in 3 s on average. */
#define ASLEEP_TIME (200 * HM_MS)
#define ASLEEP_EVERY_MS 3000

/* A message in transit, or a version that is about to arrive. */
struct packet {
	hm_time at;
	uint32_t to;
	uint64_t version; /* 0: a message */
	struct message message;
};

struct zone_fixture {
	struct proxy *proxies[INSTANCES];
	uint64_t seq[INSTANCES];
	struct packet *packets;
	uint32_t packet_count;
	hm_time now;
	uint64_t newest; /* in the store */
	hm_time written_at[VERSIONS_MAX];
	hm_time latest; /* longest time until a version was in force */
	uint32_t reads; /* from the store, by instances that do not watch */
	bool sleepy;	/* instances are not scheduled for a while */
	struct rng rng;
	hm_time asleep_until[INSTANCES];
};

static uint64_t incarnation_of(uint32_t i)
{
	return 1000 + i;
}

static void send_packet(struct zone_fixture *z, uint32_t to, hm_time delay,
			uint64_t version, const struct message *m)
{
	struct packet *p = &z->packets[z->packet_count++];

	ck_assert_uint_lt(z->packet_count, PACKETS_MAX);
	*p = (struct packet){ z->now + delay, to, version, { 0 } };
	if (m)
		p->message = *m;
}

/* Peers differ in distance, so that they hear of a change in a fixed order. */
static hm_time distance(uint32_t from, uint32_t to)
{
	return HM_MS + (from * 5 + to * 3) % 8 * 250;
}

static uint64_t version_of(const struct zone_fixture *z, uint32_t i)
{
	struct proxy_counters c;

	proxy_get_counters(z->proxies[i], &c);
	return c.config_version;
}

static void send_message(struct zone_fixture *z, uint32_t from, uint64_t to,
			 const struct message *m)
{
	struct message copy = *m;
	uint32_t i;

	if (m->kind != MSG_HEARTBEAT && m->kind != MSG_DOCUMENT_REQUEST)
		return;
	copy.from = incarnation_of(from);
	copy.seq = ++z->seq[from];
	for (i = 0; i < INSTANCES; i++)
		if (i != from && (!to || to == incarnation_of(i)))
			send_packet(z, i, distance(from, i), 0, &copy);
}

static void step(struct zone_fixture *z, uint32_t i,
		 const struct proxy_event *e)
{
	struct proxy_output out = { 0 };
	size_t n;

	proxy_step(z->proxies[i], e, z->now, &out);
	for (n = 0; n < out.peers.count; n++)
		send_message(z, i, out.peers.list[n].send.to,
			     &out.peers.list[n].send.message);
	for (n = 0; n < out.count; n++)
		if (out.list[n].kind == PROXY_SHARE_DOCUMENT)
			send_packet(z,
				    (uint32_t)(out.list[n].share.to -
					       incarnation_of(0)),
				    COPY_TIME, version_of(z, i), NULL);
	proxy_output_free(&out);
}

static void configure(struct zone_fixture *z, uint32_t i, uint64_t version)
{
	struct site_config *c = calloc(1, sizeof(*c));
	struct proxy_event e = { .kind = PROXY_CONFIG, .config = c };
	uint64_t before = version_of(z, i), v;
	uint32_t k;

	c->version = version;
	c->routes = calloc(ROUTES, sizeof(*c->routes));
	c->route_count = ROUTES;
	for (k = 0; k < ROUTES; k++)
		c->routes[k].database = k + 1;
	site_config_index(c);
	step(z, i, &e);
	for (v = before + 1; v <= version; v++)
		if (z->now - z->written_at[v] > z->latest)
			z->latest = z->now - z->written_at[v];
}

static void deliver(struct zone_fixture *z, const struct packet *p)
{
	struct proxy_event e = { .kind = PROXY_MESSAGE };
	struct message m = p->message;

	if (p->version) {
		configure(z, p->to, p->version);
		return;
	}
	e.message = &m;
	step(z, p->to, &e);
}

static void deliver_due(struct zone_fixture *z)
{
	struct packet due;
	uint32_t i, first;

	for (;;) {
		for (i = 1, first = 0; i < z->packet_count; i++)
			if (z->packets[i].at < z->packets[first].at)
				first = i;
		if (!z->packet_count || z->packets[first].at > z->now)
			return;
		if (z->asleep_until[z->packets[first].to] > z->now) {
			z->packets[first].at =
				z->asleep_until[z->packets[first].to];
			continue;
		}
		due = z->packets[first];
		z->packets[first] = z->packets[--z->packet_count];
		deliver(z, &due);
	}
}

static bool is_asleep(struct zone_fixture *z, uint32_t i)
{
	if (z->sleepy && z->asleep_until[i] <= z->now &&
	    !rng_below(&z->rng, ASLEEP_EVERY_MS))
		z->asleep_until[i] = z->now + ASLEEP_TIME;
	return z->asleep_until[i] > z->now;
}

static void run(struct zone_fixture *z, hm_time span)
{
	struct proxy_event tick = { .kind = PROXY_TICKED };
	hm_time until = z->now + span;
	uint32_t i;

	for (; z->now < until; z->now += HM_MS) {
		deliver_due(z);
		for (i = 0; i < INSTANCES; i++) {
			hm_time phase = z->now + (hm_time)i * 13 * HM_MS;

			if (is_asleep(z, i))
				continue;
			if (phase % PROXY_TICK == 0)
				step(z, i, &tick);
			if (phase % SCHEDULE_EVERY == 0 &&
			    proxy_reads_document(z->proxies[i], DOCUMENT_CONFIG,
						 z->now)) {
				z->reads++;
				send_packet(z, i, READ_TIME, z->newest, NULL);
			}
		}
	}
}

/* Writes a version to the store; the watchers get it at once. */
static void write_version(struct zone_fixture *z)
{
	uint32_t i;

	z->newest++;
	ck_assert_uint_lt(z->newest, VERSIONS_MAX);
	z->written_at[z->newest] = z->now;
	for (i = 0; i < INSTANCES; i++)
		if (proxy_watches_store(z->proxies[i], z->now))
			send_packet(z, i, READ_TIME, z->newest, NULL);
}

static void zone_open(struct zone_fixture *z)
{
	struct proxy_event store = { .kind = PROXY_STORE, .store_ok = true };
	struct proxy_options o;
	uint32_t i;

	memset(z, 0, sizeof(*z));
	z->now = START;
	z->packets = calloc(PACKETS_MAX, sizeof(*z->packets));
	for (i = 0; i < INSTANCES; i++) {
		struct site_members *m = calloc(1, sizeof(*m));
		struct proxy_event members = { .kind = PROXY_MEMBERS,
					       .members = m };

		proxy_options_default(&o);
		o.core.incarnation = incarnation_of(i);
		o.core.instance = 1 + i;
		o.core.zone_count = 1;
		o.core.seed = 1 + i;
		z->proxies[i] = proxy_new(&o, z->now);
		m->at.revision = 1;
		step(z, i, &store);
		step(z, i, &members);
	}
	write_version(z);
	for (i = 0; i < INSTANCES; i++)
		configure(z, i, z->newest);
	run(z, 2 * HM_SEC);
	z->latest = 0;
	z->reads = 0;
}

static void zone_close(struct zone_fixture *z)
{
	uint32_t i;

	for (i = 0; i < INSTANCES; i++)
		proxy_free(z->proxies[i]);
	free(z->packets);
}

/* Intervals between the versions of a series. */
static const hm_time intervals[] = { 150 * HM_MS, 400 * HM_MS, 900 * HM_MS,
				     1700 * HM_MS };

/* Writes a series of versions; each must be in force everywhere in time. */
static void play_series(struct zone_fixture *z, hm_time interval)
{
	uint32_t i;

	for (i = 0; i < VERSIONS_MAX - 3; i++) {
		write_version(z);
		run(z, interval);
	}
	run(z, IN_FORCE_WITHIN);
	for (i = 0; i < INSTANCES; i++)
		ck_assert_uint_eq(version_of(z, i), z->newest);
	ck_assert_int_le(z->latest, IN_FORCE_WITHIN);
}

/*
 * Guards against a configuration that is late during a series of changes: each
 * newer version put off the read from the store that replaces a copy, and the
 * same instances got all the copies (abh-rota-grown, refused with 404 as version
 * 17, acknowledged 5 s before, does not say).
 */
START_TEST(each_version_of_a_series_is_in_force_in_time)
{
	struct zone_fixture z;

	zone_open(&z);
	play_series(&z, intervals[_i]);
	zone_close(&z);
}
END_TEST

/*
 * Guards against a configuration that is late on real processes, which wake
 * late: 13 of 36 instances refused requests as older versions say for over 5 s
 * (adomako-registry-grown, 1,963 cases).
 */
START_TEST(series_is_in_force_in_time_at_instances_that_wake_late)
{
	struct zone_fixture z;

	zone_open(&z);
	z.sleepy = true;
	z.rng.state = 1 + (uint64_t)_i;
	play_series(&z, intervals[_i]);
	/* At most one read a second of each instance that does not watch. */
	ck_assert_int_le(z.reads, INSTANCES * ((VERSIONS_MAX * intervals[_i] +
						IN_FORCE_WITHIN) /
						       HM_SEC +
					       1));
	printf("interval_us=%d latest_us=%d reads=%u\n", (int)intervals[_i],
	       (int)z.latest, z.reads);
	zone_close(&z);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("config_spread");

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, each_version_of_a_series_is_in_force_in_time, 0,
			    sizeof(intervals) / sizeof(intervals[0]));
	tcase_add_loop_test(
		tc, series_is_in_force_in_time_at_instances_that_wake_late, 0,
		sizeof(intervals) / sizeof(intervals[0]));
	return suite_run("config_spread", tc);
}
