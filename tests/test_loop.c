/** @file test_loop.c Event loop: timers, posts, watches. Store of bodies. */
#include <check.h>
#include <stdlib.h>
#include <unistd.h>

#include "../src/bodies.h"
#include "../src/loop.h"
#include "suite.h"

struct loop_fixture {
	struct loop *loop;
	struct watch *watch;
	int fds[2];
	char order[8];
	int count;
};

static void append(struct loop_fixture *f, char c)
{
	f->order[f->count++] = c;
	f->order[f->count] = 0;
}

static void on_first_timer(void *arg)
{
	append(arg, '1');
}

static void on_second_timer(void *arg)
{
	struct loop_fixture *f = arg;

	append(f, '2');
	ck_assert_int_eq(write(f->fds[1], "x", 1), 1);
}

static void on_readable(void *arg)
{
	struct loop_fixture *f = arg;
	char c;

	ck_assert_int_eq(read(f->fds[0], &c, 1), 1);
	append(f, c);
	watch_free(f->watch);
	f->watch = NULL;
	loop_stop(f->loop);
}

static void on_posted(void *arg)
{
	append(arg, 'p');
}

START_TEST(calls_are_made_in_order)
{
	struct loop_fixture f = { 0 };
	struct timer *a, *b;

	ck_assert_int_eq(pipe(f.fds), 0);
	f.loop = loop_new();
	f.watch = watch_new(f.loop, f.fds[0], on_readable, &f);
	b = timer_new(f.loop, on_second_timer, &f);
	a = timer_new(f.loop, on_first_timer, &f);
	timer_set(b, loop_now() + 40 * HM_MS);
	timer_set(a, loop_now() + 20 * HM_MS);
	loop_post(f.loop, on_posted, &f);
	loop_run(f.loop);
	ck_assert_str_eq(f.order, "p12x");
	timer_free(a);
	timer_free(b);
	loop_free(f.loop);
	close(f.fds[0]);
	close(f.fds[1]);
}
END_TEST

START_TEST(bodies_expire_and_are_dropped)
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

	tcase_add_test(tc, calls_are_made_in_order);
	tcase_add_test(tc, bodies_expire_and_are_dropped);
	return suite_run("loop", tc);
}
