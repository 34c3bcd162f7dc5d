/** @file member.c Sets of stand-in members and the thread that runs them. */
#include "member.h"

#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include "../src/loop.h"
#include "node.h"
#include "session.h"

#define NS_PER_US 1000
#define US_PER_SEC 1000000

struct members {
	GMutex lock;	   /**< guards all fields below */
	GArray *databases; /**< of struct database_spec; fixed after start */
	GPtrArray *groups; /**< of GPtrArray of struct node */
	GPtrArray *nodes;
	GThread *thread;
	int wake;
	int timer;
	bool stopping;
	GArray *polled;	    /**< of struct pollfd */
	GPtrArray *targets; /**< of struct poll_target, one per descriptor */
};

/*
 * What a polled descriptor belongs to: a session; without a session, the
 * listener of the node; without a node, the wake-up event or the timer.
 */
struct poll_target {
	struct node *node;
	struct session *session;
};

static bool add_group(struct members *m, const struct database_spec *database,
		      const struct member_options *options)
{
	struct database_spec d = *database;
	GPtrArray *group = g_ptr_array_new();
	struct node *n;
	uint32_t i;

	g_ptr_array_add(m->groups, group);
	for (i = 0; i < d.endpoint_count; i++) {
		n = node_new(d.database, &d.endpoints[i], options, group);
		if (!n)
			return false;
		d.endpoints[i] = n->spec;
		g_ptr_array_add(group, n);
		g_ptr_array_add(m->nodes, n);
		n->log.role = i ? ROLE_REPLICA : ROLE_PRIMARY;
		n->log.following = i ? d.endpoints[0].endpoint : 0;
	}
	g_array_append_val(m->databases, d);
	return true;
}

struct members *members_new(const struct database_spec *databases,
			    uint32_t count,
			    const struct member_options *options)
{
	struct members *m = g_new0(struct members, 1);
	uint32_t i;

	g_mutex_init(&m->lock);
	m->databases = g_array_new(false, false, sizeof(struct database_spec));
	m->groups = g_ptr_array_new();
	m->nodes = g_ptr_array_new();
	m->polled = g_array_new(false, false, sizeof(struct pollfd));
	m->targets = g_ptr_array_new_with_free_func(g_free);
	m->wake = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	m->timer = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
	for (i = 0; i < count; i++)
		if (!add_group(m, &databases[i], options))
			goto fail;
	return m;
fail:
	members_free(m);
	return NULL;
}

static void wake(struct members *m)
{
	uint64_t one = 1;

	if (write(m->wake, &one, sizeof(one)) < 0)
		return;
}

void members_free(struct members *m)
{
	guint i;

	g_mutex_lock(&m->lock);
	m->stopping = true;
	g_mutex_unlock(&m->lock);
	wake(m);
	if (m->thread)
		g_thread_join(m->thread);
	for (i = 0; i < m->nodes->len; i++)
		node_free(m->nodes->pdata[i]);
	for (i = 0; i < m->groups->len; i++)
		g_ptr_array_unref(m->groups->pdata[i]);
	g_array_unref(m->databases);
	g_ptr_array_unref(m->groups);
	g_ptr_array_unref(m->nodes);
	g_array_unref(m->polled);
	g_ptr_array_unref(m->targets);
	close(m->wake);
	close(m->timer);
	g_mutex_clear(&m->lock);
	g_free(m);
}

static void add_polled(struct members *m, int fd, short events,
		       struct node *node, struct session *session)
{
	struct poll_target *o = g_new0(struct poll_target, 1);
	struct pollfd p = { .fd = fd, .events = events };

	o->node = node;
	o->session = session;
	g_array_append_val(m->polled, p);
	g_ptr_array_add(m->targets, o);
}

static short events_of(const struct session *s, hm_time now)
{
	return session_wants_write(s, now) ? POLLIN | POLLOUT : POLLIN;
}

static void poll_node(struct members *m, struct node *n, hm_time now)
{
	struct session *s;
	guint i;

	if (n->faults.paused)
		return;
	add_polled(m, n->listener, POLLIN, n, NULL);
	for (i = 0; i < n->sessions->len; i++) {
		s = n->sessions->pdata[i];
		if (s->fd >= 0)
			add_polled(m, s->fd, events_of(s, now), n, s);
	}
}

