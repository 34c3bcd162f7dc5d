/**
 * @file test_gossip.c
 * How instances hear of each other: a fleet of state machines without sockets.
 * In a small fleet heartbeats go to all; in a large one digests must tell all
 * instances of a start, a loss and a change in time, with few messages.
 */
#include <check.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "../core/proxy_state.h"
#include "suite.h"

#define ZONES 4
#define DELAY (2 * HM_MS)
#define START (100 * HM_SEC)

struct packet {
	hm_time due;
	uint32_t to;
	struct message message;
};

struct fleet {
	struct proxy **nodes; /* NULL: lost */
	uint64_t *seqs;
	uint32_t count;
	hm_time now;
	struct rng rng;
	GArray *packets;
	struct proxy_output out;
	bool *sent_to; /* by sender and receiver */
	uint64_t sent; /* messages since the last call of messages_a_second() */
	hm_time sent_since;
};

static uint64_t incarnation_of(uint32_t index)
{
	return (uint64_t)index * 7919 % 100003 + 1;
}

static struct proxy *new_node(struct fleet *f, uint32_t index)
{
	struct proxy_options o;

	proxy_options_default(&o);
	o.core.incarnation = incarnation_of(index);
	o.core.instance = 5000 + index;
	o.core.zone = (uint16_t)(index % ZONES);
	o.core.zone_count = ZONES;
	o.core.seed = index + 1;
	/* The first two of each zone are large. */
	o.capacity.processor_millis = index < 2 * ZONES ? 500 : 120;
	g_snprintf(o.core.address, ADDRESS_BYTES, "10.0.0.%u:7", index);
	return proxy_new(&o, f->now);
}

static uint32_t index_of(const struct fleet *f, uint64_t incarnation)
{
	uint32_t i;

	for (i = 0; i < f->count; i++)
		if (incarnation_of(i) == incarnation)
			return i;
	return f->count;
}

static void queue_packet(struct fleet *f, uint32_t from, uint32_t to,
			 const struct message *m)
{
	struct packet p = { .due = f->now + DELAY, .to = to };

	message_copy(&p.message, m);
	p.message.from = incarnation_of(from);
	p.message.seq = ++f->seqs[from];
	g_array_append_val(f->packets, p);
	f->sent_to[from * f->count + to] = true;
	f->sent++;
}

static void send_all(struct fleet *f, uint32_t from)
{
	uint32_t i;
	size_t n;

	for (n = 0; n < f->out.peers.count; n++) {
		const struct action *a = &f->out.peers.list[n];
		uint64_t to = a->send.to;

		if (to == PEER_ANY)
			queue_packet(f, from,
				     (uint32_t)rng_below(&f->rng, f->count),
				     &a->send.message);
		else if (to && index_of(f, to) < f->count)
			queue_packet(f, from, index_of(f, to),
				     &a->send.message);
		/* In a large fleet none are in direct contact here. */
		for (i = 0; !to && !f->nodes[from]->gossip.on && i < f->count;
		     i++)
			if (i != from)
				queue_packet(f, from, i, &a->send.message);
	}
	proxy_output_clear(&f->out);
}

static void step(struct fleet *f, uint32_t index, const struct proxy_event *e)
{
	if (!f->nodes[index])
		return;
	proxy_step(f->nodes[index], e, f->now, &f->out);
	send_all(f, index);
}

static void deliver_due(struct fleet *f)
{
	GArray *due = f->packets;
	struct proxy_event e = { .kind = PROXY_MESSAGE };
	guint i;

	f->packets = g_array_new(FALSE, FALSE, sizeof(struct packet));
	for (i = 0; i < due->len; i++) {
		struct packet *p = &g_array_index(due, struct packet, i);

		if (p->due > f->now) {
			g_array_append_val(f->packets, *p);
			continue;
		}
		e.message = &p->message;
		step(f, p->to, &e);
		message_clear(&p->message);
	}
	g_array_free(due, TRUE);
}

static void run(struct fleet *f, hm_time span)
{
	struct proxy_event tick = { .kind = PROXY_TICKED };
	hm_time until = f->now + span;
	uint32_t i;

	for (; f->now < until; f->now += PROXY_TICK) {
		deliver_due(f);
		for (i = 0; i < f->count; i++)
			step(f, i, &tick);
	}
}

static void open_fleet(struct fleet *f, uint32_t count)
{
	struct proxy_event listed = { .kind = PROXY_LISTED, .listed = count };
	uint32_t i;

	*f = (struct fleet){ .count = count, .now = START };
	f->rng.state = 3;
	f->nodes = calloc(count, sizeof(*f->nodes));
	f->seqs = calloc(count, sizeof(*f->seqs));
	f->sent_to = calloc((size_t)count * count, sizeof(*f->sent_to));
	f->packets = g_array_new(FALSE, FALSE, sizeof(struct packet));
	for (i = 0; i < count; i++) {
		f->nodes[i] = new_node(f, i);
		step(f, i, &listed);
	}
}

static void close_fleet(struct fleet *f)
{
	uint32_t i;

	for (i = 0; i < f->packets->len; i++)
		message_clear(
			&g_array_index(f->packets, struct packet, i).message);
	g_array_free(f->packets, TRUE);
	for (i = 0; i < f->count; i++)
		proxy_free(f->nodes[i]);
	proxy_output_free(&f->out);
	free(f->nodes);
	free(f->seqs);
	free(f->sent_to);
}

/* Number of ordered pairs in which the first regards the second as alive. */
static uint32_t pairs_alive(const struct fleet *f)
{
	uint32_t i, k, n = 0;

	for (i = 0; i < f->count; i++)
		for (k = 0; k < f->count; k++)
			n += i != k && f->nodes[i] &&
			     peers_alive(f->nodes[i]->peers, incarnation_of(k));
	return n;
}

