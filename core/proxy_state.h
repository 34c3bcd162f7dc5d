/**
 * @file proxy_state.h
 * Internal state of a proxy, shared by the modules that it consists of:
 * proxy.c (events), proxy_message.c (messages between instances),
 * proxy_lifecycle.c (readiness and shutdown), sessions*.c (client sessions),
 * placement.c (choice of a member for a statement), member_list.c (members)
 * and services.c (configuration, connection pools and monitors).
 */
#ifndef PROXY_STATE_H
#define PROXY_STATE_H

#include "admit.h"
#include "budget.h"
#include "contracts.h"
#include "load_level.h"
#include "loop_delay.h"
#include "member_stats.h"
#include "monitor.h"
#include "own_commits.h"
#include "peers.h"
#include "pool.h"
#include "proxy.h"
#include "rate.h"
#include "refusals.h"
#include "return_order.h"
#include "rng.h"
#include "store_restore.h"
#include "token_reserve.h"
#include "view.h"

#define TRIED_MAX 4
/* Retry delay while there is no primary: half of the shortest failover. */
#define PRIMARY_RETRY (300 * HM_MS)

/** A prepared statement of a session. */
struct prepared {
	char *name;
	char *shape; /**< text of the statement, without its arguments */
	bool writes;
};

/** What the pending request of a session waits for. */
enum pending_phase {
	PENDING_NONE,
	PENDING_TOKEN, /**< a rate token of its account */
	PENDING_RESULT /**< the result from the owner of a member */
};

/** The request that a session is processing; a session has at most one. */
struct pending {
	enum pending_phase phase;
	enum statement_op op;
	struct rid id;
	char request[REQUEST_ID_BYTES];
	char *name;
	char *text;
	bool writes; /**< the statement may change data */
	/**
	 * Copy made when the request arrived, that of its transaction if it is
	 * in one; database 0: there was none.
	 */
	struct route_spec route;
	uint64_t owner;	  /**< instance (incarnation) that it was sent to */
	hm_id endpoint;	  /**< member that it was sent to */
	hm_time since;	  /**< when the request arrived */
	hm_time deadline; /**< without a result by then, it has failed */
	hm_time sent_at;  /**< when it was sent to that member */
	hm_time expected_wait;	/**< at that member; -1: not known */
	hm_id tried[TRIED_MAX]; /**< members that failed to serve it */
	uint32_t tried_count;
};

/** Transaction of a session. */
struct session_tx {
	enum session_state state;
	bool read_only;
	bool started;  /**< whether it is open at a member */
	bool wrote;    /**< one of its statements may have changed data */
	struct rid id; /**< ID of the statement that opened it */
	hm_id service;
	hm_id endpoint;
	uint64_t owner;
	struct route_spec route; /**< copy made when the transaction began */
};

/** A session of a client: one client connection. */
struct session {
	uint64_t number; /**< assigned by the listener */
	bool closing;
	hm_id database;
	bool has_key;
	struct key_id key;
	hm_id account;
	struct session_value *values;
	uint32_t value_count;
	struct prepared *prepared;
	uint32_t prepared_count;
	struct session_tx tx;
	struct pending pending;
	struct own_commits own_commits;
	struct refused_op last_refused;
	struct return_ticket told; /**< when to retry the last refused one */
};

/** Load of a member, as known at this instance. */
struct member_load {
	hm_id endpoint;
	uint32_t outstanding; /**< statements sent from here and not answered */
	hm_time owner_wait;   /**< expected wait, reported by the owner */
	hm_time reported_at;
	hm_time failed_until; /**< not used until then, since it failed */
	hm_time behind_until; /**< until then its log is assumed to lag */
	struct member_stats stats;
	struct load_state level;
	uint64_t owner; /**< when owners_tick() looked last */
	/** Longest target of the routes of each level to its service. */
	hm_time target[PRIORITY_LEVELS];
	uint64_t target_version; /**< configuration that @a target is from */
};

