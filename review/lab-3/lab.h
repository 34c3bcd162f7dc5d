/**
 * @file lab.h
 * Stand-ins and tools for the scripts of this review: members of one service
 * that speak the line protocol, instances as separate processes, clients, and a
 * record of what was sent, answered and run. All on loopback addresses.
 */
#ifndef LAB_H
#define LAB_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#include "../../standin/object_store.h"

#define LAB_INSTANCES_MAX 4
#define LAB_GRACE_S 6
#define LAB_MEMORY_MB 260

/* Exit codes of a script. */
enum { LAB_HELD = 0, LAB_BROKEN = 1, LAB_NOT_RUN = 2 };

/** Opens the record; @a trouble is false if TROUBLE=0. */
bool lab_open(const char *path);
/** Appends a line with the time since the start to the record. */
void lab_note(const char *format, ...) G_GNUC_PRINTF(1, 2);
/** Seconds since the start. */
double lab_time(void);
void lab_sleep(double seconds);
/** Ends all instances, closes the record and ends the program. */
void lab_end(int code) G_GNUC_NORETURN;

/** Instances. */
struct lab_instance {
	int index;
	char sessions[64], peers[64], health[64], settings[256];
	pid_t pid; /* 0: not running */
	int ends;  /* how often it was ended for its memory */
	double ready_at;
	long peak_kb;
};
extern struct lab_instance lab_instances[LAB_INSTANCES_MAX];
extern int lab_instance_count;
/** Zones of the instances and members, 0: as many as there are instances. */
extern int lab_zone_count;
/**
 * Machines that have been replaced: each has left the entry that an instance
 * writes to the store when it starts. Nothing answers at their addresses.
 */
extern int lab_former_machines;

/**
 * Starts the store, three members and @a count instances in as many zones, and
 * waits until each serves a read.
 */
void lab_start(int count);
void lab_start_instance(struct lab_instance *i);
/** Whether the instance's process still runs; reaps it if not. */
bool lab_is_running(struct lab_instance *i);
/** GET /readiness answered with 200. */
bool lab_is_ready(const struct lab_instance *i);
/** Resident memory of the process, in KiB; 0 if it has ended. */
long lab_memory_kb(const struct lab_instance *i);

/** Writes a version of the config; @a tenants is a JSON array. */
void lab_configure(int version, const char *tenants);

/** A session of a client. */
struct lab_client {
	int fd;
	char *buffer;
	size_t used, capacity;
};
/** Opens a session; false if it was not answered with READY within 2 s. */
bool lab_connect(struct lab_client *c, const struct lab_instance *i,
		 const char *database, int receive_buffer);
void lab_disconnect(struct lab_client *c);
bool lab_send(struct lab_client *c, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

/** What a client got to one request. */
struct lab_answer {
	uint64_t rows, row_bytes, bytes;
	bool complete; /* READY came */
	bool success;  /* COMPLETE with a receipt */
	char error[128];
	char end[64]; /* why there is no complete answer */
};
/**
 * Reads one answer until @a until, at most @a per_s bytes a second (0: as fast
 * as it comes).
 */
void lab_read_answer(struct lab_client *c, double until, double per_s,
		     struct lab_answer *out);

#endif
