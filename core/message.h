/**
 * @file message.h
 * Typed messages between instances; src/wire.c encodes them. Deadlines are
 * sent as remaining time and turned into times of the receiver's clock.
 */
#ifndef MESSAGE_H
#define MESSAGE_H

#include "error.h"
#include "evacuation.h"
#include "run.h"
#include "types.h"
#include "view.h"

/** Commands that the owner of an endpoint sends on its control connection. */
enum control_op {
	CONTROL_PROBE,	   /**< report the endpoint's state */
	CONTROL_FENCE,	   /**< promise @a requester to accept no term older
			     than @a term */
	CONTROL_PROMOTE,   /**< become primary of @a term, which was promised to
			     @a requester */
	CONTROL_FOLLOW,	   /**< replicate from @a target under @a term */
	CONTROL_SET_OWNER, /**< make @a requester the owner if @a expected still
			     owns the endpoint */
	CONTROL_PROBE_NEW_CONN /**< probe over a newly opened connection */
};

/** A control command; repeating the same command is harmless. */
struct control {
	struct rid nonce; /**< command ID, echoed in the reply */
	enum control_op op;
	hm_id database;
	hm_id endpoint;
	uint64_t term;
	uint64_t requester; /**< incarnation that requests the command */
	uint64_t expected; /**< CONTROL_SET_OWNER: incarnation that must own the
			     endpoint now, 0 for none */
	hm_id target;	   /**< CONTROL_FOLLOW: endpoint to follow */
};

/** The final answer to a request. */
struct result {
	struct rid id;
	enum error error;
	enum execution execution;
	hm_time retry_at; /**< when the client may retry, 0 if not applicable */
	hm_time valid_until; /**< the result may be sent until then, while the
				term's confirmation is valid; HM_NEVER:
				at any time */
	hm_id database;
	hm_id endpoint;
	struct log_pos at; /**< new session floor, term 0: unchanged */
	bool unsure;	  /**< the session now has a write of unknown outcome */
	bool reset_floor; /**< @a at replaces the floor even if it is lower */
	struct tx_id tx;  /**< transaction opened or used */
	uint64_t body;	  /**< handle of rows or database error, 0 for none */
	hm_time age_bound; /**< maximum age of the data that was read */
};

enum message_kind {
	MSG_HEARTBEAT,
	/**
	 * A heartbeat that repeats the last MSG_HEARTBEAT to the same peer. The
	 * peer links send it and turn it back into a MSG_HEARTBEAT.
	 */
	MSG_HEARTBEAT_REPEATED,
	MSG_STATEMENT,
	MSG_RESULT,
	MSG_ABANDON,
	MSG_CONTROL,
	MSG_STATE,
	MSG_RATE_REQUEST,
	MSG_RATE_GRANT,
	MSG_CONTRACT,
	MSG_CONTRACT_REQUEST,
	MSG_DATABASE,	/**< configured group, reply to MSG_CONTRACT_REQUEST */
	MSG_RUN,	/**< statement of a session, for a member's owner */
	MSG_RUN_RESULT, /**< result of a MSG_RUN */
	MSG_RELEASE,	/**< roll back the transaction of a session */
	MSG_VIEW_REQUEST, /**< requests a service's view from its monitor */
	MSG_VIEW,
	MSG_DOCUMENT_REQUEST, /**< requests a configuration document */
	MSG_DOCUMENT,
	MSG_DIGEST,	    /**< a heartbeat, and news of other instances */
	MSG_DIGEST_REQUEST, /**< requests full news of some instances */
	MSG_KIND_COUNT
};

/** What an instance can do; 0: not stated. */
struct capacity {
	uint32_t processor_millis; /**< thousandths of a core */
	uint32_t link_mbit;
	bool busy; /**< its event loop is late */
};

/** Whether two instances state the same capacity. */
static inline bool capacity_equal(const struct capacity *a,
				  const struct capacity *b)
{
	return a->processor_millis == b->processor_millis &&
	       a->link_mbit == b->link_mbit && a->busy == b->busy;
}

/** Sent to every peer at a fixed interval. */
struct heartbeat {
	hm_id instance;
	uint16_t zone;
	bool leaving;
	bool stopped; /**< last message of the sender: it owns nothing now */
	bool platform_ok; /**< the sender's latest platform call succeeded */
	uint64_t config_version; /**< highest contract version in force */
	uint32_t config_entries; /**< size of that configuration */
	/** Digest of all contracts' and groups' versions. */
	uint64_t config_digest;
	/** Number of the newest message the sender got from the receiver. */
	uint64_t echo;
	bool issues_tokens;	/**< the sender has run long enough to issue
				 rate tokens */
	hm_time store_read_ago; /**< time since the sender or a peer of it read
				 the platform's store */
	uint64_t store_reads;	/**< number of that read, see store_readers.c */
	uint64_t store_era; /**< newest era of the store known to the sender */
	/** Version of the sender's member list. */
	struct store_version members;
	struct evacuation_report evacuation;
	/** The sender got a repeated heartbeat whose original it lacks. */
	bool lacks_original;
	/** Counts the changes of what a struct peer_news in full contains. */
	uint32_t state_version;
	char address[ADDRESS_BYTES]; /**< address of the sender for peers */
	/** What the sender takes part in, bits of enum peer_feature. */
	uint64_t features;
	struct capacity capacity;
};

