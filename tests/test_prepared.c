/**
 * @file test_prepared.c
 * Prepared statements of a pool, with a member that keeps what each name stands
 * for: an EXECUTE runs the text that its client prepared.
 */
#include <check.h>
#include <string.h>

#include "../core/rng.h"
#include "pool_fixture.h"
#include "suite.h"

/*
 * Texts with the same 64-bit FNV-1a hash, by which texts were told apart once.
 * The pair is that of review/9.
 */
#define TEXT_ONE "dbdb333eb52a1f6c"
#define TEXT_TWO "61510f8c6d9be5e8"

struct bench {
	struct pool_fixture r;
	GHashTable *names; /* text of each name at the member */
	char *ran;	   /* text that the last EXECUTE ran */
	uint32_t prepares;
	uint64_t requests;
	struct session_value value; /* set in the sessions with values */
};

static void open_bench(struct bench *b)
{
	memset(b, 0, sizeof(*b));
	pool_fixture_open(&b->r, 2, 16);
	pool_fixture_add_idle_conn(&b->r);
	b->names =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	b->value = (struct session_value){ (char *)"tz", (char *)"utc" };
}

static void close_bench(struct bench *b)
{
	g_hash_table_unref(b->names);
	g_free(b->ran);
	pool_fixture_close(&b->r);
}

/* Carries out one command at the member. */
static void run_command(struct bench *b, const char *line)
{
	char **words = g_strsplit(line, " ", 4);

	if (!strcmp(words[0], "prepare")) {
		b->prepares++;
		g_hash_table_replace(b->names, g_strdup(words[2]),
				     g_strdup(words[3]));
	} else if (!strcmp(words[0], "deallocate")) {
		ck_assert_msg(g_hash_table_remove(b->names, words[2]), "%s",
			      line);
	} else if (!strcmp(words[0], "reset")) {
		g_hash_table_remove_all(b->names);
	} else if (!strcmp(words[0], "statement")) {
		char **execute = g_strsplit(words[3], " ", 2);

		g_free(b->ran);
		b->ran = g_strdup(g_hash_table_lookup(b->names, execute[0]));
		g_strfreev(execute);
	}
	g_strfreev(words);
}

/* Carries out all commands that were sent, and answers each. */
static void run_commands(struct bench *b)
{
	char *text, **lines;
	guint i;

	while (b->r.text->len) {
		text = g_strdup(b->r.text->str);
		g_string_truncate(b->r.text, 0);
		lines = g_strsplit(g_strchomp(text), "\n", -1);
		for (i = 0; lines[i]; i++) {
			run_command(b, lines[i]);
			pool_fixture_reply(&b->r, 1, ERR_NONE, SESSION_IDLE);
		}
		g_strfreev(lines);
		g_free(text);
	}
	pool_fixture_results(&b->r);
	ck_assert(g_str_has_suffix(b->r.text->str, ": ok, run, I\n"));
	g_string_truncate(b->r.text, 0);
}

static void execute(struct bench *b, const char *text, bool with_value)
{
	struct run_request o = pool_fixture_request(++b->requests + 1000,
						    STMT_EXECUTE, RUN_SINGLE);

	o.text = (char *)"item";
	o.shape = (char *)text;
	o.values = &b->value;
	o.value_count = with_value;
	pool_fixture_submit(&b->r, &o);
	run_commands(b);
	/* The texts can be too long for a message. */
	ck_assert_msg(b->ran && !strcmp(b->ran, text),
		      "another text ran: %.16s", b->ran ? b->ran : "none");
}

/* Guards against an EXECUTE that runs what another client has prepared. */
START_TEST(texts_with_one_weak_hash_are_told_apart)
{
	struct bench b;
	int i;

	open_bench(&b);
	for (i = 0; i < 3; i++) {
		execute(&b, TEXT_ONE, false);
		execute(&b, TEXT_TWO, false);
	}
	ck_assert_uint_eq(b.prepares, 2);
	close_bench(&b);
}
END_TEST

/*
 * Guards against any identity of texts that ignores a part of them: they differ
 * in one character, at each place of a long text.
 */
START_TEST(texts_that_differ_anywhere_are_told_apart)
{
	char text[4001];
	struct bench b;
	size_t i;

	open_bench(&b);
	memset(text, 'a', sizeof(text) - 1);
	text[sizeof(text) - 1] = '\0';
	for (i = 0; i < sizeof(text) - 1; i += 37) {
		text[i] = 'b';
		execute(&b, text, false);
		text[i] = 'a';
		execute(&b, text, false);
	}
	close_bench(&b);
}
END_TEST

/*
 * Guards against a list of prepared statements that grows without a bound, here
 * and at the member, while clients prepare new texts all day; and against a text
 * that is taken for prepared after it was dropped, or after a reset.
 */
START_TEST(statements_of_a_connection_are_bounded)
{
	struct rng rng = { .state = 1 };
	char text[64];
	struct bench b;
	int i;

	open_bench(&b);
	for (i = 0; i < 20000; i++) {
		/* Half of them are of few texts, as of usual clients. */
		g_snprintf(text, sizeof(text), "q%d",
			   (int)rng_below(&rng, rng_below(&rng, 2) ? 8 : 5000));
		execute(&b, text, rng_below(&rng, 500) == 0);
		ck_assert_uint_le(g_hash_table_size(b.names),
				  SESSION_PREPARED_MAX);
	}
	close_bench(&b);
}
END_TEST

/* What is in use stays prepared: the least recently used text is dropped. */
START_TEST(text_in_use_stays_prepared)
{
	char text[64];
	struct bench b;
	int i;

	open_bench(&b);
	for (i = 0; i < 3 * SESSION_PREPARED_MAX; i++) {
		execute(&b, "in use", false);
		g_snprintf(text, sizeof(text), "q%d", i);
		execute(&b, text, false);
	}
	ck_assert_uint_eq(b.prepares, 1 + 3 * SESSION_PREPARED_MAX);
	close_bench(&b);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("prepared");

	tcase_add_test(tc, texts_with_one_weak_hash_are_told_apart);
	tcase_add_test(tc, texts_that_differ_anywhere_are_told_apart);
	tcase_add_test(tc, statements_of_a_connection_are_bounded);
	tcase_add_test(tc, text_in_use_stays_prepared);
	return suite_run("prepared", tc);
}
