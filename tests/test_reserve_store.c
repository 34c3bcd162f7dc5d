/**
 * @file test_reserve_store.c
 * Calls for token reserves against the simulated store of the platform, with
 * the decisions of an instance that starts, records and is started again.
 */
#include <check.h>
#include <string.h>

#include "../core/rate_state.h"
#include "../core/token_reserve.h"
#include "../platform/adapter.h"
#include "../src/reserve_store.h"
#include "../standin/object_store.h"
#include "suite.h"

#define WAIT_US (10 * G_TIME_SPAN_SECOND)
#define OWN "000000000000000a"

struct fixture {
	struct object_store *store;
	struct store_era era;
	struct loop *loop;
	struct reserve_store *calls;
	GThread *thread;
	GAsyncQueue *done;
	struct token_reserve *reserve;
	struct proxy_output out;
	hm_time now; /* simulated */
};

static void on_event(void *owner, const struct proxy_event *e)
{
	struct fixture *r = owner;

	ck_assert_int_eq(e->kind, PROXY_RESERVED);
	token_reserve_answer(r->reserve, e->reserve, r->now, &r->out);
	g_async_queue_push(r->done, r);
}

static gpointer run_loop(gpointer loop)
{
	loop_run(loop);
	return NULL;
}

/* Makes all calls that follow from a tick. */
static void make_calls(struct fixture *r)
{
	size_t i;
	bool called = true;

	token_reserve_tick(r->reserve, 0, r->now, &r->out);
	while (called) {
		struct proxy_output out = r->out;

		r->out = (struct proxy_output){ 0 };
		called = false;
		for (i = 0; i < out.count; i++)
			if (out.list[i].kind == PROXY_RESERVE) {
				reserve_store_submit(r->calls,
						     out.list[i].reserve);
				called = true;
			}
		if (called)
			ck_assert_ptr_nonnull(
				g_async_queue_timeout_pop(r->done, WAIT_US));
		proxy_output_free(&out);
	}
}

/* One process; returns the tokens it can issue after @a span. */
static int64_t run_process(struct fixture *r, uint64_t incarnation,
			   hm_time span)
{
	struct core_options o = { .instance = 10,
				  .incarnation = incarnation,
				  .zone_count = 1,
				  .peer_silent = HM_SEC,
				  .start_wait = HM_SEC / 2 };
	struct contract c = {
		.account = 3, .version = 1, .rate = 100, .burst = 100
	};
	struct peers *peers = peers_new(&o, r->now);
	struct rate *rate = rate_new(&o, peers, r->now);
	struct actions actions = { 0 };
	hm_time until = r->now + span;
	int64_t available;

	r->reserve = token_reserve_new(&o, rate, peers, r->now);
	rate_set_contract(rate, &c, r->now);
	for (; r->now <= until; r->now += PROXY_TICK) {
		rate_tick(rate, r->now, &actions);
		make_calls(r);
	}
	available = rate_available(rate, rate_find(rate, 3), r->now) / TOKEN;
	actions_free(&actions);
	token_reserve_free(r->reserve);
	rate_free(rate);
	peers_free(peers);
	return available;
}

/* Guards the format of the object and the conditions of its writes. */
START_TEST(reserve_is_recorded_and_claimed)
{
	struct fixture r = { .now = HM_SEC };
	struct proxy_sink sink = { on_event, &r };
	struct reserve_store_options o = { .api = &platform_site,
					   .era = &r.era,
					   .call_limit = HM_SEC };

	r.store = object_store_new(NULL);
	r.loop = loop_new();
	o.store_address = object_store_address(r.store);
	r.calls = reserve_store_new(r.loop, &o, sink);
	r.done = g_async_queue_new();
	r.thread = g_thread_new("loop", run_loop, r.loop);
	object_store_put(r.store, "token-reserves", OWN,
			 "{\"era\": 99, \"accounts\": {\"3\": 37}}");
	ck_assert_int_eq(run_process(&r, 1, 20 * HM_MS), 0); /* other era */
	ck_assert_int_eq(run_process(&r, 2, 14 * HM_SEC), 38);
	ck_assert_int_eq(run_process(&r, 3, 20 * HM_MS), 37);
	ck_assert_int_eq(run_process(&r, 4, 20 * HM_MS), 0);
	object_store_set_down(r.store, true);
	ck_assert_int_eq(run_process(&r, 5, 20 * HM_MS), 0);
	ck_assert_uint_gt(reserve_store_calls(r.calls), 10);
	loop_stop(r.loop);
	g_thread_join(r.thread);
	reserve_store_free(r.calls);
	g_async_queue_unref(r.done);
	proxy_output_free(&r.out);
	loop_free(r.loop);
	object_store_free(r.store);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("reserve_store");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, reserve_is_recorded_and_claimed);
	return suite_run("reserve_store", tc);
}
