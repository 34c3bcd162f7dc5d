/**
 * @file trace_event.h
 * Lines of a trace: a header, events, and the actions that followed each event.
 */
#ifndef TRACE_EVENT_H
#define TRACE_EVENT_H

#include "trace_values.h"

/** Version of the trace format, written in the header. */
#define TRACE_FORMAT 1

/** An event that was read, with the structures that it points to. */
struct trace_step {
	hm_time at; /**< when the event was passed to the core */
	struct event event;
	struct message message;
	struct contract contract;
	struct database_spec database;
	struct listed_instance *listed;
	uint32_t listed_capacity;
};

/**
 * The texts below are one JSON object without a line end, to be freed with
 * free().
 */
char *trace_header_text(const struct core_options *options, hm_time start);
char *trace_event_text(const struct event *event, hm_time now,
		       struct key_numbers *keys);
/** Writes the actions; NULL when there are none. */
char *trace_actions_text(const struct actions *actions,
			 struct key_numbers *keys);

/**
 * Reads a header. False, with a line in @a fault, when @a json is not valid.
 */
bool trace_header_read(json_t *json, struct core_options *options,
		       hm_time *start, char fault[CODEC_FAULT_BYTES]);
/**
 * Reads an event. False, with a line in @a fault, when @a json is not valid.
 * The caller clears @a out in either case.
 */
bool trace_step_read(json_t *json, struct trace_step *out,
		     char fault[CODEC_FAULT_BYTES]);
/** Frees what @a step owns and zeroes it. */
void trace_step_clear(struct trace_step *step);

#endif