static double messages_a_second(struct fleet *f)
{
	double n = (double)f->sent / f->count /
		   ((double)(f->now - f->sent_since) / HM_SEC);

	f->sent = 0;
	f->sent_since = f->now;
	return n;
}

/* Most instances that one has sent to; each needs a connection. */
static uint32_t most_receivers(const struct fleet *f)
{
	uint32_t i, k, n, most = 0;

	for (i = 0; i < f->count; i++) {
		for (n = 0, k = 0; k < f->count; k++)
			n += f->sent_to[i * f->count + k];
		most = n > most ? n : most;
	}
	return most;
}

START_TEST(small_fleet_sends_heartbeats_to_all)
{
	struct fleet f;

	open_fleet(&f, 40);
	run(&f, 500 * HM_MS);
	ck_assert(!f.nodes[0]->gossip.on);
	ck_assert_uint_eq(pairs_alive(&f), 40 * 39);
	close_fleet(&f);
}
END_TEST

START_TEST(large_fleet_hears_of_all_with_few_messages)
{
	struct fleet f;
	double n;

	open_fleet(&f, 200);
	run(&f, 2 * HM_SEC);
	ck_assert(f.nodes[0]->gossip.on);
	ck_assert_uint_eq(pairs_alive(&f), 200 * 199);
	messages_a_second(&f);
	memset(f.sent_to, 0, (size_t)200 * 200 * sizeof(*f.sent_to));
	run(&f, 6 * HM_SEC);
	/* 6 in the zone, 3 in the others, and any now and then; not all 199 */
	ck_assert_uint_le(most_receivers(&f), 20);
	ck_assert_uint_eq(pairs_alive(&f), 200 * 199);
	n = messages_a_second(&f);
	ck_assert_msg(n < 20, "%f messages a second and instance", n);
	close_fleet(&f);
}
END_TEST

/*
 * Guards against instances that learn of some peers through others, and then
 * choose other owners than those that heard them directly.
 */
START_TEST(all_instances_of_a_large_fleet_agree_on_owners)
{
	struct fleet f;
	uint32_t i;
	hm_id key;

	open_fleet(&f, 150);
	run(&f, 4 * HM_SEC);
	for (key = 1; key < 40; key++) {
		uint16_t zone = (uint16_t)(key % ZONES);
		uint64_t owner =
			peers_owner(f.nodes[0]->peers, key, zone, true);

		ck_assert_uint_lt(index_of(&f, owner), 2 * ZONES);
		for (i = 1; i < f.count; i++)
			ck_assert_uint_eq(
				peers_owner(f.nodes[i]->peers, key, zone, true),
				owner);
	}
	close_fleet(&f);
}
END_TEST

/* All live peers stay so, and the lost one is noticed by all. */
START_TEST(lost_instance_is_noticed_in_a_large_fleet)
{
	struct fleet f;

	open_fleet(&f, 150);
	run(&f, 3 * HM_SEC);
	proxy_free(f.nodes[7]);
	f.nodes[7] = NULL;
	run(&f, 6 * HM_SEC);
	ck_assert_uint_eq(pairs_alive(&f), 149 * 148);
	close_fleet(&f);
}
END_TEST

START_TEST(stop_and_evacuation_spread_in_a_large_fleet)
{
	struct evacuation_report report = { .at = { 0, 9 }, .requested = 2 };
	struct proxy_event evacuate = { .kind = PROXY_EVACUATION,
					.evacuation = &report };
	struct proxy_event stop = { .kind = PROXY_STOP };
	uint32_t i, know = 0, evacuated = 0;
	struct fleet f;

	open_fleet(&f, 150);
	run(&f, 3 * HM_SEC);
	step(&f, 7, &stop);
	step(&f, 20, &evacuate);
	run(&f, 2 * HM_SEC);
	for (i = 0; i < f.count; i++) {
		const struct peer *p =
			peers_find(f.nodes[i]->peers, incarnation_of(7));

		know += p && p->announced_exit;
		evacuated += evacuation_zones(&f.nodes[i]->evacuation) == 2;
	}
	ck_assert_uint_eq(know, f.count - 1);
	ck_assert_uint_eq(evacuated, f.count);
	close_fleet(&f);
}
END_TEST

/* It knows nobody but the list of addresses, and all others know it soon. */
START_TEST(restarted_instance_joins_a_large_fleet)
{
	struct proxy_event listed = { .kind = PROXY_LISTED, .listed = 150 };
	struct fleet f;

	open_fleet(&f, 150);
	run(&f, 3 * HM_SEC);
	proxy_free(f.nodes[7]);
	f.nodes[7] = NULL;
	run(&f, 6 * HM_SEC);
	f.nodes[7] = new_node(&f, 7);
	step(&f, 7, &listed);
	run(&f, 700 * HM_MS);
	ck_assert_uint_ge(peers_count(f.nodes[7]->peers), 149);
	run(&f, 2 * HM_SEC);
	ck_assert_uint_eq(pairs_alive(&f), 150 * 149);
	close_fleet(&f);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("gossip");

	tcase_set_timeout(tc, 120);
	tcase_add_test(tc, small_fleet_sends_heartbeats_to_all);
	tcase_add_test(tc, large_fleet_hears_of_all_with_few_messages);
	tcase_add_test(tc, all_instances_of_a_large_fleet_agree_on_owners);
	tcase_add_test(tc, lost_instance_is_noticed_in_a_large_fleet);
	tcase_add_test(tc, stop_and_evacuation_spread_in_a_large_fleet);
	tcase_add_test(tc, restarted_instance_joins_a_large_fleet);
	return suite_run("gossip", tc);
}
