/** @file proxy_fixture.c Test fixture with a single proxy and two members. */
#include "proxy_fixture.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../src/names.h"

#define START (100 * HM_SEC)

/*
 * Answers the next action (connect or command) of a primary check at m2, and
 * replaces it by a log action. Returns false when there is none.
 */
static bool answer_primary_check(struct proxy_fixture *r)
{
	struct member_reply m = { .error = ERR_READ_ONLY,
				  .at = { 1, r->replica_pos } };
	struct proxy_event e = { .kind = PROXY_MEMBER_REPLIED };
	size_t i;

	for (i = 0; i < r->out.count; i++) {
		struct proxy_action *a = &r->out.list[i];

		if (a->kind == PROXY_CONNECT &&
		    !strcmp(a->member.who, "keeper")) {
			r->replica_conn = a->member.conn;
			e.kind = PROXY_MEMBER_READY;
		} else if (a->kind != PROXY_COMMAND ||
			   a->member.conn != r->replica_conn) {
			continue;
		}
		*a = (struct proxy_action){ .kind = PROXY_LOG };
		e.member.conn = r->replica_conn;
		e.member.reply = &m;
		if (!r->replica_silent)
			proxy_step(r->proxy, &e, r->now, &r->out);
		return true;
	}
	return false;
}

/* Answers the next read of the record of voters likewise. */
static bool answer_record(struct proxy_fixture *r)
{
	struct proxy_event e = { .kind = PROXY_VOTERS };
	size_t i;

	for (i = 0; i < r->out.count; i++) {
		struct proxy_action *a = &r->out.list[i];

		if (a->kind != PROXY_RECORD_VOTERS)
			continue;
		e.voters.service = a->duty.id;
		e.voters.record = &r->record;
		free(a->duty.record);
		*a = (struct proxy_action){ .kind = PROXY_LOG };
		proxy_step(r->proxy, &e, r->now, &r->out);
		return true;
	}
	return false;
}

void proxy_fixture_step(struct proxy_fixture *r, const struct proxy_event *e)
{
	size_t i;

	proxy_step(r->proxy, e, r->now, &r->out);
	while (answer_primary_check(r) || answer_record(r))
		;
	memset(r->sent, 0, sizeof(r->sent));
	for (i = 0; i < r->out.peers.count; i++)
		r->sent[r->out.peers.list[i].send.message.kind]++;
	if (r->logged)
		proxy_text_lines(r->log, &r->out, r->logged);
	proxy_text(r->text, &r->out);
}

void proxy_fixture_message(struct proxy_fixture *r, struct message *m)
{
	struct proxy_event e = { .kind = PROXY_MESSAGE, .message = m };

	m->seq = ++r->peer_seq;
	proxy_fixture_step(r, &e);
}

void proxy_fixture_run(struct proxy_fixture *r, hm_time span)
{
	struct proxy_event tick = { .kind = PROXY_TICKED };
	hm_time until = r->now + span;

	for (; r->now < until; r->now += PROXY_TICK)
		proxy_fixture_step(r, &tick);
}

static void add_route(struct site_config *c, const char *name,
		      enum consistency consistency)
{
	struct route_spec *route = &c->routes[c->route_count++];

	route->database = name_id(name);
	route->service = name_id("db");
	route->consistency = consistency;
	route->statement_limit = 800 * HM_MS;
	route->target = 200 * HM_MS;
	route->max_age = consistency == CONSISTENT_PRIMARY ? 0 : 1500 * HM_MS;
}

/* @a with_key: the account has its key; @a with_route: route "rota" exists. */
void proxy_fixture_configure(struct proxy_fixture *r, bool with_key,
			     bool with_route, uint32_t rate)
{
	struct site_config *c = calloc(1, sizeof(*c));
	struct proxy_event e = { .kind = PROXY_CONFIG, .config = c };

	c->version = ++r->version;
	c->routes = calloc(2, sizeof(*c->routes));
	if (with_route)
		add_route(c, "rota", CONSISTENT_PRIMARY);
	add_route(c, "view", CONSISTENT_BOUNDED);
	/* Either route may be the less urgent one. */
	c->routes[0].priority = r->rota_priority;
	c->routes[c->route_count - 1].priority = r->view_priority;
	c->services = calloc(1, sizeof(*c->services));
	c->service_count = 1;
	c->services[0].service = name_id("db");
	c->services[0].connections = 16;
	c->services[0].sync_replicas = 1;
	c->accounts = calloc(1, sizeof(*c->accounts));
	c->account_count = 1;
	g_strlcpy(c->accounts[0].name, "acme", NAME_BYTES);
	c->accounts[0].account = name_id("acme");
	c->accounts[0].version = c->version;
	c->accounts[0].rate = rate;
	c->accounts[0].burst = rate;
	c->accounts[0].weight = 1;
	if (with_key)
		site_config_add_key(c, c->accounts[0].account,
				    key_hash("secret", 6));
	site_config_index(c);
	proxy_fixture_step(r, &e);
}

