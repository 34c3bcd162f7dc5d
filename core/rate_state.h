/**
 * @file rate_state.h
 * Private state of the rate limiter, shared by rate_issue.c (issues the share
 * of this zone where this instance is the owner) and rate.c (requests tokens
 * from owners and uses them).
 */
#ifndef RATE_STATE_H
#define RATE_STATE_H

#include "rate.h"
#include "table.h"

#define TOKEN ((int64_t)1000000) /* levels are in millionths of a token */
#define BATCHES_MAX 16

/* Unused tokens of one grant. */
struct token_batch {
	uint32_t tokens;
	hm_time expires_at;
};

/*
 * The arrays below have one element per urgency level. While all operations
 * are alike (rate_level_count() is 1), only element 0 is used.
 */

/* Token requests for one account to the owner of one zone. */
struct source {
	uint64_t seq; /* number of the unanswered request, 0 for none */
	uint32_t requested;
	uint32_t wanted[PRIORITY_LEVELS]; /* parts of requested */
	hm_time requested_at;
	hm_time retry_after[PRIORITY_LEVELS];
	/* Grants of too few tokens, or missing answers, in a row. */
	uint32_t failures[PRIORITY_LEVELS];
	hm_time backoff; /* pause after the last missing answer */
};

/* Decaying average of a number of tokens per second. */
struct rate_decay {
	int64_t rate; /* in millionths per second */
	hm_time at;   /* last update of rate */
};

/* What the owner of a bucket knows of the demand for its tokens. */
struct rate_wanted {
	struct rate_decay rate[PRIORITY_LEVELS];
	/* Until then the level counts as one that requests tokens. */
	hm_time until[PRIORITY_LEVELS];
	/* Part of the bucket that is kept for the least urgent level. */
	int64_t floor;
	hm_time floor_at; /* time up to which floor was refilled */
};

/* Part of a bucket that is recorded in the store, see token_reserve.h. */
struct bucket_reserve {
	uint32_t recorded; /* tokens, as last read from the store */
	/* Most tokens in writes that may still take effect. */
	uint32_t unconfirmed;
	hm_time full_since; /* HM_NEVER: is below three quarters */
	hm_time half_until; /* the capacity is half until then */
	int64_t capacity;   /* at the last refill */
	uint64_t round;	    /* settlement that includes this ownership */
	hm_id previous;	    /* instance that issued before, 0: not known */
	bool first;	    /* no earlier issuer was known to this process */
	bool skipped;	    /* others have followed an issuer before this one */
	uint32_t claimed;   /* tokens claimed and not used yet */
	hm_time claimed_until;
	bool claimed_own; /* from the object of this instance */
};

struct quota {
	hm_id account;
	bool live; /* false: the contract was withdrawn */
	uint32_t rate;
	struct rate_share share; /* the share that this zone issues */
	/* Result of peers_generation() at the last update of owner. */
	uint64_t generation;
	/* Incarnation that owns the account in this zone, 0 for none. */
	uint64_t owner;
	bool owned;	   /* this instance is the owner */
	int64_t level;	   /* fill level of the bucket, when owned */
	hm_time filled_at; /* time up to which level was refilled */
	/*
	 * There was no earlier owner, and the tokens of the startup wait are
	 * not issued yet.
	 */
	bool first_owner;
	struct bucket_reserve reserve;
	struct token_batch granted[BATCHES_MAX];
	uint32_t granted_count;
	struct source *sources; /* one per zone */
	struct contract *contract;
	int64_t usage_rate; /* tokens used here, millionths per second */
	hm_time usage_at;   /* last update of usage_rate */
	uint32_t waiting[PRIORITY_LEVELS];	/* statements without a token */
	hm_time waiting_since[PRIORITY_LEVELS]; /* HM_NEVER when none wait */
	struct rate_decay used[PRIORITY_LEVELS];    /* tokens used here */
	struct rate_decay arrived[PRIORITY_LEVELS]; /* statements, here */
	hm_time scarce_until;	   /* until then tokens are reserved by level */
	struct rate_wanted wanted; /* at the owner: demand of all instances */
};

struct rate {
	const struct core_options *options;
	const struct peers *peers;
	struct quota *list;
	uint32_t count;
	uint32_t capacity;
	struct table by_account;
	uint32_t level_count; /* see rate_set_levels() */
	uint64_t next_seq;
	hm_time last_at;
	/* This instance issues no tokens before this time. */
	hm_time issue_after;
	/* Determines the part of the zone's shares that is issued here. */
	struct zone_reach reach;
	/* Buckets have reserves in the store; see token_reserve_new(). */
	bool reserves;
};

