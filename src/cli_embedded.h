/**
 * @file cli_embedded.h
 * Subcommands that carry a site or a model in this process.
 */
#ifndef CLI_EMBEDDED_H
#define CLI_EMBEDDED_H

/** Measures a model of both deployments. */
int cli_bench(int argc, char **argv);
/** A short scenario over real sockets; 0 only if all of it holds. */
int cli_demo(int argc, char **argv);
/** Stand-ins of a site whose instances are other processes. */
int cli_standin(int argc, char **argv);

#endif
