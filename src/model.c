/** @file model.c Simulated instances, network and platform. */
#include "model.h"

#include <stdlib.h>
#include <string.h>

#include "model_world.h"
#include "names.h"

#define REPLICATE_EVERY (5 * HM_MS)
#define PLATFORM_DELAY (5 * HM_MS)
#define LIST_EVERY (1 * HM_SEC)
#define MESSAGE_JITTER_DIVISOR 10
#define TICK_SPREAD (CORE_TICK / MODEL_INSTANCES_MAX)
/* Time after the end of the load in which late answers still arrive. */
#define DRAIN_TIME (15 * HM_SEC)

struct delivery {
	uint32_t to;
	uint32_t starts;
	uint16_t from_zone;
	struct message message;
};

struct paused_event {
	uint32_t instance;
	uint32_t starts;
	struct event event;
};

static void *core_create(const struct core_options *options, hm_time now)
{
	return core_new(options, now);
}

static void core_destroy(void *server)
{
	core_free(server);
}

static void core_step_event(void *server, const struct event *e, hm_time now,
			    struct actions *actions)
{
	core_step(server, e, now, actions);
}

const struct model_server model_core = { "hyssopmount", core_create,
					 core_destroy, core_step_event };

hm_time world_delay(struct world *w, uint32_t from_zone, uint32_t to_zone)
{
	hm_time delay = w->plan.site.zone_delay;

	if (from_zone == to_zone)
		delay /= 5;
	delay += 1;
	return delay +
	       (hm_time)rng_below(&w->rng,
				  (uint64_t)delay / MESSAGE_JITTER_DIVISOR + 1);
}

bool world_is_cut(const struct world *w, uint32_t zone, uint32_t other)
{
	return zone != other && (w->zone_cut[zone] || w->zone_cut[other]);
}

hm_time world_exponential(struct world *w, hm_time mean)
{
	/*
	 * Approximates the distribution by the sum of a geometric number of
	 * uniform draws. It uses integers and no logarithm, so that all
	 * machines get the same numbers.
	 */
	uint64_t draw = rng_next(&w->rng) | 1;
	hm_time total = 0;

	while (!(draw & 1) || total == 0) {
		total += (hm_time)rng_below(&w->rng, (uint64_t)mean) + 1;
		draw = rng_next(&w->rng);
	}
	return total;
}

static void perform(struct world *w, struct model_instance *i);

static void step_server(struct world *w, struct model_instance *i,
			const struct event *e)
{
	w->plan.server->step(i->server, e, w->schedule.now, &i->actions);
	perform(w, i);
}

static void paused_event(void *owner, void *arg)
{
	struct paused_event *l = arg;

	world_event(owner, l->instance, l->starts, &l->event);
	g_free(l);
}

void world_event(struct world *w, uint32_t instance, uint32_t starts,
		 const struct event *e)
{
	struct model_instance *i = &w->instances[instance];
	struct paused_event *l;

	if (!i->server || i->starts != starts)
		return;
	if (i->paused_until <= w->schedule.now) {
		step_server(w, i, e);
		return;
	}
	l = g_new0(struct paused_event, 1);
	l->instance = instance;
	l->starts = starts;
	l->event = *e;
	schedule_at(&w->schedule, i->paused_until, paused_event, w, l, g_free);
}

static void delivery_free(void *arg)
{
	struct delivery *d = arg;

	message_clear(&d->message);
	g_free(d);
}

static void deliver(void *owner, void *arg)
{
	struct world *w = owner;
	struct delivery *d = arg;
	struct model_instance *i = &w->instances[d->to];
	struct event e = { .kind = EV_MESSAGE, .message = &d->message };

	if (i->server && i->starts == d->starts &&
	    i->paused_until > w->schedule.now) {
		schedule_at(&w->schedule, i->paused_until, deliver, w, d,
			    delivery_free);
		return;
	}
	if (!world_is_cut(w, i->options.zone, d->from_zone))
		world_event(w, d->to, d->starts, &e);
	delivery_free(d);
}

