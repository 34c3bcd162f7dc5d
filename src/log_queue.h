/**
 * @file log_queue.h
 * Bounded queue of log lines and the thread that writes them. There is one
 * for the process. Callable from any thread.
 */
#ifndef LOG_QUEUE_H
#define LOG_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

/** Starts the thread; false when it runs already. */
bool log_queue_open(int fd);
/** Takes the line, which is counted when it does not fit. */
void log_queue_push(char *line);
/** Writes what is queued, unless nobody takes it for 2 s, and stops. */
void log_queue_close(void);

#endif
