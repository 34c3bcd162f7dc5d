/**
 * @file state.h
 * Internals of a core, shared by its modules: core.c (events), ingress.c
 * (client requests), owner.c (endpoints owned by this instance) and
 * databases.c (state of the database groups). Drivers don't include this.
 */
#ifndef STATE_H
#define STATE_H

#include "admit.h"
#include "budget.h"
#include "executor.h"
#include "failover.h"
#include "rng.h"
#include "seq_clock.h"
#include "table.h"
#include "verify.h"

/** An endpoint as this instance sees it. */
struct member {
	struct endpoint_spec spec;
	uint64_t owner;	     /**< incarnation known as its owner, 0: unknown */
	hm_time reported_at; /**< arrival of the latest state report */
	struct executor
		*executor; /**< set while this instance owns the endpoint */
	bool reachable;	   /**< owned here: the latest probe was answered */
	bool rechecking;   /**< a probe over a new connection is unanswered */
	bool draining;	   /**< owned here, accepts no new statements */
	bool handover_requested; /**< handover to another owner was requested */
	hm_time misplaced_at;	 /**< since when an instance of the endpoint's
				 zone could own it instead, 0: none */
	hm_time probe_at; /**< time of the next probe or ownership request */
	/** When the unanswered probe was sent, 0: none. */
	hm_time probe_sent_at;
	struct rid probe_nonce; /**< command ID of that probe */
};

/** A database group as this instance sees it. */
struct database {
	struct database_spec spec; /**< as configured */
	struct group *group;
	struct verify *verify;
	struct failover *failover;
	uint32_t member_count;
	struct member members[ENDPOINTS_MAX];
	hm_id announced; /**< primary that was last logged or published */
	uint64_t announced_term; /**< term of that primary */
};

/** A control command that this instance sent, and when it was sent. */
struct sent_control {
	uint64_t seq;
	hm_id endpoint;
	hm_time sent_at;
};

#define SENT_CONTROLS_MAX 1024

struct ingress;
struct owner;

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
	struct owner *owner;
	struct database *databases;
	uint32_t database_count;
	struct evacuation evacuation;
	/** Indexed by a hash of command number and endpoint. */
	struct sent_control sent_controls[SENT_CONTROLS_MAX];
	uint64_t next_seq;   /**< number of the last message sent */
	uint64_t next_nonce; /**< number of owner.c's last control command */
	uint64_t next_conn;
	hm_time started_at;
	hm_time heartbeat_at;
	bool platform_ok;
	bool stopping;
	bool stopped;
	struct core_counters counters;
};

/** Returns a database, NULL when unknown. */
struct database *database_find(struct core *c, hm_id database);
/** Returns a member of @a d, NULL when unknown. */
struct member *database_member(struct database *d, hm_id endpoint);
/** Finds a member of any database and sets *database unless NULL. */
struct member *databases_member(struct core *c, hm_id endpoint,
				struct database **database);
/** Handles EV_DATABASE. */
void databases_apply(struct core *c, const struct database_spec *spec,
		     hm_time now, struct actions *actions);
/** Takes what the platform or a peer says about evacuated zones. */
void databases_evacuate(struct core *c, const struct evacuation_report *r,
			hm_time now, struct actions *actions);
/** Handles MSG_STATE of a peer or of this instance. */
void databases_report(struct core *c, const struct state_report *r,
		      uint64_t from, hm_time now, struct actions *actions);
void databases_tick(struct core *c, hm_time now, struct actions *actions);
void databases_free(struct core *c);
/** Records when a control command was sent. */
void sent_control_record(struct core *c, const struct control *command,
			 hm_time now);
/** Returns the live incarnation that owns @a m, 0 for none. */
uint64_t member_live_owner(const struct core *c, const struct member *m);

#endif
