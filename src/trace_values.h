/**
 * @file trace_values.h
 * Types of the core as fields of JSON objects. Each function writes or reads
 * the field @a name, depending on the state of the codec.
 */
#ifndef TRACE_VALUES_H
#define TRACE_VALUES_H

#include "../core/core.h"
#include "codec.h"

void trace_rid(struct codec *c, const char *name, struct rid *v);
void trace_log_pos(struct codec *c, const char *name, struct log_pos *v);
void trace_lineage(struct codec *c, const char *name, struct lineage *v);
void trace_statement(struct codec *c, const char *name, struct statement *v);
void trace_result(struct codec *c, const char *name, struct result *v);
void trace_control(struct codec *c, const char *name, struct control *v);
void trace_state(struct codec *c, const char *name, struct endpoint_state *v);
void trace_contract(struct codec *c, const char *name, struct contract *v);
void trace_evacuation(struct codec *c, struct evacuation_report *v);
void trace_database(struct codec *c, const char *name, struct database_spec *v);
/**
 * Reading allocates the contract of a MSG_CONTRACT and the group of a
 * MSG_DATABASE; see trace_message_clear().
 */
void trace_message(struct codec *c, const char *name, struct message *v);
/** Frees what trace_message() allocated when reading. */
void trace_message_clear(struct message *v);
void trace_options(struct codec *c, const char *name, struct core_options *v);

#endif
