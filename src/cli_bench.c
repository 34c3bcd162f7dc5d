/** @file cli_bench.c The subcommand "bench": benchmarks on the model. */
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "bench.h"
#include "cli_embedded.h"
#include "command.h"
#include "live.h"
#include "slopes.h"

static gboolean as_json;
static gboolean decisions;
static gboolean slopes;
static struct live_plan live = { .database = "db1",
				 .sql = "SELECT 1",
				 .clients = 1,
				 .seconds = 5,
				 .max_age_ms = 1000 };
static int seeds = 5;
static int seed = 1;
static int seconds = 30;
static char *case_filter;
static char *site_filter;

static const GOptionEntry entries[] = {
	{ "json", 0, 0, G_OPTION_ARG_NONE, &as_json, "print JSON", NULL },
	{ "decisions", 0, 0, G_OPTION_ARG_NONE, &decisions,
	  "print the decisions of the first seed instead", NULL },
	{ "slopes", 0, 0, G_OPTION_ARG_NONE, &slopes,
	  "measure memory and time per unit of load instead", NULL },
	{ "live", 0, 0, G_OPTION_ARG_STRING, &live.instance,
	  "load test a running instance instead", "IP:PORT" },
	{ "key", 0, 0, G_OPTION_ARG_STRING, &live.key,
	  "key of the account, with --live", "KEY" },
	{ "endpoint", 0, 0, G_OPTION_ARG_STRING, &live.endpoint,
	  "compare with this endpoint, with --live", "IP:PORT" },
	{ "database", 0, 0, G_OPTION_ARG_STRING, &live.database,
	  "database to ask, with --live", "NAME" },
	{ "sql", 0, 0, G_OPTION_ARG_STRING, &live.sql,
	  "statement to send, with --live", "SQL" },
	{ "clients", 0, 0, G_OPTION_ARG_INT, &live.clients,
	  "connections, with --live, 1 to 500", "N" },
	{ "pid", 0, 0, G_OPTION_ARG_INT, &live.pid,
	  "process of the instance to measure, with --live", "PID" },
	{ "seeds", 0, 0, G_OPTION_ARG_INT, &seeds, "runs of each case, 1 to 64",
	  "N" },
	{ "seed", 0, 0, G_OPTION_ARG_INT, &seed, "first seed", "N" },
	{ "seconds", 0, 0, G_OPTION_ARG_INT, &seconds,
	  "virtual time of a run, at least 5", "N" },
	{ "case", 0, 0, G_OPTION_ARG_STRING, &case_filter, "only this case",
	  "NAME" },
	{ "site", 0, 0, G_OPTION_ARG_STRING, &site_filter,
	  "only this site, library or tangle", "NAME" },
	{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
};

static const struct {
	const char *name;
	void (*fill)(struct model_site *site);
} sites[] = {
	{ "library", model_site_library },
	{ "tangle", model_site_tangle },
};

static const struct model_server *const servers[] = { &model_core,
						      &model_naive };

static void print_header(void)
{
	printf("%-17s %-18s %-12s %8s %8s %8s %7s %8s %9s %8s %7s %7s %5s\n",
	       "site", "case", "server", "replica", "gap med", "gap max",
	       "worst", "its p99", "wrongful", "unknown", "p50", "p99", "must");
	printf("%-17s %-18s %-12s %8s %8s %8s %7s %8s %9s %8s %7s %7s %5s\n",
	       "", "", "", "reads %", "s", "s", "share", "ms", "/10,000",
	       "/10,000", "ms", "ms", "be 0");
}

static void print_row(const struct bench_result *r)
{
	printf("%-17s %-18s %-12s %8.1f %8.2f %8.2f %7.3f %8.1f %9.2f %8.2f "
	       "%7.1f %7.1f %5llu\n",
	       r->site, r->case_name, r->server, 100 * r->replica_share,
	       (double)r->gap_median / HM_SEC, (double)r->gap_worst / HM_SEC,
	       r->worst_share, (double)r->worst_p99 / HM_MS,
	       r->wrongful_refusals, r->unknown_outcomes,
	       (double)r->p50 / HM_MS, (double)r->p99 / HM_MS,
	       (unsigned long long)r->violations);
	fflush(stdout);
}

/*
 * Prints the lowest latencies that a site allows without queues or faults:
 * network delays plus the mean run time of a statement.
 */
static void print_limits(const struct model_site *s)
{
	hm_time near = 2 * s->client_delay;

	printf("%-17s physical limits: read %.1f ms at a replica of the zone, "
	       "write %.1f ms at another zone's primary; writes need a log "
	       "record at a replica: %.1f ms\n",
	       s->name, (double)(near + s->read_cost) / HM_MS,
	       (double)(near + s->write_cost + 2 * s->zone_delay) / HM_MS,
	       (double)(near + s->write_cost + 2 * s->zone_delay + s->lag) /
		       HM_MS);
}

static void print_progress(const struct model_site *site,
			   const struct bench_case *c,
			   const struct model_server *server)
{
	if (isatty(STDERR_FILENO))
		fprintf(stderr, "\r%s, %s, %s ...          \r", site->name,
			c->name, server->name);
}

static void run_case(const struct bench_case *c, const struct model_site *site,
		     json_t *rows)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(servers); i++) {
		struct bench_result row;

		print_progress(site, c, servers[i]);
		bench_run(c, site, servers[i], (uint64_t)seed, (uint32_t)seeds,
			  seconds * HM_SEC, &row);
		if (as_json)
			json_array_append_new(rows, bench_json(&row));
		else
			print_row(&row);
	}
}

