/**
 * @file rate_state.h
 * Inside of the rates, shared by rate_mint.c (the part that this zone mints,
 * at its owner) and rate.c (tokens drawn and held).
 */
#ifndef RATE_STATE_H
#define RATE_STATE_H

#include "rate.h"
#include "table.h"

#define TOKEN ((int64_t)1000000) /* levels are in millionths of a token */
#define HELD_MAX 16

/* Tokens of one grant. */
struct held {
	uint32_t tokens;
	hm_time expires_at;
};

/* Owner of one zone, as seen by one account's asker. */
struct source {
	uint64_t seq; /* of the question in flight, 0 for none */
	uint32_t asked;
	hm_time asked_at;
	hm_time dry_until;
	hm_time silence; /* length of the next pause after no answer */
};

struct quota {
	hm_id account;
	bool live;
	uint32_t rate;
	struct rate_part part; /* minted by this zone */
	uint64_t generation;   /* of the peers when ownership was decided */
	uint64_t owner;	       /* last one known, 0 for none */
	bool owned;
	int64_t level;
	hm_time filled_at;
	bool since_start; /* nobody owned it before this process did */
	struct held held[HELD_MAX];
	uint32_t held_count;
	struct source *sources; /* one per zone */
	struct contract *contract;
	int64_t pace; /* millionths of a token taken per second */
	hm_time paced_at;
	uint32_t waiting;
	hm_time waiting_since; /* HM_NEVER when nothing waits */
};

struct rate {
	const struct core_options *options;
	const struct peers *peers;
	struct quota *list;
	uint32_t count;
	uint32_t room;
	struct table by_account;
	uint64_t next_seq;
	hm_time last_at;
	hm_time mint_after; /* this instance owns nothing before */
};

struct quota *rate_find(const struct rate *r, hm_id account);

/* rate_mint.c */

/** Notices that this instance did not run for a while: it owns nothing. */
void rate_notice_pause(struct rate *r, hm_time now);
/** Most that the bucket of a part holds, in millionths of a token. */
int64_t rate_capacity(const struct rate_part *part);
/** Decides anew whether this instance owns the account in its zone. */
void rate_decide_owner(const struct rate *r, struct quota *q, hm_time now);
/** Brings ownership and level up to now; true when tokens may be minted. */
bool rate_mint(const struct rate *r, struct quota *q, hm_time now);
/** Takes a token of the own bucket. */
bool rate_take_minted(const struct rate *r, struct quota *q, hm_time now);
/** Answers MSG_RATE_REQUEST. */
void rate_take_want(struct rate *r, const struct message *m, hm_time now,
		    struct actions *actions);

#endif