static void send_to(struct world *w, const struct model_instance *from,
		    struct model_instance *to, const struct message *m)
{
	struct delivery *d;

	if (world_is_cut(w, from->options.zone, to->options.zone))
		return;
	w->results.messages++;
	d = g_new0(struct delivery, 1);
	d->to = to->index;
	d->starts = to->starts;
	d->from_zone = from->options.zone;
	if (!message_copy(&d->message, m))
		abort();
	schedule_at(&w->schedule,
		    w->schedule.now + world_delay(w, from->options.zone,
						  to->options.zone),
		    deliver, w, d, delivery_free);
}

static void send_message(struct world *w, const struct model_instance *from,
			 const struct action *a)
{
	uint32_t k;

	for (k = 0; k < w->plan.site.instances; k++) {
		struct model_instance *to = &w->instances[k];

		if (to == from || !to->server)
			continue;
		if (!a->send.to || a->send.to == to->options.incarnation)
			send_to(w, from, to, &a->send.message);
	}
}

static struct model_member *find_member(struct world *w, hm_id endpoint)
{
	uint32_t g, k;

	for (g = 0; g < w->plan.site.databases; g++)
		for (k = 0; k < MODEL_MEMBERS; k++)
			if (w->databases[g].endpoints[k].endpoint == endpoint)
				return &w->members[g][k];
	return NULL;
}

static void perform_one(struct world *w, struct model_instance *i,
			const struct action *a)
{
	struct model_member *m;

	switch (a->kind) {
	case ACT_SEND:
		send_message(w, i, a);
		return;
	case ACT_ANSWER:
		load_answer(w->load, i->index, &a->answer);
		return;
	case ACT_CONTROL:
		m = find_member(w, a->control.endpoint);
		if (m)
			member_control(m, i->index, &a->control);
		return;
	case ACT_CONNECT:
	case ACT_EXECUTE:
	case ACT_RESET:
	case ACT_CLOSE:
		break;
	case ACT_LOG:
		if (a->decision.request.seq)
			load_admitted(w->load, a->decision.request.seq);
		if (w->plan.decision)
			w->plan.decision(w->schedule.now, i->index,
					 &a->decision);
		return;
	case ACT_CANCEL:
	case ACT_ANNOUNCE:
	case ACT_STOPPED:
		return;
	}
	m = find_member(w, a->conn.endpoint);
	if (!m)
		return;
	if (a->kind == ACT_CONNECT)
		member_connect(m, i->index, a->conn.conn);
	else if (a->kind == ACT_EXECUTE)
		member_execute(m, i->index, a->conn.conn, &a->conn.statement);
	else if (a->kind == ACT_RESET)
		member_reset(m, i->index, a->conn.conn);
	else
		member_close(m, i->index, a->conn.conn);
}

static void perform(struct world *w, struct model_instance *i)
{
	size_t n;

	for (n = 0; n < i->actions.count; n++)
		perform_one(w, i, &i->actions.list[n]);
	actions_clear(&i->actions);
}

static void send_contract(struct world *w, struct model_instance *i,
			  uint32_t account)
{
	struct event e = { .kind = EV_CONTRACT };

	e.contract = &w->contracts[account];
	world_event(w, i->index, i->starts, &e);
}

static void send_configuration(struct world *w, struct model_instance *i)
{
	struct event e = { .kind = EV_DATABASE };
	uint32_t k;

	for (k = 0; k < w->plan.site.databases; k++) {
		e.database = &w->databases[k];
		world_event(w, i->index, i->starts, &e);
	}
	for (k = 0; k < w->plan.site.account_count; k++)
		send_contract(w, i, k);
}

