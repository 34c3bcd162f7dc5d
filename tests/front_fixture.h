/**
 * @file front_fixture.h
 * A front on a loop of its own thread, with a scripted instance behind it
 * that records statements and gives planned answers, and HTTP calls to it.
 */
#ifndef FRONT_FIXTURE_H
#define FRONT_FIXTURE_H

#include "../src/front.h"

struct world;

/** Settings with free ports, fixed life 1 and limits for tests. */
void world_settings(struct settings *s);
/** Starts; @a settings are copied. */
struct world *world_new(const struct settings *settings);
void world_free(struct world *w);
/** Result of all following statements; body is JSON or NULL. */
void world_plan(struct world *w, const struct result *plan, const char *body);
/** Following statements get no answer. */
void world_hold(struct world *w);
/** Answers the newest statement now by the plan. */
void world_release(struct world *w);
/**
 * Answers all held statements in an order by @a seed, each with its own body
 * as the rows, after @a padding bytes.
 */
void world_echo(struct world *w, uint64_t seed, size_t padding);
/** Newest statement; false when none came yet. */
bool world_last(struct world *w, struct statement *out);
/** Body of the newest statement, a new string. */
char *world_body(struct world *w);
/** Waits until @a count callers were reported gone; false after 5 s. */
bool world_gone(struct world *w, uint32_t count);
/** Waits for @a count statements in all; false after 5 s. */
bool world_seen(struct world *w, uint32_t count);
/** Answers the newest statement, as if its request were of @a life. */
void world_answer_from(struct world *w, uint64_t life);
/** Requests without an answer. */
uint32_t world_open(struct world *w);
/** Statements so far. */
uint32_t world_count(struct world *w);
void world_stop_front(struct world *w);
/** Account of all keys, 0 for none. */
void world_account(struct world *w, hm_id account);
const char *world_address(const struct world *w, bool operators);

/** One HTTP exchange. */
struct call {
	const char *method; /**< NULL: GET, or POST when there is a body */
	const char *path;
	const char *key;   /**< NULL for none */
	const char *token; /**< NULL for none */
	const char *body;
	bool operators;
	bool http2;
	bool tls;
	long limit_ms; /**< the caller goes away then, 0 for never */
	long status;   /**< 0 when no answer came */
	GString *headers;
	GString *answer;
};

void world_call(struct world *w, struct call *c);
/** Value of an answer's header, a new string, NULL when absent. */
char *call_header(const struct call *c, const char *name);
void call_clear(struct call *c);
/** A connected TCP socket to the callers' listener. */
int world_connect(const struct world *w);

#endif
