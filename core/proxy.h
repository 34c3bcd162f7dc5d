/**
 * @file proxy.h
 * State machine of a proxy instance that serves clients with sessions. The
 * driver passes in events with their time and carries out the typed actions
 * that come out. The state machine uses no clock, socket, thread or global
 * variable. It shares the instance membership, the rate limits, the fair
 * queue and the messages between instances with core.h.
 *
 * core.h serves databases whose members store the newest term themselves. In
 * the databases served here an external call promotes a primary, each
 * connection to a member belongs to one account, and a member shows that it
 * is the primary by answering a command that only a primary accepts.
 */
#ifndef PROXY_H
#define PROXY_H

#include "core.h"
#include "reserve_object.h"
#include "site_config.h"
#include "voters.h"

#define PROXY_TICK (20 * HM_MS)

/** Commands to a database member, which replies to them in order. */
enum member_command_kind {
	MEMBER_BEGIN,
	MEMBER_BEGIN_READ,
	MEMBER_ROLLBACK,
	MEMBER_RESET,	/**< discard session values and prepared statements */
	MEMBER_SET,	/**< set session value @a name to @a text */
	MEMBER_PREPARE, /**< prepare statement @a text as @a name */
	MEMBER_DEALLOCATE, /**< drop the prepared statement @a name */
	MEMBER_STATUS,
	MEMBER_PAUSE, /**< stop receiving log records of terms below @a term */
	MEMBER_RESUME,
	MEMBER_STEP_DOWN, /**< stop being primary of terms below @a term */
	MEMBER_STATEMENT,
	MEMBER_COMMAND_COUNT
};

/** One command to a member. The enclosing action owns @a name and @a text. */
struct member_command {
	enum member_command_kind kind;
	enum statement_op op; /**< MEMBER_STATEMENT */
	uint64_t term;	      /**< MEMBER_PAUSE, MEMBER_STEP_DOWN */
	struct log_pos
		min_position; /**< must be in the log; term 0: no minimum */
	char request[REQUEST_ID_BYTES]; /**< MEMBER_STATEMENT: client's ID */
	char *name;
	char *text;
};

/** Reply to MEMBER_STATUS: the state that a member reports. */
struct member_status {
	bool primary;
	uint64_t term;
	struct log_pos received;
	/** The member receives no log of lower terms; 0: not paused. */
	uint64_t paused_term;
	hm_time lag;
};

/** Reply of a member to one command. */
struct member_reply {
	enum error error;
	enum session_state state;
	struct log_pos at; /**< end of the member's log; term 0: unknown */
	const char *rows;  /**< one per line; borrowed for the call */
	uint32_t row_bytes;
	const char *signature; /**< borrowed, NULL for none */
	bool has_status;
	struct member_status status;
};

/** Result of the external call that promotes a member to primary. */
enum promote_outcome {
	PROMOTE_DONE,	  /**< accepted, will be carried out soon */
	PROMOTE_REJECTED, /**< token superseded, or the member is not running */
	PROMOTE_REFUSED,  /**< not carried out, and will not be */
	PROMOTE_LOST	  /**< no answer; may still be carried out later */
};

enum proxy_event_kind {
	PROXY_TICKED,
	PROXY_CLIENT_OPENED,
	PROXY_CLIENT_REQUEST,
	PROXY_CLIENT_CLOSED,
	PROXY_MESSAGE,
	PROXY_MEMBER_READY,
	PROXY_MEMBER_REPLIED,
	PROXY_MEMBER_CLOSED,
	PROXY_CONFIG,
	PROXY_MEMBERS,
	PROXY_STORE,	  /**< whether the store answers */
	PROXY_STORE_READ, /**< the store's revision and all changes were read */
	PROXY_STORE_ERA,  /**< era of the store, as stated in an answer */
	PROXY_EVACUATION, /**< the requests to evacuate zones were read */
	PROXY_TOKEN,	  /**< result of PROXY_TAKE_TOKEN */
	PROXY_VOTERS,	  /**< result of PROXY_RECORD_VOTERS */
	PROXY_PROMOTED,	  /**< result of PROXY_PROMOTE */
	PROXY_RESERVED,	  /**< result of PROXY_RESERVE */
	PROXY_LISTED,	  /**< the list of instances was read */
	PROXY_LIMITS,	  /**< the limits in the settings have changed */
	PROXY_STOP
};

