/**
 * @file instance.c
 * Runs a core, the I/O modules around it and their event loop. Events of the
 * modules are passed to the core; the actions that it returns are performed at
 * once.
 */
#include "instance.h"

#include <glib.h>
#include <stdatomic.h>
#include <string.h>

#include "driver.h"
#include "front.h"
#include "log.h"
#include "names.h"
#include "peer.h"
#include "platform.h"
#include "status.h"
#include "trace.h"

/*
 * Number of instances in each zone that watch contracts at the platform; the
 * others get changes from their peers.
 */
#define WATCHERS_PER_ZONE 2
#define BODIES_EXPIRE_EVERY (1 * HM_SEC)

struct instance {
	struct settings settings;
	const char *zones[ZONES_MAX];
	struct loop *loop;
	struct bodies *bodies;
	struct names *names;
	struct core *core;
	struct trace *trace; /* NULL: no trace is recorded */
	struct front *front;
	struct peer_links *peers;
	struct platform *platform;
	const struct driver *driver;
	struct driver_state *driver_state;
	struct timer *tick;
	GPtrArray *databases; /* of struct database_spec * */
	hm_time expire_at;
	hm_time stop_at; /* end of a graceful shutdown; HM_NEVER before it */
	atomic_int stop_requests; /* number of calls of instance_stop() */
	struct actions actions;
	bool stepping;	 /* an event is being handled */
	GQueue deferred; /* events that came while another was handled */
};

static const struct endpoint_spec *find_endpoint(const struct instance *i,
						 hm_id endpoint,
						 const struct database_spec **d)
{
	guint n;
	uint32_t k;

	for (n = 0; n < i->databases->len; n++) {
		*d = g_ptr_array_index(i->databases, n);
		for (k = 0; k < (*d)->endpoint_count; k++)
			if ((*d)->endpoints[k].endpoint == endpoint)
				return &(*d)->endpoints[k];
	}
	*d = NULL;
	return NULL;
}

static const char *database_name(const struct instance *i, hm_id database)
{
	return names_find(i->names, database);
}

static void do_send(struct instance *i, const struct action *a)
{
	peer_links_send(i->peers, a->send.to, &a->send.message);
}

static void do_answer(struct instance *i, const struct action *a)
{
	front_answer(i->front, &a->answer);
}

static void do_connect(struct instance *i, const struct action *a)
{
	const struct database_spec *d;
	const struct endpoint_spec *e;

	e = find_endpoint(i, a->conn.endpoint, &d);
	if (e)
		i->driver->connect(i->driver_state, a->conn.conn, d, e);
}

static void do_execute(struct instance *i, const struct action *a)
{
	i->driver->execute(i->driver_state, a->conn.conn, &a->conn.statement);
}

static void do_cancel(struct instance *i, const struct action *a)
{
	i->driver->cancel(i->driver_state, a->conn.conn);
}

static void do_reset(struct instance *i, const struct action *a)
{
	i->driver->reset(i->driver_state, a->conn.conn);
}

static void do_close(struct instance *i, const struct action *a)
{
	i->driver->close(i->driver_state, a->conn.conn);
}

static void do_control(struct instance *i, const struct action *a)
{
	const struct database_spec *d;
	const struct endpoint_spec *e;

	e = find_endpoint(i, a->control.endpoint, &d);
	if (e)
		i->driver->control(i->driver_state, &a->control, d, e);
}

static void do_log(struct instance *i, const struct action *a)
{
	log_decision(&a->decision, i->names);
}

static void do_announce(struct instance *i, const struct action *a)
{
	platform_announce(i->platform, database_name(i, a->announce.database),
			  names_find(i->names, a->announce.primary),
			  a->announce.term);
}

static void do_stopped(struct instance *i, const struct action *a)
{
	(void)a;
	loop_stop(i->loop);
}

static void (*const action_handlers[])(struct instance *i,
				       const struct action *a) = {
	[ACT_SEND] = do_send,	    [ACT_ANSWER] = do_answer,
	[ACT_CONNECT] = do_connect, [ACT_EXECUTE] = do_execute,
	[ACT_CANCEL] = do_cancel,   [ACT_RESET] = do_reset,
	[ACT_CLOSE] = do_close,	    [ACT_CONTROL] = do_control,
	[ACT_LOG] = do_log,	    [ACT_ANNOUNCE] = do_announce,
	[ACT_STOPPED] = do_stopped,
};

static void step(struct instance *i, const struct event *e)
{
	hm_time now = loop_now();
	size_t n;

	if (i->trace)
		trace_event(i->trace, e, now);
	core_step(i->core, e, now, &i->actions);
	if (i->trace)
		trace_actions(i->trace, &i->actions);
	for (n = 0; n < i->actions.count; n++) {
		const struct action *a = &i->actions.list[n];

		action_handlers[a->kind](i, a);
	}
	actions_clear(&i->actions);
}

