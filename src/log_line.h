/** @file log_line.h Formats log lines: time, then key=value pairs. */
#ifndef LOG_LINE_H
#define LOG_LINE_H

#include <glib.h>

/** Begins a line with the UTC time, in microseconds, and the level. */
void line_begin(GString *line, const char *level);
/** Appends " key=value", the value quoted where it needs to be. */
void line_pair(GString *line, const char *key, const char *value);
/**
 * Appends a message. One that begins with "event=" consists of key=value pairs
 * and is appended without quoting; any other becomes the value of "message".
 */
void line_message(GString *line, const char *message);

#endif
