/**
 * @file http_call.h
 * Blocking HTTP calls to one server. A client belongs to one thread;
 * http_client_cancel() and http_client_calls() may be called from others.
 */
#ifndef HTTP_CALL_H
#define HTTP_CALL_H

#include <glib.h>

#include "../core/types.h"

struct http_client;

/** Answer to one call; the text is to be freed by http_reply_clear(). */
struct http_reply {
	GString *text;
	long status;
	bool answered;
	bool sent; /**< bytes of the request may have arrived */
};

/** @a address "IP:port". */
struct http_client *http_client_new(const char *address);
void http_client_free(struct http_client *c);
/** Ends the running call and all later ones. Any thread. */
void http_client_cancel(struct http_client *c);
bool http_client_cancelled(const struct http_client *c);
/** Calls made so far. Any thread. */
uint64_t http_client_calls(const struct http_client *c);
/**
 * Makes a call that ends by @a until. @a headers are lines, ended by NULL,
 * or NULL; @a body is NULL for none.
 */
void http_call(struct http_client *c, const char *method, const char *path,
	       const char *const *headers, const char *body, hm_time until,
	       struct http_reply *reply);
/** A header of the last answer, NULL when it has none; until the next call. */
const char *http_client_header(const struct http_client *c, const char *name);
void http_reply_clear(struct http_reply *reply);

#endif
