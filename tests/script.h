/**
 * @file script.h
 * Runs test scripts: lines that begin with '>' are commands, the lines below a
 * command are its expected output, lines that begin with '#' are comments.
 */
#ifndef SCRIPT_H
#define SCRIPT_H

#include <glib.h>

/** Performs a command; appends its output lines to @a out. */
typedef void (*script_command)(void *context, const char *line, GString *out);

/**
 * Runs a script.
 * @return NULL when all output was as expected, else an allocated text with the
 * line, the expected and the actual output of the first difference.
 */
char *script_run(const char *file, script_command command, void *context);

/** Value of "name=" in a command line, allocated; NULL when absent. */
char *script_arg(const char *line, const char *name);
/** Integer value of "name=", @a missing when absent. */
gint64 script_int(const char *line, const char *name, gint64 missing);

#endif
