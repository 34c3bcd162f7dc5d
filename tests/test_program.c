/** @file test_program.c Runs the program's subcommands as processes. */
#include <check.h>
#include <curl/curl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "script.h"
#include "suite.h"

#define FIRST_PORT 24100
#define PORT_SPREAD 800
#define WAIT_TIMEOUT_US (10 * G_TIME_SPAN_SECOND)
#define POLL_INTERVAL_US 5000

static const char *program(void)
{
	const char *path = g_getenv("HYSSOPMOUNT");

	return path ? path : "./hyssopmount";
}

/* Runs the program; appends its stderr, stdout and exit code to @a out. */
static void run_program(const char *line, GString *out)
{
	char **args = g_strsplit(line, " ", -1);
	GPtrArray *argv = g_ptr_array_new();
	char *output, *errors;
	int status = 0;
	guint i;

	g_ptr_array_add(argv, (char *)program());
	for (i = 0; args[i]; i++)
		g_ptr_array_add(argv, args[i]);
	g_ptr_array_add(argv, NULL);
	ck_assert(g_spawn_sync(NULL, (char **)argv->pdata, NULL,
			       G_SPAWN_DEFAULT, NULL, NULL, &output, &errors,
			       &status, NULL));
	g_string_append_printf(out, "%s%sexit %d\n", errors, output,
			       WEXITSTATUS(status));
	g_free(output);
	g_free(errors);
	g_ptr_array_free(argv, TRUE);
	g_strfreev(args);
}

/* Runs the program; of an output with usage keeps only the first line. */
static void run_line(void *context, const char *line, GString *out)
{
	GString *got = g_string_new(NULL);
	char **lines;
	guint i;

	(void)context;
	run_program(line, got);
	lines = g_strsplit(got->str, "\n", -1);
	for (i = 0; lines[i]; i++)
		if (lines[i][0] && (i == 0 || !strstr(got->str, "usage: ") ||
				    g_str_has_prefix(lines[i], "exit 1")))
			g_string_append_printf(out, "%s\n", lines[i]);
	g_strfreev(lines);
	g_string_free(got, TRUE);
}

START_TEST(commands)
{
	char *fault = script_run("tests/scripts/program.txt", run_line, NULL);

	ck_assert_msg(!fault, "%s", fault);
}
END_TEST

/** A "serve" process with its own settings file. */
struct server {
	GPid pid;
	int port;
	char *file;
};

static char *settings_text(int port)
{
	return g_strdup_printf(
		"{\"instance\":\"a\",\"zone\":\"n\",\"zones\":[\"n\"],"
		"\"listen\":{\"callers\":\"127.0.0.1:%d\","
		"\"peers\":\"127.0.0.1:%d\",\"operators\":\"127.0.0.1:%d\"},"
		"\"platform\":\"127.0.0.1:1\",\"log_level\":\"error\","
		"\"token_secret\":\"%064d\"}",
		port, port + 1, port + 2, 7);
}

static void start_server(struct server *s, int port)
{
	char *argv[] = { (char *)program(), "serve", "--settings", NULL, NULL };
	char *settings = settings_text(port);
	int fd = g_file_open_tmp("settings-XXXXXX", &s->file, NULL);

	ck_assert_int_ge(fd, 0);
	close(fd);
	ck_assert(g_file_set_contents(s->file, settings, -1, NULL));
	s->port = port;
	argv[3] = s->file;
	ck_assert(g_spawn_async(NULL, argv, NULL,
				G_SPAWN_DO_NOT_REAP_CHILD |
					G_SPAWN_STDOUT_TO_DEV_NULL,
				NULL, NULL, &s->pid, NULL));
	g_free(settings);
}

/*
 * Waits for the process to exit and returns its exit code; the test fails if it
 * does not exit in time.
 */
static int wait_exit(struct server *s)
{
	gint64 until = g_get_monotonic_time() + WAIT_TIMEOUT_US;
	int status = -1;
	pid_t got = 0;

	while (!got && g_get_monotonic_time() < until) {
		got = waitpid(s->pid, &status, WNOHANG);
		if (!got)
			g_usleep(POLL_INTERVAL_US);
	}
	if (!got)
		kill(s->pid, SIGKILL);
	ck_assert_msg(got == s->pid, "the server did not exit in time");
	g_remove(s->file);
	g_free(s->file);
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

static size_t discard_body(char *data, size_t size, size_t count, void *unused)
{
	(void)data;
	(void)unused;
	return size * count;
}

static long health_status(int port)
{
	CURL *curl = curl_easy_init();
	char *url = g_strdup_printf("http://127.0.0.1:%d/health", port);
	long status = 0;

	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, discard_body);
	if (curl_easy_perform(curl) == CURLE_OK)
		curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(curl);
	g_free(url);
	return status;
}

static void wait_serving(const struct server *s)
{
	gint64 until = g_get_monotonic_time() + WAIT_TIMEOUT_US;

	while (health_status(s->port) != 200) {
		ck_assert(g_get_monotonic_time() < until);
		g_usleep(POLL_INTERVAL_US);
	}
}

/*
 * Returns the first of three ports, chosen by process ID so that parallel runs
 * rarely collide.
 */
static int pick_port(void)
{
	return FIRST_PORT + getpid() % (PORT_SPREAD / 4) * 4;
}

START_TEST(serves_until_sigterm)
{
	GString *out = g_string_new(NULL);
	struct server s, second;
	char *line;

	start_server(&s, pick_port());
	wait_serving(&s);
	line = g_strdup_printf("status --operators 127.0.0.1:%d", s.port + 2);
	run_program(line, out);
	ck_assert_msg(strstr(out->str, "zone ") != NULL, "%s", out->str);
	ck_assert(g_str_has_suffix(out->str, "exit 0\n"));
	/* A second server exits, as its addresses are in use. */
	start_server(&second, s.port);
	ck_assert_int_eq(wait_exit(&second), 4);
	kill(s.pid, SIGTERM);
	ck_assert_int_eq(wait_exit(&s), 0);
	g_free(line);
	g_string_free(out, TRUE);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("program");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, commands);
	tcase_add_test(tc, serves_until_sigterm);
	return suite_run("program", tc);
}
