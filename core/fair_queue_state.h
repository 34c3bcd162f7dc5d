/**
 * @file fair_queue_state.h
 * Internals of a fair queue, shared by fair_queue.c (accounts, queues and
 * charges), fair_queue_order.c (choice of the next statement) and
 * fair_queue_cost.c (estimates).
 */
#ifndef FAIR_QUEUE_STATE_H
#define FAIR_QUEUE_STATE_H

#include "fair_queue.h"
#include "table.h"

#define WEIGHT_SCALE 1024
#define USE_SPAN HM_SEC /* time in which recent use decays to 0 */
/* The least urgent waiting level gets 1/16 of the slot time. */
#define FLOOR_PARTS 16

struct queue_node {
	struct queue_item item;
	struct queue_node *next;
};

struct queue {
	struct queue_node *first;
	struct queue_node **last;
	uint32_t count;
	hm_time used;	  /* slot time charged to this class */
	hm_time cost;	  /* expected slot time of one statement */
	hm_time low_cost; /* low estimate: falls at once, rises slowly */
};

/* The queues of one account at one level. */
struct flow_level {
	struct queue queues[QUEUE_CLASSES];
	hm_time class_time; /* slot time charged to the class served last */
	hm_time recent;	    /* recent slot time, decays over USE_SPAN */
	hm_time recent_at;
};

/* The queues of one account, and the slot time that it used. */
struct flow {
	hm_id account;
	uint32_t weight;
	uint32_t count;
	uint32_t running;
	int64_t virtual_time; /* slot time charged, divided by the weight */
	/* NULL for a level of which the account never had a statement. */
	struct flow_level *levels[PRIORITY_LEVELS];
};

struct fair_queue {
	struct flow **flows;
	uint32_t flow_count;
	uint32_t flow_capacity;
	struct table by_account;
	int64_t virtual_time; /* where an account that was idle starts */
	uint32_t count;
	uint32_t running;
	uint32_t class_count[QUEUE_CLASSES];
	uint32_t level_count; /* 0 or 1: levels are ignored */
	uint32_t levels_seen; /* levels of all statements so far, as bits */
	uint32_t slots;
	queue_filter allows; /* NULL: all accounts */
	void *allows_context;
	uint32_t waiting[PRIORITY_LEVELS];
	/* Statements of a level arrived in the second before this time. */
	hm_time active_until[PRIORITY_LEVELS];
	/* Slot time that the floor still owes to the least urgent level. */
	hm_time owed;
	/* Cost of a statement of any account; 0: not known. */
	hm_time typical[PRIORITY_LEVELS][QUEUE_CLASSES];
};

/* What a fair queue serves next. */
struct queue_choice {
	struct flow *flow;
	struct flow_level *at;
	struct queue *queue;
	uint32_t level;
	enum floor_use floor;
};

/*
 * Whether statements are served by level. As long as all had the same level,
 * they are served by account alone.
 */
static inline bool has_levels(const struct fair_queue *fq)
{
	return fq->level_count > 1 && (fq->levels_seen & (fq->levels_seen - 1));
}

struct flow *flow_find(const struct fair_queue *fq, hm_id account);
/* Unlinks and frees the node that *link points to. */
void queue_remove(struct fair_queue *fq, struct flow *f, struct queue *q,
		  struct queue_node **link, struct queue_item *out);

/* Recent slot time of an account at @a level. */
hm_time flow_level_use(const struct flow *f, uint32_t level, hm_time now);
/* Recent slot time of an account at the levels from 0 up to @a level. */
hm_time flow_use(const struct flow *f, uint32_t level, hm_time now);
/* Sum of the weights of the accounts with queued statements. */
uint64_t queued_weights(const struct fair_queue *fq);
/*
 * Level by which a statement is served: the least urgent one that waits if its
 * account used more than its fair share for statements of @a level and of more
 * urgent ones, @a level otherwise.
 * @param weights sum of the weights of the accounts that share the slots
 */
uint32_t flow_served_level(const struct fair_queue *fq, const struct flow *f,
			   uint32_t level, uint64_t weights, hm_time now);
/* The least urgent level with queued statements, 0 when there are none. */
uint32_t least_waiting(const struct fair_queue *fq);

/* Chooses the next statement; false when none may start. */
bool queue_choose(const struct fair_queue *fq, uint32_t allowed, bool last,
		  hm_time now, struct queue_choice *out);

#endif
