/** @file route_fixture.c Test fixture with a route that moves. */
#include "route_fixture.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "../core/proxy_state.h"
#include "../src/names.h"
#include "route_members.h"

#define START (100 * HM_SEC)
#define SAMPLE_EVERY (150 * HM_MS)

static void service_name(uint32_t service, char out[NAME_BYTES])
{
	g_snprintf(out, NAME_BYTES, "%c", (char)('a' + service));
}

/* What the monitors have sampled: the position of each primary. */
static void sample(struct route_fixture *r)
{
	uint32_t i, k;

	for (i = 0; i < ROUTE_SERVICES; i++) {
		struct service_state *v =
			services_view(r->proxy, r->services[i].id);

		for (k = 0; v && k < VIEW_SAMPLES; k++) {
			struct view_sample *to = &v->samples[k];

			to->requested_at =
				r->now - (VIEW_SAMPLES - 1 - k) * SAMPLE_EVERY;
			to->at.term = 1;
			to->at.pos =
				route_fixture_position(r, i, to->requested_at);
		}
		if (v)
			v->sample_count = VIEW_SAMPLES;
	}
}

static void record_asked(struct route_fixture *r, const struct proxy_action *a)
{
	struct voter_record record = { .committed = true };
	struct proxy_event e = { .kind = PROXY_VOTERS };
	uint32_t i, k;
	char name[NAME_BYTES];

	for (i = 0; i < ROUTE_SERVICES; i++)
		if (r->services[i].id == a->duty.id)
			break;
	ck_assert_uint_lt(i, ROUTE_SERVICES);
	record.voters.at.revision = 1;
	for (k = 0; k < 2; k++) {
		g_snprintf(name, sizeof(name), "%c-%u", (char)('a' + i), k + 1);
		voter_record_add(&record, 2 * i + k + 1, 0, name, "10.0.0.1:1");
	}
	e.voters.service = a->duty.id;
	e.voters.record = &record;
	proxy_step(r->proxy, &e, r->now, &r->out);
}

static void answered(struct route_fixture *r, const struct proxy_action *a)
{
	ck_assert_uint_lt(a->answer.client, ROUTE_CLIENTS);
	r->answers[a->answer.client] = a->answer.error;
	r->answered[a->answer.client] = true;
	if (!a->answer.opened)
		g_string_append_printf(r->text, "%" G_GUINT64_FORMAT ": %s\n",
				       a->answer.client,
				       error_answer(a->answer.error)->code);
}

/* Passes an event to the proxy, and does what it asks for until it is idle. */
static void step(struct route_fixture *r, const struct proxy_event *e)
{
	size_t i;

	sample(r);
	proxy_step(r->proxy, e, r->now, &r->out);
	for (i = 0; i < r->out.count; i++) {
		/* The list may move while its actions are carried out. */
		struct proxy_action a = r->out.list[i];

		switch (a.kind) {
		case PROXY_CONNECT:
			route_members_connect(r, &a);
			break;
		case PROXY_COMMAND:
			route_members_command(r, &a);
			break;
		case PROXY_RECORD_VOTERS:
			record_asked(r, &a);
			break;
		case PROXY_ANSWER:
			answered(r, &a);
			break;
		case PROXY_CLOSE_MEMBER:
			route_members_close(r, &a);
			break;
		case PROXY_CLOSE_CLIENT:
			r->ended[a.client] = true;
			break;
		case PROXY_LOG:
			if (r->logged && g_str_has_prefix(a.line, r->logged))
				g_string_append_printf(r->text, "%s\n", a.line);
			break;
		default:
			break;
		}
	}
	proxy_output_clear(&r->out);
}

void route_fixture_run(struct route_fixture *r, hm_time span)
{
	struct proxy_event tick = { .kind = PROXY_TICKED };
	hm_time until = r->now + span;

	for (; r->now < until; r->now += PROXY_TICK)
		step(r, &tick);
}

static void set_route(struct route_fixture *r, struct site_config *c)
{
	struct route_spec *route = calloc(1, sizeof(*route));

	ck_assert_ptr_nonnull(route);
	route->database = name_id("desk");
	route->service = r->services[r->service].id;
	route->consistency = r->consistency;
	route->statement_limit = HM_SEC;
	route->target = 400 * HM_MS;
	route->max_age = r->max_age;
	c->routes = route;
}

