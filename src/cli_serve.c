/** @file cli_serve.c The subcommand "serve". */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <sys/resource.h>
#include <unistd.h>

#include "command.h"
#include "embedded.h"
#include "instance.h"
#include "log.h"

/* Ends the thread that handles signals. */
#define SIGNAL_EXIT SIGUSR1

static char *settings_file;

static const GOptionEntry entries[] = { { "settings", 's', 0,
					  G_OPTION_ARG_FILENAME, &settings_file,
					  "JSON file of settings", "FILE" },
					G_OPTION_ENTRY_NULL };

static void init_signal_set(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
	sigaddset(set, SIGNAL_EXIT);
}

/*
 * Thread that handles signals: the first one stops the instance gracefully, the
 * second at once.
 */
static void *handle_signals(void *arg)
{
	sigset_t set;
	int number;

	init_signal_set(&set);
	while (!sigwait(&set, &number) && number != SIGNAL_EXIT)
		instance_stop(arg);
	return NULL;
}

static void print_addresses(const struct settings *s)
{
	printf("hyssopmount: instance %s in %s serves callers on %s\n",
	       s->instance, s->zone, s->listen_clients);
	printf("try: curl -s %s://%s/health\n",
	       s->tls_certificate[0] ? "https" : "http", s->listen_clients);
	fflush(stdout);
}

/*
 * Raises the soft limit of descriptors to the hard one, as each connection
 * takes a descriptor.
 */
static void raise_descriptor_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit))
		return;
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

static int serve(const struct settings *s)
{
	char fault[SETTINGS_FAULT_BYTES];
	struct instance *i;
	pthread_t signal_thread;
	sigset_t set;

	raise_descriptor_limit();
	init_signal_set(&set);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	log_open(s->log_level, STDERR_FILENO);
	i = instance_new(s, fault);
	if (!i) {
		log_close();
		fprintf(stderr, "%s\n", fault);
		return CLI_UNAVAILABLE;
	}
	print_addresses(s);
	pthread_create(&signal_thread, NULL, handle_signals, i);
	instance_run(i);
	pthread_kill(signal_thread, SIGNAL_EXIT);
	pthread_join(signal_thread, NULL);
	instance_free(i);
	log_close();
	return CLI_OK;
}

int cli_serve(int argc, char **argv)
{
	char fault[SETTINGS_FAULT_BYTES];
	struct settings s;

	if (!command_options(&argc, &argv, NULL,
			     "Serves clients until SIGTERM or SIGINT, which "
			     "stop gracefully; a second one stops at once. "
			     "Without settings: one instance with stand-ins "
			     "for the platform and a database group.",
			     entries))
		return CLI_USAGE;
	if (argc > 1) {
		fprintf(stderr, "serve: found %s, allowed are only options\n",
			argv[1]);
		return CLI_USAGE;
	}
	if (!settings_file)
		return embedded_serve();
	if (settings_read(&s, settings_file, fault))
		return serve(&s);
	fprintf(stderr, "%s\n", fault);
	return CLI_INVALID;
}
