/**
 * @file test_load_replay.c
 * Replays a burst through one instance, without a network. The members belong
 * to a peer whose part is played here: each has one queue and two slots, and
 * states its load in each result. Only the proxy's own interface is used, so
 * that the same replay shows how it behaves without load levels.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "../core/proxy_state.h"
#include "../src/names.h"
#include "proxy_fixture.h"
#include "script.h"
#include "suite.h"

#define SESSIONS 400
#define QUEUE_MAX 1024
#define MEMBERS 2
#define SLOTS 2
#define STEP HM_MS
#define RETRIES 2
#define TARGET (200 * HM_MS)

/* A statement at a member; a free slot has id.seq 0. */
struct work {
	struct rid id;
	hm_time until; /* to start by, or the end while it runs */
};

struct member {
	struct work queue[QUEUE_MAX];
	uint32_t count;
	struct work slots[SLOTS];
};

struct client {
	bool busy;
	uint32_t attempts;
	hm_time asked_at;
	hm_time retry_at; /* 0: none */
};

struct run {
	struct proxy_fixture r;
	uint64_t owner;
	bool dead;	  /* the owner is silent and returns no results */
	hm_time work;	  /* slot time of each statement */
	hm_time own_wait; /* stated instead of the queue's wait, if not 0 */
	uint32_t at;	  /* by this member alone; 0: by all */
	struct member members[MEMBERS];
	struct client clients[SESSIONS + 1];
	enum statement_op op;
	uint32_t in_time, refused, sent[MEMBERS];
	hm_time slowest; /* longest time until a refusal */
};

static void step(struct run *u, const struct proxy_event *e);

static void answer_run(struct run *u, uint32_t m, struct rid id,
		       enum error error)
{
	struct member *b = &u->members[m];
	struct run_result r = { .id = id, .endpoint = m + 1, .error = error };
	struct message msg = { .kind = MSG_RUN_RESULT, .from = u->owner };
	struct proxy_event e = { .kind = PROXY_MESSAGE, .message = &msg };
	bool own = u->own_wait && (!u->at || u->at == m + 1);
	uint32_t i;

	if (u->dead)
		return;
	r.execution = error ? EXEC_NOT_RUN : EXEC_RUN;
	r.retry_at = error ? u->r.now + 100 * HM_MS : 0;
	r.load.known = true;
	for (i = 0; i < PRIORITY_LEVELS; i++)
		r.load.wait[i] = own ? u->own_wait : b->count * u->work / SLOTS;
	msg.ran = &r;
	msg.seq = ++u->r.peer_seq;
	step(u, &e);
}

static void take_answer(struct run *u, const struct proxy_action *a)
{
	struct client *c = &u->clients[a->answer.client];
	hm_time took = u->r.now - c->asked_at;

	c->busy = false;
	if (!a->answer.error) {
		u->in_time += took <= TARGET;
		return;
	}
	u->refused++;
	u->slowest = MAX(u->slowest, took);
	if (c->attempts <= RETRIES && a->answer.retry_in)
		c->retry_at = u->r.now + a->answer.retry_in;
}

static void take_run(struct run *u, const struct run_request *o)
{
	struct member *b = &u->members[o->endpoint - 1];

	ck_assert_uint_lt(b->count, QUEUE_MAX);
	u->sent[o->endpoint - 1]++;
	b->queue[b->count++] = (struct work){ o->id, o->start_by };
}

/* Passes an event; takes the answers, and the statements for the owner. */
static void step(struct run *u, const struct proxy_event *e)
{
	struct proxy_output out = { 0 };
	size_t i;

	proxy_step(u->r.proxy, e, u->r.now, &out);
	for (i = 0; i < out.count; i++)
		if (out.list[i].kind == PROXY_ANSWER &&
		    !out.list[i].answer.opened)
			take_answer(u, &out.list[i]);
	for (i = 0; i < out.peers.count; i++)
		if (out.peers.list[i].send.message.kind == MSG_RUN)
			take_run(u, out.peers.list[i].send.message.run);
	proxy_output_free(&out);
}

static void ask(struct run *u, uint64_t client, enum statement_op op)
{
	struct proxy_event e = { .kind = PROXY_CLIENT_REQUEST };
	struct client *c = &u->clients[client];

	c->busy = true;
	c->retry_at = 0;
	c->attempts++;
	c->asked_at = u->r.now;
	e.asked.client = client;
	e.asked.op = op;
	e.asked.request = "a";
	e.asked.text = "k";
	step(u, &e);
}

static struct work take_first(struct member *b)
{
	struct work first = b->count ? b->queue[0] : (struct work){ 0 };

	b->count -= b->count > 0;
	memmove(b->queue, b->queue + 1, b->count * sizeof(first));
	return first;
}

