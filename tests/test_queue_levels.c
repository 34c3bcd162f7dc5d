/**
 * @file test_queue_levels.c
 * Statements at a member by urgency: the bounds of the order, and what a pool
 * refuses and states as expected waits.
 */
#include <check.h>
#include <string.h>

#include "../core/fair_queue.h"
#include "pool_fixture.h"
#include "proxy_fixture.h"
#include "suite.h"

#define LEVELS 3

/* Slot time of a statement by level. */
static const hm_time work[LEVELS] = { 6 * HM_MS, 18 * HM_MS, 30 * HM_MS };

static void push(struct fair_queue *fq, hm_id account, enum queue_class class,
		 uint32_t level, hm_time now)
{
	struct queue_item item = { .class = class,
				   .weight = 1,
				   .queued_at = now };

	item.statement.account = account;
	item.statement.level = level;
	fair_queue_push(fq, &item);
}

static struct fair_queue *new_queue(uint32_t slots)
{
	struct fair_queue *fq = fair_queue_new();

	fair_queue_set_levels(fq, LEVELS);
	fair_queue_set_slots(fq, slots);
	return fq;
}

/* Account of the next statement, 0 when none may start. */
static hm_id next_account(struct fair_queue *fq, bool last, hm_time now)
{
	struct queue_item item;

	if (!fair_queue_pop(fq, ~0U, last, now, &item))
		return 0;
	fair_queue_finish(fq, &item, work[item.statement.level], true, now);
	return item.statement.account;
}

/* Guards against a wait for more than open transactions and the floor. */
START_TEST(urgent_statement_is_served_next)
{
	struct fair_queue *fq = new_queue(1);
	hm_id account;

	for (account = 1; account <= 20; account++)
		push(fq, account, QUEUE_READ, 2, 0);
	push(fq, 30, QUEUE_READ, 1, 1);
	push(fq, 31, QUEUE_TX, 2, 2);
	push(fq, 32, QUEUE_READ, 0, 3);
	push(fq, 33, QUEUE_READ, 0, 3);
	ck_assert_uint_eq(next_account(fq, true, 4), 31);
	ck_assert_uint_eq(next_account(fq, true, 4), 32);
	/* The floor gives one statement to the least urgent level. */
	ck_assert_uint_eq(next_account(fq, true, 4), 1);
	ck_assert_uint_eq(next_account(fq, true, 4), 33);
	ck_assert_uint_eq(next_account(fq, true, 4), 30);
	ck_assert_uint_eq(next_account(fq, true, 4), 2);
	fair_queue_free(fq);
}
END_TEST

/*
 * Serves one slot for a minute, always with statements of all accounts queued,
 * of level 0 but for the last account. Returns the share of the last account.
 */
static double share_of_last(uint32_t accounts)
{
	struct fair_queue *fq = new_queue(1);
	struct queue_item item;
	hm_time now = 0, last = 0, used;
	hm_id account;

	for (account = 1; account <= accounts; account++)
		push(fq, account, QUEUE_READ, account < accounts ? 0 : 2, 0);
	while (now < 60 * HM_SEC && fair_queue_pop(fq, ~0U, true, now, &item)) {
		used = work[item.statement.level];
		now += used;
		last += item.statement.account == accounts ? used : 0;
		fair_queue_finish(fq, &item, used, true, now);
		push(fq, item.statement.account, QUEUE_READ,
		     item.statement.level, now);
	}
	fair_queue_free(fq);
	return (double)last / (double)now;
}

/* Guards against starvation by many accounts, none beyond its fair share. */
START_TEST(least_urgent_level_gets_a_sixteenth)
{
	ck_assert(share_of_last(61) >= 1.0 / 16);
	ck_assert(share_of_last(61) < 1.0 / 12);
}
END_TEST

/*
 * Guards against one account that displaces another by urgent work, such as all
 * work of a peer that sends no levels.
 */
START_TEST(urgent_account_gets_its_fair_share_only)
{
	ck_assert(share_of_last(2) > 0.45);
	ck_assert(share_of_last(4) > 0.2);
}
END_TEST

static void push_and_serve(struct fair_queue *fq, hm_id account,
			   enum queue_class class, uint32_t level, hm_time now)
{
	push(fq, account, class, level, now);
	ck_assert_uint_eq(next_account(fq, false, now), account);
}

/* Guards against an urgent statement that finds all slots in long use. */
START_TEST(last_free_slot_is_for_urgent_statements)
{
	struct fair_queue *fq = new_queue(4);

	push_and_serve(fq, 1, QUEUE_READ, 2, 0);
	push_and_serve(fq, 1, QUEUE_TX, 2, 0);
	push_and_serve(fq, 2, QUEUE_READ, 0, HM_MS);
	push(fq, 3, QUEUE_READ, 2, HM_MS);
	ck_assert_uint_eq(next_account(fq, true, 2 * HM_MS), 0);
	push(fq, 4, QUEUE_TX, 2, 2 * HM_MS);
	ck_assert_uint_eq(next_account(fq, true, 2 * HM_MS), 4);
	ck_assert_uint_eq(next_account(fq, true, HM_SEC), 0);
	ck_assert_uint_eq(next_account(fq, true, HM_SEC + HM_MS), 3);
	/* Less urgent but not long. */
	push_and_serve(fq, 2, QUEUE_READ, 0, 2 * HM_SEC);
	push(fq, 5, QUEUE_READ, 1, 2 * HM_SEC);
	ck_assert_uint_eq(next_account(fq, true, 2 * HM_SEC), 5);
	fair_queue_free(fq);
}
END_TEST

