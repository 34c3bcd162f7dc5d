/** @file single_core.c Runs one core and records a trace of it. */
#include "single_core.h"

#include <check.h>
#include <stdio.h>

#define DATABASE 77
#define ACCOUNT 55
#define INCARNATION 1001
#define STEPS 1500
#define WRITES_MAX 60

static void queue_reply(struct single_core *s, const struct event *e)
{
	g_queue_push_tail(&s->replies, g_memdup2(e, sizeof(*e)));
}

static struct fake_member *member_of(struct single_core *s, uint64_t conn)
{
	gpointer index =
		g_hash_table_lookup(s->endpoints, GSIZE_TO_POINTER(conn));

	return &s->fakes.members[GPOINTER_TO_SIZE(index)];
}

static void connect_member(struct single_core *s, const struct action *a)
{
	struct event e = { .kind = EV_CONNECTED };
	gsize index = a->conn.endpoint - fake_endpoint(0);

	g_hash_table_insert(s->endpoints, GSIZE_TO_POINTER(a->conn.conn),
			    GSIZE_TO_POINTER(index));
	e.conn.conn = a->conn.conn;
	if (s->fakes.members[index].down) {
		e.kind = EV_CLOSED;
		e.conn.failed = true;
	}
	queue_reply(s, &e);
}

static void execute(struct single_core *s, const struct action *a)
{
	struct fake_member *m = member_of(s, a->conn.conn);
	struct event e = { .kind = EV_DONE };

	e.done.conn = a->conn.conn;
	e.done.id = a->conn.statement.id;
	e.done.before = fake_at(m);
	if (m->down)
		e.done.done = DONE_LOST;
	else if (a->conn.statement.op == OP_WRITE &&
		 !fake_write(m, ++s->writes % 64))
		e.done.done = DONE_REFUSED;
	e.done.after = fake_at(m);
	e.done.lineage = m->lineage;
	e.done.body = s->writes;
	queue_reply(s, &e);
}

static void control(struct single_core *s, const struct action *a)
{
	struct fake_member *m = fake_member(&s->fakes, a->control.endpoint);
	struct event e = { .kind = EV_STATE };

	if (a->control.op == CONTROL_SET_OWNER)
		m->owner = a->control.requester;
	e.state.nonce = a->control.nonce;
	e.state.state = fake_control(&s->fakes, &a->control);
	e.state.state.database = DATABASE;
	e.state.state.endpoint = a->control.endpoint;
	e.state.state.owner = m->owner;
	queue_reply(s, &e);
}

static void perform(struct single_core *s, const struct action *a)
{
	struct event e = { .kind = EV_DONE };

	switch (a->kind) {
	case ACT_CONNECT:
		connect_member(s, a);
		break;
	case ACT_EXECUTE:
		execute(s, a);
		break;
	case ACT_RESET:
		e.done.conn = a->conn.conn;
		queue_reply(s, &e);
		break;
	case ACT_CONTROL:
		control(s, a);
		break;
	case ACT_ANSWER:
		s->answers++;
		s->answered_ok += a->answer.error == ERR_NONE;
		if (log_pos_compare(a->answer.at, s->floor) > 0)
			s->floor = a->answer.at;
		break;
	default:
		break;
	}
}

static void feed(struct single_core *s, const struct event *e)
{
	size_t i;

	trace_event(s->trace, e, s->now);
	core_step(s->core, e, s->now, &s->actions);
	trace_actions(s->trace, &s->actions);
	for (i = 0; i < s->actions.count; i++)
		perform(s, &s->actions.list[i]);
	actions_clear(&s->actions);
}

