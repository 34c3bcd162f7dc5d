/**
 * @file client.h
 * Blocking client of the callers' interface, for the demonstration, the
 * load tool and tests. Keeps one connection open and carries the session
 * token from answer to request.
 */
#ifndef CLIENT_H
#define CLIENT_H

#include <jansson.h>

#include "token.h"

struct client;

/** @a address "IP:port" and @a key are copied. */
struct client *client_new(const char *address, const char *key);
void client_free(struct client *c);
/** Later calls go to another instance; the session goes on. */
void client_set_address(struct client *c, const char *address);

/** One answer; free with client_answer_free(). */
struct client_answer {
	int status;   /**< HTTP status, 0 when no answer came */
	json_t *body; /**< parsed JSON, NULL when there is none */
	double retry_after_s;
	/** Error code, "ok", "no_answer" or, when nothing was sent,
	 * "no_connection". */
	char code[32];
	char execution[16]; /**< of an error */
};

/** What to ask; zero and NULL fields are left out. */
struct client_statement {
	const char *database;
	const char *sql;
	const char *mode;	 /**< "read" or "write" */
	const char *parameter;	 /**< one text parameter */
	const char *transaction; /**< text id */
	int max_age_ms;
	int deadline_ms;
	bool idempotent;
};

void client_statement(struct client *c, const struct client_statement *s,
		      struct client_answer *out);
/** POST of any path with a JSON body, NULL for an empty one. */
void client_post(struct client *c, const char *path, json_t *body,
		 struct client_answer *out);
/** GET of any path. */
void client_get(struct client *c, const char *path, struct client_answer *out);
void client_answer_free(struct client_answer *a);
/** First column of the first row as integer, @a missing when absent. */
json_int_t client_number(const struct client_answer *a, json_int_t missing);

#endif
