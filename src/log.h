/**
 * @file log.h
 * Log lines through GLib's structured logging: one line of key=value pairs
 * for each event. A thread writes the lines from a bounded queue; lines that
 * do not fit are counted and the count is logged. Until log_open() nothing
 * is logged. Callable from any thread.
 */
#ifndef LOG_H
#define LOG_H

#include <glib.h>

#include "../core/core.h"
#include "names.h"

/**
 * Starts writing to the descriptor @a fd, which stays the caller's.
 * @param level "error", "warning", "info" or "debug"
 */
void log_open(const char *level, int fd);
/** Writes what is queued, unless nobody takes it for 2 s, and stops. */
void log_close(void);
/** Whether lines of @a level are written. */
bool log_enabled(GLogLevelFlags level);
/**
 * Logs one event: pairs of key and value texts, ended by NULL. Keys are
 * lower-case words, static; a NULL value leaves its pair out.
 */
void log_event(GLogLevelFlags level, const char *event,
	       ...) G_GNUC_NULL_TERMINATED;
/** Logs a line of key=value pairs that begins with "event=". */
void log_line(GLogLevelFlags level, const char *pairs);
/** Logs a decision; @a names turns identifiers into names. */
void log_decision(const struct decision *d, const struct names *names);
/** Lines lost so far because the queue was full. */
uint64_t log_dropped(void);
/** Sets the most lines that may wait; for tests. */
void log_queue_limit(uint32_t lines);

/** Text of a request or transaction number: "life-seq" in hexadecimal. */
#define RID_TEXT_BYTES 34
const char *rid_text(struct rid id, char out[RID_TEXT_BYTES]);

#endif
