/**
 * @file proxy_state.h
 * Inside of a proxy, shared by the modules that compose it: proxy.c (events),
 * proxy_message.c (messages), proxy_life.c (start and stop), sessions*.c
 * (callers), place.c (choice of a member), roster.c (members) and services.c
 * (configuration, homes and keepers).
 */
#ifndef PROXY_STATE_H
#define PROXY_STATE_H

#include "admit.h"
#include "budget.h"
#include "contracts.h"
#include "keeper.h"
#include "peers.h"
#include "pool.h"
#include "proxy.h"
#include "rate.h"
#include "recall.h"
#include "returning.h"
#include "rng.h"
#include "view.h"

#define TRIED_MAX 4
/* Come back when no commit is answered: half of the shortest change. */
#define PRIMARY_RETRY (300 * HM_MS)

/** A statement that a session prepared. */
struct prepared {
	char *name;
	char *shape;
	bool writes;
};

/** What a session waits for. */
enum pending_phase {
	PENDING_NONE,
	PENDING_TOKEN, /**< a token of its account's rate */
	PENDING_RESULT /**< the home of a member */
};

/** The one request of a session that is being served. */
struct pending {
	enum pending_phase phase;
	enum statement_op op;
	struct rid id;
	char request[REQUEST_ID_BYTES];
	char *name;
	char *text;
	bool writes;	  /**< the statement may change data */
	uint64_t home;	  /**< life that it was sent to */
	hm_id endpoint;	  /**< member that it was sent to */
	hm_time since;	  /**< arrival */
	hm_time deadline; /**< no result by then: given up */
	hm_id tried[TRIED_MAX];
	uint32_t tried_count;
};

/** Transaction of a session. */
struct session_tx {
	enum session_state state;
	bool read_only;
	bool started;  /**< a member holds it */
	bool wrote;    /**< a statement of it may have changed data */
	struct rid id; /**< of the statement that opened it */
	hm_id service;
	hm_id endpoint;
	uint64_t home;
	struct route_spec route; /**< as it was when the transaction began */
};

/** A caller's session: one connection. */
struct session {
	uint64_t number; /**< of the front */
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
	hm_id floor_service;  /**< service of the floor */
	struct log_pos floor; /**< its own newest commit */
	hm_time floor_at;     /**< when that was acknowledged */
	struct refused_op refused;
};

/** What this instance knows of the load of a member. */
struct load {
	hm_id endpoint;
	uint32_t outstanding; /**< statements sent from here */
	hm_time wait;	      /**< told by its home */
	hm_time told_at;
	hm_time failed_until; /**< avoided after a failure */
	hm_time behind_until; /**< its log lacked a position */
};

struct proxy {
	struct proxy_options options;
	struct rng rng;
	struct peers *peers;
	struct rate *rate;
	struct admit *admit;
	struct scarcity *scarcity;
	struct budget *budget;
	struct contracts *contracts;
	struct site_config *config;
	struct site_members *members;
	uint64_t store_era;   /**< newest one heard of, 0: none yet */
	struct recall recall; /**< of members, when the store comes back */
	hm_time behind_since
		[DOCUMENT_KIND_COUNT];		/**< a peer has a newer one */
	hm_time want_next[DOCUMENT_KIND_COUNT]; /**< asked for again then */
	struct session **sessions;
	uint32_t session_count;
	uint32_t session_room;
	struct table by_client;	 /**< index of a session by its number */
	struct table by_request; /**< index of a session by pending.id.seq */
	struct service_state **views;
	struct keeper **keepers; /**< one per view */
	uint32_t service_count;
	struct pool **pools;
	uint32_t pool_count;
	struct load *loads;
	uint32_t load_count;
	struct message *inbox; /**< messages of this instance to itself */
	uint32_t inbox_count;
	uint32_t inbox_room;
	uint64_t next_seq;
	uint64_t next_request;
	uint64_t next_conn;
	hm_time started_at;
	hm_time settled_at; /**< entries that an outage removed are back */
	hm_time heartbeat_at;
	hm_time stop_since;	   /**< HM_NEVER until the shutdown began */
	hm_time partitioned_since; /**< 0: it is not */
	bool store_ok;
	hm_time store_read_at; /**< revision of the store, here or by a peer */
	bool ready;
	bool was_ready; /**< once since the start */
	bool stopped;
	struct table logged_peers; /**< enum logged_peer by life */
	uint64_t peers_generation; /**< when lost peers were last looked for */
	struct proxy_figures figures;
};

/** Queues a message to a life, this one included, or to all peers (0). */
struct message *proxy_send(struct proxy *p, uint64_t to, enum message_kind kind,
			   struct proxy_output *out);
/** Tells all peers how this instance stands. */
void proxy_heartbeat(struct proxy *p, bool stopped, hm_time now,
		     struct proxy_output *out);

/* store_readers.c */

/** This instance or a peer has read the revision of the store. */
void proxy_store_read(struct proxy *p, hm_time read_at);

/* proxy_life.c */

bool proxy_stopping(const struct proxy *p);
void life_begin_stop(struct proxy *p, hm_time now, struct proxy_output *out);
/** Takes callers or does not, and ends a stop. */
void life_check(struct proxy *p, hm_time now, struct proxy_output *out);

