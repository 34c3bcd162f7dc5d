/** @file cli_options.c Options and dispatch of "contract" and "key". */
#include "cli_options.h"

#include <stdio.h>
#include <string.h>

#include "loop.h"

#define CALL_TIMEOUT (3 * HM_SEC)
#define WAIT_TIMEOUT_S 30

/** Targets of GLib's option parser. */
struct parsed {
	char *platform;
	gboolean dry_run;
	gboolean wait;
	int wait_timeout_s;
	char **instances;
	char *label;
	char **positional;
};

static void free_parsed(struct parsed *p)
{
	g_free(p->platform);
	g_free(p->label);
	g_strfreev(p->instances);
	g_strfreev(p->positional);
}

static bool parse(int argc, char **argv, const char *summary,
		  struct parsed *out, GString *errors)
{
	const GOptionEntry entries[] = {
		{ "platform", 'p', 0, G_OPTION_ARG_STRING, &out->platform,
		  "Address of the platform's object API", "IP:port" },
		{ "dry-run", 'n', 0, G_OPTION_ARG_NONE, &out->dry_run,
		  "Show what would change", NULL },
		{ "wait", 'w', 0, G_OPTION_ARG_NONE, &out->wait,
		  "Wait until the change is in force everywhere", NULL },
		{ "timeout", 't', 0, G_OPTION_ARG_INT, &out->wait_timeout_s,
		  "Longest wait (30)", "SECONDS" },
		{ "instance", 'i', 0, G_OPTION_ARG_STRING_ARRAY,
		  &out->instances,
		  "Operators' listener to ask; may be repeated", "IP:port" },
		{ "label", 'l', 0, G_OPTION_ARG_STRING, &out->label,
		  "Label of a granted key", "TEXT" },
		{ G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY,
		  &out->positional, NULL, NULL },
		{ 0 }
	};
	GOptionContext *context = g_option_context_new(summary);
	char **args = g_new0(char *, argc + 1);
	GError *error = NULL;
	bool ok;

	/* The parser removes entries from the array, so it gets a copy. */
	memcpy(args, argv, (size_t)argc * sizeof(*args));
	g_option_context_add_main_entries(context, entries, NULL);
	ok = g_option_context_parse(context, &argc, &args, &error);
	if (!ok)
		g_string_append_printf(errors, "%s\n", error->message);
	g_clear_error(&error);
	g_option_context_free(context);
	g_free(args);
	return ok;
}

static const struct cli_action *find_action(const struct cli_action *actions,
					    char **positional)
{
	if (!positional)
		return NULL;
	for (; actions->name; actions++)
		if (!strcmp(actions->name, positional[0]) &&
		    g_strv_length(positional) == actions->arg_count + 1)
			return actions;
	return NULL;
}

static enum cli_exit usage(GString *out, const char *summary)
{
	g_string_append_printf(out, "usage: hyssopmount %s\n", summary);
	return CLI_USAGE;
}

static enum cli_exit run_action(const struct cli_action *action,
				const struct parsed *p, GString *out)
{
	struct cli_run run = { .call_timeout = CALL_TIMEOUT,
			       .dry_run = p->dry_run,
			       .wait = p->wait,
			       .operator_addresses = p->instances,
			       .wait_timeout = p->wait_timeout_s * HM_SEC,
			       .label = p->label,
			       .args = p->positional + 1,
			       .out = out };
	enum cli_exit code;

	run.api = object_api_new(p->platform);
	code = action->command(&run);
	object_api_free(run.api);
	return code;
}

enum cli_exit cli_dispatch(int argc, char **argv, const char *summary,
			   const struct cli_action *actions, GString *out)
{
	struct parsed parsed = { .wait_timeout_s = WAIT_TIMEOUT_S };
	const struct cli_action *action;
	enum cli_exit code;

	if (!parse(argc, argv, summary, &parsed, out)) {
		code = CLI_USAGE;
		goto done;
	}
	action = find_action(actions, parsed.positional);
	if (!action || !parsed.platform || parsed.wait_timeout_s < 1)
		code = usage(out, summary);
	else
		code = run_action(action, &parsed, out);
done:
	free_parsed(&parsed);
	return code;
}

int cli_main(int argc, char **argv, const char *summary,
	     const struct cli_action *actions)
{
	GString *out = g_string_new(NULL);
	enum cli_exit code = cli_dispatch(argc, argv, summary, actions, out);

	fputs(out->str, code == CLI_USAGE ? stderr : stdout);
	g_string_free(out, TRUE);
	return (int)code;
}

enum cli_exit cli_api_error(struct cli_run *run, enum api_outcome outcome)
{
	switch (outcome) {
	case API_OK:
		return CLI_OK;
	case API_CONFLICT:
		g_string_append(run->out,
				"conflict: it was changed after it was read\n");
		return CLI_CONFLICT;
	case API_OUTCOME_UNKNOWN:
		g_string_append(run->out,
				"unknown: the platform did not answer whether "
				"the change took effect; run it again\n");
		return CLI_UNAVAILABLE;
	case API_NOT_FOUND:
	case API_INVALID:
	case API_UNAVAILABLE:
		break;
	}
	g_string_append(run->out,
			"unavailable: the platform did not answer, nothing "
			"changed\n");
	return CLI_UNAVAILABLE;
}

hm_time cli_call_deadline(const struct cli_run *run)
{
	return loop_now() + run->call_timeout;
}
