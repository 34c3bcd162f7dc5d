/**
 * @file pool_rig.h
 * One pool by itself: statements are submitted, the member answers as told,
 * and what the pool does is text.
 */
#ifndef POOL_RIG_H
#define POOL_RIG_H

#include "../core/pool.h"
#include "proxy_text.h"

#define POOL_RIG_LIFE 77
#define POOL_RIG_NOW (100 * HM_SEC)

struct pool_rig {
	struct proxy_options options;
	struct service_state view;
	struct site_member member;
	uint64_t next_conn;
	struct pool *pool;
	struct proxy_output out;
	GString *text;
	hm_time now;
};

void pool_rig_open(struct pool_rig *r, uint32_t slots, uint32_t connections);
void pool_rig_close(struct pool_rig *r);
struct run_request pool_rig_order(uint64_t id, enum statement_op op,
				  enum run_scope scope);
void pool_rig_submit(struct pool_rig *r, const struct run_request *o);
/** The member took a connection, answers a step on it, or closed it. */
void pool_rig_ready(struct pool_rig *r, uint64_t conn);
void pool_rig_reply(struct pool_rig *r, uint64_t conn, enum error error,
		    enum session_state state);
void pool_rig_closed(struct pool_rig *r, uint64_t conn, enum error error);
void pool_rig_tick(struct pool_rig *r, hm_time later);
/** Appends the results that are ready to the text. */
void pool_rig_results(struct pool_rig *r);
/** Connection 1 is there, idle, for the first account. */
void pool_rig_warm(struct pool_rig *r);

#endif
