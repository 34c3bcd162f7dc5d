/** @file live.c Load test of a running instance. */
#include "live.h"

#include <glib.h>
#include <libpq-fe.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "client.h"
#include "loop.h"

#define CLIENTS_MAX 512

/* One thread that sends statements over its own connection. */
struct load_client {
	const struct live_plan *plan;
	GThread *thread;
	hm_time until;
	GArray *latencies_ms; /* double: latency of each answered statement */
	long refused;
	/* connection to the instance; NULL if to the endpoint */
	struct client *client;
	/* connection to the endpoint; NULL if to the instance */
	PGconn *direct;
};

static gint compare_doubles(gconstpointer a, gconstpointer b)
{
	double s = *(const double *)a, t = *(const double *)b;

	return s < t ? -1 : s > t;
}

static void record_answer(struct load_client *c, hm_time began, bool ok)
{
	double ms = (double)(loop_now() - began) / HM_MS;

	if (ok)
		g_array_append_val(c->latencies_ms, ms);
	else
		c->refused++;
}

static gpointer query_instance(gpointer data)
{
	struct load_client *c = data;
	struct client_statement s = { .database = c->plan->database,
				      .sql = c->plan->sql,
				      .mode = "read",
				      .max_age_ms = c->plan->max_age_ms };

	while (loop_now() < c->until) {
		hm_time began = loop_now();
		struct client_answer a;

		client_statement(c->client, &s, &a);
		record_answer(c, began, a.status == 200);
		client_answer_free(&a);
	}
	return NULL;
}

static gpointer query_endpoint(gpointer data)
{
	struct load_client *c = data;

	while (loop_now() < c->until) {
		hm_time began = loop_now();
		PGresult *r = PQexecParams(c->direct, c->plan->sql, 0, NULL,
					   NULL, NULL, NULL, 0);

		record_answer(c, began, PQresultStatus(r) == PGRES_TUPLES_OK);
		PQclear(r);
	}
	return NULL;
}

/* CPU time that a process has used, in microseconds; 0 when unknown. */
static double process_cpu(int pid)
{
	char path[64], *text = NULL;
	unsigned long user = 0, system = 0;
	const char *fields;

	g_snprintf(path, sizeof(path), "/proc/%d/stat", pid);
	if (!pid || !g_file_get_contents(path, &text, NULL, NULL))
		return 0;
	fields = strrchr(text, ')');
	if (fields)
		sscanf(fields + 1,
		       " %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u "
		       "%*u %lu %lu",
		       &user, &system);
	g_free(text);
	return (double)(user + system) * 1e6 / (double)sysconf(_SC_CLK_TCK);
}

/* Resident memory of a process in bytes, 0 when unknown. */
static double process_memory(int pid)
{
	char path[64], *text = NULL;
	unsigned long pages = 0;

	g_snprintf(path, sizeof(path), "/proc/%d/statm", pid);
	if (!pid || !g_file_get_contents(path, &text, NULL, NULL))
		return 0;
	sscanf(text, "%*u %lu", &pages);
	g_free(text);
	return (double)pages * (double)sysconf(_SC_PAGESIZE);
}

static void run_clients(const struct live_plan *plan,
			struct load_client *load_clients, GThreadFunc query)
{
	hm_time until = loop_now() + plan->seconds * HM_SEC;
	int i;

	for (i = 0; i < plan->clients; i++) {
		load_clients[i].plan = plan;
		load_clients[i].until = until;
		load_clients[i].latencies_ms =
			g_array_new(FALSE, FALSE, sizeof(double));
		load_clients[i].thread =
			g_thread_new("caller", query, &load_clients[i]);
	}
	for (i = 0; i < plan->clients; i++)
		g_thread_join(load_clients[i].thread);
}

static void summarize(const struct live_plan *plan,
		      struct load_client *load_clients, struct live_result *out)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(double));
	int i;

	for (i = 0; i < plan->clients; i++) {
		g_array_append_vals(all, load_clients[i].latencies_ms->data,
				    load_clients[i].latencies_ms->len);
		out->refused += load_clients[i].refused;
		g_array_free(load_clients[i].latencies_ms, TRUE);
	}
	g_array_sort(all, compare_doubles);
	out->answered = all->len;
	out->per_second = (double)all->len / plan->seconds;
	if (all->len) {
		out->p50_ms = g_array_index(all, double, all->len / 2);
		out->p99_ms = g_array_index(all, double, all->len * 99 / 100);
	}
	g_array_free(all, TRUE);
}

bool live_measure_instance(const struct live_plan *plan,
			   struct live_result *out)
{
	struct load_client load_clients[CLIENTS_MAX] = { 0 };
	double memory = process_memory(plan->pid), cpu;
	struct client_answer a;
	int i;

	memset(out, 0, sizeof(*out));
	for (i = 0; i < plan->clients; i++) {
		load_clients[i].client = client_new(plan->instance, plan->key);
		client_get(load_clients[i].client, "/health", &a);
		client_answer_free(&a);
	}
	out->bytes_per_connection =
		(process_memory(plan->pid) - memory) / plan->clients;
	cpu = process_cpu(plan->pid);
	run_clients(plan, load_clients, query_instance);
	summarize(plan, load_clients, out);
	if (out->answered)
		out->cpu_us_per_statement =
			(process_cpu(plan->pid) - cpu) / (double)out->answered;
	for (i = 0; i < plan->clients; i++)
		client_free(load_clients[i].client);
	return out->answered > 0;
}

static PGconn *connect_endpoint(const char *address)
{
	char **parts = g_strsplit(address, ":", 2);
	char *info = g_strdup_printf(
		"host=%s port=%s user=bench dbname=bench sslmode=disable "
		"gssencmode=disable",
		parts[0], parts[1] ? parts[1] : "5432");
	PGconn *conn = PQconnectdb(info);

	g_free(info);
	g_strfreev(parts);
	return conn;
}

bool live_measure_endpoint(const struct live_plan *plan,
			   struct live_result *out)
{
	struct load_client load_clients[CLIENTS_MAX] = { 0 };
	bool ok = true;
	int i;

	memset(out, 0, sizeof(*out));
	for (i = 0; i < plan->clients; i++) {
		load_clients[i].direct = connect_endpoint(plan->endpoint);
		ok = ok && PQstatus(load_clients[i].direct) == CONNECTION_OK;
	}
	if (ok) {
		run_clients(plan, load_clients, query_endpoint);
		summarize(plan, load_clients, out);
	}
	for (i = 0; i < plan->clients; i++)
		PQfinish(load_clients[i].direct);
	return ok && out->answered > 0;
}
