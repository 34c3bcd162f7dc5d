/**
 * @file core.h
 * The decision logic of one instance behind one interface: the driver passes
 * in events with the time at which they happened and gets typed actions back.
 * The core uses no clock, socket, thread or global variable, so the same
 * events and seed always give the same actions. Any number of cores can exist
 * in one process.
 *
 * The driver runs this loop:
 *
 *	core_step(core, &event, now, &actions);
 *	perform each action, then actions_clear(&actions);
 *
 * The driver also sends EV_TICK every CORE_TICK.
 */
#ifndef CORE_H
#define CORE_H

#include "message.h"

#define CORE_TICK (10 * HM_MS)

/**
 * The top byte of a control command's sequence number (nonce.seq) names the
 * module that sent the command, so that modules never use the same number.
 */
#define NONCE_OWNER ((uint64_t)1 << 56)
#define NONCE_VERIFY ((uint64_t)2 << 56)
#define NONCE_FAILOVER ((uint64_t)3 << 56)
#define NONCE_RATE ((uint64_t)4 << 56)

/** How a statement that was sent to an endpoint ended. */
enum completion {
	DONE_OK,
	DONE_REJECTED, /**< the database returned an error */
	DONE_REFUSED,  /**< the endpoint reported that it did not run it */
	DONE_NOT_SENT, /**< no byte of the statement was sent */
	DONE_LOST      /**< sent, but no reply will arrive */
};

/** An entry of the platform's list of instances. */
struct listed_instance {
	hm_id instance;
	uint16_t zone;
	bool leaving;
};

enum event_kind {
	EV_TICK,
	EV_REQUEST,	/**< a client sent a statement */
	EV_CLIENT_GONE, /**< the client of a request disconnected */
	EV_MESSAGE,	/**< a message of a peer arrived */
	EV_CONNECTED,	/**< a connection is ready */
	EV_CLOSED,	/**< a connection failed or ended */
	EV_DONE,	/**< a statement on a connection ended */
	EV_STATE,	/**< a control command ended */
	EV_CONTRACT,	/**< contract read from the platform's store */
	EV_DATABASE,	/**< database group read from the platform's store */
	EV_INSTANCES,	/**< the platform's list of instances arrived */
	EV_PLATFORM,	/**< a call to the platform succeeded or failed */
	EV_EVACUATION,	/**< requests to evacuate zones were read */
	EV_STOP,	/**< finish the accepted requests, then stop */
	EV_KIND_COUNT
};

struct event {
	enum event_kind kind;
	union {
		struct statement request;
		struct rid gone;
		const struct message *message; /**< borrowed */
		struct {
			uint64_t conn;
			bool failed; /**< EV_CLOSED: was never ready */
		} conn;
		struct {
			uint64_t conn;
			struct rid id;
			enum completion done;
			struct log_pos before; /**< position before it */
			struct log_pos after;  /**< position after it */
			struct lineage lineage;
			bool open_tx; /**< the connection is in a transaction */
			uint64_t body;
		} done;
		struct {
			struct rid nonce;
			struct endpoint_state state;
		} state;
		const struct contract *contract;      /**< borrowed */
		const struct database_spec *database; /**< borrowed */
		struct {
			const struct listed_instance *list; /**< borrowed */
			uint32_t count;
		} instances;
		bool platform_ok;
		struct evacuation_report evacuation;
	};
};

enum action_kind {
	ACT_SEND,    /**< message to one incarnation, or to all peers */
	ACT_ANSWER,  /**< final answer to a client of this instance */
	ACT_CONNECT, /**< open a connection to an endpoint */
	ACT_EXECUTE, /**< run a statement on a connection */
	ACT_CANCEL,  /**< ask the endpoint to cancel a connection's statement */
	ACT_RESET,   /**< roll back and clear the session of a connection */
	ACT_CLOSE,   /**< close a connection, even while a statement runs */
	ACT_CONTROL, /**< send a control command to an endpoint owned here */
	ACT_LOG,     /**< write a decision to the log */
	ACT_ANNOUNCE, /**< publish the primary of a group to the platform */
	ACT_STOPPED   /**< all work that preceded EV_STOP is finished */
};

/** A routing, placement or membership decision, for one log line. */
struct decision {
	const char *what;   /**< static string: "route", "primary", ... */
	const char *reason; /**< static string */
	struct rid request;
	hm_id account;
	hm_id database;
	hm_id endpoint;
	uint64_t peer; /**< incarnation concerned, 0 for none */
	struct log_pos at;
};

