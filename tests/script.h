/**
 * @file script.h
 * Reads scripted runs: lines that begin with '>' are commands, the lines
 * below are the output expected of them, '#' starts a comment.
 */
#ifndef SCRIPT_H
#define SCRIPT_H

#include <glib.h>

/** Performs a command, appends its output lines to @a out. */
typedef void (*script_command)(void *context, const char *line, GString *out);

/**
 * Runs a script.
 * @return NULL when all output was as expected, else a new text that names
 * the line, what was expected and what came.
 */
char *script_run(const char *file, script_command command, void *context);

/** Value of "name=" in a command line: a new string, NULL when absent. */
char *script_arg(const char *line, const char *name);
/** Integer value of "name=", @a missing when absent. */
gint64 script_int(const char *line, const char *name, gint64 missing);

#endif