struct quota *rate_find(const struct rate *r, hm_id account);
/** Drops the granted tokens that have expired. */
void rate_drop_expired(struct quota *q, hm_time now);
/** Adds granted tokens to the account's batches. */
void rate_add_batch(struct quota *q, uint32_t tokens, hm_time expires_at);
/** Lets the usage rates decay up to @a now. */
void rate_decay_usage(struct quota *q, hm_time now);
/** Number of statements of all levels that wait for a token. */
uint32_t rate_waiting(const struct quota *q);

/* rate_request.c */

/** Requests the missing tokens, from the own zone first. */
void rate_request_tokens(struct rate *r, struct quota *q, hm_time now,
			 struct actions *actions);
/** Takes the tokens of a grant and requests those that are still missing. */
void rate_receive_grant(struct rate *r, const struct message *m, hm_time now,
			struct actions *actions);
/** Whether the owner of a zone is not expected to grant tokens soon. */
bool rate_source_exhausted(const struct rate *r, const struct quota *q,
			   uint16_t zone, uint32_t level, hm_time now);

/* rate_demand.c */

/** Updates and returns the average over @a window. */
int64_t rate_decay_get(struct rate_decay *d, hm_time window, hm_time now);
void rate_decay_add(struct rate_decay *d, hm_time window, uint32_t count,
		    hm_time now);
/** Records that tokens of the account are scarce now. */
void rate_note_scarce(struct quota *q, hm_time now);
/** Records a statement of this instance. */
void rate_note_arrival(const struct rate *r, struct quota *q, uint32_t level,
		       hm_time now);
/** Rate at which statements more urgent than a level arrive here. */
int64_t rate_arriving(const struct quota *q, uint32_t level, hm_time now);
/** Records, at the owner, that @a count tokens are requested. */
void rate_note_wanted(struct quota *q, uint32_t level, uint32_t count,
		      hm_time now);
/**
 * Tokens to leave at this instance for more urgent statements that are expected
 * soon; 0 while the tokens are not scarce.
 */
int64_t rate_local_reserve(const struct rate *r, const struct quota *q,
			   uint32_t level, hm_time now);
/**
 * Part of the owned bucket, in millionths of a token, that statements of a
 * level may get. The bucket must be refilled.
 */
int64_t rate_issuable(const struct rate *r, struct quota *q, uint32_t level,
		      hm_time now);
/** Records that tokens of the owned bucket went to a level. */
void rate_issued(const struct rate *r, struct quota *q, uint32_t level,
		 int64_t tokens, hm_time now);
/**
 * Takes the tokens that the owner grants for a request from the bucket.
 * @return their number
 */
int64_t rate_issue_grant(const struct rate *r, struct quota *q,
			 const struct rate_tokens *request, hm_time now);

/* rate_issue.c */

/**
 * Detects that this process did not run for a while, and then drops its
 * ownership of all accounts and restarts the wait before it issues tokens.
 */
void rate_detect_pause(struct rate *r, hm_time now);
/**
 * Updates which part of the zone's shares this instance issues where it is the
 * owner: the part of the zone's instances that it hears. Two owners that do not
 * hear each other so issue no more than the share between them.
 */
void rate_update_reach(struct rate *r, hm_time now);
/** Capacity of the bucket of a zone share, in millionths of a token. */
int64_t rate_capacity(const struct rate_share *share);
/**
 * Recomputes the owner of the account in this zone when the set of live peers
 * has changed.
 */
void rate_update_owner(const struct rate *r, struct quota *q, hm_time now);
/**
 * Updates ownership and, when this instance is the owner, refills the bucket.
 * @return whether this instance is the owner
 */
bool rate_refill(const struct rate *r, struct quota *q, hm_time now);
/**
 * Tokens that the reserve of a bucket has: half of its capacity, or 0 for a
 * small bucket.
 */
uint32_t rate_reserve_size(const struct rate_share *share);
/**
 * Tokens that may be issued now, in millionths: claimed ones, and when this
 * instance is the owner those of the bucket above its reserve.
 */
int64_t rate_available(const struct rate *r, struct quota *q, hm_time now);
/** Subtracts @a tokens, of those available. */
void rate_spend(struct quota *q, uint32_t tokens);
/**
 * Whether all instances of this zone started together with this process, so
 * far as it has heard of them.
 */
bool rate_zone_started_together(const struct rate *r);
/** Takes a token from the bucket that this instance owns, when there is one. */
bool rate_take_own(const struct rate *r, struct quota *q, hm_time now);
/** Answers a token request of a peer with a grant, also when it is empty. */
void rate_answer_request(struct rate *r, const struct message *m, hm_time now,
			 struct actions *actions);

#endif