static void store_database(struct instance *i, const struct database_spec *spec)
{
	const struct database_spec *known;
	uint32_t k;
	guint n;

	names_add(i->names, spec->name);
	for (k = 0; k < spec->endpoint_count; k++)
		names_add(i->names, spec->endpoints[k].name);
	for (n = 0; n < i->databases->len; n++) {
		known = g_ptr_array_index(i->databases, n);
		if (known->database != spec->database)
			continue;
		if (known->version >= spec->version)
			return; /* an older version, from a peer */
		g_ptr_array_remove_index_fast(i->databases, n);
		break;
	}
	g_ptr_array_add(i->databases, g_memdup2(spec, sizeof(*spec)));
}

static void store_names(struct instance *i, const struct event *e)
{
	if (e->kind == EV_DATABASE)
		store_database(i, e->database);
	else if (e->kind == EV_CONTRACT)
		names_add(i->names, e->contract->name);
	else if (e->kind == EV_MESSAGE && e->message->kind == MSG_CONTRACT)
		names_add(i->names, e->message->contract->name);
	else if (e->kind == EV_MESSAGE && e->message->kind == MSG_DATABASE)
		store_database(i, e->message->database);
}

/*
 * Receives the events that modules deliver from their own callbacks. The front
 * end may deliver a request while it is given an answer, that is, while actions
 * are performed; such an event is queued until the current one has been
 * handled.
 */
static void on_event(void *owner, const struct event *e)
{
	struct instance *i = owner;
	struct event *deferred;

	store_names(i, e);
	if (i->stepping) {
		g_queue_push_tail(&i->deferred, g_memdup2(e, sizeof(*e)));
		return;
	}
	i->stepping = true;
	step(i, e);
	while ((deferred = g_queue_pop_head(&i->deferred))) {
		step(i, deferred);
		g_free(deferred);
	}
	i->stepping = false;
}

static void on_request(void *owner, const struct statement *s)
{
	struct event e = { .kind = EV_REQUEST, .request = *s };

	on_event(owner, &e);
}

static void on_client_gone(void *owner, struct rid id)
{
	struct event e = { .kind = EV_CLIENT_GONE, .gone = id };

	on_event(owner, &e);
}

static hm_id on_account(void *owner, struct key_id key)
{
	struct instance *i = owner;

	return core_account_by_key(i->core, key);
}

static const char *on_name(void *owner, hm_id id)
{
	struct instance *i = owner;

	return names_find(i->names, id);
}

static void fill_status(const struct instance *i, struct status *out)
{
	core_get_counters(i->core, &out->core);
	out->bodies = bodies_count(i->bodies);
	out->peer_dropped = peer_links_dropped(i->peers);
	out->platform_calls = platform_calls(i->platform);
}

static char *on_metrics(void *owner)
{
	struct status status;

	fill_status(owner, &status);
	return status_metrics(&status);
}

static char *on_status(void *owner)
{
	const struct instance *i = owner;
	struct status status;

	fill_status(i, &status);
	return status_json(&status, &i->settings);
}

static void stop_tick(struct instance *i, hm_time now)
{
	struct event e = { .kind = EV_STOP };
	int stop_requests = atomic_load(&i->stop_requests);

	if (stop_requests > 0 && i->stop_at == HM_NEVER) {
		i->stop_at = now + i->settings.stop_limit;
		g_message("event=stopping instance=%s", i->settings.instance);
		front_stop(i->front);
		on_event(i, &e);
	}
	if (stop_requests > 1 || now >= i->stop_at)
		loop_stop(i->loop);
}

static void on_tick(void *arg)
{
	struct instance *i = arg;
	struct event e = { .kind = EV_TICK };
	hm_time now = loop_now();

	stop_tick(i, now);
	on_event(i, &e);
	if (now >= i->expire_at) {
		i->expire_at = now + BODIES_EXPIRE_EVERY;
		bodies_expire(i->bodies, now);
	}
	timer_set(i->tick, now + CORE_TICK);
}

static bool should_watch(const struct instance *i,
			 const struct platform_instance *list, uint32_t count)
{
	uint32_t k, before = 0;

	for (k = 0; k < count; k++)
		if (list[k].zone == i->settings.core.zone && !list[k].leaving &&
		    strcmp(list[k].name, i->settings.instance) < 0)
			before++;
	return before < WATCHERS_PER_ZONE;
}

static void on_instances(void *owner, const struct platform_instance *list,
			 uint32_t count)
{
	struct instance *i = owner;
	char(*addresses)[ADDRESS_BYTES] =
		g_malloc0_n(count + SEEDS_MAX, ADDRESS_BYTES);
	uint32_t k;

	for (k = 0; k < count; k++) {
		memcpy(addresses[k], list[k].address, ADDRESS_BYTES);
		names_add(i->names, list[k].name);
	}
	for (k = 0; k < i->settings.seed_count; k++)
		memcpy(addresses[count + k], i->settings.seeds[k],
		       ADDRESS_BYTES);
	peer_links_set_addresses(i->peers,
				 (const char(*)[ADDRESS_BYTES])addresses,
				 count + i->settings.seed_count);
	platform_watch(i->platform, should_watch(i, list, count));
	g_free(addresses);
}

