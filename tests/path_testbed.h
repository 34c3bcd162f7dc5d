/**
 * @file path_testbed.h
 * Testbed for end-to-end tests: two proxy instances in this process, with
 * stand-ins for the members, the store and the promote call, and clients that
 * use the line protocol over loopback. There is one testbed at a time; tests
 * may use its fields directly.
 */
#ifndef PATH_TESTBED_H
#define PATH_TESTBED_H

#include <stdio.h>

#include "../src/proxy_instance.h"
#include "../standin/object_store.h"

#define PATH_INSTANCES 2
#define PATH_WAIT_US (10 * G_TIME_SPAN_SECOND)
#define PATH_POLL_US (20 * G_TIME_SPAN_MILLISECOND)
#define PATH_ANSWER_BYTES 1024
#define PATH_RESERVED_MAX 32

struct path_testbed {
	struct line_members *members;
	struct object_store *store;
	struct proxy_instance *instances[PATH_INSTANCES];
	GThread *threads[PATH_INSTANCES];
	GMutex lock; /* guards released */
	GCond changed;
	/** No other thread uses the instance any more. */
	bool released[PATH_INSTANCES];
	char peers[PATH_INSTANCES][ADDRESS_BYTES];
	char sessions[PATH_INSTANCES][ADDRESS_BYTES];
	bool leaving[LINE_MEMBERS];
	/** Members in zone "b"; all other members and instances are in "a". */
	bool in_zone_b[LINE_MEMBERS];
	/** Instances started from then on follow requests to evacuate zones. */
	bool evacuations;
	int version;
	/** Sockets that keep the addresses of the instances reserved. */
	int reserved[PATH_RESERVED_MAX];
	int reserved_count;
};

extern struct path_testbed path_testbed;

/** A session of a client. */
struct path_client {
	int fd;
	FILE *in;
	/** Last answer: each line and a '|', then "closed" at the end. */
	char answer[PATH_ANSWER_BYTES];
};

/** Chooses an unused address and keeps it reserved until the teardown. */
void path_reserve_address(char out[ADDRESS_BYTES]);
void path_setup(void);
void path_teardown(void);
void path_start_instance(int index);
/** Stops an instance at once and frees it. */
void path_end_instance(int index);
/** Waits for an instance that was told to stop, and frees it. */
void path_join_instance(int index);
/** Writes a member's entry in the store, with its current role and state. */
void path_publish_member(int index);
/**
 * Writes the next version of the configuration.
 * @param key the only API key that it accepts
 * @param more_routes further routes as JSON text, each after a comma
 */
void path_configure(const char *key, const char *more_routes);

/** Opens a session; returns the answer, up to its READY line. */
const char *path_open_session(struct path_client *c, int instance,
			      const char *database, const char *key);
/** Sends a line; returns the answer, up to its READY line. */
const char *path_request(struct path_client *c, const char *line);
/** Reads the next answer, up to its READY line. */
const char *path_read_answer(struct path_client *c);
void path_disconnect(struct path_client *c);
/** Repeats a statement, each time on a new session, until it succeeds. */
void path_until_served(int instance, const char *database, const char *line);
/**
 * Marks the primary as leaving and writes at an instance until another member
 * replaces it.
 * @return index of the old primary
 */
int path_replace_primary(int instance);
/** Opens new sessions until the answer to one begins with @a expected. */
void path_until_opened(int instance, const char *database, const char *key,
		       const char *expected);
/** Asserts that the primary holds @a expected under the key @a item. */
void path_assert_value(const char *item, const char *expected);

#endif
