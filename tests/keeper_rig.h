/**
 * @file keeper_rig.h
 * The keeper of a service by itself, against three members that answer as
 * told; m1 leads. Its text has holds, resumes, tokens and promotions.
 */
#ifndef KEEPER_RIG_H
#define KEEPER_RIG_H

#include "../core/keeper.h"
#include "proxy_text.h"

#define KEEPER_RIG_MEMBERS 3

/** A member of the service; its connection is silent while dark. */
struct kept_fake {
	struct site_member spec;
	bool dead; /**< refuses connections */
	bool dark; /**< answers nothing */
	bool leads;
	bool fresh; /**< it leads, and has committed nothing in its term */
	uint64_t term;
	uint64_t pos;
	uint64_t held;
	uint64_t conn;
};

struct keeper_rig {
	struct proxy_options options;
	uint64_t next_conn;
	hm_time settled_at;
	struct keeper *keeper;
	struct kept_fake fakes[KEEPER_RIG_MEMBERS];
	uint32_t count;
	struct proxy_output out;
	GString *text; /* holds, resumes, tokens and promotions */
	hm_time now;
	bool token_silent;
	uint64_t token;
	enum promote_outcome outcome;
	bool promote_silent;
};

void keeper_rig_open(struct keeper_rig *r);
void keeper_rig_close(struct keeper_rig *r);
/** Registers the members as they are. */
void keeper_rig_publish(struct keeper_rig *r);
/** Ticks until @a span has passed. */
void keeper_rig_run(struct keeper_rig *r, hm_time span);
/** The promotion of a member is carried out. */
void keeper_rig_lead(struct keeper_rig *r, uint32_t index);
/** A member answers one command. */
void keeper_rig_answer(struct keeper_rig *r, struct kept_fake *f,
		       const struct member_command *c);
/** The view sent last since the last call; empty when there was none. */
struct service_view keeper_rig_view(struct keeper_rig *r);

#endif
