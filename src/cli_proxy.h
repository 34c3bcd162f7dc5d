/** @file cli_proxy.h The subcommand "proxy". */
#ifndef CLI_PROXY_H
#define CLI_PROXY_H

/** Serves sessions on the users' platform until a signal stops it. */
int cli_proxy(int argc, char **argv);

#endif
