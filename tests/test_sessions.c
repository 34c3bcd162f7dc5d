/**
 * @file test_sessions.c
 * Sessions of callers in one instance that also holds the members: from what
 * a caller asks to what it is answered. Runs are compared as text.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../src/names.h"
#include "proxy_text.h"
#include "suite.h"

#define START (100 * HM_SEC)

struct rig {
	struct proxy *proxy;
	struct proxy_output out;
	GString *text;
	hm_time now;
	uint64_t version;
	uint64_t peer_seq;
	uint32_t sent[MSG_KIND_COUNT]; /* to peers, by the last step */
};

static void step(struct rig *r, const struct proxy_event *e)
{
	size_t i;

	proxy_step(r->proxy, e, r->now, &r->out);
	memset(r->sent, 0, sizeof(r->sent));
	for (i = 0; i < r->out.peers.count; i++)
		r->sent[r->out.peers.list[i].send.message.kind]++;
	proxy_text(r->text, &r->out);
}

static void run(struct rig *r, hm_time span)
{
	struct proxy_event tick = { .kind = PROXY_TICKED };
	hm_time until = r->now + span;

	for (; r->now < until; r->now += PROXY_TICK)
		step(r, &tick);
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

/* The next version; @a keys of the account that is over there. */
static void configure(struct rig *r, bool with_key, bool with_route,
		      uint32_t rate)
{
	struct site_config *c = calloc(1, sizeof(*c));
	struct proxy_event e = { .kind = PROXY_CONFIG, .config = c };

	c->version = ++r->version;
	c->routes = calloc(2, sizeof(*c->routes));
	if (with_route)
		add_route(c, "rota", CONSISTENT_PRIMARY);
	add_route(c, "view", CONSISTENT_BOUNDED);
	c->services = calloc(1, sizeof(*c->services));
	c->service_count = 1;
	c->services[0].service = name_id("db");
	c->services[0].connections = 16;
	c->accounts = calloc(1, sizeof(*c->accounts));
	c->account_count = 1;
	g_strlcpy(c->accounts[0].name, "acme", NAME_BYTES);
	c->accounts[0].account = name_id("acme");
	c->accounts[0].version = c->version;
	c->accounts[0].rate = rate;
	c->accounts[0].burst = rate;
	c->accounts[0].weight = 1;
	c->accounts[0].key_count = with_key;
	c->accounts[0].keys[0] = key_hash("secret", 6);
	site_config_index(c);
	step(r, &e);
}

/* A primary m1 and a replica m2. */
static void list_members(struct rig *r, uint64_t revision)
{
	struct site_members *m = calloc(1, sizeof(*m));
	struct proxy_event e = { .kind = PROXY_MEMBERS, .members = m };
	uint32_t i;

	m->revision = revision;
	m->list = calloc(2, sizeof(*m->list));
	m->count = 2;
	for (i = 0; i < 2; i++) {
		g_snprintf(m->list[i].name, NAME_BYTES, "m%u", i + 1);
		m->list[i].endpoint = i + 1;
		m->list[i].service = name_id("db");
		g_strlcpy(m->list[i].service_name, "db", NAME_BYTES);
		g_strlcpy(m->list[i].address, "10.0.0.1:1", ADDRESS_BYTES);
		m->list[i].slots = 2;
		m->list[i].says_primary = i == 0;
	}
	step(r, &e);
}

static void rig_open(struct rig *r)
{
	struct proxy_options o;

	memset(r, 0, sizeof(*r));
	r->now = START;
	proxy_options_default(&o);
	o.core.life = 77;
	o.core.instance = 7;
	o.core.zone_count = 1;
	o.core.seed = 1;
	/* Keepers are not the matter here. */
	o.keeper_every = 3600 * HM_SEC;
	o.keeper_silent = 3600 * HM_SEC;
	r->proxy = proxy_new(&o, r->now);
	r->text = g_string_new(NULL);
	configure(r, true, true, 100);
	list_members(r, 1);
	run(r, 3 * HM_SEC);
	g_string_truncate(r->text, 0);
}

static void rig_close(struct rig *r)
{
	proxy_free(r->proxy);
	proxy_output_free(&r->out);
	g_string_free(r->text, TRUE);
}

static void open_session(struct rig *r, uint64_t client, const char *database,
			 const char *key)
{
	struct proxy_event e = { .kind = PROXY_CLIENT_OPENED };

	e.opened.client = client;
	e.opened.database = name_id(database);
	e.opened.has_key = true;
	e.opened.key = key_hash(key, strlen(key));
	step(r, &e);
}

static void ask(struct rig *r, enum statement_op op, const char *request,
		const char *name, const char *text)
{
	struct proxy_event e = { .kind = PROXY_CLIENT_ASKED };

	e.asked.client = 1;
	e.asked.op = op;
	e.asked.request = request;
	e.asked.name = name;
	e.asked.text = text;
	e.asked.writes = op == STMT_WRITE;
	step(r, &e);
}

static void reply(struct rig *r, uint64_t conn, enum error error,
		  enum session_state state)
{
	struct member_reply m = { .error = error,
				  .state = state,
				  .at = { 1, 50 },
				  .signature = error ? NULL : "proof" };
	struct proxy_event e = { .kind = PROXY_MEMBER_REPLIED };

	e.member.conn = conn;
	e.member.reply = &m;
	step(r, &e);
}

static void ready(struct rig *r, uint64_t conn)
{
	struct proxy_event e = { .kind = PROXY_MEMBER_READY,
				 .member.conn = conn };

	step(r, &e);
}

static void closed(struct rig *r, uint64_t conn)
{
	struct proxy_event e = { .kind = PROXY_MEMBER_CLOSED };

	e.member.conn = conn;
	e.member.error = ERR_NO_ENDPOINT;
	step(r, &e);
}

/* Opens session 1 and makes connection @a conn to m1 for it. */
static uint64_t warm(struct rig *r)
{
	uint64_t conn;

	open_session(r, 1, "rota", "secret");
	proxy_text_expect(r->text, "answer 1 ok I\n");
	ask(r, STMT_WRITE, "a1", NULL, "WRITE k v");
	ck_assert_int_eq(sscanf(r->text->str,
				"connect %" G_GUINT64_FORMAT " m1 acme\n",
				&conn),
			 1);
	ready(r, conn);
	reply(r, conn, ERR_NONE, SESSION_IDLE);
	ck_assert(g_str_has_suffix(r->text->str,
				   "answer 1 ok I signature=proof\n"));
	g_string_truncate(r->text, 0);
	return conn;
}

/* Opens a transaction of session 1, with one read. */
static void open_tx(struct rig *r, uint64_t conn)
{
	ask(r, STMT_BEGIN, "b1", NULL, NULL);
	ask(r, STMT_READ, "b2", NULL, "READ k");
	reply(r, conn, ERR_NONE, SESSION_OPEN);
	reply(r, conn, ERR_NONE, SESSION_OPEN);
}

START_TEST(strangers_are_turned_away)
{
	struct rig r;

	rig_open(&r);
	open_session(&r, 1, "rota", "guess");
	proxy_text_expect(r.text, "answer 1 unauthenticated I\nend 1\n");
	open_session(&r, 1, "nowhere", "secret");
	proxy_text_expect(r.text, "answer 1 not_found I\nend 1\n");
	rig_close(&r);
}
END_TEST

START_TEST(session_statements_are_answered_here)
{
	struct rig r;

	rig_open(&r);
	open_session(&r, 1, "rota", "secret");
	ask(&r, STMT_SET, "a1", "tz", "utc");
	ask(&r, STMT_PREPARE, "a2", "p", "q2c");
	ask(&r, STMT_DEALLOCATE, "a3", "p", NULL);
	ask(&r, STMT_DEALLOCATE, "a4", "p", NULL);
	ask(&r, STMT_EXECUTE, "a5", "p", "1");
	ask(&r, STMT_COMMIT, "a6", NULL, "COMMIT");
	proxy_text_expect(r.text, "answer 1 ok I\nanswer 1 ok I\n"
				  "answer 1 ok I\nanswer 1 ok I\n"
				  "answer 1 no_statement I\n"
				  "answer 1 no_statement I\n"
				  "answer 1 bad_request I\n");
	rig_close(&r);
}
END_TEST

START_TEST(transaction_runs_and_commits)
{
	uint64_t conn;
	struct rig r;

	rig_open(&r);
	conn = warm(&r);
	ask(&r, STMT_BEGIN, "b1", NULL, NULL);
	proxy_text_expect(r.text, "answer 1 ok T\n");
	ask(&r, STMT_READ, "b2", NULL, "READ k");
	reply(&r, conn, ERR_NONE, SESSION_OPEN);
	reply(&r, conn, ERR_NONE, SESSION_OPEN);
	ask(&r, STMT_COMMIT, "b3", NULL, "COMMIT");
	reply(&r, conn, ERR_NONE, SESSION_IDLE);
	ck_assert(g_str_has_suffix(r.text->str,
				   "answer 1 ok I signature=proof\n"));
	ck_assert_ptr_nonnull(strstr(r.text->str, "answer 1 ok T signature"));
	rig_close(&r);
}
END_TEST

START_TEST(failed_transaction_takes_only_its_end)
{
	uint64_t conn;
	struct rig r;

	rig_open(&r);
	conn = warm(&r);
	ask(&r, STMT_BEGIN, "b1", NULL, NULL);
	ask(&r, STMT_READ, "b2", NULL, "READ k");
	reply(&r, conn, ERR_NONE, SESSION_OPEN);
	reply(&r, conn, ERR_STATEMENT, SESSION_FAILED);
	g_string_truncate(r.text, 0);
	ask(&r, STMT_READ, "b3", NULL, "READ k");
	ask(&r, STMT_COMMIT, "b4", NULL, "COMMIT");
	proxy_text_expect(r.text, "answer 1 bad_request E\n"
				  "answer 1 transaction_gone I\n");
	rig_close(&r);
}
END_TEST

START_TEST(lost_write_is_in_doubt)
{
	uint64_t conn;
	struct rig r;

	rig_open(&r);
	conn = warm(&r);
	ask(&r, STMT_WRITE, "a2", NULL, "WRITE k v");
	closed(&r, conn);
	ck_assert_ptr_nonnull(strstr(r.text->str, "answer 1 outcome_unknown"));
	rig_close(&r);
}
END_TEST

/* A statement of a transaction that was never committed is kept nowhere. */
START_TEST(lost_connection_in_a_transaction_aborts_it)
{
	uint64_t conn;
	struct rig r;

	rig_open(&r);
	conn = warm(&r);
	open_tx(&r, conn);
	closed(&r, conn);
	g_string_truncate(r.text, 0);
	ask(&r, STMT_READ, "b3", NULL, "READ k");
	proxy_text_expect(r.text, "answer 1 transaction_gone E later\n");
	rig_close(&r);
}
END_TEST

START_TEST(revoked_key_ends_open_sessions)
{
	uint64_t conn;
	struct rig r;

	rig_open(&r);
	conn = warm(&r);
	open_tx(&r, conn);
	g_string_truncate(r.text, 0);
	configure(&r, false, true, 100);
	ck_assert_ptr_nonnull(strstr(r.text->str, "end 1\n"));
	ck_assert_ptr_nonnull(strstr(r.text->str, "rollback"));
	rig_close(&r);
}
END_TEST

START_TEST(dropped_route_holds_until_the_transaction_ends)
{
	uint64_t conn;
	struct rig r;

	rig_open(&r);
	conn = warm(&r);
	open_tx(&r, conn);
	configure(&r, true, false, 100);
	ask(&r, STMT_COMMIT, "b3", NULL, "COMMIT");
	reply(&r, conn, ERR_NONE, SESSION_IDLE);
	ck_assert(g_str_has_suffix(r.text->str,
				   "answer 1 ok I signature=proof\n"));
	g_string_truncate(r.text, 0);
	ask(&r, STMT_READ, "c1", NULL, "READ k");
	proxy_text_expect(r.text, "answer 1 not_found I\nend 1\n");
	rig_close(&r);
}
END_TEST

START_TEST(older_configuration_is_ignored)
{
	struct rig r;

	rig_open(&r);
	configure(&r, false, true, 100);
	r.version -= 2; /* a late copy of the first one */
	configure(&r, true, true, 100);
	open_session(&r, 1, "rota", "secret");
	proxy_text_expect(r.text, "answer 1 unauthenticated I\nend 1\n");
	rig_close(&r);
}
END_TEST

/* Over its rate, with nothing minted anywhere: told at once, not held. */
START_TEST(over_rate_is_refused_at_once)
{
	uint64_t conn;
	struct rig r;
	int i;

	rig_open(&r);
	conn = warm(&r);
	configure(&r, true, true, 2);
	for (i = 0; i < 3; i++) {
		g_string_truncate(r.text, 0);
		ask(&r, STMT_WRITE, "a2", NULL, "WRITE k v");
		if (strstr(r.text->str, "statement"))
			reply(&r, conn, ERR_NONE, SESSION_IDLE);
	}
	proxy_text_expect(r.text, "answer 1 rate_limited I later\n");
	rig_close(&r);
}
END_TEST

/* Messages of a kind that the last step sent to peers. */
static uint32_t sent_of(const struct rig *r, enum message_kind kind)
{
	return r->sent[kind];
}

static void heartbeat(struct rig *r, uint64_t instance)
{
	struct message m = { .kind = MSG_HEARTBEAT };
	struct proxy_event e = { .kind = PROXY_MESSAGE, .message = &m };

	m.from = 1000 + instance;
	m.seq = ++r->peer_seq;
	m.heartbeat.instance = instance;
	step(r, &e);
}

/* Heartbeats come every 300 ms: after 500 ms without one work goes no more. */
START_TEST(home_that_falls_silent_gets_nothing_new)
{
	uint64_t instance;
	struct rig r;

	/* An instance that is home of m1 in place of this one. */
	for (instance = 1;; instance++) {
		rig_open(&r);
		open_session(&r, 1, "rota", "secret");
		heartbeat(&r, instance);
		ask(&r, STMT_WRITE, "a1", NULL, "WRITE k v");
		if (sent_of(&r, MSG_RUN))
			break;
		rig_close(&r);
	}
	rig_close(&r);
	rig_open(&r);
	open_session(&r, 1, "rota", "secret");
	heartbeat(&r, instance);
	run(&r, 600 * HM_MS);
	g_string_truncate(r.text, 0);
	ask(&r, STMT_WRITE, "a1", NULL, "WRITE k v");
	ck_assert_uint_eq(sent_of(&r, MSG_RUN), 0);
	proxy_text_expect(r.text, "answer 1 no_primary I later\n");
	rig_close(&r);
}
END_TEST

START_TEST(changed_limit_ends_a_stop_sooner)
{
	struct proxy_event limits = { .kind = PROXY_LIMITS };
	struct proxy_event stop = { .kind = PROXY_STOP };
	struct rig r;

	rig_open(&r);
	open_tx(&r, warm(&r));
	limits.limits.drain_limit = 5 * HM_SEC;
	limits.limits.stop_limit = HM_SEC;
	step(&r, &limits);
	step(&r, &stop);
	g_string_truncate(r.text, 0);
	run(&r, 1100 * HM_MS);
	ck_assert_ptr_nonnull(strstr(r.text->str, "end 1\n"));
	rig_close(&r);
}
END_TEST

START_TEST(stop_lets_a_transaction_end)
{
	struct proxy_event stop = { .kind = PROXY_STOP };
	uint64_t conn;
	struct rig r;

	rig_open(&r);
	conn = warm(&r);
	open_tx(&r, conn);
	g_string_truncate(r.text, 0);
	step(&r, &stop);
	proxy_text_expect(r.text, "ready 0\n");
	run(&r, 2500 * HM_MS);
	ck_assert_ptr_null(strstr(r.text->str, "end 1"));
	ask(&r, STMT_COMMIT, "b3", NULL, "COMMIT");
	reply(&r, conn, ERR_NONE, SESSION_IDLE);
	run(&r, 200 * HM_MS);
	ck_assert_ptr_nonnull(strstr(r.text->str, "end 1\n"));
	run(&r, HM_SEC);
	ck_assert(g_str_has_suffix(r.text->str, "stopped\n"));
	rig_close(&r);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("sessions");

	tcase_add_test(tc, strangers_are_turned_away);
	tcase_add_test(tc, session_statements_are_answered_here);
	tcase_add_test(tc, transaction_runs_and_commits);
	tcase_add_test(tc, failed_transaction_takes_only_its_end);
	tcase_add_test(tc, lost_write_is_in_doubt);
	tcase_add_test(tc, lost_connection_in_a_transaction_aborts_it);
	tcase_add_test(tc, revoked_key_ends_open_sessions);
	tcase_add_test(tc, dropped_route_holds_until_the_transaction_ends);
	tcase_add_test(tc, older_configuration_is_ignored);
	tcase_add_test(tc, over_rate_is_refused_at_once);
	tcase_add_test(tc, home_that_falls_silent_gets_nothing_new);
	tcase_add_test(tc, changed_limit_ends_a_stop_sooner);
	tcase_add_test(tc, stop_lets_a_transaction_end);
	return suite_run("sessions", tc);
}
