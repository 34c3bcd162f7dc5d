/** @file cli_demo.c The subcommand "demo": a scenario over real sockets. */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "../standin/site.h"
#include "cli_embedded.h"
#include "client.h"
#include "command.h"
#include "log.h"
#include "loop.h"

#define DEMO_PORT 8520
#define TABLE_SQL "CREATE TABLE shifts (id INTEGER PRIMARY KEY, who TEXT)"
#define INSERT_SQL "INSERT INTO shifts(who) VALUES ($1)"
#define COUNT_SQL "SELECT count(*) FROM shifts"
#define MAX_AGE_MS 10000
#define RATE 20 /* requests per second */
#define BURST 20
#define RATE_SECONDS 3
#define START_TIMEOUT (10 * HM_SEC)
#define WITHDRAW_LIMIT (2 * HM_SEC)
#define WRITE_LIMIT (3 * HM_SEC) /* during a failover */
#define WRITE_DEADLINE_MS 10000

struct demo {
	struct site *site;
	struct client *client;
	char key[SITE_KEY_BYTES];
	json_int_t written; /* number of rows whose write was acknowledged */
};

static void insert(struct demo *d, struct client_answer *a)
{
	struct client_statement s = { .database = "db1",
				      .sql = INSERT_SQL,
				      .mode = "write",
				      .parameter = "Almaz",
				      .deadline_ms = WRITE_DEADLINE_MS };

	client_statement(d->client, &s, a);
	if (a->status == 200)
		d->written++;
}

static json_int_t count(struct demo *d, int max_age_ms, char *endpoint,
			size_t size)
{
	struct client_statement s = { .database = "db1",
				      .sql = COUNT_SQL,
				      .mode = "read",
				      .max_age_ms = max_age_ms };
	struct client_answer a;
	json_int_t n;
	const char *text;

	client_statement(d->client, &s, &a);
	n = client_number(&a, -1);
	text = json_string_value(json_object_get(a.body, "endpoint"));
	g_snprintf(endpoint, size, "%s", text ? text : a.code);
	client_answer_free(&a);
	return n;
}

/*
 * Repeats a write until one succeeds, since instances must find their peers and
 * the platform first.
 */
static bool start(struct demo *d, char *out, size_t size)
{
	hm_time until = loop_now() + START_TIMEOUT;
	struct client_answer a = { 0 };
	hm_time began = loop_now();

	do {
		client_answer_free(&a);
		insert(d, &a);
	} while (a.status != 200 && loop_now() < until);
	g_snprintf(out, size, "first write answered %s after %.1f s", a.code,
		   (double)(loop_now() - began) / HM_SEC);
	client_answer_free(&a);
	return d->written == 1;
}

static bool write_one(struct demo *d, char *out, size_t size)
{
	struct client_answer a;
	bool done;

	insert(d, &a);
	done = a.status == 200;
	g_snprintf(out, size, "write answered %s", a.code);
	client_answer_free(&a);
	return done;
}

static bool read_own(struct demo *d, char *out, size_t size)
{
	char endpoint[NAME_BYTES];
	json_int_t n = count(d, 0, endpoint, sizeof(endpoint));

	g_snprintf(out, size, "%lld rows read at %s, %lld written", n, endpoint,
		   d->written);
	return n == d->written;
}

static bool read_aged(struct demo *d, char *out, size_t size)
{
	char endpoint[NAME_BYTES];
	json_int_t n = count(d, MAX_AGE_MS, endpoint, sizeof(endpoint));

	g_snprintf(out, size, "%lld rows read at %s with age %d s accepted", n,
		   endpoint, MAX_AGE_MS / 1000);
	return n == d->written;
}

static bool switch_instance(struct demo *d, char *out, size_t size)
{
	char endpoint[NAME_BYTES];
	struct client_answer a;
	json_int_t n;

	insert(d, &a);
	client_answer_free(&a);
	client_set_address(d->client, site_client_address(d->site, 1));
	n = count(d, MAX_AGE_MS, endpoint, sizeof(endpoint));
	g_snprintf(out, size,
		   "%lld rows read at %s through the second instance", n,
		   endpoint);
	return n == d->written;
}

static bool withdraw(struct demo *d, char *out, size_t size)
{
	char key[SITE_KEY_BYTES];
	struct client_statement s = { .database = "db1",
				      .sql = COUNT_SQL,
				      .mode = "read" };
	struct client_answer a = { 0 };
	struct client *c;
	hm_time at, until = loop_now() + START_TIMEOUT;
	int before = 0, after = 0;

	site_put_contract(d->site, "other", 100, 100, key);
	c = client_new(site_client_address(d->site, 0), key);
	while (before != 200 && loop_now() < until) {
		client_statement(c, &s, &a);
		before = a.status;
		client_answer_free(&a);
	}
	at = loop_now();
	until = at + START_TIMEOUT;
	site_put_contract_without_keys(d->site, "other", 100, 100);
	while (after != 401 && loop_now() < until) {
		client_statement(c, &s, &a);
		after = a.status;
		client_answer_free(&a);
	}
	client_free(c);
	g_snprintf(out, size,
		   "open connection answered %d, then %d %.2f s after the "
		   "withdrawal",
		   before, after, (double)(loop_now() - at) / HM_SEC);
	return before == 200 && after == 401 &&
	       loop_now() - at < WITHDRAW_LIMIT;
}

