/** @file command.c Parses the options of subcommands. */
#include "command.h"

#include <stdio.h>

bool command_options(int *argc, char ***argv, const char *usage,
		     const char *summary, const GOptionEntry *entries)
{
	GOptionContext *context = g_option_context_new(usage);
	GError *error = NULL;
	char *name;
	bool ok;

	name = g_strdup_printf("hyssopmount %s", (*argv)[0]);
	g_set_prgname(name);
	g_free(name);
	g_option_context_set_summary(context, summary);
	if (entries)
		g_option_context_add_main_entries(context, entries, NULL);
	ok = g_option_context_parse(context, argc, argv, &error);
	if (!ok) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
	}
	g_option_context_free(context);
	return ok;
}
