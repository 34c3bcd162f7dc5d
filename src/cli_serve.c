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

/* Ends the thread that waits for signals. */
#define SIGNAL_END SIGUSR1

static char *settings_file;

static const GOptionEntry entries[] = { { "settings", 's', 0,
					  G_OPTION_ARG_FILENAME, &settings_file,
					  "JSON file of settings", "FILE" },
					G_OPTION_ENTRY_NULL };

static void signals_of_serve(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
	sigaddset(set, SIGNAL_END);
}

/* The first signal stops gracefully, the second at once. */
static void *wait_for_signals(void *arg)
{
	sigset_t set;
	int number;

	signals_of_serve(&set);
	while (!sigwait(&set, &number) && number != SIGNAL_END)
		instance_stop(arg);
	return NULL;
}

static void print_where(const struct settings *s)
{
	printf("hyssopmount: instance %s in %s serves callers on %s\n",
	       s->instance, s->zone, s->listen_clients);
	printf("try: curl -s %s://%s/health\n",
	       s->tls_certificate[0] ? "https" : "http", s->listen_clients);
	fflush(stdout);
}

/* One descriptor for each connection, as many as are permitted. */
static void raise_descriptors(void)
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
	pthread_t waiter;
	sigset_t set;

	raise_descriptors();
	signals_of_serve(&set);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	log_open(s->log_level, STDERR_FILENO);
	i = instance_new(s, fault);
	if (!i) {
		log_close();
		fprintf(stderr, "%s\n", fault);
		return CLI_UNAVAILABLE;
	}
	print_where(s);
	pthread_create(&waiter, NULL, wait_for_signals, i);
	instance_run(i);
	pthread_kill(waiter, SIGNAL_END);
	pthread_join(waiter, NULL);
	instance_free(i);
	log_close();
	return CLI_OK;
}

int cli_serve(int argc, char **argv)
{
	char fault[SETTINGS_FAULT_BYTES];
	struct settings s;

	if (!command_options(&argc, &argv, NULL,
			     "Serves callers until SIGTERM or SIGINT, which "
			     "stop gracefully; a second one stops at once. "
			     "Without settings: one instance with stand-ins "
			     "for the platform and a database group.",
			     entries))
		return CLI_USAGE;
	if (argc > 1) {
		fprintf(stderr, "serve: found %s, allowed are options alone\n",
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
