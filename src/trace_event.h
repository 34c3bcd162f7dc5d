/**
 * @file trace_event.h
 * Lines of a trace: a header, events, and the actions that came out.
 */
#ifndef TRACE_EVENT_H
#define TRACE_EVENT_H

#include "trace_values.h"

/** Version of the format, in the header of each trace. */
#define TRACE_FORMAT 1

/** A read event, with all that it refers to. */
struct trace_step {
	hm_time at;
	struct event event;
	struct message message;
	struct contract contract;
	struct database_spec database;
	struct listed_instance *listed;
	uint32_t listed_capacity;
};

/** Texts are new, one JSON object without line end; free with free(). */
char *trace_header_text(const struct core_options *options, hm_time start);
char *trace_event_text(const struct event *event, hm_time now,
		       struct key_numbers *keys);
/** NULL when there are no actions. */
char *trace_actions_text(const struct actions *actions,
			 struct key_numbers *keys);

/** False with a line in @a fault when @a json is no such header. */
bool trace_header_read(json_t *json, struct core_options *options,
		       hm_time *start, char fault[CODEC_FAULT_BYTES]);
/**
 * False with a line in @a fault when @a json is no event. @a out is to be
 * cleared in either case.
 */
bool trace_step_read(json_t *json, struct trace_step *out,
		     char fault[CODEC_FAULT_BYTES]);
void trace_step_clear(struct trace_step *step);

#endif
