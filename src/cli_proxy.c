/** @file cli_proxy.c The subcommand "proxy". */
#include "cli_proxy.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "../platform/adapter.h"
#include "command.h"
#include "log.h"
#include "proxy_instance.h"

/* Environment variable with the path of the settings, without --settings. */
#define SETTINGS_VARIABLE "HYSSOPMOUNT_SETTINGS"

static char *settings_file;
static struct proxy_instance *running_instance; /* for on_signal() */

static const GOptionEntry entries[] = { { "settings", 's', 0,
					  G_OPTION_ARG_FILENAME, &settings_file,
					  "JSON file of settings", "FILE" },
					G_OPTION_ENTRY_NULL };

static void on_signal(int number)
{
	if (!running_instance)
		return;
	if (number == SIGHUP)
		proxy_instance_reload(running_instance);
	else
		proxy_instance_stop(running_instance);
}

static void install_signal_handlers(void)
{
	struct sigaction act = { .sa_handler = on_signal,
				 .sa_flags = SA_RESTART };

	sigemptyset(&act.sa_mask);
	sigaction(SIGTERM, &act, NULL);
	sigaction(SIGINT, &act, NULL);
	sigaction(SIGHUP, &act, NULL);
	signal(SIGPIPE, SIG_IGN);
}

static int serve(const struct proxy_settings *s, const char *file)
{
	struct proxy_platform platform = { &platform_lines, &platform_site };
	char fault[SETTINGS_FAULT_BYTES];
	struct proxy_instance *instance;

	install_signal_handlers();
	log_open(s->log_level, STDOUT_FILENO);
	instance = proxy_instance_new(s, &platform, fault);
	if (!instance) {
		log_close();
		fprintf(stderr, "%s\n", fault);
		return CLI_UNAVAILABLE;
	}
	proxy_instance_watch_file(instance, file);
	running_instance = instance;
	proxy_instance_run(instance);
	running_instance = NULL;
	proxy_instance_free(instance);
	log_close();
	return CLI_OK;
}

int cli_proxy(int argc, char **argv)
{
	char fault[SETTINGS_FAULT_BYTES];
	struct proxy_settings s;
	const char *file;

	if (!command_options(&argc, &argv, NULL,
			     "Serves sessions over the line protocol until "
			     "SIGTERM, which stops gracefully; a second one "
			     "stops at once. SIGHUP reads the settings again.",
			     entries))
		return CLI_USAGE;
	file = settings_file ? settings_file : getenv(SETTINGS_VARIABLE);
	if (argc > 1 || !file) {
		fprintf(stderr, "proxy: found %s, allowed --settings FILE\n",
			argc > 1 ? argv[1] : "nothing");
		return CLI_USAGE;
	}
	if (proxy_settings_read(&s, file, fault))
		return serve(&s, file);
	fprintf(stderr, "%s\n", fault);
	return CLI_INVALID;
}
