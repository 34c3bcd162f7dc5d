/**
 * @file monitor_fixture.h
 * The keeper of a service by itself, against three members that answer as
 * told; m1 leads. Its text has holds, resumes, tokens and promotions.
 */
#ifndef MONITOR_FIXTURE_H
#define MONITOR_FIXTURE_H

#include "../core/monitor.h"
#include "proxy_text.h"

#define MONITOR_FIXTURE_MEMBERS 3

/** A member of the service; its connection is silent while dark. */
struct monitored_fake {
	struct site_member spec;
	bool refuses; /**< refuses connections */
	bool silent;  /**< answers nothing */
	bool writable;
	bool no_commit; /**< it leads, and has committed nothing in its term */
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
	GString *text; /* holds, resumes, tokens and promotions */
	hm_time now;
	bool token_silent;
	uint64_t token;
	enum promote_outcome outcome;
	bool promote_silent;
};

void monitor_fixture_open(struct monitor_fixture *r);
void monitor_fixture_close(struct monitor_fixture *r);
/** Registers the members as they are. */
void monitor_fixture_publish(struct monitor_fixture *r);
/** Ticks until @a span has passed. */
void monitor_fixture_run(struct monitor_fixture *r, hm_time span);
/** The promotion of a member is carried out. */
void monitor_fixture_promote(struct monitor_fixture *r, uint32_t index);
/** A member answers one command. */
void monitor_fixture_reply(struct monitor_fixture *r, struct monitored_fake *f,
			   const struct member_command *c);
/** The view sent last since the last call; empty when there was none. */
struct service_view monitor_fixture_view(struct monitor_fixture *r);

#endif
