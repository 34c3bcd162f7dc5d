/**
 * @file http_call.h
 * Blocking HTTP calls to one server. A client belongs to one thread;
 * only http_client_cancel(), http_client_cancelled() and http_client_calls()
 * may be called from other threads.
 */
#ifndef HTTP_CALL_H
#define HTTP_CALL_H

#include <glib.h>

#include "../core/types.h"

struct http_client;

/** Reply to one call; http_reply_clear() frees its text. */
struct http_reply {
	GString *text;
	long status;
	bool answered; /**< the whole reply was received */
	bool sent;     /**< the server may have received the request */
};

/** Creates a client of the server at @a address ("IP:port"). */
struct http_client *http_client_new(const char *address);
void http_client_free(struct http_client *c);
/** Cancels the running call and all later ones; safe on any thread. */
void http_client_cancel(struct http_client *c);
bool http_client_cancelled(const struct http_client *c);
/** Number of calls made so far; safe on any thread. */
uint64_t http_client_calls(const struct http_client *c);
/**
 * Makes a call, and blocks until it ends or until the time @a until.
 * @param headers header lines, ended by NULL; NULL for none
 * @param body NULL for none
 */
void http_call(struct http_client *c, const char *method, const char *path,
	       const char *const *headers, const char *body, hm_time until,
	       struct http_reply *reply);
/** A header of the last reply, or NULL; valid until the next call. */
const char *http_client_header(const struct http_client *c, const char *name);
void http_reply_clear(struct http_reply *reply);

#endif