static bool kill_primary(struct demo *d, char *out, size_t size)
{
	struct member_faults dead = { .dead = true };
	char endpoint[NAME_BYTES];
	struct client_answer a;
	hm_time longest = 0;
	json_int_t n;
	int i, refused = 0;

	for (i = 0; i < 60; i++) {
		hm_time began = loop_now();

		if (i == 20)
			members_set_faults(
				site_members(d->site),
				site_endpoint(d->site, 0, 0)->endpoint, &dead);
		insert(d, &a);
		refused += a.status != 200;
		client_answer_free(&a);
		longest = MAX(longest, loop_now() - began);
	}
	n = count(d, 0, endpoint, sizeof(endpoint));
	g_snprintf(out, size,
		   "primary killed under writes: longest wait %.2f s, %d not "
		   "acknowledged, %lld of %lld rows at %s",
		   (double)longest / HM_SEC, refused, n, d->written, endpoint);
	return n >= d->written && longest < WRITE_LIMIT;
}

static bool over_rate(struct demo *d, char *out, size_t size)
{
	char key[SITE_KEY_BYTES];
	struct client_statement s = { .database = "db1",
				      .sql = "SELECT 1",
				      .mode = "read",
				      .max_age_ms = MAX_AGE_MS,
				      .deadline_ms = 100 };
	struct client_answer a = { 0 };
	struct client *c[2];
	hm_time began, until;
	int i, passed = 0, refused = 0, wrong_execution = 0, max_passed;

	site_put_contract(d->site, "busy", RATE, BURST, key);
	for (i = 0; i < 2; i++)
		c[i] = client_new(site_client_address(d->site, (uint32_t)i),
				  key);
	until = loop_now() + START_TIMEOUT;
	do {
		client_statement(c[0], &s, &a);
		client_answer_free(&a);
	} while (a.status == 401 && loop_now() < until);
	began = loop_now();
	until = began + RATE_SECONDS * HM_SEC;
	for (i = 0; loop_now() < until; i++) {
		client_statement(c[i % 2], &s, &a);
		passed += a.status == 200;
		refused += a.status == 429;
		wrong_execution +=
			a.status == 429 && strcmp(a.execution, "not run") != 0;
		client_answer_free(&a);
	}
	max_passed = BURST + (int)(RATE * (loop_now() - began) / HM_SEC) + 1;
	for (i = 0; i < 2; i++)
		client_free(c[i]);
	g_snprintf(out, size,
		   "two instances: %d passed of at most %d, %d refused as "
		   "not run",
		   passed, max_passed, refused);
	return passed > 0 && passed <= max_passed && refused > 0 &&
	       !wrong_execution;
}

static const struct demo_step {
	const char *name;
	bool (*run)(struct demo *d, char *out, size_t size);
} steps[] = {
	{ "start", start },
	{ "write", write_one },
	{ "read own write", read_own },
	{ "read with accepted age", read_aged },
	{ "roam to a second instance", switch_instance },
	{ "withdrawn key", withdraw },
	{ "promotion under traffic", kill_primary },
	{ "account over its rate", over_rate },
};

static int run_steps(struct demo *d)
{
	char line[256];
	int failed = 0;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(steps); i++) {
		bool ok = steps[i].run(d, line, sizeof(line));

		printf("%-4s %s: %s\n", ok ? "ok" : "FAIL", steps[i].name,
		       line);
		fflush(stdout);
		failed += !ok;
	}
	return failed;
}

int cli_demo(int argc, char **argv)
{
	struct site_options options;
	struct demo d = { 0 };
	char fault[SETTINGS_FAULT_BYTES];
	int failed = 1;

	if (!command_options(&argc, &argv, NULL,
			     "Runs a short scenario over real sockets.", NULL))
		return CLI_USAGE;
	signal(SIGPIPE, SIG_IGN);
	site_options_default(&options);
	options.port = DEMO_PORT;
	options.instances = 3;
	log_open(options.log_level, STDERR_FILENO);
	d.site = site_new(&options, fault);
	if (!d.site) {
		fprintf(stderr, "%s\n", fault);
		goto done;
	}
	if (!members_sql(site_members(d.site),
			 site_endpoint(d.site, 0, 0)->endpoint, TABLE_SQL) ||
	    !site_put_contract(d.site, "demo", 1000, 1000, d.key))
		goto done;
	d.client = client_new(site_client_address(d.site, 0), d.key);
	failed = run_steps(&d);

done:
	client_free(d.client);
	site_free(d.site);
	log_close();
	return failed ? 1 : 0;
}
