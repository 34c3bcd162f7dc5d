/**
 * @file path_testbed.h
 * Two instances of a proxy in this process, with stand-ins for the members,
 * the store and the promote call, and callers that speak the line protocol
 * over loopback. One bed at a time; its parts are there for the tests to use.
 */
#ifndef PATH_BED_H
#define PATH_BED_H

#include <stdio.h>

#include "../src/proxy_instance.h"
#include "../standin/object_store.h"

#define PATH_INSTANCES 2
#define PATH_WAIT_US (10 * G_TIME_SPAN_SECOND)
#define PATH_POLL_US (20 * G_TIME_SPAN_MILLISECOND)
#define PATH_ANSWER_BYTES 1024

struct path_testbed {
	struct line_members *members;
	struct object_store *store;
	struct proxy_instance *instances[PATH_INSTANCES];
	GThread *threads[PATH_INSTANCES];
	char peers[PATH_INSTANCES][ADDRESS_BYTES];
	char sessions[PATH_INSTANCES][ADDRESS_BYTES];
	bool leaving[LINE_MEMBERS];
	int version;
};

extern struct path_testbed path_testbed;

/** A caller's session. */
struct path_client {
	int fd;
	FILE *in;
	char answer
		[PATH_ANSWER_BYTES]; /**< lines of the last one, joined by '|' */
};

void path_setup(void);
void path_teardown(void);
void path_start_instance(int index);
/** Ends an instance at once. */
void path_end_instance(int index);
/** Writes a member's entry as the member is. */
void path_publish_member(int index);
/** The next version, with one key and, as JSON text, more routes. */
void path_configure(const char *key, const char *more_routes);

/** Opens a session, and says a line; the answer is up to its READY. */
const char *path_open_session(struct path_client *c, int instance,
			      const char *database, const char *key);
const char *path_request(struct path_client *c, const char *line);
const char *path_read_answer(struct path_client *c);
void path_disconnect(struct path_client *c);
/** One statement on a session of its own, again until it is served. */
void path_until_served(int instance, const char *database, const char *line);
/** Asks on a session of its own until the answer begins so. */
void path_until_opened(int instance, const char *database, const char *key,
		       const char *expected);
void path_assert_value(const char *item, const char *expected);

#endif
