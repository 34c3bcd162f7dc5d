/**
 * @file test_upgrade.c
 * Two builds side by side, as while the instances of a fleet are replaced: an
 * instance of this build and a process of another one serve the same members,
 * each for the sessions of the other, and neither finds a message malformed.
 *
 * The other build is the program that PREVIOUS_BUILD names; without it, this
 * build's own program (HYSSOPMOUNT).
 */
#include <check.h>
#include <signal.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "path_testbed.h"
#include "suite.h"

#define LATE_ROUTE                                                    \
	",{\"Host\":\"late\",\"Type\":\"primary\",\"TimeoutMs\":800," \
	"\"TargetLatencyMs\":900,\"Priority\":2,\"Service\":\"rota-db\"}"
#define ROUNDS 20

/** The process of the other build, in place of instance 1. */
struct other_build {
	char *settings;
	char *log;
	GPid pid;
};

static const char *other_program(void)
{
	const char *previous = g_getenv("PREVIOUS_BUILD");

	return previous ? previous : g_getenv("HYSSOPMOUNT");
}

static void write_settings(const char *file, const char *health)
{
	const char *store = object_store_address(path_testbed.store);
	char *text = g_strdup_printf(
		"{\"instance\":\"proxy-1\",\"zone\":\"a\",\"zones\":[\"a\"],"
		"\"listen\":{\"sessions\":\"%s\",\"peers\":\"%s\","
		"\"health\":\"%s\"},\"store\":\"%s\",\"promote_calls\":\"%s\"}",
		path_testbed.sessions[1], path_testbed.peers[1], health, store,
		store);

	ck_assert(g_file_set_contents(file, text, -1, NULL));
	g_free(text);
}

static void start_other(struct other_build *o)
{
	char health[ADDRESS_BYTES];
	int fd = g_file_open_tmp("upgrade-XXXXXX", &o->settings, NULL);
	int log = g_file_open_tmp("upgrade-log-XXXXXX", &o->log, NULL);
	char *argv[] = { (char *)other_program(), "proxy", "--settings",
			 o->settings, NULL };

	ck_assert(fd >= 0 && log >= 0);
	path_reserve_address(path_testbed.sessions[1]);
	path_reserve_address(health);
	write_settings(o->settings, health);
	ck_assert(g_spawn_async_with_fds(NULL, argv, NULL,
					 G_SPAWN_DO_NOT_REAP_CHILD, NULL, NULL,
					 &o->pid, -1, log, log, NULL));
	close(fd);
	close(log);
}

/* Stops the process and returns what it logged. */
static char *end_other(struct other_build *o)
{
	char *text = NULL;
	int status;

	kill(o->pid, SIGTERM);
	waitpid(o->pid, &status, 0);
	ck_assert(g_file_get_contents(o->log, &text, NULL, NULL));
	unlink(o->log);
	unlink(o->settings);
	g_free(o->log);
	g_free(o->settings);
	return text;
}

/*
 * Statements of both priorities at both instances. Each reaches members that
 * the other one owns, and takes tokens that the other one issues.
 */
static void exchange(void)
{
	int i;

	for (i = 0; i < ROUNDS; i++) {
		path_until_served(0, "rota", "QUERY a0 WRITE shift ann");
		path_until_served(1, "late", "QUERY a1 WRITE shift ben");
		path_until_served(1, "view", "QUERY a2 READ shift");
		path_until_served(0, "late", "QUERY a3 READ shift");
	}
	path_assert_value("shift", "ben");
}

START_TEST(builds_serve_side_by_side)
{
	struct other_build other;
	char *log;

	path_configure("secret", LATE_ROUTE);
	path_end_instance(1);
	start_other(&other);
	exchange();
	/* The instance of this build is replaced, the other one stays. */
	path_end_instance(0);
	path_until_served(1, "late", "QUERY b0 WRITE shift cid");
	path_start_instance(0);
	exchange();
	log = end_other(&other);
	ck_assert_ptr_null(strstr(log, "event=peer_malformed"));
	ck_assert_ptr_null(strstr(log, "event=peer_extension_malformed"));
	g_free(log);
	path_start_instance(1);
	exchange();
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("upgrade");

	tcase_add_checked_fixture(tc, path_setup, path_teardown);
	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, builds_serve_side_by_side);
	return suite_run("upgrade", tc);
}
