/**
 * @file test_group.c
 * Runs scripts on the group module, as one instance uses it. Commands:
 *
 *	report member=N [primary] promised=N at=T:P lineage=T:P[,T:P]
 *	       [age=MS] [wait=MS] [gone]
 *	proved member=N		adds its last report as a sample: the log
 *				position of a confirmed primary at a probe
 *	pass ms=N		advances the time
 *	attempt member=N ok=0|1	records the outcome of an attempt
 *	leave member=N		marks the member as leaving
 *	route op=read|write [floor=T:P] [age=MS] [tried=BITS] [unsure=1]
 *	age at=T:P
 *	reach lineage=T:P,... have=T:P want=T:P
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "../core/group.h"
#include "fakes.h"
#include "script.h"
#include "suite.h"

struct context {
	struct group *group;
	hm_time now;
	struct state_report last[FAKE_MEMBERS];
};

static struct log_pos parse_log_pos(const char *text)
{
	struct log_pos at = { 0 };
	char *end;

	if (!text)
		return at;
	at.term = g_ascii_strtoull(text, &end, 10);
	at.pos = g_ascii_strtoull(end + 1, NULL, 10);
	return at;
}

static struct log_pos log_pos_arg(const char *line, const char *name)
{
	char *text = script_arg(line, name);
	struct log_pos at = parse_log_pos(text);

	g_free(text);
	return at;
}

static struct lineage lineage_arg(const char *line)
{
	char *text = script_arg(line, "lineage");
	char **parts = g_strsplit(text ? text : "1:0", ",", -1);
	struct lineage l = { 0 };

	for (; parts[l.count]; l.count++)
		l.begin[l.count] = parse_log_pos(parts[l.count]);
	g_strfreev(parts);
	g_free(text);
	return l;
}

static void do_report(struct context *v, const char *line, GString *out)
{
	uint32_t i = (uint32_t)script_int(line, "member", 0);
	struct state_report *r = &v->last[i];

	(void)out;
	memset(r, 0, sizeof(*r));
	r->state.endpoint = fake_endpoint(i);
	r->state.reachable = !strstr(line, " gone");
	r->state.role = strstr(line, " primary") ? ROLE_PRIMARY : ROLE_REPLICA;
	r->state.promised = (uint64_t)script_int(line, "promised", 1);
	r->state.at = log_pos_arg(line, "at");
	r->state.lineage = lineage_arg(line);
	r->age = script_int(line, "age", 0) * HM_MS;
	r->wait = script_int(line, "wait", 0) * HM_MS;
	group_report(v->group, r, 1, 0, v->now);
}

static void do_confirmed(struct context *v, const char *line, GString *out)
{
	(void)out;
	group_add_sample(v->group, v->now,
			 &v->last[script_int(line, "member", 0)].state);
}

static void do_pass(struct context *v, const char *line, GString *out)
{
	(void)out;
	v->now += script_int(line, "ms", 0) * HM_MS;
}

static void do_attempt(struct context *v, const char *line, GString *out)
{
	uint32_t i = (uint32_t)script_int(line, "member", 0);

	(void)out;
	group_record_attempt(v->group, fake_endpoint(i),
			     script_int(line, "ok", 0), v->now);
}

static void do_leave(struct context *v, const char *line, GString *out)
{
	struct database_spec spec = *group_database(v->group);

	(void)out;
	spec.endpoints[script_int(line, "member", 0)].leaving = true;
	group_set_spec(v->group, &spec);
}

static void do_route(struct context *v, const char *line, GString *out)
{
	struct statement s = { .floor = log_pos_arg(line, "floor") };
	char *op = script_arg(line, "op");
	struct route r;

	s.op = g_strcmp0(op, "read") ? OP_WRITE : OP_READ;
	s.max_age = script_int(line, "age", 0) * HM_MS;
	s.unsure = script_int(line, "unsure", 0);
	r = group_route(v->group, &s,
			(endpoint_set)script_int(line, "tried", 0), v->now);
	if (r.endpoint)
		g_string_append_printf(out, "member=%u reason=%s\n",
				       (guint)(r.endpoint - fake_endpoint(0)),
				       r.reason);
	else
		g_string_append_printf(out, "nowhere error=%s reason=%s%s\n",
				       error_answer(r.error)->code, r.reason,
				       r.wait_until ? "" : " at_once");
	if (r.new_floor.term)
		g_string_append_printf(out, "left=%u:%u\n",
				       (guint)r.new_floor.term,
				       (guint)r.new_floor.pos);
	g_free(op);
}

static void do_age(struct context *v, const char *line, GString *out)
{
	hm_time age = group_age(v->group, log_pos_arg(line, "at"), v->now);

	if (age == HM_NEVER)
		g_string_append(out, "unknown\n");
	else
		g_string_append_printf(out, "%d ms\n", (int)(age / HM_MS));
}

static void do_reach(struct context *v, const char *line, GString *out)
{
	static const char *const names[] = { "ok", "behind", "lost" };
	struct lineage l = lineage_arg(line);

	(void)v;
	g_string_append_printf(
		out, "%s\n",
		names[lineage_reach(&l, log_pos_arg(line, "have"),
				    log_pos_arg(line, "want"))]);
}

static const struct {
	const char *name;
	void (*run)(struct context *v, const char *line, GString *out);
} commands[] = {
	{ "report", do_report }, { "proved", do_confirmed },
	{ "pass", do_pass },	 { "attempt", do_attempt },
	{ "leave", do_leave },	 { "route", do_route },
	{ "age", do_age },	 { "reach", do_reach },
};

static void command(void *context, const char *line, GString *out)
{
	char **words = g_strsplit(line, " ", 2);
	guint i;

	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		if (!strcmp(words[0], commands[i].name))
			break;
	if (i < G_N_ELEMENTS(commands))
		commands[i].run(context, line, out);
	else
		g_string_append(out, "unknown command\n");
	g_strfreev(words);
}

static char *run(const char *file)
{
	struct database_spec spec = { .endpoint_count = FAKE_MEMBERS };
	struct context v = { .now = HM_SEC };
	char *fault;
	uint32_t i;

	for (i = 0; i < FAKE_MEMBERS; i++) {
		spec.endpoints[i].endpoint = fake_endpoint(i);
		spec.endpoints[i].zone = (uint16_t)i;
	}
	v.group = group_new(&spec, 1, 0);
	group_set_confirmation_valid(v.group, 300 * HM_MS);
	fault = script_run(file, command, &v);
	group_free(v.group);
	return fault;
}

static const char *const scripts[] = { "lineage", "route_reads", "route_writes",
				       "ages" };

START_TEST(runs_as_expected)
{
	char *file = g_strdup_printf("tests/scripts/group_%s.txt", scripts[_i]);
	char *fault = run(file);

	ck_assert_msg(!fault, "%s", fault);
	g_free(file);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("group");

	tcase_add_loop_test(tc, runs_as_expected, 0, G_N_ELEMENTS(scripts));
	return suite_run("group", tc);
}
