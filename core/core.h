/**
 * @file core.h
 * The decisions of one instance behind one boundary: events go in with the
 * time at which they happened, typed actions come out. No clock, socket,
 * thread or global is used; the same events and seed give the same actions.
 * Any number of cores can live in one process.
 *
 * A driver does this in a loop:
 *
 *	core_step(core, &event, now, &actions);
 *	perform each action, then actions_clear(&actions);
 *
 * and sends EV_TICK every CORE_TICK.
 */
#ifndef CORE_H
#define CORE_H

#include "message.h"

#define CORE_TICK (10 * HM_MS)

/**
 * Modules number their control questions apart: the top byte of a nonce's
 * sequence names the module that asked.
 */
#define NONCE_OWNER ((uint64_t)1 << 56)
#define NONCE_VERIFY ((uint64_t)2 << 56)
#define NONCE_FAILOVER ((uint64_t)3 << 56)
#define NONCE_RATE ((uint64_t)4 << 56)

/** What happened to a statement that was sent to an endpoint. */
enum completion {
	DONE_OK,
	DONE_REJECTED, /**< the database answered with an error */
	DONE_REFUSED,  /**< the endpoint said that it did not run it */
	DONE_NOT_SENT, /**< no byte of it was sent */
	DONE_LOST      /**< sent, and no answer will come */
};

/** An instance named by the platform's list. */
struct listed_instance {
	hm_id instance;
	uint16_t zone;
	bool leaving;
};

enum event_kind {
	EV_TICK,
	EV_REQUEST,	/**< a caller sent a statement */
	EV_CLIENT_GONE, /**< the caller of a request went away */
	EV_MESSAGE,	/**< a peer sent a message */
	EV_CONNECTED,	/**< a connection is ready */
	EV_CLOSED,	/**< a connection failed or ended */
	EV_DONE,	/**< a statement on a connection ended */
	EV_STATE,	/**< a control step ended */
	EV_CONTRACT,	/**< the platform holds this contract */
	EV_DATABASE,	/**< the platform holds this database group */
	EV_INSTANCES,	/**< the platform's list of instances */
	EV_PLATFORM,	/**< the platform answered, or failed to */
	EV_STOP,	/**< finish what was taken in, then stop */
	EV_KIND_COUNT
};

struct event {
	enum event_kind kind;
	union {
		struct statement request;
		struct rid gone;
		const struct message *message; /**< borrowed for the call */
		struct {
			uint64_t conn;
			bool failed; /**< EV_CLOSED: it was never ready */
		} conn;
		struct {
			uint64_t conn;
			struct rid id;
			enum completion done;
			struct log_pos before; /**< read before the statement */
			struct log_pos after;  /**< read after it ended */
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
	};
};

enum action_kind {
	ACT_SEND,     /**< message to one life, or to all peers */
	ACT_ANSWER,   /**< final answer to a caller of this instance */
	ACT_CONNECT,  /**< open a connection to an endpoint */
	ACT_EXECUTE,  /**< run a statement on a connection */
	ACT_CANCEL,   /**< ask the endpoint to cancel what runs on it */
	ACT_RESET,    /**< roll back and clear the session of a connection */
	ACT_CLOSE,    /**< close a connection, whatever it is doing */
	ACT_CONTROL,  /**< control step on an endpoint held by this instance */
	ACT_LOG,      /**< a decision to be logged */
	ACT_ANNOUNCE, /**< publish the primary of a group as status */
	ACT_STOPPED   /**< nothing is left to do after EV_STOP */
};

/** A routing, placement or membership decision, for one log line. */
struct decision {
	const char *what;   /**< static text: "route", "promote", ... */
	const char *reason; /**< static text */
	struct rid request;
	hm_id account;
	hm_id database;
	hm_id endpoint;
	uint64_t peer; /**< life chosen, 0 for none */
	struct log_pos at;
};

struct action {
	enum action_kind kind;
	union {
		struct {
			uint64_t to; /**< life, 0 for every peer */
			struct message message;
		} send;
		struct result answer;
		struct {
			uint64_t conn; /**< number given by the core */
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

/** A growing list of actions; owns contracts inside its messages. */
struct actions {
	struct action *list;
	size_t count;
	size_t capacity;
};

/** Appends a zeroed action of @a kind and returns it. */
struct action *actions_add(struct actions *a, enum action_kind kind);
/** Frees what the actions own and empties the list. */
void actions_clear(struct actions *a);
/** actions_clear() and gives back the memory of the list. */
void actions_free(struct actions *a);
/** Appends ACT_LOG and returns its decision to be filled in. */
struct decision *actions_log(struct actions *a, const char *what,
			     const char *reason);
/** Appends ACT_SEND of @a kind to @a to and returns its message. */
struct message *actions_send(struct actions *a, uint64_t to,
			     enum message_kind kind);

/** Limits of one instance, all of them durations or counts. */
struct core_options {
	hm_id instance;
	uint64_t
		incarnation; /**< random, unique to this start of the process */
	uint16_t zone;
	uint16_t zone_count;
	uint64_t seed;
	hm_time heartbeat_every;
	hm_time peer_silent;	/**< a peer not heard for this is dead */
	hm_time start_wait;	/**< a new process mints no rate before this;
				 0: peer_silent */
	hm_time probe_every;	/**< pace of probes of held endpoints */
	hm_time probe_silent;	/**< a control step without answer failed */
	hm_time evidence_valid; /**< age limit of proof that a term stands */
	hm_time replica_wait;	/**< writes wait this long for a replica */
	hm_time isolated_grace;
	hm_time idle_transaction;
	hm_time statement_limit; /**< longest run of one statement */
	uint32_t queue_limit;	 /**< statements waiting per endpoint */
	uint32_t guards_off;	 /**< mutation tests only: GUARD_* bits */
};

/** Guards that mutation tests switch off one at a time. */
enum guard {
	GUARD_FENCE = 1,
	GUARD_RECHECK = 2,
	GUARD_LINEAGE = 4,
	GUARD_EVIDENCE = 8,
	GUARD_DEDUP = 16
};

/** Fills in the defaults of every limit; identity fields stay zero. */
void core_options_default(struct core_options *o);

struct core;

/** A core of its own memory; NULL when memory is short. */
struct core *core_new(const struct core_options *options, hm_time now);
void core_free(struct core *core);
/** Feeds one event; actions are appended in the order to be performed. */
void core_step(struct core *core, const struct event *event, hm_time now,
	       struct actions *actions);

/** Figures of a core, for status and metrics. */
struct core_figures {
	uint32_t contracts;
	uint32_t databases;
	uint32_t peers_alive;
	uint32_t waiting;      /**< requests without a rate token */
	uint32_t in_flight;    /**< requests at some endpoint's home */
	uint32_t queued;       /**< statements queued at this home */
	uint32_t transactions; /**< open at this home */
	uint32_t connections;  /**< open to endpoints */
	uint64_t config_version;
	uint64_t config_digest;
	uint64_t answered;
	uint64_t errors[ERR_COUNT];
	uint64_t reads_replica;
	uint64_t reads_primary;
	uint64_t promotions;
};
void core_figures(const struct core *core, struct core_figures *out);
/** Account whose live contract holds @a key, 0 when none does. */
hm_id core_account_by_key(const struct core *core, struct key_id key);

#endif
