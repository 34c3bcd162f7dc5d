/** @file trace.c Records the events and actions of a core in a file. */
#include "trace.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "trace_event.h"

#define TRACE_BYTES_MAX ((size_t)256 * 1024 * 1024)

struct trace {
	FILE *file;
	struct key_numbers *keys;
	size_t bytes;
	bool full; /**< size limit reached, or a write failed */
};

/* Writes and frees @a text, which may be NULL. */
static void write_line(struct trace *t, char *text)
{
	if (text && !t->full) {
		t->bytes += strlen(text) + 1;
		if (fprintf(t->file, "%s\n", text) < 0)
			t->full = true;
	}
	free(text);
}

struct trace *trace_open(const char *path, const struct core_options *options,
			 hm_time start)
{
	FILE *file = fopen(path, "we");
	struct trace *t;

	if (!file)
		return NULL;
	t = g_new0(struct trace, 1);
	t->file = file;
	t->keys = key_numbers_new();
	write_line(t, trace_header_text(options, start));
	return t;
}

void trace_event(struct trace *t, const struct event *event, hm_time now)
{
	if (t->full)
		return;
	if (t->bytes >= TRACE_BYTES_MAX) {
		t->full = true;
		log_event(G_LOG_LEVEL_WARNING, "trace_full", NULL);
		return;
	}
	write_line(t, trace_event_text(event, now, t->keys));
}

void trace_actions(struct trace *t, const struct actions *actions)
{
	if (!t->full)
		write_line(t, trace_actions_text(actions, t->keys));
}

bool trace_close(struct trace *t)
{
	bool ok;

	if (!t)
		return true;
	ok = !ferror(t->file);
	ok = !fclose(t->file) && ok;
	key_numbers_free(t->keys);
	g_free(t);
	return ok;
}
