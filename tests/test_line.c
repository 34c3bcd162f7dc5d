/**
 * @file test_line.c
 * The line protocol of the users' platform: decoding of each kind of line,
 * rejection of malformed lines, and encoding of commands and answers.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../core/rng.h"
#include "../platform/adapter.h"
#include "../src/line_front.h"
#include "suite.h"

#define RANDOM_LINES 200000
#define SEED 5

static struct client_request read_line(char *line, bool started)
{
	struct client_request r;

	platform_lines.read_request(line, started, &r);
	return r;
}

/* Decodes a line of an open session and returns the result as text. */
static char *decode_to_text(const char *line)
{
	static const char *const ops[STMT_OP_COUNT] = {
		"begin", "begin_read", "commit",  "rollback", "read",
		"write", "set",	       "prepare", "execute",  "deallocate",
	};
	char *copy = g_strdup(line);
	struct client_request r = read_line(copy, true);
	char *text;

	if (r.kind == CLIENT_BAD_STATEMENT)
		text = g_strdup_printf("malformed %s", r.request);
	else if (r.kind == CLIENT_TERMINATE)
		text = g_strdup("terminate");
	else if (r.kind != CLIENT_STATEMENT)
		text = g_strdup("bad");
	else
		text = g_strdup_printf("%s %s [%s] [%s]%s", ops[r.op],
				       r.request, r.name ? r.name : "",
				       r.text ? r.text : "",
				       r.writes ? " w" : "");
	g_free(copy);
	return text;
}

static const char *const lines[][2] = {
	{ "QUERY 1 BEGIN", "begin 1 [] []" },
	{ "QUERY 1 BEGIN READ", "begin_read 1 [] []" },
	{ "QUERY 1 BEGIN WRITE", "malformed 1" },
	{ "QUERY 1 BEGIN ", "malformed 1" },
	{ "QUERY 1 COMMIT", "commit 1 [] [COMMIT]" },
	{ "QUERY 1 COMMIT now", "malformed 1" },
	{ "QUERY 1 ROLLBACK", "rollback 1 [] []" },
	{ "QUERY 1 READ 1a4", "read 1 [] [READ 1a4]" },
	{ "QUERY 1 READ a b  c ", "read 1 [] [READ a b  c ]" },
	{ "QUERY 1 READ", "malformed 1" },
	{ "QUERY 1 READ ", "malformed 1" },
	{ "QUERY 1 WRITE a b c", "write 1 [] [WRITE a b c] w" },
	{ "QUERY 1 WRITE a", "malformed 1" },
	{ "QUERY 1 WRITE  b", "malformed 1" },
	{ "QUERY 1 SET tz east of utc", "set 1 [tz] [east of utc]" },
	{ "QUERY 1 SET tz", "malformed 1" },
	{ "QUERY 1 PREPARE s1 WRITE q2c", "prepare 1 [s1] [q2c] w" },
	{ "QUERY 1 PREPARE s1 READ q 2", "prepare 1 [s1] [q 2]" },
	{ "QUERY 1 PREPARE s1 DROP q2c", "malformed 1" },
	{ "QUERY 1 EXECUTE s1 1a4 data", "execute 1 [s1] [1a4 data]" },
	{ "QUERY 1 EXECUTE s1", "malformed 1" },
	{ "QUERY 1 DEALLOC s1", "deallocate 1 [s1] []" },
	{ "QUERY 1 DEALLOC s1 s2", "malformed 1" },
	/* Commands that only the proxy may send to members. */
	{ "QUERY 1 AFTER 1.5 READ a", "malformed 1" },
	{ "QUERY 1 STATUS", "malformed 1" },
	{ "QUERY 1 PAUSE 9", "malformed 1" },
	{ "QUERY 1 RESUME", "malformed 1" },
	{ "QUERY 1 STEPDOWN 4", "malformed 1" },
	{ "QUERY 1 RESET", "malformed 1" },
	{ "QUERY - READ a", "bad" },
	{ "QUERY 1 read a", "malformed 1" },
	{ "QUERY 1  READ a", "malformed 1" },
	{ "QUERY 1 READX a", "malformed 1" },
	{ "QUERY 1", "malformed 1" },
	{ "QUERY  READ a", "bad" },
	{ "QUERY", "bad" },
	{ "STARTUP db key", "bad" },
	{ "TERMINATE", "terminate" },
	{ "TERMINATE now", "bad" },
	{ "", "bad" },
	{ " QUERY 1 READ a", "bad" },
};

START_TEST(each_line_decodes_as_expected)
{
	char *got = decode_to_text(lines[_i][0]);

	ck_assert_str_eq(got, lines[_i][1]);
	g_free(got);
}
END_TEST

