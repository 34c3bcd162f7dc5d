/**
 * @file reply.h
 * Answers to callers as JSON, and the advice that goes with an error.
 */
#ifndef REPLY_H
#define REPLY_H

#include <glib.h>

#include "../core/message.h"

/** What is put into an answer besides the result. */
struct reply {
	const struct result *result;
	const char *text;     /**< fuller text of an error, NULL for none */
	const char *endpoint; /**< name, NULL for none */
	GBytes *body;	      /**< rows or database error, NULL for none */
	hm_id tx_database;    /**< of the result's transaction */
	hm_time now;
};

/** JSON text of an answer, a new string. */
GString *reply_json(const struct reply *reply);
/**
 * Retry advice: that of the error kind, but never to repeat blindly what
 * ran or may have run.
 */
enum retry_advice reply_advice(const struct result *result);
/** "never", "now", "later" or "check_first". */
const char *advice_name(enum retry_advice advice);
/** Milliseconds until @a retry_at, rounded up, at least 1. */
hm_time reply_retry_ms(hm_time retry_at, hm_time now);

#endif
