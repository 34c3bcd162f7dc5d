/**
 * @file monitor_fixture.h
 * Fixture: the monitor of a service with three simulated members, m1 being the
 * primary. Records the commands that change a member as text.
 */
#ifndef MONITOR_FIXTURE_H
#define MONITOR_FIXTURE_H

#include "../core/monitor.h"
#include "proxy_text.h"

#define MONITOR_FIXTURE_MEMBERS 3

/** A simulated member of the service. */
struct monitored_fake {
	struct site_member spec;
	bool refuses; /**< refuses connections */
	bool silent;  /**< its connections stay silent */
	bool writable;
	bool no_commit; /**< primary that has no commit in its term yet */
	uint64_t term;
	uint64_t pos;
	uint64_t paused_term;
	uint64_t conn;
};

struct monitor_fixture {
	struct proxy_options options;
	uint64_t next_conn;
	hm_time settled_at;
	struct monitor *monitor;
	struct monitored_fake fakes[MONITOR_FIXTURE_MEMBERS];
	uint32_t count;
	struct proxy_output out;
	GString *text; /* pause, resume, step_down and promote commands */
	GString *log;  /* log lines */
	hm_time now;
	bool token_silent; /* requests for a token get no answer */
	uint64_t token;
	uint64_t store_era;
	hm_time members_current_at;
	struct voter_record record; /* in the store: at first all members */
	uint32_t record_calls;	    /* that read or write it */
	bool record_silent;	    /* these get no answer */
	bool members_outdated;	    /* the list may be */
	enum promote_outcome outcome;
	bool promote_silent; /* promote calls get no answer */
};

void monitor_fixture_open(struct monitor_fixture *r);
void monitor_fixture_close(struct monitor_fixture *r);
/** Passes the monitor a list with the registered members. */
void monitor_fixture_publish(struct monitor_fixture *r);
/** Lets another process monitor the service, which knows nothing yet. */
void monitor_fixture_restart(struct monitor_fixture *r);
/** Whether a member, in its present life, is a recorded voter. */
bool monitor_fixture_is_voter(const struct monitor_fixture *r, uint32_t index);
/** Runs the monitor until @a span has passed. */
void monitor_fixture_run(struct monitor_fixture *r, hm_time span);
/** Lets a member refuse connections from now on, and close the open one. */
void monitor_fixture_crash(struct monitor_fixture *r, uint32_t index);
/** Makes a member the primary of term 2. */
void monitor_fixture_promote(struct monitor_fixture *r, uint32_t index);
/** Lets a member start again at its address under another name. */
void monitor_fixture_rename(struct monitor_fixture *r, uint32_t index,
			    const char *name);
/** Lets a member reply to one command. */
void monitor_fixture_reply(struct monitor_fixture *r, struct monitored_fake *f,
			   const struct member_command *c);
/**
 * The last view (the monitor's state of the service, as sent to the proxies)
 * since the previous call; empty if there was none.
 */
struct service_view monitor_fixture_view(struct monitor_fixture *r);

#endif
