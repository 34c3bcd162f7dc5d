/**
 * @file test_peer_links.c
 * Links between two instances over loopback: a heartbeat arrives as it was
 * sent, also in its short form, after a change, and after a restart.
 */
#include <check.h>
#include <string.h>

#include "../src/peer.h"
#include "suite.h"

#define FIRST "127.0.0.1:26871"
#define SECOND "127.0.0.1:26872"
#define BEAT (20 * HM_MS)
#define WAIT_MAX (5 * HM_SEC)

struct side {
	struct bodies *bodies;
	struct peer_links *links;
	uint64_t incarnation;
	uint64_t seq;
	struct heartbeat state; /* what it sends */
	struct heartbeat heard;
	uint64_t heard_count;
	uint64_t heard_from;
};

struct bed {
	struct loop *loop;
	struct timer *timer;
	struct side sides[2];
	hm_time until;
	bool (*reached)(const struct bed *b);
	bool ok;
};

static void on_event(void *owner, const struct event *e)
{
	struct side *s = owner;

	if (e->kind != EV_MESSAGE || e->message->kind != MSG_HEARTBEAT)
		return;
	s->heard = e->message->heartbeat;
	s->heard_from = e->message->from;
	s->heard_count++;
}

static void open_side(struct bed *b, int index, uint64_t incarnation)
{
	struct side *s = &b->sides[index];
	static const char addresses[2][ADDRESS_BYTES] = { FIRST, SECOND };

	memset(s, 0, sizeof(*s));
	s->incarnation = incarnation;
	s->bodies = bodies_new();
	s->links = peer_links_new(b->loop, addresses[index], incarnation,
				  s->bodies, (struct sink){ on_event, s });
	ck_assert_ptr_nonnull(s->links);
	peer_links_set_addresses(s->links, addresses, 2);
	s->state.instance = 100 + incarnation;
	s->state.features = 6;
}

static void close_side(struct bed *b, int index)
{
	peer_links_free(b->sides[index].links);
	bodies_free(b->sides[index].bodies);
}

static void send_heartbeat(struct side *s)
{
	struct message m = { .kind = MSG_HEARTBEAT, .from = s->incarnation };

	m.seq = ++s->seq;
	m.heartbeat = s->state;
	m.heartbeat.store_read_ago = (hm_time)s->seq;
	peer_links_send(s->links, 0, &m);
}

static void on_beat(void *arg)
{
	struct bed *b = arg;
	hm_time now = loop_now();

	send_heartbeat(&b->sides[0]);
	send_heartbeat(&b->sides[1]);
	b->ok = b->reached(b);
	if (b->ok || now > b->until)
		loop_stop(b->loop);
	else
		timer_set(b->timer, now + BEAT);
}

static void open_bed(struct bed *b)
{
	memset(b, 0, sizeof(*b));
	b->loop = loop_new();
	open_side(b, 0, 1);
	open_side(b, 1, 2);
	b->until = loop_now() + WAIT_MAX;
	b->timer = timer_new(b->loop, on_beat, b);
	timer_set(b->timer, loop_now());
}

static void close_bed(struct bed *b)
{
	timer_free(b->timer);
	close_side(b, 0);
	close_side(b, 1);
	loop_free(b->loop);
}

/* Several repeated heartbeats, then a change that no repeated one shows. */
static bool change_arrived(const struct bed *b)
{
	struct bed *bed = (struct bed *)b;

	if (b->sides[1].heard_count == 20)
		bed->sides[0].state.config_version = 9;
	return b->sides[1].heard_count > 20 &&
	       b->sides[1].heard.config_version == 9;
}

START_TEST(change_arrives_among_repeated_heartbeats)
{
	struct bed b;

	open_bed(&b);
	b.reached = change_arrived;
	loop_run(b.loop);
	ck_assert(b.ok);
	ck_assert_uint_eq(b.sides[1].heard.instance, 101);
	ck_assert_uint_eq(b.sides[1].heard_from, 1);
	/* These differ in each heartbeat, also in a repeated one. */
	ck_assert_int_gt(b.sides[1].heard.store_read_ago, 10);
	ck_assert_uint_gt(b.sides[1].heard.echo, 0);
	/* It arrives in the extension of the full heartbeat. */
	ck_assert_uint_eq(b.sides[1].heard.features, 6);
	close_bed(&b);
}
END_TEST

/* Restarts side 1 once both hear each other; true when they do again. */
static bool restarted_hears(const struct bed *b)
{
	struct bed *bed = (struct bed *)b;

	if (b->sides[1].incarnation == 2 && b->sides[0].heard_count > 10 &&
	    b->sides[1].heard_count > 10) {
		close_side(bed, 1);
		open_side(bed, 1, 3);
		return false;
	}
	return b->sides[1].incarnation == 3 && b->sides[1].heard_count > 5 &&
	       b->sides[0].heard_from == 3;
}

/* Its peer goes on with repeated heartbeats, of which it lacks the original. */
START_TEST(restarted_instance_is_sent_a_full_heartbeat)
{
	struct bed b;

	open_bed(&b);
	b.reached = restarted_hears;
	loop_run(b.loop);
	ck_assert(b.ok);
	ck_assert_uint_eq(b.sides[1].heard.instance, 101);
	close_bed(&b);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("peer_links");

	tcase_add_test(tc, change_arrives_among_repeated_heartbeats);
	tcase_add_test(tc, restarted_instance_is_sent_a_full_heartbeat);
	return suite_run("peer_links", tc);
}
