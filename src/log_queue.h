/**
 * @file log_queue.h
 * Bounded queue of log lines and the thread that writes them. The process has
 * one queue. All functions may be called from any thread.
 */
#ifndef LOG_QUEUE_H
#define LOG_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

/** Starts the thread; false when it is already running. */
bool log_queue_open(int fd);
/** Takes ownership of a line; drops and counts it when the queue is full. */
void log_queue_push(char *line);
/** Writes the queued lines and stops; gives up after 2 s if writing blocks. */
void log_queue_close(void);

#endif
