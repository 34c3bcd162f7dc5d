/**
 * @file log.h
 * Structured log: writes one line of key=value pairs for each event, with
 * GLib's structured logging. A thread writes the lines from a bounded queue.
 * Lines that do not fit are dropped and counted, and the count is logged.
 * Nothing is logged before log_open(). All functions may be called from any
 * thread.
 */
#ifndef LOG_H
#define LOG_H

#include <glib.h>

#include "../core/core.h"
#include "names.h"

/**
 * Starts writing to the descriptor @a fd, which is not closed by the log.
 * @param level "error", "warning", "info" or "debug"
 */
void log_open(const char *level, int fd);
/** Writes the queued lines and stops; gives up after 2 s if writing blocks. */
void log_close(void);
/** Whether events of @a level are logged. */
bool log_enabled(GLogLevelFlags level);
/**
 * Logs one event with pairs of a key and a value, ended by a NULL key. Keys
 * are static, lower-case words. A pair whose value is NULL is left out.
 */
void log_event(GLogLevelFlags level, const char *event,
	       ...) G_GNUC_NULL_TERMINATED;
/** Logs a preformatted line of key=value pairs that begins with "event=". */
void log_line(GLogLevelFlags level, const char *pairs);
/** Logs a decision; @a names turns identifiers into names. */
void log_decision(const struct decision *d, const struct names *names);
/** Number of lines dropped so far because the queue was full. */
uint64_t log_dropped(void);
/** Sets the capacity of the queue in lines; for tests. */
void log_queue_limit(uint32_t lines);

/**
 * Size of the text of a request or transaction ID with its NUL:
 * "incarnation-seq" in hexadecimal.
 */
#define RID_TEXT_BYTES 34
const char *rid_text(struct rid id, char out[RID_TEXT_BYTES]);

#endif
