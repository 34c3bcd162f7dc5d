/**
 * @file cli.h
 * Subcommands of the program. Each takes the arguments from its own name on
 * (argv[0] is the name of the subcommand) and returns an exit code.
 */
#ifndef CLI_H
#define CLI_H

/** Exit codes of the subcommands. */
enum cli_exit {
	CLI_OK,
	CLI_USAGE,    /**< the command line is wrong */
	CLI_INVALID,  /**< the input is invalid, nothing changed */
	CLI_CONFLICT, /**< changed concurrently, nothing changed */
	/** a server is unreachable or does not start; see the output */
	CLI_UNAVAILABLE,
	CLI_NOT_IN_FORCE, /**< stored, but not used by all instances yet */
};

/** contract list|show|apply|withdraw */
int cli_contract(int argc, char **argv);
/** zone evacuate|restore|status */
int cli_zone(int argc, char **argv);
/** key grant|withdraw */
int cli_key(int argc, char **argv);
/**
 * replay TRACE: CLI_CONFLICT when the actions differ, CLI_INVALID when the
 * trace is damaged or unreadable.
 */
int cli_replay(int argc, char **argv);

#endif