/** The newest document that a peer has in force. */
struct newer_document {
	struct store_version version;
	uint32_t entries; /**< routes and accounts of the configuration */
};

/** What is known about the age of the list of members in force. */
struct members_known {
	hm_time until;	   /**< it was surely the newest one until then */
	hm_time all_since; /**< since when all peers are heard; 0: not */
	hm_time read_at;   /**< a later read of the store, not yet certain */
	hm_time heard_at;  /**< when that read was heard of; 0: there is none */
};

/** Copies of a document that were sent to peers in one window. */
struct share_window {
	hm_time since;
	uint32_t copies;
};

/** Times that depend on how fast instances hear of each other. */
struct fleet_timing {
	hm_time peer_silent;   /**< a peer not heard for so long is dead */
	hm_time heard_within;  /**< one not heard for so long fell silent */
	hm_time owner_silent;  /**< an owner silent for so long gets no work */
	hm_time monitor_after; /**< no monitor starts sooner after the start */
	/** Wait before a promotion after the own zone was isolated. */
	hm_time reconnect_settle;
	hm_time poll_turn; /**< between the turns of instances that poll */
	hm_time poll_turn_max;
};

/** State of gossip.c. */
struct gossip {
	bool on;	 /**< digests instead of heartbeats to all */
	uint32_t listed; /**< other instances in the store's list */
	uint32_t rounds;
	hm_time round_at; /**< time of the next round */
	/** Counts the changes of this instance's state, see proxy.c. */
	uint32_t state_version;
	uint32_t state_bits; /**< that state when the version last changed */
};

struct proxy {
	const struct fleet_timing *timing;
	struct gossip gossip;
	struct proxy_options options;
	struct rng rng;
	struct peers *peers;
	struct rate *rate;
	struct token_reserve *reserve; /**< NULL: reserves are off */
	struct admit *admit;
	struct scarcity *scarcity;
	struct return_order *service_returns; /**< refused, by service */
	struct return_order *account_returns; /**< without token, by account */
	struct budget *budget;
	struct contracts *contracts;
	struct site_config *config;
	hm_time config_at; /**< when it came into force */
	struct site_members *members;
	uint64_t store_era; /**< newest known era of the store, 0: none yet */
	struct store_restore
		restore; /**< filters old entries after a restore */
	struct evacuation evacuation;
	/** Since when peers have newer versions of the document; 0: not. */
	hm_time behind_since[DOCUMENT_KIND_COUNT];
	/** Earliest next request for that version. */
	hm_time next_request_at[DOCUMENT_KIND_COUNT];
	struct share_window shared[DOCUMENT_KIND_COUNT];
	struct newer_document newer[DOCUMENT_KIND_COUNT];
	/** No read from the store before. */
	hm_time read_after[DOCUMENT_KIND_COUNT];
	struct session **sessions;
	uint32_t session_count;
	uint32_t session_capacity;
	struct table by_client;	 /**< index in @a sessions by number */
	struct table by_request; /**< index in @a sessions by pending.id.seq */
	struct service_state **views;
	struct monitor **monitors; /**< same index as @a views */
	uint32_t service_count;
	struct pool **pools;
	uint32_t pool_count;
	struct member_load *loads;
	uint32_t load_count;
	struct message *inbox; /**< messages from this instance to itself */
	uint32_t inbox_count;
	uint32_t inbox_capacity;
	uint64_t next_seq;
	uint64_t next_request;
	uint64_t next_conn;
	hm_time started_at;
	hm_time settled_at; /**< from then on the member list is complete */
	hm_time members_current_at; /**< members_current_at() at the last tick */
	struct members_known members_known;
	hm_time heartbeat_at;
	hm_time stop_since;	   /**< start of the shutdown, or HM_NEVER */
	hm_time partitioned_since; /**< 0: not partitioned */
	bool store_ok;
	hm_time store_read_at; /**< last read of the revision by any instance */
	uint64_t store_reads;  /**< number of that read */
	bool ready;
	bool was_ready; /**< has been ready since the start */
	bool stopped;
	struct table logged_peers; /**< enum logged_peer by incarnation */
	struct zone_reach logged_reach;
	uint64_t peers_generation; /**< generation that check_peers() handled */
	struct loop_delay loop_delay;
	/** Generation and member list that owners_tick() handled. */
	uint64_t owners_generation;
	struct store_version owners_members;
	struct proxy_counters counters;
};

