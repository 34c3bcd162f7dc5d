/** @file log_line.h Text of a log line: its time, then key=value pairs. */
#ifndef LOG_LINE_H
#define LOG_LINE_H

#include <glib.h>

/** Begins a line: UTC time in microseconds, and the level. */
void line_begin(GString *line, const char *level);
/** Appends " key=value", the value quoted where it needs to be. */
void line_pair(GString *line, const char *key, const char *value);
/** Appends a message: pairs already when it begins with "event=". */
void line_message(GString *line, const char *message);

#endif
