/**
 * @file test_route_moves.c
 * Sessions whose route moves from service to service read their own commits:
 * scripted runs, and random walks.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "route_fixture.h"
#include "script.h"
#include "suite.h"

static enum consistency consistency_of(const char *line)
{
	char *type = script_arg(line, "type");
	enum consistency c = CONSISTENT_SESSION;

	if (!g_strcmp0(type, "bounded"))
		c = CONSISTENT_BOUNDED;
	g_free(type);
	return c;
}

/* Index of the service that "name=" names. */
static uint32_t service_arg(const char *line, const char *name)
{
	char *value = script_arg(line, name);
	uint32_t service = (uint32_t)(value[0] - 'a');

	g_free(value);
	return service;
}

static void move(struct route_fixture *r, const char *line)
{
	route_fixture_move(r, service_arg(line, "to"), consistency_of(line),
			   script_int(line, "age", 2500) * HM_MS);
}

static void remove_route(struct route_fixture *r, const char *line)
{
	(void)line;
	route_fixture_remove(r);
}

/* The replica of a service is ms= behind from now on. */
static void lag(struct route_fixture *r, const char *line)
{
	r->services[service_arg(line, "of")].lag =
		script_int(line, "ms", 0) * HM_MS;
}

/* Members answer no statement until "answer". */
static void hold(struct route_fixture *r, const char *line)
{
	(void)line;
	r->hold = true;
}

static void answer(struct route_fixture *r, const char *line)
{
	(void)line;
	r->hold = false;
	route_fixture_answer(r);
}

static void request(struct route_fixture *r, const char *line,
		    enum statement_op op, const char *text)
{
	char *id = script_arg(line, "id");

	route_fixture_request(r, 1, op, id ? id : "-", text);
	g_free(id);
}

/* The first word of a line is one of these; with a text it is a request. */
static const struct {
	const char *name;
	void (*run)(struct route_fixture *r, const char *line);
	enum statement_op op;
	const char *text;
} commands[] = {
	{ "move", move, 0, NULL },
	{ "remove", remove_route, 0, NULL },
	{ "lag", lag, 0, NULL },
	{ "hold", hold, 0, NULL },
	{ "answer", answer, 0, NULL },
	{ "write", NULL, STMT_WRITE, "WRITE k v" },
	{ "read", NULL, STMT_READ, "READ k" },
	{ "begin_read", NULL, STMT_BEGIN_READ, "BEGIN READ" },
	{ "commit", NULL, STMT_COMMIT, "COMMIT" },
};

/* Runs a line; after= lets that many milliseconds pass before. */
static void command(void *context, const char *line, GString *out)
{
	hm_time after = script_int(line, "after", 0) * HM_MS;
	struct route_fixture *r = context;
	char **words = g_strsplit(line, " ", 2);
	size_t i;

	if (after)
		route_fixture_run(r, after);
	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		if (!strcmp(words[0], commands[i].name))
			break;
	ck_assert_msg(i < G_N_ELEMENTS(commands), "%s", line);
	if (commands[i].run)
		commands[i].run(r, line);
	else
		request(r, line, commands[i].op, commands[i].text);
	g_string_append(out, r->text->str);
	g_string_truncate(r->text, 0);
	g_strfreev(words);
}

static void run_script(const char *file)
{
	struct route_fixture r;
	char *fault;

	route_fixture_open(&r);
	route_fixture_connect(&r, 1);
	fault = script_run(file, command, &r);
	ck_assert_msg(!fault, "%s", fault);
	route_fixture_close(&r);
}

/* Guards against a read that lacks a commit that its own session made before. */
START_TEST(own_commit_is_read_after_the_route_returns)
{
	run_script("tests/scripts/route_moves.txt");
}
END_TEST

/*
 * Guards against a request that is finished for another service than the one
 * that it was begun for, when its route moves meanwhile.
 */
START_TEST(request_keeps_the_route_that_it_began_with)
{
	run_script("tests/scripts/route_moves_in_flight.txt");
}
END_TEST

/*
 * Guards against a read that lacks a commit of its own session since a
 * transaction that only read has ended after it, at a replica that was behind.
 */
START_TEST(read_only_transaction_replaces_no_commit)
{
	run_script("tests/scripts/route_moves_read_only.txt");
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("route moves");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, own_commit_is_read_after_the_route_returns);
	tcase_add_test(tc, request_keeps_the_route_that_it_began_with);
	tcase_add_test(tc, read_only_transaction_replaces_no_commit);
	return suite_run("route moves", tc);
}