/* Ends statements, refuses those that can no longer start, starts others. */
static void serve(struct run *u, uint32_t m)
{
	struct member *b = &u->members[m];
	struct work *s, ended;

	while (b->count && b->queue[0].until < u->r.now)
		answer_run(u, m, take_first(b).id, ERR_OVERLOADED);
	for (s = b->slots; s < b->slots + SLOTS; s++) {
		ended = *s;
		if (ended.id.seq && u->r.now < ended.until)
			continue;
		*s = take_first(b);
		s->until = u->r.now + u->work;
		if (ended.id.seq)
			answer_run(u, m, ended.id, ERR_NONE);
	}
}

static void beat(struct run *u)
{
	struct message m = { .kind = MSG_HEARTBEAT, .from = u->owner };
	struct proxy_event e = { .kind = PROXY_MESSAGE, .message = &m };

	m.heartbeat.instance = u->owner - 1000;
	m.seq = ++u->r.peer_seq;
	step(u, &e);
}

static void one_step(struct run *u)
{
	struct proxy_event tick = { .kind = PROXY_TICKED };
	uint64_t i;

	u->r.now += STEP;
	if (u->r.now % PROXY_TICK == 0)
		step(u, &tick);
	if (!u->dead && u->r.now % (100 * HM_MS) == 0)
		beat(u);
	for (i = 0; i < MEMBERS; i++)
		serve(u, (uint32_t)i);
	for (i = 1; i <= SESSIONS; i++)
		if (u->clients[i].retry_at &&
		    u->clients[i].retry_at <= u->r.now)
			ask(u, i, u->op);
}

/* Operations at rate= a second for ms=, then nothing for after=. */
static void load(struct run *u, const char *line)
{
	gint64 rate = script_int(line, "rate", 0), due = 0;
	hm_time until = u->r.now + script_int(line, "ms", 0) * HM_MS;
	hm_time end = until + script_int(line, "after", 0) * HM_MS;
	uint64_t i;

	while (u->r.now < end) {
		one_step(u);
		due += u->r.now <= until ? rate * STEP : 0;
		for (; due >= HM_SEC; due -= HM_SEC) {
			for (i = 1;
			     u->clients[i].busy || u->clients[i].retry_at;)
				ck_assert_uint_lt(++i, SESSIONS);
			u->clients[i].attempts = 0;
			ask(u, i, u->op);
		}
	}
}

/* Opens a proxy whose members all belong to a peer. */
static void open_run(struct run *u, const char *line)
{
	char *database = script_arg(line, "database");
	const struct site_member *m;
	uint64_t i;

	memset(u, 0, sizeof(*u));
	u->work = script_int(line, "work", 1) * HM_MS;
	for (u->owner = 1001;; u->owner++) {
		proxy_fixture_open(&u->r);
		proxy_fixture_configure(&u->r, true, true, 10000);
		beat(u);
		m = u->r.proxy->members->list;
		if (member_owner(u->r.proxy, &m[0]) == u->owner &&
		    member_owner(u->r.proxy, &m[1]) == u->owner)
			break;
		proxy_fixture_close(&u->r);
	}
	u->r.proxy->options.scheduling.load_levels =
		script_int(line, "levels", 1);
	u->op = strcmp(database, "view") ? STMT_WRITE : STMT_READ;
	for (i = 1; i <= SESSIONS; i++)
		proxy_fixture_open_session(&u->r, i, database, "secret");
	free(database);
}

/* Prints the counts since the last time, and what misses a stated bound. */
static void show(struct run *u, const char *line, GString *out)
{
	hm_time limit = script_int(line, "refusal_ms", 10000) * HM_MS;

	if (script_int(line, "counts", 1))
		g_string_append_printf(out, "sent=%u,%u refused=%u\n",
				       u->sent[0], u->sent[1], u->refused);
	if (u->in_time < script_int(line, "in_time", 0))
		g_string_append_printf(out, "in_time=%u\n", u->in_time);
	if (u->slowest > limit)
		g_string_append_printf(out, "slowest refusal_ms=%d\n",
				       (int)(u->slowest / HM_MS));
	u->sent[0] = u->sent[1] = u->refused = u->in_time = 0;
	u->slowest = 0;
}

static void command(void *context, const char *line, GString *out)
{
	struct run *u = context;

	u->dead = script_int(line, "dead", u->dead);
	u->own_wait = script_int(line, "wait", 0) * HM_MS;
	u->at = (uint32_t)script_int(line, "at", 0);
	if (g_str_has_prefix(line, "open"))
		open_run(u, line);
	else if (g_str_has_prefix(line, "load"))
		load(u, line);
	else if (g_str_has_prefix(line, "begin"))
		ask(u, SESSIONS, STMT_BEGIN);
	else if (g_str_has_prefix(line, "write"))
		ask(u, SESSIONS, STMT_WRITE);
	else if (g_str_has_prefix(line, "show"))
		show(u, line, out);
	else if (g_str_has_prefix(line, "close"))
		proxy_fixture_close(&u->r);
}

START_TEST(scripted)
{
	struct run *u = calloc(1, sizeof(*u));
	char *fault = script_run("tests/scripts/load_replay.txt", command, u);

	ck_assert_msg(!fault, "%s", fault);
	free(u);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("load_replay");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, scripted);
	return suite_run("load_replay", tc);
}