/** Queues a message to incarnation @a to, maybe this one; 0: to all peers. */
struct message *proxy_send(struct proxy *p, uint64_t to, enum message_kind kind,
			   struct proxy_output *out);
/** Adds the counts of a pool's connections. */
void proxy_count_conns(struct proxy_counters *to, const struct conn_counts *n);
/** Sends a heartbeat with the state of this instance to all peers. */
void proxy_heartbeat(struct proxy *p, hm_time now, struct proxy_output *out);

/** Fills in what this instance says of itself. */
void proxy_fill_heartbeat(struct proxy *p, struct heartbeat *h, hm_time now);

/* gossip.c */

const struct fleet_timing *gossip_small_fleet(void);
/** Takes the number of instances in the store's list, with this one. */
void gossip_listed(struct proxy *p, uint32_t count, struct proxy_output *out);
/** Sends the next round soon, since something has changed here. */
void gossip_changed(struct proxy *p, hm_time now);
void gossip_tick(struct proxy *p, hm_time now, struct proxy_output *out);
/** Interval of the heartbeats to all, or to the peers in direct contact. */
hm_time gossip_heartbeat_every(const struct proxy *p);
/**
 * Takes the news of a digest.
 * @param first its sender was not known, or regarded as dead
 */
void gossip_take(struct proxy *p, const struct message *m, bool first,
		 hm_time now, struct proxy_output *out);
/** Answers a request for full news. */
void gossip_answer(struct proxy *p, const struct message *m, hm_time now,
		   struct proxy_output *out);

/* owners.c */

/** Updates whether this instance is busy, and logs changes of owners. */
void owners_tick(struct proxy *p, hm_time now, struct proxy_output *out);

/* store_readers.c */

/**
 * Records that this instance or a peer read the store's revision.
 * @param number of the read, one more than the newest that its reader knew
 */
void proxy_store_read(struct proxy *p, uint64_t number, hm_time read_at);

/** Time of the last read of the store's revision that is known here. */
hm_time proxy_last_read(const struct proxy *p);
/**
 * Time up to which the member list in force is known to be current: that of the
 * last read of the store by any instance. While all instances are heard and
 * none of them reads it, nobody can act by a newer list.
 */
hm_time members_current_at(const struct proxy *p, hm_time now);
/** Time of the last read that found the member list in force. */
hm_time members_read_at(const struct proxy *p);
/** Updates the time until which the list in force was surely the newest. */
void members_note_current(struct proxy *p, hm_time now);
/** Number of routes and accounts, by which the size is estimated. */
uint32_t config_entries(const struct site_config *c);
/** Whether the configuration, or a newer one, is too large for peers. */
bool config_is_large(const struct proxy *p);
/** Version of the document in force; zero for none. */
struct store_version document_version(const struct proxy *p,
				      enum document_kind kind);
/** Records that a peer has a document in force. */
void document_announced(struct proxy *p, enum document_kind kind,
			struct store_version version, uint32_t entries,
			hm_time now);

/* proxy_lifecycle.c */

bool proxy_stopping(const struct proxy *p);
void lifecycle_begin_stop(struct proxy *p, hm_time now,
			  struct proxy_output *out);
/** Updates the readiness and finishes a shutdown. */
void lifecycle_check(struct proxy *p, hm_time now, struct proxy_output *out);

/* placement.c */

