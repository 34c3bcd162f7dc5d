/**
 * @file command.h
 * The table of subcommands and what they share. Exit codes are those of
 * enum cli_exit.
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
	/** Arguments begin with the name of the subcommand. */
	int (*run)(int argc, char **argv);
	const char *help;
};

/**
 * Parses options; --help prints and ends the program with CLI_OK.
 * @param usage words after the name, as in "FILE..."
 * @return false with a line on standard error when the options are wrong.
 */
bool command_options(int *argc, char ***argv, const char *usage,
		     const char *summary, const GOptionEntry *entries);

/** Serves until told to stop. */
int cli_serve(int argc, char **argv);
/** Checks files of settings and contracts. */
int cli_check(int argc, char **argv);
/** Prints the status of an instance. */
int cli_status(int argc, char **argv);

#endif
