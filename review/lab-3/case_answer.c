/**
 * @file case_answer.c
 * A client reads many rows in one statement, with its retries, every few
 * seconds. The stand-in for the platform ends a process that exceeds MemoryMb
 * and starts it again, as DEPLOY says. With TROUBLE=0 the statement has few
 * rows.
 */
#include "lab.h"

#include <signal.h>
#include <string.h>

#define ROWS 90000
#define ROWS_CALM 90
#define ROW_BYTES 1000
#define RETRIES 2
#define OPERATIONS 6
#define PAUSE 3.0 /* s between two operations */
#define RESTART_AFTER 0.5
#define ENDS_ALLOWED 3	  /* on a machine */
#define MACHINES_ALLOWED 2 /* a tenth of the machines in use, two at least */

static gint stopping;
static gint small_sent, small_lost;

/* Ends and restarts processes as the platform does. */
static gpointer watch_memory(gpointer unused)
{
	double restart_at[LAB_INSTANCES_MAX] = { 0 };
	long kb;
	int i;

	(void)unused;
	while (!g_atomic_int_get(&stopping)) {
		for (i = 0; i < lab_instance_count; i++) {
			struct lab_instance *n = &lab_instances[i];

			if (!n->pid && lab_time() > restart_at[i])
				lab_start_instance(n);
			kb = lab_memory_kb(n);
			if (kb > n->peak_kb)
				n->peak_kb = kb;
			if (kb <= LAB_MEMORY_MB * 1024L)
				continue;
			lab_note("instance %d has %ld MB, more than MemoryMb "
				 "%d: the platform ends it",
				 i, kb / 1024, LAB_MEMORY_MB);
			kill(n->pid, SIGKILL);
			while (lab_is_running(n))
				lab_sleep(0.002);
			n->ends++;
			restart_at[i] = lab_time() + RESTART_AFTER;
		}
		lab_sleep(0.002);
	}
	return NULL;
}

/* Other clients: small reads, some of which lose their answers. */
static gpointer read_small(gpointer data)
{
	struct lab_instance *n = data;
	struct lab_answer a;
	struct lab_client c;

	while (!g_atomic_int_get(&stopping)) {
		if (!lab_connect(&c, n, "rota", 0)) {
			lab_sleep(0.2);
			continue;
		}
		do {
			g_atomic_int_inc(&small_sent);
			lab_send(&c, "QUERY %08x%08x READ 1a4\r\n",
				 g_random_int(), g_random_int());
			lab_read_answer(&c, lab_time() + 2, 0, &a);
			lab_sleep(0.02);
		} while (a.complete && !g_atomic_int_get(&stopping));
		if (!a.complete)
			g_atomic_int_inc(&small_lost);
		lab_disconnect(&c);
	}
	return NULL;
}

/* One operation: an attempt, and its retries at other daemons. */
static void operate(int number, int rows)
{
	struct lab_answer a = { 0 };
	struct lab_client c;
	int attempt;

	for (attempt = 0; attempt <= RETRIES && !a.success; attempt++) {
		int at = (number + attempt) % lab_instance_count;

		if (!lab_connect(&c, &lab_instances[at], "view", 0)) {
			lab_note("operation %d: no session at instance %d",
				 number, at);
			lab_sleep(0.1);
			continue;
		}
		lab_note("operation %d at instance %d: QUERY "
			 "90000000000%02x%02x READ many:%d:%d",
			 number, at, number, attempt, rows, ROW_BYTES);
		lab_send(&c, "QUERY 90000000000%02x%02x READ many:%d:%d\r\n",
			 number, attempt, rows, ROW_BYTES);
		lab_read_answer(&c, lab_time() + 2, 0, &a);
		lab_note("operation %d got %" G_GUINT64_FORMAT " rows, %s%s",
			 number, a.rows,
			 a.complete ? "whole answer " : a.end, a.error);
		lab_disconnect(&c);
		lab_sleep(0.1);
	}
}

int main(int argc, char **argv)
{
	bool trouble = lab_open(argc > 1 ? argv[1] : "record.txt");
	GThread *watcher, *others[LAB_INSTANCES_MAX];
	int i, machines = 0;

	lab_start(3);
	watcher = g_thread_new("platform", watch_memory, NULL);
	for (i = 0; i < lab_instance_count; i++)
		others[i] = g_thread_new("client", read_small,
					 &lab_instances[i]);
	for (i = 0; i < OPERATIONS; i++) {
		operate(i, trouble ? ROWS : ROWS_CALM);
		lab_sleep(PAUSE);
	}
	g_atomic_int_set(&stopping, 1);
	g_thread_join(watcher);
	for (i = 0; i < lab_instance_count; i++)
		g_thread_join(others[i]);
	for (i = 0; i < lab_instance_count; i++) {
		struct lab_instance *n = &lab_instances[i];

		lab_note("instance %d: ended %d times, at most %ld MB", i,
			 n->ends, n->peak_kb / 1024);
		machines += n->ends >= ENDS_ALLOWED;
	}
	lab_note("small reads of other clients: %d sent, %d without an answer",
		 small_sent, small_lost);
	lab_end(machines >= MACHINES_ALLOWED ? LAB_BROKEN : LAB_HELD);
}
