/**
 * @file driver_fixture.h
 * Test fixture: the PostgreSQL driver with a group of three stand-in members
 * over real sockets. The driver runs on an event loop in a thread of its own.
 * It passes events through a queue to the thread of the test.
 */
#ifndef DRIVER_FIXTURE_H
#define DRIVER_FIXTURE_H

#include <glib.h>

#include "../src/driver.h"
#include "../standin/member.h"

#define INCARNATION 0xaa
#define OTHER_INCARNATION 0xbb
#define CONTROL_LIMIT (200 * HM_MS)
#define CONNECT_LIMIT (200 * HM_MS)
#define EVENT_TIMEOUT (5 * HM_SEC)
#define SLOW_CONNECT (50 * HM_MS)

/** An event of the driver and the text of its body, NULL if it has none. */
struct received_event {
	struct event event;
	char *body;
};

/** State of the running test. */
struct driver_fixture {
	struct database_spec spec;
	struct members *members;
	struct loop *loop;
	struct bodies *bodies;
	struct driver_host host;
	struct driver_state *state;
	GThread *thread;
	GAsyncQueue *events;	    /**< struct received_event */
	GAsyncQueue *returns;	    /**< struct driver_call that returned */
	struct received_event last; /**< the event received last */
	struct driver_call *reply;  /**< run once, at the next EV_DONE */
};

extern struct driver_fixture fixture;

/** A call of a driver function, run on the loop's thread. */
struct driver_call {
	void (*run)(struct driver_call *c);
	uint64_t conn;
	uint32_t member;
	struct statement statement;
	const char *json;
	struct control step;
};

/** Creates table t (k, v); its creation is log position 1. */
void fixture_setup(void);
/** Like fixture_setup(), with slow connects and slow statements. */
void fixture_setup_slow(void);
void fixture_teardown(void);

/** Runs a call on the loop's thread and waits until it returns. */
void fixture_run_call(struct driver_call *c);
void fixture_run_open(struct driver_call *c);
void fixture_run_shutdown(struct driver_call *c);
void fixture_run_execute(struct driver_call *c);
void fixture_run_cancel(struct driver_call *c);
void fixture_run_reset(struct driver_call *c);
void fixture_run_close(struct driver_call *c);
void fixture_on_conn(uint64_t conn, void (*run)(struct driver_call *c));

/** The next event of any kind; NULL if none arrives within @a wait. */
const struct event *fixture_next_event(hm_time wait);
/** The next event, which must be of kind @a kind. */
const struct event *fixture_await_event(enum event_kind kind);
/** Awaits two events in either order. */
void fixture_await_both(enum event_kind one, enum event_kind other);
void fixture_no_event(hm_time wait);

void fixture_start_connect(uint64_t conn, uint32_t member);
void fixture_open_conn(uint64_t conn, uint32_t member);
void fixture_start_op(uint64_t conn, enum op op, const char *json);
/** Runs an operation and awaits its EV_DONE. */
const struct event *fixture_run_op(uint64_t conn, enum op op, const char *json);
void fixture_expect(uint64_t conn, enum op op, const char *json,
		    enum completion done);
/** Checks that the body of the last event contains @a part. */
void fixture_expect_body(const char *part);

/** Sends a command; returns its sequence number, echoed in the reply. */
uint64_t fixture_start_control(uint32_t member, struct control step);
struct endpoint_state fixture_control(uint32_t member, struct control step);
struct endpoint_state fixture_probe(uint32_t member);
void fixture_fault(uint32_t member, struct member_faults f);
/** Waits until the log of a member ends at position @a pos. */
void fixture_await_pos(uint32_t member, uint64_t pos);

#endif