/** All pointers except @a config and @a members are borrowed for the call. */
struct proxy_event {
	enum proxy_event_kind kind;
	union {
		struct {
			uint64_t client; /**< number assigned by the listener */
			hm_id database;
			bool has_key;
			struct key_id key;
		} opened;
		struct {
			uint64_t client;
			enum statement_op op;
			const char *request; /**< request ID from the client */
			const char *name;    /**< session value or statement */
			const char *text;
			bool writes; /**< STMT_PREPARE: statement may write */
			bool malformed;
		} asked;
		uint64_t client; /**< PROXY_CLIENT_CLOSED */
		const struct message *message;
		struct {
			uint64_t conn;
			enum error error; /**< PROXY_MEMBER_CLOSED */
			const struct member_reply *reply;
		} member;
		struct site_config *config;   /**< the callee takes ownership */
		struct site_members *members; /**< the callee takes ownership */
		bool store_ok;
		hm_time read_at; /**< PROXY_STORE_READ: time of the request */
		uint64_t store_era;
		const struct reserve_answer *reserve;
		uint32_t listed; /**< instances in the store's list */
		const struct evacuation_report *evacuation;
		struct {
			hm_time drain_limit;
			hm_time stop_limit;
		} limits;
		struct {
			hm_id service;
			bool taken;
			uint64_t token;
			/** As recorded with the token; NULL if not taken. */
			const struct voter_record *record;
		} token;
		struct {
			hm_id service;
			/**
			 * As it is in the store now, with no voters if there
			 * is none; NULL if the store did not tell.
			 */
			const struct voter_record *record;
		} voters;
		struct {
			hm_id service;
			uint64_t token;
			enum promote_outcome outcome;
		} promoted;
	};
};

enum proxy_action_kind {
	PROXY_ANSWER,	    /**< send an answer to a client */
	PROXY_CLOSE_CLIENT, /**< close after sending all queued answers */
	PROXY_CONNECT,	    /**< open a connection to a member */
	PROXY_COMMAND,	    /**< send a command to a member */
	PROXY_CLOSE_MEMBER,
	PROXY_TAKE_TOKEN,     /**< get a new fencing token for a service */
	PROXY_RECORD_VOTERS,  /**< write, or only read, a record of voters */
	PROXY_PROMOTE,	      /**< promote a member to primary */
	PROXY_RESERVE,	      /**< make a call for the token reserves */
	PROXY_SHARE_DOCUMENT, /**< send the document in force to a peer */
	PROXY_DIGESTS,	  /**< messages to all go to peers in contact alone */
	PROXY_LEARN_PEER, /**< the address of an instance was learned */
	PROXY_READY,	  /**< report ready, or not ready, for clients */
	PROXY_LOG,
	PROXY_STOPPED /**< shutdown is complete */
};

