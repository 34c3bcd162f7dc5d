/**
 * @file front_fixture.h
 * Test fixture: an HTTP front end whose event loop runs on its own thread, a
 * fake instance that records the statements and answers them as configured,
 * and an HTTP client.
 */
#ifndef FRONT_FIXTURE_H
#define FRONT_FIXTURE_H

#include "../src/front.h"

struct front_fixture;

/** Settings with free ports, incarnation 1 and small limits. */
void front_fixture_settings(struct settings *s);
/** Starts a front end; @a settings are copied. */
struct front_fixture *front_fixture_new(const struct settings *settings);
void front_fixture_free(struct front_fixture *f);
/** Sets the result of all later statements; @a body is JSON or NULL. */
void front_fixture_set_result(struct front_fixture *f,
			      const struct result *result, const char *body);
/** Later statements are recorded but not answered, until the next result. */
void front_fixture_defer(struct front_fixture *f);
/** Answers the newest statement with the result that was set. */
void front_fixture_answer_last(struct front_fixture *f);
/**
 * Answers all deferred statements in a random order derived from @a seed. The
 * rows of each answer are @a padding bytes and then the statement's own body.
 */
void front_fixture_echo_deferred(struct front_fixture *f, uint64_t seed,
				 size_t padding);
/** Returns the newest statement; false if there was none yet. */
bool front_fixture_last_statement(struct front_fixture *f,
				  struct statement *out);
/** Body of the newest statement, a new string. */
char *front_fixture_last_body(struct front_fixture *f);
/** Waits until @a count disconnects were reported; false after 5 s. */
bool front_fixture_wait_disconnects(struct front_fixture *f, uint32_t count);
/** Waits for a total of @a count statements; false after 5 s. */
bool front_fixture_wait_statements(struct front_fixture *f, uint32_t count);
/** Answers the newest statement, with @a incarnation in the request ID. */
void front_fixture_answer_as(struct front_fixture *f, uint64_t incarnation);
/** Number of requests that have not been answered yet. */
uint32_t front_fixture_open_requests(struct front_fixture *f);
/** Number of statements so far. */
uint32_t front_fixture_statements(struct front_fixture *f);
/** Calls front_stop() for the front end of the fixture. */
void front_fixture_stop(struct front_fixture *f);
/** Sets the account of all API keys, 0 for none. */
void front_fixture_set_account(struct front_fixture *f, hm_id account);
/** Address of the operators' or the clients' listener. */
const char *front_fixture_address(const struct front_fixture *f,
				  bool operators);

/** An HTTP request and its answer. */
struct call {
	const char *method; /**< NULL: POST if there is a body, else GET */
	const char *path;
	const char *key;   /**< API key, NULL for none */
	const char *token; /**< session token, NULL for none */
	const char *body;
	bool operators; /**< call the operators' listener, else the clients' */
	bool http2;
	bool tls;
	long timeout_ms; /**< the client disconnects after this, 0 for never */
	long status;	 /**< HTTP status, 0 if there was no answer */
	GString *headers;
	GString *answer;
};

/** Sends a request and waits for its answer. */
void front_fixture_call(struct front_fixture *f, struct call *c);
/** Value of a response header, a new string; NULL if absent. */
char *call_header(const struct call *c, const char *name);
void call_clear(struct call *c);
/** A TCP socket connected to the clients' listener. */
int front_fixture_connect(const struct front_fixture *f);

#endif