/** What a statement requires of the member that runs it. */
struct member_requirements {
	hm_id service;
	bool primary_only; /**< only the primary may run it */
	bool writes;	   /**< it may change data */
	uint32_t level;	   /**< urgency; a level may be closed at a member */
	zone_set barred;   /**< zones of members and owners that are excluded */
	/** Age of the session's own commit that it must see, 0: none. */
	hm_time commit_age;
	const hm_id *tried;
	uint32_t tried_count;
};

struct placement {
	hm_id endpoint; /**< 0: no member can take it now */
	uint64_t owner;
	bool is_primary;
	const char *reason; /**< static text for the log line */
	hm_time retry_at;   /**< when to retry if no member can take it */
};

struct placement place_choose(struct proxy *p,
			      const struct member_requirements *need,
			      hm_time now);
/** Whether the replicas are paused, so that no commit can be acknowledged. */
bool place_replicas_paused(const struct proxy *p, hm_id service, hm_time now);
struct member_load *place_load(struct proxy *p, hm_id endpoint);
/**
 * Records what an attempt at a member showed, and ejects the member if it fails
 * much more than the others of its service.
 */
void place_record(struct proxy *p, hm_id endpoint,
		  const struct member_attempt *a, hm_time now,
		  struct proxy_output *out);
/** Incarnation of the instance that owns a member, 0 for none. */
uint64_t member_owner(const struct proxy *p, const struct site_member *m);

/* confirm.c */

/** Changes a success to ERR_OUTCOME_UNKNOWN if a promotion may undo it. */
void confirm_commit(const struct proxy *p, hm_id service, struct run_result *r,
		    hm_time now, struct proxy_output *out);

/* partition.c */

/** Result of partition_count_peers(): numbers of peers heard recently. */
struct heard_peers {
	uint32_t recent; /**< heard within the last few seconds */
	uint32_t now;	 /**< of these, heard within the heartbeat limit */
};

/**
 * Counts the peers that were heard recently. With @a other_zones, and more than
 * one zone configured, peers in this instance's zone are left out.
 */
struct heard_peers partition_count_peers(const struct proxy *p,
					 bool other_zones, hm_time now);
/** Whether all recently heard peers of other zones have fallen silent. */
bool proxy_zone_isolated(const struct proxy *p, hm_time now);
/** Sets or clears @a partitioned_since; a partitioned instance is not ready. */
void partition_check(struct proxy *p, hm_time now, struct proxy_output *out);

/* proxy_message.c */
void proxy_handle_message(struct proxy *p, const struct message *m, hm_time now,
			  struct proxy_output *out);
/** Delivers messages between the modules until none is left. */
void proxy_flush(struct proxy *p, hm_time now, struct proxy_output *out);

/* sessions.c, and sessions_request.c for client requests */

/** Looks up the account of a session's key. */
enum error session_check_key(struct proxy *p, struct session *s,
			     const struct route_spec *route);
struct session *session_find(const struct proxy *p, uint64_t number);
void session_opened(struct proxy *p, const struct proxy_event *e, hm_time now,
		    struct proxy_output *out);
void session_request(struct proxy *p, const struct proxy_event *e, hm_time now,
		     struct proxy_output *out);
void session_closed(struct proxy *p, uint64_t number, hm_time now,
		    struct proxy_output *out);
/** Ends idle sessions whose key or route no longer exists. */
void sessions_check_access(struct proxy *p, hm_time now,
			   struct proxy_output *out);
/** Runs queued requests whose account now has a token. */
void sessions_run_admitted(struct proxy *p, hm_time now,
			   struct proxy_output *out);
/** Refuses the queued requests of an account that has run out of tokens. */
void sessions_refuse_over_rate(struct proxy *p, hm_id account, hm_time now,
			       struct proxy_output *out);
void sessions_tick(struct proxy *p, hm_time now, struct proxy_output *out);
void sessions_free(struct proxy *p);
/** Answers the pending request of a session and clears it. */
void session_answer(struct proxy *p, struct session *s, enum error error,
		    const struct run_result *result, hm_time retry_at,
		    hm_time now, struct proxy_output *out);
