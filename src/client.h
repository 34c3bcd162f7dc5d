/**
 * @file client.h
 * Blocking client of the HTTP interface, for the demonstration, the load tool
 * and tests. It keeps one connection open and sends the session token of the
 * last answer with the next request.
 */
#ifndef CLIENT_H
#define CLIENT_H

#include <jansson.h>

#include "token.h"

struct client;

/**
 * Creates a client of the instance at @a address ("IP:port") with the API key
 * @a key; both texts are copied.
 */
struct client *client_new(const char *address, const char *key);
void client_free(struct client *c);
/** Sends later calls to another instance, in the same session. */
void client_set_address(struct client *c, const char *address);

/** One answer; to be freed with client_answer_free(). */
struct client_answer {
	int status;   /**< HTTP status; 0 when no answer came */
	json_t *body; /**< parsed JSON; NULL when there is none */
	double retry_after_s;
	/**
	 * Error code of the answer, or "ok". When no answer came:
	 * "no_connection" if the request was not sent, else "no_answer".
	 */
	char code[32];
	char execution[16]; /**< field "execution" of an error */
};

/** A statement request; zero and NULL fields are not sent. */
struct client_statement {
	const char *database;
	const char *sql;
	const char *mode;	 /**< "read" or "write" */
	const char *parameter;	 /**< one text parameter */
	const char *transaction; /**< ID of an open transaction */
	int max_age_ms;
	int deadline_ms;
	bool idempotent;
};

void client_statement(struct client *c, const struct client_statement *s,
		      struct client_answer *out);
/** POST to any path; @a body NULL sends an empty JSON object. */
void client_post(struct client *c, const char *path, json_t *body,
		 struct client_answer *out);
/** GET of any path. */
void client_get(struct client *c, const char *path, struct client_answer *out);
void client_answer_free(struct client_answer *a);
/**
 * First column of the first row as an integer; @a missing if the answer has
 * none.
 */
json_int_t client_number(const struct client_answer *a, json_int_t missing);

#endif