/* place.c */

/** What a statement needs of a member. */
struct need {
	hm_id service;
	bool lead;	      /**< the primary alone will do */
	bool writes;	      /**< it ends with a commit of its own */
	struct log_pos floor; /**< its log must hold this */
	const hm_id *tried;
	uint32_t tried_count;
};

struct placement {
	hm_id endpoint; /**< 0: nowhere */
	uint64_t home;
	bool lead;
	const char *reason; /**< static text for the log line */
	hm_time retry_at;   /**< when nowhere */
};

struct placement place_choose(struct proxy *p, const struct need *need,
			      hm_time now);
/** The replicas of a service are held: no commit is answered. */
bool place_is_held(const struct proxy *p, hm_id service, hm_time now);
struct load *place_load(struct proxy *p, hm_id endpoint);
/** Life that holds the connections to a member, 0 for none. */
uint64_t place_home(const struct proxy *p, const struct site_member *m);

/* confirm.c */

/** Turns a success that a promotion elsewhere may undo into doubt. */
void confirm_commit(const struct proxy *p, hm_id service, struct run_result *r,
		    hm_time now, struct proxy_output *out);

/* partition.c */

/** Peers heard in the last seconds and, of these, a moment ago. */
struct heard_peers {
	uint32_t recent;
	uint32_t now;
};

/** @a other_zones: leaves out those of the own zone, where there are more. */
struct heard_peers partition_heard(const struct proxy *p, bool other_zones,
				   hm_time now);
/** No instance of another zone was heard a moment ago, though there are. */
bool proxy_is_cut_off(const struct proxy *p, hm_time now);
/** Notes when a partition leaves callers better served elsewhere. */
void partition_check(struct proxy *p, hm_time now, struct proxy_output *out);

/* proxy_message.c */
void proxy_take(struct proxy *p, const struct message *m, hm_time now,
		struct proxy_output *out);
/** Delivers what the modules have for one another until nothing is left. */
void proxy_flush(struct proxy *p, hm_time now, struct proxy_output *out);

/* sessions.c, and sessions_ask.c for what callers ask */

/** Finds the account that the key of a session belongs to now. */
enum error session_check_key(struct proxy *p, struct session *s,
			     const struct route_spec *route);
struct session *session_find(const struct proxy *p, uint64_t number);
void session_opened(struct proxy *p, const struct proxy_event *e, hm_time now,
		    struct proxy_output *out);
void session_asked(struct proxy *p, const struct proxy_event *e, hm_time now,
		   struct proxy_output *out);
void session_gone(struct proxy *p, uint64_t number, hm_time now,
		  struct proxy_output *out);
/** Sessions whose key or route is gone are ended. */
void sessions_check(struct proxy *p, hm_time now, struct proxy_output *out);
/** Lets go on who has a token of its account now. */
void sessions_admitted(struct proxy *p, hm_time now, struct proxy_output *out);
/** Refuses those who wait for a token when none is to be had. */
void sessions_over_rate(struct proxy *p, hm_id account, hm_time now,
			struct proxy_output *out);
void sessions_tick(struct proxy *p, hm_time now, struct proxy_output *out);
void sessions_free(struct proxy *p);
/** A session's answer; the pending request is over. */
void session_answer(struct proxy *p, struct session *s, enum error error,
		    const struct run_result *result, hm_time retry_at,
		    hm_time now, struct proxy_output *out);
void session_end(struct proxy *p, struct session *s, enum error error,
		 hm_time now, struct proxy_output *out);

/* sessions_run.c */

/** Sends the pending statement of a session to a member's home. */
void session_run(struct proxy *p, struct session *s, hm_time now,
		 struct proxy_output *out);
/** MSG_RUN_RESULT. */
void session_result(struct proxy *p, const struct run_result *r, hm_time now,
		    struct proxy_output *out);
/** The home of a pending request is gone, or silent for too long. */
void session_lost(struct proxy *p, struct session *s, bool home_gone,
		  hm_time now, struct proxy_output *out);
void session_release(struct proxy *p, struct session *s,
		     struct proxy_output *out);

/* services.c */
void services_apply_config(struct proxy *p, struct site_config *c, hm_time now,
			   struct proxy_output *out);
/** Members have come, gone or changed: tells all who work with them. */
void services_members_changed(struct proxy *p, hm_time now,
			      struct proxy_output *out);
struct service_state *services_view(const struct proxy *p, hm_id service);
struct keeper *services_keeper(const struct proxy *p, hm_id service);
struct pool *services_pool(struct proxy *p, hm_id endpoint, hm_time now,
			   struct proxy_output *out);
void services_tick(struct proxy *p, hm_time now, struct proxy_output *out);
void services_free(struct proxy *p);

/* roster.c */

/** Takes over a list of members, unless a newer one is in force. */
void roster_apply(struct proxy *p, struct site_members *m, hm_time now,
		  struct proxy_output *out);
/** The store is of this era, as @a source (static text) tells. */
void roster_take_era(struct proxy *p, uint64_t era, const char *source,
		     hm_time now, struct proxy_output *out);
void roster_tick(struct proxy *p, hm_time now, struct proxy_output *out);

#endif