/** One action for the driver. It owns all texts that it points to. */
struct proxy_action {
	enum proxy_action_kind kind;
	union {
		struct {
			uint64_t client;
			bool opened; /**< answer to PROXY_CLIENT_OPENED */
			enum error error;
			enum session_state state;
			struct log_pos at; /**< log position; term 0: unknown */
			hm_time retry_in;  /**< 0: no advice on when to retry */
			hm_time took; /**< time since the request arrived */
			char *rows;
			uint32_t row_bytes;
			char *signature;
		} answer;
		uint64_t client;
		struct {
			uint64_t conn;
			char address[ADDRESS_BYTES];
			char service[NAME_BYTES];
			char who[NAME_BYTES]; /**< user name at login */
			char endpoint[NAME_BYTES];
			struct member_command command;
		} member;
		struct {
			hm_id id;
			char service[NAME_BYTES];
			char endpoint[NAME_BYTES];
			uint64_t token;
			/**
			 * PROXY_RECORD_VOTERS: the record to write if the
			 * stored one still has the version that it states, NULL
			 * to read. PROXY_TAKE_TOKEN: taken over if none is
			 * stored, and in any case that it has a commit.
			 */
			struct voter_record *record;
		} duty;
		struct {
			uint64_t to;
			enum document_kind kind;
		} share;
		struct reserve_call *reserve; /**< PROXY_RESERVE */
		bool digests;		      /**< PROXY_DIGESTS */
		struct {
			uint64_t incarnation;
			char address[ADDRESS_BYTES];
		} learned;
		bool ready;
		char *line; /**< PROXY_LOG: key=value pairs */
	};
};

/** Output of proxy_step(). */
struct proxy_output {
	struct actions peers; /**< messages to peers; ACT_SEND only */
	struct proxy_action *list;
	size_t count;
	size_t capacity;
};

/** Appends an action of @a kind, with all other fields zero. */
struct proxy_action *proxy_action(struct proxy_output *out,
				  enum proxy_action_kind kind);
/** Appends PROXY_CONNECT: log in to a member as @a who on @a conn. */
void proxy_connect(struct proxy_output *out, uint64_t conn,
		   const struct site_member *member, const char *who);