void session_end(struct proxy *p, struct session *s, enum error error,
		 hm_time now, struct proxy_output *out);

/* sessions_run.c */

/**
 * Route of the session: that of its pending request, or of its transaction, or
 * the one in force. NULL: there is none.
 */
const struct route_spec *session_route(const struct proxy *p,
				       const struct session *s);
/** Sends the pending statement of a session to the owner of a member. */
void session_run(struct proxy *p, struct session *s, hm_time now,
		 struct proxy_output *out);
/**
 * Refuses a new operation at once, before it takes a rate token, if no member
 * can run it now; true if so.
 */
bool session_refuse_unplaceable(struct proxy *p, struct session *s, hm_time now,
				struct proxy_output *out);

/* sessions_load.c */

/** Takes the load that a result for the session's statement states. */
void session_take_load(struct proxy *p, const struct session *s,
		       const struct run_result *r, hm_time now,
		       struct proxy_output *out);
/**
 * Refuses a new operation at once if its level is closed at @a place, the best
 * member that can run it; true if so.
 */
bool session_refuse_by_load(struct proxy *p, struct session *s,
			    const struct placement *place, hm_time now,
			    struct proxy_output *out);
/**
 * Records how an operation ended, for the order in which refused ones return.
 * @param retry_at time at which a retry may succeed, 0 if not known
 * @return the time to tell the client, 0 for none
 */
hm_time session_order_return(struct proxy *p, struct session *s,
			     enum error error, bool ran, hm_time retry_at,
			     hm_time now);

/* sessions_run.c */

/** Handles MSG_RUN_RESULT, the result of a pending statement. */
void session_result(struct proxy *p, const struct run_result *r, hm_time now,
		    struct proxy_output *out);
/**
 * Handles the loss of a pending statement's result: the owner of the member is
 * gone (@a owner_gone true), or the result is overdue (false).
 */
void session_result_lost(struct proxy *p, struct session *s, bool owner_gone,
			 hm_time now, struct proxy_output *out);
/** Sends the owner a request to roll back the transaction of a session. */
void session_release(struct proxy *p, struct session *s,
		     struct proxy_output *out);

/* services.c */
void services_apply_config(struct proxy *p, struct site_config *c, hm_time now,
			   struct proxy_output *out);
/** Passes the changed member list to the monitors and pools. */
void services_members_changed(struct proxy *p, hm_time now,
			      struct proxy_output *out);
/** Passes the result of a call for a service to its monitor. */
void services_duty_done(struct proxy *p, const struct proxy_event *e,
			hm_time now, struct proxy_output *out);
struct service_state *services_view(const struct proxy *p, hm_id service);
struct monitor *services_monitor(const struct proxy *p, hm_id service);
struct pool *services_pool(struct proxy *p, hm_id endpoint, hm_time now,
			   struct proxy_output *out);
void services_tick(struct proxy *p, hm_time now, struct proxy_output *out);
void services_free(struct proxy *p);

/* member_list.c */

/** Puts a member list in force, unless a newer one is in force already. */
void member_list_apply(struct proxy *p, struct site_members *m, hm_time now,
		       struct proxy_output *out);
/** Records the store's era; @a source is static text for the log. */
void member_list_set_era(struct proxy *p, uint64_t era, const char *source,
			 hm_time now, struct proxy_output *out);
void member_list_tick(struct proxy *p, hm_time now, struct proxy_output *out);
/**
 * Takes the requests that were just read from the store. New ones were made
 * after the last read by any instance.
 */
void member_list_evacuate_read(struct proxy *p,
			       const struct evacuation_report *r, hm_time now,
			       struct proxy_output *out);
/** Takes what the store or a peer says about evacuated zones. */
void member_list_evacuate(struct proxy *p, const struct evacuation_report *r,
			  const char *source, hm_time now,
			  struct proxy_output *out);

#endif
