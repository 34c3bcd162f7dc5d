/**
 * @file cli.h
 * Subcommands of the program. Each takes the arguments from its own name on
 * (argv[0] is the name of the subcommand) and returns an exit code.
 */
#ifndef CLI_H
#define CLI_H

/** Exit codes of the commands of operators. */
enum cli_exit {
	CLI_OK,
	CLI_USAGE,	  /**< the command line is wrong */
	CLI_INVALID,	  /**< what was given is invalid, nothing changed */
	CLI_CONFLICT,	  /**< somebody else changed it, nothing changed */
	CLI_UNAVAILABLE,  /**< no answer, see what was printed */
	CLI_NOT_IN_FORCE, /**< accepted, but not in force everywhere yet */
};

/** contract list|show|apply|withdraw */
int cli_contract(int argc, char **argv);
/** key grant|withdraw */
int cli_key(int argc, char **argv);
/** replay TRACE; CLI_CONFLICT when actions differ, CLI_INVALID: damaged */
int cli_replay(int argc, char **argv);

#endif
