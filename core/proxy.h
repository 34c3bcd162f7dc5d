/**
 * @file proxy.h
 * The decisions of an instance that serves sessions on connections: events go
 * in with the time at which they happened, typed actions come out. Like
 * core.h it uses no clock, socket, thread or global, and shares with it the
 * membership, the rates, the fair queue and the messages between instances.
 *
 * core.h serves databases whose members promise terms themselves. Here an
 * outside call replaces a primary, a connection belongs to one account, and
 * a member proves by an answer that it leads.
 */
#ifndef PROXY_H
#define PROXY_H

#include "core.h"
#include "site_config.h"

#define PROXY_TICK (20 * HM_MS)

/** Steps on a connection to a member, answered in order. */
enum member_command_kind {
	MEMBER_BEGIN,
	MEMBER_BEGIN_READ,
	MEMBER_ROLLBACK,
	MEMBER_RESET,	/**< drops session values and prepared statements */
	MEMBER_SET,	/**< @a name, @a text */
	MEMBER_PREPARE, /**< @a name, @a text is the shape */
	MEMBER_STATUS,
	MEMBER_HOLD, /**< receive nothing under terms below @a term */
	MEMBER_RESUME,
	MEMBER_STEP_DOWN, /**< lead no more under terms below @a term */
	MEMBER_STATEMENT,
	MEMBER_COMMAND_COUNT
};

/** One step; its texts are owned by the action that holds it. */
struct member_command {
	enum member_command_kind kind;
	enum statement_op op; /**< MEMBER_STATEMENT */
	uint64_t term;	      /**< MEMBER_HOLD, MEMBER_STEP_DOWN */
	struct log_pos floor; /**< the log must hold it, term 0: any */
	char request[REQUEST_ID_BYTES]; /**< MEMBER_STATEMENT */
	char *name;
	char *text;
};

/** What a member says of itself. */
struct member_status {
	bool primary;
	uint64_t term;
	struct log_pos received;
	uint64_t held; /**< term under which it receives nothing, or 0 */
	hm_time lag;
};

/** Answer to one step. */
struct member_reply {
	enum error error;
	enum session_state state;
	struct log_pos at; /**< term 0: not told */
	const char *rows;  /**< one a line; borrowed for the call */
	uint32_t row_bytes;
	const char *signature; /**< borrowed, NULL for none */
	bool has_status;
	struct member_status status;
};

/** What came of a call to replace a primary. */
enum promote_outcome {
	PROMOTE_DONE,	  /**< accepted, carried out soon */
	PROMOTE_REJECTED, /**< fenced off, or that member does not run */
	PROMOTE_REFUSED,  /**< nothing was done */
	PROMOTE_LOST	  /**< no answer, may be carried out later */
};

enum proxy_event_kind {
	PROXY_TICKED,
	PROXY_CLIENT_OPENED,
	PROXY_CLIENT_ASKED,
	PROXY_CLIENT_CLOSED,
	PROXY_MESSAGE,
	PROXY_MEMBER_READY,
	PROXY_MEMBER_REPLIED,
	PROXY_MEMBER_CLOSED,
	PROXY_CONFIG,
	PROXY_MEMBERS,
	PROXY_STORE,	  /**< the store answers, or does not */
	PROXY_STORE_READ, /**< its revision was read, and what is new */
	PROXY_STORE_ERA,  /**< its era, as an answer told */
	PROXY_TOKEN,	  /**< a fencing token was taken, or could not be */
	PROXY_PROMOTED,
	PROXY_LIMITS, /**< the settings have changed */
	PROXY_STOP
};

/** All pointers are borrowed for the call, but @a config and @a members. */
struct proxy_event {
	enum proxy_event_kind kind;
	union {
		struct {
			uint64_t client; /**< number given by the front */
			hm_id database;
			bool has_key;
			struct key_id key;
		} opened;
		struct {
			uint64_t client;
			enum statement_op op;
			const char *request; /**< the caller's own id */
			const char *name;    /**< of a value or statement */
			const char *text;
			bool writes; /**< STMT_PREPARE: kind of the shape */
			bool malformed;
		} asked;
		uint64_t client; /**< PROXY_CLIENT_CLOSED */
		const struct message *message;
		struct {
			uint64_t conn;
			enum error error; /**< PROXY_MEMBER_CLOSED */
			const struct member_reply *reply;
		} member;
		struct site_config *config;   /**< owned by the callee */
		struct site_members *members; /**< owned by the callee */
		bool store_ok;
		hm_time read_at; /**< PROXY_STORE_READ: when it was asked */
		uint64_t store_era;
		struct {
			hm_time drain_limit;
			hm_time stop_limit;
		} limits;
		struct {
			hm_id service;
			bool taken;
			uint64_t token;
		} token;
		struct {
			hm_id service;
			uint64_t token;
			enum promote_outcome outcome;
		} promoted;
	};
};

