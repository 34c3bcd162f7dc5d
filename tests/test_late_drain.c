/**
 * @file test_late_drain.c
 * A leaving member gets no statements after the drain limit, also from an
 * instance that hears late that it leaves.
 */
#include <check.h>
#include <stdlib.h>

#include "../core/proxy_state.h"
#include "pool_fixture.h"
#include "proxy_fixture.h"
#include "suite.h"

/* Passes a heartbeat of a peer that has the list @a revision. */
static void heartbeat(struct proxy_fixture *r, uint64_t instance,
		      uint64_t revision, uint64_t reads, hm_time read_ago)
{
	struct message m = { .kind = MSG_HEARTBEAT, .from = instance };

	m.heartbeat.instance = 1000 + instance;
	m.heartbeat.platform_ok = true;
	m.heartbeat.members.revision = revision;
	m.heartbeat.store_reads = reads;
	m.heartbeat.store_read_ago = read_ago;
	proxy_fixture_message(r, &m);
}

/* Runs beside a peer that has read the store just now. */
static void run_beside_peer(struct proxy_fixture *r, uint64_t revision,
			    hm_time span)
{
	hm_time until = r->now + span;

	for (; r->now < until; proxy_fixture_run(r, 200 * HM_MS))
		heartbeat(r, 10, revision, r->proxy->store_reads + 1, 0);
}

/* Applies the list in force as @a revision; m1 is leaving or not. */
static void apply(struct proxy_fixture *r, uint64_t revision, bool leaving)
{
	struct site_members *m = calloc(1, sizeof(*m));
	struct proxy_event e = { .kind = PROXY_MEMBERS, .members = m };
	uint32_t i;

	m->at.revision = revision;
	for (i = 0; i < r->proxy->members->count; i++)
		site_members_add(m, &r->proxy->members->list[i]);
	m->list[0].leaving = leaving;
	proxy_fixture_step(r, &e);
}

/* Whether the pool of m1 refuses a new statement since its member leaves. */
static bool is_refused(struct proxy_fixture *r)
{
	struct run_request o = pool_fixture_request(1, STMT_WRITE, RUN_SINGLE);
	struct pool *p = services_pool(r->proxy, 1, r->now, &r->out);
	struct run_result *result;
	uint64_t to;
	bool refused;

	o.start_by = r->now + HM_SEC;
	o.deadline = r->now + 2 * HM_SEC;
	pool_submit(p, &o, 10, r->now, &r->out);
	if (!pool_next_result(p, &to, &result))
		return false;
	refused = result->error == ERR_NO_ENDPOINT;
	run_result_free(result);
	return refused;
}

/* An instance that hears its peers knows of it within the limit's reserve. */
START_TEST(drain_begins_with_the_list_that_says_so)
{
	struct proxy_fixture r;

	proxy_fixture_open(&r);
	run_beside_peer(&r, 1, 8 * HM_SEC);
	apply(&r, 2, true);
	run_beside_peer(&r, 2, r.proxy->options.drain_limit - 400 * HM_MS);
	ck_assert(!is_refused(&r));
	proxy_fixture_close(&r);
}
END_TEST

/*
 * Guards against requests to a primary 8.7 s after it had said that it leaves:
 * an instance that was cut off from the store and from its peers meanwhile
 * began a whole drain limit when it heard of it. First it got an outdated list,
 * and peers told it of reads that had found a newer one.
 */
START_TEST(drain_begins_while_the_instance_is_cut_off)
{
	struct proxy_fixture r;

	proxy_fixture_open(&r);
	heartbeat(&r, 11, 1, 0, 0);
	run_beside_peer(&r, 1, HM_SEC);
	/* m1 leaves soon after, and for 6 s no peer is heard. */
	proxy_fixture_run(&r, 6 * HM_SEC);
	/* A peer that was cut off, too, has heard of a read, then of a list. */
	heartbeat(&r, 10, 1, r.proxy->store_reads + 1, 0);
	proxy_fixture_run(&r, 100 * HM_MS);
	heartbeat(&r, 11, 3, r.proxy->store_reads + 1, 0);
	apply(&r, 2, false);
	run_beside_peer(&r, 3, 200 * HM_MS);
	apply(&r, 3, true);
	ck_assert(is_refused(&r));
	proxy_fixture_close(&r);
}
END_TEST

/*
 * Guards against the same requests: the first heartbeats after the cut were old
 * ones, held up in the connections, by which the outdated list was the newest.
 */
START_TEST(held_up_heartbeats_do_not_delay_a_drain)
{
	struct proxy_fixture r;

	proxy_fixture_open(&r);
	run_beside_peer(&r, 1, HM_SEC);
	proxy_fixture_run(&r, 6 * HM_SEC);
	heartbeat(&r, 10, 2, r.proxy->store_reads + 1, 0);
	apply(&r, 2, false);
	proxy_fixture_run(&r, 300 * HM_MS);
	apply(&r, 3, true);
	ck_assert(is_refused(&r));
	proxy_fixture_close(&r);
}
END_TEST

/* A peer that crashed is not heard again; the reads of the others count. */
START_TEST(crashed_peer_does_not_shorten_drains)
{
	struct proxy_fixture r;

	proxy_fixture_open(&r);
	heartbeat(&r, 11, 1, 0, 0);
	run_beside_peer(&r, 1, 8 * HM_SEC);
	apply(&r, 2, true);
	run_beside_peer(&r, 2, r.proxy->options.drain_limit - 3 * HM_SEC);
	ck_assert(!is_refused(&r));
	proxy_fixture_close(&r);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("late_drain");

	tcase_add_test(tc, drain_begins_with_the_list_that_says_so);
	tcase_add_test(tc, drain_begins_while_the_instance_is_cut_off);
	tcase_add_test(tc, held_up_heartbeats_do_not_delay_a_drain);
	tcase_add_test(tc, crashed_peer_does_not_shorten_drains);
	return suite_run("late_drain", tc);
}
