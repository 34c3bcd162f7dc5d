/** @file log_queue.c Bounded queue of log lines, and its writer thread. */
#include "log_queue.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "log.h"
#include "log_line.h"

#define QUEUE_LINES 65536
#define NUMBER_BYTES 24
#define BATCH_BYTES 65536
#define BATCH_WINDOW (2 * G_TIME_SPAN_MILLISECOND)
#define CLOSE_LIMIT (2 * G_TIME_SPAN_SECOND)

struct log_queue {
	GMutex lock;
	GCond filled;
	GQueue lines; /* of char *, owned */
	uint32_t limit;
	uint64_t dropped;
	uint64_t reported; /* dropped lines whose count was logged */
	bool waiting;	   /* the thread waits for the first line of a batch */
	bool stopping;
	bool finished; /* the thread has written all lines */
	GCond finished_cond;
	int fd;
	GThread *thread;
};

static struct log_queue queue = { .lines = G_QUEUE_INIT, .limit = QUEUE_LINES };

void log_queue_push(char *line)
{
	g_mutex_lock(&queue.lock);
	if (queue.lines.length < queue.limit) {
		g_queue_push_tail(&queue.lines, line);
		if (queue.waiting)
			g_cond_signal(&queue.filled);
		line = NULL;
	} else {
		queue.dropped++;
	}
	g_mutex_unlock(&queue.lock);
	g_free(line);
}

static void write_all(int fd, const char *text, size_t bytes)
{
	ssize_t n;

	while (bytes > 0) {
		n = write(fd, text, bytes);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			return;
		text += n;
		bytes -= (size_t)n;
	}
}

static void append_dropped(GString *batch, uint64_t count)
{
	char number[NUMBER_BYTES];

	line_begin(batch, "warning");
	line_pair(batch, "event", "log_dropped");
	snprintf(number, sizeof(number), "%" G_GUINT64_FORMAT, count);
	line_pair(batch, "lines", number);
	g_string_append_c(batch, '\n');
}

/* Moves queued lines to @a batch. Call with the lock held. */
static void take_batch(GString *batch)
{
	char *line;

	while (batch->len < BATCH_BYTES &&
	       (line = g_queue_pop_head(&queue.lines))) {
		g_string_append(batch, line);
		g_free(line);
	}
	if (queue.dropped > queue.reported && queue.lines.length == 0) {
		append_dropped(batch, queue.dropped - queue.reported);
		queue.reported = queue.dropped;
	}
}

/*
 * Waits for the first line, then 2 ms for more, so that a busy event loop does
 * not wake this thread for every line. Call with the lock held.
 */
static void wait_for_lines(void)
{
	gint64 until;

	queue.waiting = true;
	while (!queue.lines.length && !queue.stopping)
		g_cond_wait(&queue.filled, &queue.lock);
	queue.waiting = false;
	until = g_get_monotonic_time() + BATCH_WINDOW;
	while (!queue.stopping &&
	       g_cond_wait_until(&queue.filled, &queue.lock, until))
		;
}

static gpointer write_lines(gpointer unused)
{
	GString *batch = g_string_sized_new(BATCH_BYTES);
	bool stopping = false;

	(void)unused;
	while (!stopping) {
		g_string_truncate(batch, 0);
		g_mutex_lock(&queue.lock);
		wait_for_lines();
		take_batch(batch);
		stopping = queue.stopping && !queue.lines.length;
		g_mutex_unlock(&queue.lock);
		write_all(queue.fd, batch->str, batch->len);
	}
	g_string_free(batch, TRUE);
	g_mutex_lock(&queue.lock);
	queue.finished = true;
	g_cond_signal(&queue.finished_cond);
	g_mutex_unlock(&queue.lock);
	return NULL;
}

bool log_queue_open(int fd)
{
	if (queue.thread)
		return false;
	queue.fd = fd;
	queue.stopping = false;
	queue.finished = false;
	queue.thread = g_thread_new("log", write_lines, NULL);
	return true;
}

void log_queue_close(void)
{
	gint64 until = g_get_monotonic_time() + CLOSE_LIMIT;
	bool waiting = true, finished;

	if (!queue.thread)
		return;
	g_mutex_lock(&queue.lock);
	queue.stopping = true;
	g_cond_signal(&queue.filled);
	while (!queue.finished && waiting)
		waiting = g_cond_wait_until(&queue.finished_cond, &queue.lock,
					    until);
	finished = queue.finished;
	g_mutex_unlock(&queue.lock);
	if (!finished)
		return; /* writing blocks: stops without the thread */
	g_thread_join(queue.thread);
	queue.thread = NULL;
}

uint64_t log_dropped(void)
{
	uint64_t n;

	g_mutex_lock(&queue.lock);
	n = queue.dropped;
	g_mutex_unlock(&queue.lock);
	return n;
}

void log_queue_limit(uint32_t lines)
{
	g_mutex_lock(&queue.lock);
	queue.limit = lines;
	g_mutex_unlock(&queue.lock);
}
