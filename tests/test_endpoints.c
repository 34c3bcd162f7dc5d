/**
 * @file test_endpoints.c
 * Scripted tests of the PostgreSQL driver and stand-in members, with several
 * faults at once. The scripts are tests/scripts/endpoints_*.txt.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "driver_fixture.h"
#include "script.h"
#include "suite.h"

#define INSTANCES 2

static const char *const ops[] = { "read", "write", "begin", "commit",
				   "rollback" };
static const char *const completions[] = { "ok", "rejected", "refused",
					   "not sent", "lost" };
static const char *const control_ops[] = { "probe",  "fence", "promote",
					   "follow", "home",  "fresh" };

/* The drivers of two instances; fixture.state is the current one. */
static struct driver_state *instances[INSTANCES];
static uint32_t current;

static int index_of(const char *const *words, int count, const char *line,
		    const char *name)
{
	char *word = script_arg(line, name);
	int i, found = 0;

	for (i = 0; word && i < count; i++)
		if (!strcmp(words[i], word))
			found = i;
	g_free(word);
	return found;
}

static uint64_t hex_arg(const char *line, const char *name)
{
	char *word = script_arg(line, name);
	uint64_t v = word ? g_ascii_strtoull(word, NULL, 16) : 0;

	g_free(word);
	return v;
}

static uint32_t member_arg(const char *line)
{
	return (uint32_t)script_int(line, "member", 0);
}

static uint64_t conn_arg(const char *line)
{
	return (uint64_t)script_int(line, "conn", 1);
}

static bool has_word(const char *line, const char *word)
{
	char **words = g_strsplit(line, " ", -1);
	bool found = g_strv_contains((const char *const *)words, word);

	g_strfreev(words);
	return found;
}

static void print_state(const struct endpoint_state *s, GString *out)
{
	if (!s->reachable) {
		g_string_append(out, "unreachable\n");
		return;
	}
	g_string_append_printf(out, "%s %s promised=%u at=%u/%u home=%x\n",
			       s->refused ? "refused" : "accepted",
			       s->role == ROLE_PRIMARY ? "primary" : "replica",
			       (uint32_t)s->promised, (uint32_t)s->at.term,
			       (uint32_t)s->at.pos, (uint32_t)s->owner);
}

/* Rows or error of the last result; "" for an empty result. */
static const char *body_summary(void)
{
	const char *body = fixture.last.body ? fixture.last.body : "";
	const char *rows = strstr(body, "\"rows\"");

	if (strstr(body, "\"rows\":[],\"affected\":0"))
		return "";
	return rows ? rows : body;
}

static void print_done(const struct event *e, GString *out)
{
	g_string_append_printf(
		out, "done %u %s %u/%u..%u/%u%s\n", (uint32_t)e->done.conn,
		completions[e->done.done], (uint32_t)e->done.before.term,
		(uint32_t)e->done.before.pos, (uint32_t)e->done.after.term,
		(uint32_t)e->done.after.pos, e->done.open_tx ? " open" : "");
	if (*body_summary())
		g_string_append_printf(out, "%s\n", body_summary());
}

static void print_event(const struct event *e, GString *out)
{
	if (!e)
		g_string_append(out, "nothing\n");
	else if (e->kind == EV_DONE)
		print_done(e, out);
	else if (e->kind == EV_STATE)
		print_state(&e->state.state, out);
	else if (e->kind == EV_CONNECTED)
		g_string_append_printf(out, "connected %u\n",
				       (uint32_t)e->conn.conn);
	else
		g_string_append_printf(out, "%s %u\n",
				       e->conn.failed ? "failed" : "closed",
				       (uint32_t)e->conn.conn);
}

