/** @file log.c Writes events and decisions as structured log records. */
#include "log.h"

#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#include "log_line.h"
#include "log_queue.h"

#define FIELDS_MAX 24
#define NUMBER_BYTES 24
#define DOMAIN "hyssopmount"

/* Least severe level that is logged; 0 while the log is closed. */
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

/*
 * Whether a field of a log record was set by the program. Such fields have
 * lower-case keys, those of GLib upper-case ones.
 */
static bool is_own_field(const char *key)
{
	return g_ascii_islower(key[0]);
}

static char *format_line(GLogLevelFlags level, const GLogField *fields,
			 gsize count)
{
	GString *line = g_string_sized_new(256);
	gsize i;

	line_begin(line, level_name(level));
	for (i = 0; i < count; i++) {
		if (is_own_field(fields[i].key))
			line_pair(line, fields[i].key, fields[i].value);
		else if (!strcmp(fields[i].key, "MESSAGE"))
			line_message(line, fields[i].value);
	}
	g_string_append_c(line, '\n');
	return g_string_free(line, FALSE);
}

static GLogWriterOutput write_record(GLogLevelFlags level,
				     const GLogField *fields, gsize count,
				     gpointer unused)
{
	(void)unused;
	level &= G_LOG_LEVEL_MASK;
	if (log_enabled(level))
		log_queue_push(format_line(level, fields, count));
	return G_LOG_WRITER_HANDLED;
}

void log_open(const char *level, int fd)
{
	static gsize writer_set;

	if (g_once_init_enter(&writer_set)) {
		g_log_set_writer_func(write_record, NULL, NULL);
		g_once_init_leave(&writer_set, 1);
	}
	if (log_queue_open(fd))
		atomic_store(&threshold, (unsigned int)level_of(level));
}

void log_close(void)
{
	atomic_store(&threshold, 0);
	log_queue_close();
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

void log_line(GLogLevelFlags level, const char *pairs)
{
	GString *line;

	if (!log_enabled(level))
		return;
	line = g_string_sized_new(256);
	line_begin(line, level_name(level));
	g_string_append_c(line, ' ');
	g_string_append(line, pairs);
	g_string_append_c(line, '\n');
	log_queue_push(g_string_free(line, FALSE));
}

const char *rid_text(struct rid id, char out[RID_TEXT_BYTES])
{
	snprintf(out, RID_TEXT_BYTES,
		 "%016" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER "x",
		 id.incarnation, id.seq);
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