static void submit(struct pool_fixture *r, uint64_t id, enum run_scope scope,
		   uint32_t level, hm_time target)
{
	struct run_request o = pool_fixture_request(id, STMT_WRITE, scope);

	if (scope == RUN_INSIDE)
		o.tx.seq = 1;
	else
		o.account = id;
	o.level = level;
	o.start_by = r->now + target;
	pool_fixture_submit(r, &o);
}

/* One slot, in use by statement r2 of the transaction r1. */
static void open_busy(struct pool_fixture *r)
{
	struct run_request o = pool_fixture_request(1, STMT_READ, RUN_FIRST);

	pool_fixture_open(r, 1, 16);
	pool_set_levels(r->pool, LEVELS);
	pool_fixture_add_idle_conn(r);
	pool_fixture_submit(r, &o);
	pool_fixture_reply(r, 1, ERR_NONE, SESSION_OPEN);
	pool_fixture_reply(r, 1, ERR_NONE, SESSION_OPEN);
	submit(r, 2, RUN_INSIDE, 2, HM_SEC);
	pool_fixture_results(r);
	g_string_truncate(r->text, 0);
}

/*
 * Guards against statements that are held until their deadline although more
 * urgent ones took their turn. r3 is in the open transaction and stays.
 */
START_TEST(statement_that_is_too_late_is_displaced)
{
	struct run_request o = pool_fixture_request(6, STMT_WRITE, RUN_SINGLE);
	struct pool_load load;
	struct pool_fixture r;

	open_busy(&r);
	submit(&r, 3, RUN_INSIDE, 2, HM_MS);
	submit(&r, 4, RUN_SINGLE, 2, 12 * HM_MS);
	submit(&r, 5, RUN_SINGLE, 0, HM_SEC);
	proxy_text_expect(r.text, "");
	o.account = 6;
	/* The text leaves out log lines. */
	pool_submit(r.pool, &o, POOL_FIXTURE_INCARNATION, r.now, &r.out);
	ck_assert_uint_eq(r.out.count, 1);
	ck_assert_str_eq(r.out.list[0].line,
			 "event=displaced request=r4 account=acme level=2 "
			 "by_level=0 wait_us=15000");
	pool_fixture_results(&r);
	proxy_text_expect(r.text, "r4: overloaded, not run, I\n");
	pool_load(r.pool, &load);
	ck_assert_uint_eq(load.displaced, 1);
	pool_fixture_close(&r);
}
END_TEST

/* Wait that the refusal of a statement of level 2 states for a level. */
static hm_time stated_wait(struct pool_fixture *r, uint64_t id, uint32_t level)
{
	struct run_result *result;
	hm_time wait;
	uint64_t to;

	submit(r, id, RUN_SINGLE, 2, -HM_MS);
	ck_assert(pool_next_result(r->pool, &to, &result));
	ck_assert_int_eq(result->error, ERR_OVERLOADED);
	ck_assert_int_eq(result->load.known, r->options.scheduling.load_levels);
	wait = result->load.wait[level];
	run_result_free(result);
	return wait;
}

/* Guards against refusals of urgent work because of less urgent work ahead. */
START_TEST(expected_wait_counts_what_is_ahead)
{
	struct pool_fixture r;
	uint64_t id;

	open_busy(&r);
	for (id = 10; id < 20; id++)
		submit(&r, id, RUN_SINGLE, 2, HM_SEC);
	submit(&r, 20, RUN_SINGLE, 1, HM_SEC);
	ck_assert_int_eq(stated_wait(&r, 30, 0), 0);
	ck_assert_int_ge(stated_wait(&r, 31, 1), 1);
	ck_assert_int_gt(stated_wait(&r, 32, 2), stated_wait(&r, 33, 1));
	r.options.scheduling.load_levels = false;
	ck_assert_int_eq(stated_wait(&r, 34, 2), 0);
	pool_fixture_close(&r);
}
END_TEST

/* Guards against priorities of routes that do not reach the queue. */
START_TEST(route_priority_decides_at_the_member)
{
	static const char *const names[] = { "a", "b", "c", "d" };
	struct proxy_fixture r;
	uint64_t i;

	proxy_fixture_open(&r);
	r.view_priority = 5;
	proxy_fixture_configure(&r, true, true, 100);
	for (i = 0; i < 4; i++)
		proxy_fixture_open_session(&r, i, i == 3 ? "rota" : "view",
					   "secret");
	g_string_truncate(r.text, 0);
	for (i = 0; i < 4; i++)
		proxy_fixture_request_as(&r, i, STMT_WRITE, names[i], "",
					 "WRITE x y");
	proxy_text_expect(r.text, "connect 4 m1 acme\nconnect 5 m1 acme\n");
	proxy_fixture_ready(&r, 4);
	proxy_fixture_ready(&r, 5);
	g_string_truncate(r.text, 0);
	proxy_fixture_reply(&r, 4, ERR_NONE, SESSION_IDLE);
	ck_assert_ptr_nonnull(strstr(r.text->str, "statement 4 d WRITE x y\n"));
	proxy_fixture_close(&r);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("queue_levels");

	tcase_add_test(tc, urgent_statement_is_served_next);
	tcase_add_test(tc, least_urgent_level_gets_a_sixteenth);
	tcase_add_test(tc, urgent_account_gets_its_fair_share_only);
	tcase_add_test(tc, last_free_slot_is_for_urgent_statements);
	tcase_add_test(tc, statement_that_is_too_late_is_displaced);
	tcase_add_test(tc, expected_wait_counts_what_is_ahead);
	tcase_add_test(tc, route_priority_decides_at_the_member);
	return suite_run("queue_levels", tc);
}