/** Appends PROXY_LOG with a line of key=value pairs. */
void proxy_log(struct proxy_output *out, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
void proxy_output_clear(struct proxy_output *out);
void proxy_output_free(struct proxy_output *out);

/** Parts of the scheduling under load that can be turned off. */
struct scheduling_options {
	bool priority_tokens;	/**< rate tokens by urgency */
	bool priority_queue;	/**< statements at a member by urgency */
	bool connection_queue;	/**< accounts wait for a connection in turn */
	bool load_levels;	/**< operations are refused by stated load */
	bool token_reserve;	/**< rate tokens are kept for a restart */
	bool learned_placement; /**< members chosen by what they did */
	bool owner_capacity;	/**< owners are chosen by capacity */
	bool restart_pace;	/**< new pools open few connections at first */
};

/** What is on unless the settings say otherwise. */
struct scheduling_options scheduling_default(void);

/** Settings of a proxy. */
struct proxy_options {
	struct core_options core; /**< identity, and timing of the peers */
	hm_time drain_limit;	  /**< longest use of a leaving member */
	/**
	 * Longest use of the primary, and of open transactions, in an evacuated
	 * zone; 0: operators evacuate no zones here.
	 */
	hm_time evacuation_limit;
	hm_time stop_limit;    /**< longest graceful shutdown */
	hm_time connect_limit; /**< longest setup of a member connection */
	/** Time for members to register again after a store outage. */
	hm_time settle_time;
	hm_time member_probe_every; /**< interval between probes of a member */
	hm_time status_every; /**< interval of the costlier MEMBER_STATUS */
	/** A probe without a reply for this long has failed. */
	hm_time member_probe_limit;
	hm_time view_every; /**< interval of view requests, see view.h */
	struct scheduling_options scheduling;
	struct capacity capacity; /**< of this instance; 0: not stated */
	uint32_t guards_off;	  /**< enum proxy_guard; mutation tests only */
};

/** Safety checks that mutation tests disable one at a time. */
enum proxy_guard {
	PROXY_GUARD_PRIMARY = 1,  /**< reads at a primary confirm its role */
	PROXY_GUARD_POSITION = 2, /**< replica reads need a log position */
	PROXY_GUARD_VALUES = 4,	  /**< session values are set on a connection */
	PROXY_GUARD_PAUSE = 8,	  /**< replicas are paused before a promotion */
	PROXY_GUARD_ONCE = 16,	  /**< no write that may have run is resent */
	PROXY_GUARD_CONFIRM = 32, /**< no acknowledged commit can be undone */
	PROXY_GUARD_SUPERSEDED = 64 /**< no reads from a superseded primary */
};

void proxy_options_default(struct proxy_options *o);
/** How long a member without an entry stays in the list of members. */
hm_time member_list_grace(const struct proxy_options *o);

struct proxy;

struct proxy *proxy_new(const struct proxy_options *options, hm_time now);
void proxy_free(struct proxy *p);
/** Processes one event and appends the resulting actions to @a out. */
void proxy_step(struct proxy *p, const struct proxy_event *event, hm_time now,
		struct proxy_output *out);

/** Newest known era of the store, 0 for none. */
uint64_t proxy_store_era(const struct proxy *p);
/** Next time at which this instance polls the store's revision. */
hm_time proxy_poll_at(const struct proxy *p);
/**
 * Whether this instance watches the members and the configuration in the
 * store. Instances that do not watch receive changed documents from their
 * peers, but see proxy_reads_document().
 */
bool proxy_watches_store(const struct proxy *p, hm_time now);
/**
 * Whether this instance is to read a document from the store, since a peer has
 * a newer one that no peer has sent, or a configuration that is too large to be
 * sent to every peer. True at most once a second.
 */
bool proxy_reads_document(struct proxy *p, enum document_kind kind,
			  hm_time now);
/** Pause between two watches of the members, which batches their events. */
hm_time proxy_batch_window(const struct proxy *p);

/** Values for the metrics endpoint. */
struct proxy_counters {
	uint32_t clients;
	uint32_t transactions;
	uint32_t queued;
	uint32_t connections;
	uint32_t peers_alive;
	uint64_t config_version;
	struct store_version members; /**< version of the member list */
	uint64_t store_era;
	uint64_t copies_sent;	/**< documents sent to peers */
	uint64_t copies_denied; /**< requests of peers beyond the bound */
	uint64_t
		store_restores; /**< restores of the store from an older copy */
	uint64_t answered;
	uint64_t errors[ERR_COUNT];
	uint64_t tokens_taken[PRIORITY_LEVELS]; /**< by operations of a level */
	/** Operations of a level that were refused, as they had no token. */
	uint64_t tokens_refused[PRIORITY_LEVELS];
	uint64_t reads_replica;
	uint64_t reads_primary;
	uint64_t retries;
	uint64_t displaced; /**< refused in a queue for more urgent ones */
	/** Commits acknowledged while a change of primary was seen. */
	uint64_t confirmed_in_change;
	uint64_t handshakes;
	uint64_t ejections; /**< members ejected for their failures */
	uint64_t promotions;
	/** Operations refused since every member was closed for their level. */
	uint64_t refused_by_load[PRIORITY_LEVELS];
	uint64_t load_probes;	 /**< operations sent to a closed member */
	uint64_t load_closed;	 /**< times that a level of a member closed */
	uint64_t load_returns;	 /**< clients that came back at their time */
	uint32_t conn_waiting;	 /**< accounts that wait for a connection now */
	uint64_t conn_waits;	 /**< accounts that began to wait for one */
	uint64_t conns_given_up; /**< idle ones closed for another account */
	uint64_t conns_refused;	 /**< refused by a member at its limit */
	/** Connections given to another account while their pool was starting. */
	uint64_t conns_reassigned;
	zone_set evacuated_zones;
	bool busy; /**< this instance's event loop is late */
	uint64_t busy_changes;
	uint32_t members_owned;
	uint64_t members_gained; /**< members that this instance got */
	uint64_t members_lost;
	uint32_t reserves_recorded; /**< accounts with a token reserve */
	uint64_t reserve_claims;
	uint64_t reserve_tokens_claimed;
	uint64_t reserves_lost;
};
void proxy_get_counters(const struct proxy *p, struct proxy_counters *out);

#endif