/** Features that need all instances concerned; a bit is never used again. */
enum peer_feature {
	/** Looks for recorded reserves before it issues what they may hold. */
	PEER_FEATURE_RESERVES = 1,
	/** Chooses owners by capacity. */
	PEER_STATES_CAPACITY = 2
};

/** What an instance has heard of another one, directly or from others. */
struct peer_news {
	uint64_t incarnation;
	uint64_t seq; /**< newest of its messages that anyone has heard */
	hm_time age;  /**< time since that message arrived */
	uint32_t state_version;
	bool full; /**< the fields below are set */
	hm_id instance;
	uint16_t zone;
	bool leaving;
	bool stopped;
	bool platform_ok;
	bool issues_tokens;
	char address[ADDRESS_BYTES];
	uint64_t features; /**< 0 if relayed by a build without them */
	struct capacity capacity;
};

/** News of many peers; in a request only the incarnations are set. */
struct digest {
	struct heartbeat heartbeat; /**< of the sender */
	uint32_t count;
	struct peer_news *news;
};

/** Most entries of a digest. */
#define DIGEST_MAX 8192

/** What a repeated heartbeat does not have in common with its original. */
struct heartbeat_repeated {
	uint64_t original; /**< how many messages before this one it was sent */
	uint64_t echo;
	hm_time store_read_ago;
	uint64_t store_reads;
	bool lacks_original;
};

/** A statement forwarded to the owner of @a endpoint. */
struct statement_forward {
	struct statement statement; /**< deadline sent as remaining time */
	hm_id endpoint;
	uint64_t term; /**< writes: current term according to the sender */
	uint64_t to;   /**< incarnation that must execute it */
	uint64_t receiver_seq; /**< newest message number received from @a to */
};

/** State of an endpoint: broadcast by its owner, or reply to a command. */
struct state_report {
	struct rid nonce; /**< ID of the command answered; seq 0: broadcast */
	struct endpoint_state state;
	uint32_t queued; /**< statements queued at the owner */
	uint32_t free_slots;
	hm_time wait; /**< expected wait of a new statement */
	hm_time age;  /**< maximum age of its data; 0 or HM_NEVER: unknown */
};

/** Request for, or grant of, rate tokens of an account. */
struct rate_tokens {
	struct rid nonce; /**< ID of the request, echoed in the grant */
	hm_id account;
	uint32_t tokens;
	/** Request: tokens wanted by level; all 0: not stated. */
	uint32_t wanted[PRIORITY_LEVELS];
	hm_time valid; /**< grant: lifetime since the request was sent */
	uint64_t contract_version;
};

/** Ends a transaction that is open or queued at a member. */
struct tx_release {
	struct rid tx;
	hm_id endpoint;
};

/** Documents that instances forward to one another. */
enum document_kind { DOCUMENT_CONFIG, DOCUMENT_MEMBERS, DOCUMENT_KIND_COUNT };

/** A document of the platform's store, or a request for one. */
struct document {
	enum document_kind kind;
	struct store_version version; /**< request: any newer version; for a
					   configuration the revision alone */
	uint32_t bytes;
	char *data; /**< owned by the message, NULL in a request */
};

/** One message between instances; owns the memory behind its pointers. */
struct message {
	enum message_kind kind;
	uint64_t from; /**< incarnation of the sender */
	uint64_t seq;  /**< counts the messages of the sender's incarnation */
	union {
		struct heartbeat heartbeat;
		struct heartbeat_repeated repeated;
		struct statement_forward statement;
		struct result result;
		struct rid abandon;
		struct control control;
		struct state_report state;
		struct rate_tokens rate;
		struct contract *contract;
		struct database_spec *database;
		hm_id contract_want; /**< account, 0 for all */
		struct run_request *run;
		struct run_result *ran;
		struct tx_release release;
		struct view_request view_want;
		struct service_view *view;
		struct document document;
		struct digest *digest;
	};
};

/** Destination of a message: one instance of the list, chosen at random. */
#define PEER_ANY UINT64_MAX

/** Makes a deep copy of a message; false when out of memory. */
bool message_copy(struct message *to, const struct message *from);
/** Frees the memory owned by a message and zeroes the message. */
void message_clear(struct message *m);

#endif
