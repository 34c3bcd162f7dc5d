/** @file cli_replay.c The subcommand "replay". */
#include <glib.h>
#include <stdio.h>

#include "cli.h"
#include "replay.h"

static int exit_code(enum replay_outcome outcome)
{
	switch (outcome) {
	case REPLAY_SAME:
		return CLI_OK;
	case REPLAY_DIFFERS:
		return CLI_CONFLICT;
	case REPLAY_DAMAGED:
	case REPLAY_UNREADABLE:
		break;
	}
	return CLI_INVALID;
}

int cli_replay(int argc, char **argv)
{
	gboolean update = FALSE;
	const GOptionEntry entries[] = {
		{ "update", 'u', 0, G_OPTION_ARG_NONE, &update,
		  "Write the actions of this build into the trace", NULL },
		{ 0 }
	};
	GOptionContext *context = g_option_context_new("TRACE");
	GString *out = g_string_new(NULL);
	GError *error = NULL;
	int code = CLI_USAGE;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error))
		fprintf(stderr, "%s\n", error->message);
	else if (argc != 2)
		fprintf(stderr, "usage: hyssopmount replay TRACE [--update]\n");
	else
		code = exit_code(replay_file(argv[1], update, out));
	fputs(out->str, stdout);
	g_string_free(out, TRUE);
	g_clear_error(&error);
	g_option_context_free(context);
	return code;
}
