/**
 * @file command.h
 * Type of the table of subcommands, and the parser of their options. Exit codes
 * are those of enum cli_exit.
 */
#ifndef COMMAND_H
#define COMMAND_H

#include <glib.h>
#include <stdbool.h>

#include "cli.h"

#define VERSION "0.1.0"

/** One subcommand. */
struct command {
	const char *name;
	/** Runs the subcommand; argv[0] is its name. Returns the exit code. */
	int (*run)(int argc, char **argv);
	const char *help;
};

/**
 * Parses options. --help prints the help and ends the program with CLI_OK.
 * @param usage arguments in the help's usage line, such as "FILE..."
 * @return false, with a line on standard error, when the options are wrong
 */
bool command_options(int *argc, char ***argv, const char *usage,
		     const char *summary, const GOptionEntry *entries);

/** Runs an instance until it is stopped. */
int cli_serve(int argc, char **argv);
/** Validates files of settings and contracts. */
int cli_check(int argc, char **argv);
/** Prints the status of an instance. */
int cli_status(int argc, char **argv);

#endif
