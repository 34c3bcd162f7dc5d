/**
 * @file fleet.h
 * Runs a site as separate processes for tests: the stand-ins and three
 * instances, each started by posix_spawn() and killed by its process ID.
 */
#ifndef FLEET_H
#define FLEET_H

#include <glib.h>
#include <sys/types.h>

#include "../src/client.h"

#define FLEET_INSTANCES 3
#define FLEET_TIMEOUT_US (15 * G_TIME_SPAN_SECOND)
#define FLEET_POLL_INTERVAL_US 10000
#define FLEET_DEADLINE_MS 8000

struct fleet {
	int port;  /**< first of SITE_PORTS ports */
	char *dir; /**< for settings and logs */
	pid_t standin;
	int to_standin;	  /**< standard input of the stand-ins */
	int from_standin; /**< standard output of the stand-ins */
	pid_t instances[FLEET_INSTANCES]; /**< process IDs; 0: not running */
	char key[80];
	GMutex lock;
	GArray *writes; /**< outcome of each write, guarded by @a lock */
};

/** Starts all processes; fails the test when that is not possible. */
void fleet_start_all(struct fleet *f);
/**
 * Kills the running instances, ends the stand-ins and reaps them. Works also
 * after a partial start. Fails the test when the stand-ins fail.
 */
void fleet_stop_all(struct fleet *f);
/** Starts an instance, or restarts it with the same settings. */
void fleet_start(struct fleet *f, int instance);
/** Kills an instance with SIGKILL and reaps it. */
void fleet_kill(struct fleet *f, int instance);
/** Waits for an instance to exit: its exit code, -1 after the timeout. */
int fleet_wait_exit(struct fleet *f, int instance);
/** Sends a command line to the stand-ins, which must answer "ok". */
void fleet_command(struct fleet *f, const char *line);
/** "IP:port" of the client or operator listener; free with g_free(). */
char *fleet_client_address(const struct fleet *f, int instance);
char *fleet_operator_address(const struct fleet *f, int instance);
/** Instance that by the logs took the endpoint last; -1 for none. */
int fleet_owner(const struct fleet *f, const char *endpoint);
/** New client with the key of the account. */
struct client *fleet_client(const struct fleet *f, int instance);
/** Inserts a unique text and records the outcome; true if acknowledged. */
bool fleet_write(struct fleet *f, struct client *c, char code[32]);
/** Writes until one is acknowledged. */
void fleet_write_until(struct fleet *f, struct client *c);
/**
 * Reads all rows and checks that each acknowledged write is there once, each
 * write with unknown outcome at most once and each other write never.
 */
void fleet_check(struct fleet *f, struct client *c);

#endif
