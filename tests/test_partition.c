/**
 * @file test_partition.c
 * An instance in the minority of a partition reports not ready if other
 * instances can serve its clients, and only then.
 */
#include <check.h>
#include <string.h>

#include "../core/proxy_state.h"
#include "proxy_fixture.h"
#include "suite.h"

#define PEERS 4
#define STEP (200 * HM_MS)

/* Runs for @a span with heartbeats of some peers, with or without samples. */
static void run_with_peers(struct proxy_fixture *r, hm_time span,
			   uint32_t peers, bool samples)
{
	struct service_state *v = r->proxy->views[0];
	hm_time until = r->now + span;
	uint32_t i;

	for (; r->now < until; proxy_fixture_run(r, STEP)) {
		for (i = 0; i < peers; i++) {
			struct message m = { .kind = MSG_HEARTBEAT };

			m.from = 1000 + i;
			m.heartbeat.instance = 1 + i;
			proxy_fixture_message(r, &m);
		}
		if (!samples)
			continue;
		v->sample_count = 1;
		v->samples[0] = (struct view_sample){ r->now, { 1, 50 } };
	}
}

/* Starts a proxy that has an idle session and hears all peers. */
static void open_connected(struct proxy_fixture *r)
{
	proxy_fixture_open(r);
	proxy_fixture_open_session(r, 1, "rota", "secret");
	run_with_peers(r, HM_SEC, PEERS, true);
	g_string_truncate(r->text, 0);
}

/*
 * Guards against needless refusals: two instances were isolated together with
 * the old primary, and refused 250 requests per second that others would have
 * served (akb-utility, trouble-1, from 7.7 s).
 */
START_TEST(minority_of_a_partition_is_not_ready)
{
	struct proxy_fixture r;

	open_connected(&r);
	run_with_peers(&r, 600 * HM_MS, 1, false);
	proxy_text_expect(r.text, "");
	run_with_peers(&r, 600 * HM_MS, 1, false);
	proxy_text_expect(r.text, "ready 0\n");
	run_with_peers(&r, 1600 * HM_MS, 1, false);
	proxy_text_expect(r.text, "");
	run_with_peers(&r, HM_SEC, 1, false);
	proxy_text_expect(r.text, "end 1\n");
	run_with_peers(&r, HM_SEC, PEERS, true);
	proxy_text_expect(r.text, "ready 1\n");
	proxy_fixture_close(&r);
}
END_TEST

/* A partitioned instance still serves the clients that connect to it. */
START_TEST(partitioned_instance_still_serves_clients)
{
	struct proxy_fixture r;

	open_connected(&r);
	run_with_peers(&r, 2 * HM_SEC, 1, false);
	proxy_text_expect(r.text, "ready 0\n");
	proxy_fixture_open_session(&r, 2, "rota", "secret");
	proxy_text_expect(r.text, "answer 2 ok I\n");
	proxy_fixture_request_as(&r, 2, STMT_SET, "s", "tz", "utc");
	proxy_text_expect(r.text, "answer 2 ok I\n");
	proxy_fixture_close(&r);
}
END_TEST

/* Most instances were killed, not cut off: the others must stay ready. */
START_TEST(lost_peers_alone_are_no_partition)
{
	struct proxy_fixture r;

	open_connected(&r);
	run_with_peers(&r, 3 * HM_SEC, 1, true);
	proxy_text_expect(r.text, "");
	proxy_fixture_close(&r);
}
END_TEST

/* The monitors or members are gone; other instances cannot serve either. */
START_TEST(lost_primaries_alone_are_no_partition)
{
	struct proxy_fixture r;

	open_connected(&r);
	run_with_peers(&r, 3 * HM_SEC, PEERS, false);
	proxy_text_expect(r.text, "");
	proxy_fixture_close(&r);
}
END_TEST

/*
 * An instance in the minority of a partition reports ready again after
 * PARTITION_MAX (15 s), even if the partition continues.
 */
START_TEST(instance_is_ready_again_after_a_long_partition)
{
	struct proxy_fixture r;

	open_connected(&r);
	run_with_peers(&r, 2 * HM_SEC, 1, false);
	g_string_truncate(r.text, 0);
	run_with_peers(&r, 15 * HM_SEC, 1, false);
	proxy_text_expect(r.text, "end 1\nready 1\n");
	proxy_fixture_close(&r);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("partition");

	tcase_add_test(tc, minority_of_a_partition_is_not_ready);
	tcase_add_test(tc, partitioned_instance_still_serves_clients);
	tcase_add_test(tc, lost_peers_alone_are_no_partition);
	tcase_add_test(tc, lost_primaries_alone_are_no_partition);
	tcase_add_test(tc, instance_is_ready_again_after_a_long_partition);
	return suite_run("partition", tc);
}
