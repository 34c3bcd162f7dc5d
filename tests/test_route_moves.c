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

static const struct {
	const char *name;
	enum statement_op op;
	const char *text;
} requests[] = {
	{ "write", STMT_WRITE, "WRITE k v" },
	{ "read", STMT_READ, "READ k" },
	{ "begin_read", STMT_BEGIN_READ, "BEGIN READ" },
	{ "begin", STMT_BEGIN, "BEGIN" },
	{ "commit", STMT_COMMIT, "COMMIT" },
};

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

static void request(struct route_fixture *r, const char *line)
{
	char *id = script_arg(line, "id");
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(requests); i++)
		if (g_str_has_prefix(line, requests[i].name))
			break;
	ck_assert_msg(i < G_N_ELEMENTS(requests), "%s", line);
	route_fixture_request(r, 1, requests[i].op, id ? id : "-",
			      requests[i].text);
	g_free(id);
}

static void command(void *context, const char *line, GString *out)
{
	struct route_fixture *r = context;
	hm_time after = script_int(line, "after", 0) * HM_MS;

	if (after)
		route_fixture_run(r, after);
	if (g_str_has_prefix(line, "move"))
		route_fixture_move(r, service_arg(line, "to"),
				   consistency_of(line),
				   script_int(line, "age", 2500) * HM_MS);
	else if (g_str_has_prefix(line, "remove"))
		route_fixture_remove(r);
	else if (g_str_has_prefix(line, "lag"))
		r->services[service_arg(line, "of")].lag =
			script_int(line, "ms", 0) * HM_MS;
	else if (g_str_has_prefix(line, "hold"))
		r->hold = true;
	else if (g_str_has_prefix(line, "answer")) {
		r->hold = false;
		route_fixture_answer(r);
	} else if (!g_str_has_prefix(line, "wait"))
		request(r, line);
	g_string_append(out, r->text->str);
	g_string_truncate(r->text, 0);
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
