/** @file testbed_script.c Runs scripts on a testbed. */
#include "testbed_script.h"

#include <string.h>

#include "testbed.h"

#define START_TIME HM_SEC
#define DELIVERIES_MAX 2000

static const char *const op_names[] = {
	[CONTROL_PROBE] = "probe",     [CONTROL_FENCE] = "fence",
	[CONTROL_PROMOTE] = "promote", [CONTROL_FOLLOW] = "follow",
	[CONTROL_SET_OWNER] = "home",  [CONTROL_PROBE_NEW_CONN] = "fresh",
};

static struct packet *oldest_packet(struct testbed *b)
{
	struct packet *found = NULL;
	uint32_t i;

	for (i = 0; i < b->in_flight_count; i++) {
		struct packet *p = &b->in_flight[i];

		if (p->due > b->now ||
		    (p->to < TESTBED_PROXIES && b->proxies[p->to].paused))
			continue;
		if (!found || p->number < found->number)
			found = p;
	}
	return found;
}

static void deliver_all(struct testbed *b)
{
	uint32_t left = DELIVERIES_MAX;
	struct packet *p;

	while (left-- && (p = oldest_packet(b)))
		testbed_deliver(b, (uint32_t)(p - b->in_flight));
}

static void replicate(struct testbed *b)
{
	uint32_t i;

	for (i = 0; i < FAKE_MEMBERS; i++) {
		struct fake_member *m = &b->fakes.members[i];
		uint32_t from = (uint32_t)(m->target - fake_endpoint(0));

		if (m->target && !b->lagging[i] &&
		    testbed_linked(b, TESTBED_PROXIES + i,
				   TESTBED_PROXIES + from))
			fake_replicate(&b->fakes, m, FAKE_LOG);
	}
}

void testbed_pass(struct testbed *b, hm_time time)
{
	hm_time end = b->now + time;
	uint32_t i;

	while (b->now < end) {
		deliver_all(b);
		testbed_advance(b, CORE_TICK);
		replicate(b);
		for (i = 0; i < TESTBED_PROXIES; i++)
			testbed_tick(b, i);
	}
}

static uint32_t node_arg(const char *line, const char *name)
{
	char *value = script_arg(line, name);
	uint32_t node = 0;

	if (value)
		node = (uint32_t)(value[1] - '0') +
		       (value[0] == 'm' ? TESTBED_PROXIES : 0);
	g_free(value);
	return node;
}

static uint32_t index_arg(const char *line, const char *name)
{
	return (uint32_t)script_int(line, name, 0);
}

static enum control_op op_arg(const char *line)
{
	char *value = script_arg(line, "step");
	enum control_op op = CONTROL_PROBE;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(op_names); i++)
		if (!g_strcmp0(value, op_names[i]))
			op = (enum control_op)i;
	g_free(value);
	return op;
}

static void do_run(struct testbed *b, const char *line, GString *out)
{
	(void)out;
	testbed_pass(b, script_int(line, "ms", 0) * HM_MS);
}

static void do_write(struct testbed *b, const char *line, GString *out)
{
	if (!testbed_write(b, index_arg(line, "session"),
			   index_arg(line, "proxy")))
		g_string_append(out, "waits\n");
}

static void do_read(struct testbed *b, const char *line, GString *out)
{
	if (!testbed_read(b, index_arg(line, "session"),
			  index_arg(line, "proxy"),
			  script_int(line, "age", 0) * HM_MS))
		g_string_append(out, "waits\n");
}

static void do_cut(struct testbed *b, const char *line, GString *out)
{
	gint64 zone = script_int(line, "zone", -1);
	uint32_t i;

	(void)out;
	if (zone < 0)
		testbed_cut(b, node_arg(line, "a"), node_arg(line, "b"), true);
	for (i = 0; zone >= 0 && i < TESTBED_NODES; i++) {
		if (i % TESTBED_PROXIES == zone)
			continue;
		testbed_cut(b, (uint32_t)zone, i, true);
		testbed_cut(b, TESTBED_PROXIES + (uint32_t)zone, i, true);
	}
}

static void do_heal(struct testbed *b, const char *line, GString *out)
{
	(void)line;
	(void)out;
	memset(b->cut, 0, sizeof(b->cut));
}

static void do_down(struct testbed *b, const char *line, GString *out)
{
	(void)out;
	b->fakes.members[index_arg(line, "member")].down = true;
}

static void do_up(struct testbed *b, const char *line, GString *out)
{
	(void)out;
	b->fakes.members[index_arg(line, "member")].down = false;
}

static void do_silent(struct testbed *b, const char *line, GString *out)
{
	(void)out;
	b->fakes.members[index_arg(line, "member")].silent = true;
}

static void do_pause(struct testbed *b, const char *line, GString *out)
{
	(void)out;
	b->proxies[index_arg(line, "proxy")].paused = true;
}

static void do_resume(struct testbed *b, const char *line, GString *out)
{
	(void)out;
	b->proxies[index_arg(line, "proxy")].paused = false;
}

static void do_lag(struct testbed *b, const char *line, GString *out)
{
	(void)out;
	b->lagging[index_arg(line, "member")] = true;
}

static void do_ship(struct testbed *b, const char *line, GString *out)
{
	(void)out;
	b->lagging[index_arg(line, "member")] = false;
}

