/**
 * @file testbed.h
 * Simulation of three proxies, each with the modules group, verify and
 * failover, and of the members of one database group (fakes.h). Packets stay in
 * flight until the test delivers, drops or repeats them. Every answer to a
 * client is checked against the members' logs.
 */
#ifndef TESTBED_H
#define TESTBED_H

#include <glib.h>

#include "../core/dedup.h"
#include "../core/failover.h"
#include "../core/rng.h"
#include "../core/verify.h"
#include "fakes.h"

#define TESTBED_DATABASE 77
#define TESTBED_PROXIES 3
#define TESTBED_NODES (TESTBED_PROXIES + FAKE_MEMBERS)
#define TESTBED_PACKETS 96
#define TESTBED_SESSIONS 6
#define TESTBED_WRITES 60
#define TESTBED_STATEMENTS 240

enum packet_kind {
	PACKET_CONTROL_FORWARD, /**< proxy to owner: control command */
	PACKET_REPORT,		/**< proxy to proxy: state of a member */
	PACKET_CONTROL,		/**< owner to member: control command */
	PACKET_CONTROL_REPLY,	/**< member to owner: reply to a command */
	PACKET_STATEMENT,	/**< ingress to owner: statement */
	PACKET_EXECUTE,		/**< owner to member: statement */
	PACKET_DONE,		/**< member to owner: end of a statement */
	PACKET_RESULT,		/**< owner to ingress: result */
	PACKET_ANSWER		/**< ingress to client: answer */
};

/** A statement and its result, with what the checks need to know. */
struct tracked {
	struct executor_result ended;
	uint32_t session;
	uint64_t write; /**< number of the write, 0 for a read */
	/** bit set of the writes in the member's log when the statement ran */
	uint64_t snapshot;
	/**
	 * The log record at the floor, the lowest log position that the
	 * statement must see, still existed when the statement ran.
	 */
	bool floor_exists;
	uint64_t term;	/**< current term according to the ingress */
	uint64_t acked; /**< bits of writes acknowledged before sending */
	struct verified verified;
};

struct packet {
	enum packet_kind kind;
	uint64_t number; /**< number of the packet in the order of sending */
	hm_time due;	 /**< earliest delivery by testbed_pass() */
	uint32_t from;	 /**< index of a node: proxies first, then members */
	uint32_t to;
	union {
		struct control command;
		struct state_report report;
		struct tracked tracked;
	};
};

struct proxy {
	struct core_options options;
	struct peers *peers;
	struct group *group;
	struct verify *verify;
	struct failover *failover;
	hm_time skew; /**< offset of the proxy's clock */
	bool paused;
	bool owns[FAKE_MEMBERS];
	bool rechecking[FAKE_MEMBERS];
	hm_time probe_at;
	uint64_t seq;
	uint64_t nonce;
	struct dedup_table served; /**< statements accepted as owner */
	struct tracked tracked[TESTBED_STATEMENTS]; /**< by statement number */
};

/** A client that sends each statement to any proxy. */
struct session {
	struct log_pos own_commit;
	uint64_t must_see; /**< bits of writes acknowledged to it or read */
	bool unsure;
	uint64_t pending; /**< number of its open statement, 0 for none */
};

