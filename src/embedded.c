/** @file embedded.c One instance with stand-ins for trying out the program. */
#include "embedded.h"

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <unistd.h>

#include "../standin/site.h"
#include "log.h"

#define DEMO_RATE 10000 /* requests per second */
#define TABLE_SQL "CREATE TABLE notes (id INTEGER PRIMARY KEY, text TEXT)"

static void print_usage(const struct site *s, const char *key)
{
	const char *at = site_client_address(s, 0);

	printf("hyssopmount serves on http://%s, operators on http://%s\n", at,
	       site_operator_address(s, 0));
	printf("try: curl -s http://%s/v1/statement "
	       "-H 'Authorization: Bearer %s' -d '{\"database\":\"db1\","
	       "\"mode\":\"write\",\"sql\":\"INSERT INTO notes(text) "
	       "VALUES ($1)\",\"params\":[\"hello\"]}'\n",
	       at, key);
	fflush(stdout);
}

static void wait_for_signal(void)
{
	sigset_t set;
	int signal;

	sigemptyset(&set);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGTERM);
	sigwait(&set, &signal);
}

/*
 * Blocks SIGINT and SIGTERM before any thread starts. Threads inherit the mask,
 * so that only sigwait() receives the signals.
 */
static void block_signals(void)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGTERM);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
}

int embedded_serve(void)
{
	struct site_options options;
	char fault[SETTINGS_FAULT_BYTES];
	char key[SITE_KEY_BYTES];
	struct site *s;
	int code = 1;

	block_signals();
	site_options_default(&options);
	log_open(options.log_level, STDERR_FILENO);
	s = site_new(&options, fault);
	if (!s) {
		fprintf(stderr, "%s\n", fault);
		goto done;
	}
	if (!members_sql(site_members(s), site_endpoint(s, 0, 0)->endpoint,
			 TABLE_SQL) ||
	    !site_put_contract(s, "demo", DEMO_RATE, DEMO_RATE, key)) {
		fprintf(stderr, "cannot create the table and the contract\n");
		goto done;
	}
	print_usage(s, key);
	wait_for_signal();
	site_stop(s, 0);
	code = 0;

done:
	site_free(s);
	log_close();
	return code;
}
