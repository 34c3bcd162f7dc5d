/**
 * @file reply.h
 * Answers to clients as JSON, and the retry advice that errors contain.
 */
#ifndef REPLY_H
#define REPLY_H

#include <glib.h>

#include "../core/message.h"

/** A result and the other contents of an answer. */
struct reply {
	const struct result *result;
	const char *text;     /**< error text, NULL: default of the kind */
	const char *endpoint; /**< name of the endpoint, NULL for none */
	GBytes *body;	   /**< JSON of rows or database error, NULL for none */
	hm_id tx_database; /**< database of the result's transaction */
	hm_time now;
};

/** Writes an answer as JSON, a new string. */
GString *reply_json(const struct reply *reply);
/**
 * Retry advice of the result's error kind. If the statement ran or may have
 * run, a retry is never advised without a check of its outcome first.
 */
enum retry_advice reply_advice(const struct result *result);
/** Name of an advice: "never", "now", "later" or "check_first". */
const char *advice_name(enum retry_advice advice);
/** Milliseconds until @a retry_at, rounded up, at least 1. */
hm_time reply_retry_ms(hm_time retry_at, hm_time now);

#endif