START_TEST(session_opens_with_database_and_key)
{
	char one[] = "STARTUP lepu270 u3f1", two[] = "STARTUP lepu270";
	char three[] = "STARTUP lepu270 a b", four[] = "QUERY 1 READ a";
	struct client_request r = read_line(one, false);

	ck_assert_int_eq(r.kind, CLIENT_OPEN);
	ck_assert_str_eq(r.database, "lepu270");
	ck_assert_str_eq(r.key, "u3f1");
	r = read_line(two, false);
	ck_assert_int_eq(r.kind, CLIENT_OPEN);
	ck_assert_ptr_null(r.key);
	ck_assert_int_eq(read_line(three, false).kind, CLIENT_BAD);
	ck_assert_int_eq(read_line(four, false).kind, CLIENT_BAD);
}
END_TEST

START_TEST(commands_are_encoded)
{
	struct member_command c = { .kind = MEMBER_STATEMENT,
				    .op = STMT_EXECUTE };
	GString *out = g_string_new(NULL);

	g_strlcpy(c.request, "5c0e", sizeof(c.request));
	c.name = (char *)"r1";
	c.text = (char *)"1a4 two  blanks";
	c.min_position = (struct log_pos){ 3, 1207 };
	platform_lines.write_command(out, &c);
	c = (struct member_command){ .kind = MEMBER_PAUSE, .term = 9 };
	platform_lines.write_command(out, &c);
	c = (struct member_command){ .kind = MEMBER_STEP_DOWN, .term = 4 };
	platform_lines.write_command(out, &c);
	c = (struct member_command){ .kind = MEMBER_DEALLOCATE,
				     .name = (char *)"r1" };
	platform_lines.write_command(out, &c);
	platform_lines.write_open(out, "huvo", "acme", "i-7f");
	ck_assert_str_eq(out->str,
			 "QUERY 5c0e AFTER 3.1207 EXECUTE r1 1a4 two  blanks"
			 "\r\nQUERY - PAUSE 9\r\nQUERY - STEPDOWN 4\r\n"
			 "QUERY - DEALLOC r1\r\n"
			 "STARTUP huvo acme i-7f\r\n");
	g_string_free(out, TRUE);
}
END_TEST

START_TEST(answers_carry_rows_and_signature)
{
	struct proxy_action a = { .kind = PROXY_ANSWER };
	GString *out = g_string_new(NULL);

	a.answer.rows = (char *)"one\n\nlast one\n";
	a.answer.row_bytes = 14;
	a.answer.signature = (char *)"7.1f3";
	a.answer.state = SESSION_OPEN;
	a.answer.at = (struct log_pos){ 3, 1209 };
	platform_lines.write_answer(out, &a);
	ck_assert_str_eq(out->str, "ROW one\r\nROW \r\nROW last one\r\n"
				   "COMPLETE 7.1f3\r\nREADY T 3.1209\r\n");
	g_string_truncate(out, 0);
	a = (struct proxy_action){ .kind = PROXY_ANSWER };
	a.answer.error = ERR_OVERLOADED;
	a.answer.retry_in = 40 * HM_MS;
	platform_lines.write_answer(out, &a);
	ck_assert(g_str_has_prefix(out->str, "ERROR BUSY retry in 41 ms"));
	ck_assert(g_str_has_suffix(out->str, "\r\nREADY I -\r\n"));
	g_string_free(out, TRUE);
}
END_TEST

/*
 * These answers state that the statement took no effect, so only errors that
 * guarantee this may be encoded as one of them.
 */
START_TEST(not_run_answers_are_only_for_statements_not_run)
{
	static const char *const not_run_codes[] = { "BUSY",	  "ABORTED",
						     "LAGGING",	  "READONLY",
						     "MISROUTED", "CONNLIMIT" };
	struct proxy_action a = { .kind = PROXY_ANSWER };
	GString *out = g_string_new(NULL);
	char **words;
	size_t k;
	int i;

	for (i = ERR_NONE + 1; i < ERR_COUNT; i++) {
		a.answer.error = (enum error)i;
		g_string_truncate(out, 0);
		platform_lines.write_answer(out, &a);
		words = g_strsplit(out->str, " ", 3);
		for (k = 0; k < G_N_ELEMENTS(not_run_codes); k++)
			if (!strcmp(words[1], not_run_codes[k]))
				ck_assert_int_eq(
					error_answer((enum error)i)->execution,
					EXEC_NOT_RUN);
		g_strfreev(words);
	}
	g_string_free(out, TRUE);
}
END_TEST

/*
 * Run abh-rota scale-1: a member at its connection limit was treated as down,
 * because its reply was split into fields twice.
 */
START_TEST(login_errors_of_members_are_distinguished)
{
	char open[] = "READY I 3.1207", full[] = "ERROR CONNLIMIT i-7f";
	char other[] = "ERROR MISROUTED i-7f", busy[] = "ERROR BUSY i-7f";
	char odd[] = "COMPLETE -";

	ck_assert_int_eq(platform_lines.read_open(open), ERR_NONE);
	ck_assert_int_eq(platform_lines.read_open(full), ERR_CONNECTION_LIMIT);
	ck_assert_int_eq(platform_lines.read_open(other), ERR_WRONG_ENDPOINT);
	ck_assert_int_ne(platform_lines.read_open(busy), ERR_NONE);
	ck_assert_int_eq(platform_lines.read_open(odd), ERR_INTERNAL);
}
END_TEST

