/**
 * @file cli_options.h
 * What the subcommands "contract", "key" and "zone" share: options, the
 * connection to the platform's object API, and output.
 */
#ifndef CLI_OPTIONS_H
#define CLI_OPTIONS_H

#include <glib.h>

#include "cli.h"
#include "object_api.h"

/** Options, connection and output of one run of a subcommand. */
struct cli_run {
	struct object_api *api;
	hm_time call_timeout; /**< time limit of one call of @a api */
	bool dry_run;	      /**< print the change without making it */
	bool wait; /**< wait until the change is in force at each instance */
	/** Operator listeners of instances to query, each "IP:port". */
	char **operator_addresses;
	hm_time wait_timeout; /**< time limit of @a wait */
	char *label;	      /**< label of a granted key, NULL for none */
	char **args; /**< arguments after the action, NULL-terminated */
	GString *out;
};

typedef enum cli_exit (*cli_command)(struct cli_run *run);

/** An action of a subcommand, as "apply" in "contract apply FILE". */
struct cli_action {
	const char *name;
	guint arg_count; /**< number of arguments after @a name */
	cli_command command;
};

/**
 * Parses the options, runs the action named by the first positional argument
 * and appends all output to @a out.
 * @param actions ended by an entry with NULL name
 */
enum cli_exit cli_dispatch(int argc, char **argv, const char *summary,
			   const struct cli_action *actions, GString *out);
/** Runs cli_dispatch() and prints its output; usage errors go to stderr. */
int cli_main(int argc, char **argv, const char *summary,
	     const struct cli_action *actions);

/** Actions of the subcommands "contract", "key" and "zone". */
extern const struct cli_action cli_contract_actions[];
extern const struct cli_action cli_key_actions[];
extern const struct cli_action cli_zone_actions[];

/**
 * Prints why a call of the platform failed and returns the exit code for it;
 * CLI_OK, without output, for API_OK.
 */
enum cli_exit cli_api_error(struct cli_run *run, enum api_outcome outcome);
/** Deadline of a platform call that starts now. */
hm_time cli_call_deadline(const struct cli_run *run);

#endif