struct action {
	enum action_kind kind;
	union {
		struct {
			uint64_t to; /**< incarnation, 0 for every peer */
			struct message message;
		} send;
		struct result answer;
		struct {
			uint64_t conn; /**< number, assigned by the core */
			hm_id database;
			hm_id endpoint;
			struct statement statement; /**< ACT_EXECUTE */
		} conn;
		struct control control;
		struct decision decision;
		struct {
			hm_id database;
			hm_id primary;
			uint64_t term;
		} announce;
	};
};

/** A growable list of actions; owns what its messages point to. */
struct actions {
	struct action *list;
	size_t count;
	size_t capacity;
};

/**
 * Appends a zeroed action of @a kind and returns it. Aborts when out of memory.
 */
struct action *actions_add(struct actions *a, enum action_kind kind);
/** Frees the contents of the actions and empties the list. */
void actions_clear(struct actions *a);
/** Does actions_clear(), then frees the memory of the list. */
void actions_free(struct actions *a);
/** Appends ACT_LOG and returns its decision; the caller fills in the rest. */
struct decision *actions_log(struct actions *a, const char *what,
			     const char *reason);
/** Appends ACT_SEND of a @a kind message to @a to; returns the message. */
struct message *actions_send(struct actions *a, uint64_t to,
			     enum message_kind kind);

/** Identity and limits of one instance. */
struct core_options {
	hm_id instance;
	uint64_t incarnation; /**< random ID of this start of the process */
	uint16_t zone;
	uint16_t zone_count;
	char address[ADDRESS_BYTES]; /**< own address for peers */
	uint64_t seed;
	hm_time heartbeat_every;
	hm_time peer_silent;  /**< a peer silent for this long is dead */
	hm_time start_wait;   /**< age of the process from which it issues
				 rate tokens; 0: peer_silent */
	hm_time probe_every;  /**< interval of probes of owned endpoints */
	hm_time probe_silent; /**< control commands fail after this time */
	hm_time confirmation_valid; /**< how long a term confirmed by a majority
				 counts as current, from the probes on */
	hm_time replica_wait;	    /**< how long a write waits for a replica to
				 store it before a confirmation of the
				 term suffices */
	hm_time isolated_grace; /**< isolated after this long without an answer
				 of the platform or a message of another
				 zone's peers */
	hm_time idle_transaction; /**< idle time until a rollback */
	hm_time statement_limit;  /**< maximum run time of one statement */
	uint32_t queue_limit; /**< maximum of queued statements per endpoint */
	uint32_t guards_off;  /**< GUARD_* bits, set by mutation tests only */
};

/** Safety checks that mutation tests switch off one at a time. */
enum guard {
	GUARD_FENCE = 1,
	GUARD_RECHECK = 2,
	GUARD_LINEAGE = 4,
	GUARD_CONFIRMATION = 8,
	GUARD_DEDUP = 16
};

/** Sets every limit to its default; identity fields become zero. */
void core_options_default(struct core_options *o);

struct core;

/** Allocates a core; NULL when out of memory. */
struct core *core_new(const struct core_options *options, hm_time now);
void core_free(struct core *core);
/** Handles one event; appends actions in the order to perform them. */
void core_step(struct core *core, const struct event *event, hm_time now,
	       struct actions *actions);

/** Counters and gauges of a core, for status and metrics. */
struct core_counters {
	uint32_t contracts;
	uint32_t databases;
	uint32_t peers_alive;
	uint32_t waiting;      /**< requests that wait for a rate token */
	uint32_t in_flight;    /**< unanswered requests of clients */
	uint32_t queued;       /**< statements queued for owned endpoints */
	uint32_t transactions; /**< open at owned endpoints */
	uint32_t connections;  /**< open to owned endpoints */
	uint64_t config_version;
	uint64_t config_digest;
	uint64_t answered;
	uint64_t errors[ERR_COUNT];
	uint64_t reads_replica;
	uint64_t reads_primary;
	uint64_t promotions;
	zone_set evacuated_zones;
};
void core_get_counters(const struct core *core, struct core_counters *out);
/**
 * The account whose contract in force lists @a key; 0 when none or several do.
 */
hm_id core_account_by_key(const struct core *core, struct key_id key);

#endif
