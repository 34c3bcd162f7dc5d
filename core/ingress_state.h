/**
 * @file ingress_state.h
 * Internals of the ingress module, shared only by ingress.c (requests, retries
 * and answers) and ingress_filters.c (choice of an endpoint).
 */
#ifndef INGRESS_STATE_H
#define INGRESS_STATE_H

#include "ingress.h"

/** Retry delay sent to clients when there is no better estimate. */
#define RETRY_AFTER (200 * HM_MS)

/** Current stage of a request: index into the table of filters. */
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
	hm_id endpoint; /* STAGE_AWAIT: target of the statement */
	uint64_t owner; /* incarnation that the statement was sent to */
	uint64_t term;	/* term of the group when it was sent */
	hm_time resend_at;
	hm_time route_at; /* STAGE_ROUTE: time of the next attempt */
	bool wait_logged;
	bool may_have_run; /* the outcome of some attempt is unknown */
	bool confirming;   /* verify_reconfirm() is checking the result */
	enum error error;  /* error to return at the deadline */
};

struct ingress {
	struct pending *list;
	uint32_t capacity;
	uint32_t count;
	struct table by_seq;
};

/**
 * Result of a filter: the next filter runs, the request waits at this stage, or
 * it was answered and removed.
 */
enum verdict { VERDICT_NEXT, VERDICT_WAIT, VERDICT_DONE };

/** Answers a request and removes it. */
void ingress_answer(struct core *c, struct pending *p, const struct result *r,
		    struct actions *actions);
/**
 * Answers a request with @a error and the execution (run, not run, unknown)
 * that error_answer() gives for it. @a retry_at: when the client may retry, or
 * 0. Returns VERDICT_DONE.
 */
enum verdict ingress_refuse(struct core *c, struct pending *p, enum error error,
			    hm_time retry_at, struct actions *actions);
/** Runs filters from the current stage until the request waits or is done. */
void ingress_run_filters(struct core *c, struct pending *p, hm_time now,
			 struct actions *actions);
/**
 * Sends the statement to the owner of the chosen endpoint, for the first time
 * or again because the owner has not answered.
 */
void ingress_forward(struct core *c, struct pending *p, hm_time now,
		     struct actions *actions);

#endif
