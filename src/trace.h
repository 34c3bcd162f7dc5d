/**
 * @file trace.h
 * Recorder of what goes into a core and what comes out, as JSON lines that
 * can be replayed. No key, SQL text or parameter is in a trace: keys are
 * numbered, bodies are numbers already. It stops at a size limit.
 */
#ifndef TRACE_H
#define TRACE_H

#include "../core/core.h"

struct trace;

/** NULL when the file cannot be opened. @a start: time given to core_new(). */
struct trace *trace_open(const char *path, const struct core_options *options,
			 hm_time start);
/** An event that is about to be fed to the core. */
void trace_event(struct trace *t, const struct event *event, hm_time now);
/** The actions that came out. */
void trace_actions(struct trace *t, const struct actions *actions);
/** Writes out what is buffered; false when something was not written. */
bool trace_close(struct trace *t);

#endif
