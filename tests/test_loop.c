/** @file test_loop.c Timers in order, posted calls, watches. */
#include <check.h>
#include <stdlib.h>
#include <unistd.h>

#include "../src/bodies.h"
#include "../src/loop.h"
#include "suite.h"

struct run {
	struct loop *loop;
	struct watch *watch;
	int fds[2];
	char order[8];
	int count;
};

static void note(struct run *r, char c)
{
	r->order[r->count++] = c;
	r->order[r->count] = 0;
}

static void first(void *arg)
{
	note(arg, '1');
}

static void second(void *arg)
{
	struct run *r = arg;

	note(r, '2');
	ck_assert_int_eq(write(r->fds[1], "x", 1), 1);
}

static void readable(void *arg)
{
	struct run *r = arg;
	char c;

	ck_assert_int_eq(read(r->fds[0], &c, 1), 1);
	note(r, c);
	watch_free(r->watch);
	r->watch = NULL;
	loop_stop(r->loop);
}

static void posted(void *arg)
{
	note(arg, 'p');
}

START_TEST(calls_in_order)
{
	struct run r = { 0 };
	struct timer *a, *b;

	ck_assert_int_eq(pipe(r.fds), 0);
	r.loop = loop_new();
	r.watch = watch_new(r.loop, r.fds[0], readable, &r);
	b = timer_new(r.loop, second, &r);
	a = timer_new(r.loop, first, &r);
	timer_set(b, loop_now() + 40 * HM_MS);
	timer_set(a, loop_now() + 20 * HM_MS);
	loop_post(r.loop, posted, &r);
	loop_run(r.loop);
	ck_assert_str_eq(r.order, "p12x");
	timer_free(a);
	timer_free(b);
	loop_free(r.loop);
	close(r.fds[0]);
	close(r.fds[1]);
}
END_TEST

START_TEST(bodies_expire_and_drop)
{
	struct bodies *b = bodies_new();
	GBytes *bytes = g_bytes_new_static("abc", 3);
	uint64_t one = bodies_put(b, bytes, 10);
	uint64_t two = bodies_put(b, bytes, 20);

	ck_assert_uint_ne(one, two);
	bodies_expire(b, 10);
	ck_assert_ptr_null(bodies_get(b, one));
	ck_assert_ptr_eq(bodies_get(b, two), bytes);
	bodies_drop(b, two);
	ck_assert_uint_eq(bodies_count(b), 0);
	g_bytes_unref(bytes);
	bodies_free(b);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("loop");

	tcase_add_test(tc, calls_in_order);
	tcase_add_test(tc, bodies_expire_and_drop);
	return suite_run("loop", tc);
}
