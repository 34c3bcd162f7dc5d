/** @file main.c Entry point: runs the subcommand given as first argument. */
#include <stdio.h>
#include <string.h>

#include "cli_embedded.h"
#include "cli_proxy.h"
#include "command.h"

static const struct command commands[] = {
	{ "serve", cli_serve, "serve clients until a signal stops it" },
	{ "proxy", cli_proxy, "serve sessions on the users' platform" },
	{ "check", cli_check, "check files of settings, contracts, databases" },
	{ "status", cli_status, "print the status of an instance" },
	{ "contract", cli_contract, "list, show, apply or withdraw contracts" },
	{ "key", cli_key, "grant or withdraw a key of an account" },
	{ "zone", cli_zone, "evacuate or restore a zone" },
	{ "replay", cli_replay, "replay a trace and compare its actions" },
	{ "demo", cli_demo, "a short scenario over real sockets" },
	{ "standin", cli_standin, "stand-ins for instances run by hand" },
	{ "bench", cli_bench, "measure a model of both deployments" },
};

static void print_usage(FILE *out)
{
	size_t i;

	fprintf(out, "usage: hyssopmount COMMAND [OPTION...]\n"
		     "       hyssopmount --version\n\ncommands:\n");
	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(out, "  %-10s %s\n", commands[i].name,
			commands[i].help);
	fprintf(out, "\nhyssopmount COMMAND --help lists its options.\n"
		     "exit codes: 0 done, 1 wrong command line, 2 invalid "
		     "input,\n  3 conflict, 4 no answer, 5 not in force yet\n");
}

int main(int argc, char **argv)
{
	const char *word = argc > 1 ? argv[1] : "";
	size_t i;

	if (!strcmp(word, "--version")) {
		printf("hyssopmount %s\n", VERSION);
		return CLI_OK;
	}
	if (!strcmp(word, "--help") || !strcmp(word, "-h")) {
		print_usage(stdout);
		return CLI_OK;
	}
	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		if (!strcmp(word, commands[i].name))
			return commands[i].run(argc - 1, argv + 1);
	print_usage(stderr);
	return CLI_USAGE;
}
