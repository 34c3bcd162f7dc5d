/**
 * @file case_prepare.c
 * Each of many sessions prepares two long statements, none longer than a message
 * may be. The stand-in for the platform ends a process that exceeds MemoryMb and
 * starts it again, as DEPLOY says. With TROUBLE=0 the statements are short.
 */
#include "lab.h"

#include <signal.h>
#include <string.h>

#define CLIENTS 138
#define STATEMENTS 2
#define SHAPE_BYTES 1000000
#define SHAPE_BYTES_CALM 100
#define ROUNDS 4
#define HOLD 3.0 /* s */
#define ENDS_ALLOWED 3
#define MACHINES_ALLOWED 2
#define MACHINES 2 /* that the sessions are at */

static gint stopping;
static gint small_sent, small_lost, small_refused;

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
			restart_at[i] = lab_time() + 0.5;
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
			g_atomic_int_inc(&small_refused);
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

/* One round against one daemon; returns how many statements were prepared. */
static int prepare(const struct lab_instance *n, const char *shape)
{
	struct lab_client clients[CLIENTS];
	struct lab_answer a;
	int count = 0, done = 0, i, k;

	while (count < CLIENTS && lab_connect(&clients[count], n, "view", 0))
		count++;
	for (i = 0; i < count; i++)
		for (k = 0; k < STATEMENTS; k++) {
			if (!lab_send(&clients[i],
				      "QUERY 5c0e7a21%04x%04x PREPARE s%d READ "
				      "%s\r\n",
				      i, k, k, shape))
				continue;
			lab_read_answer(&clients[i], lab_time() + 2, 0, &a);
			done += a.complete && !a.error[0];
		}
	lab_note("instance %d: %d sessions, %d of %d statements of %zu bytes "
		 "prepared",
		 n->index, count, done, CLIENTS * STATEMENTS, strlen(shape));
	lab_sleep(HOLD);
	for (i = 0; i < count; i++)
		lab_disconnect(&clients[i]);
	return done;
}

int main(int argc, char **argv)
{
	bool trouble = lab_open(argc > 1 ? argv[1] : "record.txt");
	char *shape = g_strnfill(trouble ? SHAPE_BYTES : SHAPE_BYTES_CALM, 'q');
	GThread *watcher, *others[LAB_INSTANCES_MAX];
	int i, round, machines = 0;

	lab_start(3);
	watcher = g_thread_new("platform", watch_memory, NULL);
	for (i = 0; i < lab_instance_count; i++)
		others[i] = g_thread_new("client", read_small,
					 &lab_instances[i]);
	for (round = 0; round < ROUNDS; round++)
		for (i = 0; i < MACHINES; i++)
			prepare(&lab_instances[i], shape);
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
	lab_note("small reads of other clients: %d sent, %d without an answer, "
		 "%d sessions refused",
		 small_sent, small_lost, small_refused);
	lab_end(machines >= MACHINES_ALLOWED ? LAB_BROKEN : LAB_HELD);
}
