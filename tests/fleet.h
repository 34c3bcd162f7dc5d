/**
 * @file fleet.h
 * A site of processes for tests: the program's stand-ins and three instances,
 * each started by posix_spawn() and ended by its process number.
 */
#ifndef FLEET_H
#define FLEET_H

#include <glib.h>
#include <sys/types.h>

#include "../src/client.h"

#define FLEET_INSTANCES 3
#define FLEET_LIMIT (15 * G_TIME_SPAN_SECOND)
#define FLEET_POLL_US 10000
#define FLEET_DEADLINE_MS 8000

struct fleet {
	int port;  /**< first of its ports */
	char *dir; /**< settings and logs */
	pid_t standin;
	int to_standin;
	int from_standin;
	pid_t instances[FLEET_INSTANCES]; /**< 0: not running */
	char key[80];
	GMutex lock;
	GArray *writes; /**< what became of every write, under the lock */
};

/** Starts all; fails the test when that does not succeed. */
void fleet_open(struct fleet *f);
/** Ends and reaps what runs; keeps to what was begun. */
void fleet_close(struct fleet *f);
/** Starts an instance with the settings it had. */
void fleet_start(struct fleet *f, int instance);
/** SIGKILL, and waits for the end. */
void fleet_kill(struct fleet *f, int instance);
/** Exit code of an instance that was told to stop, -1 for none in time. */
int fleet_wait_end(struct fleet *f, int instance);
/** Sends one line to the stand-ins, which must answer "ok". */
void fleet_tell(struct fleet *f, const char *line);
/** "IP:port" for callers or operators; free with g_free(). */
char *fleet_callers(const struct fleet *f, int instance);
char *fleet_operators(const struct fleet *f, int instance);
/** Instance that took an endpoint last, by the log; -1 for none. */
int fleet_home(const struct fleet *f, const char *endpoint);
/** New client with the key of the account. */
struct client *fleet_client(const struct fleet *f, int instance);
/** One write of a text of its own; notes its outcome. */
bool fleet_write(struct fleet *f, struct client *c, char code[32]);
/** Writes until one is acknowledged. */
void fleet_write_until(struct fleet *f, struct client *c);
/**
 * Reads all rows: acknowledged writes are there once, unknown ones once at
 * most, others not at all.
 */
void fleet_check(struct fleet *f, struct client *c);

#endif
