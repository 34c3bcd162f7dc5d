/** @file test_owners.c Members of an instance by its capacity and its load. */
#include <check.h>
#include <string.h>

#include "../core/proxy_state.h"
#include "../src/heartbeat_forms.h"
#include "proxy_fixture.h"
#include "suite.h"

static void state_capacity(struct proxy_fixture *r, uint32_t millis)
{
	r->proxy->options.capacity.processor_millis = millis;
	peers_own_capacity(r->proxy->peers, &r->proxy->options.capacity);
}

static void hear_peer(struct proxy_fixture *r, uint64_t number, bool stopped)
{
	struct message m = { .kind = MSG_HEARTBEAT, .from = 10 + number };

	m.heartbeat.instance = 1010 + number;
	m.heartbeat.zone = r->proxy->options.core.zone;
	m.heartbeat.features = PEER_STATES_CAPACITY;
	m.heartbeat.capacity.processor_millis = 500;
	m.heartbeat.stopped = stopped;
	proxy_fixture_message(r, &m);
}

/* Guards against members that stay at a small instance, or at none. */
START_TEST(small_instance_owns_members_until_large_ones_come)
{
	struct proxy_counters c;
	struct proxy_fixture r;

	proxy_fixture_open(&r);
	state_capacity(&r, 120);
	hear_peer(&r, 1, false);
	hear_peer(&r, 2, false);
	proxy_fixture_run(&r, PROXY_TICK);
	proxy_get_counters(r.proxy, &c);
	ck_assert_uint_eq(c.members_owned, 0);
	ck_assert_uint_eq(c.members_gained, 2);
	ck_assert_uint_eq(c.members_lost, 2);
	hear_peer(&r, 1, true);
	hear_peer(&r, 2, true);
	proxy_fixture_run(&r, PROXY_TICK);
	proxy_get_counters(r.proxy, &c);
	ck_assert_uint_eq(c.members_owned, 2);
	proxy_fixture_close(&r);
}
END_TEST

/* Guards against peers that do not learn of it, and against busy unasked. */
START_TEST(busy_instance_tells_its_peers_at_once)
{
	struct proxy_event tick = { .kind = PROXY_TICKED };
	struct proxy_fixture r;
	struct heartbeat h = { 0 };
	uint32_t i, stated;

	for (stated = 0; stated < 2; stated++) {
		proxy_fixture_open(&r);
		state_capacity(&r, stated ? 500 : 0);
		for (i = 0; i < 100; i++) {
			r.now += 100 * HM_MS;
			proxy_fixture_step(&r, &tick);
			if (r.proxy->options.capacity.busy)
				break;
		}
		ck_assert_uint_eq(r.proxy->counters.busy_changes, stated);
		if (stated)
			ck_assert_uint_gt(r.sent[MSG_HEARTBEAT], 0);
		proxy_fill_heartbeat(r.proxy, &h, r.now);
		ck_assert_uint_eq(h.capacity.busy, stated);
		proxy_fixture_close(&r);
	}
}
END_TEST

/* Guards against a change that is hidden in a short heartbeat. */
START_TEST(changed_capacity_is_sent_in_full)
{
	struct heartbeat_forms forms = { 0 };
	struct message m = { .kind = MSG_HEARTBEAT, .seq = 1 };

	heartbeat_forms_send(&forms, &m, 0);
	m = (struct message){ .kind = MSG_HEARTBEAT, .seq = 2 };
	heartbeat_forms_send(&forms, &m, 1);
	ck_assert_int_eq(m.kind, MSG_HEARTBEAT_REPEATED);
	m = (struct message){ .kind = MSG_HEARTBEAT, .seq = 3 };
	m.heartbeat.capacity.busy = true;
	heartbeat_forms_send(&forms, &m, 2);
	ck_assert_int_eq(m.kind, MSG_HEARTBEAT);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("owners");

	tcase_add_test(tc, small_instance_owns_members_until_large_ones_come);
	tcase_add_test(tc, busy_instance_tells_its_peers_at_once);
	tcase_add_test(tc, changed_capacity_is_sent_in_full);
	return suite_run("owners", tc);
}
