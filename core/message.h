/**
 * @file message.h
 * Typed messages between instances. The codec is in src/wire.c. Durations
 * travel as remaining time and become deadlines on the receiver's clock.
 */
#ifndef MESSAGE_H
#define MESSAGE_H

#include "error.h"
#include "run.h"
#include "types.h"
#include "view.h"

/** Steps that the home of an endpoint performs on its control connection. */
enum control_op {
	CONTROL_PROBE,	 /**< report the state */
	CONTROL_FENCE,	 /**< promise @a term to @a orderer */
	CONTROL_PROMOTE, /**< become primary of @a term promised to @a orderer */
	CONTROL_FOLLOW,	 /**< replicate from @a target under @a term */
	CONTROL_SET_OWNER, /**< make @a orderer the home, if @a expected holds */
	CONTROL_PROBE_NEW_CONN /**< probe over a connection opened for this alone */
};

/** An ordered control step; the same step may be repeated. */
struct control {
	struct rid nonce; /**< id of the question, echoed in the answer */
	enum control_op op;
	hm_id database;
	hm_id endpoint;
	uint64_t term;
	uint64_t requester; /**< life that orders the step */
	uint64_t
		expected; /**< CONTROL_SET_OWNER: life to be replaced, 0 for none */
	hm_id target;	  /**< CONTROL_FOLLOW: endpoint to follow */
};

/** The final answer to a request. */
struct result {
	struct rid id;
	enum error error;
	enum execution execution;
	hm_time retry_at;    /**< when to come back, 0 if not applicable */
	hm_time valid_until; /**< acknowledge before this; HM_NEVER: always */
	hm_id database;
	hm_id endpoint;
	struct log_pos at; /**< session mark to hand out, term 0 for none */
	bool unsure;	   /**< later reads of the session must be careful */
	bool reset_floor;  /**< replace the session mark by @a at */
	struct tx_id tx;   /**< transaction opened or used */
	uint64_t body;	   /**< rows or database error, 0 for none */
	hm_time age_bound; /**< upper bound of the age of the data read */
};

enum message_kind {
	MSG_HEARTBEAT,
	MSG_STATEMENT,
	MSG_RESULT,
	MSG_ABANDON,
	MSG_CONTROL,
	MSG_STATE,
	MSG_RATE_REQUEST,
	MSG_RATE_GRANT,
	MSG_CONTRACT,
	MSG_CONTRACT_WANT,
	MSG_DATABASE, /**< a group as configured, in answer to a want */
	MSG_RUN,      /**< a statement of a session, to the home of a member */
	MSG_RUN_RESULT, /**< what came of it */
	MSG_RELEASE,	/**< the transaction of a session is given up */
	MSG_VIEW_WANT,	/**< asks the keeper of a service for its view */
	MSG_VIEW,
	MSG_DOCUMENT_WANT, /**< asks for a configuration document */
	MSG_DOCUMENT,
	MSG_KIND_COUNT
};

/** Sent to every peer at a fixed pace. */
struct heartbeat {
	hm_id instance;
	uint16_t zone;
	bool leaving;
	bool stopped;		 /**< last message: all state is given up */
	bool platform_ok;	 /**< the platform answered lately */
	uint64_t config_version; /**< highest contract version in force */
	uint64_t config_digest;	 /**< over all (account, version) pairs */
	uint64_t echo;		 /**< receiver's last sequence number */
	bool issues_tokens; /**< tokens of rates: it has run for long enough */
	hm_time store_read_ago; /**< since it or a peer read the store */
	uint64_t store_era;	/**< newest one of the store that it knows */
	struct store_version members; /**< its list of members */
};

/** A statement sent to the home of @a endpoint. */
struct statement_forward {
	struct statement statement; /**< deadline: remaining time on the wire */
	hm_id endpoint;
	uint64_t term; /**< writes: term that the sender takes as current */
	uint64_t to;   /**< life that it is meant for */
	uint64_t
		receiver_seq; /**< newest message of the receiver known to the sender */
};

/** State of an endpoint: broadcast by its home, or answer to a control. */
struct state_report {
	struct rid nonce; /**< seq 0: broadcast */
	struct endpoint_state state;
	uint32_t queued; /**< statements waiting at the home */
	uint32_t free_slots;
	hm_time wait; /**< expected wait of a new statement */
	hm_time age; /**< bound on the age of its data, 0 or HM_NEVER: unknown */
};

/** Asks for, or grants, requests of an account's rate. */
struct rate_tokens {
	struct rid nonce; /**< id of the question, echoed in the grant */
	hm_id account;
	uint32_t tokens;
	hm_time valid; /**< grant: usable until question sent + valid */
	uint64_t contract_version;
};

/** A transaction that is open or queued at a member is given up. */
struct tx_release {
	struct rid tx;
	hm_id endpoint;
};

/** Kinds of documents that instances pass on to one another. */
enum document_kind { DOCUMENT_CONFIG, DOCUMENT_MEMBERS, DOCUMENT_KIND_COUNT };

/** A document as the platform holds it. */
struct document {
	enum document_kind kind;
	struct store_version version; /**< asked for: anything newer; of a
					   configuration the revision alone */
	uint32_t bytes;
	char *data; /**< owned, NULL in a question */
};

/** One message; owns what its pointers point to. */
struct message {
	enum message_kind kind;
	uint64_t from; /**< life of the sender */
	uint64_t seq;  /**< grows by one with each message of a life */
	union {
		struct heartbeat heartbeat;
		struct statement_forward statement;
		struct result result;
		struct rid abandon;
		struct control control;
		struct state_report state;
		struct rate_tokens rate;
		struct contract *contract;
		struct database_spec *database;
		hm_id contract_want; /**< account, 0 for all */
		struct run_order *run;
		struct run_result *ran;
		struct tx_release release;
		struct view_want view_want;
		struct service_view *view;
		struct document document;
	};
};

/** Copies a message with what it owns; false when memory is short. */
bool message_copy(struct message *to, const struct message *from);
/** Frees what a message owns and zeroes it. */
void message_clear(struct message *m);

#endif
