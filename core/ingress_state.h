/**
 * @file ingress_state.h
 * Inside of the entry side, shared by ingress.c (life of a request) and
 * ingress_filters.c (its way to an endpoint) only.
 */
#ifndef INGRESS_STATE_H
#define INGRESS_STATE_H

#include "ingress.h"

/** Retry advice when nothing more exact is known. */
#define RETRY_AFTER (200 * HM_MS)

/** Where a request stands: index into the table of filters. */
enum stage {
	STAGE_AUTHENTICATE,
	STAGE_PERMIT,
	STAGE_ADMIT,
	STAGE_ROUTE,
	STAGE_AWAIT
};

struct pending {
	bool used;
	enum stage stage;
	struct statement statement;
	endpoint_set tried;
	uint32_t attempts;
	hm_id endpoint; /* STAGE_AWAIT: where it was sent */
	uint64_t owner; /* life it was sent to */
	uint64_t term;	/* of the group when it was sent */
	hm_time resend_at;
	hm_time route_at; /* STAGE_ROUTE: next try */
	bool wait_logged;
	bool may_have_run; /* an attempt has an unknown outcome */
	bool confirming;   /* the answer is here, its proof is made anew */
	enum error error;  /* what to say when the deadline comes */
};

struct ingress {
	struct pending *list;
	uint32_t capacity;
	uint32_t count;
	struct table by_seq;
};

/** What a filter decides about a request. */
enum verdict { VERDICT_NEXT, VERDICT_WAIT, VERDICT_DONE };

/** Answers a request and forgets it. */
void ingress_answer(struct core *c, struct pending *p, const struct result *r,
		    struct actions *actions);
/** Answers with an error that is true of a request that did not run. */
enum verdict ingress_refuse(struct core *c, struct pending *p, enum error error,
			    hm_time retry_at, struct actions *actions);
/** Takes a request on from its stage until it waits or is answered. */
void ingress_run_filters(struct core *c, struct pending *p, hm_time now,
			 struct actions *actions);
/** Sends the order to the chosen home, for the first time or again. */
void ingress_forward(struct core *c, struct pending *p, hm_time now,
		     struct actions *actions);

#endif
