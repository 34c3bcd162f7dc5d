/** @file log_line.c Formats log lines. */
#include "log_line.h"

#include <stdbool.h>
#include <string.h>
#include <time.h>

#define SECOND_BYTES 32

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

void line_pair(GString *line, const char *key, const char *value)
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

/*
 * Appends the current time. The text of the current second is cached, because
 * formatting it costs more than the rest of the line.
 */
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

/*
 * Appends a message. In one that consists of key=value pairs, control
 * characters become blanks, so that the line stays one line.
 */
void line_message(GString *line, const char *message)
{
	size_t at = line->len + 1;

	if (!g_str_has_prefix(message, "event=")) {
		line_pair(line, "message", message);
		return;
	}
	g_string_append_printf(line, " %s", message);
	for (; at < line->len; at++)
		if ((unsigned char)line->str[at] < ' ')
			line->str[at] = ' ';
}

void line_begin(GString *line, const char *level)
{
	append_time(line);
	line_pair(line, "level", level);
}