static enum reply_line read_reply(struct reply_builder *b, const char *line,
				  enum member_command_kind kind)
{
	char *copy = g_strdup(line);
	enum reply_line got = platform_lines.read_reply(copy, kind, b);

	g_free(copy);
	return got;
}

START_TEST(replies_are_read_line_by_line)
{
	struct reply_builder b = { .rows = g_string_new(NULL),
				   .signature = g_string_new(NULL) };

	ck_assert_int_eq(read_reply(&b, "ROW a b", MEMBER_STATEMENT),
			 REPLY_MORE);
	ck_assert_int_eq(read_reply(&b, "READY I 1.2", MEMBER_STATEMENT),
			 REPLY_BAD);
	ck_assert_int_eq(read_reply(&b, "COMPLETE 7.1f", MEMBER_STATEMENT),
			 REPLY_MORE);
	ck_assert_int_eq(read_reply(&b, "COMPLETE 7.1f", MEMBER_STATEMENT),
			 REPLY_BAD);
	ck_assert_int_eq(read_reply(&b, "READY T 3.1209", MEMBER_STATEMENT),
			 REPLY_COMPLETE);
	ck_assert_str_eq(b.reply.signature, "7.1f");
	ck_assert_uint_eq(b.reply.at.pos, 1209);
	ck_assert_int_eq(b.reply.state, SESSION_OPEN);
	memset(&b.reply, 0, sizeof(b.reply));
	b.ended = false;
	ck_assert_int_eq(
		read_reply(&b, "ROW replica 3 3.1209 9 12 2 17", MEMBER_STATUS),
		REPLY_MORE);
	ck_assert(b.reply.has_status && !b.reply.status.primary);
	ck_assert_uint_eq(b.reply.status.paused_term, 9);
	ck_assert_int_eq(
		read_reply(&b, "ROW king 3 3.1 0 1 2 3", MEMBER_STATUS),
		REPLY_BAD);
	g_string_free(b.rows, TRUE);
	g_string_free(b.signature, TRUE);
}
END_TEST

static void random_line(struct rng *rng, char *out, size_t size)
{
	static const char *const words[] = {
		"QUERY",   "STARTUP", "READ",	  "WRITE",  "SET",   "PREPARE",
		"EXECUTE", "DEALLOC", "BEGIN",	  "COMMIT", "-",     "AFTER",
		"1.5",	   "READY",   "COMPLETE", "ROW",    "ERROR", "I",
	};
	uint64_t n = rng_below(rng, 7);
	size_t used = 0;

	out[0] = '\0';
	while (n-- && used + 16 < size) {
		if (rng_below(rng, 4) == 0)
			out[used++] = (char)(1 + rng_below(rng, 255));
		else
			used += g_strlcpy(
				out + used,
				words[rng_below(rng, G_N_ELEMENTS(words))],
				size - used);
		if (rng_below(rng, 8))
			out[used++] = ' ';
		out[used] = '\0';
	}
}

/* Every line that is accepted as a statement has a request ID and no CR. */
START_TEST(random_lines_decode_safely)
{
	struct reply_builder b = { .rows = g_string_new(NULL),
				   .signature = g_string_new(NULL) };
	struct rng rng = { SEED };
	struct client_request r;
	char line[128], copy[128];
	int i;

	for (i = 0; i < RANDOM_LINES; i++) {
		random_line(&rng, line, sizeof(line));
		g_strlcpy(copy, line, sizeof(copy));
		r = read_line(copy, i & 1);
		if (r.kind == CLIENT_STATEMENT) {
			ck_assert(r.request[0] && strcmp(r.request, "-") != 0);
			ck_assert(!r.text || !strstr(r.text, "\r"));
		}
		g_strlcpy(copy, line, sizeof(copy));
		b.ended = rng_below(&rng, 2);
		platform_lines.read_reply(copy,
					  (enum member_command_kind)rng_below(
						  &rng, MEMBER_COMMAND_COUNT),
					  &b);
		g_string_truncate(b.rows, 0);
	}
	g_string_free(b.rows, TRUE);
	g_string_free(b.signature, TRUE);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("line");

	tcase_add_loop_test(tc, each_line_decodes_as_expected, 0,
			    G_N_ELEMENTS(lines));
	tcase_add_test(tc, session_opens_with_database_and_key);
	tcase_add_test(tc, commands_are_encoded);
	tcase_add_test(tc, answers_carry_rows_and_signature);
	tcase_add_test(tc, not_run_answers_are_only_for_statements_not_run);
	tcase_add_test(tc, login_errors_of_members_are_distinguished);
	tcase_add_test(tc, replies_are_read_line_by_line);
	tcase_add_test(tc, random_lines_decode_safely);
	return suite_run("line", tc);
}
