/** @file loop.c Event loop on top of h2o's evloop. */
#include "loop.h"

#include <glib.h>
#include <h2o.h>
#include <stdatomic.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

#define LOOP_WAIT_MAX_MS 1000

struct posted {
	loop_call call;
	void *arg;
};

struct loop {
	h2o_evloop_t *evloop;
	GSequence *timers; /* armed timers, sorted by time */
	GAsyncQueue *posted;
	int wake_fd;
	struct watch *wake;
	atomic_bool stopped;
};

struct watch {
	h2o_socket_t *socket;
	loop_call readable;
	loop_call writable; /* NULL when not waiting to write */
	void *arg;
};

struct timer {
	struct loop *loop;
	GSequenceIter *node; /* NULL when not armed */
	hm_time at;
	loop_call call;
	void *arg;
};

hm_time loop_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (hm_time)ts.tv_sec * HM_SEC + ts.tv_nsec / 1000;
}

void loop_drain(struct loop *l)
{
	struct posted *p;

	while ((p = g_async_queue_try_pop(l->posted))) {
		p->call(p->arg);
		g_free(p);
	}
}

static void run_posted(void *arg)
{
	struct loop *l = arg;
	uint64_t count;

	if (read(l->wake_fd, &count, sizeof(count)) >= 0)
		loop_drain(l);
}

struct loop *loop_new(void)
{
	struct loop *l = g_new0(struct loop, 1);

	l->evloop = h2o_evloop_create();
	l->timers = g_sequence_new(NULL);
	l->posted = g_async_queue_new_full(g_free);
	l->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	l->wake = watch_new(l, l->wake_fd, run_posted, l);
	return l;
}

void loop_free(struct loop *l)
{
	if (!l)
		return;
	watch_free(l->wake);
	/* h2o frees closed sockets only in the next run of the loop. */
	h2o_evloop_run(l->evloop, 0);
	close(l->wake_fd);
	g_async_queue_unref(l->posted);
	g_sequence_free(l->timers);
	/*
	 * h2o_evloop_destroy() requires that no timeout list is left in the
	 * loop; if one is, the h2o loop is leaked.
	 */
	if (h2o_linklist_is_empty(&l->evloop->_timeouts))
		h2o_evloop_destroy(l->evloop);
	g_free(l);
}

static struct timer *first_timer(const struct loop *l)
{
	GSequenceIter *first = g_sequence_get_begin_iter(l->timers);

	if (g_sequence_iter_is_end(first))
		return NULL;
	return g_sequence_get(first);
}

static void fire_timers(struct loop *l)
{
	hm_time now = loop_now();
	struct timer *t;

	while ((t = first_timer(l)) && t->at <= now) {
		timer_set(t, HM_NEVER);
		t->call(t->arg);
	}
}

static int32_t wait_ms(const struct loop *l)
{
	const struct timer *t = first_timer(l);
	hm_time left;

	if (!t)
		return LOOP_WAIT_MAX_MS;
	left = t->at - loop_now();
	if (left <= 0)
		return 0;
	left = (left + HM_MS - 1) / HM_MS;
	return (int32_t)MIN(left, LOOP_WAIT_MAX_MS);
}

void loop_run(struct loop *l)
{
	while (!atomic_load(&l->stopped)) {
		h2o_evloop_run(l->evloop, wait_ms(l));
		fire_timers(l);
	}
}

static void wake(struct loop *l)
{
	uint64_t one = 1;

	if (write(l->wake_fd, &one, sizeof(one)) < 0)
		return; /* the counter is full, so the loop wakes anyway */
}

void loop_stop(struct loop *l)
{
	atomic_store(&l->stopped, true);
	wake(l);
}

void loop_post(struct loop *l, loop_call call, void *arg)
{
	struct posted *p = g_new(struct posted, 1);

	p->call = call;
	p->arg = arg;
	g_async_queue_push(l->posted, p);
	wake(l);
}

void *loop_h2o(struct loop *l)
{
	return l->evloop;
}

static void on_readable(h2o_socket_t *socket, const char *err)
{
	struct watch *w = socket->data;

	(void)err; /* the callback gets the error from its read */
	w->readable(w->arg);
}

static void on_writable(h2o_socket_t *socket, const char *err)
{
	struct watch *w = socket->data;
	loop_call writable = w->writable;

	(void)err;
	w->writable = NULL;
	writable(w->arg);
}

struct watch *watch_new(struct loop *l, int fd, loop_call readable, void *arg)
{
	struct watch *w = g_new0(struct watch, 1);

	w->readable = readable;
	w->arg = arg;
	w->socket = h2o_evloop_socket_create(l->evloop, dup(fd),
					     H2O_SOCKET_FLAG_DONT_READ);
	w->socket->data = w;
	h2o_socket_read_start(w->socket, on_readable);
	return w;
}

void watch_writable(struct watch *w, loop_call writable)
{
	bool waiting = w->writable != NULL;

	w->writable = writable;
	if (!waiting)
		h2o_socket_notify_write(w->socket, on_writable);
}

void watch_free(struct watch *w)
{
	if (!w)
		return;
	h2o_socket_read_stop(w->socket);
	h2o_socket_close(w->socket);
	g_free(w);
}

static gint compare_timers(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct timer *s = a, *t = b;

	(void)unused;
	return s->at < t->at ? -1 : s->at > t->at;
}

struct timer *timer_new(struct loop *l, loop_call call, void *arg)
{
	struct timer *t = g_new0(struct timer, 1);

	t->loop = l;
	t->call = call;
	t->arg = arg;
	t->at = HM_NEVER;
	return t;
}

void timer_set(struct timer *t, hm_time at)
{
	if (t->node)
		g_sequence_remove(t->node);
	t->node = NULL;
	t->at = at;
	if (at != HM_NEVER)
		t->node = g_sequence_insert_sorted(t->loop->timers, t,
						   compare_timers, NULL);
}

void timer_free(struct timer *t)
{
	if (!t)
		return;
	timer_set(t, HM_NEVER);
	g_free(t);
}