void proxy_fixture_set_members(struct proxy_fixture *r, uint64_t revision)
{
	struct site_members *m = calloc(1, sizeof(*m));
	struct proxy_event e = { .kind = PROXY_MEMBERS, .members = m };
	uint32_t i;

	m->at.revision = revision;
	m->list = calloc(2, sizeof(*m->list));
	m->count = 2;
	for (i = 0; i < 2; i++) {
		g_snprintf(m->list[i].name, NAME_BYTES, "m%u", i + 1);
		m->list[i].endpoint = i + 1;
		m->list[i].service = name_id("db");
		g_strlcpy(m->list[i].service_name, "db", NAME_BYTES);
		g_strlcpy(m->list[i].address, "10.0.0.1:1", ADDRESS_BYTES);
		m->list[i].slots = 2;
		m->list[i].registered_primary = i == 0;
	}
	proxy_fixture_step(r, &e);
}

void proxy_fixture_start(struct proxy_fixture *r)
{
	struct proxy_options o;

	memset(r, 0, sizeof(*r));
	r->now = START;
	r->primary_pos = 50;
	r->replica_pos = 50;
	r->record.voters.at.revision = 1;
	r->record.committed = true;
	voter_record_add(&r->record, 1, 0, "m1", "10.0.0.1:1");
	voter_record_add(&r->record, 2, 0, "m2", "10.0.0.1:1");
	proxy_options_default(&o);
	o.core.incarnation = 77;
	o.core.instance = 7;
	o.core.zone_count = 1;
	o.core.seed = 1;
	/* The monitor sends no probes in these tests. */
	o.member_probe_every = 3600 * HM_SEC;
	o.member_probe_limit = 3600 * HM_SEC;
	r->proxy = proxy_new(&o, r->now);
	r->text = g_string_new(NULL);
	r->log = g_string_new(NULL);
}

void proxy_fixture_open(struct proxy_fixture *r)
{
	proxy_fixture_start(r);
	proxy_fixture_configure(r, true, true, 100);
	proxy_fixture_set_members(r, 1);
	proxy_fixture_run(r, 3 * HM_SEC);
	g_string_truncate(r->text, 0);
}

void proxy_fixture_close(struct proxy_fixture *r)
{
	proxy_free(r->proxy);
	proxy_output_free(&r->out);
	g_string_free(r->text, TRUE);
	g_string_free(r->log, TRUE);
}

void proxy_fixture_open_session(struct proxy_fixture *r, uint64_t client,
				const char *database, const char *key)
{
	struct proxy_event e = { .kind = PROXY_CLIENT_OPENED };

	e.opened.client = client;
	e.opened.database = name_id(database);
	e.opened.has_key = true;
	e.opened.key = key_hash(key, strlen(key));
	proxy_fixture_step(r, &e);
}

void proxy_fixture_request_as(struct proxy_fixture *r, uint64_t client,
			      enum statement_op op, const char *request,
			      const char *name, const char *text)
{
	struct proxy_event e = { .kind = PROXY_CLIENT_REQUEST };

	e.asked.client = client;
	e.asked.op = op;
	e.asked.request = request;
	e.asked.name = name;
	e.asked.text = text;
	e.asked.writes = op == STMT_WRITE;
	proxy_fixture_step(r, &e);
}

void proxy_fixture_request(struct proxy_fixture *r, enum statement_op op,
			   const char *request, const char *name,
			   const char *text)
{
	proxy_fixture_request_as(r, 1, op, request, name, text);
}

void proxy_fixture_reply(struct proxy_fixture *r, uint64_t conn,
			 enum error error, enum session_state state)
{
	struct member_reply m = { .error = error,
				  .state = state,
				  .at = { 1, r->primary_pos },
				  .signature = error ? NULL : "proof" };
	struct proxy_event e = { .kind = PROXY_MEMBER_REPLIED };

	e.member.conn = conn;
	e.member.reply = &m;
	proxy_fixture_step(r, &e);
}

void proxy_fixture_ready(struct proxy_fixture *r, uint64_t conn)
{
	struct proxy_event e = { .kind = PROXY_MEMBER_READY,
				 .member.conn = conn };

	proxy_fixture_step(r, &e);
}

uint64_t proxy_fixture_connect(struct proxy_fixture *r)
{
	uint64_t conn;

	proxy_fixture_open_session(r, 1, "rota", "secret");
	proxy_text_expect(r->text, "answer 1 ok I\n");
	proxy_fixture_request(r, STMT_WRITE, "a1", NULL, "WRITE k v");
	ck_assert_int_eq(sscanf(r->text->str,
				"connect %" G_GUINT64_FORMAT " m1 acme\n",
				&conn),
			 1);
	proxy_fixture_ready(r, conn);
	proxy_fixture_reply(r, conn, ERR_NONE, SESSION_IDLE);
	ck_assert(g_str_has_suffix(r->text->str,
				   "answer 1 ok I signature=proof\n"));
	g_string_truncate(r->text, 0);
	return conn;
}
