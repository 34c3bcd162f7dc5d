/**
 * @file rig.h
 * A small deployment for the scripts of this review: entry instances as
 * processes of their own, with the commands of the deploy file, and stand-ins
 * for the store (the project's own), the members and the clients in this
 * process, all on loopback addresses. What is sent, answered and run is written
 * to a record.
 */
#ifndef RIG_H
#define RIG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define RIG_INSTANCES 3
#define RIG_MEMBERS 3
#define RIG_ANSWER_BYTES 2048

/** Exit codes of a script. */
enum { RIG_HELD = 0, RIG_BROKEN = 1, RIG_NOT_RUN = 2 };

/** A statement with a client's ID that a member ran. */
struct rig_run {
	char id[24];
	char member[24];
	char tenant[32];  /**< named by the connection that it ran on */
	uint64_t applied; /**< number of commits that the log had */
	char shape[64];	  /**< of an EXECUTE: what its name stands for there */
};

struct rig_service;

/** A client's session. */
struct rig_client {
	int fd;
	GString *input;
	char last_id[24];
	char answer[RIG_ANSWER_BYTES]; /**< lines, each ended by '|' */
	bool closed;
};

/** Milliseconds since the start of the rig. */
gint64 rig_now(void);
/** Sleeps until rig_now() is @a ms. */
void rig_sleep_until(gint64 ms);
void rig_record(const char *format, ...) G_GNUC_PRINTF(1, 2);

/** Opens the record and starts the store. */
void rig_begin(const char *record);
/**
 * Starts the members of a service and registers them. Member 0 is the primary;
 * member i is in zone i.
 */
struct rig_service *rig_service(const char *name);
/** How late a replica applies what it has received. */
void rig_service_lag(struct rig_service *s, int member, gint64 ms);
/** Number of commits of a service. */
uint64_t rig_service_commits(struct rig_service *s);
/** Writes config/main; returns when it was acknowledged. */
gint64 rig_config(const char *spec);
void rig_start_instances(void);
/** Ends all processes that were started, and frees the temporary folder. */
void rig_end(void);

/** Opens a session at an instance; false when it was refused. */
bool rig_open(struct rig_client *c, int instance, const char *database,
	      const char *key);
/**
 * Sends a statement with a new ID, and waits for its answer for 3 s at most.
 * @return whether the answer is a success
 */
bool rig_query(struct rig_client *c, const char *text);
void rig_close(struct rig_client *c);
/** Repeats a statement on new sessions until it succeeds; false after 15 s. */
bool rig_until_served(int instance, const char *database, const char *key,
		      const char *text);
/** What a member ran under an ID; false when none did. */
bool rig_find_run(const char *id, struct rig_run *out);

#endif
