/**
 * @file cli_options.h
 * What the commands of operators share: options, a connection to the
 * platform, and output.
 */
#ifndef CLI_OPTIONS_H
#define CLI_OPTIONS_H

#include <glib.h>

#include "cli.h"
#include "object_api.h"

/** One run of a command. */
struct cli_run {
	struct object_api *api;
	hm_time call_limit;
	bool dry_run;
	bool wait;
	char **instances; /**< operators' listeners to be asked, "IP:port" */
	hm_time wait_limit;
	char *label;
	char **words; /**< arguments that are no options, ended by NULL */
	GString *out;
};

typedef enum cli_exit (*cli_command)(struct cli_run *run);

/** A subcommand of a subcommand, as in "contract apply". */
struct cli_action {
	const char *word;
	guint words; /**< number of arguments after @a word */
	cli_command command;
};

/**
 * Parses the arguments, runs the action that the first word names and
 * appends all output to @a out.
 * @param actions ended by one without word
 */
enum cli_exit cli_dispatch(int argc, char **argv, const char *summary,
			   const struct cli_action *actions, GString *out);
/** cli_dispatch() with output to standard output. */
int cli_main(int argc, char **argv, const char *summary,
	     const struct cli_action *actions);

/** Actions of the subcommands "contract" and "key". */
extern const struct cli_action cli_contract_actions[];
extern const struct cli_action cli_key_actions[];

/** Prints why a call of the platform failed; the exit code for it. */
enum cli_exit cli_failed(struct cli_run *run, enum api_outcome outcome);
/** Deadline of one call that begins now. */
hm_time cli_until(const struct cli_run *run);

#endif
