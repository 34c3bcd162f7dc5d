/**
 * @file rig.h
 * What the scripts of review/ have in common: a stand-in for the platform's
 * store that keeps each object as the JSON text it was given, three stand-in
 * members of the project (standin/line_members.h), instances of the deploy
 * file's command as separate processes, and clients. All addresses are
 * loopback addresses.
 */
#ifndef RIG_H
#define RIG_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#define RIG_INSTANCES 3
#define RIG_SERVICE "ledger-db"
#define RIG_ANSWER_BYTES 4096

/* Bounds of the settings page for an installation of 7 machines. */
#define RECOVERY_S 12
#define CONFIG_APPLY_MS 3000
#define MEMORY_MB 260

struct rig_instance {
	pid_t pid; /* 0 while it does not run */
	char ip[32];
	char settings[256];
	int starts;
};

/** Starts store, members and record; @a folder gets record.txt. */
void rig_start(const char *root, const char *folder);
/** Writes the entries of the three members. */
void rig_put_members(void);
/** Writes an object as the operator, a member or another writer. */
void rig_put(const char *kind, const char *name, const char *spec);
/** Starts instance @a index with the command of the deploy file. */
void rig_start_instance(int index);
void rig_kill_instance(int index, int signal);
struct rig_instance *rig_instance(int index);
/** Whether the process has ended; it is then reaped and pid is 0. */
bool rig_ended(int index);
/** Answer of an instance to the probe GET /readiness: 200, 503 or 0. */
int rig_ready(int index);
/** Waits until all instances are ready; false after @a seconds. */
bool rig_wait_ready(double seconds);
/** Ends all processes; returns @a code. */
int rig_end(int code);
/** Seconds since rig_start(), on the real clock. */
double rig_now(void);
void rig_sleep(double seconds);
/** Writes a line to record.txt, with the time. */
void rig_record(const char *format, ...)
	__attribute__((format(printf, 1, 2)));
/** Statements that the members have run so far. */
uint64_t rig_runs(void);

/** A client's session: one connection, one request at a time. */
struct rig_client {
	int fd;
	char buffer[RIG_ANSWER_BYTES];
	size_t held;
};

/** Opens a session; false when it was refused. The answer is in @a answer. */
bool rig_open(struct rig_client *c, int index, const char *database,
	      const char *key, char answer[RIG_ANSWER_BYTES]);
/**
 * Sends a query and reads its answer up to READY, for at most 2 s. True when
 * the answer is a success.
 */
bool rig_query(struct rig_client *c, const char *text,
	       char answer[RIG_ANSWER_BYTES]);
void rig_close(struct rig_client *c);
/** Connects to the sessions' address of an instance; -1 on failure. */
int rig_connect(int index);

#endif