static bool open_driver(struct instance *i, struct sink sink)
{
	struct driver_host host = { 0 };

	host.loop = i->loop;
	host.bodies = i->bodies;
	host.sink = sink;
	host.incarnation = i->settings.core.incarnation;
	host.connect_limit = i->settings.connect_limit;
	host.control_limit = i->settings.control_limit;
	host.rows_limit = i->settings.rows_limit;
	host.answer_bytes = i->settings.answer_limit;
	i->driver = &driver_pg;
	i->driver_state = i->driver->open(&host);
	return i->driver_state != NULL;
}

static bool open_platform(struct instance *i, struct sink sink)
{
	struct platform_options options = { 0 };
	uint16_t k;

	for (k = 0; k < i->settings.zone_count; k++)
		i->zones[k] = i->settings.zones[k];
	options.address = i->settings.platform;
	options.zones = i->zones;
	options.zone_count = i->settings.zone_count;
	options.call_limit = i->settings.platform_call_limit;
	options.watch_wait = i->settings.platform_watch_wait;
	options.list_every = i->settings.platform_list_every;
	options.seed = i->settings.core.seed;
	options.watch = true;
	options.instances = on_instances;
	i->platform = platform_new(i->loop, &options, sink);
	return i->platform != NULL;
}

static bool open_front(struct instance *i, char fault[SETTINGS_FAULT_BYTES])
{
	struct front_hooks hooks = { .request = on_request,
				     .client_gone = on_client_gone,
				     .account = on_account,
				     .name = on_name,
				     .metrics = on_metrics,
				     .status = on_status,
				     .owner = i };

	i->front = front_new(i->loop, &i->settings, i->bodies, &hooks, fault);
	return i->front != NULL;
}

static void set_identity(struct instance *i)
{
	struct core_options *o = &i->settings.core;

	if (!o->incarnation)
		o->incarnation = random_id();
	if (!o->seed)
		o->seed = random_id();
	o->instance = name_id(i->settings.instance);
	names_add(i->names, i->settings.instance);
}

static bool open_core(struct instance *i, char fault[SETTINGS_FAULT_BYTES])
{
	const struct core_options *options = &i->settings.core;
	hm_time now = loop_now();

	i->core = core_new(options, now);
	if (!i->core || !i->settings.trace[0])
		return i->core != NULL;
	i->trace = trace_open(i->settings.trace, options, now);
	if (!i->trace)
		g_snprintf(fault, SETTINGS_FAULT_BYTES,
			   "trace: cannot write to %s", i->settings.trace);
	return i->trace != NULL;
}

struct instance *instance_new(const struct settings *settings,
			      char fault[SETTINGS_FAULT_BYTES])
{
	struct instance *i = g_new0(struct instance, 1);
	struct sink sink = { on_event, i };

	fault[0] = '\0';
	i->settings = *settings;
	i->stop_at = HM_NEVER;
	g_queue_init(&i->deferred);
	i->names = names_new();
	set_identity(i);
	i->loop = loop_new();
	i->bodies = bodies_new();
	i->databases = g_ptr_array_new_with_free_func(g_free);
	if (!open_core(i, fault))
		goto fail;
	i->peers =
		peer_links_new(i->loop, i->settings.listen_peers,
			       i->settings.core.incarnation, i->bodies, sink);
	if (!i->peers) {
		g_snprintf(fault, SETTINGS_FAULT_BYTES,
			   "cannot listen for peers on %s",
			   i->settings.listen_peers);
		goto fail;
	}
	if (!open_driver(i, sink))
		goto fail;
	if (!open_front(i, fault))
		goto fail;
	if (!open_platform(i, sink))
		goto fail;
	on_instances(i, NULL, 0);
	i->tick = timer_new(i->loop, on_tick, i);
	timer_set(i->tick, loop_now());
	return i;

fail:
	if (!fault[0])
		g_strlcpy(fault, "the instance cannot start",
			  SETTINGS_FAULT_BYTES);
	instance_free(i);
	return NULL;
}

void instance_run(struct instance *i)
{
	loop_run(i->loop);
}

void instance_stop(struct instance *i)
{
	atomic_fetch_add(&i->stop_requests, 1);
}

void instance_free(struct instance *i)
{
	if (!i)
		return;
	timer_free(i->tick);
	/*
	 * Freed first, as front_free() runs the loop to send the last answers.
	 */
	front_free(i->front);
	platform_free(i->platform);
	if (i->driver_state)
		i->driver->shutdown(i->driver_state);
	peer_links_free(i->peers);
	if (!trace_close(i->trace))
		log_event(G_LOG_LEVEL_WARNING, "trace_incomplete", NULL);
	core_free(i->core);
	actions_free(&i->actions);
	g_queue_clear_full(&i->deferred, g_free);
	if (i->databases)
		g_ptr_array_free(i->databases, TRUE);
	bodies_free(i->bodies);
	loop_free(i->loop);
	names_free(i->names);
	g_free(i);
}
