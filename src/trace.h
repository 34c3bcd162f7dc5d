/**
 * @file trace.h
 * Records the events passed to a core and the actions it returns as JSON lines,
 * which replay.h can replay. A trace contains no API key, SQL text or
 * parameter: keys are replaced by numbers, and the core has only numbers of
 * statement bodies. Recording ends at a size limit.
 */
#ifndef TRACE_H
#define TRACE_H

#include "../core/core.h"

struct trace;

/**
 * Creates a trace file and writes its header. Returns NULL when the file cannot
 * be opened.
 */
struct trace *trace_open(const char *path, const struct core_options *options,
			 hm_time start);
/** Records an event, to be called before core_step(). */
void trace_event(struct trace *t, const struct event *event, hm_time now);
/** Records the actions that core_step() returned. */
void trace_actions(struct trace *t, const struct actions *actions);
/** Flushes and closes the file; false when a write failed. NULL is allowed. */
bool trace_close(struct trace *t);

#endif
