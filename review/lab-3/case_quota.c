/**
 * @file case_quota.c
 * All daemons of a zone are killed and start again, in an installation where
 * many machines have been replaced before, and a tenant asks for more than its
 * limit. With TROUBLE=0 no machine has been replaced.
 */
#include "lab.h"

#include <signal.h>
#include <string.h>

#include "member.h"

#define INSTANCES 2
#define FORMER 2000
#define PER_S 100
#define BURST 100
#define WINDOW 5.0 /* s, QuotaWindowS */
#define OVER 0.1   /* QuotaOver */
#define SLACK 20   /* QuotaSlack */
#define CLIENTS 6  /* at each daemon */
#define LASTS 12.0 /* s */
#define REQUESTS_MAX 200000

static struct {
	double sent, arrived; /* arrived 0: it didn't run */
} requests[REQUESTS_MAX];
static gint count, stopping;

static void on_run(int member, const char *tenant, const char *id,
		   const char *text)
{
	unsigned int number;

	(void)member;
	(void)text;
	if (strcmp(tenant, "acme") != 0 || strlen(id) != 16 ||
	    strncmp(id, "5c0e7a21", 8) != 0 ||
	    sscanf(id + 8, "%x", &number) != 1 || number >= REQUESTS_MAX)
		return;
	requests[number].arrived = lab_time();
}

/* Reads as often as it is served, and 20 ms after each refusal. */
static gpointer client(gpointer data)
{
	struct lab_instance *n = data;
	struct lab_answer a;
	struct lab_client c;
	int number;

	while (!g_atomic_int_get(&stopping)) {
		if (!lab_connect(&c, n, "view", 0)) {
			lab_sleep(0.05);
			continue;
		}
		do {
			number = g_atomic_int_add(&count, 1);
			if (number >= REQUESTS_MAX)
				return NULL;
			requests[number].sent = lab_time();
			lab_send(&c, "QUERY 5c0e7a21%08x READ %x\r\n", number,
				 number);
			lab_read_answer(&c, lab_time() + 2, 0, &a);
			lab_sleep(a.success ? 0.002 : 0.02);
		} while (a.complete && !g_atomic_int_get(&stopping));
		lab_disconnect(&c);
	}
	return NULL;
}

/* The most requests that were sent and ran inside one window. */
static int most_in_window(double *at)
{
	int i, k, n, most = 0;

	for (i = 0; i < count; i++) {
		if (requests[i].arrived <= 0)
			continue;
		for (n = 0, k = 0; k < count; k++)
			n += requests[k].arrived > 0 &&
			     requests[k].sent >= requests[i].sent &&
			     requests[k].arrived <= requests[i].sent + WINDOW;
		if (n > most) {
			most = n;
			*at = requests[i].sent;
		}
	}
	return most;
}

int main(int argc, char **argv)
{
	bool trouble = lab_open(argc > 1 ? argv[1] : "record.txt");
	const double allowed =
		(PER_S * WINDOW + BURST) * (1 + OVER) + SLACK;
	GThread *threads[INSTANCES * CLIENTS];
	char tenants[128];
	double at = 0;
	int i, most, ran = 0;

	lab_zone_count = 1;
	lab_former_machines = trouble ? FORMER : 0;
	lab_note("%d machines have been replaced before", lab_former_machines);
	lab_start(INSTANCES);
	g_snprintf(tenants, sizeof(tenants),
		   "[{\"Name\":\"acme\",\"ApiKeys\":[\"secret\"],\"PerS\":%d,"
		   "\"Burst\":%d}]",
		   PER_S, BURST);
	lab_configure(2, tenants);
	lab_sleep(8); /* ConfigApplyMs and a window */
	members_on_run(on_run);
	for (i = 0; i < INSTANCES; i++) {
		kill(lab_instances[i].pid, SIGKILL);
		while (lab_is_running(&lab_instances[i]))
			lab_sleep(0.005);
	}
	lab_sleep(0.5);
	for (i = 0; i < INSTANCES; i++)
		lab_start_instance(&lab_instances[i]);
	for (i = 0; i < INSTANCES * CLIENTS; i++)
		threads[i] = g_thread_new("client", client,
					  &lab_instances[i % INSTANCES]);
	lab_sleep(LASTS);
	g_atomic_int_set(&stopping, 1);
	for (i = 0; i < INSTANCES * CLIENTS; i++)
		g_thread_join(threads[i]);
	most = most_in_window(&at);
	for (i = 0; i < count; i++)
		ran += requests[i].arrived > 0;
	lab_note("%d requests sent, %d ran", count, ran);
	lab_note("most in %.0f s: %d, from %.3f s on; allowed: %.0f", WINDOW,
		 most, at, allowed);
	if (ran < PER_S)
		lab_end(LAB_NOT_RUN);
	lab_end(most > allowed ? LAB_BROKEN : LAB_HELD);
}