static void print_decision(hm_time at, uint32_t instance,
			   const struct decision *d)
{
	printf("t=%.3f instance=%u decision=%s reason=\"%s\" "
	       "request=%" G_GUINT64_FORMAT " endpoint=%016" G_GINT64_MODIFIER
	       "x peer=%" G_GUINT64_FORMAT " term=%" G_GUINT64_FORMAT
	       " pos=%" G_GUINT64_FORMAT "\n",
	       (double)at / HM_SEC, instance, d->what, d->reason,
	       d->request.seq, d->endpoint, d->peer >> 32, d->at.term,
	       d->at.pos);
}

static void run_site(const struct model_site *site, json_t *rows)
{
	size_t i;

	if (!as_json && !decisions)
		print_limits(site);
	for (i = 0; i < bench_case_count; i++) {
		const struct bench_case *c = &bench_cases[i];

		if (case_filter && strcmp(case_filter, c->name) != 0)
			continue;
		if (decisions)
			bench_trace_decisions(c, site, (uint64_t)seed,
					      seconds * HM_SEC, print_decision);
		else
			run_case(c, site, rows);
	}
}

static int run_model(void)
{
	json_t *rows = json_array();
	struct model_site site;
	char *text;
	size_t i;

	if (!as_json && !decisions)
		print_header();
	for (i = 0; i < G_N_ELEMENTS(sites); i++) {
		if (site_filter && strcmp(site_filter, sites[i].name) != 0)
			continue;
		sites[i].fill(&site);
		run_site(&site, rows);
	}
	if (as_json) {
		text = json_dumps(rows,
				  JSON_INDENT(1) | JSON_REAL_PRECISION(6));
		printf("%s\n", text);
		g_free(text);
	}
	json_decref(rows);
	return 0;
}

static void print_slope(const struct slope *s)
{
	printf("%-28s %-8s %12.1f %14.0f %6.3f %6d %6d\n", s->per, s->unit,
	       s->slope, s->base, s->r_squared, s->from, s->to);
}

static int run_slopes(void)
{
	struct slope all[SLOPES_MAX];
	json_t *rows = json_array();
	int count = slopes_measure(all);
	char *text;
	int i;

	if (!as_json)
		printf("%-28s %-8s %12s %14s %6s %6s %6s\n", "for each", "unit",
		       "cost", "at none", "fit", "from", "to");
	for (i = 0; i < count; i++) {
		json_array_append_new(rows, slope_json(&all[i]));
		if (!as_json)
			print_slope(&all[i]);
	}
	if (as_json) {
		text = json_dumps(rows, JSON_INDENT(1));
		printf("%s\n", text);
		g_free(text);
	}
	json_decref(rows);
	return CLI_OK;
}

static void print_live_result(const char *what, const struct live_result *f)
{
	printf("%-14s %8.0f statements/s, p50 %.2f ms, p99 %.2f ms, %ld "
	       "answered, %ld refused\n",
	       what, f->per_second, f->p50_ms, f->p99_ms, f->answered,
	       f->refused);
}

static int run_live(void)
{
	struct live_result through, direct;

	live.seconds = seconds;
	if (live.clients < 1 || live.clients > 500) {
		fprintf(stderr, "bench: --clients takes 1 to 500\n");
		return CLI_USAGE;
	}
	if (!live_measure_instance(&live, &through)) {
		fprintf(stderr, "bench: no answer from %s\n", live.instance);
		return CLI_UNAVAILABLE;
	}
	print_live_result("through", &through);
	if (live.pid)
		printf("instance: %.1f us of processor time a statement, "
		       "%.0f bytes a connection\n",
		       through.cpu_us_per_statement,
		       through.bytes_per_connection);
	if (!live.endpoint)
		return CLI_OK;
	if (!live_measure_endpoint(&live, &direct)) {
		fprintf(stderr, "bench: no answer from %s\n", live.endpoint);
		return CLI_UNAVAILABLE;
	}
	print_live_result("bare endpoint", &direct);
	printf("ratio: p50 %.2f, statements/s %.2f\n",
	       through.p50_ms / direct.p50_ms,
	       through.per_second / direct.per_second);
	return CLI_OK;
}

int cli_bench(int argc, char **argv)
{
	if (!command_options(&argc, &argv, NULL,
			     "Measures a model of both deployments, case by "
			     "case, beside a naive version.",
			     entries))
		return CLI_USAGE;
	if (argc > 1 || seeds < 1 || seeds > 64 ||
	    seconds < (live.instance ? 1 : 5)) {
		fprintf(stderr, "bench: --seeds takes 1 to 64, --seconds "
				"from 5, and nothing else is allowed\n");
		return CLI_USAGE;
	}
	if (live.instance)
		return run_live();
	return slopes ? run_slopes() : run_model();
}
