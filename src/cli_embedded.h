/**
 * @file cli_embedded.h
 * Subcommands that run a stand-in site or a model in this process.
 */
#ifndef CLI_EMBEDDED_H
#define CLI_EMBEDDED_H

/** Benchmarks the core on a model, or a running instance (--live). */
int cli_bench(int argc, char **argv);
/** Runs a short scenario over real sockets; 0 only if each step succeeds. */
int cli_demo(int argc, char **argv);
/** Runs a site's stand-ins; its instances are other processes. */
int cli_standin(int argc, char **argv);

#endif
