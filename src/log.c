/** @file log.c Bounded, asynchronous writer of key=value lines. */
#include "log.h"

#include <errno.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define FIELDS_MAX 24
#define QUEUE_LINES 65536
#define NUMBER_BYTES 24
#define SECOND_BYTES 32
#define DOMAIN "hyssopmount"
#define BATCH_BYTES 65536
#define GATHER_TIME (2 * G_TIME_SPAN_MILLISECOND)
#define CLOSE_LIMIT (2 * G_TIME_SPAN_SECOND)

struct log_queue {
	GMutex lock;
	GCond filled;
	GQueue lines; /* of char *, owned */
	uint32_t limit;
	uint64_t dropped;
	uint64_t reported; /* of the dropped lines */
	bool waiting;	   /* the thread waits for a first line */
	bool stopping;
	bool ended; /* the thread wrote all */
	GCond end;
	int fd;
	GThread *thread;
};

static struct log_queue queue = { .lines = G_QUEUE_INIT, .limit = QUEUE_LINES };
/* Least severe level that is written; 0 while closed. */
static atomic_uint threshold;

static const struct {
	const char *name;
	GLogLevelFlags level;
} levels[] = {
	{ "error", G_LOG_LEVEL_CRITICAL },
	{ "warning", G_LOG_LEVEL_WARNING },
	{ "info", G_LOG_LEVEL_INFO },
	{ "debug", G_LOG_LEVEL_DEBUG },
};

#define LEVEL_COUNT (sizeof(levels) / sizeof(levels[0]))

static const char *level_name(GLogLevelFlags level)
{
	size_t i;

	for (i = 0; i < LEVEL_COUNT; i++)
		if (level <= levels[i].level)
			return levels[i].name;
	return "debug";
}

static GLogLevelFlags level_of(const char *name)
{
	size_t i;

	for (i = 0; i < LEVEL_COUNT; i++)
		if (!strcmp(levels[i].name, name))
			return levels[i].level;
	return G_LOG_LEVEL_INFO;
}

bool log_enabled(GLogLevelFlags level)
{
	return (unsigned int)(level & G_LOG_LEVEL_MASK) <=
	       atomic_load(&threshold);
}

static bool needs_quotes(const char *value)
{
	return !*value || strpbrk(value, " =\"\\\t\r\n") != NULL;
}

static void append_quoted(GString *line, const char *value)
{
	g_string_append_c(line, '"');
	for (; *value; value++) {
		if (*value == '"' || *value == '\\')
			g_string_append_c(line, '\\');
		if (*value == '\n')
			g_string_append(line, "\\n");
		else if ((unsigned char)*value < ' ')
			g_string_append_printf(line, "\\x%02x", *value);
		else
			g_string_append_c(line, *value);
	}
	g_string_append_c(line, '"');
}

static void append_pair(GString *line, const char *key, const char *value)
{
	g_string_append_c(line, ' ');
	g_string_append(line, key);
	g_string_append_c(line, '=');
	if (needs_quotes(value))
		append_quoted(line, value);
	else
		g_string_append(line, value);
}

static void append_micros(GString *line, unsigned int micros)
{
	char digits[] = "000000Z";
	int i;

	for (i = 5; micros; i--, micros /= 10)
		digits[i] = (char)('0' + micros % 10);
	g_string_append_len(line, digits, 7);
}

/* The text of a second is kept: formatting it costs more than all else. */
static void append_time(GString *line)
{
	static _Thread_local time_t second;
	static _Thread_local char text[SECOND_BYTES];
	struct timespec now;
	struct tm tm;

	clock_gettime(CLOCK_REALTIME, &now);
	if (now.tv_sec != second || !text[0]) {
		gmtime_r(&now.tv_sec, &tm);
		strftime(text, sizeof(text), "time=%Y-%m-%dT%H:%M:%S.", &tm);
		second = now.tv_sec;
	}
	g_string_append(line, text);
	append_micros(line, (unsigned int)(now.tv_nsec / 1000));
}

/* A message of pairs already is taken over as it is, but on one line. */
static void append_message(GString *line, const char *message)
{
	size_t at = line->len + 1;

	if (!g_str_has_prefix(message, "event=")) {
		append_pair(line, "message", message);
		return;
	}
	g_string_append_printf(line, " %s", message);
	for (; at < line->len; at++)
		if ((unsigned char)line->str[at] < ' ')
			line->str[at] = ' ';
}

/* GLib's own fields of a record; ours have lower-case keys. */
static bool is_own_field(const char *key)
{
	return g_ascii_islower(key[0]);
}

static char *format_line(GLogLevelFlags level, const GLogField *fields,
			 gsize count)
{
	GString *line = g_string_sized_new(256);
	gsize i;

	append_time(line);
	append_pair(line, "level", level_name(level));
	for (i = 0; i < count; i++) {
		if (is_own_field(fields[i].key))
			append_pair(line, fields[i].key, fields[i].value);
		else if (!strcmp(fields[i].key, "MESSAGE"))
			append_message(line, fields[i].value);
	}
	g_string_append_c(line, '\n');
	return g_string_free(line, FALSE);
}