void world_start_instance(struct world *w, uint32_t index)
{
	struct model_instance *i = &w->instances[index];
	struct core_options *o = &i->options;

	i->world = w;
	i->index = index;
	i->starts++;
	core_options_default(o);
	o->incarnation = ((uint64_t)(index + 1) << 32) + i->starts * 7919;
	o->instance = index + 1;
	o->zone = (uint16_t)(index % w->plan.site.zones);
	o->zone_count = (uint16_t)w->plan.site.zones;
	o->seed = rng_next(&w->rng);
	o->guards_off = w->plan.guards_off;
	i->server = w->plan.server->create(o, w->schedule.now);
	if (!w->platform_down)
		send_configuration(w, i);
}

void world_stop_instance(struct world *w, uint32_t index)
{
	struct model_instance *i = &w->instances[index];
	uint32_t g, k;

	if (!i->server)
		return;
	w->plan.server->destroy(i->server);
	i->server = NULL;
	load_instance_died(w->load, index);
	for (g = 0; g < w->plan.site.databases; g++)
		for (k = 0; k < MODEL_MEMBERS; k++) {
			struct model_member *m = &w->members[g][k];
			GHashTableIter iter;
			gpointer key;

			g_hash_table_iter_init(&iter, m->conns);
			while (g_hash_table_iter_next(&iter, &key, NULL))
				if ((GPOINTER_TO_SIZE(key) & 0xff) == index + 1)
					g_hash_table_iter_remove(&iter);
		}
}

static void tick(void *owner, void *arg)
{
	struct world *w = owner;
	struct model_instance *i = arg;
	struct event e = { .kind = EV_TICK };

	if (i->server && i->paused_until <= w->schedule.now)
		step_server(w, i, &e);
	schedule_at(&w->schedule, w->schedule.now + CORE_TICK, tick, w, i,
		    NULL);
}

static void replicate_all(void *owner, void *arg)
{
	struct world *w = owner;
	uint32_t g;

	(void)arg;
	for (g = 0; g < w->plan.site.databases; g++)
		group_replicate(w, g);
	schedule_at(&w->schedule, w->schedule.now + REPLICATE_EVERY,
		    replicate_all, w, NULL, NULL);
}

static void list_instances(void *owner, void *arg)
{
	struct world *w = owner;
	struct listed_instance list[MODEL_INSTANCES_MAX];
	struct event e = { .kind = EV_INSTANCES };
	struct event ok = { .kind = EV_PLATFORM };
	uint32_t k, count = 0;

	(void)arg;
	for (k = 0; k < w->plan.site.instances; k++) {
		if (!w->instances[k].server)
			continue;
		list[count].instance = w->instances[k].options.instance;
		list[count].zone = w->instances[k].options.zone;
		list[count].leaving = false;
		count++;
	}
	e.instances.list = list;
	e.instances.count = count;
	for (k = 0; k < w->plan.site.instances; k++) {
		struct model_instance *i = &w->instances[k];

		ok.platform_ok =
			!w->platform_down && !w->zone_cut[i->options.zone];
		if (!i->server || i->paused_until > w->schedule.now)
			continue;
		if (ok.platform_ok)
			step_server(w, i, &e);
		step_server(w, i, &ok);
	}
	schedule_at(&w->schedule, w->schedule.now + LIST_EVERY, list_instances,
		    w, NULL, NULL);
}

/*
 * Delivers the contract of an account to all instances that reach the platform,
 * as the watches of the platform do.
 */
void world_publish_contract(void *owner, void *arg)
{
	struct world *w = owner;
	uint32_t account = GPOINTER_TO_UINT(arg), k;

	for (k = 0; k < w->plan.site.instances; k++) {
		struct model_instance *i = &w->instances[k];

		if (!w->platform_down && !w->zone_cut[i->options.zone])
			send_contract(w, i, account);
	}
}

static void withdraw_key(void *owner, void *arg)
{
	struct world *w = owner;

	(void)arg;
	w->contracts[0].version = 100;
	w->contracts[0].key_count = 0;
	schedule_at(&w->schedule, w->schedule.now + PLATFORM_DELAY,
		    world_publish_contract, w, GUINT_TO_POINTER(0), NULL);
}

