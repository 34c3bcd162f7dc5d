/**
 * @file state.h
 * Inside of a core, shared by the modules that compose it: core.c (events),
 * ingress.c (requests of callers), holder.c (endpoints held here) and
 * databases.c (views of the groups). Not for drivers of a core.
 */
#ifndef STATE_H
#define STATE_H

#include "admit.h"
#include "budget.h"
#include "failover.h"
#include "home.h"
#include "rng.h"
#include "seq_clock.h"
#include "table.h"
#include "verify.h"

/** An endpoint as seen from this instance. */
struct member {
	struct endpoint_spec spec;
	uint64_t owner;	       /**< life that reported as its home, 0 unknown */
	hm_time reported_at;   /**< when a report of it came last */
	struct home *executor; /**< set while it is held here */
	bool reachable;	       /**< held here: it answered lately */
	bool rechecking;       /**< a probe over a new connection is out */
	bool draining;	       /**< held here, takes nothing new */
	bool handover_ordered; /**< its hand-over was ordered */
	hm_time misplaced_at;
	/**< another zone's instance should hold it */ /**< its hand-over was ordered */
	hm_time probe_at;	/**< next probe or take-over step */
	hm_time probe_sent_at;	/**< unanswered probe of ours, 0 for none */
	struct rid probe_nonce; /**< its nonce */
};

/** One database group. */
struct database {
	struct database_spec spec;
	struct group *group;
	struct verify *verify;
	struct failover *failover;
	uint32_t member_count;
	struct member members[ENDPOINTS_MAX];
	hm_id announced;	 /**< primary last announced */
	uint64_t announced_term; /**< its term */
};

/** A control question of ours and when it was asked. */
struct sent_control {
	uint64_t seq;
	hm_id endpoint;
	hm_time sent_at;
};

#define SENT_CONTROLS_MAX 1024

struct ingress;
struct holder;

struct core {
	struct core_options options;
	struct rng rng;
	struct contracts *contracts;
	struct peers *peers;
	struct rate *rate;
	struct admit *admit;
	struct budget *budget;
	struct seq_clock seq_clock;
	struct ingress *ingress;
	struct holder *owner;
	struct database *databases;
	uint32_t database_count;
	struct sent_control
		sent_controls[SENT_CONTROLS_MAX]; /**< by hash of both */
	uint64_t next_seq;			  /**< of messages */
	uint64_t next_nonce; /**< of questions asked by core itself */
	uint64_t next_conn;
	hm_time started_at;
	hm_time heartbeat_at;
	bool platform_ok;
	bool stopping;
	bool stopped;
	struct core_figures figures;
};

/** Database by identifier, NULL when unknown. */
struct database *database_find(struct core *c, hm_id database);
/** Member by identifier, NULL when unknown. */
struct member *database_member(struct database *d, hm_id endpoint);
/** Member of any database, and its database. */
struct member *databases_member(struct core *c, hm_id endpoint,
				struct database **database);
/** EV_DATABASE. */
void databases_apply(struct core *c, const struct database_spec *spec,
		     hm_time now, struct actions *actions);
/** MSG_STATE, from a peer or from this instance. */
void databases_report(struct core *c, const struct state_report *r,
		      uint64_t from, hm_time now, struct actions *actions);
void databases_tick(struct core *c, hm_time now, struct actions *actions);
void databases_free(struct core *c);
/** Remembers when a question to an endpoint was asked. */
void sent_control_record(struct core *c, const struct control *step,
			 hm_time now);
/** Life to which statements for a member are sent, 0 when none. */
uint64_t member_live_owner(const struct core *c, const struct member *m);

#endif