struct testbed {
	struct rng rng;
	hm_time now;
	struct fakes fakes;
	struct proxy proxies[TESTBED_PROXIES];
	bool cut[TESTBED_NODES][TESTBED_NODES];
	struct packet in_flight[TESTBED_PACKETS];
	uint32_t in_flight_count;
	struct session sessions[TESTBED_SESSIONS];
	uint64_t packets_sent;
	uint64_t statements;
	uint64_t writes;
	uint64_t acked;	  /**< bits of acknowledged writes that still exist */
	uint64_t durable; /**< bits of writes that no failover may lose */
	uint64_t ran;	  /**< bits of writes that some member ran */
	uint64_t refused; /**< bits of writes reported as "not run" */
	hm_time acked_at[TESTBED_WRITES + 1];
	uint64_t promoted;     /**< newest promotion checked so far */
	const char *violation; /**< first broken rule, NULL: none */
	uint64_t answered;
	uint64_t acks;
	uint64_t acks_limited; /**< writes acknowledged without a replica */
	uint64_t reads_replica;
	uint64_t lost; /**< answers with ERR_WRITE_LOST */
	uint64_t unknown;
	uint64_t promotions;
	struct actions actions;
	hm_time started_at; /**< zero point of the times in the log */
	GString *log;	    /**< receives decisions and answers, or NULL */
	/** Number of replies to lose, by control command. */
	uint32_t replies_to_lose[CONTROL_PROBE_NEW_CONN + 1];
	/**
	 * The reply that a member is unreachable reaches the owner only after
	 * the time limit probe_silent instead of at once.
	 */
	bool slow_failures;
	bool lagging[FAKE_MEMBERS]; /**< members that receive no log */
	/** Control commands that arrive twice. */
	bool run_twice[CONTROL_PROBE_NEW_CONN + 1];
	/** Control commands that get lost, by command and member. */
	bool blocked[CONTROL_PROBE_NEW_CONN + 1][FAKE_MEMBERS];
};

/**
 * Initializes a testbed. With @a limits NULL, the time limits are short, so
 * that few steps cover many events.
 */
void testbed_init(struct testbed *b, uint64_t seed, uint32_t guards_off,
		  const struct core_options *limits);
void testbed_free(struct testbed *b);
void testbed_advance(struct testbed *b, hm_time duration);
/** Advances time in ticks; delivers packets in the order of sending. */
void testbed_pass(struct testbed *b, hm_time time);
void testbed_tick(struct testbed *b, uint32_t proxy);
/** Delivers the packet at @a index of in_flight. */
void testbed_deliver(struct testbed *b, uint32_t index);
/** Sends a packet between nodes; the caller fills it in. */
struct packet *testbed_put(struct testbed *b, enum packet_kind kind,
			   uint32_t from, uint32_t to);
void testbed_drop(struct testbed *b, uint32_t index);
void testbed_repeat(struct testbed *b, uint32_t index);
/** Cuts or heals the link between two nodes. */
void testbed_cut(struct testbed *b, uint32_t a, uint32_t c, bool cut);
bool testbed_linked(const struct testbed *b, uint32_t a, uint32_t c);
/** Sends a client's statement to a proxy; false when no member can run it. */
bool testbed_write(struct testbed *b, uint32_t session, uint32_t proxy);
bool testbed_read(struct testbed *b, uint32_t session, uint32_t proxy,
		  hm_time max_age);
/** Makes @a proxy the owner of a member if it considers the owner dead. */
void testbed_take_ownership(struct testbed *b, uint32_t proxy, uint32_t member);
uint64_t testbed_incarnation(uint32_t proxy);
uint32_t testbed_proxy_of(uint64_t incarnation);
/** Time on the clock of a proxy. */
hm_time testbed_local_time(const struct testbed *b, uint32_t proxy);

/** Checks a write that a member runs. */
void testbed_check_run(struct testbed *b, uint64_t write);
/** Checks a write that an owner reports as not run. */
void testbed_check_refusal(struct testbed *b, uint64_t write);
/** Checks after a promotion that the new primary has all durable writes. */
void testbed_check_promotion(struct testbed *b);
/** Checks a read before it is answered. */
void testbed_check_read(struct testbed *b, const struct tracked *o);
/** Updates the session of the client that receives the answer. */
void testbed_session_answer(struct testbed *b, const struct tracked *o);
/** Appends a line about an answer to the log of the testbed. */
void testbed_log_answer(struct testbed *b, const struct tracked *o);
void testbed_receive_answer(struct testbed *b, uint32_t proxy,
			    struct tracked *o);

#endif