static int compare_lines(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Prints events sorted: those of several connections come in any order. */
static void on_next(const char *line, GString *out)
{
	hm_time wait = script_int(line, "ms", EVENT_TIMEOUT / HM_MS) * HM_MS;
	gint64 i, count = script_int(line, "count", 1);
	GPtrArray *texts = g_ptr_array_new_with_free_func(g_free);
	GString *text;

	for (i = 0; i < count; i++) {
		text = g_string_new(NULL);
		print_event(fixture_next_event(wait), text);
		g_ptr_array_add(texts, g_string_free(text, false));
	}
	g_ptr_array_sort(texts, compare_lines);
	for (i = 0; i < count; i++)
		g_string_append(out, texts->pdata[i]);
	g_ptr_array_unref(texts);
}

static void on_open(const char *line, GString *out)
{
	fixture_start_connect(conn_arg(line), member_arg(line));
	on_next(line, out);
}

static void on_start(const char *line, GString *out)
{
	const char *sql = strstr(line, " sql=");
	char *json = sql ? g_strdup_printf("{\"sql\":\"%s\"}", sql + 5) : NULL;

	(void)out;
	fixture_start_op(conn_arg(line),
			 (enum op)index_of(ops, G_N_ELEMENTS(ops), line, "op"),
			 json);
	g_free(json);
}

static void on_run(const char *line, GString *out)
{
	on_start(line, out);
	on_next("next", out);
}

static void on_send_control(const char *line, GString *out)
{
	uint32_t target = (uint32_t)script_int(line, "target", 0);
	struct control step = {
		.op = (enum control_op)index_of(
			control_ops, G_N_ELEMENTS(control_ops), line, "step"),
		.term = (uint64_t)script_int(line, "term", 0),
		.requester = hex_arg(line, "by"),
		.expected = hex_arg(line, "expected"),
		.target = fixture.spec.endpoints[target].endpoint,
	};

	(void)out;
	fixture_start_control(member_arg(line), step);
}

static void on_control(const char *line, GString *out)
{
	on_send_control(line, out);
	on_next("next", out);
}

static void on_fault(const char *line, GString *out)
{
	struct member_faults f = {
		.cut_peers = has_word(line, "cut_peers"),
		.cut_all = has_word(line, "cut_all"),
		.paused = has_word(line, "paused"),
		.dead = has_word(line, "dead"),
		.silent = has_word(line, "silent"),
		.lose_answer = has_word(line, "lose_answer"),
		.lag = script_int(line, "lag", 0) * HM_MS,
		.answer_delay = script_int(line, "late", 0) * HM_MS,
	};

	(void)out;
	fixture_fault(member_arg(line), f);
}

static void on_cancel(const char *line, GString *out)
{
	(void)out;
	fixture_on_conn(conn_arg(line), fixture_run_cancel);
}

/* Waits until a member reaches a state; prints its state on a timeout. */
static void on_await(const char *line, GString *out)
{
	struct member_stats f;
	hm_time end = loop_now() + EVENT_TIMEOUT;
	uint64_t pos = (uint64_t)script_int(line, "pos", 0);
	uint64_t term = (uint64_t)script_int(line, "term", 1);
	uint32_t running = (uint32_t)script_int(line, "running", 0);
	hm_id endpoint = fixture.spec.endpoints[member_arg(line)].endpoint;

	do {
		members_stats(fixture.members, endpoint, &f);
		if (running ? f.running_max >= running
			    : f.state.at.pos == pos && f.state.at.term == term)
			return;
		g_usleep(500);
	} while (loop_now() < end);
	print_state(&f.state, out);
}

static void on_instance(const char *line, GString *out)
{
	(void)out;
	instances[current] = fixture.state;
	current = has_word(line, "bb");
	fixture.state = instances[current];
}

static const struct {
	const char *name;
	void (*run)(const char *line, GString *out);
} commands[] = {
	{ "open", on_open },	   { "run", on_run },
	{ "start", on_start },	   { "next", on_next },
	{ "control", on_control }, { "order", on_send_control },
	{ "fault", on_fault },	   { "cancel", on_cancel },
	{ "await", on_await },	   { "instance", on_instance },
};

static void command(void *context, const char *line, GString *out)
{
	size_t i, bytes = strcspn(line, " ");

	(void)context;
	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		if (strlen(commands[i].name) == bytes &&
		    !strncmp(commands[i].name, line, bytes))
			break;
	if (i < G_N_ELEMENTS(commands))
		commands[i].run(line, out);
	else
		g_string_append(out, "unknown command\n");
}

static void run_script(const char *name, SFun begin)
{
	struct driver_call open = { .run = fixture_run_open };
	struct driver_call shut = { .run = fixture_run_shutdown };
	char *file = g_strdup_printf("tests/scripts/endpoints_%s.txt", name);
	char *fault;

	begin();
	instances[0] = fixture.state;
	fixture.host.incarnation = OTHER_INCARNATION;
	fixture_run_call(&open);
	instances[1] = fixture.state;
	fixture.state = instances[0];
	current = 0;
	fault = script_run(file, command, NULL);
	fixture.state = instances[1];
	fixture_run_call(&shut);
	fixture.state = instances[0];
	fixture_teardown();
	ck_assert_msg(!fault, "%s", fault);
	g_free(fault);
	g_free(file);
}

static const char *const scripts[] = {
	"lost_promotion", "late_fence",	  "killed_writer", "paused_takeover",
	"silent_lock",	  "late_crossed", "lost_commit",   "cut_rewind",
};

static const char *const slow_scripts[] = { "read_during_rewind",
					    "killed_statement" };

START_TEST(faults)
{
	run_script(scripts[_i], fixture_setup);
}
END_TEST

START_TEST(slow_faults)
{
	run_script(slow_scripts[_i], fixture_setup_slow);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("faults");

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, faults, 0, G_N_ELEMENTS(scripts));
	tcase_add_loop_test(tc, slow_faults, 0, G_N_ELEMENTS(slow_scripts));
	return suite_run("endpoints", tc);
}