static void feed_configuration(struct single_core *s)
{
	struct contract contract = {
		.account = ACCOUNT,
		.name = "a",
		.version = 1,
		.rate = 100,
		.burst = 200,
		.weight = 1,
		.transactions = 2,
		.serve_isolated = true,
		.database_count = 1,
		.databases = { { DATABASE, "d", 10 * HM_SEC } },
		.key_count = 1,
		.keys = { { SINGLE_CORE_KEY_HI, SINGLE_CORE_KEY_LO } }
	};
	struct database_spec database = { .database = DATABASE,
					  .name = "d",
					  .version = 2,
					  .endpoint_count = FAKE_MEMBERS };
	struct listed_instance self = { .instance = 1 };
	struct event e = { .kind = EV_CONTRACT, .contract = &contract };
	uint32_t i;

	for (i = 0; i < FAKE_MEMBERS; i++) {
		struct endpoint_spec *spec = &database.endpoints[i];

		spec->endpoint = fake_endpoint(i);
		g_snprintf(spec->name, NAME_BYTES, "d-%u", i);
		g_snprintf(spec->address, ADDRESS_BYTES, "127.0.0.1:%u", i + 1);
		spec->slots = 2;
		spec->connections = 8;
	}
	feed(s, &e);
	e = (struct event){ .kind = EV_DATABASE, .database = &database };
	feed(s, &e);
	e = (struct event){ .kind = EV_INSTANCES };
	e.instances.list = &self;
	e.instances.count = 1;
	feed(s, &e);
	e = (struct event){ .kind = EV_PLATFORM, .platform_ok = true };
	feed(s, &e);
}

static void feed_request(struct single_core *s, uint64_t number)
{
	struct event e = { .kind = EV_REQUEST };
	bool write = rng_below(&s->rng, 2) && s->writes < WRITES_MAX;

	e.request.id = (struct rid){ INCARNATION, number };
	e.request.op = write ? OP_WRITE : OP_READ;
	e.request.account = ACCOUNT;
	e.request.key =
		(struct key_id){ SINGLE_CORE_KEY_HI, SINGLE_CORE_KEY_LO };
	e.request.database = DATABASE;
	e.request.floor = s->floor;
	e.request.max_age = rng_below(&s->rng, 2) ? 5 * HM_SEC : 0;
	e.request.deadline = s->now + 2 * HM_SEC;
	e.request.body = number;
	e.request.body_bytes = 10;
	feed(s, &e);
}

static void feed_replies(struct single_core *s)
{
	guint count = s->replies.length;
	struct event *e;

	while (count-- && (e = g_queue_pop_head(&s->replies))) {
		feed(s, e);
		g_free(e);
	}
}

static void replicate(struct single_core *s)
{
	uint32_t i;

	for (i = 0; i < FAKE_MEMBERS; i++)
		fake_replicate(&s->fakes, &s->fakes.members[i], 4);
}

static void run(struct single_core *s)
{
	struct event tick = { .kind = EV_TICK };
	struct event stop = { .kind = EV_STOP };
	uint64_t requests = 0;
	int i;

	feed_configuration(s);
	for (i = 0; i < STEPS; i++) {
		s->now += CORE_TICK;
		feed(s, &tick);
		feed_replies(s);
		replicate(s);
		if (i > STEPS / 8 && i % 10 == 0 &&
		    requests < SINGLE_CORE_REQUESTS)
			feed_request(s, ++requests);
		s->fakes.members[0].down = i > STEPS / 2;
	}
	feed(s, &stop);
	for (i = 0; i < STEPS / 8; i++) {
		s->now += CORE_TICK;
		feed(s, &tick);
		feed_replies(s);
	}
}

static void fill_options(struct core_options *o, uint64_t seed)
{
	core_options_default(o);
	o->instance = 1;
	o->incarnation = INCARNATION;
	o->zone_count = 1;
	o->seed = seed;
}

char *single_core_record(uint64_t seed, struct single_core *s)
{
	char *path =
		g_strdup_printf("%s/hyssopmount-trace-%" G_GUINT64_FORMAT "-%d",
				g_get_tmp_dir(), seed, g_random_int());
	struct core_options options;
	char *text = NULL;

	*s = (struct single_core){ .rng = { seed }, .now = 5 * HM_SEC };
	fill_options(&options, seed);
	fake_init(&s->fakes);
	s->endpoints = g_hash_table_new(NULL, NULL);
	s->core = core_new(&options, s->now);
	s->trace = trace_open(path, &options, s->now);
	ck_assert_ptr_nonnull(s->trace);
	run(s);
	ck_assert(trace_close(s->trace));
	ck_assert(g_file_get_contents(path, &text, NULL, NULL));
	remove(path);
	g_queue_clear_full(&s->replies, g_free);
	g_hash_table_unref(s->endpoints);
	actions_free(&s->actions);
	core_free(s->core);
	g_free(path);
	return text;
}
