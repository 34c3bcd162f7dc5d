/**
 * @file test_placement.c
 * Where reads go among the members of a service when members fail, are slow or
 * lag. The decisions run without a network; a member is a table row.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../core/proxy_state.h"
#include "../core/rng.h"
#include "suite.h"

#define MEMBERS 4
#define SERVICE 50
#define READS 4000
#define READ_EVERY (2 * HM_MS)
#define SEED 5

/** A member of the replay. */
struct fake {
	hm_time exec;	 /* execution time of a read */
	uint32_t fails;	 /* share of reads that fail, in percent */
	bool fails_fast; /* failures take 1 ms */
	uint32_t reads;
	uint32_t failed;
};

struct replay {
	struct proxy *proxy;
	struct proxy_output out;
	struct rng rng;
	struct fake members[MEMBERS]; /* the first one is the primary */
	hm_time now;
};

static void open_replay(struct replay *r, bool learned)
{
	struct site_members *m = calloc(1, sizeof(*m));
	struct proxy_event e = { .kind = PROXY_MEMBERS, .members = m };
	struct proxy_options o;
	uint32_t i;

	memset(r, 0, sizeof(*r));
	r->now = 10 * HM_SEC;
	r->rng.state = SEED;
	proxy_options_default(&o);
	o.core.incarnation = 1;
	o.core.instance = 1;
	o.core.zone_count = 1;
	o.scheduling.learned_placement = learned;
	r->proxy = proxy_new(&o, r->now);
	m->at.revision = 1;
	for (i = 0; i < MEMBERS; i++) {
		struct site_member member = { .endpoint = i + 1,
					      .service = SERVICE,
					      .slots = 4,
					      .registered_primary = !i };

		snprintf(member.name, sizeof(member.name), "m%u", i);
		site_members_add(m, &member);
		r->members[i].exec = 18 * HM_MS;
	}
	proxy_step(r->proxy, &e, r->now, &r->out);
}

static void close_replay(struct replay *r)
{
	proxy_free(r->proxy);
	proxy_output_free(&r->out);
}

static struct fake *fake_of(struct replay *r, hm_id endpoint)
{
	return &r->members[endpoint - 1];
}

/* Places a read and records its result at once. */
static void read_once(struct replay *r)
{
	struct member_requirements need = { .service = SERVICE };
	struct placement at = place_choose(r->proxy, &need, r->now);
	struct fake *m = fake_of(r, at.endpoint);
	bool fails = rng_below(&r->rng, 100) < m->fails;
	struct member_attempt a = {
		.outcome = fails ? MEMBER_FAILED : MEMBER_SERVED,
		.took = fails && m->fails_fast ? HM_MS : m->exec,
	};

	m->reads++;
	m->failed += fails;
	r->now += READ_EVERY;
	place_record(r->proxy, at.endpoint, &a, r->now, &r->out);
	proxy_output_clear(&r->out);
}

static void read_many(struct replay *r)
{
	int i;

	for (i = 0; i < READS; i++)
		read_once(r);
}

/*
 * A replica whose health is good fails 45% of its reads, and fails them fast.
 * By its times alone it would be the best one and get all reads.
 */
START_TEST(failing_replica_is_ejected)
{
	struct replay r;

	open_replay(&r, true);
	r.members[2].fails = 45;
	r.members[2].fails_fast = true;
	read_many(&r);
	ck_assert_uint_lt(r.members[2].failed, READS / 100);
	ck_assert_uint_gt(r.members[1].reads, READS / 4);
	ck_assert_uint_ge(r.proxy->counters.ejections, 1);
	/* It works again: its probes bring it back. */
	r.members[2].fails = 0;
	read_many(&r);
	ck_assert_uint_gt(r.members[2].reads, READS / 8);
	close_replay(&r);
}
END_TEST

/* Without the switch nothing is learned and the share of failures stays. */
START_TEST(switched_off_nothing_is_ejected)
{
	struct replay r;

	open_replay(&r, false);
	r.members[1].fails = 45;
	read_many(&r);
	ck_assert_uint_eq(r.members[1].reads, READS);
	ck_assert_uint_eq(r.proxy->counters.ejections, 0);
	close_replay(&r);
}
END_TEST

/* All replicas fail alike: one always stays, and so does the primary. */
START_TEST(members_are_kept_when_all_fail)
{
	struct replay r;
	int i;

	open_replay(&r, true);
	for (i = 0; i < MEMBERS; i++)
		r.members[i].fails = 60;
	read_many(&r);
	for (i = 1; i < MEMBERS; i++)
		ck_assert_uint_gt(r.members[i].reads, 0);
	ck_assert_uint_lt(r.proxy->counters.ejections, MEMBERS - 1);
	close_replay(&r);
}
END_TEST

/* A replica at a third of the speed of the others gets the fewest reads. */
START_TEST(slow_replica_gets_fewer_reads)
{
	struct replay r;

	open_replay(&r, true);
	r.members[3].exec = 54 * HM_MS;
	read_many(&r);
	ck_assert_uint_lt(r.members[3].reads, READS / 50);
	ck_assert_uint_gt(r.members[1].reads, READS / 4);
	ck_assert_uint_gt(r.members[2].reads, READS / 4);
	close_replay(&r);
}
END_TEST

/* Equal members share the reads; one choice for all would form a herd. */
START_TEST(equal_replicas_share_reads)
{
	struct replay r;
	int i;

	open_replay(&r, true);
	read_many(&r);
	for (i = 1; i < MEMBERS; i++)
		ck_assert_uint_gt(r.members[i].reads, READS / 4);
	close_replay(&r);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("placement");

	tcase_add_test(tc, failing_replica_is_ejected);
	tcase_add_test(tc, switched_off_nothing_is_ejected);
	tcase_add_test(tc, members_are_kept_when_all_fail);
	tcase_add_test(tc, slow_replica_gets_fewer_reads);
	tcase_add_test(tc, equal_replicas_share_reads);
	return suite_run("placement", tc);
}