/* Runs due work and lists descriptors to poll; returns the next due time. */
static hm_time prepare(struct members *m, hm_time now)
{
	hm_time due = HM_NEVER;
	guint i;

	g_array_set_size(m->polled, 0);
	g_ptr_array_set_size(m->targets, 0);
	add_polled(m, m->wake, POLLIN, NULL, NULL);
	add_polled(m, m->timer, POLLIN, NULL, NULL);
	for (i = 0; i < m->nodes->len; i++)
		node_tick(m->nodes->pdata[i], now);
	for (i = 0; i < m->nodes->len; i++) {
		poll_node(m, m->nodes->pdata[i], now);
		due = MIN(due, node_due(m->nodes->pdata[i], now));
	}
	return due;
}

static void wait_until(struct members *m, hm_time due, hm_time now)
{
	hm_time wait = due == HM_NEVER ? 0 : MAX(due - now, 1);
	struct itimerspec t = { .it_value = { wait / US_PER_SEC,
					      wait % US_PER_SEC * NS_PER_US } };

	timerfd_settime(m->timer, 0, &t, NULL);
	poll((struct pollfd *)m->polled->data, m->polled->len, -1);
}

static void drain_counter(int fd)
{
	uint64_t count;

	if (read(fd, &count, sizeof(count)) < 0)
		return;
}

/*
 * The lock was not held during poll(), so faults may have closed the session
 * since the descriptors were listed.
 */
static void handle_one(struct members *m, guint i, hm_time now)
{
	const struct pollfd *p = &g_array_index(m->polled, struct pollfd, i);
	const struct poll_target *o = m->targets->pdata[i];

	if (!p->revents)
		return;
	if (!o->node)
		drain_counter(p->fd);
	else if (o->node->faults.paused)
		return;
	else if (!o->session)
		node_accept(o->node);
	else if (!o->session->closed && o->session->fd == p->fd)
		session_readable(o->session, now);
}

static void *run_loop(void *arg)
{
	struct members *m = arg;
	hm_time now, due;
	guint i;

	g_mutex_lock(&m->lock);
	while (!m->stopping) {
		now = loop_now();
		due = prepare(m, now);
		g_mutex_unlock(&m->lock);
		wait_until(m, due, now);
		g_mutex_lock(&m->lock);
		now = loop_now();
		for (i = 0; i < m->polled->len; i++)
			handle_one(m, i, now);
	}
	g_mutex_unlock(&m->lock);
	return NULL;
}

void members_database(const struct members *m, uint32_t index,
		      struct database_spec *out)
{
	*out = g_array_index(m->databases, struct database_spec, index);
}

void members_start(struct members *m)
{
	m->thread = g_thread_new("members", run_loop, m);
}

static struct node *find(struct members *m, hm_id endpoint)
{
	struct node *n;
	guint i;

	for (i = 0; i < m->nodes->len; i++) {
		n = m->nodes->pdata[i];
		if (n->spec.endpoint == endpoint)
			return n;
	}
	return NULL;
}

void members_set_faults(struct members *m, hm_id endpoint,
			const struct member_faults *faults)
{
	struct node *n = find(m, endpoint);

	if (!n)
		return;
	g_mutex_lock(&m->lock);
	node_set_faults(n, faults, loop_now());
	g_mutex_unlock(&m->lock);
	wake(m);
}

void members_stats(struct members *m, hm_id endpoint, struct member_stats *out)
{
	struct node *n = find(m, endpoint);

	memset(out, 0, sizeof(*out));
	if (!n)
		return;
	g_mutex_lock(&m->lock);
	out->connections = node_connections(n);
	out->connections_max = n->connections_max;
	out->running_max = n->running_max;
	out->statements = n->statements;
	node_state(n, loop_now(), &out->state);
	g_mutex_unlock(&m->lock);
}

bool members_sql(struct members *m, hm_id endpoint, const char *sql)
{
	struct node *n = find(m, endpoint);
	bool ok = false;

	if (!n)
		return false;
	g_mutex_lock(&m->lock);
	ok = node_sql(n, sql, loop_now());
	g_mutex_unlock(&m->lock);
	wake(m);
	return ok;
}
