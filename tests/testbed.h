/**
 * @file testbed.h
 * Three proxies with group, verify and failover over the modelled members of
 * one database group. Packets wait in a bag until somebody delivers, drops or
 * repeats them; every answer is checked against what the members hold.
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
	PACKET_CONTROL_FORWARD, /**< proxy to proxy: control step */
	PACKET_REPORT,		/**< proxy to proxy: state of a member */
	PACKET_CONTROL,		/**< proxy to member */
	PACKET_CONTROL_REPLY,	/**< member to proxy: answer to a step */
	PACKET_STATEMENT,	/**< entry to home: statement */
	PACKET_EXECUTE,		/**< home to member */
	PACKET_DONE,		/**< member to home: answer */
	PACKET_RESULT,		/**< home to entry */
	PACKET_ANSWER		/**< from the entry to the caller */
};

/** A statement on its way, with what it saw. */
struct tracked {
	struct home_ended ended;
	uint32_t session;
	uint64_t write;	   /**< number of the write, 0 for a read */
	uint64_t snapshot; /**< bits of the writes in the log it worked on */
	bool floor_exists; /**< its floor was no lost one then */
	uint64_t term;	   /**< that the entry takes as current */
	uint64_t acked;	   /**< writes acknowledged when it was sent */
	struct verified verified;
};

struct packet {
	enum packet_kind kind;
	uint64_t number; /**< grows with each packet sent */
	hm_time due;	 /**< not delivered by testbed_pass() before */
	uint32_t from;	 /**< node: proxies first, then members */
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
	hm_time skew; /**< of its clock */
	bool paused;
	bool owns[FAKE_MEMBERS];
	bool rechecking[FAKE_MEMBERS];
	hm_time probe_at;
	uint64_t seq;
	uint64_t nonce;
	struct dedup_table served; /**< tracked taken as a home */
	struct tracked
		tracked[TESTBED_STATEMENTS]; /**< by number of the statement */
};

/** A caller that roams. */
struct session {
	struct log_pos floor;
	uint64_t must_see; /**< bits of writes acknowledged or shown to it */
	bool unsure;
	uint64_t pending; /**< statement that it has out, 0 for none */
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
	uint64_t acked;	  /**< bits of acknowledged writes not lost since */
	uint64_t durable; /**< bits of those that no failover may lose */
	uint64_t ran;	  /**< bits of writes that a member has run */
	uint64_t refused; /**< bits of those of which "not run" was said */
	hm_time acked_at[TESTBED_WRITES + 1];
	uint64_t promoted;     /**< newest term already checked */
	const char *violation; /**< first broken rule, NULL for none */
	uint64_t answered;
	uint64_t acks;
	uint64_t acks_limited; /**< acknowledged by a standing majority */
	uint64_t reads_replica;
	uint64_t lost; /**< answers that reported a lost write */
	uint64_t unknown;
	uint64_t promotions;
	struct actions actions;
	hm_time started_at; /**< origin of the times in the log */
	GString *log;	    /**< decisions, when set */
	uint32_t replies_to_lose[CONTROL_PROBE_NEW_CONN +
				 1]; /**< answers to lose, by step */
	bool slow_failures;	    /**< lost endpoints use up the time limit */
	bool lagging[FAKE_MEMBERS]; /**< ships no log to this member */
	bool run_twice[CONTROL_PROBE_NEW_CONN + 1]; /**< steps arrive twice */
	bool blocked[CONTROL_PROBE_NEW_CONN + 1]
		    [FAKE_MEMBERS]; /**< steps get lost */
};

/** @a limits NULL: short ones, so that a walk gets far in few steps. */
void testbed_init(struct testbed *b, uint64_t seed, uint32_t guards_off,
		  const struct core_options *limits);
void testbed_free(struct testbed *b);
void testbed_advance(struct testbed *b, hm_time duration);
/** Time passes in ticks; packets arrive in the order of their sending. */
void testbed_pass(struct testbed *b, hm_time time);
void testbed_tick(struct testbed *b, uint32_t proxy);
/** Delivers packet number @a index of the bag. */
void testbed_deliver(struct testbed *b, uint32_t index);
/** Sends a packet between nodes; the caller fills it in. */
struct packet *testbed_put(struct testbed *b, enum packet_kind kind,
			   uint32_t from, uint32_t to);
void testbed_drop(struct testbed *b, uint32_t index);
void testbed_repeat(struct testbed *b, uint32_t index);
/** Cuts or heals the link between two nodes. */
void testbed_cut(struct testbed *b, uint32_t a, uint32_t c, bool cut);
bool testbed_linked(const struct testbed *b, uint32_t a, uint32_t c);
/** A caller's statement at a proxy; false when it was routed nowhere. */
bool testbed_write(struct testbed *b, uint32_t session, uint32_t proxy);
bool testbed_read(struct testbed *b, uint32_t session, uint32_t proxy,
		  hm_time max_age);
/** @a proxy takes over a member whose home it takes for dead. */
void testbed_take_ownership(struct testbed *b, uint32_t proxy, uint32_t member);
uint64_t testbed_incarnation(uint32_t proxy);
uint32_t testbed_proxy_of(uint64_t incarnation);
/** Time on the clock of a proxy. */
hm_time testbed_local_time(const struct testbed *b, uint32_t proxy);

/** A member is about to run a write. */
void testbed_check_run(struct testbed *b, uint64_t write);
/** A home says of a write that it was not run. */
void testbed_check_refusal(struct testbed *b, uint64_t write);
/** A member was promoted: nothing kept for good may be missing there. */
void testbed_check_promotion(struct testbed *b);
/** A read is about to be answered. */
void testbed_check_read(struct testbed *b, const struct tracked *o);
/** What the caller learns from an answer. */
void testbed_session_answer(struct testbed *b, const struct tracked *o);
/** An answer leaves @a proxy for the caller. */
void testbed_log_answer(struct testbed *b, const struct tracked *o);
void testbed_receive_answer(struct testbed *b, uint32_t proxy,
			    struct tracked *o);

#endif