static void fill_endpoint(const struct model_site *site, uint32_t group,
			  uint32_t index, struct endpoint_spec *e)
{
	g_snprintf(e->name, sizeof(e->name), "db%u-%u", group, index);
	e->endpoint = name_id(e->name);
	e->zone = (uint16_t)((group + index) % site->zones);
	e->slots = site->slots;
	e->connections = site->connections;
}

static void fill_database(const struct model_site *site, uint32_t group,
			  struct database_spec *d)
{
	uint32_t i;

	g_snprintf(d->name, sizeof(d->name), "db%u", group);
	d->database = name_id(d->name);
	d->version = 1;
	d->endpoint_count = MODEL_MEMBERS;
	for (i = 0; i < MODEL_MEMBERS; i++)
		fill_endpoint(site, group, i, &d->endpoints[i]);
}

static void fill_contract(struct world *w, uint32_t index)
{
	const struct model_account *a = &w->plan.site.accounts[index];
	struct contract *c = &w->contracts[index];
	uint32_t i;

	g_snprintf(c->name, sizeof(c->name), "account%u", index);
	c->account = name_id(c->name);
	c->version = index + 1;
	c->rate = a->rate;
	c->burst = a->burst;
	c->weight = a->weight;
	c->transactions = 4;
	c->serve_isolated = !w->plan.withdraw_at;
	c->database_count = w->plan.site.databases;
	for (i = 0; i < c->database_count; i++) {
		c->databases[i].database = w->databases[i].database;
		memcpy(c->databases[i].name, w->databases[i].name, NAME_BYTES);
		c->databases[i].max_age = w->plan.site.max_age;
	}
	c->key_count = 1;
	c->keys[0].hi = index + 1;
	c->keys[0].lo = 1;
}

static void build(struct world *w)
{
	const struct model_site *site = &w->plan.site;
	uint32_t i, k;

	for (i = 0; i < site->databases; i++) {
		fill_database(site, i, &w->databases[i]);
		for (k = 0; k < MODEL_MEMBERS; k++)
			member_init(w, i, k);
	}
	for (i = 0; i < site->account_count; i++)
		fill_contract(w, i);
	w->load = load_new(w);
	for (i = 0; i < site->instances; i++)
		world_start_instance(w, i);
}

static void plan_schedule(struct world *w)
{
	const struct model_plan *plan = &w->plan;
	uint32_t i;

	for (i = 0; i < plan->site.instances; i++)
		schedule_at(&w->schedule, (hm_time)i * TICK_SPREAD, tick, w,
			    &w->instances[i], NULL);
	schedule_at(&w->schedule, 0, replicate_all, w, NULL, NULL);
	schedule_at(&w->schedule, 0, list_instances, w, NULL, NULL);
	faults_plan(w);
	if (plan->withdraw_at)
		schedule_at(&w->schedule, plan->withdraw_at, withdraw_key, w,
			    NULL, NULL);
}

static void free_world(struct world *w)
{
	uint32_t i, k;

	load_free(w->load);
	for (i = 0; i < w->plan.site.instances; i++) {
		if (w->instances[i].server)
			w->plan.server->destroy(w->instances[i].server);
		actions_free(&w->instances[i].actions);
	}
	for (i = 0; i < w->plan.site.databases; i++)
		for (k = 0; k < MODEL_MEMBERS; k++)
			member_free(&w->members[i][k]);
	schedule_free(&w->schedule);
	g_free(w);
}

void model_run(const struct model_plan *plan, struct model_results *out)
{
	struct world *w = g_new0(struct world, 1);

	w->plan = *plan;
	w->rng.state = plan->seed;
	build(w);
	plan_schedule(w);
	schedule_run(&w->schedule, plan->duration + DRAIN_TIME);
	load_finish(w->load);
	*out = w->results;
	free_world(w);
}