static void configure(struct route_fixture *r, bool with_route)
{
	struct site_config *c = calloc(1, sizeof(*c));
	struct proxy_event e = { .kind = PROXY_CONFIG, .config = c };
	uint32_t i;

	ck_assert_ptr_nonnull(c);
	c->version = ++r->version;
	set_route(r, c);
	c->route_count = with_route;
	c->services = calloc(ROUTE_SERVICES, sizeof(*c->services));
	c->service_count = ROUTE_SERVICES;
	for (i = 0; i < ROUTE_SERVICES; i++) {
		c->services[i].service = r->services[i].id;
		service_name(i, c->services[i].name);
		c->services[i].connections = 16;
		c->services[i].sync_replicas = 1;
	}
	c->accounts = calloc(1, sizeof(*c->accounts));
	c->account_count = 1;
	g_strlcpy(c->accounts[0].name, "acme", NAME_BYTES);
	c->accounts[0].account = name_id("acme");
	c->accounts[0].version = c->version;
	c->accounts[0].rate = c->accounts[0].burst = 10000;
	c->accounts[0].weight = 1;
	site_config_add_key(c, c->accounts[0].account, key_hash("secret", 6));
	site_config_index(c);
	step(r, &e);
}

void route_fixture_move(struct route_fixture *r, uint32_t service,
			enum consistency consistency, hm_time max_age)
{
	r->service = service;
	r->consistency = consistency;
	r->max_age = max_age;
	configure(r, true);
}

void route_fixture_remove(struct route_fixture *r)
{
	configure(r, false);
}

static void set_members(struct route_fixture *r)
{
	struct site_members *m = calloc(1, sizeof(*m));
	struct proxy_event e = { .kind = PROXY_MEMBERS, .members = m };
	uint32_t i;

	ck_assert_ptr_nonnull(m);
	m->at.revision = 1;
	m->count = 2 * ROUTE_SERVICES;
	m->list = calloc(m->count, sizeof(*m->list));
	for (i = 0; i < m->count; i++) {
		struct site_member *to = &m->list[i];

		service_name(i / 2, to->service_name);
		g_snprintf(to->name, NAME_BYTES, "%s-%u", to->service_name,
			   i % 2 + 1);
		to->endpoint = i + 1;
		to->service = r->services[i / 2].id;
		g_strlcpy(to->address, "10.0.0.1:1", ADDRESS_BYTES);
		to->slots = 8;
		to->registered_primary = i % 2 == 0;
	}
	step(r, &e);
}

void route_fixture_open(struct route_fixture *r)
{
	struct proxy_options o;
	char name[NAME_BYTES];
	uint32_t i;

	memset(r, 0, sizeof(*r));
	r->now = START;
	for (i = 0; i < ROUTE_SERVICES; i++) {
		service_name(i, name);
		r->services[i].id = name_id(name);
		r->services[i].pos = ROUTE_FIRST_POSITION;
		r->services[i].commits =
			g_array_new(FALSE, FALSE, sizeof(struct route_commit));
	}
	r->held = g_array_new(FALSE, FALSE, sizeof(struct route_reply));
	r->runs = g_array_new(FALSE, FALSE, sizeof(struct route_run));
	r->text = g_string_new(NULL);
	proxy_options_default(&o);
	o.core.incarnation = 77;
	o.core.instance = 7;
	o.core.zone_count = 1;
	o.core.seed = 1;
	/* The monitors send no probes in these tests. */
	o.member_probe_every = 3600 * HM_SEC;
	o.member_probe_limit = 3600 * HM_SEC;
	r->proxy = proxy_new(&o, r->now);
	route_fixture_move(r, 0, CONSISTENT_SESSION, 2500 * HM_MS);
	set_members(r);
	route_fixture_run(r, 3 * HM_SEC);
	g_string_truncate(r->text, 0);
}

void route_fixture_close(struct route_fixture *r)
{
	uint32_t i;

	proxy_free(r->proxy);
	proxy_output_free(&r->out);
	for (i = 0; i < ROUTE_SERVICES; i++)
		g_array_free(r->services[i].commits, TRUE);
	g_array_free(r->held, TRUE);
	g_array_free(r->runs, TRUE);
	g_string_free(r->text, TRUE);
}

void route_fixture_connect(struct route_fixture *r, uint64_t client)
{
	struct proxy_event e = { .kind = PROXY_CLIENT_OPENED };

	r->ended[client] = false;
	e.opened.client = client;
	e.opened.database = name_id("desk");
	e.opened.has_key = true;
	e.opened.key = key_hash("secret", 6);
	step(r, &e);
}

void route_fixture_request(struct route_fixture *r, uint64_t client,
			   enum statement_op op, const char *request,
			   const char *text)
{
	struct proxy_event e = { .kind = PROXY_CLIENT_REQUEST };

	r->answered[client] = false;
	e.asked.client = client;
	e.asked.op = op;
	e.asked.request = request;
	e.asked.text = text;
	e.asked.writes = op == STMT_WRITE;
	step(r, &e);
}

void route_fixture_answer(struct route_fixture *r)
{
	struct proxy_event e = { .kind = PROXY_MEMBER_REPLIED };
	struct route_reply held;

	while (route_members_next_held(r, &held)) {
		e.member.conn = held.conn;
		e.member.reply = &held.reply;
		step(r, &e);
	}
}
