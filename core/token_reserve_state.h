/**
 * @file token_reserve_state.h
 * Private state of the token reserves, shared by token_reserve.c (the object of
 * this instance) and token_claim.c (claims, and when a bucket is settled).
 */
#ifndef TOKEN_RESERVE_STATE_H
#define TOKEN_RESERVE_STATE_H

#include "rate_state.h"
#include "token_reserve.h"

/* Claimed tokens expire after this time, counted from the claim's write. */
#define CLAIM_VALID (5 * HM_SEC)

/* The call that was made last and is not answered yet. */
enum reserve_step {
	STEP_NONE,
	STEP_START_READ,  /* own object, when this process starts */
	STEP_START_WRITE, /* own object without the reserves claimed from it */
	STEP_WRITE,	  /* own object with changed reserves */
	STEP_LIST,	  /* all objects */
	STEP_CLAIM	  /* object of another instance */
};

/* Tokens claimed; the account's contract may not be known yet. */
struct claim {
	hm_id account;
	uint32_t tokens;
	hm_time until;
	bool own;
};

/* A conditional write that removes reserves from an object. */
struct removal {
	struct reserve_object found; /* the object as it was read last */
	struct reserve_object claimed;
	uint64_t sequence; /* of the write, 0: not sent yet */
	hm_time sent_at;   /* when it was sent first */
};

struct token_reserve {
	const struct core_options *options;
	struct rate *rate;
	const struct peers *peers;
	hm_time started_at;
	hm_time call_at;   /* no call before, since the store did not answer */
	hm_time raised_at; /* last write that raised a reserve */
	enum reserve_step step;
	bool started;	   /* own object was written by this process */
	bool may_claim;	   /* from it, at the start only */
	uint64_t era;	   /* of the store, when it answered last */
	uint64_t revision; /* of the own object */
	uint64_t sequence; /* of the last write to any object */
	struct removal removal;
	bool removing;		      /* from the object of another instance */
	struct reserve_object *queue; /* objects to remove reserves from */
	uint32_t queue_count;
	uint32_t queue_capacity;
	uint64_t round; /* settlements begun */
	bool settling;	/* the last one has not ended */
	struct claim *claims;
	uint32_t claim_count;
	uint32_t claim_capacity;
	struct token_reserve_counters counters;
};

/* token_reserve.c */

/** Sends a call; @a content is copied. */
void reserve_call(struct token_reserve *t, enum reserve_step step,
		  enum reserve_call_kind kind,
		  const struct reserve_object *content,
		  struct proxy_output *out);
/** Starts again with the object of this instance, after a change of the era. */
void reserve_restart(struct token_reserve *t, uint64_t era, hm_time now,
		     struct proxy_output *out);
/** Delays the next call, since the store did not answer. */
void reserve_delay(struct token_reserve *t, hm_time now);

/* token_claim.c */

/** Whether a settlement is to begin. */
bool claim_round_due(const struct token_reserve *t, hm_time now);
/** Begins a settlement: lists the objects in the store. */
void claim_begin_round(struct token_reserve *t, struct proxy_output *out);
void claim_listed(struct token_reserve *t, const struct reserve_answer *a);
/** Removes the claimed reserves from the next object, or ends the settlement.*/
void claim_next(struct token_reserve *t, hm_time now, struct proxy_output *out);
/** Handles the answer to STEP_CLAIM. */
void claim_answer(struct token_reserve *t, const struct reserve_answer *a,
		  hm_time now, struct proxy_output *out);
/** Begins to remove all reserves from the own object, as it was found. */
void claim_own(struct token_reserve *t, const struct reserve_object *found);
/** Sends the write of the removal, again if it was sent before. */
void claim_send(struct token_reserve *t, enum reserve_step step, hm_time now,
		struct proxy_output *out);
/** Whether the object read shows that the write of the removal took effect. */
bool claim_took_effect(const struct token_reserve *t,
		       const struct reserve_object *read);
/** Keeps the tokens of a removal that took effect. */
void claim_keep(struct token_reserve *t, bool own, struct proxy_output *out);
/** Gives the claimed tokens to the buckets of accounts that are known now. */
void claim_apply(struct token_reserve *t, hm_time now);
/** Drops an unfinished settlement. */
void claim_abort(struct token_reserve *t);

#endif
