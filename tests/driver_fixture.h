/**
 * @file driver_fixture.h
 * The PostgreSQL driver against a set of three stand-in members over real
 * sockets. The driver runs on a loop of its own thread; its events come back
 * by a queue and are awaited by the test's thread.
 */
#ifndef DRIVER_RIG_H
#define DRIVER_RIG_H

#include <glib.h>

#include "../src/driver.h"
#include "../standin/member.h"

#define LIFE 0xaa
#define OTHER_LIFE 0xbb
#define CONTROL_LIMIT (200 * HM_MS)
#define CONNECT_LIMIT (200 * HM_MS)
#define PATIENCE (5 * HM_SEC)
#define SLOW_CONNECT (50 * HM_MS)

/** An event with the text of its body, NULL for none. */
struct seen {
	struct event event;
	char *body;
};

/** What belongs to the running test. */
struct rig {
	struct database_spec spec;
	struct members *members;
	struct loop *loop;
	struct bodies *bodies;
	struct driver_host host;
	struct driver_state *state;
	GThread *thread;
	GAsyncQueue *events;  /**< of struct seen */
	GAsyncQueue *returns; /**< of calls that were run on the loop */
	struct seen last;     /**< what was awaited last */
	struct call *reply;   /**< run on the loop at the next EV_DONE, once */
};

extern struct rig rig;

/** A call on the loop's thread. */
struct call {
	void (*run)(struct call *c);
	uint64_t conn;
	uint32_t member;
	struct statement statement;
	const char *json;
	struct control step;
};

/** Fixtures: table t (k, v) exists at position 1. */
void rig_setup(void);
/** Connections and statements cost time. */
void rig_setup_slow(void);
void rig_teardown(void);

/** Runs a call on the loop's thread and waits for its return. */
void rig_perform(struct call *c);
void rig_run_open(struct call *c);
void rig_run_shut(struct call *c);
void rig_run_execute(struct call *c);
void rig_run_cancel(struct call *c);
void rig_run_reset(struct call *c);
void rig_run_close(struct call *c);
void rig_on_conn(uint64_t conn, void (*run)(struct call *c));

/** The next event, whatever it is; NULL when none comes in time. */
const struct event *rig_next_event(hm_time wait);
/** The next event, which must be of this kind. */
const struct event *rig_await_event(enum event_kind kind);
/** Two events in either order. */
void rig_await_both(enum event_kind one, enum event_kind other);
void rig_no_event(hm_time wait);

void rig_start_connect(uint64_t conn, uint32_t member);
void rig_open_conn(uint64_t conn, uint32_t member);
void rig_start_op(uint64_t conn, enum op op, const char *json);
/** Runs a statement to its end. */
const struct event *rig_run_op(uint64_t conn, enum op op, const char *json);
void rig_expect(uint64_t conn, enum op op, const char *json,
		enum completion done);
/** The body of the last event holds @a part. */
void rig_expect_body(const char *part);

/** Returns the number of the step, echoed in its answer. */
uint64_t rig_start_control(uint32_t member, struct control step);
struct endpoint_state rig_control(uint32_t member, struct control step);
struct endpoint_state rig_probe(uint32_t member);
void rig_fault(uint32_t member, struct member_faults f);
/** Waits until the log of a member ends at this position. */
void rig_await_at(uint32_t member, uint64_t pos);

#endif