enum proxy_action_kind {
	PROXY_ANSWER,	    /**< to a caller */
	PROXY_CLOSE_CLIENT, /**< once what was answered has left */
	PROXY_CONNECT,
	PROXY_COMMAND,
	PROXY_CLOSE_MEMBER,
	PROXY_TAKE_TOKEN, /**< a new fencing token for a service */
	PROXY_PROMOTE,
	PROXY_SHARE_DOCUMENT, /**< send a document that is in force */
	PROXY_READY,	      /**< take new callers, or do not */
	PROXY_LOG,
	PROXY_STOPPED
};

/** Owns its texts. */
struct proxy_action {
	enum proxy_action_kind kind;
	union {
		struct {
			uint64_t client;
			bool opened; /**< answers the opening of a session */
			enum error error;
			enum session_state state;
			struct log_pos at; /**< term 0: none */
			hm_time retry_in;  /**< 0: no advice */
			hm_time took;	   /**< since the request came */
			char *rows;
			uint32_t row_bytes;
			char *signature;
		} answer;
		uint64_t client;
		struct {
			uint64_t conn;
			char address[ADDRESS_BYTES];
			char service[NAME_BYTES];
			char who[NAME_BYTES];
			char endpoint[NAME_BYTES];
			struct member_command command;
		} member;
		struct {
			hm_id id;
			char service[NAME_BYTES];
			char endpoint[NAME_BYTES];
			uint64_t token;
		} duty;
		struct {
			uint64_t to;
			enum document_kind kind;
		} share;
		bool ready;
		char *line; /**< PROXY_LOG: key=value pairs */
	};
};

/** What a step hands out; messages to peers apart. */
struct proxy_output {
	struct actions peers; /**< ACT_SEND alone */
	struct proxy_action *list;
	size_t count;
	size_t room;
};

struct proxy_action *proxy_action(struct proxy_output *out,
				  enum proxy_action_kind kind);
/** Appends PROXY_CONNECT: connection @a conn to a member, for @a who. */
void proxy_connect(struct proxy_output *out, uint64_t conn,
		   const struct site_member *member, const char *who);
/** Appends PROXY_LOG with a line of key=value pairs. */
void proxy_log(struct proxy_output *out, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
void proxy_output_clear(struct proxy_output *out);
void proxy_output_free(struct proxy_output *out);

/** Limits that the decisions keep, all of them durations or counts. */
struct proxy_options {
	struct core_options core; /**< identity and membership */
	hm_time drain_limit;	  /**< new work to a leaving member ends then */
	hm_time stop_limit;	  /**< longest graceful shutdown */
	hm_time connect_limit;	  /**< a connection to a member is ready */
	hm_time settle_time;	  /**< members register anew after an outage */
	hm_time keeper_every;	  /**< pace of questions to members */
	hm_time status_every;	  /**< pace of the costlier question of state */
	hm_time keeper_silent;	  /**< a question without answer failed */
	hm_time view_every;	  /**< pace of questions to keepers */
	uint32_t guards_off;	  /**< mutation tests only */
};

/** Guards that mutation tests switch off one at a time. */
enum proxy_guard {
	PROXY_GUARD_LEAD = 1,	  /**< a read at the primary proves it leads */
	PROXY_GUARD_FLOOR = 2,	  /**< a read at a replica names a position */
	PROXY_GUARD_VALUES = 4,	  /**< a connection has its session's values */
	PROXY_GUARD_HOLD = 8,	  /**< replicas are held before a promote */
	PROXY_GUARD_ONCE = 16,	  /**< what may have run is not sent again */
	PROXY_GUARD_CONFIRM = 32, /**< no commit is kept that may be undone */
	PROXY_GUARD_STANDING = 64 /**< no read of a superseded primary */
};

void proxy_options_default(struct proxy_options *o);

struct proxy;

struct proxy *proxy_new(const struct proxy_options *options, hm_time now);
void proxy_free(struct proxy *p);
void proxy_step(struct proxy *p, const struct proxy_event *event, hm_time now,
		struct proxy_output *out);

/** Newest era of the store that is known here, 0 for none. */
uint64_t proxy_store_era(const struct proxy *p);
/** When this instance is to ask the store whether anything changed. */
hm_time proxy_poll_at(const struct proxy *p);
/**
 * Whether this instance is to watch the members in the store; others are told
 * of changes by their peers. All watch the configuration, which may be large.
 */
bool proxy_watches(const struct proxy *p, hm_time now);
/** Pause between two watches of the members, so that events come together. */
hm_time proxy_gather_time(const struct proxy *p);

/** Figures for metrics. */
struct proxy_figures {
	uint32_t clients;
	uint32_t transactions;
	uint32_t queued;
	uint32_t connections;
	uint32_t peers_alive;
	uint64_t config_version;
	struct store_version members; /**< list in force */
	uint64_t store_era;
	uint64_t store_returns; /**< of the store from an older copy */
	uint64_t answered;
	uint64_t errors[ERR_COUNT];
	uint64_t reads_replica;
	uint64_t reads_primary;
	uint64_t retries;
	uint64_t handshakes;
	uint64_t promotions;
};
void proxy_figures(const struct proxy *p, struct proxy_figures *out);

#endif
