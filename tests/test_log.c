/** @file test_log.c Log lines: format, quoting, levels, count of drops. */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../src/log.h"
#include "suite.h"

#define EVENT_COUNT 2000
#define QUEUE_LIMIT 16
#define TEXT_BYTES (1024 * 1024)

/* Runs @a body with the log written to a file; returns the text of the file. */
static char *capture_log(const char *level, void (*body)(void))
{
	char *text = g_malloc0(TEXT_BYTES);
	FILE *file = tmpfile();

	ck_assert_ptr_nonnull(file);
	log_open(level, fileno(file));
	body();
	log_close();
	rewind(file);
	ck_assert_uint_lt(fread(text, 1, TEXT_BYTES, file), TEXT_BYTES);
	fclose(file);
	return text;
}

static void one_event(void)
{
	log_event(G_LOG_LEVEL_INFO, "start", "instance", "a b", "empty", "",
		  "none", NULL, "quote", "say \"x\"\n", NULL);
	log_event(G_LOG_LEVEL_DEBUG, "hidden", NULL);
	g_warning("event=peer address=%s", "127.0.0.1:1");
	g_warning("plain words");
}

/* Line @a index of the log without the time at its start. */
static char *line_of(const char *text, guint index)
{
	char **lines = g_strsplit(text, "\n", -1);
	char *line, *rest;

	ck_assert_uint_lt(index, g_strv_length(lines));
	line = lines[index];
	ck_assert(g_str_has_prefix(line, "time=20"));
	rest = strchr(line, ' ');
	ck_assert_ptr_nonnull(rest);
	rest = g_strdup(rest + 1);
	g_strfreev(lines);
	return rest;
}

static void assert_line(const char *text, guint index, const char *expected)
{
	char *line = line_of(text, index);

	ck_assert_str_eq(line, expected);
	g_free(line);
}

START_TEST(line_format)
{
	char *text = capture_log("info", one_event);

	assert_line(text, 0,
		    "level=info event=start instance=\"a b\" empty=\"\" "
		    "quote=\"say \\\"x\\\"\\n\"");
	assert_line(text, 1, "level=warning event=peer address=127.0.0.1:1");
	assert_line(text, 2, "level=warning message=\"plain words\"");
	ck_assert_ptr_null(strstr(text, "hidden"));
	g_free(text);
}
END_TEST

static void one_decision(void)
{
	struct names *names = names_new();
	struct decision d = { .what = "route",
			      .reason = "replica_fresh",
			      .request = { 1, 26 },
			      .account = name_id("payroll"),
			      .database = name_id("rota"),
			      .endpoint = name_id("rota-1"),
			      .peer = 0xabc,
			      .at = { 3, 100 } };

	names_add(names, "payroll");
	names_add(names, "rota");
	names_add(names, "rota-1");
	log_decision(&d, names);
	names_free(names);
}

START_TEST(decision_format)
{
	char *text = capture_log("info", one_decision);

	assert_line(text, 0,
		    "level=info event=route reason=replica_fresh "
		    "request=0000000000000001-1a account=payroll "
		    "database=rota endpoint=rota-1 "
		    "peer=0000000000000abc term=3 pos=100");
	g_free(text);
	text = capture_log("warning", one_decision);
	ck_assert_str_eq(text, "");
	g_free(text);
}
END_TEST

static void many_events(void)
{
	int i;

	for (i = 0; i < EVENT_COUNT; i++)
		log_event(G_LOG_LEVEL_INFO, "flood", NULL);
}

/* Number of logged lines plus the number that was reported as dropped. */
static guint64 count_lines(const char *text)
{
	char **lines = g_strsplit(text, "\n", -1);
	guint64 sum = 0;
	char *report;
	guint i;

	for (i = 0; lines[i]; i++) {
		report = strstr(lines[i], "event=log_dropped lines=");
		if (report)
			sum += g_ascii_strtoull(strrchr(report, '=') + 1, NULL,
						10);
		else if (strstr(lines[i], "event=flood"))
			sum++;
	}
	g_strfreev(lines);
	return sum;
}

START_TEST(dropped_lines_are_counted)
{
	uint64_t before = log_dropped();
	char *text;

	log_queue_limit(QUEUE_LIMIT);
	text = capture_log("info", many_events);
	ck_assert_uint_eq(count_lines(text), EVENT_COUNT);
	ck_assert_uint_le(log_dropped() - before, EVENT_COUNT);
	log_queue_limit(EVENT_COUNT);
	g_free(text);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("log");

	tcase_add_test(tc, line_format);
	tcase_add_test(tc, decision_format);
	tcase_add_test(tc, dropped_lines_are_counted);
	return suite_run("log", tc);
}