static void do_lose(struct testbed *b, const char *line, GString *out)
{
	(void)out;
	b->replies_to_lose[op_arg(line)] = index_arg(line, "count");
}

static void do_rewind(struct testbed *b, const char *line, GString *out)
{
	(void)out;
	b->fakes.members[index_arg(line, "member")].pos =
		(uint64_t)script_int(line, "pos", 0);
}

static void do_token(struct testbed *b, const char *line, GString *out)
{
	struct session *s = &b->sessions[index_arg(line, "session")];

	(void)out;
	s->own_commit.term = (uint64_t)script_int(line, "term", 0);
	s->own_commit.pos = (uint64_t)script_int(line, "pos", 0);
	s->unsure = script_int(line, "unsure", 0);
}

static void do_block(struct testbed *b, const char *line, GString *out)
{
	(void)out;
	b->blocked[op_arg(line)][index_arg(line, "member")] =
		script_int(line, "on", 1);
}

static void do_repeat(struct testbed *b, const char *line, GString *out)
{
	(void)out;
	b->run_twice[op_arg(line)] = true;
}

static void do_take_ownership(struct testbed *b, const char *line, GString *out)
{
	(void)out;
	testbed_take_ownership(b, index_arg(line, "proxy"),
			       index_arg(line, "member"));
}

/* Sets how long writes wait for a replica before a majority suffices. */
static void do_replica_wait(struct testbed *b, const char *line, GString *out)
{
	uint32_t i;

	(void)out;
	for (i = 0; i < TESTBED_PROXIES; i++)
		b->proxies[i].options.replica_wait =
			script_int(line, "ms", 0) * HM_MS;
}

static void do_leave(struct testbed *b, const char *line, GString *out)
{
	struct database_spec spec = *group_database(b->proxies[0].group);
	uint32_t i;

	(void)out;
	spec.endpoints[index_arg(line, "member")].leaving = true;
	for (i = 0; i < TESTBED_PROXIES; i++)
		group_set_spec(b->proxies[i].group, &spec);
}

static void do_stalled(struct testbed *b, const char *line, GString *out)
{
	uint32_t i = index_arg(line, "proxy");

	g_string_append(out, verify_is_stalled(b->proxies[i].verify,
					       testbed_local_time(b, i))
				     ? "stalled\n"
				     : "proved\n");
}

static void do_remove(struct testbed *b, const char *line, GString *out)
{
	struct database_spec spec = *group_database(b->proxies[0].group);
	uint32_t gone = index_arg(line, "member");
	uint32_t i;

	(void)out;
	spec.endpoint_count--;
	for (i = gone; i < spec.endpoint_count; i++)
		spec.endpoints[i] = spec.endpoints[i + 1];
	for (i = 0; i < TESTBED_PROXIES; i++)
		group_set_spec(b->proxies[i].group, &spec);
}

static void do_state(struct testbed *b, const char *line, GString *out)
{
	uint32_t i;

	(void)line;
	for (i = 0; i < FAKE_MEMBERS; i++) {
		const struct fake_member *m = &b->fakes.members[i];
		struct log_pos at = fake_at(m);

		g_string_append_printf(
			out, "member=%u %s promised=%u at=%u:%u\n", i,
			m->role == ROLE_PRIMARY ? "primary" : "replica",
			(guint)m->promised, (guint)at.term, (guint)at.pos);
	}
}

static void do_check(struct testbed *b, const char *line, GString *out)
{
	(void)line;
	g_string_append_printf(out, "%s\n",
			       b->violation ? b->violation : "no rule broken");
}

static const struct {
	const char *name;
	void (*run)(struct testbed *b, const char *line, GString *out);
} commands[] = {
	{ "write", do_write },	 { "read", do_read },
	{ "run", do_run },	 { "cut", do_cut },
	{ "heal", do_heal },	 { "down", do_down },
	{ "up", do_up },	 { "pause", do_pause },
	{ "resume", do_resume }, { "lag", do_lag },
	{ "ship", do_ship },	 { "lose", do_lose },
	{ "repeat", do_repeat }, { "take", do_take_ownership },
	{ "leave", do_leave },	 { "patience", do_replica_wait },
	{ "state", do_state },	 { "truth", do_check },
	{ "silent", do_silent }, { "block", do_block },
	{ "rewind", do_rewind }, { "stalled", do_stalled },
	{ "remove", do_remove }, { "token", do_token },
};

static void command(void *context, const char *line, GString *out)
{
	struct testbed *b = context;
	char **words = g_strsplit(line, " ", 2);
	guint i;

	b->log = out;
	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		if (!strcmp(words[0], commands[i].name))
			break;
	if (i < G_N_ELEMENTS(commands))
		commands[i].run(b, line, out);
	else
		g_string_append(out, "unknown command\n");
	deliver_all(b);
	b->log = NULL;
	g_strfreev(words);
}

char *testbed_script_run(const char *file)
{
	struct testbed *b = g_new0(struct testbed, 1);
	char *fault;

	testbed_init(b, 1, 0, NULL);
	testbed_pass(b, START_TIME);
	b->started_at = b->now;
	fault = script_run(file, command, b);
	testbed_free(b);
	g_free(b);
	return fault;
}
