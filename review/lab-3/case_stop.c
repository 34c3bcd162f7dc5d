/**
 * @file case_stop.c
 * A daemon gets SIGTERM. Sessions that stay open to it ask for a long answer
 * and read it at a steady pace, in less time than the route allows. With
 * TROUBLE=0 there is no SIGTERM.
 */
#include "lab.h"

#include <signal.h>
#include <string.h>

#define READERS 3
#define ROWS 7800
#define ROW_BYTES 1000
#define READ_PER_S 4.3e6
#define ASK_AFTER 2.05	/* s after SIGTERM */
#define ROUTE_LIMIT 2.0 /* s, TimeoutMs of the route */
#define RECEIVE_BUFFER 65536

struct reader {
	int number;
	struct lab_client client;
	struct lab_answer answer;
	double asked_at, ended_at;
};

static gpointer read_long(gpointer data)
{
	struct reader *r = data;

	r->asked_at = lab_time();
	lab_note("reader %d sends: QUERY 5c0e7a21d94b36f%d READ many:%d:%d",
		 r->number, r->number, ROWS, ROW_BYTES);
	lab_send(&r->client, "QUERY 5c0e7a21d94b36f%d READ many:%d:%d\r\n",
		 r->number, ROWS, ROW_BYTES);
	lab_read_answer(&r->client, lab_time() + 10, READ_PER_S, &r->answer);
	r->ended_at = lab_time();
	lab_note("reader %d got %" G_GUINT64_FORMAT " of %d rows, %s%s%s, "
		 "%.3f s after it asked",
		 r->number, r->answer.rows, ROWS,
		 r->answer.complete ? "whole answer" : r->answer.end,
		 r->answer.error[0] ? ", error " : "", r->answer.error,
		 r->ended_at - r->asked_at);
	return NULL;
}

static bool is_broken(const struct reader *r, double stop_at)
{
	/* Rows came, so the request had been read and run. */
	return r->answer.rows && !r->answer.complete &&
	       r->ended_at - r->asked_at < ROUTE_LIMIT &&
	       r->ended_at < stop_at + LAB_GRACE_S + 1;
}

int main(int argc, char **argv)
{
	bool trouble = lab_open(argc > 1 ? argv[1] : "record.txt");
	struct lab_instance *stopped = &lab_instances[0];
	struct reader readers[READERS];
	GThread *threads[READERS];
	double stop_at;
	int i, broken = 0;

	lab_start(3);
	lab_sleep(4); /* StableWindowMs without any disruption */
	for (i = 0; i < READERS; i++) {
		readers[i].number = i;
		if (!lab_connect(&readers[i].client, stopped, "view",
				 RECEIVE_BUFFER))
			lab_end(LAB_NOT_RUN);
	}
	stop_at = lab_time();
	if (trouble) {
		lab_note("SIGTERM to instance 0, grace %d s", LAB_GRACE_S);
		kill(stopped->pid, SIGTERM);
	}
	lab_sleep(ASK_AFTER);
	for (i = 0; i < READERS; i++)
		threads[i] = g_thread_new("reader", read_long, &readers[i]);
	while (trouble && lab_is_running(stopped) &&
	       lab_time() < stop_at + LAB_GRACE_S)
		lab_sleep(0.01);
	if (trouble)
		lab_note("instance 0 ended %.3f s after SIGTERM",
			 lab_time() - stop_at);
	for (i = 0; i < READERS; i++) {
		g_thread_join(threads[i]);
		broken += is_broken(&readers[i], stop_at);
		/* The case shows nothing if a reader itself was too slow. */
		if (!trouble && (!readers[i].answer.success ||
				 readers[i].ended_at - readers[i].asked_at >=
					 ROUTE_LIMIT))
			lab_end(LAB_NOT_RUN);
	}
	lab_note("%d of %d answers cut off before the route's limit of %.0f ms",
		 broken, READERS, ROUTE_LIMIT * 1000);
	lab_end(broken ? LAB_BROKEN : LAB_HELD);
}