/* Takes the line. */
static void queue_push(char *line)
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

static GLogWriterOutput write_record(GLogLevelFlags level,
				     const GLogField *fields, gsize count,
				     gpointer unused)
{
	(void)unused;
	level &= G_LOG_LEVEL_MASK;
	if (log_enabled(level))
		queue_push(format_line(level, fields, count));
	return G_LOG_WRITER_HANDLED;
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

	append_time(batch);
	append_pair(batch, "level", "warning");
	append_pair(batch, "event", "log_dropped");
	snprintf(number, sizeof(number), "%" G_GUINT64_FORMAT, count);
	append_pair(batch, "lines", number);
	g_string_append_c(batch, '\n');
}

/* Moves queued lines to @a batch; the lock is held. */
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
 * Waits for the first line, then a moment for more, so that a busy loop does
 * not wake this thread for each line. The lock is held.
 */
static void wait_for_lines(void)
{
	gint64 until;

	queue.waiting = true;
	while (!queue.lines.length && !queue.stopping)
		g_cond_wait(&queue.filled, &queue.lock);
	queue.waiting = false;
	until = g_get_monotonic_time() + GATHER_TIME;
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
	queue.ended = true;
	g_cond_signal(&queue.end);
	g_mutex_unlock(&queue.lock);
	return NULL;
}

void log_open(const char *level, int fd)
{
	static gsize writer_set;

	if (g_once_init_enter(&writer_set)) {
		g_log_set_writer_func(write_record, NULL, NULL);
		g_once_init_leave(&writer_set, 1);
	}
	if (queue.thread)
		return;
	queue.fd = fd;
	queue.stopping = false;
	queue.ended = false;
	queue.thread = g_thread_new("log", write_lines, NULL);
	atomic_store(&threshold, (unsigned int)level_of(level));
}

void log_close(void)
{
	gint64 until = g_get_monotonic_time() + CLOSE_LIMIT;
	bool waiting = true, ended;

	if (!queue.thread)
		return;
	atomic_store(&threshold, 0);
	g_mutex_lock(&queue.lock);
	queue.stopping = true;
	g_cond_signal(&queue.filled);
	while (!queue.ended && waiting)
		waiting = g_cond_wait_until(&queue.end, &queue.lock, until);
	ended = queue.ended;
	g_mutex_unlock(&queue.lock);
	if (!ended)
		return; /* nobody reads the lines: the stop goes on */
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

static void set_field(GLogField *f, const char *key, const char *value)
{
	f->key = key;
	f->value = value;
	f->length = -1;
}

void log_event(GLogLevelFlags level, const char *event, ...)
{
	GLogField fields[FIELDS_MAX];
	const char *key, *value;
	gsize count = 0;
	va_list ap;

	if (!log_enabled(level))
		return;
	set_field(&fields[count++], "GLIB_DOMAIN", DOMAIN);
	set_field(&fields[count++], "event", event);
	va_start(ap, event);
	while ((key = va_arg(ap, const char *)) && count < FIELDS_MAX) {
		value = va_arg(ap, const char *);
		if (value)
			set_field(&fields[count++], key, value);
	}
	va_end(ap);
	g_log_structured_array(level, fields, count);
}

const char *rid_text(struct rid id, char out[RID_TEXT_BYTES])
{
	snprintf(out, RID_TEXT_BYTES,
		 "%016" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER "x", id.life,
		 id.seq);
	return out;
}

static const char *number_text(uint64_t n, const char *format,
			       char out[NUMBER_BYTES])
{
	if (!n)
		return NULL;
	snprintf(out, NUMBER_BYTES, format, n);
	return out;
}

static const char *name_text(const struct names *names, hm_id id)
{
	return id ? names_find(names, id) : NULL;
}

void log_decision(const struct decision *d, const struct names *names)
{
	char request[RID_TEXT_BYTES];
	char peer[NUMBER_BYTES], term[NUMBER_BYTES], pos[NUMBER_BYTES];

	if (!log_enabled(G_LOG_LEVEL_INFO))
		return;
	rid_text(d->request, request);
	log_event(G_LOG_LEVEL_INFO, d->what, "reason", d->reason, "request",
		  d->request.seq ? request : NULL, "account",
		  name_text(names, d->account), "database",
		  name_text(names, d->database), "endpoint",
		  name_text(names, d->endpoint), "peer",
		  number_text(d->peer, "%016" G_GINT64_MODIFIER "x", peer),
		  "term",
		  number_text(d->at.term, "%" G_GINT64_MODIFIER "u", term),
		  "pos", number_text(d->at.pos, "%" G_GINT64_MODIFIER "u", pos),
		  NULL);
}
